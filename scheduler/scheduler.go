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
	tickShare, overflowShare = 0.2, 0.25 // a function's tick and its overflow wait, of the latency objective
	averaged, typeAveraged   = 10, 100   // answers in a function's average and in a request type's
	firstLatency, freshSpan  = 10 * time.Millisecond, 5 * time.Second
	firstShare, stuckAfter   = 0.125, 4   // first mean answer time, of the objective; most an answer counts
	ejectAfter, maxEjection  = 4, 8       // failures in a row that eject; longest ejection in longest objectives
	overdue, mostEjected     = 18.0, 0.5  // silence that ejects, in mean answer times; most that can be bad
	firstLimit, leastLimit   = 16.0, 2.0  // in-flight limit of a worker for all front ends, the least for each
	leastFleetLimit          = 0.5        // the least of all workers
	tolerance, enoughShare   = 1.1, 0.5   // answers may take so many shortest ones, or so much of the objective
	growth, shortLasts       = 0.1, 20000 // least part for growth; answers that grow the shortest time e times
	aloneShare               = 0.2        // of the objective, where no request waits at the worker
	loadTimeoutFactor        = 4.0        // usual loads after which a load request is lost
	slowLoad                 = 2.0        // usual loads that tell of a crowded store
	slowStartSafety          = 0.9        // part of a cold worker's budget that is used
	slowStartChance          = 1.0        // less so many errors of chance
	manyShare, fullFall      = 0.75, 0.9  // of its limit in flight: the next; what a rejection leaves of it
	firstPlacementWidth      = 8.0        // workers for first replicas, over those that a function fills
	leastPlacementWidth      = 1.0        // the least of them
	atFirst, startAs         = 5.0, 30.0  // functions and requests that stand for what is not seen yet
	mostSize, mostMemory     = 1e5, 1e15  // more is not believed
	replicaShare             = 0.5        // of all memory, for first replicas
	overloadedShare          = 0.5        // fewer workers with room, of all or of those heard of: an overload
	enoughReports            = 3          // workers heard of that are enough to tell
	retriesFree              = 1.0        // marked retries of a tenant that are taken
	retriesPerFirstTry       = 0.05       // and for each first try
	queuedAheadKept          = 0.95       // of what was seen of the requests ahead, by the next
	nearness                 = 3.0        // a worker of another zone is as far as one so much smaller
	probeWeight, probeMost   = 4.0, 8.0   // queued requests for a probe's excess over the mean one; most excess
	deepOver                 = 0.25       // mean excess of probes over the shortest that is not the network's
	reportLasts              = 0.5        // a report is believed for so much of the longest objective
	shareChance              = 1.0        // errors of chance by which a tenant may be beyond its share
	rejectedShare            = 0.125      // a rejected tenant stays away so much of the objective
	rejectedMost             = 6          // doubled so often at the most
	pointsOfFunction         = 64         // on the circle of the shared order: an even one needs many
	mostDraws, passedFor     = 64, 4      // workers looked at for one that accepts, and for each wanted
)

func (f *function) mean() time.Duration { return max(1, f.runTimes.Mean(firstLatency)) }

func (c *Scheduler) expected(f *function) time.Duration { return max(f.mean(), f.typ.mean/2) }

// Submit answers where to send a request that has just come.
func (c *Scheduler) Submit(now time.Duration, e *Request) Decision {
	t := c.typeOf(e)
	c.fleetState(now)
	f := c.functionOf(e, now)
	c.arrive(e, f, t, now)
	if !c.withinShare(e, now) {
		return c.giveUp(e, OverShare, now)
	}
	if len(f.queue) == 0 {
		c.expireAssumptions(f, now)
		if s := c.warmReplica(f, e, false, now); s != nil && now < s.w.queuedUntil {
			c.rebalance = append(c.rebalance, f)
		} else if s != nil && c.reportFresh(s.w, now) {
			return c.send(e, s, false, now)
		}
	}
	return c.enqueue(e)
}

