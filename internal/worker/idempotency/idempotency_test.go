package idempotency_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/worker/idempotency"
)

// TestMain runs the tests. With LP_TEST_REGISTER set, the process instead claims keys at a register until a test kills
// it.
func TestMain(m *testing.M) {
	if dir := os.Getenv("LP_TEST_REGISTER"); dir != "" {
		claimUntilKilled(dir)
	}
	goleak.VerifyTestMain(m)
}

// delivery states whether the messages between a worker and a register arrive.
type delivery int

const (
	delivered delivery = iota
	requestLost
	answerLost
)

// registerOutcome is the result of one register's answers to two workers that claim the same key.
type registerOutcome struct {
	votes  [2]idempotency.Vote // by worker
	owners [2]string           // by worker: the owner of the key in the register's answer
}

// claimBoth simulates two workers that claim a key at one register. Worker first claims it first; deliveries states, by
// worker, whether the request or the answer is lost.
func claimBoth(now time.Time, first int, deliveries [2]delivery) registerOutcome {
	outcome := registerOutcome{votes: [2]idempotency.Vote{idempotency.VoteFailed, idempotency.VoteFailed}}
	var entry idempotency.Entry
	known := false
	for _, worker := range []int{first, 1 - first} {
		if deliveries[worker] == requestLost {
			continue
		}
		stored, changed, vote := idempotency.EvaluateClaim(now, entry, known, fmt.Sprint(worker), time.Second)
		if changed {
			entry, known = stored, true
		}
		if deliveries[worker] == delivered {
			outcome.votes[worker], outcome.owners[worker] = vote, stored.Claim
		}
	}
	return outcome
}

// decide returns a worker's decision from the registers' votes, recorded until they decide. lossless is false if one of
// the votes is missing.
func decide(worker int, outcomes ...registerOutcome) (decision idempotency.Decision, lossless bool) {
	tally := idempotency.NewTally(len(outcomes))
	lossless = true
	for i, outcome := range outcomes {
		if decision == idempotency.DecisionPending {
			decision = tally.Record(i, outcome.votes[worker], outcome.owners[worker])
		}
		lossless = lossless && outcome.votes[worker] != idempotency.VoteFailed
	}
	return decision, lossless
}

// Two workers claim one key at three registers, with every order of arrival at each register and every combination of
// lost requests and answers. Both must never execute the request. If no message is lost, one of them must execute it.
func TestConcurrentClaimsEveryOrderAndLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	var outcomes []registerOutcome
	for first := range 2 {
		for a := range 3 {
			for b := range 3 {
				outcomes = append(outcomes, claimBoth(now, first, [2]delivery{delivery(a), delivery(b)}))
			}
		}
	}
	total := 0
	seen := map[string]int{}
	check := func(votes ...registerOutcome) {
		var decisions [2]idempotency.Decision
		lossless := true
		for worker := range 2 {
			decision, allReceived := decide(worker, votes...)
			if decision == idempotency.DecisionPending {
				t.Fatal("decision is pending although all votes are recorded: ", votes)
			}
			decisions[worker] = decision
			lossless = lossless && allReceived
		}
		if decisions[0] == idempotency.DecisionExecute && decisions[1] == idempotency.DecisionExecute {
			t.Fatal("both workers execute the request: ", votes)
		}
		if lossless && decisions[0] != idempotency.DecisionExecute && decisions[1] != idempotency.DecisionExecute {
			t.Fatal("no worker executes the request although no message was lost: ", votes)
		}
		total++
		seen[fmt.Sprint(decisions)]++
	}
	for _, x := range outcomes {
		for _, y := range outcomes {
			for _, z := range outcomes {
				check(x, y, z)
			}
		}
	}
	if total != 18*18*18 || len(seen) < 5 {
		t.Error(total, seen)
	}
}

