package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// CloseReason tells why a connection ended.
type CloseReason int

// The reasons.
const (
	ClientLeft   CloseReason = iota // its client closed or reset it
	Idle                            // it was silent for too long
	GaveWay                         // it was idle, and a new one needed its place
	Drained                         // it was idle, and the server ends
	Malformed                       // what came can't be read or is not allowed
	Unfinished                      // a message began and did not go on
	NotReading                      // its client does not read what it is sent
	Stopped                         // the server ended at once
	NoPlace                         // it was new, and there was no place for it
	CloseReasons                    // how many there are
)

var closeReasonNames = [CloseReasons]string{"client_left", "idle", "gave_way", "drained", "malformed", "unfinished", "not_reading",
	"stopped", "no_place"}

// String is the reason's name in logs and metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// Ours tells that this side closed the connection though its client had done nothing wrong.
func (r CloseReason) Ours() bool {
	return r == Idle || r == GaveWay || r == Drained || r == Unfinished || r == Stopped
}

// Closed describes the end of a connection.
type Closed struct {
	Reason    CloseReason
	Client    string // its address
	Open      int    // calls without an answer
	Unwritten int    // bytes of answers
	Lasted    time.Duration
}

var (
	errGaveWay = errors.New("thrift: a new connection needs the place")
	errIdle    = errors.New("thrift: silent for too long")
	errDrained = errors.New("thrift: the server ends")
)

const (
	readAhead = 2048     // read at a time
	writePart = 16 << 10 // written within Limits.Write
)

// Conn is one connection.
type Conn struct {
	server *Server
	conn   net.Conn
	source source
	kick   chan struct{}
	ended  chan struct{} // closed once the connection is
	came   time.Time

	mu      sync.Mutex
	calls   map[int32]func() // open, with what to do when the client takes one back
	last    int32            // the highest number that a call came under
	out     []byte           // to be written
	writing bool             // some is being written
	closing bool             // nothing is written after out
	gone    bool
	asked   bool // a whole message came
	rests   bool // the reader waits for a message
	began   time.Time
	heard   time.Time
	evicted bool // asked to give way to a new one
	reason  CloseReason
	closed  bool // reason stands
	lost    int  // calls that were open at the end
}

func newConn(s *Server, conn net.Conn) *Conn {
	now := time.Now()
	return &Conn{server: s, conn: conn, source: source{Conn: conn}, calls: map[int32]func(){}, kick: make(chan struct{}, 1),
		ended: make(chan struct{}), heard: now, came: now}
}

// Begin opens a call; left is called when the client takes it back or is gone. It is refused where the number is not
// higher than those before, or too many are open.
func (c *Conn) Begin(seq int32, left func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seq <= c.last || len(c.calls) >= c.server.limits.Open || c.gone {
		return false
	}
	c.last = seq
	c.calls[seq] = left
	c.server.open.Add(1)
	return true
}

// Cancel ends a call that the client takes back: no answer is owed.
func (c *Conn) Cancel(seq int32) {
	c.mu.Lock()
	left := c.calls[seq]
	c.end(seq)
	c.mu.Unlock()
	if left != nil {
		left()
	}
}

func (c *Conn) end(seq int32) {
	if _, is := c.calls[seq]; is {
		delete(c.calls, seq)
		c.server.open.Add(-1)
		c.heard = time.Now()
		c.hasten()
	}
}

// idle tells that nothing is owed on it: no call is open and all is written. The lock is held.
func (c *Conn) idle() bool { return len(c.calls) == 0 && len(c.out) == 0 && !c.writing }

// hasten has a reader that rests with nothing owed look once more, and end, where the server drains or the connection is to
// give way. The lock is held.
func (c *Conn) hasten() {
	if c.rests && c.idle() && (c.evicted || c.server.draining.Load()) {
		_ = c.conn.SetReadDeadline(time.Now()) // one that is closed has its error already
	}
}

// because notes why the connection ends; the first reason stands. The lock is held.
func (c *Conn) because(r CloseReason) {
	if !c.closed {
		c.closed, c.reason = true, r
	}
}

