package emulator

import (
	"sync"
	"time"

	"lupinpond/internal/workerrpc"
)

// sweepInterval is the interval at which a group removes keys whose windows have ended.
const sweepInterval = time.Second

// DedupGroup is a group of workers that share the idempotency keys of requests, so that each worker detects repeats of
// requests that another one has executed.
type DedupGroup struct {
	mu         sync.Mutex
	windowEnds map[string]time.Time // end of the deduplication window of each idempotency key
	nextSweep  time.Time
}

// NewDedupGroup returns an empty group. Workers join it by NewWorker.
func NewDedupGroup() *DedupGroup { return &DedupGroup{windowEnds: map[string]time.Time{}} }

// claim reports whether a request is the first with its idempotency key within the key's window, and records the key.
// A request without a key is always the first.
func (g *DedupGroup) claim(attempt *workerrpc.Attempt) (first bool) {
	if attempt.IdempotencyKey == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sweep(now)
	if now.Before(g.windowEnds[attempt.IdempotencyKey]) {
		return false
	}
	g.windowEnds[attempt.IdempotencyKey] = now.Add(attempt.DedupWindow)
	return true
}

// sweep removes keys whose windows have ended; g.mu must be held.
func (g *DedupGroup) sweep(now time.Time) {
	if !now.After(g.nextSweep) {
		return
	}
	g.nextSweep = now.Add(sweepInterval)
	for key, windowEnd := range g.windowEnds {
		if now.After(windowEnd) {
			delete(g.windowEnds, key)
		}
	}
}
