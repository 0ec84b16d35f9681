package scheduler_test

import (
	"testing"
	"time"

	"lupinpond/scheduler"
)

// quietPreparation returns the load requests of a gateway with the given workers and one function whose replica has
// been idle for longer than its idle timeout, from the last renewal of the watch lease until workers need leases.
// answer returns the results of load requests.
func quietPreparation(
	workers []string, renewals int, answer func(scheduler.LoadRequest) (int, scheduler.Result),
) []scheduler.LoadRequest {
	h := newBareHarness(7, 0, 1)
	h.AddType(scheduler.RequestType{Name: "idempotent", Objective: 1000 * ms})
	h.SetDrainGrace(leaseGrace)
	var members []scheduler.Member
	for _, worker := range workers {
		members = append(members, scheduler.Member{Worker: worker})
	}
	h.ReplaceMembership(h.now, members)
	h.SetWatchLease(h.now, h.now+time.Hour)
	h.serve(newRequest(1, 1), 10*ms)
	h.now += 30 * time.Second // longer than the idle timeout of replicas
	var requested []scheduler.LoadRequest
	for range renewals {
		h.SetWatchLease(h.now, h.now+7*time.Second)
		for range 300 {
			loads := h.tick(10 * ms).LoadRequests
			h.answerLoads(loads, answer)
			requested = append(requested, loads...)
		}
	}
	for range 450 { // until 7.5 s after the last renewal
		loads := h.tick(10 * ms).LoadRequests
		h.answerLoads(loads, answer)
		requested = append(requested, loads...)
	}
	return requested
}

// While the watch lease is not renewed, a gateway without replicas must load one at each worker, once, so that it can
// verify the workers when they need leases. A worker that rejects that must not be asked again.
func TestPreparationLoadsOneReplicaPerWorker(t *testing.T) {
	loads := map[string]int{}
	verified := map[string]bool{}
	answer := func(load scheduler.LoadRequest) (int, scheduler.Result) {
		if load.Worker == "b" {
			return 0, scheduler.Rejected
		}
		return load.Replicas, scheduler.Completed
	}
	for _, load := range quietPreparation([]string{"a", "b", "c"}, 1, answer) {
		switch load.Purpose {
		case scheduler.LoadReplicas:
			loads[load.Worker]++
		case scheduler.VerifyWorker:
			verified[load.Worker] = true
		}
		if load.Replicas > 1 {
			t.Errorf("%+v: more than one replica", load)
		}
	}
	if loads["a"] != 1 || loads["b"] != 1 || loads["c"] != 1 || !verified["a"] || verified["b"] || !verified["c"] {
		t.Errorf("loads by worker %v, verified %v; want one load each, a and c verified", loads, verified)
	}
}

// While the watch lease is renewed as usual, no replica must be loaded for verifications.
func TestNoPreparationWhileWatchIsRenewed(t *testing.T) {
	answer := func(load scheduler.LoadRequest) (int, scheduler.Result) { return load.Replicas, scheduler.Completed }
	before := len(quietPreparation([]string{"a", "b"}, 1, answer))
	if after := len(quietPreparation([]string{"a", "b"}, 20, answer)); after != before {
		t.Errorf("%d load requests after 20 renewals 3 s apart, %d after one", after, before)
	}
}
