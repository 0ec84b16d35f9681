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
	conns        []*conn   // connections, the oldest first
	stopped      bool      // calls with new work are not sent
	lastReceived time.Time // when data was last received from the worker or a connection to it was established
}

// Call sends a message. The call ends with the response that has the given ID, or for another reason. done is called
// once with the result, perhaps before Call returns.
func (w *Worker) Call(id string, message Message, sharing Sharing, done func(Result)) *Call {
	if w.pool.openConns.Load() >= int64(w.pool.limits.SoftMaxConns) && w.hasNoConns() {
		w.pool.closeLongestIdle()
	}
	w.mu.Lock()
	call := &Call{worker: w, id: id, Message: message, done: done}
	var conn *conn
	if !w.stopped || message.NoNewWork {
		conn = w.pickConn(id, sharing)
	}
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

// pickConn returns an existing or new connection for a call, or nil if the call can't be sent. The caller must hold
// w.mu.
func (w *Worker) pickConn(id string, sharing Sharing) *conn {
	if w.pool.ctx.Err() != nil {
		return nil
	}
	least := w.leastLoaded(id)
	// If a worker's machine goes down, its connections stay open and messages written to them are lost. An attempt to
	// make a new connection fails in that case, and it is certain that a call waiting for that connection has not run.
	unresponsive := time.Since(w.lastReceived) > w.pool.limits.IOTimeout
	if least != nil && (least.conn == nil || !unresponsive) && (len(least.calls) == 0 || sharing == Shared) {
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

// leastLoaded returns the connection with the fewest calls that can carry a call with the given ID, the newest of
// several, or nil. A connection that has recently carried a call with the same ID can't: a duplicate response to the
// earlier call would be taken for the response to the new one. The caller must hold w.mu.
func (w *Worker) leastLoaded(id string) (least *conn) {
	for _, c := range slices.Backward(w.conns) {
		if c.accepts(id) && (least == nil || len(c.calls) < len(least.calls)) {
			least = c
		}
	}
	return least
}

// Stop ends all calls whose messages have not been written, and all later calls with new work, as not sent. It is used
// if the worker is draining or removed. Calls that have been sent continue. A write in progress ends within
// Limits.IOTimeout.
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

// Resume allows calls to be sent to the worker again after Stop.
func (w *Worker) Resume() {
	w.mu.Lock()
	w.stopped = false
	w.mu.Unlock()
}
