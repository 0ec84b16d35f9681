// Package capture records what crosses sockets: the bytes of both directions with their times, and when connections
// open and close. It changes nothing on the way. A recording can be kept in memory or in a file.
package capture

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Side tells what is at the other end of a connection.
type Side uint8

// The sides of a front end's connections.
const (
	Client Side = iota + 1
	Worker
	EndpointList
)

// Kind is what happened on a connection.
type Kind uint8

// The kinds. Killed is of the whole front end, on no connection: it is gone without a word.
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
	At       time.Duration `cbor:"5,keyasint"`           // since the capture's base: when the call began (Wrote) or ended
	Duration time.Duration `cbor:"6,keyasint,omitempty"` // of a write
	Data     []byte        `cbor:"7,keyasint,omitempty"` // what passed; less than was asked for if it failed
	ByPeer   bool          `cbor:"8,keyasint,omitempty"` // of Closed: by the other end
}

// Tap records for one front end. Its methods may be called by any goroutine. A nil Tap records nothing.
type Tap struct {
	base       time.Time
	mu         sync.Mutex
	lastConnID uint64
	sink       func(Record)
}

// NewTap records to sink, with times since base. sink is called by one goroutine at a time.
func NewTap(base time.Time, sink func(Record)) *Tap { return &Tap{base: base, sink: sink} }

func (t *Tap) record(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sink(r)
}

// Crashed notes that the front end is gone without a word.
func (t *Tap) Crashed() {
	if t != nil {
		t.record(Record{Kind: Crashed, At: time.Since(t.base)})
	}
}

// Conn wraps a connection; peer names the worker at its other end.
func (t *Tap) Conn(conn net.Conn, side Side, peer string) net.Conn {
	if t == nil {
		return conn
	}
	t.mu.Lock()
	t.lastConnID++
	c := &tappedConn{Conn: conn, tap: t, id: t.lastConnID, side: side, peer: peer}
	t.mu.Unlock()
	t.record(Record{Kind: Opened, ConnID: c.id, Side: side, Peer: peer, At: time.Since(t.base)})
	return c
}

// Listener wraps a listener of clients.
func (t *Tap) Listener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &tappedListener{Listener: l, tap: t}
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

func (l *tappedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tap.Conn(conn, Client, ""), nil
}

type tappedConn struct {
	net.Conn
	tap  *Tap
	id   uint64
	side Side
	peer string
	once sync.Once
}

func (c *tappedConn) record(kind Kind, at, took time.Duration, data []byte) {
	c.tap.record(Record{Kind: kind, ConnID: c.id, Side: c.side, Peer: c.peer, At: at, Duration: took,
		Data: append([]byte(nil), data...)})
}

// Read notes what came after it has come; the end of the stream counts as closed by the other side.
func (c *tappedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.record(Read, time.Since(c.tap.base), 0, b[:n])
	}
	var slow net.Error
	if err != nil && !errors.Is(err, net.ErrClosed) && !(errors.As(err, &slow) && slow.Timeout()) {
		c.closed(true)
	}
	return n, err
}

// Write notes what left, when it began to leave and how long that took.
func (c *tappedConn) Write(b []byte) (int, error) {
	at := time.Since(c.tap.base)
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.record(Written, at, time.Since(c.tap.base)-at, b[:n])
	}
	return n, err
}

func (c *tappedConn) Close() error {
	c.closed(false)
	return c.Conn.Close()
}

func (c *tappedConn) closed(far bool) {
	c.once.Do(func() {
		c.tap.record(Record{Kind: Closed, ConnID: c.id, Side: c.side, Peer: c.peer, At: time.Since(c.tap.base), ByPeer: far})
	})
}

const (
	magic   = "lupinpond capture"
	version = 1
)

// Header opens a capture file.
type Header struct {
	Magic        string    `cbor:"1,keyasint"`
	Version      int       `cbor:"2,keyasint"`
	Incarnation  string    `cbor:"3,keyasint"` // name of the front end's life: a restart is another one
	GatewayIndex int       `cbor:"4,keyasint"` // its number among the front ends
	Base         time.Time `cbor:"5,keyasint"` // what the times count from
}

// Writer writes a capture to a file, compressed.
type Writer struct {
	compressor *zstd.Encoder
	encoder    *cbor.Encoder
	err        error
}

// NewWriter begins a capture file on out; Close ends it but not out.
func NewWriter(out io.Writer, h Header) (*Writer, error) {
	zip, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	h.Magic, h.Version = magic, version
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode() // else times are cut to whole seconds
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	f := &Writer{compressor: zip, encoder: mode.NewEncoder(zip)}
	if err := f.encoder.Encode(h); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return f, nil
}

// Add writes a record; an error is kept for Close.
func (f *Writer) Add(r Record) {
	if f.err == nil {
		f.err = f.encoder.Encode(r)
	}
}

// Close ends the file and returns the first error.
func (f *Writer) Close() error {
	if err := f.compressor.Close(); f.err == nil {
		f.err = err
	}
	if f.err != nil {
		return fmt.Errorf("capture: %w", f.err)
	}
	return nil
}

// ReadAll reads a capture file. torn says that it ends inside a record, as after a kill; what came before is returned.
func ReadAll(in io.Reader) (h Header, records []Record, torn bool, err error) {
	zip, err := zstd.NewReader(bufio.NewReader(in), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(1<<28))
	if err != nil {
		return h, nil, false, fmt.Errorf("capture: %w", err)
	}
	defer zip.Close()
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 16, MaxArrayElements: 16}.DecMode()
	if err != nil {
		return h, nil, false, err
	}
	dec := mode.NewDecoder(zip)
	if err := dec.Decode(&h); err != nil {
		return h, nil, false, fmt.Errorf("capture: header: %w", err)
	}
	if h.Magic != magic || h.Version != version {
		return h, nil, false, fmt.Errorf("capture: header: %q version %d, this program reads %q version %d",
			h.Magic, h.Version, magic, version)
	}
	for {
		var r Record
		err := dec.Decode(&r)
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return h, records, true, nil
		case errors.Is(err, io.EOF):
			return h, records, false, nil
		case err != nil:
			return h, records, false, fmt.Errorf("capture: record %d: %w", len(records)+1, err)
		case r.Kind < Opened || r.Kind > Crashed:
			return h, records, false, fmt.Errorf("capture: record %d: unknown kind %d", len(records)+1, r.Kind)
		}
		records = append(records, r)
	}
}