// A released key must be granted to the next claim, a claimed or completed key must make the next claim a duplicate,
// and without a majority of the registers no request may be executed. Late releases, registers that are down and the
// end of a window must not change that. The claim of a request whose response is too long to be stored must stay open.
func TestReleasedAndCompletedClaims(t *testing.T) {
	g, registers := newGroup(t, 3)
	ctx := context.Background()
	first, decision, _ := g.Claim(ctx, "k", time.Minute)
	expectDecision(t, decision, idempotency.DecisionExecute)
	_, decision, _ = g.Claim(ctx, "k", time.Minute)
	expectDecision(t, decision, idempotency.DecisionDuplicate)
	g.Release("k", first)
	g.Close()
	second, decision, _ := g.Claim(ctx, "k", time.Minute)
	expectDecision(t, decision, idempotency.DecisionExecute)
	g.Complete("k", second, []byte("its answer"))
	g.Release("k", first) // late: another claim owns the key
	g.Close()
	_, decision, body := g.Claim(ctx, "k", time.Minute)
	expectDecision(t, decision, idempotency.DecisionCompleted)
	if string(body) != "its answer" {
		t.Errorf("response of the duplicate: got %q", body)
	}
	registers[0].down.Store(true) // one of three registers is down: a majority still decides
	_, decision, _ = g.Claim(ctx, "k", time.Minute)
	expectDecision(t, decision, idempotency.DecisionCompleted)
	other, decision, _ := g.Claim(ctx, "other", time.Minute)
	expectDecision(t, decision, idempotency.DecisionExecute)
	registers[1].down.Store(true) // two are down: no majority, so that nothing is executed
	_, decision, _ = g.Claim(ctx, "third", time.Minute)
	expectDecision(t, decision, idempotency.DecisionUnknown)
	g.Complete("other", other, make([]byte, idempotency.MaxStoredResponse))
	g.Close()
	registers[0].down.Store(false)
	registers[1].down.Store(false)
	_, decision, _ = g.Claim(ctx, "other", time.Minute) // register 2 has stored the completion
	expectDecision(t, decision, idempotency.DecisionCompleted)
	_, decision, _ = g.Claim(ctx, "third", time.Minute) // register 2 had granted and then released it
	expectDecision(t, decision, idempotency.DecisionExecute)
	long, decision, _ := g.Claim(ctx, "long", time.Minute)
	expectDecision(t, decision, idempotency.DecisionExecute)
	g.Complete("long", long, make([]byte, idempotency.MaxStoredResponse+1))
	g.Close()
	_, decision, _ = g.Claim(ctx, "long", time.Minute)
	expectDecision(t, decision, idempotency.DecisionDuplicate)
	short, decision, _ := g.Claim(ctx, "short", time.Millisecond)
	expectDecision(t, decision, idempotency.DecisionExecute)
	for end := time.Now().Add(10 * time.Second); ; {
		again, decision, _ := g.Claim(ctx, "short", time.Millisecond)
		if decision == idempotency.DecisionExecute && again != short {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the key is still claimed after the end of its window")
		}
	}
}

// Fifty workers claim each of twenty keys concurrently while one register fails every third request. Each key must be
// granted to at most one of them.
func TestConcurrentClaimsRunOnce(t *testing.T) {
	g, registers := newGroup(t, 3)
	var count atomic.Int64
	registers[1].requests = &count
	var granted [20]atomic.Int64
	claim := func(k int) {
		_, decision, _ := g.Claim(context.Background(), fmt.Sprint("k", k), time.Minute)
		if decision == idempotency.DecisionExecute {
			granted[k].Add(1)
		}
	}
	claim(0) // without concurrent claims it must be granted; with them, possibly none gets a majority
	var workers sync.WaitGroup
	for range 50 {
		for k := range granted {
			workers.Go(func() { claim(k) })
		}
	}
	workers.Wait()
	for k := range granted {
		if n := granted[k].Load(); n > 1 {
			t.Errorf("key %d was granted %d times, want at most once", k, n)
		}
	}
	if granted[0].Load() == 0 {
		t.Error("a key that was first claimed without concurrent claims was not granted")
	}
}

