package resp

import (
	"net"
	"time"
)

// writeLoop writes the queued messages and cancel commands until the connection is to be closed.
func (c *conn) writeLoop(netConn net.Conn) {
	idleCheck := time.NewTicker(max(c.worker.pool.limits.IdleTimeout/idleChecksPerTimeout, time.Millisecond))
	defer idleCheck.Stop()
	for {
		call, cancelCommand, more := c.nextWrite()
		switch {
		case !more:
			return
		case call == nil:
			c.awaitWork(idleCheck.C)
		case cancelCommand != nil:
			if !c.writeCancel(netConn, call, cancelCommand) {
				return
			}
		case !c.writeCall(netConn, call):
			return
		}
	}
}

// nextWrite takes the next call from the queue. cancelCommand is not nil if it is to be written instead of the call's
// message. call is nil if the queue is empty. more is false if the connection is to be closed.
func (c *conn) nextWrite() (call *Call, cancelCommand []byte, more bool) {
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	if c.disconnected || c.closing && len(c.calls) == 0 {
		return nil, nil, false
	}
	if len(c.queue) == 0 {
		return nil, nil, true
	}
	call, c.queue = c.queue[0], c.queue[1:]
	if call.state == cancelling {
		return call, call.cancelCommand, true
	}
	call.state = sent
	return call, nil, true
}

// awaitWork waits until there may be something to write. It marks the connection as closing if that has been idle for
// longer than the idle timeout.
func (c *conn) awaitWork(idleCheck <-chan time.Time) {
	select {
	case <-c.wakeup:
	case <-idleCheck:
		c.worker.mu.Lock()
		if len(c.calls) == 0 && time.Since(c.lastUsed) > c.worker.pool.limits.IdleTimeout {
			c.closing = true
		}
		c.worker.mu.Unlock()
	}
}

// writeCall writes the message of a call. It returns false if the connection is to be closed.
func (c *conn) writeCall(netConn net.Conn, call *Call) bool {
	frame := call.Encode()
	if frame == nil {
		c.withhold(call)
		return true
	}
	timeout := c.worker.pool.limits.IOTimeout
	if call.WriteTimeout > 0 {
		timeout = min(timeout, call.WriteTimeout)
	}
	if !c.write(netConn, call, frame, timeout) {
		return false
	}
	if call.OnWritten != nil {
		call.OnWritten()
	}
	return true
}

// writeCancel writes the cancel command of a call and ends the call. It returns false if the connection is to be
// closed.
func (c *conn) writeCancel(netConn net.Conn, call *Call, command []byte) bool {
	if !c.write(netConn, call, command, c.worker.pool.limits.IOTimeout) {
		return false
	}
	c.worker.mu.Lock()
	c.complete(call)
	c.worker.mu.Unlock()
	call.done(Result{Outcome: Cancelled})
	return true
}

// write writes a frame of a call and reports whether that succeeded. If the last byte was not written, the call is
// marked as not sent, as the worker can't have read the complete frame.
func (c *conn) write(netConn net.Conn, call *Call, frame []byte, timeout time.Duration) bool {
	if netConn.SetWriteDeadline(time.Now().Add(timeout)) != nil {
		c.markUnsent(call)
		return false
	}
	n, err := netConn.Write(frame)
	if err != nil && n < len(frame) {
		c.markUnsent(call)
	}
	return err == nil
}

// markUnsent marks a call as not sent, unless it is being cancelled.
func (c *conn) markUnsent(call *Call) {
	c.worker.mu.Lock()
	if call.state == sent {
		call.state = queued
	}
	c.worker.mu.Unlock()
}

// withhold ends a call whose message is withheld, and drops its cancel command if it has one.
func (c *conn) withhold(call *Call) {
	c.worker.mu.Lock()
	if call.state == completed {
		c.worker.mu.Unlock()
		return
	}
	c.dequeue(call)
	c.complete(call)
	c.worker.mu.Unlock()
	call.done(Result{Outcome: Withheld})
}
