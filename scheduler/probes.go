package scheduler

import "time"

// probeLatency holds the measured round trips of probes in a zone.
type probeLatency struct {
	minimum    time.Duration
	meanExcess float64 // mean of (round trip - minimum) / minimum
}

// ensureFreshReport reports whether the worker may be used now: its load report is valid, or no probe is
// needed. In a fleet with fewer workers than gateways, it probes a worker without a valid report; if there is
// no answer in time, the worker is used without a report.
func (s *Scheduler) ensureFreshReport(w *worker, now time.Duration) bool {
	if !s.attemptPolicy.Probe || s.gateways <= s.members.Len() ||
		now < w.reportedAt+fractionOf(reportValidityShare, s.longestObjective) {
		return true
	}
	if !w.probeInFlight {
		w.probeInFlight = true
		w.probedAt = now
		s.pendingProbes = append(s.pendingProbes, w.Worker)
	}
	return now >= w.probedAt+initialLatency
}

// ProbeCompleted handles the result of a probe and its round trip.
func (s *Scheduler) ProbeCompleted(now time.Duration, name string, result Result, report LoadReport,
	roundTrip time.Duration) {
	w := s.workers[name]
	if w == nil {
		return
	}
	w.probeInFlight = false
	if result == Completed {
		reported := plausibleOrZero(report.QueueDepth, maxPlausibleValue)
		report.QueueDepth = reported + s.estimateQueueDepth(w, roundTrip)
		report.Reported = true
	}
	s.applyReport(w, report, now)
	w.unresponsive = result != Completed && result != Rejected
	switch result {
	case Rejected: // too many probes: the worker is alive, and requests are queued there
		w.reportedAt = now
		w.backloggedUntil = now + fractionOf(reportValidityShare, s.longestObjective)
		w.queueDepth = max(1, w.queueDepth)
		s.updateCounters(w, now)
	case Unreachable:
		s.recordFailure(w, now)
	}
}

// applyReport records a load report and returns true, unless the report is missing or implausible. If more
// requests are queued than this gateway has in flight, the worker is backlogged by other gateways; this
// gateway's own requests are bounded by the worker's limit.
func (s *Scheduler) applyReport(w *worker, report LoadReport, now time.Duration) bool {
	if !report.Reported || !(report.QueueDepth >= 0 && report.QueueDepth < maxPlausibleValue) {
		return false
	}
	w.reportedAt = now
	w.backloggedUntil = 0
	w.queueDepth = report.QueueDepth
	if w.queueDepth > float64(len(w.attempts)) {
		w.backloggedUntil = now + fractionOf(reportValidityShare, s.longestObjective)
	}
	s.updateCounters(w, now)
	return true
}

// estimateQueueDepth estimates the number of requests queued at a worker from the excess of a probe's round
// trip over the shortest one in the zone, relative to the mean excess. The estimate is current even if
// reports are delayed. If the mean excess is small, probes are not answered through the queue, and the
// estimate is 0.
func (s *Scheduler) estimateQueueDepth(w *worker, roundTrip time.Duration) float64 {
	latency := s.probeLatencies[w.Zone]
	if latency == nil {
		latency = &probeLatency{minimum: roundTrip}
		s.probeLatencies[w.Zone] = latency
	}
	latency.minimum = min(latency.minimum, roundTrip)
	excess := min(float64(roundTrip)/float64(max(1, latency.minimum))-1, maxProbeExcess)
	latency.meanExcess += (excess - latency.meanExcess) / functionSamples
	if latency.meanExcess < minProbeExcess {
		return 0
	}
	return queuedPerProbeExcess * max(0, excess/latency.meanExcess-1)
}

// queueDelay is the delay that each request queued at a worker causes for the requests behind it. It is
// measured from attempts, and old measurements decay.
type queueDelay struct {
	queuedAhead float64 // requests queued ahead of attempts
	delay       float64 // additional latency of those attempts, in nanoseconds
	perRequest  float64 // nanoseconds per request queued ahead; low until it has been measured
}

// record adds an attempt that was sent with queuedAhead requests queued at the worker.
func (q *queueDelay) record(queuedAhead float64, delay time.Duration) {
	q.queuedAhead += queuedAhead
	q.delay += float64(max(0, delay))
	q.perRequest = q.delay / (functionSamples + q.queuedAhead)
	q.queuedAhead *= queuedAheadDecay
	q.delay *= queuedAheadDecay
}
