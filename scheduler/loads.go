package scheduler

import (
	"math"
	"time"
)

// LoadRequest asks a worker to load replicas of a function until it has the requested number or, with the
// purpose QueryReplicas, how many it has loaded.
type LoadRequest struct {
	Worker   string
	Function uint64
	Replicas int `cbor:"Copies"`

	Purpose LoadPurpose   `cbor:",omitempty"`
	SendBy  time.Duration `cbor:",omitempty"` // latest time to write it to the connection; 0: no limit
}

// tickInterval returns the time between two ticks of a function.
func (s *Scheduler) tickInterval(f *function) time.Duration {
	return max(fractionOf(tickIntervalShare, f.typ.Objective), s.minTickInterval, 1)
}

// scaleUp requests the replicas that a function's queue needs, once at each tick of the function, and returns
// the time at which it must be called again. While a replica query for the function is pending, it requests
// none.
func (s *Scheduler) scaleUp(f *function, now time.Duration, due *TickResult) time.Duration {
	if len(f.queue) == 0 {
		return never
	}
	if now < f.nextTick {
		return f.nextTick
	}
	if s.awaitsQuery(f, now) { // the worker may already have replicas
		return f.queriedWorker.lease.querySentAt + s.leaseTime
	}
	loaded, loading := s.usableReplicas(f, now)
	missing := s.missingReplicas(f, loaded, loading)
	f.nextTick = now + s.tickInterval(f)
	if loaded > 0 {
		f.arrivalsSinceTick = 0 // until a replica is loaded, arrivals accumulate
	}
	total := loaded + loading
	for range min(missing, len(f.queue)) {
		if total == 0 {
			if !s.requestFirstLoad(f, now, due) {
				break
			}
		} else if !s.requestFurtherLoad(f, now, due) {
			break
		}
		total++
	}
	return f.nextTick
}

// usableReplicas returns the numbers of a function's replicas that are loaded and loading at usable workers.
func (s *Scheduler) usableReplicas(f *function, now time.Duration) (loaded, loading int) {
	for _, replicas := range f.replicaSets {
		w := replicas.worker
		rejectingUntil := max(replicas.rejectingUntil, w.rejections[f.tenant].until)
		if s.usable(w, now) && !w.probeOverdue(now) && now >= rejectingUntil {
			loaded += replicas.loaded
			loading += replicas.loading
		}
	}
	return loaded, loading
}

// missingReplicas returns the number of replicas to request for a function by the four-condition rule: one if
// none is loaded or loading, enough for the arrivals while the first ones load, and otherwise enough for the
// queue if it is longer than the number of replicas and than the arrivals since the last tick, or if those
// arrivals are at least as many as the replicas serve in a tick.
func (s *Scheduler) missingReplicas(f *function, loaded, loading int) int {
	queued, total := len(f.queue), loaded+loading
	if total == 0 {
		return 1
	}
	// a slot runs at least one request, even if requests take longer than a tick
	perReplica := max(1, float64(s.tickInterval(f))/float64(f.meanRunTime())) * float64(f.concurrency)
	required := int(math.Ceil(float64(queued) / perReplica))
	switch {
	case loaded == 0:
		perObjective := max(1, float64(f.typ.Objective)/float64(f.meanRunTime())) * float64(f.concurrency)
		return int(math.Ceil(float64(f.arrivalsSinceTick)/perObjective)) - loading
	case total < queued && f.arrivalsSinceTick < queued:
		return required - loading
	case float64(f.arrivalsSinceTick) >= perReplica*float64(total):
		return required - total
	}
	return 0
}

// requestFirstLoad requests a function's first replica. If no load request may be sent, the oldest request is
// sent to the worker, which loads the function for it.
func (s *Scheduler) requestFirstLoad(f *function, now time.Duration, due *TickResult) bool {
	if float64(s.loadsInFlight) >= s.loadLimit.limit {
		return false
	}
	w := s.placeFirstReplica(f, now)
	if w == nil {
		return false
	}
	if s.requestLoadAt(f, w, now, due) {
		return true
	}
	if !s.loadPolicy.LoadOnMiss && s.loadPolicy.RequestLoads || len(f.queue) == 0 ||
		!s.mayRunOn(f.queue[0], w, now) || !s.slowStartAllows(w, f.queue[0], now) {
		return false
	}
	request := f.queue[0]
	f.queue = f.queue[1:]
	due.Decisions = append(due.Decisions, s.sendCold(request, f.replicaSetAt(w), now))
	return true
}

// requestFurtherLoad requests another replica of a function that already has one, unless the fleet is
// overloaded.
func (s *Scheduler) requestFurtherLoad(f *function, now time.Duration, due *TickResult) bool {
	if s.overloaded || float64(s.loadsInFlight) >= s.loadLimit.limit {
		return false
	}
	w := s.randomWorker(f, s.acceptsLoad, now)
	return w != nil && s.requestLoadAt(f, w, now, due)
}

