package resp

import (
	"net"
	"time"
)

// writeLoop writes what is queued until the connection ends.
func (c *conn) writeLoop(netConn net.Conn) {
	idleCheck := time.NewTicker(max(c.worker.pool.limits.IdleTimeout/idleChecks, time.Millisecond))
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

// nextWrite takes the next call from the queue, with the command that cancels it if that is what is to be written. No
// call: there is nothing to write yet; more is false when the connection has done its work.
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

// awaitWork waits until there may be something to write. A connection that has been idle for too long is to end.
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

// writeCall writes a call; false: the connection ends.
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

// writeCancel writes the command that cancels a call, which ends the call; false: the connection ends.
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

// write writes a frame of a call. Where its last byte has not left, a worker can't have read the call whole.
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

// markUnsent takes back that a call was sent. One that is being cancelled stays so.
func (c *conn) markUnsent(call *Call) {
	c.worker.mu.Lock()
	if call.state == sent {
		call.state = queued
	}
	c.worker.mu.Unlock()
}

// withhold ends a call that is not to be sent any more. A cancel command for it is not needed.
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
