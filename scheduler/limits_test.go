package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// High latencies lower the fleet's limit of attempts in flight, even at a gateway among many that sends only few
// attempts to each worker.
func Example_fleetLimit() {
	for _, duration := range []time.Duration{100 * ms, 900 * ms} {
		h := newFleetHarness(0, 50, 20)
		for i := range 400 {
			request := newRequest(uint64(i%20), 4)
			h.Submit(h.now, request)
			due := h.Tick(h.now)
			h.completeLoads(due)
			decisions := append(due.Decisions, h.Tick(h.now).Decisions...)
			h.completeAll(append(decisions, scheduler.Decision{Request: request}), duration)
			h.now += 20 * ms
		}
		sent := 0
		for i := range 40 {
			request := newRequest(uint64(i%20), 4)
			if h.Submit(h.now, request).Action == scheduler.Send {
				sent++
			}
		}
		for range 40 { // the limit is rounded at random at each Tick
			for _, decision := range h.Tick(h.now).Decisions {
				if decision.Action == scheduler.Send {
					sent++
				}
			}
		}
		fmt.Println("answers of", duration, "in flight at once", sent)
	}
	// Output:
	// answers of 100ms in flight at once 7
	// answers of 900ms in flight at once 1
}

// A worker whose latency is three times the shortest one is overloaded if it reports queued requests, so its limit
// falls. Without queued requests the worker or its functions are slow, and a lower limit would not make it faster.
func Example_slowWorker() {
	for _, waiting := range []float64{0, 3} {
		h := newFleetHarness(0, 2, 1)
		for i := range 400 {
			duration := 50 * ms
			if i >= 100 {
				duration = 150 * ms
			}
			request := newRequest(9, 64)
			decisions := []scheduler.Decision{h.Submit(h.now, request)}
			due := h.Tick(h.now)
			h.completeLoads(due)
			for _, decision := range append(append(decisions, due.Decisions...), h.Tick(h.now).Decisions...) {
				if decision.Request.InFlight() {
					h.Complete(h.now, decision.Request, scheduler.Outcome{Result: scheduler.Completed, Duration: duration, Final: true,
						Report: scheduler.LoadReport{Reported: true, QueueDepth: waiting}})
				}
			}
			h.now += 20 * ms
		}
		sent := 0
		for range 40 {
			if h.Submit(h.now, newRequest(9, 64)).Action == scheduler.Send {
				sent++
			}
		}
		fmt.Println("waiting", waiting, "in flight at once", sent)
	}
	// Output:
	// waiting 0 in flight at once 8
	// waiting 3 in flight at once 0
}
