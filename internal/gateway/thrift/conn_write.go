package thrift

import (
	"errors"
	"os"
	"time"
)

// writeChunkBytes is the number of bytes that must be written within Limits.WriteTimeout.
const writeChunkBytes = 16 << 10

// writeLoop writes the enqueued frames. It closes the connection if it is to be closed, or if a write fails.
func (c *Conn) writeLoop() {
	defer c.server.running.Done()
	unwritten, done := c.writeOutbound()
	if !done {
		return
	}
	c.conn.Close()
	c.server.remove(c)
	close(c.done)
	c.mu.Lock()
	c.setCloseReason(ClientDisconnected)
	unwritten += len(c.outbound)
	c.outbound, c.closed = nil, true
	c.released.Signal()
	event := CloseEvent{
		Reason:         c.closeReason,
		ClientAddr:     c.conn.RemoteAddr().String(),
		OpenCalls:      max(c.openAtClose, len(c.calls)),
		UnwrittenBytes: unwritten,
		Duration:       time.Since(c.acceptedAt),
	}
	c.server.unwritten.release(&c.writeAccount, unwritten)
	c.mu.Unlock()
	c.server.notifyClosed(event)
}

// writeOutbound writes until all frames are written or a write fails. done reports whether the connection is to be
// closed; unwritten is the number of bytes that it has taken from outbound and not written.
func (c *Conn) writeOutbound() (unwritten int, done bool) {
	for {
		outbound, last := c.takeOutbound()
		if len(outbound) == 0 {
			return 0, last
		}
		for len(outbound) > 0 { // in chunks, so that a client that reads slowly does not exceed the write timeout
			n, err := c.writeChunk(outbound[:min(len(outbound), writeChunkBytes)])
			outbound = outbound[n:]
			c.server.unwritten.release(&c.writeAccount, n)
			if err != nil {
				return len(outbound), true
			}
		}
	}
}

// takeOutbound takes the frames that are to be written. If there are none, the writer must end; last is true if it must
// close the connection.
func (c *Conn) takeOutbound() (outbound []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outbound, last = c.outbound, c.closing
	c.outbound = nil
	if c.writing && len(outbound) == 0 {
		c.lastActivity = time.Now()
	}
	c.writing = len(outbound) > 0
	c.writerRunning = c.writing || last
	c.wakeIdleReader()
	return outbound, last
}

// writeChunk writes a chunk within the write timeout, and returns the number of bytes written.
func (c *Conn) writeChunk(chunk []byte) (int, error) {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.conn.Write(chunk)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.setCloseReason(ClientNotReading)
		c.mu.Unlock()
	}
	return n, err
}
