package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// The ordinary path: a request is enqueued, its function is loaded, and the request is sent to the free slot. A second
// request waits for the slot.
func Example_ordinaryPath() {
	h := newHarness(1)
	e1 := h.submit("e1", "idempotent", 9)
	due := h.advance(0)
	h.now += 400 * ms
	h.completeLoads(due)
	h.advance(0)
	h.submit("e2", "idempotent", 9)
	h.now += 100 * ms
	h.complete(e1, scheduler.Completed, 100*ms)
	h.advance(0)
	// Output:
	// 0s e1 enqueue
	// 0s load 9 x1 on c
	// 400ms e1 send to c
	// 400ms e2 enqueue
	// 500ms e1 nothing
	// 500ms e2 send to c
}

// Clients that disconnect early and retry at once must not multiply the load: of a tenant's requests that are marked as
// retries only a few are accepted, and the others are rejected.
func Example_retries() {
	h := newHarness(1)
	h.AddTenant("n", 1000)
	for _, retry := range []bool{false, true} {
		enqueued := 0
		for range 40 {
			request := &scheduler.Request{Type: "idempotent", Tenant: "n", Function: 9, TimeLeft: 300 * ms, Retry: retry}
			if h.Submit(h.now, request).Action == scheduler.Enqueue {
				enqueued++
			}
		}
		fmt.Println("retry", retry, "enqueued", enqueued, "of 40")
	}
	// Output:
	// retry false enqueued 40 of 40
	// retry true enqueued 3 of 40
}

// Once the delay caused by queued requests has been measured, no request is sent to a worker whose queue would make it
// miss its latency objective.
func Example_queuedAhead() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	completed := func(request *scheduler.Request, duration time.Duration) {
		h.Complete(h.now, request, scheduler.Outcome{Result: scheduler.Completed, Duration: duration, Final: true,
			ReplicaState: scheduler.ReplicaWarm})
	}
	for range 8 {
		request := h.submitQuietly(9)
		h.completeLoads(h.Tick(h.now))
		h.completeProbe("a", 8)
		h.now += 20 * ms
		h.Tick(h.now)
		h.now += 900 * ms
		completed(request, 900*ms)
	}
	for _, waiting := range []float64{20, 1} {
		h.completeProbe("a", waiting)
		request := h.submitQuietly(9)
		h.now += 20 * ms
		h.Tick(h.now)
		fmt.Println("waiting", waiting, "sent", request.InFlight())
		h.now += 10 * ms
		h.completeProbe("a", 0)
		h.Tick(h.now)
		completed(request, 100*ms)
	}
	// Output:
	// waiting 20 sent false
	// waiting 1 sent true
}
