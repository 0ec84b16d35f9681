package thrift

import (
	"errors"
	"os"
	"time"
)

// writeChunkBytes is what is written within Limits.WriteTimeout.
const writeChunkBytes = 16 << 10

// writeLoop writes what is enqueued until the connection ends, and closes it.
func (c *Conn) writeLoop() {
	defer c.server.running.Done()
	unwritten := c.writeOutbound()
	c.conn.Close()
	c.server.remove(c)
	close(c.done)
	c.mu.Lock()
	c.setCloseReason(ClientDisconnected)
	event := CloseEvent{
		Reason:         c.closeReason,
		ClientAddr:     c.conn.RemoteAddr().String(),
		OpenCalls:      max(c.openAtEnd, len(c.calls)),
		UnwrittenBytes: unwritten + len(c.outbound),
		Duration:       time.Since(c.acceptedAt),
	}
	c.mu.Unlock()
	c.server.notifyClosed(event)
}

// writeOutbound writes until nothing more is to be written or writing fails, and returns the number of bytes that it
// took and did not write.
func (c *Conn) writeOutbound() (unwritten int) {
	for {
		outbound, last := c.takeOutbound()
		if len(outbound) == 0 {
			if last {
				return 0
			}
			<-c.wakeup
			continue
		}
		for len(outbound) > 0 { // in chunks: a client that reads slowly is not one that does not read
			n, err := c.writeChunk(outbound[:min(len(outbound), writeChunkBytes)])
			outbound = outbound[n:]
			if err != nil {
				return len(outbound)
			}
		}
	}
}

// takeOutbound takes what is to be written; last: nothing comes after it.
func (c *Conn) takeOutbound() (outbound []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outbound, last = c.outbound, c.closing
	c.outbound = nil
	if c.writing && len(outbound) == 0 {
		c.lastActivity = time.Now()
	}
	c.writing = len(outbound) > 0
	c.wakeIdleReader()
	return outbound, last
}

// writeChunk writes a chunk within the write timeout.
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
