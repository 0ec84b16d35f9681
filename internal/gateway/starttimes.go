package gateway

import (
	"math"
	"time"
)

// UnboundedAge is the bound passed to StartTimes.Started if a worker's age has no known bound.
const UnboundedAge = time.Duration(math.MaxInt64)

// maxNoticeDelay is the maximum time from a worker's start to the first event that lists the worker.
const maxNoticeDelay = 7 * time.Second

// StartTimes converts workers' start times from the wall clock, which may step, to the core's clock. A worker's age is
// computed once, when its start time is first reported, and is bounded by the time within which it must have started. A
// worker that reports a much earlier start time is considered to have just started.
// StartTimes is not safe for concurrent use.
type StartTimes struct {
	now   func() time.Duration
	known map[string]startTime
}

type startTime struct {
	reported time.Time     // on the wall clock, as reported by the worker
	started  time.Duration // on the core's clock
}

// NewStartTimes creates the StartTimes of an endpoint list.
func (l *EventLoop) NewStartTimes() *StartTimes { return &StartTimes{l.Now, map[string]startTime{}} }

// Started converts a start time that a worker reports to the core's clock. It returns 0 if the worker reports none,
// which means that it started long ago. within bounds the age of a worker that is new in the list.
func (s *StartTimes) Started(worker string, reported time.Time, within time.Duration) time.Duration {
	if reported.IsZero() {
		delete(s.known, worker)
		return 0
	}
	if known, ok := s.known[worker]; ok && known.reported.Equal(reported) {
		return known.started
	}
	age := min(max(0, time.Since(reported)), within)
	if time.Since(reported)-maxNoticeDelay > within {
		age = 0 // the wall clocks differ: even after an outage of the list the worker may have just started
	}
	started := max(0, s.now()-age)
	s.known[worker] = startTime{reported, started}
	return started
}

// Remove deletes the start time of a worker that was removed from the list.
func (s *StartTimes) Remove(worker string) { delete(s.known, worker) }

// Retain deletes the start times of all workers that are not in listed.
func (s *StartTimes) Retain(listed map[string]bool) {
	for worker := range s.known {
		if !listed[worker] {
			delete(s.known, worker)
		}
	}
}
