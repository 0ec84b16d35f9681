package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

const ms = time.Millisecond

// bench is a Scheduler with a clock that prints each of its decisions.
type bench struct {
	*scheduler.Scheduler
	now time.Duration
}

// newBench starts front end 0 of peers with workers a, b and c, and three request types.
func newBench(peers int) *bench {
	b := &bench{Scheduler: scheduler.New(7, 0, peers, 2*ms), now: time.Hour}
	for i, name := range []string{"redeliverable", "keyed", "at-most-once"} {
		b.AddType(scheduler.RequestType{Name: name, Effect: scheduler.Effect(i), Group: scheduler.GroupCell,
			Window: 2000 * ms, Objective: 1000 * ms})
	}
	b.Allowed(4, true, false, 500*ms)
	b.Loading(true, true, 10000*ms, 5000*ms, 0, 0, 0)
	b.SlowStart(0.2, 10000*ms, 2, 1000*ms)
	b.UpdateMembership(b.now, true, []scheduler.Member{
		{Worker: "a", Cell: "1"}, {Worker: "b", Cell: "1"}, {Worker: "c", Cell: "2"}})
	return b
}

// place takes a new request and prints the answer.
func (b *bench) place(id, kind string, fn uint64) *scheduler.Request {
	e := &scheduler.Request{ID: id, Type: kind, Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
	b.show(b.Submit(b.now, e))
	return e
}

// quiet takes a new request and prints nothing.
func (b *bench) quiet(fn uint64) *scheduler.Request {
	e := &scheduler.Request{Type: "redeliverable", Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
	b.Submit(b.now, e)
	return e
}

// after ends the in flight attempt of a request and prints the answer.
func (b *bench) after(e *scheduler.Request, r scheduler.Result, took time.Duration) {
	b.show(b.Complete(b.now, e, scheduler.Outcome{Result: r, Took: took, Final: r == scheduler.Completed}))
}

// step lets time pass and prints what is due then.
func (b *bench) step(d time.Duration) scheduler.Steps {
	b.now += d
	st := b.Tick(b.now)
	for _, a := range st.Decisions {
		b.show(a)
	}
	for _, o := range st.Loads {
		fmt.Printf("%v load %d x%d on %s\n", b.now-time.Hour, o.Function, o.Replicas, o.Worker)
	}
	return st
}

func (b *bench) show(a scheduler.Decision) {
	words := map[scheduler.Verb]string{scheduler.Hold: "hold", scheduler.Send: "launch on", scheduler.Reject: "defer",
		scheduler.Fail: "dead-letter", scheduler.Cancel: "withdraw", scheduler.Nothing: "nothing"}
	line := fmt.Sprintf("%v %s %s", b.now-time.Hour, a.Request.ID, words[a.Verb])
	if a.Verb == scheduler.Send {
		line += " " + a.Worker
	}
	fmt.Println(line)
}

// loaded answers every order of st: the replicas stand.
func (b *bench) loaded(st scheduler.Steps) {
	for _, o := range st.Loads {
		b.Loaded(b.now, o, scheduler.Completed, 400*ms)
	}
}

// completed ends attempts among answers well, after so long.
func (b *bench) handled(answers []scheduler.Decision, took time.Duration) {
	for _, a := range answers {
		if a.Request.InFlight() {
			b.Complete(b.now, a.Request, scheduler.Outcome{Result: scheduler.Completed, Took: took, Final: true})
		}
	}
}

// serve does what is due for a new request: loads are answered, and what they let go is completed after so long. It gives
// the orders.
func (b *bench) serve(e *scheduler.Request, took time.Duration) []scheduler.LoadRequest {
	b.Submit(b.now, e)
	st := b.Tick(b.now)
	b.loaded(st)
	b.handled(b.Tick(b.now).Decisions, took)
	return st.Loads
}

// fleet starts front end self of peers over so many workers; it prints nothing by itself.
func fleet(self, peers, workers int) *bench {
	b := &bench{Scheduler: scheduler.New(uint64(self), self, peers, 2*ms), now: time.Hour}
	b.AddType(scheduler.RequestType{Name: "redeliverable", Objective: 1000 * ms})
	b.Allowed(4, true, false, 500*ms)
	b.Loading(true, true, 10000*ms, 5000*ms, 0, 0, 0)
	b.SlowStart(0.2, 10000*ms, 2, 1000*ms)
	var news []scheduler.Member
	for i := range workers {
		news = append(news, scheduler.Member{Worker: fmt.Sprint("w", i)})
	}
	b.UpdateMembership(b.now, true, news)
	return b
}

// homes counts the workers with first replicas of function 9 after 50 requests at each of 40 front ends of 20 workers.
func homes(memory float64, function func(i int) uint64) int {
	found := map[string]bool{}
	for self := range 40 {
		b := fleet(self, 40, 20)
		b.AddKind("", memory)
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
