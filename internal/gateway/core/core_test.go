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

// told prints what a core does, and keeps what is in flight.
type told struct {
	out     map[string]int // launch outstanding, by event
	endings map[string]int // final answers
	ended   map[string]int // bookkeeping
	print   bool
}

func (a *told) say(format string, args ...any) {
	if a.print {
		fmt.Printf(format+"\n", args...)
	}
}

func (a *told) Send(e *scheduler.Request, n int, worker string) {
	a.out[e.ID] = n
	a.say("launch %s %d at %s", e.ID, n, worker)
}
func (a *told) Complete(e *scheduler.Request, n int) {
	a.endings[e.ID]++
	a.say("handle %s by launch %d", e.ID, n)
}
func (a *told) Reject(e *scheduler.Request, _ time.Duration, ran bool) {
	a.endings[e.ID]++
	a.say("defer %s, may have run %v", e.ID, ran)
}
func (a *told) Fail(e *scheduler.Request, n int, ran bool) {
	a.endings[e.ID]++
	a.say("dead-letter %s after %d launches, may have run %v", e.ID, n, ran)
}
func (a *told) Cancel(e *scheduler.Request, n int, worker string) {
	a.say("withdraw %s %d at %s", e.ID, n, worker)
}
func (a *told) Load(o scheduler.LoadRequest) {
	a.say("order %d of %d at %s", o.Replicas, o.Function, o.Worker)
}
func (a *told) Probe(worker string) { a.say("probe %s", worker) }
func (a *told) Subscribe()          {}
func (a *told) Wake(time.Duration)  {}
func (a *told) Ended(e *scheduler.Request, _ int, how core.Ending) {
	a.ended[e.ID]++
	a.say("ended %s %d", e.ID, how)
}

func newTold(print bool) *told {
	return &told{out: map[string]int{}, endings: map[string]int{}, ended: map[string]int{}, print: print}
}

func front() core.Settings {
	return core.Settings{Seed: 7, FrontEnds: 1, Quantum: 2 * ms, MaxAttempts: 4, Cancel: true, MaxRetryAfter: 500 * ms, Deadlines: true,
		Types: []scheduler.RequestType{{Name: "free", Objective: time.Second}, {Name: "once", Effect: scheduler.AtMostOnce, Objective: time.Second},
			{Name: "zone", Effect: scheduler.IdempotencyKey, Group: scheduler.GroupZone, Window: 300 * ms, Objective: time.Second}},
		Loading: core.Loading{OnMiss: true, Keep: 10 * time.Second, Limit: 5 * time.Second}}
}

var workers = []scheduler.Member{{Worker: "a", Zone: "1"}, {Worker: "b", Zone: "1"}, {Worker: "c", Zone: "2"}}

// begin has request e of a type sent.
func begin(a core.Actor, kind string) (*core.Core, time.Duration) {
	c, now := core.New(front(), a), time.Hour
	c.UpdateMembership(now, true, workers)
	e := &scheduler.Request{ID: "e", Type: kind, Function: 1, TimeLeft: 2 * time.Second, Concurrency: 1}
	fmt.Println(c.Submit(now, e), c.Submit(now, e))
	c.Settle(now)
	return c, now
}

// An answer and its time-out in the same instant: what was told first counts, whichever it is, and just once.
func Example_answerAndTimeOutInTheSameInstant() {
	a := newTold(true)
	c, now := begin(a, "once")
	now += 2 * time.Second
	fmt.Println(c.Outcome(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Took: 2 * time.Second}))
	c.Settle(now)
	c, now = begin(a, "once")
	now += 2 * time.Second
	c.Settle(now)
	fmt.Println(c.Outcome(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Took: 2 * time.Second}))
	fmt.Println(c.InHand())
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
func Example_clientGoneWhileItRuns() {
	a := newTold(true)
	c, now := begin(a, "once")
	fmt.Println(c.ClientGone(now+ms, "e"), c.InHand(), c.ClientGone(now, "never"))
	c.Settle(now + 3*time.Second)
	fmt.Println(c.InHand())
	// Output:
	// <nil> an event of this id is in hand
	// launch e 0 at c
	// true 1 false
	// ended e 3
	// 0
}

