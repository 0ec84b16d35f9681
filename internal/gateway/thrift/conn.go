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
	ClientDisconnected CloseReason = iota // its client closed or reset it
	IdleTimedOut                          // it was silent for too long
	Evicted                               // it was idle, and a new one needed its place
	Drained                               // it was idle, and the server ends
	Malformed                             // what came can't be read or is not allowed
	IncompleteMessage                     // a message began and did not go on
	ClientNotReading                      // its client does not read what it is sent
	ServerStopped                         // the server ended at once
	NoCapacity                            // it was new, and there was no place for it
	CloseReasonCount                      // how many there are
)

var closeReasonNames = [CloseReasonCount]string{"client_left", "idle", "gave_way", "drained", "malformed", "unfinished", "not_reading",
	"stopped", "no_place"}

// String is the reason's name in logs and metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// ByServer tells that this side closed the connection though its client had done nothing wrong.
func (r CloseReason) ByServer() bool {
	return r == IdleTimedOut || r == Evicted || r == Drained || r == IncompleteMessage || r == ServerStopped
}

// CloseEvent describes the end of a connection.
type CloseEvent struct {
	Reason         CloseReason
	ClientAddr     string // its address
	OpenCalls      int    // calls without an answer
	UnwrittenBytes int    // bytes of answers
	Duration       time.Duration
}

var (
	errEvicted     = errors.New("thrift: a new connection needs the place")
	errIdleTimeout = errors.New("thrift: silent for too long")
	errDrained     = errors.New("thrift: the server ends")
)

const (
	readBufferBytes = 2048     // read at a time
	writeChunkBytes = 16 << 10 // written within Limits.Write
)

// Conn is one connection.
type Conn struct {
	server     *Server
	conn       net.Conn
	peeker     peekConn
	wakeup     chan struct{}
	done       chan struct{} // closed once the connection is
	acceptedAt time.Time

	mu              sync.Mutex
	calls           map[int32]func() // open, with what to do when the client takes one back
	lastSeqID       int32            // the highest number that a call came under
	outbound        []byte           // to be written
	writing         bool             // some is being written
	closing         bool             // nothing is written after out
	disconnected    bool
	hasRequested    bool // a whole message came
	awaitingMessage bool // the reader waits for a message
	messageBegan    time.Time
	lastActivity    time.Time
	evicting        bool // asked to give way to a new one
	closeReason     CloseReason
	closeReasonSet  bool // reason stands
	openAtEnd       int  // calls that were open at the end
}

func newConn(s *Server, conn net.Conn) *Conn {
	now := time.Now()
	return &Conn{server: s, conn: conn, peeker: peekConn{Conn: conn}, calls: map[int32]func(){}, wakeup: make(chan struct{}, 1),
		done: make(chan struct{}), lastActivity: now, acceptedAt: now}
}

// BeginCall opens a call; left is called when the client takes it back or is gone. It is refused where the number is not
// higher than those before, or too many are open.
func (c *Conn) BeginCall(seq int32, left func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seq <= c.lastSeqID || len(c.calls) >= c.server.limits.MaxOpenCalls || c.disconnected {
		return false
	}
	c.lastSeqID = seq
	c.calls[seq] = left
	c.server.openCalls.Add(1)
	return true
}

// CancelCall ends a call that the client takes back: no answer is owed.
func (c *Conn) CancelCall(seq int32) {
	c.mu.Lock()
	left := c.calls[seq]
	c.endCall(seq)
	c.mu.Unlock()
	if left != nil {
		left()
	}
}

func (c *Conn) endCall(seq int32) {
	if _, is := c.calls[seq]; is {
		delete(c.calls, seq)
		c.server.openCalls.Add(-1)
		c.lastActivity = time.Now()
		c.wakeIdleReader()
	}
}

// isIdle tells that nothing is owed on it: no call is open and all is written. The lock is held.
func (c *Conn) isIdle() bool { return len(c.calls) == 0 && len(c.outbound) == 0 && !c.writing }

// wakeIdleReader has a reader that rests with nothing owed look once more, and end, where the server drains or the connection is to
// give way. The lock is held.
func (c *Conn) wakeIdleReader() {
	if c.awaitingMessage && c.isIdle() && (c.evicting || c.server.draining.Load()) {
		_ = c.conn.SetReadDeadline(time.Now()) // one that is closed has its error already
	}
}

