package scheduler_test

import (
	"fmt"

	"lupinpond/scheduler"
)

// An unresponsive worker is ejected. Attempts there that may be retried are cancelled and sent to another worker.
func Example_unresponsiveWorker() {
	h := newHarness(1)
	var requests []*scheduler.Request
	for i := range 3 {
		requests = append(requests, h.submit(fmt.Sprint("e", i), "idempotent", 9))
	}
	for range 7 {
		h.completeLoads(h.advance(200 * ms))
	}
	for _, request := range requests {
		h.complete(request, scheduler.Cancelled, 600*ms)
	}
	h.completeLoads(h.advance(200 * ms))
	h.advance(0)
	// Output:
	// 0s e0 enqueue
	// 0s e1 enqueue
	// 0s e2 enqueue
	// 200ms load 9 x1 on c
	// 400ms e0 send to c
	// 400ms e1 send to c
	// 400ms e2 send to c
	// 1.2s e0 cancel
	// 1.2s e1 cancel
	// 1.2s e2 cancel
	// 1.4s e0 enqueue
	// 1.4s e1 enqueue
	// 1.4s e2 enqueue
	// 1.6s load 9 x1 on b
	// 1.6s e0 send to b
	// 1.6s e1 send to b
	// 1.6s e2 send to b
}
