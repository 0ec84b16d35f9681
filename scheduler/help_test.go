package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

const ms = time.Millisecond

// harness is a Scheduler with a clock that prints each of its decisions.
type harness struct {
	*scheduler.Scheduler
	now time.Duration
}

// newHarness starts front end 0 of peers with workers a, b and c, and three request types.
func newHarness(peers int) *harness {
	b := &harness{Scheduler: scheduler.New(7, 0, peers, 2*ms), now: time.Hour}
	for i, name := range []string{"redeliverable", "keyed", "at-most-once"} {
		b.AddType(scheduler.RequestType{Name: name, Effect: scheduler.Effect(i), DedupScope: scheduler.ScopeCell,
			DedupWindow: 2000 * ms, Objective: 1000 * ms})
	}
	b.SetAttemptPolicy(4, true, false, 500*ms)
	b.SetLoadPolicy(true, true, 10000*ms, 5000*ms, 0, 0, 0)
	b.SetSlowStart(0.2, 10000*ms, 2, 1000*ms)
	b.UpdateMembership(b.now, true, []scheduler.Member{
		{Worker: "a", Cell: "1"}, {Worker: "b", Cell: "1"}, {Worker: "c", Cell: "2"}})
	return b
}

// submit takes a new request and prints the answer.
func (b *harness) submit(id, kind string, fn uint64) *scheduler.Request {
	e := &scheduler.Request{ID: id, Type: kind, Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
	b.print(b.Submit(b.now, e))
	return e
}

// submitQuietly takes a new request and prints nothing.
func (b *harness) submitQuietly(fn uint64) *scheduler.Request {
	e := &scheduler.Request{Type: "redeliverable", Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
	b.Submit(b.now, e)
	return e
}

// complete ends the in flight attempt of a request and prints the answer.
func (b *harness) complete(e *scheduler.Request, r scheduler.Result, took time.Duration) {
	b.print(b.Complete(b.now, e, scheduler.Outcome{Result: r, Duration: took, Final: r == scheduler.Completed}))
}

// advance lets time pass and prints what is due then.
func (b *harness) advance(d time.Duration) scheduler.TickResult {
	b.now += d
	st := b.Tick(b.now)
	for _, a := range st.Decisions {
		b.print(a)
	}
	for _, o := range st.LoadRequests {
		fmt.Printf("%v load %d x%d on %s\n", b.now-time.Hour, o.Function, o.Replicas, o.Worker)
	}
	return st
}

func (b *harness) print(a scheduler.Decision) {
	words := map[scheduler.Action]string{scheduler.Enqueue: "hold", scheduler.Send: "launch on", scheduler.Reject: "defer",
		scheduler.Fail: "dead-letter", scheduler.Cancel: "withdraw", scheduler.NoAction: "nothing"}
	line := fmt.Sprintf("%v %s %s", b.now-time.Hour, a.Request.ID, words[a.Action])
	if a.Action == scheduler.Send {
		line += " " + a.Worker
	}
	fmt.Println(line)
}

// completeLoads answers every order of st: the replicas stand.
func (b *harness) completeLoads(st scheduler.TickResult) {
	for _, o := range st.LoadRequests {
		b.LoadCompleted(b.now, o, scheduler.Completed, 400*ms)
	}
}

// completed ends attempts among answers well, after so long.
func (b *harness) completeAll(answers []scheduler.Decision, took time.Duration) {
	for _, a := range answers {
		if a.Request.InFlight() {
			b.Complete(b.now, a.Request, scheduler.Outcome{Result: scheduler.Completed, Duration: took, Final: true})
		}
	}
}

// serve does what is due for a new request: loads are answered, and what they let go is completed after so long. It gives
// the orders.
func (b *harness) serve(e *scheduler.Request, took time.Duration) []scheduler.LoadRequest {
	b.Submit(b.now, e)
	st := b.Tick(b.now)
	b.completeLoads(st)
	b.completeAll(b.Tick(b.now).Decisions, took)
	return st.LoadRequests
}

// newFleet starts front end self of peers over so many workers; it prints nothing by itself.
func newFleet(self, peers, workers int) *harness {
	b := &harness{Scheduler: scheduler.New(uint64(self), self, peers, 2*ms), now: time.Hour}
	b.AddType(scheduler.RequestType{Name: "redeliverable", Objective: 1000 * ms})
	b.SetAttemptPolicy(4, true, false, 500*ms)
	b.SetLoadPolicy(true, true, 10000*ms, 5000*ms, 0, 0, 0)
	b.SetSlowStart(0.2, 10000*ms, 2, 1000*ms)
	var news []scheduler.Member
	for i := range workers {
		news = append(news, scheduler.Member{Worker: fmt.Sprint("w", i)})
	}
	b.UpdateMembership(b.now, true, news)
	return b
}

// firstReplicaWorkers counts the workers with first replicas of function 9 after 50 requests at each of 40 front ends of 20 workers.
func firstReplicaWorkers(memory float64, function func(i int) uint64) int {
	found := map[string]bool{}
	for self := range 40 {
		b := newFleet(self, 40, 20)
		b.AddWorkerKind("", memory)
		for i := range 50 {
			e := &scheduler.Request{Type: "redeliverable", Function: function(i), TimeLeft: 3000 * ms, Concurrency: 4, Memory: 1}
			for _, o := range b.serve(e, 100*ms) {
				if o.Function == 9 {
					found[o.Worker] = true
				}
			}
			b.now += 200 * ms
		}
	}
	return len(found)
}
