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

func (c *Scheduler) expectedDuration(f *function) time.Duration {
	return max(f.meanRunTime(), f.typ.meanLatency/2)
}

// Submit answers where to send a request that has just come.
func (c *Scheduler) Submit(now time.Duration, e *Request) Decision {
	t := c.typeFor(e)
	c.updateFleetState(now)
	f := c.functionFor(e, now)
	c.recordArrival(e, f, t, now)
	if !c.withinQuota(e, now) {
		return c.rejectOrFail(e, QuotaExceeded, now)
	}
	if len(f.queue) == 0 {
		c.expireAssumptions(f, now)
		if s := c.findWarmReplica(f, e, false, now); s != nil && now < s.worker.backloggedUntil {
			c.rebalanceCandidates = append(c.rebalanceCandidates, f)
		} else if s != nil && c.ensureFreshReport(s.worker, now) {
			return c.send(e, s, false, now)
		}
	}
	return c.enqueue(e)
}

func (c *Scheduler) typeFor(e *Request) *typeStats {
	if c.types[e.Type] == nil { // the settings did not name it: nothing is known to be safe
		c.AddType(RequestType{Name: e.Type, Effect: AtMostOnce, Objective: e.TimeLeft})
	}
	return c.types[e.Type]
}

// recordArrival notes what a request tells of itself and of its function, and counts it.
func (c *Scheduler) recordArrival(e *Request, f *function, t *typeStats, now time.Duration) {
	f.typ, f.concurrency, f.replicaMemory = t, max(1, e.Concurrency), plausibleOrZero(e.Memory, maxPlausibleMemory)
	f.loadTime = min(max(0, e.LoadTime), time.Hour)
	t.maxTimeLeft = max(t.maxTimeLeft, e.TimeLeft)
	e.typ, e.function, e.submittedAt, e.deadline = t, f, now, now+e.TimeLeft
	e.objectiveDeadline = now + t.Objective - (t.maxTimeLeft - e.TimeLeft) // less time left than the most seen is age
	f.arrivals.Add(now, 1)
	c.arrivals.Add(now, 1)
	if now >= c.nextPlacementEstimate {
		c.estimatePlacement(now)
	}
	if now >= f.nextTick && len(f.queue) == 0 && len(f.replicaSets) > 0 { // a tick without a queue advances too
		f.nextTick, f.arrivalsSinceTick = now+c.tickInterval(f), 0
		if c.preferredCount(f, now) > 1 {
			c.rebalanceCandidates = append(c.rebalanceCandidates, f)
		}
	}
	f.arrivalsSinceTick++
	if c.submitted.Add(now, 1); !e.Retry {
		c.originalRequests.Add(now, 1)
	}
}

// withinQuota tells whether a request is taken: its tenant's retries are limited, in an overload its share
// too.
func (c *Scheduler) withinQuota(e *Request, now time.Duration) bool {
	if n := c.tenants[e.Tenant]; n != nil {
		within := n.quota * c.trafficShare(now) * trafficWindow.Seconds() // few come here: more than chance is over
		if e.overQuota = n.arrivals.UpperSum(now) >= within+max(1, quotaDeviations*math.Sqrt(within)); !e.overQuota {
			n.arrivals.Add(now, 1)
		}
		if e.Retry && n.retries.UpperSum(now) >= retryBurst+retriesPerRequest*c.originalRequests.UpperSum(now) {
			return false
		} else if e.Retry {
			n.retries.Add(now, 1)
		}
	}
	return !e.overQuota || !c.overloaded
}

func (c *Scheduler) enqueue(e *Request) Decision {
	f := e.function
	i, _ := slices.BinarySearchFunc(f.queue, e.submittedAt+1, func(x *Request, t time.Duration) int {
		return cmp.Compare(x.submittedAt, t)
	})
	f.queue = slices.Insert(f.queue, i, e)
	if !f.active {
		f.active = true
		c.activeFunctions = append(c.activeFunctions, f)
	}
	return Decision{Request: e, Action: Enqueue}
}

// mustNotRunAgain tells that a request may have run and must not run again, wherever.
func (c *Scheduler) mustNotRunAgain(e *Request, now time.Duration) bool {
	late := e.typ.Effect == IdempotencyKey && now+c.minTickInterval >= e.mayHaveRunSince+e.typ.DedupWindow
	return e.mayHaveRun != nil && (late || e.typ.Effect == AtMostOnce)
}

// mayRunOn keeps effects from happening twice (rule 2): a request that may have run goes again only as its
// type allows, a keyed one inside its group and window.
func (c *Scheduler) mayRunOn(e *Request, w *worker, now time.Duration) bool {
	return !c.mustNotRunAgain(e, now) && (e.mayHaveRun == nil || e.typ.retryableAnywhere() ||
		w.Zone == e.mayHaveRun.Zone && (e.typ.DedupScope == ScopeZone || w.Cell == e.mayHaveRun.Cell))
}

