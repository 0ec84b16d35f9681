package scheduler_test

import (
	"fmt"
	"math"
	"time"

	"lupinpond/scheduler"
)

// The ordinary path: held, one first load, released to the warm slot, the second waits for the slot.
func Example_ordinaryPath() {
	h := newHarness(1)
	e1 := h.submit("e1", "redeliverable", 9)
	due := h.advance(0)
	h.now += 400 * ms
	h.completeLoads(due)
	h.advance(0)
	h.submit("e2", "redeliverable", 9)
	h.now += 100 * ms
	h.complete(e1, scheduler.Completed, 100*ms)
	h.advance(0)
	// Output:
	// 0s e1 hold
	// 0s load 9 x1 on c
	// 400ms e1 launch on c
	// 400ms e2 hold
	// 500ms e1 nothing
	// 500ms e2 launch on c
}

// Rule 1: a request that nothing can serve is answered before its client gives up.
func Example_answeredBeforeDeadline() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, nil)
	h.submit("e1", "at-most-once", 9)
	for range 30 {
		h.advance(100 * ms)
	}
	// Output:
	// 0s e1 hold
	// 1s e1 defer
}

// Rule 2: what may have run goes again only as its type allows; an attempt that never ran may go again.
func Example_retrySafety() {
	for _, result := range []scheduler.Result{scheduler.Full, scheduler.ConnectionLost} {
		h := newHarness(1)
		for i, kind := range []string{"redeliverable", "keyed", "at-most-once"} {
			request := h.submit(kind, kind, uint64(i))
			h.completeLoads(h.advance(0))
			h.advance(10 * ms)
			h.now += 50 * ms
			h.complete(request, result, 50*ms)
		}
	}
	// Output:
	// 0s redeliverable hold
	// 0s load 0 x1 on c
	// 10ms redeliverable launch on c
	// 60ms redeliverable hold
	// 60ms keyed hold
	// 60ms load 1 x1 on c
	// 70ms keyed launch on c
	// 120ms keyed hold
	// 120ms at-most-once hold
	// 120ms load 2 x1 on c
	// 130ms at-most-once launch on c
	// 180ms at-most-once hold
	// 0s redeliverable hold
	// 0s load 0 x1 on c
	// 10ms redeliverable launch on c
	// 60ms redeliverable hold
	// 60ms keyed hold
	// 60ms load 1 x1 on c
	// 70ms keyed launch on c
	// 120ms keyed hold
	// 120ms at-most-once hold
	// 120ms load 2 x1 on c
	// 130ms at-most-once launch on c
	// 180ms at-most-once dead-letter
}

// Rule 2: outside its window a keyed request that may have run is failed.
func Example_dedupWindow() {
	h := newHarness(1)
	request := h.submit("e1", "keyed", 9)
	h.completeLoads(h.advance(0))
	h.advance(10 * ms)
	h.now += 2100 * ms
	h.complete(request, scheduler.TimedOut, 2100*ms)
	// Output:
	// 0s e1 hold
	// 0s load 9 x1 on c
	// 10ms e1 launch on c
	// 2.11s e1 dead-letter
}

// Rule 3: a drained worker gets nothing new, neither attempts nor loads.
func Example_drain() {
	h := newHarness(1)
	h.UpdateMembership(h.now, []scheduler.Member{
		{Worker: "a", Condition: scheduler.Draining}, {Worker: "b", Condition: scheduler.Removed}})
	for i := range 4 {
		h.submit(fmt.Sprint("e", i), "redeliverable", uint64(i))
	}
	h.completeLoads(h.advance(0))
	h.UpdateMembership(h.now, []scheduler.Member{{Worker: "c", Condition: scheduler.Draining}})
	h.advance(10 * ms)
	// Output:
	// 0s e0 hold
	// 0s e1 hold
	// 0s e2 hold
	// 0s e3 hold
	// 0s load 0 x1 on c
	// 0s load 1 x1 on c
	// 0s load 2 x1 on c
	// 0s load 3 x1 on c
}

