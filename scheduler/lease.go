package scheduler

import (
	"slices"
	"time"
)

// The registry watch has a lease, which the registry's answers renew. While it is valid, the gateway is not
// considered notified of a drain before it receives it. Once the watch lease has expired, the gateway is
// considered notified of every drain when it happens, and may send new work to a worker only for the drain
// grace after the latest evidence that the worker accepts new work: each worker needs a lease of its own.
//
// Only accepted work renews a worker's lease, counted from when it was sent: a completed attempt or load
// request. A worker that rejects work may be draining or full; whether its other answers reveal a drain
// is not specified. preparation.go makes sure in time that there are workers that can be verified, verify.go
// renews the leases of those that leasecandidates.go selects, query.go regains those that have expired, and
// drainquery.go finds out before an outage whether the answers that this needs are evidence.

// provisionalLease is the state of a worker's provisional lease: if queries are known to be reliable, a
// worker without a lease that has answered a replica query may be sent one unit of work. If it accepts that
// work, it has a full lease.
type provisionalLease int

const (
	noProvisionalLease provisionalLease = iota
	provisionalGranted
	provisionalInUse // the unit of work was sent, and its result is pending
)

// queryTrust is the observed reliability of replica queries: whether workers that reject work reject the
// queries too. Until that has been observed, an answered query is no evidence.
type queryTrust int

const (
	queriesUnknown    queryTrust = iota // no worker rejected one, and no rejecting worker answered one
	queriesReliable                     // reliable: a worker has rejected one
	queriesUnreliable                   // unreliable: a worker that rejects loads has answered one
)

// workerLease is the lease of a worker, and the evidence on whether the worker accepts new work.
type workerLease struct {
	acceptedAt          time.Duration // when the latest work that it accepted was sent
	rejectedAt          time.Duration // when it last rejected work or a query; 0: it has accepted work since
	provisional         provisionalLease
	provisionalUsedAt   time.Duration // when the work of its provisional lease was sent
	answeredQuerySentAt time.Duration // when the latest query that it answered successfully was sent
	failedAt            time.Duration // when it was last unreachable, a connection broke, or a query failed

	verificationSentAt   time.Duration
	querySentAt          time.Duration // when the query was sent that is pending; 0: none is
	lastQueryAt          time.Duration // when the latest query was sent
	drainingQuery        bool          // the registry listed it as draining when the query was sent
	queryAfter           time.Duration // earliest time of the next query
	queryBackoff         time.Duration
	verificationRejected bool // it rejected a load request for replicas that it has loaded
}

// SetDrainGrace sets the period for which new work may be sent to a worker after this gateway is considered
// notified of its drain.
func (s *Scheduler) SetDrainGrace(grace time.Duration) {
	s.leaseTime = grace - fractionOf(leaseMarginShare, grace)
}

// SetWatchLease sets when the lease of the registry watch expires: from then on this gateway is considered
// notified of changes when they happen, even if it has not received them.
func (s *Scheduler) SetWatchLease(now, expires time.Duration) {
	s.watchLease, s.watchLeaseSetAt = expires, now
	s.watchRenewed = s.watchRenewed || expires > now
	if s.watchExpired(now) {
		return
	}
	s.noLeases = false
	if !s.watchExpiryRecorded {
		return
	}
	s.recordLeaseEvent(LeaseEvent{Kind: WatchLeaseRenewed, Leased: s.leasedCount})
	s.watchExpiryRecorded = false
	for _, w := range s.members.All() { // the registry reports drains and restarts again
		w.lease = workerLease{acceptedAt: w.lease.acceptedAt}
		w.leased = false
		w.restartedAt = 0
	}
}

// watchExpired reports whether workers need leases of their own, as they do from one lease time after the
// expiry of the watch lease.
func (s *Scheduler) watchExpired(now time.Duration) bool {
	return s.watchLease < never && now >= s.leasesNeededAt()
}

// awaitsWatchAnswer reports whether the watch lease has not been renewed since the start or since a stall of
// the process, and an answer of the registry that renews it can still be expected.
func (s *Scheduler) awaitsWatchAnswer(now time.Duration) bool {
	return s.watchLease <= s.watchLeaseSetAt && now < s.watchLeaseSetAt+watchAnswerTimeout
}

// waitsForWatchAnswer reports whether a request stays in the queue although no worker has a lease, because
// the watch lease may be renewed. It waits for at most half of its time, so that its client can still try
// another gateway.
func (s *Scheduler) waitsForWatchAnswer(request *Request, now time.Duration) bool {
	return s.awaitsWatchAnswer(now) && now < request.deadline-request.TimeLeft/2
}

