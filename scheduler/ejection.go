package scheduler

import "time"

// recordSuccess records a response that shows that a worker is healthy, which ends an ejection.
func (w *worker) recordSuccess(now time.Duration) {
	w.consecutiveFailures = 0
	w.lastSuccess = now
	w.ejectionDuration = 0
	w.ejectedUntil = 0
	w.halfOpen = false
	w.unresponsive = false
}

// recordFailure counts a failure of a worker. Enough consecutive failures eject the worker, for longer each
// time.
func (s *Scheduler) recordFailure(w *worker, now time.Duration) {
	w.consecutiveFailures++
	if (w.consecutiveFailures < ejectionFailures && !w.halfOpen) || now < w.ejectedUntil {
		return
	}
	w.ejectionDuration = min(max(2*w.ejectionDuration, s.longestObjective), maxEjectionFactor*s.longestObjective)
	w.ejectedUntil = now + w.ejectionDuration + time.Duration(s.rng.IntN(int(w.ejectionDuration/2)))
	w.halfOpen = true
	w.limit = minWorkerLimit
	s.cancelCandidates = append(s.cancelCandidates, w.attempts...)
	s.updateCounters(w, now)
}

// ejectUnresponsive ejects workers that do not respond. The time without a response, in multiples of the
// usual latency, is summed over the attempts in flight at a worker.
func (s *Scheduler) ejectUnresponsive(now time.Duration) {
	for _, w := range s.busy.All() {
		unanswered := 0.0
		for _, request := range w.attempts {
			usual := max(request.typ.meanLatency, request.typ.Objective/minUsualLatencyDivisor)
			unanswered += float64(now-max(request.sentAt, w.lastSuccess)) / (float64(usual) / s.warmUpShare(w, now))
		}
		if unanswered > unresponsiveThreshold && now >= w.ejectedUntil && !w.halfOpen {
			w.consecutiveFailures = ejectionFailures
			s.recordFailure(w, now)
		}
	}
}