// Whatever is told in whatever order: every request that came has one final answer by its client's time, unless the
// client left; nothing stays in hand; and a recording of it replays to the same actions.
func TestOneEndingAndTheSameReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTold(false)
		var tape bytes.Buffer
		c, rec := replay.Start(front(), a, &tape)
		now := time.Hour
		c.UpdateMembership(now, true, workers)
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
				launch, is := a.out[id]
				if is && rapid.Bool().Draw(t, "stale") {
					launch--
				}
				c.Outcome(now, id, launch, scheduler.Outcome{Result: scheduler.Result(rapid.IntRange(0, 8).Draw(t, "result")), Took: ms})
			case 4:
				if c.ClientGone(now, id) {
					left[id] = true
				}
			case 5:
				i := rapid.IntRange(0, 2).Draw(t, "worker")
				l := workers[i]
				l.Condition = scheduler.Condition(rapid.IntRange(0, 2).Draw(t, "condition"))
				c.UpdateMembership(now, rapid.Bool().Draw(t, "whole"), []scheduler.Member{l})
			case 6:
				c.EndBy(now, now+time.Duration(rapid.IntRange(0, 5000).Draw(t, "end"))*ms)
			}
			c.Settle(now)
		}
		for range 40 {
			now += 100 * ms
			c.Woke(now)
			c.Settle(now)
		}
		if c.InHand() != 0 {
			t.Fatalf("%d events in hand after everybody's time", c.InHand())
		}
		for i := range n {
			id := fmt.Sprint(i)
			if got := a.endings[id]; got > 1 || got == 0 && !left[id] || a.ended[id] != 1 {
				t.Fatalf("event %s: %d final answers, forgotten %d times, client left %v", id, got, a.ended[id], left[id])
			}
		}
		if rec.Err() != nil {
			t.Fatal(rec.Err())
		}
		if told, err := replay.Replay(bytes.NewReader(tape.Bytes()), nil); err != nil || told.Facts == 0 {
			t.Fatalf("%+v: %v", told, err)
		}
		cut := rapid.IntRange(1, tape.Len()-1).Draw(t, "cut")
		// cut short as by a kill: torn, or an action is missing at its end; what is there agrees
		if told, err := replay.Replay(bytes.NewReader(tape.Bytes()[:cut]), nil); err != nil &&
			!(errors.Is(err, replay.ErrDiffers) && strings.HasSuffix(err.Error(), "is missing")) && told.Facts > 0 {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	})
}

// A front end that is told to end answers all that it has in hand by then, and what comes yet, whatever time their clients
// still have: a request that waits for a replica, one out at a worker that says nothing, one whose client has left.
func TestEndBy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTold(false)
		c, now := core.New(front(), a), time.Hour
		c.UpdateMembership(now, true, workers[:rapid.IntRange(0, 3).Draw(t, "workers")])
		n := 0
		came := func() {
			e := &scheduler.Request{ID: fmt.Sprint(n), Type: rapid.SampledFrom([]string{"free", "once", "zone"}).Draw(t, "type"),
				Function: uint64(n % 3), Concurrency: 1, TimeLeft: 100 * time.Second}
			if err := c.Submit(now, e); err != nil {
				t.Fatal(err)
			}
			n++
			if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
				c.ClientGone(now, e.ID)
				a.endings[e.ID]++
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "before") {
			came()
			c.Settle(now)
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
		}
		by := now + 3*time.Second
		c.EndBy(now, by)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			came()
			c.Settle(now)
			now += 100 * ms
		}
		for ; now < by; now += 100 * ms {
			c.Woke(now)
			c.Settle(now)
		}
		c.Woke(by)
		c.Settle(by)
		for i := range n {
			if a.endings[fmt.Sprint(i)] != 1 {
				t.Errorf("event %d has %d final answers", i, a.endings[fmt.Sprint(i)])
			}
		}
		if c.InHand() != 0 {
			t.Error(c.InHand(), "in hand")
		}
	})
}

func FuzzReplay(f *testing.F) {
	var tape bytes.Buffer
	c, _ := replay.Start(front(), newTold(false), &tape)
	c.UpdateMembership(time.Hour, true, workers)
	c.Settle(time.Hour)
	f.Add(tape.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		told, err := replay.Replay(bytes.NewReader(b), nil)
		if err == nil && told.Front.Seed == 0 && told.Facts > len(b) {
			t.Error("more facts than bytes")
		}
	})
}

// The outcome of an attempt that is over, come while the next one is out, is not taken for that one's.
func TestOutcomeOfAnEarlierLaunch(t *testing.T) {
	a := newTold(false)
	c, now := core.New(front(), a), time.Hour
	c.UpdateMembership(now, true, workers)
	if err := c.Submit(now, &scheduler.Request{ID: "e", Type: "free", Function: 1, TimeLeft: 20 * time.Second, Concurrency: 1}); err != nil {
		t.Fatal(err)
	}
	until := func(launch int) {
		for range 5000 { // past the time in which the first launch may have brought a copy
			if n, is := a.out["e"]; is && n == launch {
				return
			}
			now += 2 * ms
			c.Woke(now)
			c.Settle(now)
		}
		t.Fatal("launch", launch, "never left")
	}
	until(0)
	if !c.Outcome(now, "e", 0, scheduler.Outcome{Result: scheduler.Broken, Took: ms}) {
		t.Error("the outcome is not taken")
	}
	until(1)
	if c.Outcome(now, "e", 0, scheduler.Outcome{Result: scheduler.Completed, Took: ms}) || a.endings["e"] != 0 {
		t.Error("a late answer to the first launch is taken for one to the second")
	}
	if !c.Outcome(now, "e", 1, scheduler.Outcome{Result: scheduler.Completed, Took: ms}) || a.endings["e"] != 1 {
		t.Error("the second's is not")
	}
}
