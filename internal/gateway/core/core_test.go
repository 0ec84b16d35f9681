package core_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
	"lupinpond/scheduler"
)

const ms = time.Millisecond

// recordingActor prints what a core does, and keeps what is in flight.
type recordingActor struct {
	inFlight map[string]int // launch outstanding, by event
	answers  map[string]int // final answers
	closed   map[string]int // bookkeeping
	print    bool
}

func (a *recordingActor) printf(format string, args ...any) {
	if a.print {
		fmt.Printf(format+"\n", args...)
	}
}

func (a *recordingActor) Send(e *scheduler.Request, n int, worker string) {
	a.inFlight[e.ID] = n
	a.printf("launch %s %d at %s", e.ID, n, worker)
}
func (a *recordingActor) Complete(e *scheduler.Request, n int) {
	a.answers[e.ID]++
	a.printf("handle %s by launch %d", e.ID, n)
}
func (a *recordingActor) Reject(e *scheduler.Request, _ time.Duration, ran bool) {
	a.answers[e.ID]++
	a.printf("defer %s, may have run %v", e.ID, ran)
}
func (a *recordingActor) Fail(e *scheduler.Request, n int, ran bool) {
	a.answers[e.ID]++
	a.printf("dead-letter %s after %d launches, may have run %v", e.ID, n, ran)
}
func (a *recordingActor) Cancel(e *scheduler.Request, n int, worker string) {
	a.printf("withdraw %s %d at %s", e.ID, n, worker)
}
func (a *recordingActor) RequestLoad(o scheduler.LoadRequest) {
	a.printf("order %d of %d at %s", o.Replicas, o.Function, o.Worker)
}
func (a *recordingActor) Probe(worker string)    { a.printf("probe %s", worker) }
func (a *recordingActor) Subscribe()             {}
func (a *recordingActor) SetTimer(time.Duration) {}
func (a *recordingActor) Closed(e *scheduler.Request, _ int, how core.CloseReason) {
	a.closed[e.ID]++
	a.printf("ended %s %d", e.ID, how)
}

func newRecordingActor(print bool) *recordingActor {
	return &recordingActor{inFlight: map[string]int{}, answers: map[string]int{}, closed: map[string]int{}, print: print}
}

func testSettings() core.Settings {
	return core.Settings{Seed: 7, Gateways: 1, MinTickInterval: 2 * ms, MaxAttempts: 4, Cancel: true, MaxRetryAfter: 500 * ms, EnforceDeadlines: true,
		Types: []scheduler.RequestType{{Name: "free", Objective: time.Second}, {Name: "once", Effect: scheduler.AtMostOnce, Objective: time.Second},
			{Name: "zone", Effect: scheduler.IdempotencyKey, DedupScope: scheduler.ScopeZone, DedupWindow: 300 * ms, Objective: time.Second}},
		LoadPolicy: core.LoadPolicy{LoadOnMiss: true, ReplicaIdleTimeout: 10 * time.Second, RequestTimeout: 5 * time.Second}}
}

var workers = []scheduler.Member{{Worker: "a", Zone: "1"}, {Worker: "b", Zone: "1"}, {Worker: "c", Zone: "2"}}

// startRequest has request e of a type sent.
func startRequest(a core.Actor, kind string) (*core.Core, time.Duration) {
	c, now := core.New(testSettings(), a), time.Hour
	c.ReplaceMembership(now, workers)
	e := &scheduler.Request{ID: "e", Type: kind, Function: 1, TimeLeft: 2 * time.Second, Concurrency: 1}
	fmt.Println(c.Submit(now, e), c.Submit(now, e))
	c.ProcessDue(now)
	return c, now
}

