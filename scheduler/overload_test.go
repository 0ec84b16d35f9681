package scheduler_test

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// A function whose requests a worker rejects repeatedly is loaded by another worker, and its requests are sent there
// (i94baea).
func Example_rejected() {
	h := newHarness(1)
	request := h.submit("e", "idempotent", 9)
	for range 16 {
		h.completeLoads(h.advance(100 * ms))
		if request.InFlight() {
			h.complete(request, scheduler.Rejected, 0)
		}
	}
	// Output:
	// 0s e enqueue
	// 100ms load 9 x1 on c
	// 200ms e send to c
	// 200ms e enqueue
	// 300ms load 9 x1 on b
	// 400ms e send to b
	// 400ms e enqueue
	// 500ms e send to c
	// 500ms e enqueue
	// 600ms load 9 x1 on a
	// 700ms e send to b
	// 700ms e reject
}

// A worker that has capacity but rejects one tenant is still sent the requests of other tenants.
func Example_tenantRejected() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	for i, tenant := range []string{"m", "m", "n"} {
		request := newRequest(uint64(i), 1)
		request.ID, request.Tenant = fmt.Sprint("e", i), tenant
		h.print(h.Submit(h.now, request))
		h.completeLoads(h.advance(0))
		if h.advance(0); request.InFlight() && i == 0 {
			h.print(h.Complete(h.now, request,
				scheduler.Outcome{Result: scheduler.Rejected, Report: scheduler.LoadReport{Reported: true}}))
		}
	}
	// Output:
	// 0s e0 enqueue
	// 0s load 0 x1 on a
	// 0s e0 send to a
	// 0s e0 enqueue
	// 0s e1 enqueue
	// 0s e2 enqueue
	// 0s load 2 x1 on a
	// 0s e2 send to a
}

// The rejection of a function that is called by several tenants, or without a tenant, does not prevent loads of other
// functions on the worker.
func Example_manyTenants() {
	requestOf := func(tenant string, function uint64) *scheduler.Request {
		request := newRequest(function, 2)
		request.Tenant = tenant
		return request
	}
	rejected := scheduler.Outcome{Result: scheduler.Rejected, Report: scheduler.LoadReport{Reported: true}}
	for _, tenants := range [][]string{{"m", "n"}, {"", ""}} {
		h := newHarness(1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
		for i, tenant := range tenants {
			h.Submit(h.now, requestOf(tenant, 1))
			if i == 1 {
				h.completeLoads(h.Tick(h.now))
			}
		}
		for _, decision := range h.Tick(h.now).Decisions {
			h.Complete(h.now, decision.Request, rejected)
		}
		h.Submit(h.now, requestOf(tenants[1], 2))
		for _, load := range h.Tick(h.now).LoadRequests {
			fmt.Printf("load %d on %s\n", load.Function, load.Worker)
		}
	}
	// Output:
	// load 2 on a
	// load 2 on a
}

// A gateway with reports of only a few workers of a large fleet detects an overload by these reports. It then rejects a
// request that misses its latency objective, instead of queueing it until its deadline.
func Example_reportedOverload() {
	for _, waiting := range []float64{0, 9} {
		h := newFleetHarness(0, 100, 40)
		h.enableProbes()
		for i := range 4 {
			h.completeProbe(fmt.Sprint("w", i), waiting)
		}
		request := newRequest(9, 1)
		request.LoadTime = 900 * ms
		h.Submit(h.now, request)
		rejected := 0
		for range 13 {
			h.now += 100 * ms
			for i := range 4 {
				h.completeProbe(fmt.Sprint("w", i), waiting)
			}
			for _, decision := range h.Tick(h.now).Decisions {
				if decision.Action == scheduler.Reject {
					rejected++
					fmt.Println("at", h.now-time.Hour, "of 3s, with a Retry-After", decision.RetryAfter > 0)
				}
			}
		}
		fmt.Println("waiting", waiting, "rejected", rejected)
	}
	// Output:
	// waiting 0 rejected 0
	// at 1s of 3s, with a Retry-After true
	// waiting 9 rejected 1
}