// setCloseReason notes why the connection ends; the first reason stands. The lock is held.
func (c *Conn) setCloseReason(r CloseReason) {
	if !c.closeReasonSet {
		c.closeReasonSet, c.closeReason = true, r
	}
}

// Reply ends an open call with its answer; one that is not open any more gets none.
func (c *Conn) Reply(seq int32, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, is := c.calls[seq]; is {
		c.enqueue(frame)
		c.endCall(seq)
	}
}

// Send sends a frame that ends no call.
func (c *Conn) Send(frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(frame)
}

// Close closes the connection once what it has to send is written, as its client has done what it must not; open calls are
// taken back.
func (c *Conn) Close() {
	c.mu.Lock()
	c.setCloseReason(Malformed)
	c.closing = true
	c.mu.Unlock()
	c.wake()
}

func (c *Conn) enqueue(frame []byte) {
	if c.disconnected || c.closing {
		return
	}
	if len(c.outbound) > (c.server.limits.MaxOpenCalls+1)*c.server.limits.MaxFrameBytes { // it asks but does not read
		c.setCloseReason(ClientNotReading)
		c.conn.Close()
		return
	}
	c.outbound = append(c.outbound, frame...)
	c.wake()
}

func (c *Conn) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// readLoop takes messages until the connection ends, and takes back what is open then.
func (c *Conn) readLoop() {
	defer c.server.running.Done()
	reason := c.readMessages()
	c.mu.Lock()
	c.setCloseReason(reason)
	c.disconnected, c.closing = true, true
	c.openAtEnd = len(c.calls)
	var left []func()
	for seq, f := range c.calls {
		left = append(left, f)
		c.endCall(seq)
	}
	c.mu.Unlock()
	for _, f := range left {
		f()
	}
	c.wake()
}

// readMessages takes messages until there is a reason to end.
func (c *Conn) readMessages() CloseReason {
	in := bufio.NewReaderSize(&c.peeker, readBufferBytes)
	for {
		frame, err := c.readFrame(in)
		if err != nil {
			return closeReasonOf(err)
		}
		m, err := Parse(frame)
		if err != nil {
			c.Send(EncodeException("", 0, ProtocolError, err.Error()))
			return Malformed
		}
		c.mu.Lock()
		c.hasRequested, c.lastActivity = true, time.Now()
		done := c.closing
		c.mu.Unlock()
		if done {
			return Malformed
		}
		c.server.handle(c, m)
	}
}

func closeReasonOf(err error) CloseReason {
	switch {
	case errors.Is(err, errEvicted):
		return Evicted
	case errors.Is(err, errIdleTimeout):
		return IdleTimedOut
	case errors.Is(err, errDrained):
		return Drained
	case errors.Is(err, ErrMalformed):
		return Malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return IncompleteMessage
	}
	return ClientDisconnected
}

