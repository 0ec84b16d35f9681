package scheduler

import "time"

// LoadPurpose is the purpose of a load request.
type LoadPurpose int

// The purposes of load requests.
const (
	// LoadReplicas asks the worker to load replicas.
	LoadReplicas LoadPurpose = iota

	// VerifyWorker asks for a replica that is already loaded, which a draining worker rejects.
	VerifyWorker

	// QueryReplicas asks how many replicas are loaded. It is not new work, so it may be sent to a worker
	// without a lease.
	QueryReplicas
)

// renewLeases renews the leases of workers while the registry is unreachable, and returns the time at which
// it must be called again.
func (s *Scheduler) renewLeases(now time.Duration, due *TickResult) (wake time.Duration) {
	if s.watchLease == never {
		return never
	}
	if start := s.preparationStart(); now < start {
		return start
	}
	nextCheck := now + max(fractionOf(renewalCheckShare, s.leaseTime), s.minTickInterval)
	if s.watchRenewed && s.awaitsWatchAnswer(now) { // after a stall that is not in an outage
		return nextCheck
	}
	if now >= s.nextPreparation {
		s.nextPreparation = nextCheck
		s.prepareLeases(now, due)
	}
	if now < s.watchLease+fractionOf(verificationStartShare, s.leaseTime) {
		return nextCheck
	}
	s.updateLeaseState(now)
	s.noLeases = s.watchExpired(now) && s.queryTrust != queriesReliable && !s.anyLease(now) &&
		!s.queryAllForTrust(now, due)
	s.verifyProvisionalLeases(now, due)
	for _, candidate := range s.leaseCandidates {
		s.renewLease(candidate, now, due)
	}
	s.sendQueryChecks(now, due)
	return nextCheck
}

// updateLeaseState records the expiry of the watch lease, and selects from time to time the workers that are
// verified.
func (s *Scheduler) updateLeaseState(now time.Duration) {
	if !s.watchExpiryRecorded && s.watchExpired(now) {
		s.watchExpiryRecorded = true
		s.recordLeaseEvent(LeaseEvent{Kind: WatchLeaseExpired, Leased: s.countLeasedWorkers(now)})
	}
	if now >= s.nextLeaseSelection {
		s.selectLeaseCandidates(now)
		s.nextLeaseSelection = now + s.leaseTime/2
		s.leasedCount = s.countLeasedWorkers(now)
	}
}

// renewalInterval returns the time after which a lease is renewed by a verification. Under a rate limit of
// load requests verifications are further apart, so that the limit suffices for more leases.
func (s *Scheduler) renewalInterval() time.Duration {
	if s.loadsAreLimited() {
		return fractionOf(limitedRenewalShare, s.leaseTime)
	}
	return fractionOf(renewalShare, s.leaseTime)
}

// verificationRate returns the number of verifications per second, and likewise of replica queries, that this
// gateway may send.
func (s *Scheduler) verificationRate() float64 {
	workersPerGateway := float64(max(1, s.members.Len())) / float64(s.gateways)
	return min(maxVerificationRate, maxVerificationRatePerWorker*workersPerGateway)
}

// renewLease verifies a worker whose lease expires soon or that has rejected work. It queries a worker whose
// lease has expired, and one that has rejected work if no verification may be sent.
func (s *Scheduler) renewLease(candidate leaseCandidate, now time.Duration, due *TickResult) {
	w := candidate.worker
	if !w.acceptsNewWork() {
		return
	}
	if !s.hasLease(w, now) {
		if w.leased {
			w.leased = false
			s.recordLeaseEvent(LeaseEvent{Kind: WorkerLeaseExpired, Worker: w.Worker})
		}
		if s.verificationAllowed(now) {
			s.queryReplicas(candidate.function, w, now, due)
		}
		return
	}
	if !w.leased && s.watchExpired(now) {
		w.leased = true
		evidence := AcceptedWork
		if w.lease.provisional != noProvisionalLease {
			evidence = AnsweredQuery
		}
		s.recordLeaseEvent(LeaseEvent{Kind: WorkerLeaseRegained, Worker: w.Worker, Evidence: evidence})
	}
	rejects := w.lease.rejectedAt > 0
	endsSoon := now >= w.lease.acceptedAt+s.renewalInterval()
	retryAfter := fractionOf(verificationRetryShare, s.leaseTime)
	if rejects {
		retryAfter = s.leaseTime
	}
	if (endsSoon || rejects) && now >= w.lease.verificationSentAt+retryAfter &&
		!s.verify(candidate.function, w, now, due) && rejects && s.queryAllowed(now) {
		w.lease.verificationSentAt = now
		s.sendQuery(candidate.function, w, now, due)
	}
}

// verifyProvisionalLeases verifies the workers that have just answered a query with replicas. Unlike a
// request, a verification is answered at once, and requests may follow if the worker accepts it.
func (s *Scheduler) verifyProvisionalLeases(now time.Duration, due *TickResult) {
	for _, candidate := range s.provisionalCandidates {
		if candidate.worker.lease.provisional == provisionalGranted && s.hasLease(candidate.worker, now) {
			s.verify(candidate.function, candidate.worker, now, due)
		}
	}
	s.provisionalCandidates = s.provisionalCandidates[:0]
}

// verify sends a verification to a worker. It returns false if the load policy or its rate limit does not
// allow it.
func (s *Scheduler) verify(f *function, w *worker, now time.Duration, due *TickResult) bool {
	if !s.verificationAllowed(now) {
		return false
	}
	w.lease.verificationSentAt = now
	s.loadsSent.Add(now, 1)
	s.verificationsSent.Add(now, 1)
	due.LoadRequests = append(due.LoadRequests, LoadRequest{
		Worker:   w.Worker,
		Function: f.id,
		Replicas: 1,
		Purpose:  VerifyWorker,
		SendBy:   s.useLease(w, now),
	})
	return true
}

// verificationCompleted handles the result of a verification that was sent at sentAt. If a worker rejects a
// replica that it has loaded, the lease of its accepted work ends, and the next Tick queries it: its answer
// shows whether replica queries are reliable.
func (s *Scheduler) verificationCompleted(f *function, w *worker, load LoadRequest, result Result,
	sentAt, now time.Duration) {
	s.recordWorkResult(f, w, result, sentAt, now)
	switch result {
	case Completed:
		f.replicaSetAt(w).assumeLoaded(max(1, load.Replicas), now+s.loadPolicy.ReplicaIdleTimeout)
	case Rejected:
		if sentAt >= w.lease.acceptedAt {
			w.lease.acceptedAt = 0
			w.lease.verificationRejected = true
			s.queryChecks = append(s.queryChecks, leaseCandidate{worker: w, function: f})
		}
	case Unreachable, ConnectionLost:
		s.recordFailure(w, now)
	}
}
