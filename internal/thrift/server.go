package thrift

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limits protect a server from its clients.
type Limits struct {
	Frame int           // bytes of a message
	Open  int           // calls at a time on a connection
	Conns int           // connections; past that those that ask nothing are closed, the most silent first
	Mute  time.Duration // from the connection to its first whole message, and from a message's first byte to its last
	Idle  time.Duration // without a call
	Write time.Duration // for what is written; a client that does not read is cut off
	Rest  time.Duration // what has come while the process stood still is read within that, before anything ends as idle
}

// Server serves the connections of one listener.
type Server struct {
	listener net.Listener
	limits   Limits
	handle   func(*Conn, Message)
	open     atomic.Int64 // calls without an answer, on all connections
	draining atomic.Bool

	mu      sync.Mutex
	conns   map[*Conn]bool
	workers sync.WaitGroup
}

// NewServer makes a server; handle is called for every message of a connection in turn and must not wait.
func NewServer(l net.Listener, limits Limits, handle func(*Conn, Message)) *Server {
	return &Server{listener: l, limits: limits, handle: handle, conns: map[*Conn]bool{}}
}

// Open is the number of calls without an answer.
func (s *Server) Open() int64 { return s.open.Load() }

// Connections is the number of connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain has Run return by itself: the connections that have come are accepted, what has come on them is read and answered,
// and each ends once it rests with no call open and all written. Nothing that was taken is left unanswered.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		c.hasten()
		c.mu.Unlock()
	}
	s.hasten()
}

// hasten has Accept wait no longer than Rest for one more connection.
func (s *Server) hasten() {
	l, is := s.listener.(interface{ SetDeadline(time.Time) error })
	if !is || l.SetDeadline(time.Now().Add(s.limits.Rest)) != nil {
		s.listener.Close()
	}
}

// Run serves until ctx ends; then it closes the listener and every connection. After Drain it ends when all is answered.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close()
		s.end()
	})
	defer stop()
	defer s.workers.Wait()
	defer s.listener.Close()
	looked := false // as it drains, since the last connection
	for {
		conn, err := s.listener.Accept()
		none := s.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || none && looked {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if looked = none; s.draining.Load() {
			s.hasten()
		}
		if none { // the time was up before Accept was called, perhaps, and one has come
			continue
		}
		if err != nil { // no descriptor is free: one that asks nothing gives way
			s.evict()
			time.Sleep(time.Millisecond)
			continue
		}
		s.mu.Lock()
		full := len(s.conns) >= s.limits.Conns
		s.mu.Unlock()
		if full && !s.evict() {
			conn.Close()
			continue
		}
		c := &Conn{server: s, conn: conn, calls: map[int32]func(){}, kick: make(chan struct{}, 1), heard: time.Now()}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if ctx.Err() != nil { // it came beside the end
			conn.Close()
		}
		s.workers.Add(2)
		go c.read()
		go c.write()
	}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.conn.Close()
	}
}

// evict closes the connection that has been silent longest and has no call open; those that never asked go first, and
// those of which a message is being read last.
func (s *Server) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *Conn
	var heard time.Time
	for c := range s.conns {
		c.mu.Lock()
		at := c.heard
		if !c.asked {
			at = at.Add(-s.limits.Idle)
		}
		if !c.rests { // a message is being read
			at = at.Add(2 * s.limits.Idle)
		}
		if len(c.calls) == 0 && !c.gone && (victim == nil || at.Before(heard)) {
			victim, heard = c, at
		}
		c.mu.Unlock()
	}
	if victim == nil {
		return false
	}
	victim.mu.Lock()
	idle := len(victim.calls) == 0
	victim.gone = victim.gone || idle // a call that is just being read is not taken: its client sends it again
	victim.mu.Unlock()
	if !idle {
		return false
	}
	delete(s.conns, victim)
	victim.conn.Close()
	return true
}

