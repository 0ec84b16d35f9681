package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Submit returns the decision on a new request.
func (s *Scheduler) Submit(now time.Duration, request *Request) Decision {
	stats := s.typeFor(request)
	s.updateFleetState(now)
	f := s.functionFor(request, now)
	s.recordArrival(request, f, stats, now)
	if !s.withinQuota(request, now) {
		return s.rejectOrFail(request, QuotaExceeded, now)
	}
	if len(f.queue) > 0 {
		return s.enqueue(request)
	}
	s.expireAssumptions(f, now)
	replicas := s.freeReplica(f, request, now)
	switch {
	case replicas == nil:
	case now < replicas.worker.backloggedUntil:
		s.rebalanceCandidates = append(s.rebalanceCandidates, f)
	case s.ensureFreshReport(replicas.worker, now):
		return s.send(request, replicas, now)
	}
	return s.enqueue(request)
}

// recordArrival records and counts a new request, and updates its function by the properties that it states.
func (s *Scheduler) recordArrival(request *Request, f *function, stats *typeStats, now time.Duration) {
	f.typ = stats
	f.concurrency = max(1, request.Concurrency)
	f.replicaMemory = plausibleOrZero(request.Memory, maxPlausibleMemory)
	f.loadTime = min(max(0, request.LoadTime), maxPlausibleLoadTime)
	stats.maxTimeLeft = max(stats.maxTimeLeft, request.TimeLeft)

	request.typ = stats
	request.function = f
	request.submittedAt = now
	request.deadline = now + request.TimeLeft
	age := stats.maxTimeLeft - request.TimeLeft // how long its client has waited or tried other gateways
	request.objectiveDeadline = now + stats.Objective - age

	f.lastArrival = now
	f.arrivals.Add(now, 1)
	s.arrivals.Add(now, 1)
	if now >= s.nextPlacementEstimate {
		s.estimatePlacement(now)
	}
	if now >= f.nextTick && len(f.queue) == 0 && len(f.replicaSets) > 0 { // ticks advance even without a queue
		f.nextTick = now + s.tickInterval(f)
		f.arrivalsSinceTick = 0
		if s.preferredCount(f, now) > 1 {
			s.rebalanceCandidates = append(s.rebalanceCandidates, f)
		}
	}
	f.arrivalsSinceTick++
	s.submitted.Add(now, 1)
	if !request.Retry {
		s.originalRequests.Add(now, 1)
	}
}

// withinQuota reports whether a request is accepted: the retries of a tenant are always limited, and in an
// overload all requests of a tenant are limited to its quota.
func (s *Scheduler) withinQuota(request *Request, now time.Duration) bool {
	if t := s.tenants[request.Tenant]; t != nil {
		quota := t.quota * s.trafficShare(now) * trafficWindow.Seconds()
		// one gateway receives few of a tenant's requests: the quota has a margin for random variation
		request.overQuota = t.arrivals.UpperSum(now) >= quota+max(1, quotaDeviations*math.Sqrt(quota))
		if !request.overQuota {
			t.arrivals.Add(now, 1)
		}
		if request.Retry {
			if t.retries.UpperSum(now) >= retryBurst+retriesPerRequest*s.originalRequests.UpperSum(now) {
				return false
			}
			t.retries.Add(now, 1)
		}
	}
	return !request.overQuota || !s.overloaded
}

// enqueue adds a request to its function's queue, in the order of submission.
func (s *Scheduler) enqueue(request *Request) Decision {
	f := request.function
	i, _ := slices.BinarySearchFunc(f.queue, request.submittedAt+1, func(queued *Request, t time.Duration) int {
		return cmp.Compare(queued.submittedAt, t)
	})
	f.queue = slices.Insert(f.queue, i, request)
	if !f.active {
		f.active = true
		s.activeFunctions = append(s.activeFunctions, f)
	}
	return Decision{Request: request, Action: Enqueue}
}

// send returns the decision to send an attempt to a worker, and records the attempt as in flight.
func (s *Scheduler) send(request *Request, replicas *replicaSet, now time.Duration) Decision {
	w := replicas.worker
	request.sendBy = earliestLimit(s.useLease(w, now), request.RetryBy())
	request.sentCold = false
	request.sentAt = now
	request.target = replicas
	request.avoid = nil
	request.attempts++
	request.queuedAhead = w.knownQueueDepth(now)
	replicas.inFlight++
	w.attempts = append(w.attempts, request)
	s.inFlight++
	s.updateCounters(w, now)
	w.lastSlowStartSend = now
	w.slowStartPauseShare = 1
	return Decision{Request: request, Action: Send, Worker: w.Worker}
}

// sendCold is like send for a worker that has to load the function first.
func (s *Scheduler) sendCold(request *Request, replicas *replicaSet, now time.Duration) Decision {
	decision := s.send(request, replicas, now)
	request.sentCold = true
	replicas.loading = max(replicas.loading, 1)
	replicas.loadDeadline = now + fractionOf(loadTimeoutFactor, request.function.expectedLoadTime())
	return decision
}
