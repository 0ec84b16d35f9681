package platform

import (
	"sync"
	"time"
)

// recentIDs is a bounded set of the IDs of requests that are in hand or may have run. It keeps an ID for at least the
// retention time after it was last added or looked up, in two generations.
type recentIDs struct {
	retention        time.Duration
	maxPerGeneration int // maximum number of IDs in one generation

	mu                sync.Mutex
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

// idState is the result of adding an ID to recentIDs.
type idState int

const (
	idAdded idState = iota
	idKnown         // it was in the set
	idsFull         // the set holds as many IDs as it may, and their retention time is not over
)

// add adds an ID, unless it is in the set or the set is full.
func (r *recentIDs) add(id uint64, now time.Time) idState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || now.Sub(r.rotatedAt) > r.retention {
		r.previous, r.current, r.rotatedAt = r.current, map[uint64]struct{}{}, now
	}
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	if !inCurrent && len(r.current) >= r.maxPerGeneration {
		if inPrevious {
			return idKnown
		}
		return idsFull
	}
	r.current[id] = struct{}{}
	if inCurrent || inPrevious {
		return idKnown
	}
	return idAdded
}

// remove removes an ID whose request has not run.
func (r *recentIDs) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.current, id)
	delete(r.previous, id)
}

// size returns the number of entries.
func (r *recentIDs) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current) + len(r.previous)
}
