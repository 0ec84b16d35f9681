package scheduler

import (
	"math"
	"time"
)

// UpdateMembership takes news of the list; where it is whole, workers that it does not name are gone. An
// update costs its own size.
func (c *Scheduler) UpdateMembership(now time.Duration, whole bool, news []Member) {
	c.updateCount++
	for _, l := range news {
		l.Weight = plausibleOrZero(l.Weight, maxPlausibleValue)
		c.updateMember(l, now)
	}
	if whole {
		for _, w := range c.members.All() {
			if w.lastUpdate != c.updateCount {
				c.unlist(w, now)
			}
		}
	}
	c.forgetUnlisted()
	c.updateMeanWeight()
	if c.fleetLimit.limit == 0 {
		c.fleetLimit = c.newLimit(initialWorkerLimit*float64(c.members.Len()), minFleetLimit)
		c.loadLimit = c.newLimit(initialWorkerLimit*float64(c.gateways), minWorkerLimit)
	}
	if c.subscribeAt > 0 { // the list of the start is no answer
		c.subscribeAt = math.MaxInt64
	}
}

// countersOf tells what a worker counts for now, and until when that holds if nothing happens.
func (c *Scheduler) countersOf(w *worker, now time.Duration) (t counters, until time.Duration) {
	until = math.MaxInt64
	before := func(deadline time.Duration) bool {
		if now < deadline {
			until = min(until, deadline)
		}
		return now < deadline
	}
	out, queued := before(w.ejectedUntil), before(w.backloggedUntil)
	room := w.acceptsNew() && float64(len(w.attempts)) < w.limit && !queued
	t.set(eligible, w.acceptsNew())
	t.set(ejected, out || w.halfOpen)
	t.set(withCapacityOrEjected, room)
	t.set(withCapacity, room && !out && (!w.halfOpen || len(w.attempts) == 0))
	if w.reportedAt > 0 && before(w.reportedAt+2*c.longestObjective) {
		t.set(recentlyReported, true)
		t.set(withoutQueue, w.queueDepth <= float64(len(w.attempts)))
	}
	if !w.halfOpen { // what is in flight for long waits there: its work is still to do
		t[attemptsInFlight] = int32(len(w.attempts))
	}
	return t, until
}

// updateFleetState tells attempts in flight, whether ejections are believed, and whether few workers have room: an
// overload.
func (c *Scheduler) updateFleetState(now time.Duration) {
	c.expireDeadlines(now)
	t := &c.counters
	c.inFlight, c.limitRounding = int(t[attemptsInFlight]), float64(c.rng.IntN(1000))/1000
	withRoom := t[withCapacity]
	if c.ejectionsIgnored {
		withRoom = t[withCapacityOrEjected]
	}
	c.ejectionsIgnored = float64(t[ejected]) > maxEjectedShare*float64(t[eligible])
	c.overloaded = c.atFleetLimit() || float64(withRoom) < overloadCapacityShare*float64(max(t[eligible], 1)) ||
		t[recentlyReported] >= minOverloadReports && float64(t[withoutQueue]) < overloadCapacityShare*float64(t[recentlyReported])
}

// usable: not drained nor gone (rule 3), nor ejected unless most are, which must not leave us without any.
func (c *Scheduler) usable(w *worker, now time.Duration) bool {
	admitted := now >= w.ejectedUntil && (!w.halfOpen || len(w.attempts) == 0)
	return w.acceptsNew() && (admitted || c.ejectionsIgnored)
}

func (c *Scheduler) hasCapacity(w *worker, now time.Duration) bool {
	return c.usable(w, now) && float64(len(w.attempts)) < w.limit
}

// atFleetLimit rounds the limit by chance: a front end among many has less than one attempt of the fleet's to
// itself.
func (c *Scheduler) atFleetLimit() bool {
	return float64(c.inFlight)+c.limitRounding >= c.fleetLimit.limit
}

// recordFailure counts a failure; enough in a row eject the worker, for longer each time.
func (c *Scheduler) recordFailure(w *worker, now time.Duration) {
	w.consecutiveFailures++
	if (w.consecutiveFailures >= ejectionFailures || w.halfOpen) && now >= w.ejectedUntil {
		w.ejectionDuration = min(max(2*w.ejectionDuration, c.longestObjective), maxEjectionFactor*c.longestObjective)
		w.ejectedUntil = now + w.ejectionDuration + time.Duration(c.rng.IntN(int(w.ejectionDuration/2)))
		w.halfOpen, w.limit = true, minWorkerLimit
		c.cancelCandidates = append(c.cancelCandidates, w.attempts...)
		c.updateCounters(w, now)
	}
}

