package emulator

import (
	"sync"
	"time"

	"lupinpond/internal/workerrpc"
)

// sweepInterval is how often a group forgets keys whose windows are over.
const sweepInterval = time.Second

// DedupGroup is a group of workers that recognize each other's repeats of keyed requests.
type DedupGroup struct {
	mu        sync.Mutex
	until     map[string]time.Time // by idempotency key: the end of its window
	nextSweep time.Time
}

// NewDedupGroup makes a group without members; workers are given it.
func NewDedupGroup() *DedupGroup { return &DedupGroup{until: map[string]time.Time{}} }

// claim reports whether a keyed request is the first within its window, and notes that it has begun.
func (g *DedupGroup) claim(attempt *workerrpc.Attempt) (first bool) {
	if attempt.IdempotencyKey == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sweep(now)
	if now.Before(g.until[attempt.IdempotencyKey]) {
		return false
	}
	g.until[attempt.IdempotencyKey] = now.Add(attempt.DedupWindow)
	return true
}

// sweep forgets keys whose windows are over; the lock is held.
func (g *DedupGroup) sweep(now time.Time) {
	if !now.After(g.nextSweep) {
		return
	}
	g.nextSweep = now.Add(sweepInterval)
	for key, until := range g.until {
		if now.After(until) {
			delete(g.until, key)
		}
	}
}
