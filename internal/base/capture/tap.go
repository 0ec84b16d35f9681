// Package capture records the traffic of connections: the bytes in both directions with their times, and when
// connections are opened and closed. It does not change the traffic. A capture is kept in memory or in a file.
package capture

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Side is the kind of peer of a gateway's connection.
type Side uint8

// The kinds of peers. EndpointList is the source of the endpoint list.
const (
	Client Side = iota + 1
	Worker
	EndpointList
)

// Kind is the kind of a Record.
type Kind uint8

// The kinds of records. Crashed belongs to no connection: the gateway has ended without closing its connections.
const (
	Opened Kind = iota + 1
	Read
	Written
	Closed
	Crashed
)

// Record is an event on a connection.
type Record struct {
	Kind     Kind          `cbor:"1,keyasint"`
	ConnID   uint64        `cbor:"2,keyasint"`
	Side     Side          `cbor:"3,keyasint"`
	Peer     string        `cbor:"4,keyasint,omitempty"` // name of the worker at the other end
	At       time.Duration `cbor:"5,keyasint"`           // time since base: start of a write or close, end of another call
	Duration time.Duration `cbor:"6,keyasint,omitempty"` // Written: duration of the write
	Data     []byte        `cbor:"7,keyasint,omitempty"` // bytes read or written; fewer than requested if the call failed
	ByPeer   bool          `cbor:"8,keyasint,omitempty"` // Closed: the peer closed the connection
}

// Tap records the connections of one gateway. It is safe for concurrent use. A nil Tap records nothing.
type Tap struct {
	base       time.Time
	mu         sync.Mutex
	lastConnID uint64
	sink       func(Record)
}

// NewTap returns a Tap that passes records to sink, with times relative to base. Calls of sink are serialized.
func NewTap(base time.Time, sink func(Record)) *Tap { return &Tap{base: base, sink: sink} }

func (t *Tap) record(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sink(r)
}

func (t *Tap) elapsed() time.Duration { return time.Since(t.base) }

// Crashed records that the gateway ended without closing its connections.
func (t *Tap) Crashed() {
	if t != nil {
		t.record(Record{Kind: Crashed, At: t.elapsed()})
	}
}

// Conn returns a connection that records the traffic of conn. peer is the name of the worker at its other end.
func (t *Tap) Conn(conn net.Conn, side Side, peer string) net.Conn {
	if t == nil {
		return conn
	}
	t.mu.Lock()
	t.lastConnID++
	tapped := &tappedConn{Conn: conn, tap: t, id: t.lastConnID, side: side, peer: peer}
	t.mu.Unlock()
	t.record(Record{Kind: Opened, ConnID: tapped.id, Side: side, Peer: peer, At: t.elapsed()})
	return tapped
}

// Listener returns a listener that records the client connections that it accepts.
func (t *Tap) Listener(listener net.Listener) net.Listener {
	if t == nil {
		return listener
	}
	return &tappedListener{Listener: listener, tap: t}
}

// Dialer returns a dial function that records the connections to one peer.
func (t *Tap) Dialer(side Side, peer string, dial func(context.Context, string) (net.Conn, error),
) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return t.Conn(conn, side, peer), nil
	}
}

type tappedListener struct {
	net.Listener
	tap *Tap
}

// Accept returns the next connection, whose traffic is recorded.
func (l *tappedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tap.Conn(conn, Client, ""), nil
}

type tappedConn struct {
	net.Conn
	tap       *Tap
	id        uint64
	side      Side
	peer      string
	closeOnce sync.Once
}

// Read records the received data after reading it. An error other than a timeout or a local close, including the end of
// the stream, is recorded as a close by the peer.
func (c *tappedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.recordData(Read, c.tap.elapsed(), 0, buffer[:n])
	}
	if err != nil && !errors.Is(err, net.ErrClosed) && !isTimeout(err) {
		c.recordClosed(true)
	}
	return n, err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Write records the sent data, the start time and the duration of the write.
func (c *tappedConn) Write(data []byte) (int, error) {
	startedAt := c.tap.elapsed()
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.recordData(Written, startedAt, c.tap.elapsed()-startedAt, data[:n])
	}
	return n, err
}

// Close records that the gateway closes the connection, and closes it.
func (c *tappedConn) Close() error {
	c.recordClosed(false)
	return c.Conn.Close()
}

func (c *tappedConn) recordData(kind Kind, at, duration time.Duration, data []byte) {
	c.tap.record(Record{Kind: kind, ConnID: c.id, Side: c.side, Peer: c.peer, At: at, Duration: duration,
		Data: append([]byte(nil), data...)})
}

// recordClosed records that the connection was closed. Only the first call has an effect.
func (c *tappedConn) recordClosed(byPeer bool) {
	c.closeOnce.Do(func() {
		c.tap.record(Record{Kind: Closed, ConnID: c.id, Side: c.side, Peer: c.peer, At: c.tap.elapsed(), ByPeer: byPeer})
	})
}
