package thrift

import (
	"time"

	"lupinpond/scheduler/ingress"
)

// turnReader reads from a connection. What it returns is handled within a turn of the connection, which ends with the
// next read.
type turnReader struct{ conn *Conn }

// Read reads from the connection and waits for a turn.
func (r turnReader) Read(b []byte) (int, error) {
	c := r.conn
	c.endTurn()
	read := c.peeker.Read
	if c.nonBlocking {
		read = c.peeker.readNow
	}
	n, err := read(b)
	if n == 0 {
		return n, err
	}
	if waited := c.server.gate.enter(&c.flow); waited > 0 && c.behindSince.IsZero() {
		c.behindSince = time.Now().Add(-waited)
	}
	c.inTurn, c.cost = true, ingress.BytesCost(n)
	return n, err
}

// endTurn ends the turn of the connection, if it has one.
func (c *Conn) endTurn() {
	if c.inTurn {
		c.inTurn = false
		c.server.gate.leave(&c.flow, c.cost)
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

// CountRefusal adds the cost of a refusal to the message that is being handled. It must be called by the server's
// handler.
func (c *Conn) CountRefusal() { c.cost += ingress.RefusalCost }