// Answer ends an open call with its answer; one that is not open any more gets none.
func (c *Conn) Answer(seq int32, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, is := c.calls[seq]; is {
		c.put(frame)
		c.end(seq)
	}
}

// Send sends a frame that ends no call.
func (c *Conn) Send(frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(frame)
}

// Close closes the connection once what it has to send is written, as its client has done what it must not; open calls are
// taken back.
func (c *Conn) Close() {
	c.mu.Lock()
	c.because(Malformed)
	c.closing = true
	c.mu.Unlock()
	c.wake()
}

func (c *Conn) put(frame []byte) {
	if c.gone || c.closing {
		return
	}
	if len(c.out) > (c.server.limits.Open+1)*c.server.limits.Frame { // it asks but does not read
		c.because(NotReading)
		c.conn.Close()
		return
	}
	c.out = append(c.out, frame...)
	c.wake()
}

func (c *Conn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// read takes messages until the connection ends, and takes back what is open then.
func (c *Conn) read() {
	defer c.server.workers.Done()
	reason := c.messages()
	c.mu.Lock()
	c.because(reason)
	c.gone, c.closing = true, true
	c.lost = len(c.calls)
	var left []func()
	for seq, f := range c.calls {
		left = append(left, f)
		c.end(seq)
	}
	c.mu.Unlock()
	for _, f := range left {
		f()
	}
	c.wake()
}

// messages takes messages until there is a reason to end.
func (c *Conn) messages() CloseReason {
	in := bufio.NewReaderSize(&c.source, readAhead)
	for {
		frame, err := c.next(in)
		if err != nil {
			return reasonOf(err)
		}
		m, err := Parse(frame)
		if err != nil {
			c.Send(Refusal("", 0, ProtocolError, err.Error()))
			return Malformed
		}
		c.mu.Lock()
		c.asked, c.heard = true, time.Now()
		done := c.closing
		c.mu.Unlock()
		if done {
			return Malformed
		}
		c.server.handle(c, m)
	}
}

func reasonOf(err error) CloseReason {
	switch {
	case errors.Is(err, errGaveWay):
		return GaveWay
	case errors.Is(err, errIdle):
		return Idle
	case errors.Is(err, errDrained):
		return Drained
	case errors.Is(err, ErrMalformed):
		return Malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Unfinished
	}
	return ClientLeft
}

// next reads a frame. A length that no message has ends the connection before a byte of it is read.
func (c *Conn) next(in *bufio.Reader) ([]byte, error) {
	if err := c.rest(in); err != nil {
		return nil, err
	}
	var head [4]byte
	if err := c.readFull(in, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > uint32(c.server.limits.Frame) {
		return nil, malformed("a frame of that length")
	}
	frame := make([]byte, n)
	err := c.readFull(in, frame)
	return frame, err
}

// readFull reads a part of a message. One that does not go on ends the connection, but not while something else is owed on it.
func (c *Conn) readFull(in *bufio.Reader, b []byte) error {
	for have := 0; ; {
		c.mu.Lock()
		until := c.began.Add(c.server.limits.Mute)
		if !c.idle() {
			until = time.Now().Add(c.server.limits.Mute)
		}
		err := c.conn.SetReadDeadline(until)
		c.mu.Unlock()
		if err != nil {
			return err
		}
		n, err := io.ReadFull(in, b[have:])
		have += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.mayEnd() {
			return err
		}
	}
}

// mayEnd tells that nothing is owed on the connection; else it does not give way either.
func (c *Conn) mayEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle() {
		return true
	}
	c.evicted = false
	return false
}

// rest waits for the first byte of a message; an error ends the connection. A connection that may end for its silence, or
// as the server drains, is looked at once more: what came while the process stood still is there, though its time is up.
func (c *Conn) rest(in *bufio.Reader) error {
	for {
		until, end := c.restUntil()
		if end == errGaveWay {
			if !c.source.look() {
				return end
			}
			end, until = nil, time.Now().Add(c.server.limits.Mute)
		}
		if err := c.conn.SetReadDeadline(until); err != nil {
			return err
		}
		if end == nil { // a call may have ended, or Drain been called, since
			c.mu.Lock()
			c.hasten()
			c.mu.Unlock()
		}
		_, err := in.Peek(1)
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && end != nil {
			err = end
		}
		if err == nil || !timeout || end != nil {
			c.mu.Lock()
			c.rests, c.began = false, time.Now()
			if err == nil {
				c.evicted = false
			}
			c.mu.Unlock()
			return err
		}
	}
}

// restUntil tells how long to wait for a message, and why the connection ends if none comes by then; nil: it does not.
func (c *Conn) restUntil() (until time.Time, end error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.server.limits.Idle
	if !c.asked {
		wait = c.server.limits.Mute
	}
	now := time.Now()
	idle := c.idle()
	c.evicted = c.evicted && idle
	c.rests = false
	switch {
	case c.evicted:
		return now, errGaveWay
	case idle && c.server.draining.Load():
		return now.Add(c.server.limits.Rest), errDrained
	case idle && now.Sub(c.heard) >= wait:
		return now.Add(c.server.limits.Rest), errIdle
	case idle:
		until = c.heard.Add(wait)
	default:
		until = now.Add(wait)
	}
	c.rests = true
	return until, nil
}

// giveWay asks a connection on which nothing is owed to end, if nothing comes on it; false: it must not.
func (c *Conn) giveWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() || c.gone || c.closing {
		return false
	}
	c.evicted = true
	_ = c.conn.SetReadDeadline(time.Now()) // one that is closed has its error already
	return true
}

