// Package scheduler decides for one front end where requests go. It is asked and it answers, three ways:
//
//	Submit:   where to send this request (or not yet, or never)
//	Complete: what to do after this outcome of an attempt
//	Tick:     what is due now (attempts, load requests, probes, final answers) and how long to wait then
//
// Facts are fed in between: UpdateMembership, WatchFailed, Probed, Loaded, ClientGone. Types are in types.go.
// The caller keeps the timers and the requests in flight; time is any clock of whole nanoseconds.
// The design (docs/design.md): a queue per function, released oldest first to a free slot assumed warm;
// a four-condition rule each tick that requests loads on random workers; surplus replicas starve.
// Beside it stand six mechanisms:
//  1. consecutive failures eject a worker, one request half-open brings it back (recordFailure, ejectSilent)
//  2. in-flight limits, of each worker and of the fleet, follow the answer times (adaptLimits, adjust)
//  3. requests queued at a worker, reported or by a probe's round trip, put it last (takeReport, reportFresh)
//  4. in an overload, what can't make its objective or is beyond its tenant's share is rejected, and so are
//     retries beyond a part of a tenant's first tries; a tenant rejected is served elsewhere (release)
//  5. cold workers get a small part of a warm one's work (slowStartPause)
//  6. the loads under way follow what comes of them (Loaded, requestLoad)
//
// What differs among workers and deployments is reported or learned: sizes of kinds (updateMeanSize), the
// queue at a worker (queueEstimate), what requests ahead cost (canSend), where memory ends (count).
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values: shares and multiples of what the settings or the requests say.
const (
	tickIntervalShare, spillWaitShare        = 0.2, 0.25 // a function's tick and its overflow wait, of the latency objective
	functionSamples, typeSamples             = 10, 100   // answers in a function's average and in a request type's
	initialLatency, trafficWindow            = 10 * time.Millisecond, 5 * time.Second
	initialLatencyShare, maxSlowdown         = 0.125, 4   // first mean answer time, of the objective; most an answer counts
	ejectionFailures, maxEjectionFactor      = 4, 8       // failures in a row that eject; longest ejection in longest objectives
	silenceThreshold, maxEjectedShare        = 18.0, 0.5  // silence that ejects, in mean answer times; most that can be bad
	initialWorkerLimit, minWorkerLimit       = 16.0, 2.0  // in-flight limit of a worker for all front ends, the least for each
	minFleetLimit                            = 0.5        // the least of all workers
	latencyTolerance, acceptableLatencyShare = 1.1, 0.5   // answers may take so many shortest ones, or so much of the objective
	minGrowthShare, minLatencyDecaySamples   = 0.1, 20000 // least part for growth; answers that grow the shortest time e times
	uncrowdedLatencyShare                    = 0.2        // of the objective, where no request waits at the worker
	loadTimeoutFactor                        = 4.0        // usual loads after which a load request is lost
	slowLoadFactor                           = 2.0        // usual loads that tell of a crowded store
	slowStartBudgetShare                     = 0.9        // part of a cold worker's budget that is used
	slowStartDeviations                      = 1.0        // less so many errors of chance
	nearLimitShare, rejectionLimitFactor     = 0.75, 0.9  // of its limit in flight: the next; what a rejection leaves of it
	maxPlacementWidth                        = 8.0        // workers for first replicas, over those that a function fills
	minPlacementWidth                        = 1.0        // the least of them
	priorFunctions, priorArrivals            = 5.0, 30.0  // functions and requests that stand for what is not seen yet
	maxPlausibleValue, maxPlausibleMemory    = 1e5, 1e15  // more is not believed
	firstReplicaMemoryShare                  = 0.5        // of all memory, for first replicas
	overloadCapacityShare                    = 0.5        // fewer workers with room, of all or of those heard of: an overload
	minOverloadReports                       = 3          // workers heard of that are enough to tell
	retryBurst                               = 1.0        // marked retries of a tenant that are taken
	retriesPerRequest                        = 0.05       // and for each first try
	queuedAheadDecay                         = 0.95       // of what was seen of the requests ahead, by the next
	crossZoneFactor                          = 3.0        // a worker of another zone is as far as one so much smaller
	queuedPerProbeExcess, maxProbeExcess     = 4.0, 8.0   // queued requests for a probe's excess over the mean one; most excess
	minProbeExcess                           = 0.25       // mean excess of probes over the shortest that is not the network's
	reportValidityShare                      = 0.5        // a report is believed for so much of the longest objective
	quotaDeviations                          = 1.0        // errors of chance by which a tenant may be beyond its share
	rejectionBackoffShare                    = 0.125      // a rejected tenant stays away so much of the objective
	maxRejectionDoublings                    = 6          // doubled so often at the most
	pointsPerFunction                        = 64         // on the circle of the shared order: an even one needs many
	maxDraws, maxVisitsPerWanted             = 64, 4      // workers looked at for one that accepts, and for each wanted
)

