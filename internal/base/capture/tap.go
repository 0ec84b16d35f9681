// Package capture records what crosses sockets: the bytes of both directions with their times, and when connections
// open and close. It changes nothing on the way. A capture can be kept in memory or in a file.
package capture

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Side tells what is at the other end of a connection.
type Side uint8

// The sides of a gateway's connections.
const (
	Client Side = iota + 1
	Worker
	EndpointList
)

// Kind is what happened on a connection.
type Kind uint8

// The kinds. Crashed is of the whole gateway, on no connection: it has ended without closing any.
const (
	Opened Kind = iota + 1
	Read
	Written
	Closed
	Crashed
)

// Record is one thing that happened on a connection.
type Record struct {
	Kind     Kind          `cbor:"1,keyasint"`
	ConnID   uint64        `cbor:"2,keyasint"`
	Side     Side          `cbor:"3,keyasint"`
	Peer     string        `cbor:"4,keyasint,omitempty"` // of a worker's connection: its name
	At       time.Duration `cbor:"5,keyasint"`           // since the capture's base: when a write began or another call ended
	Duration time.Duration `cbor:"6,keyasint,omitempty"` // of a write
	Data     []byte        `cbor:"7,keyasint,omitempty"` // what passed; less than was asked for if it failed
	ByPeer   bool          `cbor:"8,keyasint,omitempty"` // of Closed: by the other end
}

// Tap records for one gateway. Its methods may be called by any goroutine. A nil Tap records nothing.
type Tap struct {
	base       time.Time
	mu         sync.Mutex
	lastConnID uint64
	sink       func(Record)
}

// NewTap returns a Tap that records to sink, with times since base. sink is called by one goroutine at a time.
func NewTap(base time.Time, sink func(Record)) *Tap { return &Tap{base: base, sink: sink} }

func (t *Tap) record(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sink(r)
}

func (t *Tap) elapsed() time.Duration { return time.Since(t.base) }

// Crashed records that the gateway has ended without closing its connections.
func (t *Tap) Crashed() {
	if t != nil {
		t.record(Record{Kind: Crashed, At: t.elapsed()})
	}
}

// Conn wraps a connection; peer names the worker at its other end.
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

// Listener wraps a listener for clients.
func (t *Tap) Listener(listener net.Listener) net.Listener {
	if t == nil {
		return listener
	}
	return &tappedListener{Listener: listener, tap: t}
}

// Dialer wraps a dialer for one peer.
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

// Accept returns the next connection, wrapped.
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

// Read records what was received once it is; the end of the stream counts as closed by the peer.
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

// Write records what was sent, when the call began and how long it took.
func (c *tappedConn) Write(data []byte) (int, error) {
	startedAt := c.tap.elapsed()
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.recordData(Written, startedAt, c.tap.elapsed()-startedAt, data[:n])
	}
	return n, err
}

// Close records that this side closes the connection, and closes it.
func (c *tappedConn) Close() error {
	c.recordClosed(false)
	return c.Conn.Close()
}

func (c *tappedConn) recordData(kind Kind, at, duration time.Duration, data []byte) {
	c.tap.record(Record{Kind: kind, ConnID: c.id, Side: c.side, Peer: c.peer, At: at, Duration: duration,
		Data: append([]byte(nil), data...)})
}

// recordClosed records the first closing, by whichever side.
func (c *tappedConn) recordClosed(byPeer bool) {
	c.closeOnce.Do(func() {
		c.tap.record(Record{Kind: Closed, ConnID: c.id, Side: c.side, Peer: c.peer, At: c.tap.elapsed(), ByPeer: byPeer})
	})
}
