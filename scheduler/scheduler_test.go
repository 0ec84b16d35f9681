package scheduler_test

import (
	"fmt"
	"math"
	"time"

	"lupinpond/scheduler"
)

// The ordinary path: a request is enqueued, its function loaded, and it is sent to the warm slot; the second request
// waits for the slot.
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

// Rule 1: a request that nothing can serve is answered before its deadline.
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

// Rule 2: a request that may have run is retried only as its type allows; one that did not run may be retried.
func Example_retrySafety() {
	for _, result := range []scheduler.Result{scheduler.Full, scheduler.ConnectionLost} {
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

// Rule 2: outside its deduplication window a request with an idempotency key that may have run fails.
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

// Rule 3: a draining worker gets nothing new, neither attempts nor load requests.
func Example_drain() {
	h := newHarness(1)
	h.UpdateMembership(h.now, []scheduler.Member{
		{Worker: "a", Condition: scheduler.Draining}, {Worker: "b", Condition: scheduler.Removed}})
	for i := range 4 {
		h.submit(fmt.Sprint("e", i), "idempotent", uint64(i))
	}
	h.completeLoads(h.advance(0))
	h.UpdateMembership(h.now, []scheduler.Member{{Worker: "c", Condition: scheduler.Draining}})
	h.advance(10 * ms)
	// Output:
	// 0s e0 enqueue
	// 0s e1 enqueue
	// 0s e2 enqueue
	// 0s e3 enqueue
	// 0s load 0 x1 on c
	// 0s load 1 x1 on c
	// 0s load 2 x1 on c
	// 0s load 3 x1 on c
}

// Rule 4: a worker that has just started gets few requests, a warm one all.
func Example_coldWorker() {
	for _, started := range []time.Duration{0, time.Hour} {
		h := newHarness(1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a", Started: started}})
		h.submit("e0", "idempotent", 9)
		h.completeLoads(h.advance(0))
		h.advance(1000 * ms)
		sent := 0
		for range 20 {
			if h.Submit(h.now, newRequest(9, 32)).Action == scheduler.Send {
				sent++
			}
			h.now += 10 * ms
		}
		fmt.Println("sent", sent)
	}
	// Output:
	// 0s e0 enqueue
	// 0s load 9 x1 on a
	// 1s e0 send to a
	// sent 15
	// 0s e0 enqueue
	// 0s load 9 x1 on a
	// 1s e0 send to a
	// sent 0
}

// Rule 5: no more load requests than the rate limit, however many functions are new.
func Example_quota() {
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

// An unresponsive worker is ejected: attempts that may be retried are cancelled and retried elsewhere.
func Example_silentWorker() {
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

// A function that a worker rejects again and again is loaded elsewhere and sent there (i94baea).
func Example_rejected() {
	h := newHarness(1)
	request := h.submit("e", "idempotent", 9)
	for range 16 {
		h.completeLoads(h.advance(100 * ms))
		if request.InFlight() {
			h.complete(request, scheduler.Full, 0)
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

// Invalid settings lead to safe decisions, not to a panic.
func Example_impossibleSettings() {
	s := scheduler.New(0, 0, 0, 0)
	s.AddType(scheduler.RequestType{Name: "t"})
	s.AddTenant("n", 0)
	s.SetAttemptPolicy(scheduler.AttemptPolicy{})
	s.SetLoadPolicy(scheduler.LoadPolicy{})
	s.SetSlowStart(scheduler.SlowStart{})
	s.SetSubscribeInterval(0)
	s.ReplaceMembership(1, []scheduler.Member{{Worker: "a", Started: 1}})
	for i, kind := range []string{"t", "t", "unknown"} {
		request := &scheduler.Request{ID: fmt.Sprint("e", i), Type: kind, Tenant: "n"}
		decision := s.Submit(2, request)
		fmt.Print(decision.Action, " ")
		for _, decision := range s.Tick(2).Decisions {
			fmt.Print(decision.Request.ID, " ", decision.Action, " ", decision.Worker, "; ")
		}
	}
	s.ReplaceMembership(3, nil)
	s.WatchFailed(3)
	fmt.Println(len(s.Tick(3).Decisions))
	// Output:
	// 0 e0 2 ; 0 e1 2 ; 0 e2 2 ; 0
}

// Among many gateways a busy function has first replicas at many workers, a rare one at few.
func Example_manyGateways() {
	for _, every := range []int{50, 2} {
		n := firstReplicaWorkers(0, func(i int) uint64 {
			if i%every > 0 {
				return uint64(100 + i)
			}
			return 9
		})
		fmt.Println("one request of", every, "workers with first replicas", n, "of 20")
	}
	// Output:
	// one request of 50 workers with first replicas 2 of 20
	// one request of 2 workers with first replicas 20 of 20
}

// Rule 4 for all gateways together: a hundred that know nothing yet send a new
// worker about one request a second.
func Example_coldWorkerOfManyGateways() {
	sent := 0
	for index := range 100 {
		h := newFleet(index, 100, 1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "n", Started: h.now}})
		for range 20 {
			h.Submit(h.now, newRequest(9, 32))
			due := h.Tick(h.now)
			h.completeLoads(due)
			for _, decision := range append(due.Decisions, h.Tick(h.now).Decisions...) {
				if decision.Action == scheduler.Send {
					sent++
				}
			}
			h.now += 50 * ms
		}
	}
	fmt.Println("in the first second", sent)
	// Output:
	// in the first second 1
}

// Clients that disconnect early and retry at once: a few of a tenant's marked retries are accepted, the others
// rejected.
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

// A worker with capacity that rejects one tenant still gets the others' requests.
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
				scheduler.Outcome{Result: scheduler.Full, Report: scheduler.LoadReport{Reported: true}}))
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

// A rejection of a function that serves many tenants, or none, keeps no other function away from the worker.
func Example_manyTenants() {
	requestOf := func(tenant string, function uint64) *scheduler.Request {
		request := newRequest(function, 2)
		request.Tenant = tenant
		return request
	}
	rejected := scheduler.Outcome{Result: scheduler.Full, Report: scheduler.LoadReport{Reported: true}}
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

// A worker of three times the weight gets first replicas of about three times as many functions.
func Example_weights() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{
		{Worker: "big", Kind: "b", Weight: 3}, {Worker: "small", Kind: "s", Weight: 1}})
	loads := map[string]int{}
	for fn := range uint64(200) {
		request := newRequest(fn, 1)
		request.LoadTime = 400 * ms
		for _, load := range h.serve(request, 10*ms) {
			loads[load.Worker]++
		}
	}
	fmt.Println(loads["big"]/10*10, loads["small"]/10*10)
	// Output:
	// 140 50
}

// Where latencies exceed a tick, one request that waits for a slot does not request two more replicas; three that come
// together get one load.
func Example_slowAnswers() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	h.submitQuietly(9)
	h.submitQuietly(9)
	h.submitQuietly(9)
	h.advance(100 * ms)
	h.advance(300 * ms)
	h.LoadCompleted(h.now, scheduler.LoadRequest{Worker: "a", Function: 9, Replicas: 1}, scheduler.Completed, 400*ms)
	for range 3 { // one slot: one after the other
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

// Where memory does not hold another replica of each function, a busy one has first replicas at fewer workers.
func Example_memory() {
	for _, memory := range []float64{0, 4, 4000} {
		n := firstReplicaWorkers(memory, func(i int) uint64 {
			if i%4 > 0 {
				return uint64(100 + i)
			}
			return 9
		})
		fmt.Println("memory", memory, "many workers", n > 12)
	}
	// Output:
	// memory 0 many workers true
	// memory 4 many workers false
	// memory 4000 many workers true
}

// Where crossing zones costs, most requests of a function with replicas in all zones stay in the gateway's own.
func Example_zonePreference() {
	for _, zone := range []string{"", "x"} {
		own := 0
		for fn := range uint64(100) {
			h := newHarness(1)
			h.PreferZone(zone)
			h.ReplaceMembership(h.now, []scheduler.Member{
				{Worker: "a", Zone: "x"}, {Worker: "b", Zone: "y"}, {Worker: "c", Zone: "z"}})
			h.submitQuietly(fn)
			for _, w := range []string{"a", "b", "c"} { // a replica at each
				h.LoadCompleted(h.now, scheduler.LoadRequest{Worker: w, Function: fn, Replicas: 1}, scheduler.Completed, 400*ms)
			}
			if a := h.Tick(h.now).Decisions; len(a) > 0 && a[0].Worker == "a" {
				own++
			}
		}
		fmt.Printf("own zone %q: over half stay %v\n", zone, own > 50)
	}
	// Output:
	// own zone "": over half stay false
	// own zone "x": over half stay true
}

// A gateway that has reports of few workers judges an overload by those: a late request is rejected then, not queued
// to its deadline.
func Example_reportedOverload() {
	for _, waiting := range []float64{0, 9} {
		h := newFleet(0, 100, 40)
		h.enableProbes()
		for i := range 4 {
			h.probed(fmt.Sprint("w", i), waiting)
		}
		request := newRequest(9, 1)
		request.LoadTime = 900 * ms
		h.Submit(h.now, request)
		rejected := 0
		for range 13 {
			h.now += 100 * ms
			for i := range 4 {
				h.probed(fmt.Sprint("w", i), waiting)
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

// Once attempts have shown what queued requests cost, none is sent to where they would make it late.
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
		h.probed("a", 8)
		h.now += 20 * ms
		h.Tick(h.now)
		h.now += 900 * ms
		completed(request, 900*ms)
	}
	for _, waiting := range []float64{20, 1} {
		h.probed("a", waiting)
		request := h.submitQuietly(9)
		h.now += 20 * ms
		h.Tick(h.now)
		fmt.Println("waiting", waiting, "sent", request.InFlight())
		h.now += 10 * ms
		h.probed("a", 0)
		h.Tick(h.now)
		completed(request, 100*ms)
	}
	// Output:
	// waiting 20 sent false
	// waiting 1 sent true
}

// A function called thrice counts as rarer where others are called once only than where they recur.
func Example_recurringFunctions() {
	for _, others := range []int{20, 1000} {
		n := firstReplicaWorkers(0, func(i int) uint64 {
			if i%20 == 9 {
				return 9
			}
			return uint64(100 + i%others)
		})
		fmt.Println("of", others, "others: workers with first replicas", n)
	}
	// Output:
	// of 20 others: workers with first replicas 10
	// of 1000 others: workers with first replicas 5
}

// Weights, memory and reports that are implausible or not numbers count as not reported.
func Example_implausibleValues() {
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 0} {
		h := newHarness(9)
		h.enableProbes()
		h.AddWorkerKind("k", v)
		h.ReplaceMembership(h.now, []scheduler.Member{
			{Worker: "a", Kind: "k", Weight: v}, {Worker: "b", Kind: "l", Weight: 1}})
		loads := map[string]int{}
		for fn := range uint64(100) {
			h.probed("a", v)
			request := newRequest(fn, 1)
			request.Memory = v
			for _, load := range h.serve(request, 10*ms) {
				loads[load.Worker]++
			}
		}
		fmt.Println(v, "both are used", loads["a"] > 20 && loads["b"] > 20)
	}
	// Output:
	// NaN both are used true
	// +Inf both are used true
	// -1 both are used true
	// 1e+300 both are used true
	// 0 both are used true
}

// A worker with three times the shortest latency is crowded where it reports queued requests; without any it is slow or
// has slow functions, and a lower limit would not make it faster.
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