// Rule 4: a worker that has just started gets a trickle, a warm one all.
func Example_coldWorker() {
	for _, started := range []time.Duration{0, time.Hour} {
		h := newHarness(1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a", Started: started}})
		h.submit("e0", "redeliverable", 9)
		h.completeLoads(h.advance(0))
		h.advance(1000 * ms)
		launched := 0
		for i := range 20 {
			request := &scheduler.Request{ID: fmt.Sprint(i), Type: "redeliverable", Function: 9, TimeLeft: 3000 * ms, Concurrency: 32}
			if h.Submit(h.now, request).Action == scheduler.Send {
				launched++
			}
			h.now += 10 * ms
		}
		fmt.Println("launched", launched)
	}
	// Output:
	// 0s e0 hold
	// 0s load 9 x1 on a
	// 1s e0 launch on a
	// launched 15
	// 0s e0 hold
	// 0s load 9 x1 on a
	// 1s e0 launch on a
	// launched 0
}

// Rule 5: no more orders than the rate limit, however many functions are new.
func Example_quota() {
	h := newHarness(1)
	h.SetLoadPolicy(scheduler.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: 10000 * ms, RequestTimeout: 5000 * ms, RateWindow: 5000 * ms, RateBurst: 2, RatePerRequest: 0.1})
	orders := 0
	for i := range 100 {
		request := &scheduler.Request{ID: fmt.Sprint(i), Type: "redeliverable", Function: uint64(i), TimeLeft: 3000 * ms}
		h.Submit(h.now, request)
		due := h.Tick(h.now)
		orders += len(due.LoadRequests)
		h.completeLoads(due)
		h.now += 10 * ms
	}
	fmt.Println("orders", orders, "of at most", 2+100/10)
	// Output:
	// orders 12 of at most 12
}

// A worker that answers nothing is ejected: what may go again is cancelled and goes elsewhere.
func Example_silentWorker() {
	h := newHarness(1)
	var events []*scheduler.Request
	for i := range 3 {
		events = append(events, h.submit(fmt.Sprint("e", i), "redeliverable", 9))
	}
	for range 7 {
		h.completeLoads(h.advance(200 * ms))
	}
	for _, request := range events {
		h.complete(request, scheduler.Cancelled, 600*ms)
	}
	h.completeLoads(h.advance(200 * ms))
	h.advance(0)
	// Output:
	// 0s e0 hold
	// 0s e1 hold
	// 0s e2 hold
	// 200ms load 9 x1 on c
	// 400ms e0 launch on c
	// 400ms e1 launch on c
	// 400ms e2 launch on c
	// 1.2s e0 withdraw
	// 1.2s e1 withdraw
	// 1.2s e2 withdraw
	// 1.4s e0 hold
	// 1.4s e1 hold
	// 1.4s e2 hold
	// 1.6s load 9 x1 on b
	// 1.6s e0 launch on b
	// 1.6s e1 launch on b
	// 1.6s e2 launch on b
}

// A function that a worker refuses, quickly and again and again, is loaded and sent elsewhere (i94baea).
func Example_rejected() {
	h := newHarness(1)
	request := h.submit("e", "redeliverable", 9)
	for range 16 {
		h.completeLoads(h.advance(100 * ms))
		if request.InFlight() {
			h.complete(request, scheduler.Full, 0)
		}
	}
	// Output:
	// 0s e hold
	// 100ms load 9 x1 on c
	// 200ms e launch on c
	// 200ms e hold
	// 300ms load 9 x1 on b
	// 400ms e launch on b
	// 400ms e hold
	// 500ms e launch on c
	// 500ms e hold
	// 600ms load 9 x1 on a
	// 700ms e launch on b
	// 700ms e defer
}

