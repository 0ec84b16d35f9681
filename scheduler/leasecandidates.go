package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// leaseCandidate is a worker whose lease is renewed even without traffic, and the function that the
// verification names.
type leaseCandidate struct {
	worker   *worker
	function *function
	usage    int64 // arrivals of the functions with replicas at the worker
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
// only a worker that receives none for the renewal interval has to be verified. There is a margin for random
// variation: leases that lapse because the limit is used up are lost together.
func (s *Scheduler) leasesWithinLoadLimit(now time.Duration) int {
	window, interval := s.loadPolicy.RateWindow.Seconds(), s.renewalInterval().Seconds()
	limit := min(s.verificationLimit(now), s.verificationRate()*window)
	arrivalRate := s.submitted.LowerSum(now) / window
	for leases := 1; leases <= s.members.Len(); leases++ {
		needed := float64(leases) / interval * window
		if arrivalRate > 0 {
			needed = arrivalRate / math.Expm1(arrivalRate/float64(leases)*interval) * window
		}
		if needed+verificationDeviations*math.Sqrt(needed) > limit {
			return leases - 1
		}
	}
	return s.members.Len()
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
