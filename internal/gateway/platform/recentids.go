package platform

import (
	"sync"
	"time"
)

// recentIDs is a set that keeps request IDs for at least the retention time, in two generations. It holds at most the
// IDs added in twice that time. A generation that reaches maxPerGeneration is rotated early, which may drop the
// previous one before its retention time is over.
type recentIDs struct {
	retention        time.Duration
	maxPerGeneration int // maximum number of IDs in one generation

	mu                sync.Mutex
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

// add adds an ID and reports whether it was not in the set.
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
