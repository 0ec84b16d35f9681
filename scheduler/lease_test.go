package scheduler_test

import (
	"testing"
	"time"

	"lupinpond/scheduler"
)

const leaseGrace = 500 * ms

// newLeaseHarness returns the harness of a single gateway with workers a and b. One of them has a replica of function
// 1, to which one request is in flight, and a second request is queued. The watch lease expires a second after the
// start, of which 400 ms have passed, and is not renewed.
func newLeaseHarness() *harness {
	h := newBareHarness(7, 0, 1)
	h.AddType(scheduler.RequestType{Name: "idempotent", Objective: 1000 * ms})
	h.SetDrainGrace(leaseGrace)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}, {Worker: "b"}})
	h.SetWatchLease(h.now, h.now+time.Second)
	for range 2 { // the first request is sent after a load, the second one stays queued
		request := h.submitQuietly(1)
		if !request.InFlight() {
			for range 20 {
				for _, load := range h.tick(10 * ms).LoadRequests {
					h.LoadCompleted(h.now, load, scheduler.Completed, ms)
				}
			}
		}
	}
	return h
}

// newStartingHarness returns the harness of a single gateway with workers a and b, which has just started: the watch
// lease has not been renewed.
func newStartingHarness() *harness {
	h := newBareHarness(7, 0, 1)
	h.AddType(scheduler.RequestType{Name: "idempotent", Objective: 1000 * ms})
	h.SetDrainGrace(leaseGrace)
	h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a"}, {Worker: "b"}})
	h.SetWatchLease(h.now, h.now)
	return h
}

// tick advances the clock and returns the result of Tick.
func (h *harness) tick(d time.Duration) scheduler.TickResult {
	h.now += d
	return h.Tick(h.now)
}

// answerLoads completes each load request with the number of replicas and the result that answer returns.
func (h *harness) answerLoads(
	loads []scheduler.LoadRequest, answer func(scheduler.LoadRequest) (int, scheduler.Result),
) {
	for _, load := range loads {
		var result scheduler.Result
		load.Replicas, result = answer(load)
		h.LoadCompleted(h.now, load, result, 0)
	}
}

// countNewWork returns the number of attempts and of load requests other than replica queries in a tick, by worker.
func countNewWork(due scheduler.TickResult) map[string]int {
	count := map[string]int{}
	for _, decision := range due.Decisions {
		if decision.Action == scheduler.Send {
			count[decision.Worker]++
		}
	}
	for _, load := range due.LoadRequests {
		if load.Purpose != scheduler.QueryReplicas {
			count[load.Worker]++
		}
	}
	return count
}

// tickAnsweringQueries advances the clock, calls Tick and answers each replica query: one replica is loaded. It fails
// the test if there is new work, and returns the workers that were queried.
func (h *harness) tickAnsweringQueries(t *testing.T, d time.Duration) (queried []string) {
	t.Helper()
	due := h.tick(d)
	if work := countNewWork(due); len(work) > 0 {
		t.Fatalf("new work without a lease: %v", work)
	}
	h.answerLoads(due.LoadRequests, func(load scheduler.LoadRequest) (int, scheduler.Result) {
		queried = append(queried, load.Worker)
		return 1, scheduler.Completed
	})
	return queried
}

// makeQueriesReliable lists a draining worker c, which rejects a replica query.
func (h *harness) makeQueriesReliable(t *testing.T) {
	t.Helper()
	h.UpdateMembership(h.now, []scheduler.Member{{Worker: "c", Condition: scheduler.Draining}})
	for range 200 {
		for _, load := range h.tick(10 * ms).LoadRequests {
			if load.Worker == "c" && load.Purpose == scheduler.QueryReplicas {
				h.LoadCompleted(h.now, load, scheduler.Rejected, 0)
				return
			}
		}
	}
	t.Fatal("the draining worker was not queried")
}

