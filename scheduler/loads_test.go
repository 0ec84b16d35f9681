package scheduler_test

import (
	"fmt"

	"lupinpond/scheduler"
)

// Rule 5: the number of load requests stays within the rate limit even if every request calls a new function.
func Example_loadRateLimit() {
	h := newHarness(1)
	h.SetLoadPolicy(scheduler.LoadPolicy{
		RequestLoads:       true,
		ReplicaIdleTimeout: 10000 * ms,
		RequestTimeout:     5000 * ms,
		RateWindow:         5000 * ms,
		RateBurst:          2,
		RatePerRequest:     0.1,
	})
	loads := 0
	for i := range 100 {
		request := &scheduler.Request{ID: fmt.Sprint(i), Type: "idempotent", Function: uint64(i), TimeLeft: 3000 * ms}
		h.Submit(h.now, request)
		due := h.Tick(h.now)
		loads += len(due.LoadRequests)
		h.completeLoads(due)
		h.now += 10 * ms
	}
	fmt.Println("loads", loads, "of at most", 2+100/10)
	// Output:
	// loads 12 of at most 12
}

// If latencies are longer than a tick, one request that waits for a slot causes no load of further replicas, and three
// requests that arrive together cause one load.
func Example_slowAnswers() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	h.submitQuietly(9)
	h.submitQuietly(9)
	h.submitQuietly(9)
	h.advance(100 * ms)
	h.advance(300 * ms)
	h.LoadCompleted(h.now, scheduler.LoadRequest{Worker: "a", Function: 9, Replicas: 1}, scheduler.Completed, 400*ms)
	for range 3 { // one slot: the requests run one after the other
		for _, decision := range h.Tick(h.now).Decisions {
			h.now += 300 * ms
			h.Complete(h.now, decision.Request, scheduler.Outcome{Result: scheduler.Completed, Duration: 300 * ms, Final: true})
		}
	}
	fmt.Println(h.submit("runs", "idempotent", 9).InFlight())
	h.submit("waits", "idempotent", 9)
	h.advance(240 * ms)
	// Output:
	// 100ms load 9 x1 on a
	// 1.3s runs send to a
	// true
	// 1.3s waits enqueue
}
