package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// A worker with queued requests of other gateways is chosen last: a first replica is loaded by the next worker.
func Example_backlog() {
	for _, waiting := range []float64{0, 9} {
		h := newHarness(1)
		h.completeProbe("c", waiting)
		h.submit("e", "idempotent", 9)
		h.advance(0)
	}
	// Output:
	// 0s e enqueue
	// 0s load 9 x1 on c
	// 0s e enqueue
	// 0s load 9 x1 on b
}

// If a worker does not answer a probe, the first replica that it was asked to load counts as lost, and another worker
// is asked to load one.
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

// If round trips of probes vary, a long one indicates a queue at the worker: the replica is loaded by another worker.
func Example_probeLatency() {
	for _, duration := range []time.Duration{ms, 9 * ms} {
		h := newHarness(9) // more gateways than workers
		h.enableProbes()
		for range 12 { // the usual round trips
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

// A rejected probe shows that the worker is alive: the load in progress there counts, and no other load is requested.
func Example_probeRejected() {
	h := newHarness(9)
	h.enableProbes()
	h.submit("e", "idempotent", 9)
	due := h.advance(0)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.Rejected, scheduler.LoadReport{}, ms)
	h.advance(250 * ms)
	h.advance(250 * ms)
	// Output:
	// 0s e enqueue
	// 0s load 9 x1 on c
}
