package core_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
	"lupinpond/scheduler"
)

const ms = time.Millisecond

// recordingActor is an Actor that counts answers and closed requests and, if print is set, prints each action.
type recordingActor struct {
	latest  map[string]int // latest attempt sent, by request ID
	answers map[string]int // number of final answers, by request ID
	closed  map[string]int // number of Closed calls, by request ID
	print   bool
}

func (a *recordingActor) printf(format string, args ...any) {
	if a.print {
		fmt.Printf(format+"\n", args...)
	}
}

func (a *recordingActor) Send(request *scheduler.Request, n int, worker string) {
	a.latest[request.ID] = n
	a.printf("send %s attempt %d to %s", request.ID, n, worker)
}
func (a *recordingActor) Complete(request *scheduler.Request, n int) {
	a.answers[request.ID]++
	a.printf("complete %s by attempt %d", request.ID, n)
}
func (a *recordingActor) Reject(request *scheduler.Request, _ time.Duration, mayHaveRun bool) {
	a.answers[request.ID]++
	a.printf("reject %s, may have run %v", request.ID, mayHaveRun)
}
func (a *recordingActor) Fail(request *scheduler.Request, n int, mayHaveRun bool) {
	a.answers[request.ID]++
	a.printf("fail %s after %d attempts, may have run %v", request.ID, n, mayHaveRun)
}
func (a *recordingActor) Cancel(request *scheduler.Request, n int, worker string) {
	a.printf("cancel %s attempt %d at %s", request.ID, n, worker)
}
func (a *recordingActor) RequestLoad(load scheduler.LoadRequest) {
	a.printf("load %d of %d at %s", load.Replicas, load.Function, load.Worker)
}
func (a *recordingActor) Probe(worker string)    { a.printf("probe %s", worker) }
func (a *recordingActor) Subscribe()             {}
func (a *recordingActor) SetTimer(time.Duration) {}
func (a *recordingActor) Closed(request *scheduler.Request, _ int, reason core.CloseReason) {
	a.closed[request.ID]++
	a.printf("closed %s %d", request.ID, reason)
}

func newRecordingActor(print bool) *recordingActor {
	return &recordingActor{latest: map[string]int{}, answers: map[string]int{}, closed: map[string]int{}, print: print}
}

func testSettings() core.Settings {
	return core.Settings{
		Seed:            7,
		Gateways:        1,
		MinTickInterval: 2 * ms,
		Types: []scheduler.RequestType{
			{Name: "idempotent", Objective: time.Second},
			{Name: "at-most-once", Effect: scheduler.AtMostOnce, Objective: time.Second},
			{Name: "keyed", Effect: scheduler.IdempotencyKey, DedupScope: scheduler.ScopeZone, DedupWindow: 300 * ms,
				Objective: time.Second},
		},
		MaxAttempts:   4,
		Cancel:        true,
		MaxRetryAfter: 500 * ms,
		LoadPolicy: core.LoadPolicy{
			LoadOnMiss:         true,
			ReplicaIdleTimeout: 10 * time.Second,
			RequestTimeout:     5 * time.Second,
		},
		EnforceDeadlines: true,
	}
}

var workers = []scheduler.Member{{Worker: "a", Zone: "1"}, {Worker: "b", Zone: "1"}, {Worker: "c", Zone: "2"}}

// startRequest starts a core that acts through a, submits request e of the given type twice and processes what is due.
// It returns the core and the current time.
func startRequest(a core.Actor, requestType string) (*core.Core, time.Duration) {
	c, now := core.New(testSettings(), a), time.Hour
	c.ReplaceMembership(now, workers)
	request := &scheduler.Request{ID: "e", Type: requestType, Function: 1, TimeLeft: 2 * time.Second, Concurrency: 1}
	fmt.Println(c.Submit(now, request), c.Submit(now, request))
	c.ProcessDue(now)
	return c, now
}

// If a response and the deadline of its request fall on the same instant, only the input processed first counts.
func Example_answerAndTimeoutAtTheSameInstant() {
	a := newRecordingActor(true)
	c, now := startRequest(a, "at-most-once")
	now += 2 * time.Second
	fmt.Println(c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Duration: 2 * time.Second}))
	c.ProcessDue(now)
	c, now = startRequest(a, "at-most-once")
	now += 2 * time.Second
	c.ProcessDue(now)
	fmt.Println(c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Duration: 2 * time.Second}))
	fmt.Println(c.OpenRequests())
	// Output:
	// <nil> an event of this id is in hand
	// send e attempt 0 to c
	// complete e by attempt 0
	// closed e 0
	// true
	// <nil> an event of this id is in hand
	// send e attempt 0 to c
	// fail e after 1 attempts, may have run true
	// closed e 2
	// false
	// 0
}