// A worker whose lease has expired and that answers replica queries is sent only one unit of new work until it accepts
// that, also if queries are known to be reliable. Without this limit, a draining worker that still answers queries
// would be sent work continuously.
func TestProvisionalLeaseAllowsOneUnitOfWork(t *testing.T) {
	h := newLeaseHarness()
	h.makeQueriesReliable(t)
	h.tick(3 * time.Second) // all leases expire
	work := map[string]int{}
	for range 8 {
		h.submitQuietly(1)
	}
	for range 100 {
		due := h.tick(10 * ms)
		for worker, n := range countNewWork(due) {
			work[worker] += n
		}
		for _, load := range due.LoadRequests {
			if load.Purpose == scheduler.QueryReplicas {
				load.Replicas = 1
				h.LoadCompleted(h.now, load, scheduler.Completed, 0)
			}
		}
	}
	if len(work) == 0 || work["a"] > 1 || work["b"] > 1 {
		t.Errorf("units of work by worker %v, want at least one, and at most one per worker", work)
	}
}

// TestAnsweredQueryIsNoEvidence guards against new work that is sent to a worker without a lease because it answered a
// replica query, although no worker has shown that draining workers reject queries. Requests must be rejected at once.
func TestAnsweredQueryIsNoEvidence(t *testing.T) {
	h := newLeaseHarness()
	queried := map[string]bool{}
	tickAndAnswer := func(d time.Duration) {
		for _, worker := range h.tickAnsweringQueries(t, d) {
			queried[worker] = true
		}
	}
	tickAndAnswer(3 * time.Second) // all leases expire
	for range 500 {
		request := h.submitQuietly(1)
		tickAndAnswer(10 * ms)
		tickAndAnswer(10 * ms)
		if request.Reason() != scheduler.NoLeasedWorker {
			t.Fatalf("request rejected for reason %q, want %v", request.Reason(), scheduler.NoLeasedWorker)
		}
	}
	if !queried["a"] || !queried["b"] {
		t.Errorf("queried %v, want both workers", queried)
	}
}

// TestStartAwaitsFirstAnswer guards against requests that are rejected at a start because the first answer of the
// registry comes after the lease time: they must be sent once it comes. Without it they must be rejected when half of
// their time has passed, and at once from two seconds after the start.
func TestStartAwaitsFirstAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		h := newStartingHarness()
		started := h.now
		h.now += leaseGrace // no request has been sent since the start: no worker has a lease
		request := newRequest(1, 1)
		request.TimeLeft = 2 * time.Second
		h.Submit(h.now, request)
		submitted := h.now
		for h.now < started+time.Second && request.Reason() == scheduler.NoReason {
			h.tickAnsweringQueries(t, 10*ms)
		}
		if answered {
			h.SetWatchLease(h.now, h.now+time.Minute)
			if due := h.tick(10 * ms); len(countNewWork(due)) == 0 || request.Reason() != scheduler.NoReason {
				t.Errorf("after the first answer: %v, request rejected for reason %q", countNewWork(due), request.Reason())
			}
			continue
		}
		for request.Reason() == scheduler.NoReason && h.now < submitted+request.TimeLeft {
			h.tickAnsweringQueries(t, 10*ms)
		}
		half := submitted + request.TimeLeft/2
		if request.Reason() != scheduler.NoLeasedWorker || h.now < half || h.now > half+20*ms {
			t.Errorf("rejected for reason %q after %v, want %v after %v", request.Reason(), h.now-submitted,
				scheduler.NoLeasedWorker, half-submitted)
		}
		h.tickAnsweringQueries(t, started+2*time.Second-h.now)
		late := h.submitQuietly(1)
		h.tickAnsweringQueries(t, 10*ms)
		h.tickAnsweringQueries(t, 10*ms)
		if late.Reason() != scheduler.NoLeasedWorker {
			t.Errorf("request two seconds after the start: reason %q, want %v", late.Reason(), scheduler.NoLeasedWorker)
		}
	}
}

// TestNoNewWorkAfterStallUntilAnswer guards against new work, of any kind, between a stall of the process and the first answer of
// the registry after it, once the lease time since the beginning of the stall has passed. Requests must be sent when
// the answer comes. Without it, workers count as draining after two seconds, as in an outage.
func TestNoNewWorkAfterStallUntilAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		h := newStartingHarness()
		h.SetWatchLease(h.now, h.now+7*time.Second)
		h.serve(newRequest(1, 1), 10*ms)
		h.now += 900 * ms // the stall
		h.SetWatchLease(h.now, h.now-900*ms)
		resumed := h.now
		request := h.submitQuietly(1)
		for h.now < resumed+1500*ms {
			if due := h.tick(10 * ms); len(due.LoadRequests) > 0 || len(countNewWork(due)) > 0 {
				t.Fatalf("%v after the stall: %+v", h.now-resumed, due)
			}
			if request.Reason() != scheduler.NoReason {
				t.Fatalf("%v after the stall: request rejected for reason %q", h.now-resumed, request.Reason())
			}
		}
		if answered {
			h.SetWatchLease(h.now, h.now+7*time.Second)
			if due := h.tick(10 * ms); len(countNewWork(due)) == 0 {
				t.Errorf("no work was sent after the answer, request rejected for reason %q", request.Reason())
			}
			continue
		}
		for h.now < resumed+2200*ms {
			h.tickAnsweringQueries(t, 10*ms)
		}
		if request.Reason() != scheduler.NoLeasedWorker {
			t.Errorf("without an answer: request rejected for reason %q, want %v", request.Reason(),
				scheduler.NoLeasedWorker)
		}
	}
}