// ejectUnresponsive ejects a worker from which nothing comes; each attempt that waits adds to the silence.
func (c *Scheduler) ejectUnresponsive(now time.Duration) {
	for _, w := range c.busy.All() {
		silence := 0.0
		for _, e := range w.attempts {
			usual := float64(max(e.typ.meanLatency, e.typ.Objective/10)) / c.warmUpShare(w, now)
			silence += float64(now-max(e.sentAt, w.lastSuccess)) / usual
		}
		if silence > silenceThreshold && now >= w.ejectedUntil && !w.halfOpen {
			w.consecutiveFailures = ejectionFailures
			c.recordFailure(w, now)
		}
	}
}

// ensureFreshReport tells whether a load was reported lately; else, with fewer workers than front ends, it probes.
func (c *Scheduler) ensureFreshReport(w *worker, now time.Duration) bool {
	if !c.probesEnabled || c.gateways <= c.members.Len() || now < w.reportedAt+fractionOf(reportValidityShare, c.longestObjective) {
		return true
	}
	if !w.probeInFlight {
		w.probeInFlight, w.probedAt = true, now
		c.pendingProbes = append(c.pendingProbes, w.Worker)
	}
	return now >= w.probedAt+initialLatency
}

// deprioritized tells of a worker that comes last: others' requests wait there, it answered late, or it is
// silent.
func (w *worker) deprioritized(now time.Duration) bool {
	return now < max(w.backloggedUntil, w.slowUntil) || w.probeOverdue(now)
}

// probeOverdue tells of a probe unanswered: what is loading there may never be heard of.
func (w *worker) probeOverdue(now time.Duration) bool {
	return w.unresponsive || w.probeInFlight && now >= w.probedAt+initialLatency
}

// ProbeCompleted takes the answer to a probe.
func (c *Scheduler) ProbeCompleted(now time.Duration, name string, r Result, l LoadReport, took time.Duration) {
	if w := c.workers[name]; w != nil {
		w.probeInFlight = false
		if r == Completed {
			l.QueueDepth, l.Reported = plausibleOrZero(l.QueueDepth, maxPlausibleValue)+c.estimateQueueDepth(w, took), true
		}
		c.applyReport(w, l, now)
		switch w.unresponsive = r != Completed && r != Full; r {
		case Full: // so many ask that it takes no more probes: it lives, and requests wait there
			w.reportedAt, w.backloggedUntil, w.queueDepth = now, now+fractionOf(reportValidityShare, c.longestObjective), max(1, w.queueDepth)
			c.updateCounters(w, now)
		case Unreachable:
			c.recordFailure(w, now)
		}
	}
}

// applyReport takes a load report that can be believed, and says whether it was one. Where more requests wait
// than ours, others take the slots; ours obey the limit.
func (c *Scheduler) applyReport(w *worker, l LoadReport, now time.Duration) bool {
	if !l.Reported || !(l.QueueDepth >= 0 && l.QueueDepth < maxPlausibleValue) {
		return false
	}
	w.reportedAt, w.backloggedUntil, w.queueDepth = now, 0, l.QueueDepth
	if w.queueDepth > float64(len(w.attempts)) {
		w.backloggedUntil = now + fractionOf(reportValidityShare, c.longestObjective)
	}
	c.updateCounters(w, now)
	return true
}

// estimateQueueDepth is how crowded a worker is by a probe's time, in requests that wait there: what it took over
// the shortest of its zone, against the mean of that. It is fresh where reports are late, and stands in for
// them. Where it hardly varies, probes are answered beside the queue and tell nothing.
func (c *Scheduler) estimateQueueDepth(w *worker, took time.Duration) float64 {
	z := c.probeLatencies[w.Zone]
	if z == nil {
		z = &probeLatency{minimum: took}
		c.probeLatencies[w.Zone] = z
	}
	z.minimum = min(z.minimum, took)
	over := min(float64(took)/float64(max(1, z.minimum))-1, maxProbeExcess)
	if z.meanExcess += (over - z.meanExcess) / functionSamples; z.meanExcess < minProbeExcess {
		return 0
	}
	return queuedPerProbeExcess * max(0, over/z.meanExcess-1)
}

// WatchFailed says that asking for the list failed: ask again a little later, each front end at its own time.
func (c *Scheduler) WatchFailed(now time.Duration) {
	c.subscribeAt = now + c.subscribeInterval/2 + time.Duration(c.rng.IntN(int(c.subscribeInterval)))
}
