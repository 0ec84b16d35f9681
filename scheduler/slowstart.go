package scheduler

import (
	"math"
	"time"
)

// warmUpShare is the share of its capacity that a worker has by now, at the least.
func (s *Scheduler) warmUpShare(w *worker, now time.Duration) float64 {
	progress := float64(max(0, now-w.Started)) / float64(max(1, s.warmUpTime))
	if w.Started <= 0 || progress >= 1 {
		return 1
	}
	return s.slowStartInitialShare + (1-s.slowStartInitialShare)*progress
}

// slowStartPause is the least time between two attempts to a worker that is warming up: it must not be overloaded
// into a crash (rule 4). Its capacity is unknown: the mean work that the workers complete stands for it. The attempts
// of many gateways bunch by chance.
func (s *Scheduler) slowStartPause(w *worker, work float64, now time.Duration) time.Duration {
	longest := time.Duration(s.gateways) * s.crashWindow // with nothing known all gateways send one in a crash window
	mean := s.completedWork.LowerSum(now) / completedWorkWindows / float64(max(1, s.members.Len()))
	budget := slowStartBudgetShare * s.crashMultiple * s.warmUpShare(w, now) * mean * min(1, s.relativeWeight(w))
	attempts := budget / s.trafficShare(now) / work // of all gateways, in a crash window
	attempts = max(attempts-slowStartDeviations*math.Sqrt(min(attempts, float64(s.gateways))), attempts/4)
	return time.Duration(min(float64(s.crashWindow)/max(attempts*s.trafficShare(now), 1e-9), float64(longest)))
}

// slowStartAllows tells whether the pause before another attempt to a worker that is warming up is over.
func (s *Scheduler) slowStartAllows(w *worker, request *Request, now time.Duration) bool {
	return s.crashMultiple <= 0 || s.warmUpShare(w, now) >= 1 ||
		now >= w.lastSlowStartSend+fractionOf(w.slowStartPauseShare, s.slowStartPause(w, s.expectedWork(request), now))
}