// An answer and its time-out in the same instant: what was told first counts, whichever it is, and just once.
func Example_answerAndTimeoutAtTheSameInstant() {
	a := newRecordingActor(true)
	c, now := startRequest(a, "once")
	now += 2 * time.Second
	fmt.Println(c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Duration: 2 * time.Second}))
	c.ProcessDue(now)
	c, now = startRequest(a, "once")
	now += 2 * time.Second
	c.ProcessDue(now)
	fmt.Println(c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Duration: 2 * time.Second}))
	fmt.Println(c.OpenRequests())
	// Output:
	// <nil> an event of this id is in hand
	// launch e 0 at c
	// handle e by launch 0
	// ended e 0
	// true
	// <nil> an event of this id is in hand
	// launch e 0 at c
	// dead-letter e after 1 launches, may have run true
	// ended e 2
	// false
	// 0
}

// A client that leaves while its at-most-once request runs: nothing is answered, the attempt is awaited or timed out.
func Example_clientDisconnectsDuringAttempt() {
	a := newRecordingActor(true)
	c, now := startRequest(a, "once")
	fmt.Println(c.ClientDisconnected(now+ms, "e"), c.OpenRequests(), c.ClientDisconnected(now, "never"))
	c.ProcessDue(now + 3*time.Second)
	fmt.Println(c.OpenRequests())
	// Output:
	// <nil> an event of this id is in hand
	// launch e 0 at c
	// true 1 false
	// ended e 3
	// 0
}

// Whatever is told in whatever order: every request that came has one final answer by its client's time, unless the
// client left; nothing stays in hand; and a recording of it replays to the same actions.
func TestOneAnswerAndIdenticalReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newRecordingActor(false)
		var tape bytes.Buffer
		c, rec := replay.Start(testSettings(), a, &tape)
		now := time.Hour
		c.ReplaceMembership(now, workers)
		left := map[string]bool{}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * ms
			id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "which"))
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				kind := rapid.SampledFrom([]string{"free", "once", "zone", "unheard"}).Draw(t, "type")
				e := &scheduler.Request{ID: fmt.Sprint(n), Type: kind, Function: uint64(n % 3), Concurrency: 1,
					TimeLeft: time.Duration(rapid.IntRange(1, 3000).Draw(t, "patience")) * ms}
				if err := c.Submit(now, e); err != nil {
					t.Fatal(err)
				}
				n++
			case 2, 3:
				launch, is := a.inFlight[id]
				if is && rapid.Bool().Draw(t, "stale") {
					launch--
				}
				c.CompleteAttempt(now, id, launch, scheduler.Outcome{Result: scheduler.Result(rapid.IntRange(0, 8).Draw(t, "result")), Duration: ms})
			case 4:
				if c.ClientDisconnected(now, id) {
					left[id] = true
				}
			case 5:
				i := rapid.IntRange(0, 2).Draw(t, "worker")
				l := workers[i]
				l.Condition = scheduler.Condition(rapid.IntRange(0, 2).Draw(t, "condition"))
				if members := []scheduler.Member{l}; rapid.Bool().Draw(t, "complete") {
					c.ReplaceMembership(now, members)
				} else {
					c.UpdateMembership(now, members)
				}
			case 6:
				c.ShutdownBy(now, now+time.Duration(rapid.IntRange(0, 5000).Draw(t, "end"))*ms)
			}
			c.ProcessDue(now)
		}
		for range 40 {
			now += 100 * ms
			c.TimerFired(now)
			c.ProcessDue(now)
		}
		if c.OpenRequests() != 0 {
			t.Fatalf("%d events in hand after everybody's time", c.OpenRequests())
		}
		for i := range n {
			id := fmt.Sprint(i)
			if got := a.answers[id]; got > 1 || got == 0 && !left[id] || a.closed[id] != 1 {
				t.Fatalf("event %s: %d final answers, forgotten %d times, client left %v", id, got, a.closed[id], left[id])
			}
		}
		if rec.Err() != nil {
			t.Fatal(rec.Err())
		}
		if told, err := replay.Replay(bytes.NewReader(tape.Bytes()), nil); err != nil || told.Inputs == 0 {
			t.Fatalf("%+v: %v", told, err)
		}
		cut := rapid.IntRange(1, tape.Len()-1).Draw(t, "cut")
		// cut short as by a kill: torn, or an action is missing at its end; what is there agrees
		if told, err := replay.Replay(bytes.NewReader(tape.Bytes()[:cut]), nil); err != nil &&
			!(errors.Is(err, replay.ErrDivergence) && strings.HasSuffix(err.Error(), "is missing")) && told.Inputs > 0 {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	})
}

