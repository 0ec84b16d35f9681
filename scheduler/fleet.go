package scheduler

import (
	"math"
	"time"
)

// UpdateMembership takes news of the list; where it is whole, workers that it does not name are gone. An
// update costs its own size.
func (s *Scheduler) UpdateMembership(now time.Duration, whole bool, members []Member) {
	s.updateCount++
	for _, member := range members {
		member.Weight = plausibleOrZero(member.Weight, maxPlausibleValue)
		s.updateMember(member, now)
	}
	if whole {
		for _, w := range s.members.All() {
			if w.lastUpdate != s.updateCount {
				s.unlist(w, now)
			}
		}
	}
	s.forgetUnlisted()
	s.updateMeanWeight()
	if s.fleetLimit.limit == 0 {
		s.fleetLimit = s.newLimit(initialWorkerLimit*float64(s.members.Len()), minFleetLimit)
		s.loadLimit = s.newLimit(initialWorkerLimit*float64(s.gateways), minWorkerLimit)
	}
	if s.subscribeAt > 0 { // the list of the start is no answer
		s.subscribeAt = math.MaxInt64
	}
}

// countersOf tells what a worker counts for now, and until when that holds if nothing happens.
func (s *Scheduler) countersOf(w *worker, now time.Duration) (counts counters, until time.Duration) {
	until = math.MaxInt64
	before := func(deadline time.Duration) bool {
		if now < deadline {
			until = min(until, deadline)
		}
		return now < deadline
	}
	out, queued := before(w.ejectedUntil), before(w.backloggedUntil)
	hasCapacity := w.acceptsNew() && float64(len(w.attempts)) < w.limit && !queued
	counts.set(eligible, w.acceptsNew())
	counts.set(ejected, out || w.halfOpen)
	counts.set(withCapacityOrEjected, hasCapacity)
	counts.set(withCapacity, hasCapacity && !out && (!w.halfOpen || len(w.attempts) == 0))
	if w.reportedAt > 0 && before(w.reportedAt+2*s.longestObjective) {
		counts.set(recentlyReported, true)
		counts.set(withoutQueue, w.queueDepth <= float64(len(w.attempts)))
	}
	if !w.halfOpen { // what is in flight for long waits there: its work is still to do
		counts[attemptsInFlight] = int32(len(w.attempts))
	}
	return counts, until
}

// updateFleetState tells attempts in flight, whether ejections are believed, and whether few workers have room: an
// overload.
func (s *Scheduler) updateFleetState(now time.Duration) {
	s.expireDeadlines(now)
	counts := &s.counters
	s.inFlight, s.limitRounding = int(counts[attemptsInFlight]), float64(s.rng.IntN(1000))/1000
	withRoom := counts[withCapacity]
	if s.ejectionsIgnored {
		withRoom = counts[withCapacityOrEjected]
	}
	s.ejectionsIgnored = float64(counts[ejected]) > maxEjectedShare*float64(counts[eligible])
	s.overloaded = s.atFleetLimit() || float64(withRoom) < overloadCapacityShare*float64(max(counts[eligible], 1)) ||
		counts[recentlyReported] >= minOverloadReports && float64(counts[withoutQueue]) < overloadCapacityShare*float64(counts[recentlyReported])
}

// usable: not drained nor gone (rule 3), nor ejected unless most are, which must not leave us without any.
func (s *Scheduler) usable(w *worker, now time.Duration) bool {
	admitted := now >= w.ejectedUntil && (!w.halfOpen || len(w.attempts) == 0)
	return w.acceptsNew() && (admitted || s.ejectionsIgnored)
}

func (s *Scheduler) hasCapacity(w *worker, now time.Duration) bool {
	return s.usable(w, now) && float64(len(w.attempts)) < w.limit
}

// atFleetLimit rounds the limit by chance: a front end among many has less than one attempt of the fleet's to
// itself.
func (s *Scheduler) atFleetLimit() bool {
	return float64(s.inFlight)+s.limitRounding >= s.fleetLimit.limit
}

