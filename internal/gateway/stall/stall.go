// Package stall detects that the process did not run for a while: it was stopped by a signal, or had no processor.
// What is read right after may have waited in the kernel for as long.
package stall

import (
	"context"
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks.
	tickInterval = 50 * time.Millisecond

	// minStall is the time between two ticks from which on the process has stalled.
	minStall = 2 * tickInterval

	// SettleTime is how long after a stall it takes until what came meanwhile has been read.
	SettleTime = 20 * time.Millisecond
)

// Detector detects stalls while Run runs. It may be used by several goroutines.
type Detector struct {
	mu           sync.Mutex
	lastTick     time.Time // zero: Run does not run
	stalledSince time.Time // the tick before the last stall
	settledAt    time.Time // when what came during the last stall has been read
}

// Run ticks until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.observe(time.Now())
	for {
		select {
		case <-ctx.Done():
			d.mu.Lock()
			d.lastTick = time.Time{}
			d.mu.Unlock()
			return nil
		case <-ticker.C:
			d.observe(time.Now())
		}
	}
}

// observe notes a tick.
func (d *Detector) observe(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	d.lastTick = now
}

// observeLocked notes that the process runs. The lock is held.
func (d *Detector) observeLocked(now time.Time) {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > minStall {
		d.stalledSince, d.settledAt = d.lastTick, now.Add(SettleTime)
		d.lastTick = now
	}
}

// Lag is how long what is read now may have waited because the process stalled; 0 where it ran.
func (d *Detector) Lag(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	if now.Before(d.settledAt) {
		return now.Sub(d.stalledSince)
	}
	return 0
}

// EndedAfter reports whether a stall has ended after a time: what was due then may be late.
func (d *Detector) EndedAfter(t, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	return d.settledAt.After(t.Add(SettleTime))
}
