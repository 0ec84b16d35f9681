package scheduler

import (
	"cmp"
	"math"
	"time"

	"lupinpond/internal/base/window"
)

func (c *Scheduler) limits(first, least float64) adaptiveLimit {
	return adaptiveLimit{least: least, limit: max(least, first/float64(c.frontEnds))}
}

// adaptLimits moves a worker's in-flight limit by the ratio of the shortest answer time to the present one.
func (c *Scheduler) adaptLimits(w *worker, e *Request, took, now time.Duration) {
	t, k := e.typ, w.kind
	if e.queuedAhead > 0 { // the time that each request ahead costs: little, until it is seen
		c.queuedAhead += e.queuedAhead
		c.delayed += float64(max(0, took-t.short))
		c.delay = c.delayed / (averaged + c.queuedAhead)
		c.queuedAhead, c.delayed = c.queuedAhead*queuedAheadKept, c.delayed*queuedAheadKept
	}
	k.seen = min(k.seen+1, typeAveraged)
	k.slowness += (min(float64(took)/float64(e.function.mean()), stuckAfter) - k.slowness) / (averaged + k.seen)
	c.updateMeanSize()
	t.seen = min(t.seen+1, typeAveraged)
	if t.mean += (took - t.mean) / t.seen; t.seen < 3*averaged {
		return
	}
	if t.short += t.short / shortLasts; t.short == 0 || t.mean < t.short {
		t.short = t.mean
	}
	may, portion := tolerance*float64(t.short), c.trafficShare(now)
	alone := may
	if w.reportedAt == now && w.queueDepth < 1 { // none waits there: it is slow, not crowded
		alone = max(may, aloneShare*float64(t.Objective))
	}
	c.adjust(&w.adaptiveLimit, now, took, alone, len(w.attempts), portion)
	c.adjust(&c.fleetLimit, now, min(took, t.Objective), enoughShare*float64(t.Objective), c.inFlight, portion)
}

// adjust moves a limit by what answers may take to what they take. That of all workers is for a front end
// among many: it meets each worker too seldom to judge it, and the least limits of all of them add up.
func (c *Scheduler) adjust(l *adaptiveLimit, now, took time.Duration, may float64, out int, portion float64) {
	if l.took == nil { // most workers of a large fleet never answer this front end
		l.took, l.may = window.New(2*c.longest), window.New(2*c.longest)
	}
	l.took.Add(now, float64(took))
	l.may.Add(now, may)
	ratio := min(1, l.may.All(now)/l.took.All(now))
	if ratio == 1 {
		portion = max(portion, growth)
	}
	aim := l.limit*ratio + math.Sqrt(l.limit*portion)
	if aim < l.limit || 2*float64(out+1) > l.limit {
		l.limit = max(l.least, l.limit+(aim-l.limit)/max(1, l.limit))
	}
}

// trafficShare is this front end's part of all traffic: an even split, or what it sees of the tenants'
// shares.
func (c *Scheduler) trafficShare(now time.Duration) float64 {
	seen := c.firstTries.All(now) / freshSpan.Seconds() / cmp.Or(c.tenantShares, math.Inf(1))
	return min(1, max(1/float64(c.frontEnds), seen))
}

// warmedShare is the least part of its capacity that a worker has by now.
func (c *Scheduler) warmedShare(w *worker, now time.Duration) float64 {
	warm := float64(max(0, now-w.Started)) / float64(max(1, c.warmAfter))
	if w.Started <= 0 || warm >= 1 {
		return 1
	}
	return c.coldFrom + (1-c.coldFrom)*warm
}

// slowStartPause keeps a cold worker from being pushed over (rule 4): least time between two attempts to it.
// Its capacity is not told: the mean work seen completed is taken. Attempts of many front ends bunch by
// chance.
func (c *Scheduler) slowStartPause(w *worker, weight float64, now time.Duration) time.Duration {
	most := time.Duration(c.frontEnds) * c.fall // with nothing known all front ends together send one in c.fall
	mean := c.work.Inner(now) / 8 / float64(max(1, c.members.Len()))
	all := slowStartSafety * c.fallMultiple * c.warmedShare(w, now) * mean * min(1, c.size(w))
	all = all / c.trafficShare(now) / weight
	all = max(all-slowStartChance*math.Sqrt(min(all, float64(c.frontEnds))), all/4)
	return time.Duration(min(float64(c.fall)/max(all*c.trafficShare(now), 1e-9), float64(most)))
}

// slowStartAllows begins with a random part of the pause: not all that hear of a start send at once.
func (c *Scheduler) slowStartAllows(w *worker, e *Request, now time.Duration) bool {
	return c.fallMultiple <= 0 || c.warmedShare(w, now) >= 1 ||
		now >= w.lastColdSend+part(w.coldPauseShare, c.slowStartPause(w, c.weight(e), now))
}