// A client disconnects while its at-most-once request runs: the client gets no answer, and the request stays open until
// the attempt completes or times out.
func Example_clientDisconnectsDuringAttempt() {
	a := newRecordingActor(true)
	c, now := startRequest(a, "at-most-once")
	fmt.Println(c.ClientDisconnected(now+ms, "e"), c.OpenRequests(), c.ClientDisconnected(now, "never"))
	c.ProcessDue(now + 3*time.Second)
	fmt.Println(c.OpenRequests())
	// Output:
	// <nil> an event of this id is in hand
	// send e attempt 0 to c
	// true 1 false
	// closed e 3
	// 0
}

// randomRun feeds randomly generated inputs to a core and records it.
type randomRun struct {
	*rapid.T
	core         *core.Core
	actor        *recordingActor
	recording    *bytes.Buffer
	recorder     *replay.Recorder
	now          time.Duration
	submitted    int
	disconnected map[string]bool // IDs of requests whose client has disconnected
}

func newRandomRun(t *rapid.T) *randomRun {
	r := &randomRun{T: t, actor: newRecordingActor(false), recording: &bytes.Buffer{}, now: time.Hour,
		disconnected: map[string]bool{}}
	r.core, r.recorder = replay.Start(testSettings(), r.actor, r.recording)
	r.core.ReplaceMembership(r.now, workers)
	return r
}

// step advances the time and passes one randomly chosen input to the core.
func (r *randomRun) step() {
	r.now += time.Duration(rapid.IntRange(0, 400).Draw(r.T, "pause")) * ms
	id := fmt.Sprint(rapid.IntRange(0, r.submitted).Draw(r.T, "which"))
	switch rapid.IntRange(0, 7).Draw(r.T, "what") {
	case 0, 1:
		r.submit()
	case 2, 3:
		r.completeAttempt(id)
	case 4:
		if r.core.ClientDisconnected(r.now, id) {
			r.disconnected[id] = true
		}
	case 5:
		r.updateMembership()
	case 6:
		r.core.ShutdownBy(r.now, r.now+time.Duration(rapid.IntRange(0, 5000).Draw(r.T, "end"))*ms)
	}
	r.core.ProcessDue(r.now)
}

func (r *randomRun) submit() {
	request := &scheduler.Request{ID: fmt.Sprint(r.submitted), Function: uint64(r.submitted % 3), Concurrency: 1}
	request.Type = rapid.SampledFrom([]string{"idempotent", "at-most-once", "keyed", "unknown"}).Draw(r.T, "type")
	request.TimeLeft = time.Duration(rapid.IntRange(1, 3000).Draw(r.T, "time left")) * ms
	if err := r.core.Submit(r.now, request); err != nil {
		r.Fatal(err)
	}
	r.submitted++
}

// completeAttempt reports a random outcome for the latest attempt of a request, or for the one before it.
func (r *randomRun) completeAttempt(id string) {
	attempt, sent := r.actor.latest[id]
	if sent && rapid.Bool().Draw(r.T, "earlier") {
		attempt--
	}
	result := scheduler.Result(rapid.IntRange(0, 8).Draw(r.T, "result"))
	r.core.CompleteAttempt(r.now, id, attempt, scheduler.Outcome{Result: result, Duration: ms})
}

func (r *randomRun) updateMembership() {
	member := workers[rapid.IntRange(0, 2).Draw(r.T, "worker")]
	member.Condition = scheduler.Condition(rapid.IntRange(0, 2).Draw(r.T, "condition"))
	members := []scheduler.Member{member}
	if rapid.Bool().Draw(r.T, "complete") {
		r.core.ReplaceMembership(r.now, members)
	} else {
		r.core.UpdateMembership(r.now, members)
	}
}

// finish advances the time past the deadlines of all requests.
func (r *randomRun) finish() {
	for range 40 {
		r.now += 100 * ms
		r.core.TimerFired(r.now)
		r.core.ProcessDue(r.now)
	}
}

// Random inputs in random order must not lose or repeat an answer: when all deadlines have passed, each request has had
// exactly one final answer, or at most one if its client has disconnected, and no request is open. A recording of the
// run must replay to the same actions, and a truncated recording must replay up to the point where it ends.
func TestOneFinalAnswerAndIdenticalReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomRun(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step()
		}
		r.finish()
		if open := r.core.OpenRequests(); open != 0 {
			t.Fatalf("%d requests still open after all deadlines", open)
		}
		for i := range r.submitted {
			id := fmt.Sprint(i)
			answers, closed := r.actor.answers[id], r.actor.closed[id]
			if answers > 1 || answers == 0 && !r.disconnected[id] || closed != 1 {
				t.Fatalf("request %s: %d final answers, closed %d times, client disconnected %v",
					id, answers, closed, r.disconnected[id])
			}
		}
		if r.recorder.Err() != nil {
			t.Fatal(r.recorder.Err())
		}
		recording := r.recording.Bytes()
		if summary, err := replay.Replay(bytes.NewReader(recording), nil); err != nil || summary.Inputs == 0 {
			t.Fatalf("replay of the complete recording: got %+v, error %v", summary, err)
		}
		// A killed process truncates its recording: it ends inside an item, or the last actions are missing. What is
		// left must still replay without a difference.
		cut := rapid.IntRange(1, len(recording)-1).Draw(t, "cut")
		summary, err := replay.Replay(bytes.NewReader(recording[:cut]), nil)
		var divergence *replay.DivergenceError
		missing := errors.As(err, &divergence) && divergence.Recorded == nil
		if err != nil && !missing && summary.Inputs > 0 {
			t.Fatalf("recording truncated at byte %d: %v", cut, err)
		}
	})
}

