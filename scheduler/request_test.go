package scheduler_test

import "lupinpond/scheduler"

// Rule 1: a request that no worker can serve is answered before its deadline.
func Example_answeredBeforeDeadline() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, nil)
	h.submit("e1", "at-most-once", 9)
	for range 30 {
		h.advance(100 * ms)
	}
	// Output:
	// 0s e1 enqueue
	// 1s e1 reject
}

// Rule 2: a request that may have run is retried only as its type allows. One that did not run may always be retried.
func Example_retrySafety() {
	for _, result := range []scheduler.Result{scheduler.Rejected, scheduler.ConnectionLost} {
		h := newHarness(1)
		for i, kind := range []string{"idempotent", "keyed", "at-most-once"} {
			request := h.submit(kind, kind, uint64(i))
			h.completeLoads(h.advance(0))
			h.advance(10 * ms)
			h.now += 50 * ms
			h.complete(request, result, 50*ms)
		}
	}
	// Output:
	// 0s idempotent enqueue
	// 0s load 0 x1 on c
	// 10ms idempotent send to c
	// 60ms idempotent enqueue
	// 60ms keyed enqueue
	// 60ms load 1 x1 on c
	// 70ms keyed send to c
	// 120ms keyed enqueue
	// 120ms at-most-once enqueue
	// 120ms load 2 x1 on c
	// 130ms at-most-once send to c
	// 180ms at-most-once enqueue
	// 0s idempotent enqueue
	// 0s load 0 x1 on c
	// 10ms idempotent send to c
	// 60ms idempotent enqueue
	// 60ms keyed enqueue
	// 60ms load 1 x1 on c
	// 70ms keyed send to c
	// 120ms keyed enqueue
	// 120ms at-most-once enqueue
	// 120ms load 2 x1 on c
	// 130ms at-most-once send to c
	// 180ms at-most-once fail
}

// Rule 2: a request with an idempotency key that may have run fails after its deduplication window, in which workers
// would drop a duplicate.
func Example_dedupWindow() {
	h := newHarness(1)
	request := h.submit("e1", "keyed", 9)
	h.completeLoads(h.advance(0))
	h.advance(10 * ms)
	h.now += 2100 * ms
	h.complete(request, scheduler.TimedOut, 2100*ms)
	// Output:
	// 0s e1 enqueue
	// 0s load 9 x1 on c
	// 10ms e1 send to c
	// 2.11s e1 fail
}