// A register process is killed while it grants claims. After a restart the register must still have every claim that it
// had reported as granted.
func TestRegisterSurvivesCrash(t *testing.T) {
	dir := t.TempDir()
	granted := 0
	for round := range 5 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "LP_TEST_REGISTER="+dir, fmt.Sprint("LP_TEST_ROUND=", round))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		buf := make([]byte, 4096)
		for strings.Count(text.String(), "\n") < 40*(round+1) {
			n, err := out.Read(buf)
			text.Write(buf[:n])
			if err != nil {
				t.Fatal(err)
			}
		}
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		for { // read what it had printed before it was killed
			n, err := out.Read(buf)
			text.Write(buf[:n])
			if err != nil {
				break
			}
		}
		_ = cmd.Wait()
		r, err := idempotency.Open(dir, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(text.String()) {
			if !strings.HasSuffix(line, "\n") {
				continue
			}
			key := strings.TrimSpace(line)
			vote, entry, err := r.Claim(key, "another", time.Hour)
			if vote != idempotency.VoteClaimed || entry.Claim != "first" || err != nil {
				t.Errorf("key %s after a restart: got vote %v, owner %q, error %v", key, vote, entry.Claim, err)
			}
			granted++
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if granted < 600 {
		t.Error(granted, " claims were granted in all rounds, want at least 600")
	}
}

// claimUntilKilled claims one key after another and prints each that was granted, until the process is killed.
func claimUntilKilled(dir string) {
	r, err := idempotency.Open(dir, 1<<20)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for i := 0; ; i++ {
		key := fmt.Sprint("k", os.Getenv("LP_TEST_ROUND"), "-", i)
		if vote, _, err := r.Claim(key, "first", time.Hour); vote == idempotency.VoteGranted && err == nil {
			fmt.Println(key)
		}
	}
}

// A register that stores its maximum number of keys must reject claims of other keys until a window ends or a key is
// released.
func TestRegisterFull(t *testing.T) {
	r, err := idempotency.Open(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for i, c := range []struct {
		key    string
		window time.Duration
		err    error
	}{{"a", time.Hour, nil}, {"b", time.Millisecond, nil}, {"a", time.Hour, nil}} {
		if _, _, err := r.Claim(c.key, "c", c.window); !errors.Is(err, c.err) {
			t.Error(i, err)
		}
	}
	for end := time.Now().Add(10 * time.Second); ; { // until the window of b has ended
		_, _, err := r.Claim("c", "c", time.Hour)
		if err == nil {
			break
		}
		if !errors.Is(err, idempotency.ErrFull) || time.Now().After(end) {
			t.Fatal(err)
		}
	}
	if _, _, err := r.Claim("d", "c", time.Hour); !errors.Is(err, idempotency.ErrFull) {
		t.Error("a key beyond the maximum was granted: ", err)
	}
	if err := r.Release("a", "c"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.Claim("d", "c", time.Hour); err != nil {
		t.Error("no key is granted after one was released: ", err)
	}
}

// A register must answer any request without an internal error (status 500), and give a reason for each rejection.
func FuzzRegisterHTTP(f *testing.F) {
	f.Add("claim", `{"key":"k","claim":"c","window-ms":10}`)
	f.Add("claim", `{"key":"k","claim":"c","window-ms":9223372036854775807}`)
	f.Add("release", `{"key":"","claim":"c"}{}`)
	f.Add("handled", `{"key":"`+strings.Repeat("k", 3000)+`","claim":"c"}`)
	r, err := idempotency.Open(f.TempDir(), 100)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { r.Close() })
	h := r.Handler()
	f.Fuzz(func(t *testing.T, path, body string) {
		switch path {
		case "claim", "handled", "release":
		default:
			return
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/"+path, strings.NewReader(body)))
		if w.Code == 500 || w.Code >= 400 && w.Body.Len() == 0 {
			t.Errorf("%s %q: %d %s", path, body, w.Code, w.Body)
		}
	})
}

// flakyRegister is a register's handler with injected failures.
type flakyRegister struct {
	down     atomic.Bool   // all requests fail
	requests *atomic.Int64 // if set, counts requests, and every third one fails
	handler  http.Handler
}

func (f *flakyRegister) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if f.down.Load() || f.requests != nil && f.requests.Add(1)%3 == 0 {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	f.handler.ServeHTTP(w, request)
}

// newGroup starts a group of size registers and returns a client of it with the registers' handlers.
func newGroup(t *testing.T, size int) (*idempotency.Group, []*flakyRegister) {
	t.Helper()
	var addresses []string
	var registers []*flakyRegister
	for range size {
		register, err := idempotency.Open(t.TempDir(), 10000)
		if err != nil {
			t.Fatal(err)
		}
		flaky := &flakyRegister{handler: register.Handler()}
		server := httptest.NewServer(flaky)
		t.Cleanup(func() {
			server.Close()
			register.Close()
		})
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		registers = append(registers, flaky)
	}
	group, err := idempotency.NewGroup(addresses, 5*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	return group, registers
}

func expectDecision(t *testing.T, got, want idempotency.Decision) {
	t.Helper()
	if got != want {
		t.Fatalf("decision %d, want %d", got, want)
	}
}
