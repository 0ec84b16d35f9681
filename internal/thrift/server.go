package thrift

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
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
}

// Server serves the connections of one listener.
type Server struct {
	listener net.Listener
	limits   Limits
	handle   func(*Conn, Message)
	open     atomic.Int64 // calls without an answer, on all connections

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

// Flushed tells whether all that was answered is written.
func (s *Server) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		busy := len(c.out) > 0 || c.writing
		c.mu.Unlock()
		if busy {
			return false
		}
	}
	return true
}

// Connections is the number of connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Run serves until ctx ends; then it closes the listener and every connection.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	defer s.workers.Wait()
	defer s.end()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				conn.Close()
			}
			return nil
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

// evict closes the connection that has been silent longest and has no call open; those that never asked go first.
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
	writing bool
	closing bool // nothing is written after out
	gone    bool
	asked   bool // a whole message came
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
	for {
		c.mu.Lock()
		wait := c.server.limits.Idle
		if !c.asked {
			wait = c.server.limits.Mute
		}
		until := c.heard.Add(wait)
		if len(c.calls) > 0 {
			until = time.Now().Add(wait)
		}
		c.mu.Unlock()
		if err := c.conn.SetReadDeadline(until); err != nil {
			return nil, err
		}
		_, err := in.Peek(1)
		var slow net.Error
		if err == nil {
			break
		}
		if !errors.As(err, &slow) || !slow.Timeout() {
			return nil, err
		}
		c.mu.Lock()
		idle := len(c.calls) == 0 && time.Since(c.heard) >= wait
		c.mu.Unlock()
		if idle {
			return nil, err
		}
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

func (c *Conn) write() {
	defer c.server.workers.Done()
	defer c.conn.Close()
	for {
		c.mu.Lock()
		out, last := c.out, c.closing
		c.out = nil
		c.writing = len(out) > 0
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
