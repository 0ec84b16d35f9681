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

func TestMain(m *testing.M) {
	if dir := os.Getenv("LP_TEST_REGISTER"); dir != "" {
		claimUntilKilled(dir)
	}
	goleak.VerifyTestMain(m)
}

// delivery is what happens to one message and its answer at one register.
type delivery int

const (
	delivered delivery = iota
	requestLost
	answerLost
)

// Two workers claim one key at three registers, in every order at each of them and with every message or answer lost;
// never do both run it, and where nothing is lost one does.
func TestConcurrentClaimsEveryOrderAndLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	const registers = 3
	runs := map[string]int{}
	hear := func(t *idempotency.Tally, i int, s idempotency.Vote, h string, v idempotency.Decision) idempotency.Decision {
		if v == idempotency.DecisionPending {
			return t.Record(i, s, h)
		}
		return v
	}
	type outcome struct {
		said   [2]idempotency.Vote
		holder [2]string
	}
	at := func(first int, f [2]delivery) outcome {
		o := outcome{said: [2]idempotency.Vote{idempotency.VoteFailed, idempotency.VoteFailed}}
		var e idempotency.Entry
		known := false
		for _, who := range []int{first, 1 - first} {
			if f[who] == requestLost {
				continue
			}
			keep, changed, said := idempotency.EvaluateClaim(now, e, known, fmt.Sprint(who), time.Second)
			if changed {
				e, known = keep, true
			}
			if f[who] == delivered {
				o.said[who], o.holder[who] = said, keep.Claim
			}
		}
		return o
	}
	var outcomes [registers][]outcome
	for i := range outcomes {
		for first := range 2 {
			for a := range 3 {
				for b := range 3 {
					outcomes[i] = append(outcomes[i], at(first, [2]delivery{delivery(a), delivery(b)}))
				}
			}
		}
	}
	total := 0
	for _, x := range outcomes[0] {
		for _, y := range outcomes[1] {
			for _, z := range outcomes[2] {
				var v [2]idempotency.Decision
				lossless := true
				for who := range 2 {
					tally := idempotency.NewTally(registers)
					for i, o := range []outcome{x, y, z} {
						v[who] = hear(tally, i, o.said[who], o.holder[who], v[who])
						lossless = lossless && o.said[who] != idempotency.VoteFailed
					}
					if v[who] == idempotency.DecisionPending {
						t.Fatal("no verdict though all was heard: ", x, y, z)
					}
				}
				if v[0] == idempotency.DecisionExecute && v[1] == idempotency.DecisionExecute {
					t.Fatal("both run: ", x, y, z)
				}
				if lossless && v[0] != idempotency.DecisionExecute && v[1] != idempotency.DecisionExecute {
					t.Fatal("nobody runs though nothing was lost: ", x, y, z)
				}
				total++
				runs[fmt.Sprint(v)]++
			}
		}
	}
	if total != 18*18*18 || len(runs) < 5 {
		t.Error(total, runs)
	}
}

// A key whose claim was given back before it ran can be had by the next; one that was handled is a repeat of that.
func TestReleasedAndCompletedClaims(t *testing.T) {
	g, registers := newGroup(t, 3)
	ctx := context.Background()
	a, v, _ := g.Claim(ctx, "k", time.Minute)
	expectDecision(t, v, idempotency.DecisionExecute)
	_, v, _ = g.Claim(ctx, "k", time.Minute)
	expectDecision(t, v, idempotency.DecisionDuplicate)
	g.Release("k", a)
	g.Close()
	b, v, _ := g.Claim(ctx, "k", time.Minute)
	expectDecision(t, v, idempotency.DecisionExecute)
	g.Complete("k", b, []byte("its answer"))
	g.Release("k", a) // late: of another claim
	g.Close()
	_, v, body := g.Claim(ctx, "k", time.Minute)
	expectDecision(t, v, idempotency.DecisionCompleted)
	if string(body) != "its answer" {
		t.Errorf("a repeat got %q", body)
	}
	registers[0].down.Store(true) // one of three is away: nothing changes
	_, v, _ = g.Claim(ctx, "k", time.Minute)
	expectDecision(t, v, idempotency.DecisionCompleted)
	c, v, _ := g.Claim(ctx, "other", time.Minute)
	expectDecision(t, v, idempotency.DecisionExecute)
	registers[1].down.Store(true) // two are: nothing is run that is not known to be the first
	_, v, _ = g.Claim(ctx, "third", time.Minute)
	expectDecision(t, v, idempotency.DecisionUnknown)
	g.Complete("other", c, make([]byte, idempotency.MaxStoredResponse+1))
	g.Close()
	registers[0].down.Store(false)
	registers[1].down.Store(false)
	_, v, _ = g.Claim(ctx, "other", time.Minute) // register 2 knows
	expectDecision(t, v, idempotency.DecisionCompleted)
	_, v, _ = g.Claim(ctx, "third", time.Minute) // was given back where it had been granted
	expectDecision(t, v, idempotency.DecisionExecute)
	short, v, _ := g.Claim(ctx, "short", time.Millisecond)
	expectDecision(t, v, idempotency.DecisionExecute)
	for end := time.Now().Add(10 * time.Second); ; {
		again, v, _ := g.Claim(ctx, "short", time.Millisecond)
		if v == idempotency.DecisionExecute && again != short {
			break
		}
		if time.Now().After(end) {
			t.Fatal("a key outlives its window")
		}
	}
}