func (f *function) meanRunTime() time.Duration { return max(1, f.runTimes.Mean(initialLatency)) }

func (s *Scheduler) expectedDuration(f *function) time.Duration {
	return max(f.meanRunTime(), f.typ.meanLatency/2)
}

// Submit answers where to send a request that has just come.
func (s *Scheduler) Submit(now time.Duration, request *Request) Decision {
	stats := s.typeFor(request)
	s.updateFleetState(now)
	f := s.functionFor(request, now)
	s.recordArrival(request, f, stats, now)
	if !s.withinQuota(request, now) {
		return s.rejectOrFail(request, QuotaExceeded, now)
	}
	if len(f.queue) == 0 {
		s.expireAssumptions(f, now)
		if replicas := s.findWarmReplica(f, request, false, now); replicas != nil && now < replicas.worker.backloggedUntil {
			s.rebalanceCandidates = append(s.rebalanceCandidates, f)
		} else if replicas != nil && s.ensureFreshReport(replicas.worker, now) {
			return s.send(request, replicas, false, now)
		}
	}
	return s.enqueue(request)
}

func (s *Scheduler) typeFor(request *Request) *typeStats {
	if s.types[request.Type] == nil { // the settings did not name it: nothing is known to be safe
		s.AddType(RequestType{Name: request.Type, Effect: AtMostOnce, Objective: request.TimeLeft})
	}
	return s.types[request.Type]
}

// recordArrival notes what a request tells of itself and of its function, and counts it.
func (s *Scheduler) recordArrival(request *Request, f *function, stats *typeStats, now time.Duration) {
	f.typ, f.concurrency, f.replicaMemory = stats, max(1, request.Concurrency), plausibleOrZero(request.Memory, maxPlausibleMemory)
	f.loadTime = min(max(0, request.LoadTime), time.Hour)
	stats.maxTimeLeft = max(stats.maxTimeLeft, request.TimeLeft)
	request.typ, request.function, request.submittedAt, request.deadline = stats, f, now, now+request.TimeLeft
	request.objectiveDeadline = now + stats.Objective - (stats.maxTimeLeft - request.TimeLeft) // less time left than the most seen is age
	f.arrivals.Add(now, 1)
	s.arrivals.Add(now, 1)
	if now >= s.nextPlacementEstimate {
		s.estimatePlacement(now)
	}
	if now >= f.nextTick && len(f.queue) == 0 && len(f.replicaSets) > 0 { // a tick without a queue advances too
		f.nextTick, f.arrivalsSinceTick = now+s.tickInterval(f), 0
		if s.preferredCount(f, now) > 1 {
			s.rebalanceCandidates = append(s.rebalanceCandidates, f)
		}
	}
	f.arrivalsSinceTick++
	if s.submitted.Add(now, 1); !request.Retry {
		s.originalRequests.Add(now, 1)
	}
}