func (c *Scheduler) typeOf(e *Request) *typeState {
	if c.types[e.Type] == nil { // the settings did not name it: nothing is known to be safe
		c.AddType(RequestType{Name: e.Type, Effect: AtMostOnce, Objective: e.TimeLeft})
	}
	return c.types[e.Type]
}

// arrive notes what a request tells of itself and of its function, and counts it.
func (c *Scheduler) arrive(e *Request, f *function, t *typeState, now time.Duration) {
	f.typ, f.concurrency, f.memory = t, max(1, e.Concurrency), believable(e.Memory, mostMemory)
	f.load = min(max(0, e.LoadTime), time.Hour)
	t.timeLeft = max(t.timeLeft, e.TimeLeft)
	e.typ, e.function, e.submittedAt, e.deadline = t, f, now, now+e.TimeLeft
	e.objectiveAt = now + t.Objective - (t.timeLeft - e.TimeLeft) // less time left than the most seen is age
	f.arrivals.Add(now, 1)
	c.arrivals.Add(now, 1)
	if now >= c.countAt {
		c.count(now)
	}
	if now >= f.nextTick && len(f.queue) == 0 && len(f.replicaSets) > 0 { // a tick without a queue advances too
		f.nextTick, f.arrived = now+c.tick(f), 0
		if c.preferredCount(f, now) > 1 {
			c.rebalance = append(c.rebalance, f)
		}
	}
	f.arrived++
	if c.submitted.Add(now, 1); !e.Retry {
		c.firstTries.Add(now, 1)
	}
}

// withinShare tells whether a request is taken: its tenant's retries are limited, in an overload its share
// too.
func (c *Scheduler) withinShare(e *Request, now time.Duration) bool {
	if n := c.tenants[e.Tenant]; n != nil {
		within := n.quota * c.trafficShare(now) * freshSpan.Seconds() // few come here: more than chance is over
		if e.overShare = n.arrivals.All(now) >= within+max(1, shareChance*math.Sqrt(within)); !e.overShare {
			n.arrivals.Add(now, 1)
		}
		if e.Retry && n.retries.All(now) >= retriesFree+retriesPerFirstTry*c.firstTries.All(now) {
			return false
		} else if e.Retry {
			n.retries.Add(now, 1)
		}
	}
	return !e.overShare || !c.overloaded
}

func (c *Scheduler) enqueue(e *Request) Decision {
	f := e.function
	i, _ := slices.BinarySearchFunc(f.queue, e.submittedAt+1, func(x *Request, t time.Duration) int {
		return cmp.Compare(x.submittedAt, t)
	})
	f.queue = slices.Insert(f.queue, i, e)
	if !f.active {
		f.active = true
		c.active = append(c.active, f)
	}
	return Decision{Request: e, Verb: Hold}
}

// mustNotRunAgain tells that a request may have run and must not run again, wherever.
func (c *Scheduler) mustNotRunAgain(e *Request, now time.Duration) bool {
	late := e.typ.Effect == IdempotencyKey && now+c.quantum >= e.mayHaveRunSince+e.typ.Window
	return e.mayHaveRun != nil && (late || e.typ.Effect == AtMostOnce)
}

// mayRunOn keeps effects from happening twice (rule 2): a request that may have run goes again only as its
// type allows, a keyed one inside its group and window.
func (c *Scheduler) mayRunOn(e *Request, w *worker, now time.Duration) bool {
	return !c.mustNotRunAgain(e, now) && (e.mayHaveRun == nil || e.typ.anywhere() ||
		w.Zone == e.mayHaveRun.Zone && (e.typ.Group == GroupZone || w.Cell == e.mayHaveRun.Cell))
}

func (c *Scheduler) weight(e *Request) float64 { return float64(max(e.typ.mean, firstLatency)) }