// Settings that make no sense lead to safe decisions, not to a panic.
func Example_impossibleSettings() {
	s := scheduler.New(0, 0, 0, 0)
	s.AddType(scheduler.RequestType{Name: "t"})
	s.AddTenant("n", 0)
	s.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 0, MaxRetryAfter: 0})
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

// Among many front ends the first replicas of a busy function stand on many workers, those of a rare one on few.
func Example_manyGateways() {
	for _, every := range []int{50, 2} {
		n := firstReplicaWorkers(0, func(i int) uint64 {
			if i%every > 0 {
				return uint64(100 + i)
			}
			return 9
		})
		fmt.Println("one event of", every, "workers with first copies", n, "of 20")
	}
	// Output:
	// one event of 50 workers with first copies 2 of 20
	// one event of 2 workers with first copies 20 of 20
}

// Rule 4 for all front ends together: a hundred that know nothing yet send a new worker about one request a second.
func Example_coldWorkerOfManyGateways() {
	launched := 0
	for self := range 100 {
		h := newFleet(self, 100, 1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "n", Started: h.now}})
		for range 20 {
			h.Submit(h.now, &scheduler.Request{Type: "redeliverable", Function: 9, TimeLeft: 3000 * ms, Concurrency: 32})
			due := h.Tick(h.now)
			h.completeLoads(due)
			for _, decision := range append(due.Decisions, h.Tick(h.now).Decisions...) {
				if decision.Action == scheduler.Send {
					launched++
				}
			}
			h.now += 50 * ms
		}
	}
	fmt.Println("in the first second", launched)
	// Output:
	// in the first second 1
}

// Clients that leave early and retry at once: a few of a tenant's marked retries are taken, the rest rejected.
func Example_retries() {
	h := newHarness(1)
	h.AddTenant("n", 1000)
	for _, repeat := range []bool{false, true} {
		held := 0
		for range 40 {
			request := &scheduler.Request{Type: "redeliverable", Tenant: "n", Function: 9, TimeLeft: 300 * ms, Retry: repeat}
			if h.Submit(h.now, request).Action == scheduler.Enqueue {
				held++
			}
		}
		fmt.Println("repeat", repeat, "held", held, "of 40")
	}
	// Output:
	// repeat false held 40 of 40
	// repeat true held 3 of 40
}

// A worker where others' requests wait comes last: a first replica goes to the next of the order.
func Example_backlog() {
	for _, waiting := range []float64{0, 9} {
		h := newHarness(1)
		h.ProbeCompleted(h.now, "c", scheduler.Completed, scheduler.LoadReport{Reported: true, QueueDepth: waiting}, ms)
		h.submit("e", "redeliverable", 9)
		h.advance(0)
	}
	// Output:
	// 0s e hold
	// 0s load 9 x1 on c
	// 0s e hold
	// 0s load 9 x1 on b
}

// A first replica ordered at a worker that then leaves a probe unanswered does not stand in for one elsewhere.
func Example_unansweredProbe() {
	h := newHarness(9) // more front ends than workers
	h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, Probe: true, MaxRetryAfter: 500 * ms})
	h.submit("e", "redeliverable", 9)
	due := h.advance(0)
	fmt.Println("probe", due.Probes)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.TimedOut, scheduler.LoadReport{}, ms)
	due = h.advance(250 * ms)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.Completed, scheduler.LoadReport{Reported: true}, ms)
	h.completeLoads(due)
	h.advance(0)
	// Output:
	// 0s e hold
	// 0s load 9 x1 on c
	// probe [c]
	// 250ms load 9 x1 on b
	// 250ms e launch on b
}

