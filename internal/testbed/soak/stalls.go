package soak

import (
	"context"
	"sync"
	"time"
)

// stalls are the times in which this process did not run: what it read then it read late, and can't judge.
type stalls struct {
	mu  sync.Mutex
	all []span
}

const (
	stallTick = 5 * time.Millisecond
	minStall  = 30 * time.Millisecond
)

// watch notes stalls until ctx ends.
func (s *stalls) watch(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	last := time.Now()
	for ctx.Err() == nil {
		<-ticker.C
		now := time.Now()
		if now.Sub(last) > minStall {
			s.mu.Lock()
			s.all = append(s.all, span{from: last, to: now})
			s.mu.Unlock()
		}
		last = now
	}
}

// overlaps tells whether a stall falls into a time.
func (s *stalls) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.all {
		if !x.from.After(to) && !x.to.Before(from) {
			return true
		}
	}
	return false
}