// A front end that is told to end answers all that it has in hand by then, and what comes yet, whatever time their
// clients still have: a request that waits for a replica, one out at a worker that says nothing, one whose client has
// left.
func TestShutdownBy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newRecordingActor(false)
		c, now := core.New(testSettings(), a), time.Hour
		c.ReplaceMembership(now, workers[:rapid.IntRange(0, 3).Draw(t, "workers")])
		n := 0
		came := func() {
			e := &scheduler.Request{ID: fmt.Sprint(n), Type: rapid.SampledFrom([]string{"free", "once", "zone"}).Draw(t, "type"),
				Function: uint64(n % 3), Concurrency: 1, TimeLeft: 100 * time.Second}
			if err := c.Submit(now, e); err != nil {
				t.Fatal(err)
			}
			n++
			if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
				c.ClientDisconnected(now, e.ID)
				a.answers[e.ID]++
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "before") {
			came()
			c.ProcessDue(now)
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
		}
		by := now + 3*time.Second
		c.ShutdownBy(now, by)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			came()
			c.ProcessDue(now)
			now += 100 * ms
		}
		for ; now < by; now += 100 * ms {
			c.TimerFired(now)
			c.ProcessDue(now)
		}
		c.TimerFired(by)
		c.ProcessDue(by)
		for i := range n {
			if a.answers[fmt.Sprint(i)] != 1 {
				t.Errorf("event %d has %d final answers", i, a.answers[fmt.Sprint(i)])
			}
		}
		if c.OpenRequests() != 0 {
			t.Error(c.OpenRequests(), "in hand")
		}
	})
}

func FuzzReplay(f *testing.F) {
	var tape bytes.Buffer
	c, _ := replay.Start(testSettings(), newRecordingActor(false), &tape)
	c.ReplaceMembership(time.Hour, workers)
	c.ProcessDue(time.Hour)
	f.Add(tape.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		told, err := replay.Replay(bytes.NewReader(b), nil)
		if err == nil && told.Settings.Seed == 0 && told.Inputs > len(b) {
			t.Error("more facts than bytes")
		}
	})
}

// The outcome of an attempt that is over, come while the next one is out, is not taken for that one's.
func TestOutcomeOfAnEarlierAttempt(t *testing.T) {
	a := newRecordingActor(false)
	c, now := core.New(testSettings(), a), time.Hour
	c.ReplaceMembership(now, workers)
	if err := c.Submit(now, &scheduler.Request{ID: "e", Type: "free", Function: 1, TimeLeft: 20 * time.Second, Concurrency: 1}); err != nil {
		t.Fatal(err)
	}
	until := func(launch int) {
		for range 5000 { // past the time in which the first launch may have brought a copy
			if n, is := a.inFlight["e"]; is && n == launch {
				return
			}
			now += 2 * ms
			c.TimerFired(now)
			c.ProcessDue(now)
		}
		t.Fatal("launch", launch, "never left")
	}
	until(0)
	if !c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.ConnectionLost, Duration: ms}) {
		t.Error("the outcome is not taken")
	}
	until(1)
	if c.CompleteAttempt(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Duration: ms}) || a.answers["e"] != 0 {
		t.Error("a late answer to the first launch is taken for one to the second")
	}
	if !c.CompleteAttempt(now, "e", 1, scheduler.Outcome{Result: scheduler.Completed, Duration: ms}) || a.answers["e"] != 1 {
		t.Error("the second's is not")
	}
}
