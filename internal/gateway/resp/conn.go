package resp

import (
	"context"
	"net"
	"slices"
	"time"
)

// idleChecksPerTimeout is the number of times per Limits.IdleTimeout that a connection checks whether it is idle.
const idleChecksPerTimeout = 4

// conn is a connection to a worker that is established or being established. It is guarded by its worker's mu.
type conn struct {
	worker       *Worker
	conn         net.Conn         // nil while the connection is being established
	calls        map[string]*Call // open calls by ID
	queue        []*Call          // calls whose message, or cancel command if they are cancelled, is to be written
	completedIDs []string         // IDs of the most recently completed calls
	closing      bool             // the connection accepts no more calls and is closed after its last open call
	disconnected bool
	lastUsed     time.Time     // when the connection was established or last completed a call
	wakeup       chan struct{} // wakes the writer
}

func newConn(w *Worker) *conn {
	return &conn{worker: w, calls: map[string]*Call{}, wakeup: make(chan struct{}, 1)}
}

// isIdle reports whether the connection is established, open and without calls.
func (c *conn) isIdle() bool {
	return c.conn != nil && !c.closing && !c.disconnected && len(c.calls) == 0
}

// accepts reports whether the connection can carry another call with the given ID. It can't if one of its recent calls
// had the same ID.
func (c *conn) accepts(id string) bool {
	return !c.closing && !c.disconnected && len(c.calls) < c.worker.pool.limits.MaxCallsPerConn && c.calls[id] == nil &&
		!slices.Contains(c.completedIDs, id)
}

// run establishes the connection, and writes to it until it ends.
func (c *conn) run() {
	pool := c.worker.pool
	defer pool.running.Done()
	netConn, err := pool.dial(pool.ctx, "tcp", c.worker.addr)
	if err != nil {
		c.finish()
		return
	}
	c.worker.mu.Lock()
	c.conn, c.lastUsed = netConn, time.Now()
	c.worker.lastReceived = c.lastUsed
	c.worker.mu.Unlock()
	stop := context.AfterFunc(pool.ctx, func() { netConn.Close() })
	defer stop()
	pool.running.Add(1)
	go func() {
		defer pool.running.Done()
		c.readLoop(netConn)
		netConn.Close()
		c.worker.mu.Lock()
		c.disconnected = true
		c.worker.mu.Unlock()
		c.wake()
	}()
	c.writeLoop(netConn)
	netConn.Close()
	c.finish()
}

// finish removes a connection that has ended, and ends its open calls.
func (c *conn) finish() {
	type ending struct {
		call    *Call
		outcome Outcome
	}
	w := c.worker
	w.mu.Lock()
	c.disconnected = true
	w.conns = slices.DeleteFunc(w.conns, func(other *conn) bool { return other == c })
	w.pool.remove(c)
	endings := make([]ending, 0, len(c.calls))
	for _, call := range c.calls {
		endings = append(endings, ending{call, call.outcomeOfDisconnect()})
		c.complete(call)
	}
	w.mu.Unlock()
	for _, e := range endings {
		e.call.done(Result{Outcome: e.outcome})
	}
}

// outcomeOfDisconnect returns the outcome of an open call whose connection has ended.
func (c *Call) outcomeOfDisconnect() Outcome {
	switch c.state {
	case queued:
		return NotSent
	case cancelling: // the cancel command was not written, but the end of the connection also cancels the call
		return Cancelled
	}
	return ConnectionLost
}

// wake makes the writer check for work.
func (c *conn) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// complete removes a call from the open ones. The caller must hold the worker's mu, and call done with the result.
func (c *conn) complete(call *Call) {
	call.state = completed
	delete(c.calls, call.id)
	c.completedIDs = append(c.completedIDs, call.id)
	if n := len(c.completedIDs) - c.worker.pool.limits.MaxCallsPerConn; n > 0 {
		c.completedIDs = slices.Delete(c.completedIDs, 0, n)
	}
	c.lastUsed = time.Now()
	if c.closing && len(c.calls) == 0 {
		c.wake()
	}
}

// dequeue removes a call, or its cancel command, from the queue. The caller must hold the worker's mu.
func (c *conn) dequeue(call *Call) {
	c.queue = slices.DeleteFunc(c.queue, func(other *Call) bool { return other == call })
}

// dropQueued completes the calls whose messages have not been written, and returns them. The caller must hold the
// worker's mu.
func (c *conn) dropQueued() (dropped []*Call) {
	c.queue = slices.DeleteFunc(c.queue, func(call *Call) bool {
		if call.state == queued {
			dropped = append(dropped, call)
		}
		return call.state == queued
	})
	for _, call := range dropped {
		c.complete(call)
	}
	return dropped
}