// A worker with room that is full for one tenant stays open to the others.
func Example_tenantRejected() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	for i, tenant := range []string{"m", "m", "n"} {
		request := &scheduler.Request{ID: fmt.Sprint("e", i), Type: "redeliverable", Tenant: tenant, Function: uint64(i),
			TimeLeft: 3000 * ms, Concurrency: 1}
		h.print(h.Submit(h.now, request))
		h.completeLoads(h.advance(0))
		if h.advance(0); request.InFlight() && i == 0 {
			h.print(h.Complete(h.now, request, scheduler.Outcome{Result: scheduler.Full, Report: scheduler.LoadReport{Reported: true}}))
		}
	}
	// Output:
	// 0s e0 hold
	// 0s load 0 x1 on a
	// 0s e0 launch on a
	// 0s e0 hold
	// 0s e1 hold
	// 0s e2 hold
	// 0s load 2 x1 on a
	// 0s e2 launch on a
}

// A rejection of a function that serves many tenants, or none, keeps no other function away from the worker.
func Example_manyTenants() {
	for _, tenants := range [][]string{{"m", "n"}, {"", ""}} {
		h := newHarness(1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
		for i, tenant := range tenants {
			h.Submit(h.now, &scheduler.Request{Type: "redeliverable", Tenant: tenant, Function: 1, TimeLeft: 3000 * ms, Concurrency: 2})
			if i == 1 {
				h.completeLoads(h.Tick(h.now))
			}
		}
		for _, decision := range h.Tick(h.now).Decisions {
			h.Complete(h.now, decision.Request, scheduler.Outcome{Result: scheduler.Full, Report: scheduler.LoadReport{Reported: true}})
		}
		h.Submit(h.now, &scheduler.Request{Type: "redeliverable", Tenant: tenants[1], Function: 2, TimeLeft: 3000 * ms, Concurrency: 2})
		for _, load := range h.Tick(h.now).LoadRequests {
			fmt.Printf("load %d on %s\n", load.Function, load.Worker)
		}
	}
	// Output:
	// load 2 on a
	// load 2 on a
}

// A front end among many that sees only slow answers lowers what it has in flight at all workers together.
func Example_fleetLimit() {
	for _, duration := range []time.Duration{100 * ms, 900 * ms} {
		h := newFleet(0, 50, 20)
		for i := range 400 {
			request := &scheduler.Request{Type: "redeliverable", Function: uint64(i % 20), TimeLeft: 3000 * ms, Concurrency: 4}
			h.Submit(h.now, request)
			due := h.Tick(h.now)
			h.completeLoads(due)
			h.completeAll(append(append(due.Decisions, h.Tick(h.now).Decisions...), scheduler.Decision{Request: request}), duration)
			h.now += 20 * ms
		}
		out := 0
		for i := range 40 {
			request := &scheduler.Request{Type: "redeliverable", Function: uint64(i % 20), TimeLeft: 3000 * ms, Concurrency: 4}
			if h.Submit(h.now, request).Action == scheduler.Send {
				out++
			}
		}
		for range 40 { // the limit is rounded by chance
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

// The time of a probe tells of a crowd where it varies: the warm replica there is left for another.
func Example_probeLatency() {
	for _, duration := range []time.Duration{ms, 9 * ms} {
		h := newHarness(9) // more front ends than workers
		h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, Probe: true, MaxRetryAfter: 500 * ms})
		for range 12 { // what is usual
			for i, worker := range []string{"a", "b", "c"} {
				h.ProbeCompleted(h.now, worker, scheduler.Completed, scheduler.LoadReport{}, time.Duration(i+1)*ms)
			}
		}
		h.now += time.Second
		h.submit("e", "redeliverable", 9)
		h.ProbeCompleted(h.now, "c", scheduler.Completed, scheduler.LoadReport{}, duration)
		h.advance(0)
	}
	// Output:
	// 1s e hold
	// 1s load 9 x1 on c
	// 1s e hold
	// 1s load 9 x1 on b
}

// A probe turned away as full is a sign of life: the load there counts, no other is ordered.
func Example_probeRejected() {
	h := newHarness(9)
	h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, Probe: true, MaxRetryAfter: 500 * ms})
	h.submit("e", "redeliverable", 9)
	due := h.advance(0)
	h.ProbeCompleted(h.now, due.Probes[0], scheduler.Full, scheduler.LoadReport{}, ms)
	h.advance(250 * ms)
	h.advance(250 * ms)
	// Output:
	// 0s e hold
	// 0s load 9 x1 on c
}

