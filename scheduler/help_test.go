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
	h := &harness{Scheduler: scheduler.New(7, 0, peers, 2*ms), now: time.Hour}
	for i, name := range []string{"redeliverable", "keyed", "at-most-once"} {
		h.AddType(scheduler.RequestType{Name: name, Effect: scheduler.Effect(i), DedupScope: scheduler.ScopeCell,
			DedupWindow: 2000 * ms, Objective: 1000 * ms})
	}
	h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, MaxRetryAfter: 500 * ms})
	h.SetLoadPolicy(scheduler.LoadPolicy{RequestLoads: true, LoadOnMiss: true, ReplicaIdleTimeout: 10000 * ms, RequestTimeout: 5000 * ms})
	h.SetSlowStart(scheduler.SlowStart{InitialShare: 0.2, WarmUpTime: 10000 * ms, CrashMultiple: 2, CrashWindow: 1000 * ms})
	h.ReplaceMembership(h.now, []scheduler.Member{
		{Worker: "a", Cell: "1"}, {Worker: "b", Cell: "1"}, {Worker: "c", Cell: "2"}})
	return h
}

// submit takes a new request and prints the answer.
func (h *harness) submit(id, kind string, fn uint64) *scheduler.Request {
	request := &scheduler.Request{ID: id, Type: kind, Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
	h.print(h.Submit(h.now, request))
	return request
}

// submitQuietly takes a new request and prints nothing.
func (h *harness) submitQuietly(fn uint64) *scheduler.Request {
	request := &scheduler.Request{Type: "redeliverable", Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
	h.Submit(h.now, request)
	return request
}

// complete ends the in flight attempt of a request and prints the answer.
func (h *harness) complete(request *scheduler.Request, result scheduler.Result, duration time.Duration) {
	h.print(h.Complete(h.now, request, scheduler.Outcome{Result: result, Duration: duration, Final: result == scheduler.Completed}))
}

// advance lets time pass and prints what is due then.
func (h *harness) advance(d time.Duration) scheduler.TickResult {
	h.now += d
	due := h.Tick(h.now)
	for _, decision := range due.Decisions {
		h.print(decision)
	}
	for _, load := range due.LoadRequests {
		fmt.Printf("%v load %d x%d on %s\n", h.now-time.Hour, load.Function, load.Replicas, load.Worker)
	}
	return due
}

func (h *harness) print(decision scheduler.Decision) {
	names := map[scheduler.Action]string{scheduler.Enqueue: "hold", scheduler.Send: "launch on", scheduler.Reject: "defer",
		scheduler.Fail: "dead-letter", scheduler.Cancel: "withdraw", scheduler.NoAction: "nothing"}
	line := fmt.Sprintf("%v %s %s", h.now-time.Hour, decision.Request.ID, names[decision.Action])
	if decision.Action == scheduler.Send {
		line += " " + decision.Worker
	}
	fmt.Println(line)
}

// completeLoads answers every order of st: the replicas stand.
func (h *harness) completeLoads(due scheduler.TickResult) {
	for _, load := range due.LoadRequests {
		h.LoadCompleted(h.now, load, scheduler.Completed, 400*ms)
	}
}

// completed ends attempts among answers well, after so long.
func (h *harness) completeAll(decisions []scheduler.Decision, duration time.Duration) {
	for _, decision := range decisions {
		if decision.Request.InFlight() {
			h.Complete(h.now, decision.Request, scheduler.Outcome{Result: scheduler.Completed, Duration: duration, Final: true})
		}
	}
}

// serve does what is due for a new request: loads are answered, and what they let go is completed after so long. It
// gives the orders.
func (h *harness) serve(request *scheduler.Request, duration time.Duration) []scheduler.LoadRequest {
	h.Submit(h.now, request)
	due := h.Tick(h.now)
	h.completeLoads(due)
	h.completeAll(h.Tick(h.now).Decisions, duration)
	return due.LoadRequests
}

// newFleet starts front end self of peers over so many workers; it prints nothing by itself.
func newFleet(self, peers, workers int) *harness {
	h := &harness{Scheduler: scheduler.New(uint64(self), self, peers, 2*ms), now: time.Hour}
	h.AddType(scheduler.RequestType{Name: "redeliverable", Objective: 1000 * ms})
	h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, MaxRetryAfter: 500 * ms})
	h.SetLoadPolicy(scheduler.LoadPolicy{RequestLoads: true, LoadOnMiss: true, ReplicaIdleTimeout: 10000 * ms, RequestTimeout: 5000 * ms})
	h.SetSlowStart(scheduler.SlowStart{InitialShare: 0.2, WarmUpTime: 10000 * ms, CrashMultiple: 2, CrashWindow: 1000 * ms})
	var members []scheduler.Member
	for i := range workers {
		members = append(members, scheduler.Member{Worker: fmt.Sprint("w", i)})
	}
	h.ReplaceMembership(h.now, members)
	return h
}

// firstReplicaWorkers counts the workers with first replicas of function 9 after 50 requests at each of 40 front ends
// of 20 workers.
func firstReplicaWorkers(memory float64, function func(i int) uint64) int {
	found := map[string]bool{}
	for self := range 40 {
		h := newFleet(self, 40, 20)
		h.AddWorkerKind("", memory)
		for i := range 50 {
			request := &scheduler.Request{Type: "redeliverable", Function: function(i), TimeLeft: 3000 * ms, Concurrency: 4, Memory: 1}
			for _, load := range h.serve(request, 100*ms) {
				if load.Function == 9 {
					found[load.Worker] = true
				}
			}
			h.now += 200 * ms
		}
	}
	return len(found)
}