// withinQuota tells whether a request is taken: its tenant's retries are limited, in an overload its share
// too.
func (s *Scheduler) withinQuota(request *Request, now time.Duration) bool {
	if usage := s.tenants[request.Tenant]; usage != nil {
		within := usage.quota * s.trafficShare(now) * trafficWindow.Seconds() // few come here: more than chance is over
		if request.overQuota = usage.arrivals.UpperSum(now) >= within+max(1, quotaDeviations*math.Sqrt(within)); !request.overQuota {
			usage.arrivals.Add(now, 1)
		}
		if request.Retry && usage.retries.UpperSum(now) >= retryBurst+retriesPerRequest*s.originalRequests.UpperSum(now) {
			return false
		} else if request.Retry {
			usage.retries.Add(now, 1)
		}
	}
	return !request.overQuota || !s.overloaded
}

func (s *Scheduler) enqueue(request *Request) Decision {
	f := request.function
	i, _ := slices.BinarySearchFunc(f.queue, request.submittedAt+1, func(other *Request, t time.Duration) int {
		return cmp.Compare(other.submittedAt, t)
	})
	f.queue = slices.Insert(f.queue, i, request)
	if !f.active {
		f.active = true
		s.activeFunctions = append(s.activeFunctions, f)
	}
	return Decision{Request: request, Action: Enqueue}
}

// mustNotRunAgain tells that a request may have run and must not run again, wherever.
func (s *Scheduler) mustNotRunAgain(request *Request, now time.Duration) bool {
	late := request.typ.Effect == IdempotencyKey && now+s.minTickInterval >= request.mayHaveRunSince+request.typ.DedupWindow
	return request.mayHaveRun != nil && (late || request.typ.Effect == AtMostOnce)
}

// mayRunOn keeps effects from happening twice (rule 2): a request that may have run goes again only as its
// type allows, a keyed one inside its group and window.
func (s *Scheduler) mayRunOn(request *Request, w *worker, now time.Duration) bool {
	return !s.mustNotRunAgain(request, now) && (request.mayHaveRun == nil || request.typ.retryableAnywhere() ||
		w.Zone == request.mayHaveRun.Zone && (request.typ.DedupScope == ScopeZone || w.Cell == request.mayHaveRun.Cell))
}

func (s *Scheduler) expectedWork(request *Request) float64 {
	return float64(max(request.typ.meanLatency, initialLatency))
}

func (s *Scheduler) send(request *Request, replicas *replicaSet, cold bool, now time.Duration) Decision {
	request.sentCold, request.sentAt, request.target, request.avoid = cold, now, replicas, nil
	request.attempts, replicas.inFlight, request.queuedAhead = request.attempts+1, replicas.inFlight+1, replicas.worker.knownQueueDepth(now)
	replicas.worker.attempts = append(replicas.worker.attempts, request)
	s.inFlight++
	s.updateCounters(replicas.worker, now)
	replicas.worker.lastSlowStartSend, replicas.worker.slowStartPauseShare = now, 1
	if cold {
		replicas.loading = max(replicas.loading, 1)
		replicas.loadDeadline = now + fractionOf(loadTimeoutFactor, request.function.expectedLoadTime())
	}
	return Decision{Request: request, Action: Send, Worker: replicas.worker.Worker}
}

// rejectOrFail ends a request as its type allows: rejected where another try is harmless, else failed.
func (s *Scheduler) rejectOrFail(request *Request, reason Reason, now time.Duration) Decision {
	request.closed, request.reason = true, reason
	if s.mustNotRunAgain(request, now) || request.mayHaveRun != nil && !request.typ.retryableAnywhere() {
		return Decision{Request: request, Action: Fail}
	}
	back := min(s.maxRetryAfter, request.typ.Objective/2)
	return Decision{Request: request, Action: Reject, RetryAfter: back/2 + time.Duration(s.rng.IntN(int(back/2)+1))}
}