func (c *Scheduler) send(e *Request, s *replicaSet, cold bool, now time.Duration) Decision {
	e.cold, e.sentAt, e.sentTo, e.avoid = cold, now, s, nil
	e.attempts, s.inFlight, e.queuedAhead = e.attempts+1, s.inFlight+1, s.w.queuedNow(now)
	s.w.attempts = append(s.w.attempts, e)
	c.inFlight++
	c.recount(s.w, now)
	s.w.lastColdSend, s.w.coldPauseShare = now, 1
	if cold {
		s.loading = max(s.loading, 1)
		s.loadDeadline = now + part(loadTimeoutFactor, e.function.usualLoad())
	}
	return Decision{Request: e, Verb: Send, Worker: s.w.Worker}
}

// giveUp ends a request as its type allows: rejected where another try is harmless, else failed.
func (c *Scheduler) giveUp(e *Request, reason Reason, now time.Duration) Decision {
	e.ended, e.reason = true, reason
	if c.mustNotRunAgain(e, now) || e.mayHaveRun != nil && !e.typ.anywhere() {
		return Decision{Request: e, Verb: Fail}
	}
	back := min(c.maxRetryAfter, e.typ.Objective/2)
	return Decision{Request: e, Verb: Reject, RetryAfter: back/2 + time.Duration(c.random.Below(int(back/2)+1))}
}

// Complete answers what to do after the outcome of an attempt.
func (c *Scheduler) Complete(now time.Duration, e *Request, o Outcome) Decision {
	s := e.sentTo
	if s == nil {
		return Decision{Request: e, Verb: Nothing}
	}
	w := s.w
	c.fleetState(now)
	hasRoom := c.takeReport(w, o.Load, now) && o.Load.QueueDepth < 1
	if o.Took >= e.typ.Objective && len(w.attempts) == 1 {
		w.lateUntil = now + c.longest
	}
	e.sentTo, s.inFlight = nil, s.inFlight-1
	w.attempts = slices.DeleteFunc(w.attempts, func(x *Request) bool { return x == e })
	c.learn(e, s, o, hasRoom, now)
	c.recount(w, now)
	if e.mayHaveRun == nil && slices.Contains([]Result{Failed, TimedOut, Broken, Cancelled}, o.Result) {
		e.mayHaveRun, e.mayHaveRunSince = w, e.sentAt
	}
	if o.Final || e.ended {
		e.ended = true
		return Decision{Request: e, Verb: Nothing}
	}
	e.avoid = w
	switch {
	case o.Result == TooLate:
		return c.giveUp(e, NeverLeft, now)
	case c.mustNotRunAgain(e, now):
		return c.giveUp(e, MustNotRepeat, now)
	case e.attempts >= c.maxAttempts:
		return c.giveUp(e, NoAttemptsLeft, now)
	case now+c.giveUpMargin(e) >= e.deadline:
		return c.giveUp(e, NoTimeLeft, now)
	}
	return c.enqueue(e)
}

// learn takes what an outcome tells of the worker, of the replicas there and of the function.
func (c *Scheduler) learn(e *Request, s *replicaSet, o Outcome, hasRoom bool, now time.Duration) {
	w, f := s.w, e.function
	switch o.Result {
	case Completed:
		c.work.Add(now, c.weight(e))
		w.recovered(now)
		s.replicas, s.assumedUntil = max(1, s.replicas), now+c.keep
		delete(w.rejections, e.Tenant)
		if o.Warmth == FoundWarm || o.Warmth == Unreported && !e.cold {
			f.runTimes.Add(o.Took, averaged)
			c.adaptLimits(w, e, o.Took, now)
		}
	case Full: // whatever the reason, a tenant rejected again and again is served elsewhere; others stay
		r := rejection{count: min(w.rejections[e.Tenant].count+1, rejectedMost)}
		s.closedUntil = now + part(rejectedShare, f.typ.Objective)<<r.count
		w.limit = max(leastLimit, w.limit*fullFall)
		if f.tenant != "" && hasRoom {
			r.until = s.closedUntil
		}
		w.reject(e.Tenant, r)
	case Unreached, Broken: // a process that died comes back with a new start; a broken line does not
		c.recordFailure(w, now)
	case TimedOut:
		if c.adaptLimits(w, e, o.Took, now); e.sentAt >= w.lastGood {
			c.recordFailure(w, now)
		}
	case Failed, Missing:
		if s.replicas = 0; o.Result == Failed && o.Warmth != LoadFailed {
			c.recordFailure(w, now)
		}
	}
}