// readFrame reads a frame. A length that no message has ends the connection before a byte of it is read.
func (c *Conn) readFrame(in *bufio.Reader) ([]byte, error) {
	if err := c.awaitMessage(in); err != nil {
		return nil, err
	}
	var head [4]byte
	if err := c.readFull(in, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > uint32(c.server.limits.MaxFrameBytes) {
		return nil, malformedError("a frame of that length")
	}
	frame := make([]byte, n)
	err := c.readFull(in, frame)
	return frame, err
}

// readFull reads a part of a message. One that does not go on ends the connection, but not while something else is owed on it.
func (c *Conn) readFull(in *bufio.Reader, b []byte) error {
	for have := 0; ; {
		c.mu.Lock()
		until := c.messageBegan.Add(c.server.limits.MessageTimeout)
		if !c.isIdle() {
			until = time.Now().Add(c.server.limits.MessageTimeout)
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
		if c.mayTimeOut() {
			return err
		}
	}
}

// mayTimeOut tells that nothing is owed on the connection; else it does not give way either.
func (c *Conn) mayTimeOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() {
		return true
	}
	c.evicting = false
	return false
}

// awaitMessage waits for the first byte of a message; an error ends the connection. A connection that may end for its silence, or
// as the server drains, is looked at once more: what came while the process stood still is there, though its time is up.
func (c *Conn) awaitMessage(in *bufio.Reader) error {
	for {
		until, end := c.awaitDeadline()
		if end == errEvicted {
			if !c.peeker.peek() {
				return end
			}
			end, until = nil, time.Now().Add(c.server.limits.MessageTimeout)
		}
		if err := c.conn.SetReadDeadline(until); err != nil {
			return err
		}
		if end == nil { // a call may have ended, or Drain been called, since
			c.mu.Lock()
			c.wakeIdleReader()
			c.mu.Unlock()
		}
		_, err := in.Peek(1)
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && end != nil {
			err = end
		}
		if err == nil || !timeout || end != nil {
			c.mu.Lock()
			c.awaitingMessage, c.messageBegan = false, time.Now()
			if err == nil {
				c.evicting = false
			}
			c.mu.Unlock()
			return err
		}
	}
}

// awaitDeadline tells how long to wait for a message, and why the connection ends if none comes by then; nil: it does not.
func (c *Conn) awaitDeadline() (until time.Time, end error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.server.limits.IdleTimeout
	if !c.hasRequested {
		wait = c.server.limits.MessageTimeout
	}
	now := time.Now()
	idle := c.isIdle()
	c.evicting = c.evicting && idle
	c.awaitingMessage = false
	switch {
	case c.evicting:
		return now, errEvicted
	case idle && c.server.draining.Load():
		return now.Add(c.server.limits.FinalRead), errDrained
	case idle && now.Sub(c.lastActivity) >= wait:
		return now.Add(c.server.limits.FinalRead), errIdleTimeout
	case idle:
		until = c.lastActivity.Add(wait)
	default:
		until = now.Add(wait)
	}
	c.awaitingMessage = true
	return until, nil
}

// requestEviction asks a connection on which nothing is owed to end, if nothing comes on it; false: it must not.
func (c *Conn) requestEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || c.disconnected || c.closing {
		return false
	}
	c.evicting = true
	_ = c.conn.SetReadDeadline(time.Now()) // one that is closed has its error already
	return true
}

// writeLoop writes what is to be written until the connection ends, and closes it.
func (c *Conn) writeLoop() {
	defer c.server.running.Done()
	unwritten := c.writeOutbound()
	c.conn.Close()
	c.server.remove(c)
	close(c.done)
	c.mu.Lock()
	c.setCloseReason(ClientDisconnected)
	closed := CloseEvent{Reason: c.closeReason, ClientAddr: c.conn.RemoteAddr().String(), OpenCalls: max(c.openAtEnd, len(c.calls)),
		UnwrittenBytes: unwritten + len(c.outbound), Duration: time.Since(c.acceptedAt)}
	c.mu.Unlock()
	c.server.notifyClosed(closed)
}

// writeOutbound writes until nothing more is to be written or it can't be, and tells how many bytes of the last part were not.
func (c *Conn) writeOutbound() (unwritten int) {
	for {
		out, last := c.takeOutbound()
		if len(out) == 0 {
			if last {
				return 0
			}
			<-c.wakeup
			continue
		}
		for len(out) > 0 { // a client that reads slowly is not one that does not read
			n, err := c.writeChunk(out[:min(len(out), writeChunkBytes)])
			out = out[n:]
			if err != nil {
				return len(out)
			}
		}
	}
}

// writeChunk writes a part within its time.
func (c *Conn) writeChunk(part []byte) (int, error) {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.conn.Write(part)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.setCloseReason(ClientNotReading)
		c.mu.Unlock()
	}
	return n, err
}

// takeOutbound takes what is to be written; last: nothing comes after it.
func (c *Conn) takeOutbound() (out []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, last = c.outbound, c.closing
	c.outbound = nil
	if c.writing && len(out) == 0 {
		c.lastActivity = time.Now()
	}
	c.writing = len(out) > 0
	c.wakeIdleReader()
	return out, last
}

// peekConn reads from a connection, and can look whether something is there without waiting.
type peekConn struct {
	net.Conn
	peeked []byte
}

// Read reads what a look has found first.
func (s *peekConn) Read(b []byte) (int, error) {
	if len(s.peeked) > 0 {
		n := copy(b, s.peeked)
		s.peeked = s.peeked[n:]
		return n, nil
	}
	return s.Conn.Read(b)
}

// peek tells whether something is there to be read now, though the time for reading may be up. Where the system does not tell,
// nothing is.
func (s *peekConn) peek() bool {
	raw, is := s.Conn.(syscall.Conn)
	if !is || s.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	b := make([]byte, readBufferBytes)
	n := 0
	err = control.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	if err != nil || n <= 0 {
		return false
	}
	s.peeked = b[:n]
	return true
}