// Conn is one connection.
type Conn struct {
	server *Server
	conn   net.Conn
	kick   chan struct{}

	mu      sync.Mutex
	calls   map[int32]func() // open, with what to do when the client takes one back
	last    int32            // the highest number that a call came under
	out     []byte           // to be written
	closing bool             // nothing is written after out
	gone    bool
	asked   bool // a whole message came
	rests   bool // the reader waits for a message
	heard   time.Time
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

// hasten has a reader that rests with no call open look once more, and end, where the server drains.
func (c *Conn) hasten() {
	if c.rests && len(c.calls) == 0 && c.server.draining.Load() {
		_ = c.conn.SetReadDeadline(time.Now()) // one that is closed has its error already
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

// Close closes the connection once what it has to send is written; open calls are taken back.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wake()
}

func (c *Conn) put(frame []byte) {
	if c.gone || c.closing {
		return
	}
	if len(c.out) > (c.server.limits.Open+1)*c.server.limits.Frame { // it asks but does not read
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

func (c *Conn) read() {
	defer c.server.workers.Done()
	in := bufio.NewReaderSize(c.conn, 2048)
	for {
		frame, err := c.next(in)
		if err != nil {
			break
		}
		m, err := Parse(frame)
		if err != nil {
			c.Send(Refusal("", 0, ProtocolError, err.Error()))
			break
		}
		c.mu.Lock()
		c.asked, c.heard = true, time.Now()
		done := c.closing
		c.mu.Unlock()
		if done {
			break
		}
		c.server.handle(c, m)
	}
	c.mu.Lock()
	c.gone, c.closing = true, true
	var left []func()
	for seq, f := range c.calls {
		left = append(left, f)
		c.end(seq)
	}
	c.mu.Unlock()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	for _, f := range left {
		f()
	}
	c.wake()
}

// next reads a frame. A length that no message has ends the connection before a byte of it is read.
func (c *Conn) next(in *bufio.Reader) ([]byte, error) {
	if err := c.rest(in); err != nil {
		return nil, err
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(c.server.limits.Mute)); err != nil {
		return nil, err
	}
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > uint32(c.server.limits.Frame) {
		return nil, malformed("a frame of that length")
	}
	frame := make([]byte, n)
	_, err := io.ReadFull(in, frame)
	return frame, err
}

// rest waits for the first byte of a message; an error ends the connection. A connection that may end for its silence, or
// as the server drains, is looked at once more: what came while the process stood still is there, though its time is up.
func (c *Conn) rest(in *bufio.Reader) error {
	for {
		until, last := c.restUntil()
		if err := c.conn.SetReadDeadline(until); err != nil {
			return err
		}
		if !last { // a call may have ended, or Drain been called, since
			c.mu.Lock()
			c.hasten()
			c.mu.Unlock()
		}
		_, err := in.Peek(1)
		if err == nil || last || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.mu.Lock()
			c.rests = false
			c.mu.Unlock()
			return err
		}
	}
}

// restUntil tells how long to wait for a message, and whether the connection ends if none comes by then.
func (c *Conn) restUntil() (until time.Time, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.server.limits.Idle
	if !c.asked {
		wait = c.server.limits.Mute
	}
	now := time.Now()
	switch idle := len(c.calls) == 0; {
	case idle && (c.server.draining.Load() || now.Sub(c.heard) >= wait):
		c.rests = false
		return now.Add(c.server.limits.Rest), true
	case idle:
		until = c.heard.Add(wait)
	default:
		until = now.Add(wait)
	}
	c.rests = true
	return until, false
}

func (c *Conn) write() {
	defer c.server.workers.Done()
	defer c.conn.Close()
	for {
		c.mu.Lock()
		out, last := c.out, c.closing
		c.out = nil
		c.mu.Unlock()
		if len(out) > 0 {
			if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.Write)); err != nil {
				return
			}
			if _, err := c.conn.Write(out); err != nil {
				return
			}
			continue
		}
		if last {
			return
		}
		<-c.kick
	}
}
