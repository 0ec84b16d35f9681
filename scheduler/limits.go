package scheduler

import (
	"cmp"
	"math"
	"time"

	"lupinpond/internal/base/window"
)

func (c *Scheduler) newLimit(first, least float64) adaptiveLimit {
	return adaptiveLimit{minimum: least, limit: max(least, first/float64(c.gateways))}
}

// adaptLimits moves a worker's in-flight limit by the ratio of the shortest answer time to the present one.
func (c *Scheduler) adaptLimits(w *worker, e *Request, took, now time.Duration) {
	t, k := e.typ, w.kind
	if e.queuedAhead > 0 { // the time that each request ahead costs: little, until it is seen
		c.queuedAheadSum += e.queuedAhead
		c.queueDelaySum += float64(max(0, took-t.minLatency))
		c.delayPerQueued = c.queueDelaySum / (functionSamples + c.queuedAheadSum)
		c.queuedAheadSum, c.queueDelaySum = c.queuedAheadSum*queuedAheadDecay, c.queueDelaySum*queuedAheadDecay
	}
	k.sampleCount = min(k.sampleCount+1, typeSamples)
	k.slowness += (min(float64(took)/float64(e.function.meanRunTime()), maxSlowdown) - k.slowness) / (functionSamples + k.sampleCount)
	c.updateMeanWeight()
	t.sampleCount = min(t.sampleCount+1, typeSamples)
	if t.meanLatency += (took - t.meanLatency) / t.sampleCount; t.sampleCount < 3*functionSamples {
		return
	}
	if t.minLatency += t.minLatency / minLatencyDecaySamples; t.minLatency == 0 || t.meanLatency < t.minLatency {
		t.minLatency = t.meanLatency
	}
	may, portion := latencyTolerance*float64(t.minLatency), c.trafficShare(now)
	alone := may
	if w.reportedAt == now && w.queueDepth < 1 { // none waits there: it is slow, not crowded
		alone = max(may, uncrowdedLatencyShare*float64(t.Objective))
	}
	c.adjustLimit(&w.adaptiveLimit, now, took, alone, len(w.attempts), portion)
	c.adjustLimit(&c.fleetLimit, now, min(took, t.Objective), acceptableLatencyShare*float64(t.Objective), c.inFlight, portion)
}

// adjustLimit moves a limit by what answers may take to what they take. That of all workers is for a front end
// among many: it meets each worker too seldom to judge it, and the least limits of all of them add up.
func (c *Scheduler) adjustLimit(l *adaptiveLimit, now, took time.Duration, may float64, out int, portion float64) {
	if l.latencies == nil { // most workers of a large fleet never answer this front end
		l.latencies, l.allowedLatencies = window.New(2*c.longestObjective), window.New(2*c.longestObjective)
	}
	l.latencies.Add(now, float64(took))
	l.allowedLatencies.Add(now, may)
	ratio := min(1, l.allowedLatencies.UpperSum(now)/l.latencies.UpperSum(now))
	if ratio == 1 {
		portion = max(portion, minGrowthShare)
	}
	aim := l.limit*ratio + math.Sqrt(l.limit*portion)
	if aim < l.limit || 2*float64(out+1) > l.limit {
		l.limit = max(l.minimum, l.limit+(aim-l.limit)/max(1, l.limit))
	}
}

// trafficShare is this front end's part of all traffic: an even split, or what it sees of the tenants'
// shares.
func (c *Scheduler) trafficShare(now time.Duration) float64 {
	seen := c.originalRequests.UpperSum(now) / trafficWindow.Seconds() / cmp.Or(c.totalQuota, math.Inf(1))
	return min(1, max(1/float64(c.gateways), seen))
}

// warmUpShare is the least part of its capacity that a worker has by now.
func (c *Scheduler) warmUpShare(w *worker, now time.Duration) float64 {
	warm := float64(max(0, now-w.Started)) / float64(max(1, c.warmUpTime))
	if w.Started <= 0 || warm >= 1 {
		return 1
	}
	return c.slowStartInitialShare + (1-c.slowStartInitialShare)*warm
}

// slowStartPause keeps a cold worker from being pushed over (rule 4): least time between two attempts to it.
// Its capacity is not told: the mean work seen completed is taken. Attempts of many front ends bunch by
// chance.
func (c *Scheduler) slowStartPause(w *worker, weight float64, now time.Duration) time.Duration {
	most := time.Duration(c.gateways) * c.crashWindow // with nothing known all front ends together send one in c.fall
	mean := c.completedWork.LowerSum(now) / 8 / float64(max(1, c.members.Len()))
	all := slowStartBudgetShare * c.crashMultiple * c.warmUpShare(w, now) * mean * min(1, c.relativeWeight(w))
	all = all / c.trafficShare(now) / weight
	all = max(all-slowStartDeviations*math.Sqrt(min(all, float64(c.gateways))), all/4)
	return time.Duration(min(float64(c.crashWindow)/max(all*c.trafficShare(now), 1e-9), float64(most)))
}

// slowStartAllows begins with a random part of the pause: not all that hear of a start send at once.
func (c *Scheduler) slowStartAllows(w *worker, e *Request, now time.Duration) bool {
	return c.crashMultiple <= 0 || c.warmUpShare(w, now) >= 1 ||
		now >= w.lastSlowStartSend+fractionOf(w.slowStartPauseShare, c.slowStartPause(w, c.expectedWork(e), now))
}
