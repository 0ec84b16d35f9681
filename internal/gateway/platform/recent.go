package platform

import (
	"sync"
	"time"
)

// recentIDs knows ids for at least some time after they came, in two generations. What it holds is bounded by what comes in
// twice that time, and by a number past which the older generation goes at once.
type recentIDs struct {
	retention        time.Duration
	maxPerGeneration int // ids of a generation

	mu                sync.Mutex
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

// add adds an id; false if it came lately.
func (r *recentIDs) add(id uint64, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || at.Sub(r.rotatedAt) > r.retention || len(r.current) >= r.maxPerGeneration {
		r.previous, r.current, r.rotatedAt = r.current, map[uint64]struct{}{}, at
	}
	_, now := r.current[id]
	_, old := r.previous[id]
	if now || old {
		return false
	}
	r.current[id] = struct{}{}
	return true
}
