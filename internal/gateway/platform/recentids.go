package platform

import (
	"sync"
	"time"
)

// recentIDs remembers request IDs for at least their retention, in two generations. Its size is bounded by what comes
// in twice that time, and by the size of a generation, past which the older one is dropped early.
type recentIDs struct {
	retention        time.Duration
	maxPerGeneration int

	mu                sync.Mutex
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

// add adds an ID and reports whether it is new.
func (r *recentIDs) add(id uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || now.Sub(r.rotatedAt) > r.retention || len(r.current) >= r.maxPerGeneration {
		r.previous, r.current, r.rotatedAt = r.current, map[uint64]struct{}{}, now
	}
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	if inCurrent || inPrevious {
		return false
	}
	r.current[id] = struct{}{}
	return true
}
