package resp

import (
	"slices"
	"sync"
	"time"
)

// Worker is the client of the worker at one address.
type Worker struct {
	pool *Pool
	addr string

	mu           sync.Mutex
	conns        []*conn // in the order in which they were made
	stopped      bool
	lastReceived time.Time // when something last came from the worker, a new connection too
}

// Call sends a message. A response with its ID ends the call, and done is called once, perhaps before Call returns.
func (w *Worker) Call(id string, message Message, sharing Sharing, done func(Result)) *Call {
	if w.pool.openConns.Load() >= int64(w.pool.limits.SoftMaxConns) && w.hasNoConns() {
		w.pool.closeIdlest()
	}
	w.mu.Lock()
	call := &Call{worker: w, id: id, Message: message, done: done}
	conn := w.pickConn(id, sharing)
	if conn == nil {
		call.state = completed
		w.mu.Unlock()
		done(Result{Outcome: NotSent})
		return call
	}
	call.conn = conn
	conn.calls[id] = call
	conn.queue = append(conn.queue, call)
	conn.wake()
	w.mu.Unlock()
	return call
}

// hasNoConns reports whether the worker has no connection.
func (w *Worker) hasNoConns() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns) == 0
}

// pickConn finds or makes a connection for a call; nil: there can be none. The lock is held.
func (w *Worker) pickConn(id string, sharing Sharing) *conn {
	if w.stopped || w.pool.ctx.Err() != nil {
		return nil
	}
	least := w.leastLoaded(id)
	// A machine that is down leaves its connections open and swallows what is sent on them. A new connection shows that,
	// and what waits for it never runs.
	silent := time.Since(w.lastReceived) > w.pool.limits.IOTimeout
	if least != nil && (least.conn == nil || !silent) && (len(least.calls) == 0 || sharing == Shared) {
		return least
	}
	limit := w.pool.limits.MaxConns
	if len(w.conns) > 0 {
		limit = min(limit, w.pool.limits.SoftMaxConns)
	}
	if !w.pool.reserve(limit) {
		return least
	}
	c := newConn(w)
	w.conns = append(w.conns, c)
	w.pool.add(c)
	w.pool.running.Add(1)
	go c.run()
	return c
}

// leastLoaded is the connection with the fewest calls, the newest first, that may carry a call. Of those that have
// carried its ID none may: a second response to the earlier call would be taken for one to this. The lock is held.
func (w *Worker) leastLoaded(id string) (least *conn) {
	for _, c := range slices.Backward(w.conns) {
		if c.accepts(id) && (least == nil || len(c.calls) < len(least.calls)) {
			least = c
		}
	}
	return least
}

// Stop ends what has not left yet as not sent, and all calls that come later: the worker is draining or removed. What
// has been sent goes on. No write lasts longer than Limits.IOTimeout.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	var unsent []*Call
	for _, c := range w.conns {
		c.closing = true
		unsent = append(unsent, c.dropQueued()...)
		c.wake()
	}
	w.mu.Unlock()
	for _, call := range unsent {
		call.done(Result{Outcome: NotSent})
	}
}

// Resume lets calls go to the worker again.
func (w *Worker) Resume() {
	w.mu.Lock()
	w.stopped = false
	w.mu.Unlock()
}
