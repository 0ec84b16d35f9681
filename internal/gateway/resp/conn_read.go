package resp

import (
	"net"
	"time"
)

// readLoop handles responses until the connection ends or a response is malformed.
func (c *conn) readLoop(netConn net.Conn) {
	limits := c.worker.pool.limits
	var buffered []byte
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := netConn.Read(chunk)
		buffered = append(buffered, chunk[:n]...)
		if n > 0 {
			c.worker.mu.Lock()
			c.worker.lastReceived = time.Now()
			c.worker.mu.Unlock()
		}
		for len(buffered) > 0 {
			elements, consumed, malformed := ParseArray(buffered, limits.MaxElementBytes)
			if malformed != nil {
				return
			}
			if consumed == 0 {
				break
			}
			c.handleResponse(elements)
			buffered = buffered[consumed:]
		}
		if len(buffered) == 0 {
			buffered = nil
		}
		if err != nil {
			return
		}
		// An incomplete response must be completed before the deadline, as it delays all responses after it.
		deadline := time.Time{}
		if len(buffered) > 0 {
			deadline = time.Now().Add(limits.IOTimeout)
		}
		if netConn.SetReadDeadline(deadline) != nil {
			return
		}
	}
}

// handleResponse completes the call to which a response belongs. A response that matches no call is dropped.
func (c *conn) handleResponse(elements [][]byte) {
	c.worker.mu.Lock()
	call := c.calls[string(elements[0])]
	if call == nil || call.state != sent {
		c.worker.pool.unmatched.Add(1)
		c.worker.mu.Unlock()
		return
	}
	c.complete(call)
	c.worker.mu.Unlock()
	call.done(Result{Elements: elements[1:]})
}
