// Package stall notices that the process did not run for a while: stopped by a signal, or without a processor. What is read
// right after may have waited in the kernel for as long.
package stall

import (
	"context"
	"sync"
	"time"
)

const (
	tickInterval = 50 * time.Millisecond
	minStall     = 2 * tickInterval      // a tick later than that after the one before tells of a stall
	SettleTime   = 20 * time.Millisecond // within that after a stall, what came meanwhile has been read
)

// Detector notices stalls while Run runs. It may be used by several goroutines.
type Detector struct {
	mu           sync.Mutex
	lastTick     time.Time // the last tick; zero: it does not run
	stalledSince time.Time // of the last stall: the tick before it
	settledAt    time.Time // what came during it has been read by then
}

// Run watches until ctx ends.
func (w *Detector) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	w.observe(time.Now())
	for {
		select {
		case <-ctx.Done():
			w.mu.Lock()
			w.lastTick = time.Time{}
			w.mu.Unlock()
			return nil
		case <-ticker.C:
			w.observe(time.Now())
		}
	}
}

// observe notes that the process runs. The lock may not be held.
func (w *Detector) observe(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observeLocked(now)
	w.lastTick = now
}

func (w *Detector) observeLocked(now time.Time) {
	if !w.lastTick.IsZero() && now.Sub(w.lastTick) > minStall {
		w.stalledSince, w.settledAt = w.lastTick, now.Add(SettleTime)
		w.lastTick = now
	}
}

// Lag is how long what is read at now may have waited because the process did not run; 0 where it ran.
func (w *Detector) Lag(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observeLocked(now)
	if now.Before(w.settledAt) {
		return now.Sub(w.stalledSince)
	}
	return 0
}

// EndedAfter tells whether a stall has ended after a time: what was due then could not be done.
func (w *Detector) EndedAfter(t time.Time, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observeLocked(now)
	return w.settledAt.After(t.Add(SettleTime))
}
