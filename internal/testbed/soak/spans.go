package soak

import (
	"context"
	"sync"
	"time"
)

// span is the period of a fault or stall. The end (to) of a current one is zero.
type span struct {
	from, to time.Time
	bound    time.Duration // time after from at which a gateway is considered notified of changes of the endpoint list
}

// notifiedAt returns when a gateway is considered notified of a change that was published in the span: bound after the
// start of the span or at its end, whichever is earlier, but not before the change.
func (s *span) notifiedAt(published time.Time) time.Time {
	notified := s.from.Add(s.bound)
	if !s.to.IsZero() && s.to.Before(notified) {
		notified = s.to
	}
	if notified.Before(published) {
		return published
	}
	return notified
}

// spans are the spans of one gateway or of this process.
type spans []*span

// overlaps reports whether a span overlaps a period.
func (s spans) overlaps(from, to time.Time) bool { return len(s.overlapping(from, to)) > 0 }

// overlapping returns the spans that overlap a period.
func (s spans) overlapping(from, to time.Time) (found spans) {
	for _, span := range s {
		if !span.from.After(to) && (span.to.IsZero() || !span.to.Before(from)) {
			found = append(found, span)
		}
	}
	return found
}

// stalls are the periods in which this process was not scheduled. It handled events of these periods late, so that they
// can't be checked.
type stalls struct {
	mu        sync.Mutex
	spans     spans
	lastCheck time.Time // last time at which the process was seen running; zero: it isn't watched
}

const (
	// stallTick is the interval of the checks for stalls.
	stallTick = 5 * time.Millisecond
	// minStall is the time between two checks above which the process is considered to have stalled.
	minStall = 30 * time.Millisecond
)

// startWatch starts to record stalls; stop ends it.
func (s *stalls) startWatch() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { s.watch(ctx) })
	return func() {
		cancel()
		watching.Wait()
	}
}

// watch records stalls until ctx ends.
func (s *stalls) watch(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	s.check(time.Now())
	for ctx.Err() == nil {
		<-ticker.C
		s.check(time.Now())
	}
}

// check records that this process runs at the given time, and the stall that has just ended, if any.
func (s *stalls) check(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLocked(now)
	s.lastCheck = now
}

// checkLocked records the stall that has just ended, if any; s.mu must be held.
func (s *stalls) checkLocked(now time.Time) {
	if !s.lastCheck.IsZero() && now.Sub(s.lastCheck) > minStall {
		s.spans = append(s.spans, &span{from: s.lastCheck, to: now})
		s.lastCheck = now
	}
}

// overlaps reports whether a stall overlaps a period.
func (s *stalls) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastCheck.IsZero() {
		s.checkLocked(time.Now()) // the watch goroutine may not have run yet since the stall
	}
	return s.spans.overlaps(from, to)
}