func (c *Scheduler) expectedWork(e *Request) float64 {
	return float64(max(e.typ.meanLatency, initialLatency))
}

func (c *Scheduler) send(e *Request, s *replicaSet, cold bool, now time.Duration) Decision {
	e.sentCold, e.sentAt, e.target, e.avoid = cold, now, s, nil
	e.attempts, s.inFlight, e.queuedAhead = e.attempts+1, s.inFlight+1, s.worker.knownQueueDepth(now)
	s.worker.attempts = append(s.worker.attempts, e)
	c.inFlight++
	c.updateCounters(s.worker, now)
	s.worker.lastSlowStartSend, s.worker.slowStartPauseShare = now, 1
	if cold {
		s.loading = max(s.loading, 1)
		s.loadDeadline = now + fractionOf(loadTimeoutFactor, e.function.expectedLoadTime())
	}
	return Decision{Request: e, Action: Send, Worker: s.worker.Worker}
}

// rejectOrFail ends a request as its type allows: rejected where another try is harmless, else failed.
func (c *Scheduler) rejectOrFail(e *Request, reason Reason, now time.Duration) Decision {
	e.closed, e.reason = true, reason
	if c.mustNotRunAgain(e, now) || e.mayHaveRun != nil && !e.typ.retryableAnywhere() {
		return Decision{Request: e, Action: Fail}
	}
	back := min(c.maxRetryAfter, e.typ.Objective/2)
	return Decision{Request: e, Action: Reject, RetryAfter: back/2 + time.Duration(c.rng.IntN(int(back/2)+1))}
}

// Complete answers what to do after the outcome of an attempt.
func (c *Scheduler) Complete(now time.Duration, e *Request, o Outcome) Decision {
	s := e.target
	if s == nil {
		return Decision{Request: e, Action: NoAction}
	}
	w := s.worker
	c.updateFleetState(now)
	hasRoom := c.applyReport(w, o.Report, now) && o.Report.QueueDepth < 1
	if o.Duration >= e.typ.Objective && len(w.attempts) == 1 {
		w.slowUntil = now + c.longestObjective
	}
	e.target, s.inFlight = nil, s.inFlight-1
	w.attempts = slices.DeleteFunc(w.attempts, func(x *Request) bool { return x == e })
	c.recordOutcome(e, s, o, hasRoom, now)
	c.updateCounters(w, now)
	if e.mayHaveRun == nil && slices.Contains([]Result{Failed, TimedOut, ConnectionLost, Cancelled}, o.Result) {
		e.mayHaveRun, e.mayHaveRunSince = w, e.sentAt
	}
	if o.Final || e.closed {
		e.closed = true
		return Decision{Request: e, Action: NoAction}
	}
	e.avoid = w
	switch {
	case o.Result == Withheld:
		return c.rejectOrFail(e, AttemptWithheld, now)
	case c.mustNotRunAgain(e, now):
		return c.rejectOrFail(e, NotRetryable, now)
	case e.attempts >= c.maxAttempts:
		return c.rejectOrFail(e, AttemptsExhausted, now)
	case now+c.deadlineMargin(e) >= e.deadline:
		return c.rejectOrFail(e, NoTimeLeft, now)
	}
	return c.enqueue(e)
}

// recordOutcome takes what an outcome tells of the worker, of the replicas there and of the function.
func (c *Scheduler) recordOutcome(e *Request, s *replicaSet, o Outcome, hasRoom bool, now time.Duration) {
	w, f := s.worker, e.function
	switch o.Result {
	case Completed:
		c.completedWork.Add(now, c.expectedWork(e))
		w.recordSuccess(now)
		s.replicas, s.assumedUntil = max(1, s.replicas), now+c.replicaIdleTimeout
		delete(w.rejections, e.Tenant)
		if o.ReplicaState == ReplicaWarm || o.ReplicaState == ReplicaUnknown && !e.sentCold {
			f.runTimes.Add(o.Duration, functionSamples)
			c.adaptLimits(w, e, o.Duration, now)
		}
	case Full: // whatever the reason, a tenant rejected again and again is served elsewhere; others stay
		r := rejection{consecutive: min(w.rejections[e.Tenant].consecutive+1, maxRejectionDoublings)}
		s.rejectingUntil = now + fractionOf(rejectionBackoffShare, f.typ.Objective)<<r.consecutive
		w.limit = max(minWorkerLimit, w.limit*rejectionLimitFactor)
		if f.tenant != "" && hasRoom {
			r.until = s.rejectingUntil
		}
		w.recordRejection(e.Tenant, r)
	case Unreachable, ConnectionLost: // a process that died comes back with a new start; a broken line does not
		c.recordFailure(w, now)
	case TimedOut:
		if c.adaptLimits(w, e, o.Duration, now); e.sentAt >= w.lastSuccess {
			c.recordFailure(w, now)
		}
	case Failed, NotFound:
		if s.replicas = 0; o.Result == Failed && o.ReplicaState != ReplicaLoadFailed {
			c.recordFailure(w, now)
		}
	}
}