// A worker of three times the size gets first replicas of about three times as many functions.
func Example_weights() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "big", Kind: "b", Weight: 3}, {Worker: "small", Kind: "s", Weight: 1}})
	orders := map[string]int{}
	for fn := range uint64(200) {
		request := &scheduler.Request{Type: "redeliverable", Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 400 * ms}
		for _, load := range h.serve(request, 10*ms) {
			orders[load.Worker]++
		}
	}
	fmt.Println(orders["big"]/10*10, orders["small"]/10*10)
	// Output:
	// 140 50
}

// Where answers outlast a tick, one request that waits for a slot does not ask for two more; three that come together
// get one load.
func Example_slowAnswers() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	h.submitQuietly(9)
	h.submitQuietly(9)
	h.submitQuietly(9)
	h.advance(100 * ms)
	h.advance(300 * ms)
	h.LoadCompleted(h.now, scheduler.LoadRequest{Worker: "a", Function: 9, Replicas: 1}, scheduler.Completed, 400*ms)
	for range 3 { // one lane, one after the other
		for _, decision := range h.Tick(h.now).Decisions {
			h.now += 300 * ms
			h.Complete(h.now, decision.Request, scheduler.Outcome{Result: scheduler.Completed, Duration: 300 * ms, Final: true})
		}
	}
	fmt.Println(h.submit("runs", "redeliverable", 9).InFlight())
	h.submit("waits", "redeliverable", 9)
	h.advance(240 * ms)
	// Output:
	// 100ms load 9 x1 on a
	// 1.3s runs launch on a
	// true
	// 1.3s waits hold
}

// Memory that does not hold a replica more of each function keeps a busy one to fewer workers.
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

// Where crossing zones costs, most requests of a function that stands in all zones stay in the front end's own.
func Example_zonePreference() {
	for _, zone := range []string{"", "x"} {
		own := 0
		for fn := range uint64(100) {
			h := newHarness(1)
			h.PreferZone(zone)
			h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a", Zone: "x"}, {Worker: "b", Zone: "y"}, {Worker: "c", Zone: "z"}})
			h.submitQuietly(fn)
			for _, w := range []string{"a", "b", "c"} { // a copy at each
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

// A front end that hears of few workers judges an overload by those: what is late then is rejected, not held to the
// end.
func Example_reportedOverload() {
	for _, waiting := range []float64{0, 9} {
		h := newFleet(0, 100, 40)
		h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, Probe: true, MaxRetryAfter: 500 * ms})
		for i := range 4 {
			h.ProbeCompleted(h.now, fmt.Sprint("w", i), scheduler.Completed, scheduler.LoadReport{Reported: true, QueueDepth: waiting}, ms)
		}
		request := &scheduler.Request{Type: "redeliverable", Function: 9, TimeLeft: 3000 * ms, Concurrency: 1, LoadTime: 900 * ms}
		h.Submit(h.now, request)
		deferred := 0
		for range 13 {
			h.now += 100 * ms
			for i := range 4 {
				h.ProbeCompleted(h.now, fmt.Sprint("w", i), scheduler.Completed, scheduler.LoadReport{Reported: true, QueueDepth: waiting}, ms)
			}
			for _, decision := range h.Tick(h.now).Decisions {
				if decision.Action == scheduler.Reject {
					deferred++
					fmt.Println("at", h.now-time.Hour, "of 3s, with a time to come back", decision.RetryAfter > 0)
				}
			}
		}
		fmt.Println("waiting", waiting, "deferred", deferred)
	}
	// Output:
	// waiting 0 deferred 0
	// at 1s of 3s, with a time to come back true
	// waiting 9 deferred 1
}

// Once attempts have shown what requests ahead cost, none goes to where they make it late.
func Example_queuedAhead() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}})
	told := func(waiting float64) {
		h.ProbeCompleted(h.now, "a", scheduler.Completed, scheduler.LoadReport{Reported: true, QueueDepth: waiting}, ms)
	}
	for range 8 {
		request := h.submitQuietly(9)
		h.completeLoads(h.Tick(h.now))
		told(8)
		h.now += 20 * ms
		h.Tick(h.now)
		h.now += 900 * ms
		h.Complete(h.now, request, scheduler.Outcome{Result: scheduler.Completed, Duration: 900 * ms, Final: true, ReplicaState: scheduler.ReplicaWarm})
	}
	for _, waiting := range []float64{20, 1} {
		told(waiting)
		request := h.submitQuietly(9)
		h.now += 20 * ms
		h.Tick(h.now)
		fmt.Println("waiting", waiting, "launched", request.InFlight())
		h.now += 10 * ms
		told(0)
		h.Tick(h.now)
		h.Complete(h.now, request, scheduler.Outcome{Result: scheduler.Completed, Duration: 100 * ms, Final: true, ReplicaState: scheduler.ReplicaWarm})
	}
	// Output:
	// waiting 20 launched false
	// waiting 1 launched true
}