// giveUpMargin is how long before the client gives up a request is given up: an answer is not to be had then.
func (c *Scheduler) giveUpMargin(e *Request) time.Duration {
	return max(2*c.quantum, min(2*c.expected(e.function), e.TimeLeft/2))
}

// Tick answers what is due now, and how long to wait until something else is.
func (c *Scheduler) Tick(now time.Duration) Steps {
	var st Steps
	if now >= c.subscribeAt {
		st.Subscribe, c.subscribeAt = true, now+8*c.subscribeEvery
	}
	c.fleetState(now)
	c.ejectSilent(now)
	for _, e := range c.toCancel {
		if c.cancel && e.sentTo != nil && !e.ended && e.typ.anywhere() && e.attempts < c.maxAttempts &&
			now+c.giveUpMargin(e) < e.deadline {
			st.Decisions = append(st.Decisions, Decision{Request: e, Verb: Cancel, Attempt: e.attempts - 1})
		}
	}
	c.toCancel = c.toCancel[:0]
	for _, f := range c.active {
		c.expireAssumptions(f, now)
		c.release(f, false, now, &st)
	}
	for _, f := range c.rebalance {
		w := c.placeReplica(f, true, now)
		if w != nil && now >= w.queuedUntil && !c.overloaded && f.replicaSetAt(w).empty() {
			c.requestLoad(f, true, now, &st)
		}
	}
	c.rebalance = c.rebalance[:0]
	wake := c.subscribeAt
	for _, f := range c.active {
		wake = min(wake, c.release(f, true, now, &st), c.scaleUp(f, now, &st))
	}
	c.active = slices.DeleteFunc(c.active, func(f *function) bool {
		f.active = len(f.queue) > 0
		return !f.active
	})
	st.Probes, c.probes = c.probes, nil
	if c.busy.Len() > 0 {
		wake = min(wake, now+c.longest/8) // to notice silence
	}
	if wake < math.MaxInt64 {
		st.Next = max(wake-now, c.quantum, time.Microsecond)
	}
	return st
}

// hopeless tells why a held request can't be served any more, if it can't; last is when it is too late.
func (c *Scheduler) hopeless(e *Request, last, now time.Duration) Reason {
	switch {
	case now >= last:
		return NoTimeLeft
	case c.mustNotRunAgain(e, now):
		return MustNotRepeat
	}
	return NotGivenUp
}

// release releases a function's held requests, oldest first, and gives up those past hope (rule 1: in time).
// Those that can't make their latency objective come after all that can: old must not make young late.
func (c *Scheduler) release(f *function, late bool, now time.Duration, st *Steps) time.Duration {
	wake := time.Duration(math.MaxInt64)
	kept := f.queue[:0]
	for _, e := range f.queue {
		if e.ended {
			continue
		}
		var s *replicaSet
		last := e.deadline - c.giveUpMargin(e)
		reason := c.hopeless(e, last, now)
		if reason == NotGivenUp && late == (now+c.expected(f) > e.objectiveAt) {
			s = c.warmReplica(f, e, false, now) // where requests wait, a replica elsewhere may be heard of in a moment
			if s != nil && (!c.reportFresh(s.w, now) || now < min(s.w.queuedUntil, e.submittedAt+firstLatency)) {
				s, wake = nil, min(wake, now+firstLatency)
			} else if s == nil && now >= e.submittedAt+part(overflowShare, e.typ.Objective) {
				s = c.warmReplica(f, e, true, now)
				if s == nil && e.mayHaveRun == nil && (late || e.overShare) && c.overloaded {
					reason = Overload
				}
			}
		}
		if reason != NotGivenUp {
			st.Decisions = append(st.Decisions, c.giveUp(e, reason, now))
		} else if s != nil {
			st.Decisions = append(st.Decisions, c.send(e, s, false, now))
		} else {
			kept, wake = append(kept, e), min(wake, last)
		}
	}
	f.queue = kept
	return wake
}
