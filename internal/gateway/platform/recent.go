package platform

import (
	"sync"
	"time"
)

// recent knows ids for at least some time after they came, in two generations. What it holds is bounded by what comes in
// twice that time, and by a number past which the older generation goes at once.
type recent struct {
	keep time.Duration
	most int // ids of a generation

	mu       sync.Mutex
	now, old map[uint64]struct{}
	turned   time.Time
}

// add adds an id; false if it came lately.
func (r *recent) add(id uint64, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil || at.Sub(r.turned) > r.keep || len(r.now) >= r.most {
		r.old, r.now, r.turned = r.now, map[uint64]struct{}{}, at
	}
	_, now := r.now[id]
	_, old := r.old[id]
	if now || old {
		return false
	}
	r.now[id] = struct{}{}
	return true
}
