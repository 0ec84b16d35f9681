package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

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

// leaseCandidate is a worker whose lease is renewed even without traffic, and the function that the
// verification names.
type leaseCandidate struct {
	worker   *worker
	function *function
	usage    int64 // arrivals of the functions with replicas at the worker
}

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
	if s.watchRenewed && s.awaitsWatchAnswer(now) { // a stall, not an outage: workers need not be verified
		s.noLeases = false
		return nextCheck
	}
	if now >= s.nextPreparation {
		s.nextPreparation = nextCheck
		s.prepareLeases(now, due)
	}
	if now < s.watchLease+fractionOf(verificationStartShare, s.leaseTime) {
		return nextCheck
	}
	if !s.watchExpiryRecorded && s.watchExpired(now) {
		s.watchExpiryRecorded = true
		s.recordLeaseEvent(LeaseEvent{Kind: WatchLeaseExpired, Leased: s.countLeasedWorkers(now)})
	}
	if now >= s.nextLeaseSelection {
		s.selectLeaseCandidates(now)
		s.nextLeaseSelection = now + s.leaseTime/2
		s.leasedCount = s.countLeasedWorkers(now)
	}
	s.noLeases = s.watchExpired(now) && s.queryTrust != queriesReliable && !s.anyLease(now) &&
		!s.queryAllForTrust(now, due)
	s.verifyProvisionalLeases(now, due)
	for _, candidate := range s.leaseCandidates {
		s.renewLease(candidate, now, due)
	}
	s.sendQueryChecks(now, due)
	return nextCheck
}

// selectLeaseCandidates chooses the workers whose leases are renewed without traffic: workers with a lease
// first, then those with replicas of the most frequently called functions, as many as this gateway may verify
// continuously.
func (s *Scheduler) selectLeaseCandidates(now time.Duration) {
	byWorker := map[*worker]*leaseCandidate{}
	for _, f := range s.functions {
		for _, replicas := range f.replicaSets {
			if replicas.loaded == 0 || now > replicas.assumedUntil && replicas.inFlight == 0 {
				continue
			}
			s.addLeaseCandidate(byWorker, f, replicas, now)
		}
	}
	s.leaseCandidates = s.leaseCandidates[:0]
	for _, candidate := range byWorker {
		s.leaseCandidates = append(s.leaseCandidates, *candidate)
	}
	slices.SortFunc(s.leaseCandidates, func(a, b leaseCandidate) int {
		return cmp.Or(
			cmp.Compare(s.leaseRank(a.worker, now), s.leaseRank(b.worker, now)),
			cmp.Compare(b.usage, a.usage),
			cmp.Compare(a.worker.Worker, b.worker.Worker))
	})
	s.leaseCandidates = s.leaseCandidates[:min(s.maxLeaseCandidates(now), len(s.leaseCandidates))]
}

// leaseRank returns the rank of a worker among those whose leases may be renewed, the lowest first: workers
// with a lease, and of those the ones that have not rejected work since they last accepted some.
func (s *Scheduler) leaseRank(w *worker, now time.Duration) int {
	rank := 0
	if !s.hasLease(w, now) {
		rank += 2
	}
	if w.lease.rejectedAt > 0 {
		rank++
	}
	return rank
}

// maxLeaseCandidates returns the number of workers that this gateway may verify continuously.
func (s *Scheduler) maxLeaseCandidates(now time.Duration) int {
	if s.loadsAreLimited() {
		return max(1, s.leasesWithinLoadLimit(now))
	}
	return max(minLeaseCandidates, int(s.verificationRate()*s.renewalInterval().Seconds()))
}

// leasesWithinLoadLimit returns the number of leases that can be renewed within the rate limit of load
// requests, if the requests arrive as a Poisson process and are spread evenly over the workers with a lease:
// only a worker that receives none for the renewal interval has to be verified.
func (s *Scheduler) leasesWithinLoadLimit(now time.Duration) int {
	window, interval := s.loadPolicy.RateWindow.Seconds(), s.renewalInterval().Seconds()
	rate := min(s.verificationLimit(now)/window, s.verificationRate())
	arrivalRate := s.submitted.LowerSum(now) / window
	for leases := 1; leases <= s.members.Len(); leases++ {
		needed := float64(leases) / interval
		if arrivalRate > 0 {
			needed = arrivalRate / math.Expm1(arrivalRate/float64(leases)*interval)
		}
		if needed > rate {
			return leases - 1
		}
	}
	return s.members.Len()
}

// renewalInterval returns the time after which a lease is renewed by a verification. Under a rate limit of
// load requests verifications are further apart, so that the limit suffices for more leases.
func (s *Scheduler) renewalInterval() time.Duration {
	if s.loadsAreLimited() {
		return fractionOf(limitedRenewalShare, s.leaseTime)
	}
	return fractionOf(renewalShare, s.leaseTime)
}

// addLeaseCandidate adds a function's arrivals to the usage of a worker with replicas of it. The verification
// names the function whose replicas were confirmed last: they are the most likely to be loaded still.
func (s *Scheduler) addLeaseCandidate(
	byWorker map[*worker]*leaseCandidate, f *function, replicas *replicaSet, now time.Duration,
) {
	w := replicas.worker
	if !w.acceptsNewWork() || now < w.ejectedUntil {
		return
	}
	candidate := byWorker[w]
	if candidate == nil {
		candidate = &leaseCandidate{worker: w, function: f}
		byWorker[w] = candidate
	}
	candidate.usage += 1 + int64(f.arrivals.UpperSum(now)) // integers: the sum is independent of map order
	assumedUntil, currentUntil := replicas.assumedUntil, candidate.function.replicaSetAt(w).assumedUntil
	if assumedUntil > currentUntil || assumedUntil == currentUntil && f.id < candidate.function.id {
		candidate.function = f
	}
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

// leasedWorkerFor returns a candidate with a lease that may be asked to load a function, or nil.
func (s *Scheduler) leasedWorkerFor(f *function, now time.Duration) *worker {
	accepting := s.preferredBuffer[:0]
	for _, candidate := range s.leaseCandidates {
		if s.acceptsLoad(candidate.worker, f, now) {
			accepting = append(accepting, candidate.worker)
		}
	}
	s.preferredBuffer = accepting
	if len(accepting) == 0 {
		return nil
	}
	return s.firstByRendezvous(accepting, f)
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
