package resp

import "time"

// Quiet has the worker last heard from so long ago.
func (w *Worker) Quiet(ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = time.Now().Add(-ago)
}

// Settled returns when the pool has no more than so many connections.
func (p *Pool) Settled(most int64) {
	for p.open.Load() > most {
		time.Sleep(time.Millisecond)
	}
}