// A request that is unanswered when the process is killed is lost. During a graceful shutdown each request, whether
// submitted before or after the shutdown began, must therefore be answered by the shutdown deadline even if its client
// allows more time: also a request waiting for a replica, one in flight at an unresponsive worker, and one whose client
// has disconnected.
func TestShutdownBy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newRecordingActor(false)
		c, now := core.New(testSettings(), a), time.Hour
		c.ReplaceMembership(now, workers[:rapid.IntRange(0, 3).Draw(t, "workers")])
		n := 0
		submit := func() {
			requestType := rapid.SampledFrom([]string{"idempotent", "at-most-once", "keyed"}).Draw(t, "type")
			request := &scheduler.Request{ID: fmt.Sprint(n), Type: requestType, Function: uint64(n % 3), Concurrency: 1,
				TimeLeft: 100 * time.Second}
			if err := c.Submit(now, request); err != nil {
				t.Fatal(err)
			}
			n++
			if rapid.IntRange(0, 4).Draw(t, "disconnects") == 0 {
				c.ClientDisconnected(now, request.ID)
				a.answers[request.ID]++
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "before") {
			submit()
			c.ProcessDue(now)
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
		}
		deadline := now + 3*time.Second
		c.ShutdownBy(now, deadline)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			submit()
			c.ProcessDue(now)
			now += 100 * ms
		}
		for ; now < deadline; now += 100 * ms {
			c.TimerFired(now)
			c.ProcessDue(now)
		}
		c.TimerFired(deadline)
		c.ProcessDue(deadline)
		for i := range n {
			if a.answers[fmt.Sprint(i)] != 1 {
				t.Errorf("request %d got %d final answers, want 1", i, a.answers[fmt.Sprint(i)])
			}
		}
		if c.OpenRequests() != 0 {
			t.Error(c.OpenRequests(), "requests still open after the shutdown deadline")
		}
	})
}

// FuzzReplay checks that replaying arbitrary bytes does not panic or count more inputs than there are bytes.
func FuzzReplay(f *testing.F) {
	var recording bytes.Buffer
	c, _ := replay.Start(testSettings(), newRecordingActor(false), &recording)
	c.ReplaceMembership(time.Hour, workers)
	c.ProcessDue(time.Hour)
	f.Add(recording.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		summary, err := replay.Replay(bytes.NewReader(b), nil)
		if err == nil && summary.Settings.Seed == 0 && summary.Inputs > len(b) {
			t.Error("replay counted more inputs than the recording has bytes")
		}
	})
}

// While a retry is in flight, a second outcome of the earlier attempt must not complete the retry.
func TestOutcomeOfEarlierAttemptIsIgnored(t *testing.T) {
	a := newRecordingActor(false)
	c, now := core.New(testSettings(), a), time.Hour
	c.ReplaceMembership(now, workers)
	request := &scheduler.Request{ID: "e", Type: "idempotent", Function: 1, TimeLeft: 20 * time.Second, Concurrency: 1}
	if err := c.Submit(now, request); err != nil {
		t.Fatal(err)
	}
	untilSent := func(attempt int) {
		t.Helper()
		for range 5000 { // longer than the first attempt may take to load a replica
			if n, sent := a.latest["e"]; sent && n == attempt {
				return
			}
			now += 2 * ms
			c.TimerFired(now)
			c.ProcessDue(now)
		}
		t.Fatal("attempt", attempt, "was not sent in time")
	}
	untilSent(0)
	if !c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.ConnectionLost, Duration: ms}) {
		t.Error("CompleteAttempt ignored the outcome of the first attempt")
	}
	untilSent(1)
	completed := scheduler.Outcome{Result: scheduler.Completed, Duration: ms}
	if c.CompleteAttempt(now, "e", 0, completed) || a.answers["e"] != 0 {
		t.Error("CompleteAttempt accepted a second outcome of the first attempt for the second attempt")
	}
	if !c.CompleteAttempt(now, "e", 1, completed) || a.answers["e"] != 1 {
		t.Error("CompleteAttempt ignored the outcome of the second attempt")
	}
}
