package thrift

import (
	"io"
	"time"

	"lupinpond/scheduler/ingress"
)

// readMode determines what a read of a connection does when no data has arrived.
type readMode int

const (
	readWaiting   readMode = iota // it waits, and for a turn after that
	readArrived                   // it returns turns.ErrWouldBlock, and waits for a turn otherwise
	readSameFrame                 // it returns turns.ErrWouldBlock, and needs no new turn otherwise
)

// turnReader reads from a connection. What it returns is handled within a turn of the connection, which ends with the
// next read, unless that continues a frame.
type turnReader struct{ conn *Conn }

// Read reads from the connection, as its mode determines.
func (r turnReader) Read(b []byte) (int, error) {
	c := r.conn
	if c.readMode == readSameFrame {
		n, err := c.peeker.ReadNow(b)
		c.cost += ingress.BytesCost(n)
		return n, err
	}
	c.endTurn()
	read := c.peeker.Read
	if c.readMode == readArrived {
		read = c.peeker.ReadNow
	}
	n, err := read(b)
	if n == 0 {
		return n, err
	}
	waited, ok := c.server.gate.Enter(&c.flow, c.sparse, c.peeker.ClosedByClient)
	c.sparse = false
	if !ok {
		return 0, io.EOF
	}
	c.inTurn, c.cost = true, ingress.ReadCost+ingress.BytesCost(n)
	c.addWait(waited)
	return n, err
}

// addWait records that data has waited for a turn.
func (c *Conn) addWait(waited time.Duration) {
	if waited == 0 {
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = time.Now().Add(-waited)
	}
	c.mu.Lock()
	c.messageBegan = c.messageBegan.Add(waited) // the client has that much more time for its message
	c.mu.Unlock()
}

// endTurn ends the turn of the connection, if it has one.
func (c *Conn) endTurn() {
	if c.inTurn {
		c.inTurn = false
		c.server.gate.Leave(&c.flow, c.cost)
	}
}

// Delay returns how long the message that is being handled may have waited for a turn of its connection. It must be
// called by the server's handler.
func (c *Conn) Delay() time.Duration {
	if c.behindSince.IsZero() {
		return 0
	}
	return time.Since(c.behindSince)
}

// CountRejection adds the cost of a rejection to the message that is being handled. It must be called by the server's
// handler.
func (c *Conn) CountRejection() { c.cost += ingress.RejectionCost }
