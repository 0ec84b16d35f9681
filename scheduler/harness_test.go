package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

const ms = time.Millisecond

// harness is a Scheduler with a clock. Its methods submit, complete and advance print the decisions.
type harness struct {
	*scheduler.Scheduler
	now time.Duration
}

// newBareHarness returns the harness of the gateway with number index, with policies but without workers and types.
func newBareHarness(seed uint64, index, gateways int) *harness {
	h := &harness{Scheduler: scheduler.New(seed, index, gateways, 2*ms), now: time.Hour}
	h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, MaxRetryAfter: 500 * ms})
	h.SetLoadPolicy(scheduler.LoadPolicy{
		RequestLoads:       true,
		LoadOnMiss:         true,
		ReplicaIdleTimeout: 10000 * ms,
		RequestTimeout:     5000 * ms,
	})
	h.SetSlowStart(scheduler.SlowStart{
		InitialShare:  0.2,
		WarmUpTime:    10000 * ms,
		CrashMultiple: 2,
		CrashWindow:   1000 * ms,
	})
	return h
}

// newHarness returns the harness of gateway 0 with workers a, b and c and three request types.
func newHarness(gateways int) *harness {
	h := newBareHarness(7, 0, gateways)
	for i, name := range []string{"idempotent", "keyed", "at-most-once"} {
		h.AddType(scheduler.RequestType{Name: name, Effect: scheduler.Effect(i), DedupScope: scheduler.ScopeCell,
			DedupWindow: 2000 * ms, Objective: 1000 * ms})
	}
	h.ReplaceMembership(h.now, []scheduler.Member{
		{Worker: "a", Cell: "1"}, {Worker: "b", Cell: "1"}, {Worker: "c", Cell: "2"}})
	return h
}

// newFleetHarness returns the harness of the gateway with number index, with workers w0, w1 and so on.
func newFleetHarness(index, gateways, workers int) *harness {
	h := newBareHarness(uint64(index), index, gateways)
	h.AddType(scheduler.RequestType{Name: "idempotent", Objective: 1000 * ms})
	var members []scheduler.Member
	for i := range workers {
		members = append(members, scheduler.Member{Worker: fmt.Sprint("w", i)})
	}
	h.ReplaceMembership(h.now, members)
	return h
}

// enableProbes sets the attempt policy of newBareHarness with probes allowed.
func (h *harness) enableProbes() {
	h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, Probe: true, MaxRetryAfter: 500 * ms})
}

// newRequest returns an idempotent request of a function whose replicas run concurrency requests at a time.
func newRequest(function uint64, concurrency int) *scheduler.Request {
	return &scheduler.Request{Type: "idempotent", Function: function, TimeLeft: 3000 * ms, Concurrency: concurrency}
}

// submit submits a new request and prints the decision.
func (h *harness) submit(id, requestType string, function uint64) *scheduler.Request {
	request := newRequest(function, 1)
	request.ID, request.Type, request.LoadTime = id, requestType, 400*ms
	h.print(h.Submit(h.now, request))
	return request
}

// submitQuietly submits a new request without printing the decision.
func (h *harness) submitQuietly(function uint64) *scheduler.Request {
	request := newRequest(function, 1)
	request.LoadTime = 400 * ms
	h.Submit(h.now, request)
	return request
}

// complete completes the attempt in flight of a request with a result and prints the decision.
func (h *harness) complete(request *scheduler.Request, result scheduler.Result, duration time.Duration) {
	h.print(h.Complete(h.now, request,
		scheduler.Outcome{Result: result, Duration: duration, Final: result == scheduler.Completed}))
}

// advance advances the clock, calls Tick and prints the decisions and load requests that are due.
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

// print prints a decision with the time since the start of the test.
func (h *harness) print(decision scheduler.Decision) {
	names := map[scheduler.Action]string{
		scheduler.Enqueue:  "enqueue",
		scheduler.Send:     "send to",
		scheduler.Reject:   "reject",
		scheduler.Fail:     "fail",
		scheduler.Cancel:   "cancel",
		scheduler.NoAction: "nothing",
	}
	line := fmt.Sprintf("%v %s %s", h.now-time.Hour, decision.Request.ID, names[decision.Action])
	if decision.Action == scheduler.Send {
		line += " " + decision.Worker
	}
	fmt.Println(line)
}

// completeProbe completes a probe of a worker that reports a queue depth.
func (h *harness) completeProbe(worker string, queueDepth float64) {
	h.ProbeCompleted(h.now, worker, scheduler.Completed,
		scheduler.LoadReport{Reported: true, QueueDepth: queueDepth}, ms)
}

// completeLoads completes all load requests in the result of a Tick.
func (h *harness) completeLoads(due scheduler.TickResult) {
	for _, load := range due.LoadRequests {
		h.LoadCompleted(h.now, load, scheduler.Completed, 400*ms)
	}
}

// completeAll completes the attempts that the decisions sent, with a duration.
func (h *harness) completeAll(decisions []scheduler.Decision, duration time.Duration) {
	for _, decision := range decisions {
		if decision.Request.InFlight() {
			h.Complete(h.now, decision.Request,
				scheduler.Outcome{Result: scheduler.Completed, Duration: duration, Final: true})
		}
	}
}

// serve submits a request, completes the loads requested for it and then the attempts, with a duration. It returns the
// load requests.
func (h *harness) serve(request *scheduler.Request, duration time.Duration) []scheduler.LoadRequest {
	h.Submit(h.now, request)
	due := h.Tick(h.now)
	h.completeLoads(due)
	h.completeAll(h.Tick(h.now).Decisions, duration)
	return due.LoadRequests
}

// firstReplicaWorkers returns the number of workers with first replicas of function 9 after each of 40 gateways
// received 50 requests, in a fleet of 20 workers. function returns the function of request i.
func firstReplicaWorkers(memory float64, function func(i int) uint64) int {
	found := map[string]bool{}
	for index := range 40 {
		h := newFleetHarness(index, 40, 20)
		h.AddWorkerKind("", memory)
		for i := range 50 {
			request := newRequest(function(i), 4)
			request.Memory = 1
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
