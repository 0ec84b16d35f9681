// Package stall notices that the process did not run for a while: stopped by a signal, or without a processor. What is read
// right after may have waited in the kernel for as long.
package stall

import (
	"context"
	"sync"
	"time"
)

const (
	tick   = 50 * time.Millisecond
	least  = 2 * tick              // a tick later than that after the one before tells of a stall
	Settle = 20 * time.Millisecond // within that after a stall, what came meanwhile has been read
)

// Watcher notices stalls while Run runs. It may be used by several goroutines.
type Watcher struct {
	mu      sync.Mutex
	last    time.Time // the last tick; zero: it does not run
	began   time.Time // of the last stall: the tick before it
	settled time.Time // what came during it has been read by then
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	w.note(time.Now())
	for {
		select {
		case <-ctx.Done():
			w.mu.Lock()
			w.last = time.Time{}
			w.mu.Unlock()
			return nil
		case <-ticker.C:
			w.note(time.Now())
		}
	}
}

// note notes that the process runs. The lock may not be held.
func (w *Watcher) note(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(now)
	w.last = now
}

func (w *Watcher) noteLocked(now time.Time) {
	if !w.last.IsZero() && now.Sub(w.last) > least {
		w.began, w.settled = w.last, now.Add(Settle)
		w.last = now
	}
}

// Behind is how long what is read at now may have waited because the process did not run; 0 where it ran.
func (w *Watcher) Behind(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(now)
	if now.Before(w.settled) {
		return now.Sub(w.began)
	}
	return 0
}

// EndedAfter tells whether a stall has ended after a time: what was due then could not be done.
func (w *Watcher) EndedAfter(t time.Time, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(now)
	return w.settled.After(t.Add(Settle))
}