// Complete answers what to do after the outcome of an attempt.
func (s *Scheduler) Complete(now time.Duration, request *Request, outcome Outcome) Decision {
	replicas := request.target
	if replicas == nil {
		return Decision{Request: request, Action: NoAction}
	}
	w := replicas.worker
	s.updateFleetState(now)
	hasRoom := s.applyReport(w, outcome.Report, now) && outcome.Report.QueueDepth < 1
	if outcome.Duration >= request.typ.Objective && len(w.attempts) == 1 {
		w.slowUntil = now + s.longestObjective
	}
	request.target, replicas.inFlight = nil, replicas.inFlight-1
	w.attempts = slices.DeleteFunc(w.attempts, func(other *Request) bool { return other == request })
	s.recordOutcome(request, replicas, outcome, hasRoom, now)
	s.updateCounters(w, now)
	if request.mayHaveRun == nil && slices.Contains([]Result{Failed, TimedOut, ConnectionLost, Cancelled}, outcome.Result) {
		request.mayHaveRun, request.mayHaveRunSince = w, request.sentAt
	}
	if outcome.Final || request.closed {
		request.closed = true
		return Decision{Request: request, Action: NoAction}
	}
	request.avoid = w
	switch {
	case outcome.Result == Withheld:
		return s.rejectOrFail(request, AttemptWithheld, now)
	case s.mustNotRunAgain(request, now):
		return s.rejectOrFail(request, NotRetryable, now)
	case request.attempts >= s.maxAttempts:
		return s.rejectOrFail(request, AttemptsExhausted, now)
	case now+s.deadlineMargin(request) >= request.deadline:
		return s.rejectOrFail(request, NoTimeLeft, now)
	}
	return s.enqueue(request)
}

// recordOutcome takes what an outcome tells of the worker, of the replicas there and of the function.
func (s *Scheduler) recordOutcome(request *Request, replicas *replicaSet, outcome Outcome, hasRoom bool, now time.Duration) {
	w, f := replicas.worker, request.function
	switch outcome.Result {
	case Completed:
		s.completedWork.Add(now, s.expectedWork(request))
		w.recordSuccess(now)
		replicas.replicas, replicas.assumedUntil = max(1, replicas.replicas), now+s.replicaIdleTimeout
		delete(w.rejections, request.Tenant)
		if outcome.ReplicaState == ReplicaWarm || outcome.ReplicaState == ReplicaUnknown && !request.sentCold {
			f.runTimes.Add(outcome.Duration, functionSamples)
			s.adaptLimits(w, request, outcome.Duration, now)
		}
	case Full: // whatever the reason, a tenant rejected again and again is served elsewhere; others stay
		r := rejection{consecutive: min(w.rejections[request.Tenant].consecutive+1, maxRejectionDoublings)}
		replicas.rejectingUntil = now + fractionOf(rejectionBackoffShare, f.typ.Objective)<<r.consecutive
		w.limit = max(minWorkerLimit, w.limit*rejectionLimitFactor)
		if f.tenant != "" && hasRoom {
			r.until = replicas.rejectingUntil
		}
		w.recordRejection(request.Tenant, r)
	case Unreachable, ConnectionLost: // a process that died comes back with a new start; a broken line does not
		s.recordFailure(w, now)
	case TimedOut:
		if s.adaptLimits(w, request, outcome.Duration, now); request.sentAt >= w.lastSuccess {
			s.recordFailure(w, now)
		}
	case Failed, NotFound:
		if replicas.replicas = 0; outcome.Result == Failed && outcome.ReplicaState != ReplicaLoadFailed {
			s.recordFailure(w, now)
		}
	}
}

// deadlineMargin is how long before the client gives up a request is given up: an answer is not to be had then.
func (s *Scheduler) deadlineMargin(request *Request) time.Duration {
	return max(2*s.minTickInterval, min(2*s.expectedDuration(request.function), request.TimeLeft/2))
}

