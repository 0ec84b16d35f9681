package thrift

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits protect a server from its clients.
type Limits struct {
	MaxFrameBytes  int           // bytes of a message
	MaxOpenCalls   int           // calls at a time on a connection
	MaxConns       int           // connections; past that those that ask nothing are closed, the most silent first
	MessageTimeout time.Duration // from the connection to its first whole message, and from a message's first byte to its last
	IdleTimeout    time.Duration // without a call
	WriteTimeout   time.Duration // for each 16 KiB that are written; a client that does not read is cut off
	FinalRead      time.Duration // what has come while the process stood still is read within that, before anything ends as idle
}

// Server serves the connections of one listener.
type Server struct {
	listener  net.Listener
	limits    Limits
	handle    func(*Conn, Message)
	onClose   func(CloseEvent)
	openCalls atomic.Int64 // calls without an answer, on all connections
	draining  atomic.Bool

	mu      sync.Mutex
	conns   map[*Conn]bool
	running sync.WaitGroup
}

// NewServer makes a server; handle is called for every message of a connection in turn and must not wait.
func NewServer(l net.Listener, limits Limits, handle func(*Conn, Message)) *Server {
	return &Server{listener: l, limits: limits, handle: handle, conns: map[*Conn]bool{}}
}

// OnClose has the end of every connection told; it is called before Run, and told must not wait.
func (s *Server) OnClose(told func(CloseEvent)) { s.onClose = told }

func (s *Server) notifyClosed(c CloseEvent) {
	if s.onClose != nil {
		s.onClose(c)
	}
}

// OpenCalls is the number of calls without an answer.
func (s *Server) OpenCalls() int64 { return s.openCalls.Load() }

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
		c.wakeIdleReader()
		c.mu.Unlock()
	}
	s.shortenAccept()
}

// shortenAccept has Accept wait no longer than Rest for one more connection.
func (s *Server) shortenAccept() {
	l, is := s.listener.(interface{ SetDeadline(time.Time) error })
	if !is || l.SetDeadline(time.Now().Add(s.limits.FinalRead)) != nil {
		s.listener.Close()
	}
}

// Run serves until ctx ends; then it closes the listener and every connection. After Drain it ends when all is answered.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.listener.Close()
		s.closeAll()
	})
	defer stop()
	defer s.running.Wait()
	defer s.listener.Close()
	looked := false // as it drains, since the last connection
	pause := minAcceptBackoff
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
			s.shortenAccept()
		}
		switch {
		case none: // the time was up before Accept was called, perhaps, and one has come
		case err != nil:
			if !errors.Is(err, syscall.EMFILE) || !s.evictIdle() { // of the other errors a connection of ours is no cause
				time.Sleep(pause)
				pause = min(2*pause, maxAcceptBackoff)
			}
		default:
			pause = minAcceptBackoff
			s.serveConn(ctx, conn)
		}
	}
}

// Between two tries to accept, where the system can't.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// serveConn serves a connection that was accepted, if there is a place for it.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if !s.awaitCapacity(ctx) {
		conn.Close()
		s.notifyClosed(CloseEvent{Reason: NoCapacity, ClientAddr: conn.RemoteAddr().String()})
		return
	}
	c := newConn(s, conn)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	if ctx.Err() != nil { // it came beside the end
		conn.Close()
	}
	s.running.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// capacityWait is how long a new connection waits for a place, and those behind it in the listen queue.
const capacityWait = 500 * time.Millisecond

// awaitCapacity waits until there is a place for one more connection; false: there is none in time. Where something is owed on all, what is
// new waits rather than be closed with a request that its client may have sent.
func (s *Server) awaitCapacity(ctx context.Context) bool {
	for end := time.Now().Add(capacityWait); s.Connections() >= s.limits.MaxConns && !s.evictIdle(); time.Sleep(minAcceptBackoff) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// closeAll closes every connection at once.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		c.setCloseReason(ServerStopped)
		c.mu.Unlock()
		c.conn.Close()
	}
}

// maxEvictionAttempts is how many connections are asked to give way for one place, evictWithin how long each may take.
const (
	maxEvictionAttempts = 3
	evictionTimeout     = 50 * time.Millisecond
)

// evictIdle has one connection give way on which nothing is owed. It ends by itself, once it has looked whether something came.
func (s *Server) evictIdle() bool {
	for range maxEvictionAttempts {
		victim := s.evictionCandidate()
		if victim == nil {
			return false
		}
		if !victim.requestEviction() {
			continue
		}
		select {
		case <-victim.done:
			return true
		case <-time.After(evictionTimeout):
		}
	}
	return false
}

// evictionCandidate is the connection that has been silent longest and on which nothing is owed; those that never asked go first, and those
// of which a message has begun and does not go on last.
func (s *Server) evictionCandidate() (victim *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var heard time.Time
	for c := range s.conns {
		at, may := c.evictionRank(now)
		if may && (victim == nil || at.Before(heard)) {
			victim, heard = c, at
		}
	}
	return victim
}

// evictionRank ranks a connection among those that may give way; false: it may not.
func (c *Conn) evictionRank(now time.Time) (at time.Time, may bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := &c.server.limits
	at = c.lastActivity
	if !c.hasRequested {
		at = at.Add(-limits.IdleTimeout)
	}
	if !c.awaitingMessage { // a message is being read
		at = at.Add(2 * limits.IdleTimeout)
		if now.Sub(c.messageBegan) < limits.MessageTimeout/2 {
			return at, false
		}
	}
	return at, c.isIdle() && !c.disconnected && !c.closing && !c.evicting
}
