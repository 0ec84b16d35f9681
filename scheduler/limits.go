package scheduler

import (
	"cmp"
	"math"
	"time"

	"lupinpond/internal/base/window"
)

// adaptiveLimit is a limit of attempts or loads in flight that adapts to their latencies.
type adaptiveLimit struct {
	limit            float64
	minimum          float64
	latencies        *window.Window // measured latencies; nil: none yet
	allowedLatencies *window.Window // acceptable latencies of the same outcomes
}

// newLimit returns a limit with an initial value for all gateways together and a minimum for each gateway.
func (s *Scheduler) newLimit(initial, minimum float64) adaptiveLimit {
	return adaptiveLimit{minimum: minimum, limit: max(minimum, initial/float64(s.gateways))}
}

// adaptLimits adapts the limits to the latency of an attempt: the worker's limit by the ratio of the
// shortest mean latency to this one, and the fleet's limit by the ratio of an acceptable share of the latency
// objective to it.
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
	workerAllowed := allowed
	if w.reportedAt == now && w.queueDepth < 1 { // the worker's queue is empty: it is slow, not overloaded
		workerAllowed = max(allowed, noQueueLatencyShare*float64(stats.Objective))
	}
	s.adjustLimit(&w.adaptiveLimit, now, latency, workerAllowed, len(w.attempts), share)
	s.adjustLimit(&s.fleetLimit, now, min(latency, stats.Objective),
		acceptableLatencyShare*float64(stats.Objective), s.inFlight, share)
}

// recordSlowness adds the latency of a function's request to the slowness of the worker's kind.
func (s *Scheduler) recordSlowness(kind *workerKind, f *function, latency time.Duration) {
	kind.sampleCount = min(kind.sampleCount+1, typeSamples)
	slowdown := min(float64(latency)/float64(f.meanRunTime()), maxSlowdown)
	kind.slowness += (slowdown - kind.slowness) / (functionSamples + kind.sampleCount)
	s.updateMeanWeight()
}

// recordLatency adds a latency to the mean.
func (t *typeStats) recordLatency(latency time.Duration) {
	t.sampleCount = min(t.sampleCount+1, typeSamples)
	t.meanLatency += (latency - t.meanLatency) / t.sampleCount
}

// updateMinLatency lowers the shortest mean latency to the current mean, or raises it slightly, so that an
// outdated value decays.
func (t *typeStats) updateMinLatency() {
	t.minLatency += t.minLatency / minLatencyDecaySamples
	if t.minLatency == 0 || t.meanLatency < t.minLatency {
		t.minLatency = t.meanLatency
	}
}

// adjustLimit adapts a limit by the ratio of acceptable to measured latencies; share is this gateway's share
// of what is limited. Among many gateways the fleet's limit is the effective one: each gateway sends too few
// attempts to each worker to measure it, and the minimums of all workers add up.
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
	if target < limit.limit || 2*float64(inFlight+1) > limit.limit { // a hardly used limit does not grow
		limit.limit = max(limit.minimum, limit.limit+(target-limit.limit)/max(1, limit.limit))
	}
}

// trafficShare returns this gateway's share of all traffic: 1 / gateways or, if that is higher, the ratio of
// its original requests per second to the sum of the tenants' quotas.
func (s *Scheduler) trafficShare(now time.Duration) float64 {
	observed := s.originalRequests.UpperSum(now) / trafficWindow.Seconds() / cmp.Or(s.totalQuota, math.Inf(1))
	return min(1, max(1/float64(s.gateways), observed))
}
