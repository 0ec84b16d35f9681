package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// A gateway among many that sees only high latencies lowers its limit of the whole fleet.
func Example_fleetLimit() {
	for _, duration := range []time.Duration{100 * ms, 900 * ms} {
		h := newFleet(0, 50, 20)
		for i := range 400 {
			request := newRequest(uint64(i%20), 4)
			h.Submit(h.now, request)
			due := h.Tick(h.now)
			h.completeLoads(due)
			decisions := append(due.Decisions, h.Tick(h.now).Decisions...)
			h.completeAll(append(decisions, scheduler.Decision{Request: request}), duration)
			h.now += 20 * ms
		}
		out := 0
		for i := range 40 {
			request := newRequest(uint64(i%20), 4)
			if h.Submit(h.now, request).Action == scheduler.Send {
				out++
			}
		}
		for range 40 { // the limit is rounded at random
			for _, decision := range h.Tick(h.now).Decisions {
				if decision.Action == scheduler.Send {
					out++
				}
			}
		}
		fmt.Println("answers of", duration, "in flight at once", out)
	}
	// Output:
	// answers of 100ms in flight at once 7
	// answers of 900ms in flight at once 1
}

// A worker with three times the shortest latency is crowded where it reports queued requests; without any it is slow
// or has slow functions, and a lower limit would not make it faster.
func Example_slowWorker() {
	for _, waiting := range []float64{0, 3} {
		h := newFleet(0, 2, 1)
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
		out := 0
		for range 40 {
			if h.Submit(h.now, newRequest(9, 64)).Action == scheduler.Send {
				out++
			}
		}
		fmt.Println("waiting", waiting, "in flight at once", out)
	}
	// Output:
	// waiting 0 in flight at once 8
	// waiting 3 in flight at once 0
}