// A function seen thrice is rarer where others come once only than where they come again.
func Example_recurringFunctions() {
	for _, others := range []int{20, 1000} {
		n := firstReplicaWorkers(0, func(i int) uint64 {
			if i%20 == 9 {
				return 9
			}
			return uint64(100 + i%others)
		})
		fmt.Println("of", others, "others: workers with first copies", n)
	}
	// Output:
	// of 20 others: workers with first copies 10
	// of 1000 others: workers with first copies 5
}

// Sizes, memory and reports that are absurd or no numbers count as not told.
func Example_implausibleValues() {
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 0} {
		h := newHarness(9)
		h.SetAttemptPolicy(scheduler.AttemptPolicy{MaxAttempts: 4, Cancel: true, Probe: true, MaxRetryAfter: 500 * ms})
		h.AddWorkerKind("k", v)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a", Kind: "k", Weight: v}, {Worker: "b", Kind: "l", Weight: 1}})
		orders := map[string]int{}
		for fn := range uint64(100) {
			h.ProbeCompleted(h.now, "a", scheduler.Completed, scheduler.LoadReport{Reported: true, QueueDepth: v}, ms)
			request := &scheduler.Request{Type: "redeliverable", Function: fn, TimeLeft: 3000 * ms, Concurrency: 1, Memory: v}
			for _, load := range h.serve(request, 10*ms) {
				orders[load.Worker]++
			}
		}
		fmt.Println(v, "both are used", orders["a"] > 20 && orders["b"] > 20)
	}
	// Output:
	// NaN both are used true
	// +Inf both are used true
	// -1 both are used true
	// 1e+300 both are used true
	// 0 both are used true
}

// A worker that takes three times the shortest time is crowded where it tells of requests that wait there; where none
// waits it is slow or has slow functions, and less in flight would not make it faster.
func Example_slowWorker() {
	for _, waiting := range []float64{0, 3} {
		h := newFleet(0, 2, 1)
		for i := range 400 {
			duration := 50 * ms
			if i >= 100 {
				duration = 150 * ms
			}
			request := &scheduler.Request{Type: "redeliverable", Function: 9, TimeLeft: 3000 * ms, Concurrency: 64}
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
			if h.Submit(h.now, &scheduler.Request{Type: "redeliverable", Function: 9, TimeLeft: 3000 * ms, Concurrency: 64}).Action == scheduler.Send {
				out++
			}
		}
		fmt.Println("waiting", waiting, "in flight at once", out)
	}
	// Output:
	// waiting 0 in flight at once 8
	// waiting 3 in flight at once 0
}
