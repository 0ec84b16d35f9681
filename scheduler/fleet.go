package scheduler

import (
	"math"
	"time"
)

// UpdateMembership takes news of the list; where it is whole, workers that it does not name are gone. An
// update costs its own size.
func (c *Scheduler) UpdateMembership(now time.Duration, whole bool, news []Member) {
	c.updates++
	for _, l := range news {
		l.Size = believable(l.Size, mostSize)
		c.update(l, now)
	}
	if whole {
		for _, w := range c.members.All() {
			if w.update != c.updates {
				c.unlist(w, now)
			}
		}
	}
	c.forgetLeaving()
	c.updateMeanSize()
	if c.fleetLimit.limit == 0 {
		c.fleetLimit = c.limits(firstLimit*float64(c.members.Len()), leastFleetLimit)
		c.loadLimit = c.limits(firstLimit*float64(c.frontEnds), leastLimit)
	}
	if c.subscribeAt > 0 { // the list of the start is no answer
		c.subscribeAt = math.MaxInt64
	}
}

// assess tells what a worker counts for now, and until when that holds if nothing happens.
func (c *Scheduler) assess(w *worker, now time.Duration) (t tally, until time.Duration) {
	until = math.MaxInt64
	before := func(deadline time.Duration) bool {
		if now < deadline {
			until = min(until, deadline)
		}
		return now < deadline
	}
	out, queued := before(w.ejectedUntil), before(w.queuedUntil)
	room := w.open() && float64(len(w.attempts)) < w.limit && !queued
	t.count(inUse, w.open())
	t.count(ejected, out || w.halfOpen)
	t.count(freeOfAny, room)
	t.count(free, room && !out && (!w.halfOpen || len(w.attempts) == 0))
	if w.reportedAt > 0 && before(w.reportedAt+2*c.longest) {
		t.count(reported, true)
		t.count(idle, w.queueDepth <= float64(len(w.attempts)))
	}
	if !w.halfOpen { // what is in flight for long waits there: its work is still to do
		t[inFlight] = int32(len(w.attempts))
	}
	return t, until
}

// fleetState tells attempts in flight, whether ejections are believed, and whether few workers have room: an
// overload.
func (c *Scheduler) fleetState(now time.Duration) {
	c.expire(now)
	t := &c.tally
	c.inFlight, c.rounding = int(t[inFlight]), float64(c.random.Below(1000))/1000
	withRoom := t[free]
	if c.ejectionsIgnored {
		withRoom = t[freeOfAny]
	}
	c.ejectionsIgnored = float64(t[ejected]) > mostEjected*float64(t[inUse])
	c.overloaded = c.atFleetLimit() || float64(withRoom) < overloadedShare*float64(max(t[inUse], 1)) ||
		t[reported] >= enoughReports && float64(t[idle]) < overloadedShare*float64(t[reported])
}

// usable: not drained nor gone (rule 3), nor ejected unless most are, which must not leave us without any.
func (c *Scheduler) usable(w *worker, now time.Duration) bool {
	admitted := now >= w.ejectedUntil && (!w.halfOpen || len(w.attempts) == 0)
	return w.open() && (admitted || c.ejectionsIgnored)
}

func (c *Scheduler) room(w *worker, now time.Duration) bool {
	return c.usable(w, now) && float64(len(w.attempts)) < w.limit
}

// atFleetLimit rounds the limit by chance: a front end among many has less than one attempt of the fleet's to
// itself.
func (c *Scheduler) atFleetLimit() bool { return float64(c.inFlight)+c.rounding >= c.fleetLimit.limit }

// recordFailure counts a failure; enough in a row eject the worker, for longer each time.
func (c *Scheduler) recordFailure(w *worker, now time.Duration) {
	w.failures++
	if (w.failures >= ejectAfter || w.halfOpen) && now >= w.ejectedUntil {
		w.ejectionTime = min(max(2*w.ejectionTime, c.longest), maxEjection*c.longest)
		w.ejectedUntil = now + w.ejectionTime + time.Duration(c.random.Below(int(w.ejectionTime/2)))
		w.halfOpen, w.limit = true, leastLimit
		c.toCancel = append(c.toCancel, w.attempts...)
		c.recount(w, now)
	}
}

