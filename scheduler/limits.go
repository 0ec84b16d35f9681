package scheduler

import (
	"cmp"
	"math"
	"time"

	"lupinpond/internal/base/window"
)

// adaptiveLimit is a limit of what is in flight, and the latencies that move it.
type adaptiveLimit struct {
	limit            float64
	minimum          float64
	latencies        *window.Window // seen; nil: none
	allowedLatencies *window.Window // acceptable for the same outcomes
}

// newLimit makes a limit that starts at a value for all gateways together. minimum is for each of them.
func (s *Scheduler) newLimit(initial, minimum float64) adaptiveLimit {
	return adaptiveLimit{minimum: minimum, limit: max(minimum, initial/float64(s.gateways))}
}

// adaptLimits takes the latency of an attempt: it moves the worker's limit by the ratio of the shortest
// latency to the present one, and the fleet's by what the objective accepts.
func (s *Scheduler) adaptLimits(w *worker, request *Request, latency, now time.Duration) {
	stats := request.typ
	if request.queuedAhead > 0 {
		s.queueDelay.record(request.queuedAhead, latency-stats.minLatency)
	}
	s.recordSlowness(w.kind, request.function, latency)
	stats.recordLatency(latency)
	if stats.sampleCount < minLatencySamples {
		return
	}
	stats.updateMinLatency()
	allowed := latencyTolerance * float64(stats.minLatency)
	share := s.trafficShare(now)
	allowedHere := allowed
	if w.reportedAt == now && w.queueDepth < 1 { // no request waits there: it is slow, not crowded
		allowedHere = max(allowed, uncrowdedLatencyShare*float64(stats.Objective))
	}
	s.adjustLimit(&w.adaptiveLimit, now, latency, allowedHere, len(w.attempts), share)
	s.adjustLimit(&s.fleetLimit, now, min(latency, stats.Objective),
		acceptableLatencyShare*float64(stats.Objective), s.inFlight, share)
}

// recordSlowness takes the latency of a function's request at a worker into the slowness of the worker's
// kind.
func (s *Scheduler) recordSlowness(kind *workerKind, f *function, latency time.Duration) {
	kind.sampleCount = min(kind.sampleCount+1, typeSamples)
	slowdown := min(float64(latency)/float64(f.meanRunTime()), maxSlowdown)
	kind.slowness += (slowdown - kind.slowness) / (functionSamples + kind.sampleCount)
	s.updateMeanWeight()
}

// recordLatency takes a latency into the mean.
func (t *typeStats) recordLatency(latency time.Duration) {
	t.sampleCount = min(t.sampleCount+1, typeSamples)
	t.meanLatency += (latency - t.meanLatency) / t.sampleCount
}

// updateMinLatency raises the shortest mean latency a little, so that an old one is forgotten, or lowers it
// to the present mean.
func (t *typeStats) updateMinLatency() {
	t.minLatency += t.minLatency / minLatencyDecaySamples
	if t.minLatency == 0 || t.meanLatency < t.minLatency {
		t.minLatency = t.meanLatency
	}
}

// adjustLimit moves a limit by the ratio of acceptable latencies to those seen; share is this gateway's share
// of what is limited. The fleet's limit is what holds for a gateway among many: it meets each worker too
// seldom to judge it, and the minimums of all workers add up.
func (s *Scheduler) adjustLimit(
	limit *adaptiveLimit, now, latency time.Duration, allowed float64, inFlight int, share float64,
) {
	if limit.latencies == nil { // most workers of a large fleet never answer this gateway
		limit.latencies = window.New(limitWindowObjectives * s.longestObjective)
		limit.allowedLatencies = window.New(limitWindowObjectives * s.longestObjective)
	}
	limit.latencies.Add(now, float64(latency))
	limit.allowedLatencies.Add(now, allowed)
	ratio := min(1, limit.allowedLatencies.UpperSum(now)/limit.latencies.UpperSum(now))
	if ratio == 1 {
		share = max(share, minGrowthShare)
	}
	target := limit.limit*ratio + math.Sqrt(limit.limit*share)
	if target < limit.limit || 2*float64(inFlight+1) > limit.limit { // one that is hardly used does not grow
		limit.limit = max(limit.minimum, limit.limit+(target-limit.limit)/max(1, limit.limit))
	}
}

// trafficShare is this gateway's share of all traffic: an even split, or what it sees of the tenants' quotas.
func (s *Scheduler) trafficShare(now time.Duration) float64 {
	seen := s.originalRequests.UpperSum(now) / trafficWindow.Seconds() / cmp.Or(s.totalQuota, math.Inf(1))
	return min(1, max(1/float64(s.gateways), seen))
}
