package scheduler

import (
	"cmp"
	"math"
	"time"

	"lupinpond/internal/base/window"
)

func (s *Scheduler) newLimit(first, least float64) adaptiveLimit {
	return adaptiveLimit{minimum: least, limit: max(least, first/float64(s.gateways))}
}

// adaptLimits moves a worker's in-flight limit by the ratio of the shortest answer time to the present one.
func (s *Scheduler) adaptLimits(w *worker, request *Request, duration, now time.Duration) {
	stats, kind := request.typ, w.kind
	if request.queuedAhead > 0 { // the time that each request ahead costs: little, until it is seen
		s.queuedAheadSum += request.queuedAhead
		s.queueDelaySum += float64(max(0, duration-stats.minLatency))
		s.delayPerQueued = s.queueDelaySum / (functionSamples + s.queuedAheadSum)
		s.queuedAheadSum, s.queueDelaySum = s.queuedAheadSum*queuedAheadDecay, s.queueDelaySum*queuedAheadDecay
	}
	kind.sampleCount = min(kind.sampleCount+1, typeSamples)
	kind.slowness += (min(float64(duration)/float64(request.function.meanRunTime()), maxSlowdown) - kind.slowness) / (functionSamples + kind.sampleCount)
	s.updateMeanWeight()
	stats.sampleCount = min(stats.sampleCount+1, typeSamples)
	if stats.meanLatency += (duration - stats.meanLatency) / stats.sampleCount; stats.sampleCount < 3*functionSamples {
		return
	}
	if stats.minLatency += stats.minLatency / minLatencyDecaySamples; stats.minLatency == 0 || stats.meanLatency < stats.minLatency {
		stats.minLatency = stats.meanLatency
	}
	may, portion := latencyTolerance*float64(stats.minLatency), s.trafficShare(now)
	alone := may
	if w.reportedAt == now && w.queueDepth < 1 { // none waits there: it is slow, not crowded
		alone = max(may, uncrowdedLatencyShare*float64(stats.Objective))
	}
	s.adjustLimit(&w.adaptiveLimit, now, duration, alone, len(w.attempts), portion)
	s.adjustLimit(&s.fleetLimit, now, min(duration, stats.Objective), acceptableLatencyShare*float64(stats.Objective), s.inFlight, portion)
}

// adjustLimit moves a limit by what answers may take to what they take. That of all workers is for a front end
// among many: it meets each worker too seldom to judge it, and the least limits of all of them add up.
func (s *Scheduler) adjustLimit(limit *adaptiveLimit, now, duration time.Duration, may float64, out int, portion float64) {
	if limit.latencies == nil { // most workers of a large fleet never answer this front end
		limit.latencies, limit.allowedLatencies = window.New(2*s.longestObjective), window.New(2*s.longestObjective)
	}
	limit.latencies.Add(now, float64(duration))
	limit.allowedLatencies.Add(now, may)
	ratio := min(1, limit.allowedLatencies.UpperSum(now)/limit.latencies.UpperSum(now))
	if ratio == 1 {
		portion = max(portion, minGrowthShare)
	}
	aim := limit.limit*ratio + math.Sqrt(limit.limit*portion)
	if aim < limit.limit || 2*float64(out+1) > limit.limit {
		limit.limit = max(limit.minimum, limit.limit+(aim-limit.limit)/max(1, limit.limit))
	}
}

// trafficShare is this front end's part of all traffic: an even split, or what it sees of the tenants'
// shares.
func (s *Scheduler) trafficShare(now time.Duration) float64 {
	seen := s.originalRequests.UpperSum(now) / trafficWindow.Seconds() / cmp.Or(s.totalQuota, math.Inf(1))
	return min(1, max(1/float64(s.gateways), seen))
}

// warmUpShare is the least part of its capacity that a worker has by now.
func (s *Scheduler) warmUpShare(w *worker, now time.Duration) float64 {
	warm := float64(max(0, now-w.Started)) / float64(max(1, s.warmUpTime))
	if w.Started <= 0 || warm >= 1 {
		return 1
	}
	return s.slowStartInitialShare + (1-s.slowStartInitialShare)*warm
}

// slowStartPause keeps a cold worker from being pushed over (rule 4): least time between two attempts to it.
// Its capacity is not told: the mean work seen completed is taken. Attempts of many front ends bunch by
// chance.
func (s *Scheduler) slowStartPause(w *worker, weight float64, now time.Duration) time.Duration {
	most := time.Duration(s.gateways) * s.crashWindow // with nothing known all front ends together send one in c.fall
	mean := s.completedWork.LowerSum(now) / 8 / float64(max(1, s.members.Len()))
	all := slowStartBudgetShare * s.crashMultiple * s.warmUpShare(w, now) * mean * min(1, s.relativeWeight(w))
	all = all / s.trafficShare(now) / weight
	all = max(all-slowStartDeviations*math.Sqrt(min(all, float64(s.gateways))), all/4)
	return time.Duration(min(float64(s.crashWindow)/max(all*s.trafficShare(now), 1e-9), float64(most)))
}

// slowStartAllows begins with a random part of the pause: not all that hear of a start send at once.
func (s *Scheduler) slowStartAllows(w *worker, request *Request, now time.Duration) bool {
	return s.crashMultiple <= 0 || s.warmUpShare(w, now) >= 1 ||
		now >= w.lastSlowStartSend+fractionOf(w.slowStartPauseShare, s.slowStartPause(w, s.expectedWork(request), now))
}