// TestDrainingWorkerShowsQueryTrust guards against a gateway that does not know at the beginning of an outage whether
// answered queries are evidence, although it was notified of a drain before: it queries the draining worker, once the
// drain grace has passed. If that worker answers, queries must grant no lease in the outage.
func TestDrainingWorkerShowsQueryTrust(t *testing.T) {
	for _, c := range []struct {
		result scheduler.Result
		want   scheduler.LeaseEventKind
	}{{scheduler.Rejected, scheduler.QueriesReliable}, {scheduler.Completed, scheduler.QueriesUnreliable}} {
		h := newLeaseHarness()
		h.SetWatchLease(h.now, h.now+time.Hour)
		noticed := h.now
		h.UpdateMembership(h.now, []scheduler.Member{{Worker: "b", Condition: scheduler.Draining}})
		queries, events := 0, map[scheduler.LeaseEventKind]int{}
		for range 400 {
			due := h.tick(10 * ms)
			for _, load := range due.LoadRequests {
				if load.Worker != "b" {
					continue
				}
				if load.Purpose != scheduler.QueryReplicas || load.Replicas != 0 || h.now < noticed+leaseGrace*4/5 {
					t.Fatalf("%v after the notice: %+v", h.now-noticed, load)
				}
				queries++
				h.LoadCompleted(h.now, load, c.result, 0)
			}
			for _, event := range due.LeaseEvents {
				events[event.Kind]++
			}
		}
		if queries != 1 || events[c.want] != 1 {
			t.Errorf("%v: %d queries, events %v; want one query and one %v", c.result, queries, events, c.want)
		}
	}
}

// A worker that rejects a load request for a replica that it has loaded, but answers a replica query, shows that
// queries are unreliable. From then on queries must not grant leases, and requests that can't be sent to any worker
// must be rejected at once instead of at their deadline.
func TestUnreliableQueriesGrantNoLease(t *testing.T) {
	h := newLeaseHarness()
	rejecting := func(load scheduler.LoadRequest) (int, scheduler.Result) {
		if load.Purpose == scheduler.QueryReplicas {
			return 1, scheduler.Completed
		}
		return 0, scheduler.Rejected
	}
	events := map[scheduler.LeaseEventKind]int{}
	for range 300 { // both workers start draining before their leases expire
		due := h.tick(10 * ms)
		for _, event := range due.LeaseEvents {
			events[event.Kind]++
		}
		h.answerLoads(due.LoadRequests, rejecting)
	}
	if events[scheduler.QueriesUnreliable] != 1 || events[scheduler.WatchLeaseExpired] != 1 {
		t.Fatalf("lease events %v, want one QueriesUnreliable and one WatchLeaseExpired", events)
	}
	h.tick(30 * time.Second) // all backoffs expire
	request := h.submitQuietly(1)
	var due scheduler.TickResult
	for range 50 {
		due = h.tick(10 * ms)
		if len(due.LoadRequests) > 0 || len(countNewWork(due)) > 0 { // load requests or attempts without a lease
			t.Fatalf("%+v", due)
		}
		if request.Reason() != scheduler.NoReason {
			break
		}
	}
	if request.Reason() != scheduler.NoLeasedWorker {
		t.Errorf("request rejected for reason %v, want %v", request.Reason(), scheduler.NoLeasedWorker)
	}
	h.SetWatchLease(h.now, h.now+time.Minute)
	h.submitQuietly(1)
	if due := h.tick(300 * ms); len(countNewWork(due)) == 0 {
		t.Error("no work was sent after the watch lease was renewed")
	}
}
