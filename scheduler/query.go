package scheduler

import (
	"slices"
	"time"
)

// queryForQueues queries workers without a lease for functions with queued requests: for each function a
// worker with replicas of it or, if none of those can be queried and no usable worker has or loads a replica,
// the worker that would be asked to load it. Until queries are known to be reliable it queries none: the
// answers would grant no lease.
func (s *Scheduler) queryForQueues(now time.Duration, due *TickResult) {
	if !s.watchExpired(now) || s.queryTrust != queriesReliable {
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
// false if none can be queried now.
func (s *Scheduler) queryLoadedWorker(f *function, now time.Duration, due *TickResult) bool {
	return slices.ContainsFunc(f.replicaSets, func(replicas *replicaSet) bool {
		return replicas.loaded > 0 && !s.hasLease(replicas.worker, now) &&
			s.queryReplicas(f, replicas.worker, now, due)
	})
}

// queryPlacementWorker queries the worker that the first replica of a function would be placed on, if that
// worker has no lease.
func (s *Scheduler) queryPlacementWorker(f *function, now time.Duration, due *TickResult) {
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
	if s.queryTrust != queriesReliable || !w.acceptsNewWork() || w.lease.provisional != noProvisionalLease ||
		!s.mayQuery(w, now) {
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

// queryAllowed reports whether the load policy and the rate of queries allow one more.
func (s *Scheduler) queryAllowed(now time.Duration) bool {
	return s.loadPolicy.RequestLoads && s.queries.UpperSum(now) < s.verificationRate()
}

// mayQuery reports whether a worker may be queried now.
func (s *Scheduler) mayQuery(w *worker, now time.Duration) bool {
	return s.queryAllowed(now) && !s.queryPending(w, now) && now >= w.lease.queryAfter
}

// sendQuery asks a worker how many replicas of a function it has loaded.
func (s *Scheduler) sendQuery(f *function, w *worker, now time.Duration, due *TickResult) {
	w.lease.querySentAt, w.lease.lastQueryAt = now, now
	w.lease.drainingQuery = w.Condition == Draining
	s.queries.Add(now, 1)
	due.LoadRequests = append(due.LoadRequests,
		LoadRequest{Worker: w.Worker, Function: f.id, Purpose: QueryReplicas})
}

// queryCompleted handles the result of a replica query that was sent at sentAt.
func (s *Scheduler) queryCompleted(f *function, w *worker, load LoadRequest, result Result,
	sentAt, now time.Duration) {
	w.lease.querySentAt = 0
	if w.lease.drainingQuery {
		w.lease.drainingQuery = false
		s.drainingQueryCompleted(w, result, now)
		return
	}
	switch result {
	case Completed:
		f.replicaSetAt(w).assumeLoaded(load.Replicas, now+s.loadPolicy.ReplicaIdleTimeout)
		s.recordQueryAnswer(w, load.Replicas, sentAt, now)
		if load.Replicas > 0 {
			s.provisionalCandidates = append(s.provisionalCandidates, leaseCandidate{worker: w, function: f})
		}
	case Rejected:
		s.trustQueries(w)
		s.recordRejectedWork(w, sentAt, now)
	default:
		w.lease.failedAt = now
		s.postponeQuery(w, now)
	}
}

// recordQueryAnswer grants a provisional lease to a worker that answered a query, if queries are known to be
// reliable and it has not rejected work recently. Queries become unreliable when a worker that has rejected a
// verification answers that it has replicas.
func (s *Scheduler) recordQueryAnswer(w *worker, replicas int, sentAt, now time.Duration) {
	if w.lease.verificationRejected && replicas > 0 {
		s.distrustQueries(w)
	}
	if s.queryTrust != queriesReliable {
		s.postponeQuery(w, now)
		return
	}
	if w.lease.provisional == provisionalInUse || now < w.lease.queryAfter {
		return
	}
	w.lease.answeredQuerySentAt = sentAt
	w.lease.provisional = provisionalGranted
}

// trustQueries records that a worker has rejected a query, unless queries were found to be unreliable. The
// workers that have answered one before can be queried again at once.
func (s *Scheduler) trustQueries(rejecting *worker) {
	if s.queryTrust != queriesUnknown {
		return
	}
	s.queryTrust = queriesReliable
	s.recordLeaseEvent(LeaseEvent{Kind: QueriesReliable, Worker: rejecting.Worker})
	for _, w := range s.members.All() {
		if w.lease.rejectedAt == 0 {
			w.lease.queryAfter, w.lease.queryBackoff = 0, 0
		}
	}
}

// distrustQueries records that a worker has answered a query although it rejects work.
func (s *Scheduler) distrustQueries(w *worker) {
	if s.queryTrust != queriesUnreliable {
		s.queryTrust = queriesUnreliable
		s.recordLeaseEvent(LeaseEvent{Kind: QueriesUnreliable, Worker: w.Worker})
	}
}

// postponeQuery postpones the next query to a worker by a backoff, which doubles each time.
func (s *Scheduler) postponeQuery(w *worker, now time.Duration) {
	w.lease.queryBackoff = min(max(2*w.lease.queryBackoff, 2*s.leaseTime), maxQueryBackoff)
	w.lease.queryAfter = now + w.lease.queryBackoff
}

// sendQueryChecks queries the workers that have just rejected work: the answers show whether queries are
// reliable.
func (s *Scheduler) sendQueryChecks(now time.Duration, due *TickResult) {
	for _, candidate := range s.queryChecks {
		if s.queryAllowed(now) && !s.queryPending(candidate.worker, now) {
			s.sendQuery(candidate.function, candidate.worker, now, due)
		}
	}
	s.queryChecks = s.queryChecks[:0]
}

// queryAllForTrust queries all workers while none has a lease and it is not known whether queries are
// reliable. A worker that rejects a query shows that they are, and then the answers of the others grant
// leases. It reports whether such a query is pending.
func (s *Scheduler) queryAllForTrust(now time.Duration, due *TickResult) (pending bool) {
	if s.queryTrust != queriesUnknown || len(s.functions) == 0 {
		return false
	}
	var f *function
	for _, w := range s.members.All() {
		repeatAt := w.lease.lastQueryAt + 2*s.leaseTime
		if w.listed && s.mayQuery(w, now) && (w.lease.lastQueryAt == 0 || now >= repeatAt) {
			if f == nil {
				f = s.functionsByTraffic(now)[0]
			}
			s.sendQuery(f, w, now, due)
		}
		pending = pending || s.queryPending(w, now)
	}
	return pending
}