// write writes what is to be written until the connection ends, and closes it.
func (c *Conn) write() {
	defer c.server.workers.Done()
	unwritten := c.answers()
	c.conn.Close()
	c.server.forget(c)
	close(c.ended)
	c.mu.Lock()
	c.because(ClientLeft)
	closed := Closed{Reason: c.reason, Client: c.conn.RemoteAddr().String(), Open: max(c.lost, len(c.calls)),
		Unwritten: unwritten + len(c.out), Lasted: time.Since(c.came)}
	c.mu.Unlock()
	c.server.tell(closed)
}

// answers writes until nothing more is to be written or it can't be, and tells how many bytes of the last part were not.
func (c *Conn) answers() (unwritten int) {
	for {
		out, last := c.take()
		if len(out) == 0 {
			if last {
				return 0
			}
			<-c.kick
			continue
		}
		for len(out) > 0 { // a client that reads slowly is not one that does not read
			n, err := c.writePart(out[:min(len(out), writePart)])
			out = out[n:]
			if err != nil {
				return len(out)
			}
		}
	}
}

// writePart writes a part within its time.
func (c *Conn) writePart(part []byte) (int, error) {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.Write)); err != nil {
		return 0, err
	}
	n, err := c.conn.Write(part)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.because(NotReading)
		c.mu.Unlock()
	}
	return n, err
}

// take takes what is to be written; last: nothing comes after it.
func (c *Conn) take() (out []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, last = c.out, c.closing
	c.out = nil
	if c.writing && len(out) == 0 {
		c.heard = time.Now()
	}
	c.writing = len(out) > 0
	c.hasten()
	return out, last
}

// source reads from a connection, and can look whether something is there without waiting.
type source struct {
	net.Conn
	ahead []byte
}

// Read reads what a look has found first.
func (s *source) Read(b []byte) (int, error) {
	if len(s.ahead) > 0 {
		n := copy(b, s.ahead)
		s.ahead = s.ahead[n:]
		return n, nil
	}
	return s.Conn.Read(b)
}

// look tells whether something is there to be read now, though the time for reading may be up. Where the system does not tell,
// nothing is.
func (s *source) look() bool {
	raw, is := s.Conn.(syscall.Conn)
	if !is || s.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	b := make([]byte, readAhead)
	n := 0
	err = control.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	if err != nil || n <= 0 {
		return false
	}
	s.ahead = b[:n]
	return true
}
