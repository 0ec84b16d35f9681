// Package stall detects stalls: periods in which the process did not run because it was stopped by a signal or not
// scheduled. Data that is read right after a stall may have waited in the kernel for as long as the stall.
//
// A goroutine that runs late is no evidence of a stall: the process may have been busy. It has stalled if it used
// little processor time meanwhile.
package stall

import (
	"context"
	"runtime"
	"sync"
	"time"

	"lupinpond/internal/base/cputime"
)

const (
	// tickInterval is the time between two ticks.
	tickInterval = 50 * time.Millisecond

	// minStall is the time without processor time between two ticks above which the process is considered to have stalled.
	minStall = 2 * tickInterval

	// SettleTime is the time after the end of a stall within which the data that arrived during it is read.
	SettleTime = 20 * time.Millisecond
)

// Detector detects stalls while Run is active. It is safe for concurrent use.
type Detector struct {
	processorTime func() time.Duration // for tests; nil: cputime.Process

	mu           sync.Mutex
	lastTick     time.Time     // zero while Run is not active
	usedAtTick   time.Duration // processor time that the process had used at the last tick
	stalledSince time.Time     // last tick before the latest stall
	settledAt    time.Time     // when data that arrived during the latest stall has been read
	lateSince    time.Time     // last tick before the latest gap between ticks, with or without a stall
	lateUntil    time.Time     // when data that arrived during that gap has been read
}

// Run detects stalls until ctx is done. It always returns nil.
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

// observe records a tick.
func (d *Detector) observe(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	d.lastTick, d.usedAtTick = now, d.used()
}

// observeLocked records a stall if the process has not run for more than minStall since the last tick. d.mu must be
// held.
func (d *Detector) observeLocked(now time.Time) {
	gap := now.Sub(d.lastTick)
	if d.lastTick.IsZero() || gap <= minStall {
		return
	}
	d.lateSince, d.lateUntil = d.lastTick, now.Add(SettleTime)
	used := d.used()
	busy := (used - d.usedAtTick) / time.Duration(runtime.GOMAXPROCS(0)) // goroutines run late only if all threads are busy
	if gap-busy > minStall {
		d.stalledSince, d.settledAt = d.lastTick, now.Add(SettleTime)
		d.lastTick, d.usedAtTick = now, used
	}
}

// used returns the processor time that the process has used.
func (d *Detector) used() time.Duration {
	if d.processorTime != nil {
		return d.processorTime()
	}
	return cputime.Process()
}

// Lag returns how long data that is read now may have waited because of a stall, or 0 if the process was running.
func (d *Detector) Lag(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	if now.Before(d.settledAt) {
		return now.Sub(d.stalledSince)
	}
	return 0
}

// Delay returns how long data that is read now may have waited because the process did not run or was busy, or 0 if
// neither was the case.
func (d *Detector) Delay(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	if now.Before(d.lateUntil) {
		return now.Sub(d.lateSince)
	}
	return 0
}

// StalledSince returns the beginning of the latest stall, or the zero time if there was none.
func (d *Detector) StalledSince(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	return d.stalledSince
}

// BeganBefore reports whether work was begun before the end of a stall that began at since, rather than after it.
func BeganBefore(work, since time.Time) bool { return work.Sub(since) <= minStall }

// EndedAfter reports whether a stall has ended after t. If so, work that was due at t may have been done late.
func (d *Detector) EndedAfter(t, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
	return d.settledAt.After(t.Add(SettleTime))
}