// Tick answers what is due now, and how long to wait until something else is.
func (s *Scheduler) Tick(now time.Duration) TickResult {
	var due TickResult
	if now >= s.subscribeAt {
		due.Subscribe, s.subscribeAt = true, now+8*s.subscribeInterval
	}
	s.updateFleetState(now)
	s.ejectUnresponsive(now)
	for _, request := range s.cancelCandidates {
		if s.cancelEnabled && request.target != nil && !request.closed && request.typ.retryableAnywhere() && request.attempts < s.maxAttempts &&
			now+s.deadlineMargin(request) < request.deadline {
			due.Decisions = append(due.Decisions, Decision{Request: request, Action: Cancel, Attempt: request.attempts - 1})
		}
	}
	s.cancelCandidates = s.cancelCandidates[:0]
	for _, f := range s.activeFunctions {
		s.expireAssumptions(f, now)
		s.releaseQueue(f, false, now, &due)
	}
	for _, f := range s.rebalanceCandidates {
		w := s.placeReplica(f, true, now)
		if w != nil && now >= w.backloggedUntil && !s.overloaded && f.replicaSetAt(w).empty() {
			s.requestLoad(f, true, now, &due)
		}
	}
	s.rebalanceCandidates = s.rebalanceCandidates[:0]
	wake := s.subscribeAt
	for _, f := range s.activeFunctions {
		wake = min(wake, s.releaseQueue(f, true, now, &due), s.scaleUp(f, now, &due))
	}
	s.activeFunctions = slices.DeleteFunc(s.activeFunctions, func(f *function) bool {
		f.active = len(f.queue) > 0
		return !f.active
	})
	due.Probes, s.pendingProbes = s.pendingProbes, nil
	if s.busy.Len() > 0 {
		wake = min(wake, now+s.longestObjective/8) // to notice silence
	}
	if wake < math.MaxInt64 {
		due.Next = max(wake-now, s.minTickInterval, time.Microsecond)
	}
	return due
}

// unservableReason tells why a held request can't be served any more, if it can't; last is when it is too late.
func (s *Scheduler) unservableReason(request *Request, last, now time.Duration) Reason {
	switch {
	case now >= last:
		return NoTimeLeft
	case s.mustNotRunAgain(request, now):
		return NotRetryable
	}
	return NoReason
}

// releaseQueue releases a function's held requests, oldest first, and gives up those past hope (rule 1: in time).
// Those that can't make their latency objective come after all that can: old must not make young late.
func (s *Scheduler) releaseQueue(f *function, late bool, now time.Duration, due *TickResult) time.Duration {
	wake := time.Duration(math.MaxInt64)
	kept := f.queue[:0]
	for _, request := range f.queue {
		if request.closed {
			continue
		}
		var replicas *replicaSet
		last := request.deadline - s.deadlineMargin(request)
		reason := s.unservableReason(request, last, now)
		if reason == NoReason && late == (now+s.expectedDuration(f) > request.objectiveDeadline) {
			replicas = s.findWarmReplica(f, request, false, now) // where requests wait, a replica elsewhere may be heard of in a moment
			if replicas != nil && (!s.ensureFreshReport(replicas.worker, now) || now < min(replicas.worker.backloggedUntil, request.submittedAt+initialLatency)) {
				replicas, wake = nil, min(wake, now+initialLatency)
			} else if replicas == nil && now >= request.submittedAt+fractionOf(spillWaitShare, request.typ.Objective) {
				replicas = s.findWarmReplica(f, request, true, now)
				if replicas == nil && request.mayHaveRun == nil && (late || request.overQuota) && s.overloaded {
					reason = FleetOverloaded
				}
			}
		}
		if reason != NoReason {
			due.Decisions = append(due.Decisions, s.rejectOrFail(request, reason, now))
		} else if replicas != nil {
			due.Decisions = append(due.Decisions, s.send(request, replicas, false, now))
		} else {
			kept, wake = append(kept, request), min(wake, last)
		}
	}
	f.queue = kept
	return wake
}