// sendBy returns the latest time at which new work may be written to the connection of a worker.
func (s *Scheduler) sendBy(w *worker) time.Duration {
	if s.watchLease == never {
		return never
	}
	leaseStart := max(s.watchLease, w.lease.acceptedAt)
	if w.lease.provisional == provisionalGranted && s.queryTrust == queriesReliable {
		leaseStart = max(leaseStart, w.lease.answeredQuerySentAt)
	}
	return leaseStart + s.leaseTime
}

// hasLease reports whether a worker's lease allows sending new work to it.
func (s *Scheduler) hasLease(w *worker, now time.Duration) bool { return now < s.sendBy(w) }

// useLease records that work is being sent to a worker, which uses up a provisional lease, and returns the
// latest time at which the work may be written to the connection; 0: no limit.
func (s *Scheduler) useLease(w *worker, now time.Duration) (sendBy time.Duration) {
	if s.watchLease == never {
		return 0
	}
	sendBy = s.sendBy(w)
	if w.lease.provisional == provisionalGranted && now >= max(s.watchLease, w.lease.acceptedAt)+s.leaseTime {
		w.lease.provisional, w.lease.provisionalUsedAt = provisionalInUse, now
	}
	return sendBy
}

// recordWorkResult updates a worker's lease by the result of work of a function that was sent at sentAt.
func (s *Scheduler) recordWorkResult(f *function, w *worker, result Result, sentAt, now time.Duration) {
	if s.watchLease == never {
		return
	}
	if w.lease.provisional == provisionalInUse && sentAt >= w.lease.provisionalUsedAt {
		w.lease.provisional = noProvisionalLease
	}
	switch result {
	case Completed:
		s.recordAcceptedWork(w, sentAt, now)
	case Rejected:
		s.recordRejectedWork(w, sentAt, now)
		if s.queryTrust == queriesUnknown && s.watchExpired(now) {
			s.queryChecks = append(s.queryChecks, leaseCandidate{worker: w, function: f})
		}
	case Unreachable, ConnectionLost:
		w.lease.failedAt = now
	}
}

// recordAcceptedWork renews a worker's lease by work that it accepted.
func (s *Scheduler) recordAcceptedWork(w *worker, sentAt, now time.Duration) {
	if sentAt <= w.lease.acceptedAt {
		return
	}
	s.restartSlowStart(w, now)
	w.lease.acceptedAt = sentAt
	w.lease.rejectedAt = 0
	w.lease.queryBackoff = 0
	w.lease.verificationRejected = false
}

// restartSlowStart restarts the slow start of a worker that recovers while the registry is unreachable, if it
// was unreachable after it last accepted work: its address may belong to another process of unknown age.
func (s *Scheduler) restartSlowStart(w *worker, now time.Duration) {
	if s.watchExpired(now) && w.lease.failedAt > w.lease.acceptedAt {
		w.restartedAt = now
	}
}

// recordRejectedWork records that a worker rejected work or a query that was sent at sentAt. The next query
// to the worker is postponed, for longer each time.
func (s *Scheduler) recordRejectedWork(w *worker, sentAt, now time.Duration) {
	if sentAt < w.lease.acceptedAt {
		return
	}
	if w.lease.rejectedAt == 0 && now >= s.watchLease {
		s.recordLeaseEvent(LeaseEvent{Kind: WorkerRejects, Worker: w.Worker})
	}
	w.lease.rejectedAt = now
	s.postponeQuery(w, now)
}

// countLeasedWorkers returns the number of workers whose leases allow sending new work to them.
func (s *Scheduler) countLeasedWorkers(now time.Duration) (count int) {
	for _, w := range s.members.All() {
		if s.isLeased(w, now) {
			count++
		}
	}
	return count
}

// anyLease reports whether the lease of any worker allows sending new work to it.
func (s *Scheduler) anyLease(now time.Duration) bool {
	leased := func(w *worker) bool { return s.isLeased(w, now) }
	return slices.ContainsFunc(s.leaseCandidates, func(c leaseCandidate) bool { return leased(c.worker) }) ||
		slices.ContainsFunc(s.members.All(), leased)
}

// isLeased reports whether the lease of a worker allows sending new work to it.
func (s *Scheduler) isLeased(w *worker, now time.Duration) bool {
	return w.acceptsNewWork() && s.hasLease(w, now)
}
