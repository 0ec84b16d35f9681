package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// A worker can be verified only with a replica that is loaded. After a period without traffic no replica is
// assumed to be loaded anywhere, and a worker that has no lease when workers need leases can't be sent a load
// request any more. While the watch lease is not renewed, but new work is still allowed, this gateway
// therefore prepares leases: as many workers as it may verify continuously have to show that they accept new
// work, and to have a replica that stays loaded.

// preparationStart returns the time from which leases are prepared.
func (s *Scheduler) preparationStart() time.Duration {
	return s.watchLeaseSetAt + fractionOf(preparationStartShare, s.leasesNeededAt()-s.watchLeaseSetAt)
}

// leasesNeededAt returns the time from which workers need leases of their own, unless the watch lease is
// renewed.
func (s *Scheduler) leasesNeededAt() time.Duration { return s.watchLease + s.leaseTime }

// prepareLeases verifies the workers with replicas once, and loads replicas at others in place of those that
// are missing or reject the verification.
func (s *Scheduler) prepareLeases(now time.Duration, due *TickResult) {
	if !s.loadPolicy.RequestLoads || s.watchExpired(now) || s.overloaded {
		return
	}
	s.selectLeaseCandidates(now)
	prepared := s.loadingWorkers(now)
	for _, candidate := range s.leaseCandidates {
		if candidate.worker.lease.rejectedAt == 0 {
			prepared[candidate.worker] = true
			s.confirmReplica(candidate, now, due)
		}
	}
	s.loadMissingReplicas(prepared, now, due)
}

// confirmReplica verifies a worker that has not accepted work since the preparation began, or whose replica
// would be unloaded before leases are needed: a verification restarts the replica's idle time.
func (s *Scheduler) confirmReplica(candidate leaseCandidate, now time.Duration, due *TickResult) {
	lease := &candidate.worker.lease
	staysLoaded := candidate.function.replicaSetAt(candidate.worker).assumedUntil > s.leasesNeededAt()
	if (lease.acceptedAt < s.preparationStart() || !staysLoaded) && now >= lease.verificationSentAt+s.leaseTime {
		s.verify(candidate.function, candidate.worker, now, due)
	}
}

// loadingWorkers returns the workers that are loading replicas.
func (s *Scheduler) loadingWorkers(now time.Duration) map[*worker]bool {
	loading := map[*worker]bool{}
	for _, f := range s.functions {
		for _, replicas := range f.replicaSets {
			if replicas.loading > 0 && now <= replicas.loadDeadline {
				loading[replicas.worker] = true
			}
		}
	}
	return loading
}

// loadMissingReplicas requests a replica from further workers, until as many are prepared as this gateway may
// verify. It goes through the functions until none can be placed.
func (s *Scheduler) loadMissingReplicas(prepared map[*worker]bool, now time.Duration, due *TickResult) {
	missing := s.maxLeaseCandidates(now) - len(prepared)
	if missing <= 0 || len(prepared) >= s.members.Len() {
		return
	}
	unprepared := func(w *worker, f *function, now time.Duration) bool {
		return !prepared[w] && w.lease.rejectedAt == 0 && s.acceptsLoad(w, f, now)
	}
	functions := s.functionsByTraffic(now)
	for placed := true; placed; {
		placed = false
		for _, f := range functions {
			if missing == 0 || float64(s.loadsInFlight) >= s.loadLimit.limit {
				return
			}
			s.expireAssumptions(f, now)
			w := s.placeFirstReplicaAmong(f, unprepared, now)
			if w == nil || !s.requestLoadAt(f, w, now, due) {
				continue
			}
			s.recordLeaseEvent(LeaseEvent{Kind: ReplicaForVerification, Worker: w.Worker})
			prepared[w] = true
			placed = true
			missing--
		}
	}
}

// functionsByTraffic returns the functions with the most arrivals first, and those that load fastest first
// among functions without arrivals.
func (s *Scheduler) functionsByTraffic(now time.Duration) []*function {
	functions := make([]*function, 0, len(s.functions))
	for _, f := range s.functions {
		functions = append(functions, f)
	}
	slices.SortFunc(functions, func(a, b *function) int {
		return cmp.Or(
			cmp.Compare(b.arrivals.UpperSum(now), a.arrivals.UpperSum(now)),
			cmp.Compare(a.expectedLoadTime(), b.expectedLoadTime()),
			cmp.Compare(a.id, b.id))
	})
	return functions
}
