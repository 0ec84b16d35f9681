package turns

import (
	"errors"
	"io"
	"net"
	"sync"

	"lupinpond/scheduler/ingress"
)

// Listen returns a listener whose connections wait for turns of a gate, for servers that know nothing of them: what a
// read returns is handled within a turn, which ends with the next read.
func Listen(listener net.Listener, gate *Gate) net.Listener { return turnListener{listener, gate} }

type turnListener struct {
	net.Listener
	gate *Gate
}

// Accept waits for the next connection.
func (l turnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &turnConn{Socket: NewSocket(conn), gate: l.gate, isNew: true}
	l.gate.Register(&c.flow)
	return c, nil
}

// turnConn is a connection whose reads wait for turns.
type turnConn struct {
	Socket
	gate *Gate
	flow ingress.Flow

	mu     sync.Mutex
	isNew  bool // nothing has been read
	inTurn bool
	closed bool
	cost   float64
}

// Read ends the turn of the connection, reads, and waits for a turn.
func (c *turnConn) Read(b []byte) (int, error) {
	c.endTurn()
	sparse := c.isNew
	c.isNew = false
	n, err := c.ReadNow(b)
	if errors.Is(err, ErrWouldBlock) {
		sparse = true
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	if _, ok := c.gate.Enter(&c.flow, sparse, c.ClosedByClient); !ok {
		return 0, io.EOF
	}
	c.mu.Lock()
	c.inTurn, c.cost = true, ingress.ReadCost+ingress.MessageCost+ingress.BytesCost(n)
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.endTurn()
	}
	return n, err
}

// endTurn ends the turn of the connection, if it has one.
func (c *turnConn) endTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inTurn {
		c.inTurn = false
		c.gate.Leave(&c.flow, c.cost)
	}
}

// Close closes the connection and ends its turn, if it has one.
func (c *turnConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.endTurn()
	return err
}
