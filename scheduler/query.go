package scheduler

import (
	"slices"
	"time"
)

// queryForQueues queries workers without a lease for functions with queued requests: for each function a
// worker with replicas of it or, if none of those can be queried and no usable worker has or loads a replica,
// the worker that would be asked to load it.
func (s *Scheduler) queryForQueues(now time.Duration, due *TickResult) {
	if !s.watchExpired(now) {
		return
	}
	for _, f := range s.activeFunctions {
		if len(f.queue) == 0 || s.awaitsQuery(f, now) {
			continue
		}
		if loaded, loading := s.usableReplicas(f, now); !s.queryLoadedWorker(f, now, due) && loaded+loading == 0 {
			s.queryPlacementWorker(f, now, due)
		}
	}
}

// queryLoadedWorker queries one of the workers without a lease that have replicas of a function. It returns
// false if none can be queried now, or if a worker with a lease is preferred to load the function.
func (s *Scheduler) queryLoadedWorker(f *function, now time.Duration, due *TickResult) bool {
	if s.prefersLeased(f, now) {
		return false
	}
	return slices.ContainsFunc(f.replicaSets, func(replicas *replicaSet) bool {
		return replicas.loaded > 0 && !s.hasLease(replicas.worker, now) &&
			s.queryReplicas(f, replicas.worker, now, due)
	})
}

// queryPlacementWorker queries the worker that the first replica of a function would be placed on, if that
// worker has no lease and no worker with a lease is preferred.
func (s *Scheduler) queryPlacementWorker(f *function, now time.Duration, due *TickResult) {
	if s.prefersLeased(f, now) {
		return
	}
	if w := s.placeFirstReplicaAmong(f, s.acceptsLoadAfterQuery, now); w != nil && !s.hasLease(w, now) {
		s.queryReplicas(f, w, now, due)
	}
}

// acceptsLoadAfterQuery reports whether a worker may be asked to load a function now or, if it has no lease,
// after it has answered a query.
func (s *Scheduler) acceptsLoadAfterQuery(w *worker, f *function, now time.Duration) bool {
	return s.acceptsLoadIfLeased(w, f, now) &&
		(s.hasLease(w, now) || now >= w.lease.queryAfter && w.lease.provisional != provisionalInUse)
}

// prefersLeased reports whether a worker with a lease should load a function instead of querying another
// worker: while replica queries are not known to be reliable, and if all workers can be verified. In a larger
// fleet the gateways have leases of different workers, and each would load its own replicas of functions that
// they share.
func (s *Scheduler) prefersLeased(f *function, now time.Duration) bool {
	return s.queryTrust != queriesReliable && s.leasesCoverFleet() && s.leasedWorkerFor(f, now) != nil
}

// queryReplicas asks a worker without a lease how many replicas of a function it has loaded. It returns true
// if this query or an earlier one is pending, and false if the worker can't be queried now.
func (s *Scheduler) queryReplicas(f *function, w *worker, now time.Duration, due *TickResult) bool {
	if w.lease.provisional == provisionalGranted { // expired without being used
		w.lease.provisional = noProvisionalLease
	}
	if s.queryPending(w, now) && w.lease.provisional == noProvisionalLease {
		f.queriedWorker = w
		return true
	}
	if s.queryTrust == queriesUnreliable || !w.acceptsNewWork() || now < w.lease.queryAfter ||
		w.lease.provisional != noProvisionalLease || s.queries.UpperSum(now) >= s.verificationRate() {
		return false
	}
	s.sendQuery(f, w, now, due)
	f.queriedWorker = w
	return true
}

func (s *Scheduler) queryPending(w *worker, now time.Duration) bool {
	return w.lease.querySentAt > 0 && now < w.lease.querySentAt+s.leaseTime
}

// awaitsQuery reports whether a replica query for a function is pending.
func (s *Scheduler) awaitsQuery(f *function, now time.Duration) bool {
	return f.queriedWorker != nil && s.queryPending(f.queriedWorker, now)
}

// sendQuery asks a worker how many replicas of a function it has loaded, or probes it if the policy doesn't
// allow load requests. If the policy doesn't allow probes either, the worker is granted a provisional lease
// without a query: otherwise no worker would ever be used again.
func (s *Scheduler) sendQuery(f *function, w *worker, now time.Duration, due *TickResult) {
	if !s.loadPolicy.RequestLoads && !s.attemptPolicy.Probe { // only the result of work can be evidence
		s.recordQueryAnswer(w, 0, now, now)
		return
	}
	w.lease.querySentAt = now
	s.queries.Add(now, 1)
	if !s.loadPolicy.RequestLoads {
		w.probeInFlight = true
		w.probedAt = now
		due.Probes = append(due.Probes, w.Worker)
		return
	}
	due.LoadRequests = append(due.LoadRequests,
		LoadRequest{Worker: w.Worker, Function: f.id, Purpose: QueryReplicas})
}

// queryCompleted handles the result of a replica query that was sent at sentAt.
func (s *Scheduler) queryCompleted(f *function, w *worker, load LoadRequest, result Result,
	sentAt, now time.Duration) {
	w.lease.querySentAt = 0
	switch result {
	case Completed:
		f.replicaSetAt(w).assumeLoaded(load.Replicas, now+s.loadPolicy.ReplicaIdleTimeout)
		s.recordQueryAnswer(w, load.Replicas, sentAt, now)
		if load.Replicas > 0 {
			s.provisionalCandidates = append(s.provisionalCandidates, leaseCandidate{worker: w, function: f})
		}
	case Rejected:
		if s.queryTrust == queriesUnknown {
			s.queryTrust = queriesReliable
			s.recordLeaseEvent(LeaseEvent{Kind: QueriesReliable, Worker: w.Worker})
		}
		s.recordRejectedWork(w, sentAt, now)
	default:
		w.lease.failedAt = now
		s.postponeQuery(w, now)
	}
}

// recordQueryAnswer grants a provisional lease to a worker that answered a query, unless it has rejected work
// recently or replica queries are unreliable. Queries become unreliable when a worker that has rejected a
// verification answers that it has replicas.
func (s *Scheduler) recordQueryAnswer(w *worker, replicas int, sentAt, now time.Duration) {
	if w.lease.verificationRejected && replicas > 0 && s.queryTrust != queriesUnreliable {
		s.queryTrust = queriesUnreliable
		s.recordLeaseEvent(LeaseEvent{Kind: QueriesUnreliable, Worker: w.Worker})
	}
	if s.queryTrust == queriesUnreliable || w.lease.provisional == provisionalInUse || now < w.lease.queryAfter {
		return
	}
	w.lease.answeredQuerySentAt = sentAt
	w.lease.provisional = provisionalGranted
}

// postponeQuery postpones the next query to a worker by a backoff, which doubles each time.
func (s *Scheduler) postponeQuery(w *worker, now time.Duration) {
	w.lease.queryBackoff = min(max(2*w.lease.queryBackoff, 2*s.leaseTime), maxQueryBackoff)
	w.lease.queryAfter = now + w.lease.queryBackoff
}

// sendQueryChecks queries the workers that have just rejected a verification.
func (s *Scheduler) sendQueryChecks(now time.Duration, due *TickResult) {
	for _, candidate := range s.queryChecks {
		s.sendQuery(candidate.function, candidate.worker, now, due)
	}
	s.queryChecks = s.queryChecks[:0]
}