// recordFailure counts a failure; enough in a row eject the worker, for longer each time.
func (s *Scheduler) recordFailure(w *worker, now time.Duration) {
	w.consecutiveFailures++
	if (w.consecutiveFailures >= ejectionFailures || w.halfOpen) && now >= w.ejectedUntil {
		w.ejectionDuration = min(max(2*w.ejectionDuration, s.longestObjective), maxEjectionFactor*s.longestObjective)
		w.ejectedUntil = now + w.ejectionDuration + time.Duration(s.rng.IntN(int(w.ejectionDuration/2)))
		w.halfOpen, w.limit = true, minWorkerLimit
		s.cancelCandidates = append(s.cancelCandidates, w.attempts...)
		s.updateCounters(w, now)
	}
}

// ejectUnresponsive ejects a worker from which nothing comes; each attempt that waits adds to the silence.
func (s *Scheduler) ejectUnresponsive(now time.Duration) {
	for _, w := range s.busy.All() {
		silence := 0.0
		for _, request := range w.attempts {
			usual := float64(max(request.typ.meanLatency, request.typ.Objective/10)) / s.warmUpShare(w, now)
			silence += float64(now-max(request.sentAt, w.lastSuccess)) / usual
		}
		if silence > silenceThreshold && now >= w.ejectedUntil && !w.halfOpen {
			w.consecutiveFailures = ejectionFailures
			s.recordFailure(w, now)
		}
	}
}

// ensureFreshReport tells whether a load was reported lately; else, with fewer workers than front ends, it probes.
func (s *Scheduler) ensureFreshReport(w *worker, now time.Duration) bool {
	if !s.probesEnabled || s.gateways <= s.members.Len() || now < w.reportedAt+fractionOf(reportValidityShare, s.longestObjective) {
		return true
	}
	if !w.probeInFlight {
		w.probeInFlight, w.probedAt = true, now
		s.pendingProbes = append(s.pendingProbes, w.Worker)
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
func (s *Scheduler) ProbeCompleted(now time.Duration, name string, result Result, report LoadReport, duration time.Duration) {
	if w := s.workers[name]; w != nil {
		w.probeInFlight = false
		if result == Completed {
			report.QueueDepth, report.Reported = plausibleOrZero(report.QueueDepth, maxPlausibleValue)+s.estimateQueueDepth(w, duration), true
		}
		s.applyReport(w, report, now)
		switch w.unresponsive = result != Completed && result != Full; result {
		case Full: // so many ask that it takes no more probes: it lives, and requests wait there
			w.reportedAt, w.backloggedUntil, w.queueDepth = now, now+fractionOf(reportValidityShare, s.longestObjective), max(1, w.queueDepth)
			s.updateCounters(w, now)
		case Unreachable:
			s.recordFailure(w, now)
		}
	}
}

// applyReport takes a load report that can be believed, and says whether it was one. Where more requests wait
// than ours, others take the slots; ours obey the limit.
func (s *Scheduler) applyReport(w *worker, report LoadReport, now time.Duration) bool {
	if !report.Reported || !(report.QueueDepth >= 0 && report.QueueDepth < maxPlausibleValue) {
		return false
	}
	w.reportedAt, w.backloggedUntil, w.queueDepth = now, 0, report.QueueDepth
	if w.queueDepth > float64(len(w.attempts)) {
		w.backloggedUntil = now + fractionOf(reportValidityShare, s.longestObjective)
	}
	s.updateCounters(w, now)
	return true
}

// estimateQueueDepth is how crowded a worker is by a probe's time, in requests that wait there: what it took over
// the shortest of its zone, against the mean of that. It is fresh where reports are late, and stands in for
// them. Where it hardly varies, probes are answered beside the queue and tell nothing.
func (s *Scheduler) estimateQueueDepth(w *worker, duration time.Duration) float64 {
	latency := s.probeLatencies[w.Zone]
	if latency == nil {
		latency = &probeLatency{minimum: duration}
		s.probeLatencies[w.Zone] = latency
	}
	latency.minimum = min(latency.minimum, duration)
	over := min(float64(duration)/float64(max(1, latency.minimum))-1, maxProbeExcess)
	if latency.meanExcess += (over - latency.meanExcess) / functionSamples; latency.meanExcess < minProbeExcess {
		return 0
	}
	return queuedPerProbeExcess * max(0, over/latency.meanExcess-1)
}

// WatchFailed says that asking for the list failed: ask again a little later, each front end at its own time.
func (s *Scheduler) WatchFailed(now time.Duration) {
	s.subscribeAt = now + s.subscribeInterval/2 + time.Duration(s.rng.IntN(int(s.subscribeInterval)))
}
