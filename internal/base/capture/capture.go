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
	List
)

// Kind is what happened on a connection.
type Kind uint8

// The kinds. Killed is of the whole front end, on no connection: it is gone without a word.
const (
	Opened Kind = iota + 1
	Read
	Wrote
	Closed
	Killed
)

// Record is one thing that happened on a connection.
type Record struct {
	Kind Kind          `cbor:"1,keyasint"`
	Conn uint64        `cbor:"2,keyasint"`
	Side Side          `cbor:"3,keyasint"`
	Peer string        `cbor:"4,keyasint,omitempty"` // of a worker's connection: its name
	At   time.Duration `cbor:"5,keyasint"`           // since the capture's base: when the call began (Wrote) or ended
	Took time.Duration `cbor:"6,keyasint,omitempty"` // of a write
	Data []byte        `cbor:"7,keyasint,omitempty"` // what passed; less than was asked for if it failed
	Far  bool          `cbor:"8,keyasint,omitempty"` // of Closed: by the other end
}

// Tap records for one front end. Its methods may be called by any goroutine. A nil Tap records nothing.
type Tap struct {
	base time.Time
	mu   sync.Mutex
	conn uint64
	sink func(Record)
}

// NewTap records to sink, with times since base. sink is called by one goroutine at a time.
func NewTap(base time.Time, sink func(Record)) *Tap { return &Tap{base: base, sink: sink} }

func (t *Tap) note(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sink(r)
}

// Killed notes that the front end is gone without a word.
func (t *Tap) Killed() {
	if t != nil {
		t.note(Record{Kind: Killed, At: time.Since(t.base)})
	}
}

// Conn wraps a connection; peer names the worker at its other end.
func (t *Tap) Conn(conn net.Conn, side Side, peer string) net.Conn {
	if t == nil {
		return conn
	}
	t.mu.Lock()
	t.conn++
	c := &tapped{Conn: conn, tap: t, id: t.conn, side: side, peer: peer}
	t.mu.Unlock()
	t.note(Record{Kind: Opened, Conn: c.id, Side: side, Peer: peer, At: time.Since(t.base)})
	return c
}

// Listener wraps a listener of clients.
func (t *Tap) Listener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &listener{Listener: l, tap: t}
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

type listener struct {
	net.Listener
	tap *Tap
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tap.Conn(conn, Client, ""), nil
}

type tapped struct {
	net.Conn
	tap  *Tap
	id   uint64
	side Side
	peer string
	once sync.Once
}

func (c *tapped) note(kind Kind, at, took time.Duration, data []byte) {
	c.tap.note(Record{Kind: kind, Conn: c.id, Side: c.side, Peer: c.peer, At: at, Took: took,
		Data: append([]byte(nil), data...)})
}

// Read notes what came after it has come; the end of the stream counts as closed by the other side.
func (c *tapped) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.note(Read, time.Since(c.tap.base), 0, b[:n])
	}
	var slow net.Error
	if err != nil && !errors.Is(err, net.ErrClosed) && !(errors.As(err, &slow) && slow.Timeout()) {
		c.closed(true)
	}
	return n, err
}

// Write notes what left, when it began to leave and how long that took.
func (c *tapped) Write(b []byte) (int, error) {
	at := time.Since(c.tap.base)
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.note(Wrote, at, time.Since(c.tap.base)-at, b[:n])
	}
	return n, err
}

func (c *tapped) Close() error {
	c.closed(false)
	return c.Conn.Close()
}

func (c *tapped) closed(far bool) {
	c.once.Do(func() {
		c.tap.note(Record{Kind: Closed, Conn: c.id, Side: c.side, Peer: c.peer, At: time.Since(c.tap.base), Far: far})
	})
}

const (
	magic   = "lupinpond capture"
	version = 1
)

// Head opens a capture file.
type Head struct {
	Magic   string    `cbor:"1,keyasint"`
	Version int       `cbor:"2,keyasint"`
	Front   string    `cbor:"3,keyasint"` // name of the front end's life: a restart is another one
	Index   int       `cbor:"4,keyasint"` // its number among the front ends
	Base    time.Time `cbor:"5,keyasint"` // what the times count from
}

// File writes a capture to a file, compressed.
type File struct {
	zip *zstd.Encoder
	enc *cbor.Encoder
	err error
}

// NewFile begins a capture file on out; Close ends it but not out.
func NewFile(out io.Writer, h Head) (*File, error) {
	zip, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	h.Magic, h.Version = magic, version
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode() // else times are cut to whole seconds
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	f := &File{zip: zip, enc: mode.NewEncoder(zip)}
	if err := f.enc.Encode(h); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return f, nil
}

// Add writes a record; an error is kept for Close.
func (f *File) Add(r Record) {
	if f.err == nil {
		f.err = f.enc.Encode(r)
	}
}

// Close ends the file and returns the first error.
func (f *File) Close() error {
	if err := f.zip.Close(); f.err == nil {
		f.err = err
	}
	if f.err != nil {
		return fmt.Errorf("capture: %w", f.err)
	}
	return nil
}

// Load reads a capture file. torn says that it ends inside a record, as after a kill; what came before is returned.
func Load(in io.Reader) (h Head, records []Record, torn bool, err error) {
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
		case r.Kind < Opened || r.Kind > Killed:
			return h, records, false, fmt.Errorf("capture: record %d: unknown kind %d", len(records)+1, r.Kind)
		}
		records = append(records, r)
	}
}