// ejectSilent ejects a worker from which nothing comes; each attempt that waits adds to the silence.
func (c *Scheduler) ejectSilent(now time.Duration) {
	for _, w := range c.busy.All() {
		silence := 0.0
		for _, e := range w.attempts {
			usual := float64(max(e.typ.mean, e.typ.Objective/10)) / c.warmedShare(w, now)
			silence += float64(now-max(e.sentAt, w.lastGood)) / usual
		}
		if silence > overdue && now >= w.ejectedUntil && !w.halfOpen {
			w.failures = ejectAfter
			c.recordFailure(w, now)
		}
	}
}

// reportFresh tells whether a load was reported lately; else, with fewer workers than front ends, it probes.
func (c *Scheduler) reportFresh(w *worker, now time.Duration) bool {
	if !c.probing || c.frontEnds <= c.members.Len() || now < w.reportedAt+part(reportLasts, c.longest) {
		return true
	}
	if !w.probeOut {
		w.probeOut, w.probedAt = true, now
		c.probes = append(c.probes, w.Worker)
	}
	return now >= w.probedAt+firstLatency
}

// comesLast tells of a worker that comes last: others' requests wait there, it answered late, or it is
// silent.
func (w *worker) comesLast(now time.Duration) bool {
	return now < max(w.queuedUntil, w.lateUntil) || w.unanswered(now)
}

// unanswered tells of a probe unanswered: what is loading there may never be heard of.
func (w *worker) unanswered(now time.Duration) bool {
	return w.unresponsive || w.probeOut && now >= w.probedAt+firstLatency
}

// Probed takes the answer to a probe.
func (c *Scheduler) Probed(now time.Duration, name string, r Result, l Load, took time.Duration) {
	if w := c.workers[name]; w != nil {
		w.probeOut = false
		if r == Completed {
			l.QueueDepth, l.Reported = believable(l.QueueDepth, mostSize)+c.queueEstimate(w, took), true
		}
		c.takeReport(w, l, now)
		switch w.unresponsive = r != Completed && r != Full; r {
		case Full: // so many ask that it takes no more probes: it lives, and requests wait there
			w.reportedAt, w.queuedUntil, w.queueDepth = now, now+part(reportLasts, c.longest), max(1, w.queueDepth)
			c.recount(w, now)
		case Unreached:
			c.recordFailure(w, now)
		}
	}
}

// takeReport takes a load report that can be believed, and says whether it was one. Where more requests wait
// than ours, others take the slots; ours obey the limit.
func (c *Scheduler) takeReport(w *worker, l Load, now time.Duration) bool {
	if !l.Reported || !(l.QueueDepth >= 0 && l.QueueDepth < mostSize) {
		return false
	}
	w.reportedAt, w.queuedUntil, w.queueDepth = now, 0, l.QueueDepth
	if w.queueDepth > float64(len(w.attempts)) {
		w.queuedUntil = now + part(reportLasts, c.longest)
	}
	c.recount(w, now)
	return true
}

// queueEstimate is how crowded a worker is by a probe's time, in requests that wait there: what it took over
// the shortest of its zone, against the mean of that. It is fresh where reports are late, and stands in for
// them. Where it hardly varies, probes are answered beside the queue and tell nothing.
func (c *Scheduler) queueEstimate(w *worker, took time.Duration) float64 {
	z := c.probeTimes[w.Zone]
	if z == nil {
		z = &probeTimes{least: took}
		c.probeTimes[w.Zone] = z
	}
	z.least = min(z.least, took)
	over := min(float64(took)/float64(max(1, z.least))-1, probeMost)
	if z.over += (over - z.over) / averaged; z.over < deepOver {
		return 0
	}
	return probeWeight * max(0, over/z.over-1)
}

// WatchFailed says that asking for the list failed: ask again a little later, each front end at its own time.
func (c *Scheduler) WatchFailed(now time.Duration) {
	c.subscribeAt = now + c.subscribeEvery/2 + time.Duration(c.random.Below(int(c.subscribeEvery)))
}
