package resp

import (
	"context"
	"net"
	"slices"
	"time"
)

// idleChecks is how many times within Limits.IdleTimeout a connection looks whether it is idle.
const idleChecks = 4

// conn is one connection, also while it is being established. Its worker's mu guards it.
type conn struct {
	worker       *Worker
	conn         net.Conn // nil while it is being established
	calls        map[string]*Call
	queue        []*Call  // to be written; of cancelled ones, the cancel command
	completedIDs []string // of the latest calls
	closing      bool     // accepts no more calls, and ends with the last
	disconnected bool
	lastUsed     time.Time
	wakeup       chan struct{}
}

func newConn(w *Worker) *conn {
	return &conn{worker: w, calls: map[string]*Call{}, wakeup: make(chan struct{}, 1)}
}

// isIdle reports whether the connection is established and has no call.
func (c *conn) isIdle() bool {
	return c.conn != nil && !c.closing && !c.disconnected && len(c.calls) == 0
}

// accepts reports whether the connection can carry one more call, with an ID that it has not carried lately.
func (c *conn) accepts(id string) bool {
	return !c.closing && !c.disconnected && len(c.calls) < c.worker.pool.limits.MaxCallsPerConn && c.calls[id] == nil &&
		!slices.Contains(c.completedIDs, id)
}

// run connects, and writes until the connection ends.
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

// finish ends every call of a connection that has ended.
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

// outcomeOfDisconnect is the outcome of an open call whose connection has ended.
func (c *Call) outcomeOfDisconnect() Outcome {
	switch c.state {
	case queued:
		return NotSent
	case cancelling: // its cancel command is not written; the end of the connection cancels it
		return Cancelled
	}
	return ConnectionLost
}

// wake has the writer look for work.
func (c *conn) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// complete forgets a call; the caller gives its result. The worker's lock is held.
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

// dequeue takes a call, or its cancel command, out of the queue. The worker's lock is held.
func (c *conn) dequeue(call *Call) {
	c.queue = slices.DeleteFunc(c.queue, func(other *Call) bool { return other == call })
}

// dropQueued completes the calls that are not written yet, and returns them. The worker's lock is held.
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
