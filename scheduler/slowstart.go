package scheduler

import (
	"math"
	"time"
)

// warmUpShare returns the minimum share of its capacity that a worker has reached at this point of its slow
// start; 1 after it.
func (s *Scheduler) warmUpShare(w *worker, now time.Duration) float64 {
	started := max(w.Started, w.restartedAt)
	progress := float64(max(0, now-started)) / float64(max(1, s.slowStart.WarmUpTime))
	if started <= 0 || progress >= 1 {
		return 1
	}
	return s.slowStart.InitialShare + (1-s.slowStart.InitialShare)*progress
}

// slowStartPause returns the minimum time between two attempts to a worker in slow start, so that all
// gateways together don't send it the load that makes it crash (rule 4). Its capacity is unknown; it is
// estimated by the mean work that the workers complete. A margin covers random bursts of the attempts of many
// gateways.
func (s *Scheduler) slowStartPause(w *worker, work float64, now time.Duration) time.Duration {
	policy := s.slowStart
	mean := s.completedWork.LowerSum(now) / completedWorkWindows / float64(max(1, s.members.Len()))
	budget := slowStartBudgetShare * policy.CrashMultiple * s.warmUpShare(w, now) * mean *
		min(1, s.relativeWeight(w))
	share := s.trafficShare(now)
	attempts := budget / share / work // of all gateways, per crash window
	deviation := math.Sqrt(min(attempts, float64(s.gateways)))
	attempts = max(attempts-slowStartDeviations*deviation, attempts/slowStartMinDivisor)
	pause := float64(policy.CrashWindow) / max(attempts*share, 1e-9) // without measurements, attempts is 0
	longest := time.Duration(s.gateways) * policy.CrashWindow        // each gateway may send one attempt
	return time.Duration(min(pause, float64(longest)))
}

// slowStartAllows reports whether an attempt may be sent to a worker: it is not in slow start, or the pause
// after the last attempt has passed.
func (s *Scheduler) slowStartAllows(w *worker, request *Request, now time.Duration) bool {
	if s.slowStart.CrashMultiple <= 0 || s.warmUpShare(w, now) >= 1 {
		return true
	}
	pause := fractionOf(w.slowStartPauseShare, s.slowStartPause(w, s.expectedWork(request), now))
	return now >= w.lastSlowStartSend+pause
}