// requestLoadAt requests one more replica from a worker. It returns false if none may be sent there now.
func (s *Scheduler) requestLoadAt(f *function, w *worker, now time.Duration, due *TickResult) bool {
	s.ensureFreshReport(w, now)
	replicas := f.replicaSetAt(w)
	if !s.loadPolicy.RequestLoads || !s.loadAllowed(now) ||
		replicas.loaded+replicas.loading >= maxReplicasPerWorker {
		return false
	}
	replicas.loading++
	timeout := fractionOf(loadTimeoutFactor*max(1, s.loadSlowdown), f.expectedLoadTime())
	replicas.loadDeadline = now + min(timeout, s.loadPolicy.RequestTimeout)
	s.loadsSent.Add(now, 1)
	s.loadsInFlight++
	due.LoadRequests = append(due.LoadRequests, LoadRequest{
		Worker:   w.Worker,
		Function: f.id,
		Replicas: replicas.loaded + replicas.loading,
		SendBy:   s.useLease(w, now),
	})
	return true
}

// loadAllowed reports whether the rate limit of load requests (rule 5) allows one more, counted
// conservatively. While workers need leases, a share of the limit is reserved for verifications.
func (s *Scheduler) loadAllowed(now time.Duration) bool {
	if !s.loadsAreLimited() {
		return true
	}
	limit, sent := s.loadRateLimit(now), s.loadsSent.UpperSum(now)
	if !s.watchExpired(now) {
		return sent+1 <= limit
	}
	return sent+1 <= limit && sent-s.verificationsSent.UpperSum(now)+1 <= limit-s.verificationLimit(now)
}

// loadsAreLimited reports whether there is a rate limit of load requests.
func (s *Scheduler) loadsAreLimited() bool { return s.loadPolicy.RateWindow > 0 }

// loadRateLimit returns the number of load requests that the rate limit allows in its window.
func (s *Scheduler) loadRateLimit(now time.Duration) float64 {
	return s.loadPolicy.RateBurst + s.loadPolicy.RatePerRequest*s.submitted.LowerSum(now)
}

// verificationLimit returns the part of the rate limit of load requests that is reserved for verifications: a
// share of it or, where workers load functions on a miss, at least enough for the lease of one worker.
func (s *Scheduler) verificationLimit(now time.Duration) float64 {
	limit := s.loadRateLimit(now)
	reserved := verificationLoadShare * limit
	if s.loadPolicy.LoadOnMiss {
		reserved = max(reserved, min(limit, float64(s.loadPolicy.RateWindow)/float64(s.renewalInterval())))
	}
	return reserved
}

// verificationAllowed reports whether one more verification fits into its part of the rate limit of load
// requests.
func (s *Scheduler) verificationAllowed(now time.Duration) bool {
	return s.loadPolicy.RequestLoads && (!s.loadsAreLimited() ||
		s.loadsSent.UpperSum(now)+1 <= s.loadRateLimit(now) &&
			s.verificationsSent.UpperSum(now)+1 <= s.verificationLimit(now))
}

// LoadCompleted handles the result of a load request and its duration. load.Replicas is the number of
// replicas that the worker has loaded according to its answer. Results for a worker that is not a member or a
// function without requests so far are ignored.
func (s *Scheduler) LoadCompleted(
	now time.Duration, load LoadRequest, result Result, duration time.Duration,
) {
	w, f := s.workers[load.Worker], s.functions[load.Function]
	if load.Purpose == LoadReplicas {
		s.loadsInFlight--
	}
	if w == nil || f == nil {
		return
	}
	switch load.Purpose {
	case VerifyWorker:
		s.verificationCompleted(f, w, load, result, now-duration, now)
		return
	case QueryReplicas:
		s.queryCompleted(f, w, load, result, now-duration, now)
		return
	}
	s.recordWorkResult(f, w, result, now-duration, now)
	if result == LeaseExpired || result == Withheld { // nothing was sent
		replicas := f.replicaSetAt(w)
		replicas.loading = max(0, replicas.loading-1)
		return
	}
	expected := f.expectedLoadTime()
	if result != Completed {
		duration = max(duration, fractionOf(loadTimeoutFactor, expected))
	}
	if duration > expected/alreadyLoadedDivisor { // failed and slow loads indicate a busy artifact store
		s.adjustLimit(&s.loadLimit, now, duration, slowLoadFactor*float64(expected), s.loadsInFlight, 1)
		s.loadSlowdown += (float64(duration)/float64(expected) - s.loadSlowdown) / functionSamples
	}
	replicas := f.replicaSetAt(w)
	replicas.loading = max(0, replicas.loading-1)
	switch result {
	case Completed, Failed:
		s.nextLeaseSelection = min(s.nextLeaseSelection, now) // the worker may be verified now
		replicas.assumeLoaded(load.Replicas, now+s.loadPolicy.ReplicaIdleTimeout)
	case Rejected:
		replicas.assumeLoaded(load.Replicas, now+s.loadPolicy.ReplicaIdleTimeout)
		replicas.rejectingUntil = now + expected
	case Unreachable, ConnectionLost:
		s.recordFailure(w, now)
	}
}

// assumeLoaded sets the number of replicas that are assumed to be loaded, and the time until which they are.
func (r *replicaSet) assumeLoaded(loaded int, until time.Duration) {
	r.loaded = loaded
	r.assumedUntil = until
}