// Fifty workers claim each of twenty keys at the same time, one register answering errors now and then: each key is
// granted to one at most.
func TestConcurrentClaimsRunOnce(t *testing.T) {
	g, registers := newGroup(t, 3)
	var count atomic.Int64
	registers[1].requests = &count
	var ran [20]atomic.Int64
	claim := func(k int) {
		if _, v, _ := g.Claim(context.Background(), fmt.Sprint("k", k), time.Minute); v == idempotency.DecisionExecute {
			ran[k].Add(1)
		}
	}
	claim(0) // alone: granted for sure; where many claim at once it may be that nobody has a majority
	var all sync.WaitGroup
	for range 50 {
		for k := range ran {
			all.Go(func() { claim(k) })
		}
	}
	all.Wait()
	for k := range ran {
		if n := ran[k].Load(); n > 1 {
			t.Errorf("key %d was granted %d times", k, n)
		}
	}
	if ran[0].Load() == 0 {
		t.Error("a key that one alone claimed was not granted")
	}
}

// A register that is killed at any moment knows every claim that it granted.
func TestRegisterSurvivesKill(t *testing.T) {
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
		for { // what it had said before its end
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
			said, have, err := r.Claim(key, "another", time.Hour)
			if said != idempotency.VoteClaimed || have.Claim != "first" || err != nil {
				t.Errorf("%s: %v by %q, %v", key, said, have.Claim, err)
			}
			granted++
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if granted < 600 {
		t.Error(granted, " claims")
	}
}

func claimUntilKilled(dir string) {
	r, err := idempotency.Open(dir, 1<<20)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for i := 0; ; i++ {
		key := fmt.Sprint("k", os.Getenv("LP_TEST_ROUND"), "-", i)
		if said, _, err := r.Claim(key, "first", time.Hour); said == idempotency.VoteGranted && err == nil {
			fmt.Println(key)
		}
	}
}

// A register that is full of keys inside their windows grants no other, and does once windows are over.
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
	for end := time.Now().Add(10 * time.Second); ; { // b's window ends
		_, _, err := r.Claim("c", "c", time.Hour)
		if err == nil {
			break
		}
		if !errors.Is(err, idempotency.ErrFull) || time.Now().After(end) {
			t.Fatal(err)
		}
	}
	if _, _, err := r.Claim("d", "c", time.Hour); !errors.Is(err, idempotency.ErrFull) {
		t.Error("granted past its most: ", err)
	}
	if err := r.Release("a", "c"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.Claim("d", "c", time.Hour); err != nil {
		t.Error("nothing is granted after a key was given back: ", err)
	}
}

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

type flakyRegister struct {
	down     atomic.Bool
	requests *atomic.Int64 // every third request fails
	handler  http.Handler
}

func (s *flakyRegister) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() || s.requests != nil && s.requests.Add(1)%3 == 0 {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r)
}

func newGroup(t *testing.T, n int) (*idempotency.Group, []*flakyRegister) {
	var at []string
	var all []*flakyRegister
	for range n {
		r, err := idempotency.Open(t.TempDir(), 10000)
		if err != nil {
			t.Fatal(err)
		}
		s := &flakyRegister{handler: r.Handler()}
		server := httptest.NewServer(s)
		t.Cleanup(func() {
			server.Close()
			r.Close()
		})
		at, all = append(at, strings.TrimPrefix(server.URL, "http://")), append(all, s)
	}
	g, err := idempotency.NewGroup(at, 5*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, all
}

func expectDecision(t *testing.T, got, want idempotency.Decision) {
	t.Helper()
	if got != want {
		t.Fatalf("verdict %d, want %d", got, want)
	}
}
