package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// A worker where others' requests wait comes last: a first replica goes to the next of the order.
func Example_backlog() {
	for _, waiting := range []float64{0, 9} {
		h := newHarness(1)
		h.probed("c", waiting)
		h.submit("e", "idempotent", 9)
		h.advance(0)
	}
	// Output:
	// 0s e enqueue
	// 0s load 9 x1 on c
	// 0s e enqueue
	// 0s load 9 x1 on b
}

// A first replica requested of a worker that then does not answer a probe does not count: another one is requested.
func Example_unansweredProbe() {
	h := newHarness(9) // more gateways than workers
	h.enableProbes()
	h.submit("e", "idempotent", 9)
	due := h.advance(0)
	fmt.Println("probe", due.Probes)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.TimedOut, scheduler.LoadReport{}, ms)
	due = h.advance(250 * ms)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.Completed, scheduler.LoadReport{Reported: true}, ms)
	h.completeLoads(due)
	h.advance(0)
	// Output:
	// 0s e enqueue
	// 0s load 9 x1 on c
	// probe [c]
	// 250ms load 9 x1 on b
	// 250ms e send to b
}

// A long round trip of a probe tells of a queue where round trips vary: the replica is requested elsewhere.
func Example_probeLatency() {
	for _, duration := range []time.Duration{ms, 9 * ms} {
		h := newHarness(9) // more gateways than workers
		h.enableProbes()
		for range 12 { // what is usual
			for i, worker := range []string{"a", "b", "c"} {
				h.ProbeCompleted(h.now, worker, scheduler.Completed, scheduler.LoadReport{}, time.Duration(i+1)*ms)
			}
		}
		h.now += time.Second
		h.submit("e", "idempotent", 9)
		h.ProbeCompleted(h.now, "c", scheduler.Completed, scheduler.LoadReport{}, duration)
		h.advance(0)
	}
	// Output:
	// 1s e enqueue
	// 1s load 9 x1 on c
	// 1s e enqueue
	// 1s load 9 x1 on b
}

// A rejected probe shows that the worker is alive: the load there counts, and no other is requested.
func Example_probeRejected() {
	h := newHarness(9)
	h.enableProbes()
	h.submit("e", "idempotent", 9)
	due := h.advance(0)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.Full, scheduler.LoadReport{}, ms)
	h.advance(250 * ms)
	h.advance(250 * ms)
	// Output:
	// 0s e enqueue
	// 0s load 9 x1 on c
}