// deadlineMargin is how long before the client gives up a request is given up: an answer is not to be had then.
func (c *Scheduler) deadlineMargin(e *Request) time.Duration {
	return max(2*c.minTickInterval, min(2*c.expectedDuration(e.function), e.TimeLeft/2))
}

// Tick answers what is due now, and how long to wait until something else is.
func (c *Scheduler) Tick(now time.Duration) TickResult {
	var st TickResult
	if now >= c.subscribeAt {
		st.Subscribe, c.subscribeAt = true, now+8*c.subscribeInterval
	}
	c.updateFleetState(now)
	c.ejectUnresponsive(now)
	for _, e := range c.cancelCandidates {
		if c.cancelEnabled && e.target != nil && !e.closed && e.typ.retryableAnywhere() && e.attempts < c.maxAttempts &&
			now+c.deadlineMargin(e) < e.deadline {
			st.Decisions = append(st.Decisions, Decision{Request: e, Action: Cancel, Attempt: e.attempts - 1})
		}
	}
	c.cancelCandidates = c.cancelCandidates[:0]
	for _, f := range c.activeFunctions {
		c.expireAssumptions(f, now)
		c.releaseQueue(f, false, now, &st)
	}
	for _, f := range c.rebalanceCandidates {
		w := c.placeReplica(f, true, now)
		if w != nil && now >= w.backloggedUntil && !c.overloaded && f.replicaSetAt(w).empty() {
			c.requestLoad(f, true, now, &st)
		}
	}
	c.rebalanceCandidates = c.rebalanceCandidates[:0]
	wake := c.subscribeAt
	for _, f := range c.activeFunctions {
		wake = min(wake, c.releaseQueue(f, true, now, &st), c.scaleUp(f, now, &st))
	}
	c.activeFunctions = slices.DeleteFunc(c.activeFunctions, func(f *function) bool {
		f.active = len(f.queue) > 0
		return !f.active
	})
	st.Probes, c.pendingProbes = c.pendingProbes, nil
	if c.busy.Len() > 0 {
		wake = min(wake, now+c.longestObjective/8) // to notice silence
	}
	if wake < math.MaxInt64 {
		st.Next = max(wake-now, c.minTickInterval, time.Microsecond)
	}
	return st
}

// unservableReason tells why a held request can't be served any more, if it can't; last is when it is too late.
func (c *Scheduler) unservableReason(e *Request, last, now time.Duration) Reason {
	switch {
	case now >= last:
		return NoTimeLeft
	case c.mustNotRunAgain(e, now):
		return NotRetryable
	}
	return NoReason
}

// releaseQueue releases a function's held requests, oldest first, and gives up those past hope (rule 1: in time).
// Those that can't make their latency objective come after all that can: old must not make young late.
func (c *Scheduler) releaseQueue(f *function, late bool, now time.Duration, st *TickResult) time.Duration {
	wake := time.Duration(math.MaxInt64)
	kept := f.queue[:0]
	for _, e := range f.queue {
		if e.closed {
			continue
		}
		var s *replicaSet
		last := e.deadline - c.deadlineMargin(e)
		reason := c.unservableReason(e, last, now)
		if reason == NoReason && late == (now+c.expectedDuration(f) > e.objectiveDeadline) {
			s = c.findWarmReplica(f, e, false, now) // where requests wait, a replica elsewhere may be heard of in a moment
			if s != nil && (!c.ensureFreshReport(s.worker, now) || now < min(s.worker.backloggedUntil, e.submittedAt+initialLatency)) {
				s, wake = nil, min(wake, now+initialLatency)
			} else if s == nil && now >= e.submittedAt+fractionOf(spillWaitShare, e.typ.Objective) {
				s = c.findWarmReplica(f, e, true, now)
				if s == nil && e.mayHaveRun == nil && (late || e.overQuota) && c.overloaded {
					reason = FleetOverloaded
				}
			}
		}
		if reason != NoReason {
			st.Decisions = append(st.Decisions, c.rejectOrFail(e, reason, now))
		} else if s != nil {
			st.Decisions = append(st.Decisions, c.send(e, s, false, now))
		} else {
			kept, wake = append(kept, e), min(wake, last)
		}
	}
	f.queue = kept
	return wake
}
