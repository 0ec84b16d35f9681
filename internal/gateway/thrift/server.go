package thrift

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lupinpond/internal/gateway/turns"
)

// Limits protect a server from its clients.
type Limits struct {
	// MaxFrameBytes is the maximum size of a message.
	MaxFrameBytes int

	// MaxOpenCalls is the maximum number of open calls on a connection.
	MaxOpenCalls int

	// MaxConns is the maximum number of connections. Once it is reached, idle connections are evicted for new ones.
	MaxConns int

	// MessageTimeout is the maximum time from the start of a connection to the first byte of its first message, and from
	// the first byte of a message to its last.
	MessageTimeout time.Duration

	// IdleTimeout is how long a connection stays open without a call.
	IdleTimeout time.Duration

	// WriteTimeout is the maximum time for writing 16 KiB. A client that reads more slowly is disconnected.
	WriteTimeout time.Duration

	// Cores is the number of processor cores that the process may use.
	Cores float64

	// MaxPartialBytes is the maximum size of all messages that have been received in part.
	MaxPartialBytes int64

	// MaxCallBytes is the maximum size of all calls that are open or not released.
	MaxCallBytes int64

	// MaxUnwrittenBytes is the size of all answers that are not written beyond which clients are disconnected that do not
	// read theirs.
	MaxUnwrittenBytes int64

	// FinalReadTimeout is how long an idle connection is read from before it is closed, to receive a request that
	// arrived while the process was stalled.
	FinalReadTimeout time.Duration
}

// unlimitedBytes is the size that applies where Limits names none.
const unlimitedBytes = 1 << 40

// Backoff between two calls of Accept when the system is short of resources.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// Server serves the connections of one listener.
type Server struct {
	listener      net.Listener
	limits        Limits
	handle        func(*Conn, Message)
	onClose       func(CloseEvent)
	openCalls     atomic.Int64 // number of open calls on all connections
	draining      atomic.Bool
	closeWhenIdle atomic.Bool // see CloseWhenIdle
	gate          *turns.Gate
	partials      *budget   // messages that have been received in part
	callBytes     *budget   // calls that are open or not released
	unwritten     *budget   // answers that are not written
	frameBuffers  sync.Pool // of *[]byte, for reading frames

	mu      sync.Mutex
	conns   map[*Conn]bool
	running sync.WaitGroup // goroutines of connections
}

// NewServer returns a server, which calls handle for each message of a connection, one after the other. handle must not
// block.
func NewServer(listener net.Listener, limits Limits, handle func(*Conn, Message)) *Server {
	s := &Server{listener: listener, limits: limits, handle: handle, conns: map[*Conn]bool{}, gate: turns.NewGate(limits.Cores),
		partials:  newBudget(cmp.Or(limits.MaxPartialBytes, unlimitedBytes)),
		callBytes: newBudget(cmp.Or(limits.MaxCallBytes, unlimitedBytes)),
		unwritten: newBudget(cmp.Or(limits.MaxUnwrittenBytes, unlimitedBytes)),
	}
	s.frameBuffers.New = func() any {
		buffer := make([]byte, limits.MaxFrameBytes)
		return &buffer
	}
	return s
}

// ObserveBacklog makes the server call age for the age of the oldest piece of work that the handler has passed on and
// that is not done. It must be called before Run.
func (s *Server) ObserveBacklog(age func() time.Duration) { s.gate.ObserveBacklog(age) }

// GateState returns how connections have waited until their messages were handled.
func (s *Server) GateState() turns.State { return s.gate.State() }

// OnClose makes the server call notify when a connection is closed. It must be called before Run. notify must not
// block.
func (s *Server) OnClose(notify func(CloseEvent)) { s.onClose = notify }

func (s *Server) notifyClosed(event CloseEvent) {
	if s.onClose != nil {
		s.onClose(event)
	}
}

// OpenCalls returns the number of calls without an answer.
func (s *Server) OpenCalls() int64 { return s.openCalls.Load() }

// UnwrittenBytes returns the size of the answers that are not written yet.
func (s *Server) UnwrittenBytes() int64 { return s.unwritten.reserved() }

// PartialBytes returns the size of the messages that have been received in part.
func (s *Server) PartialBytes() int64 { return s.partials.reserved() }

// CallBytes returns the size of the calls that are open or not released.
func (s *Server) CallBytes() int64 { return s.callBytes.reserved() }

// Connections returns the number of connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Run serves connections until ctx ends; then it closes the listener and all connections. After Drain it also returns
// once all requests are answered.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.gate.Close()
		s.listener.Close()
		s.closeAll()
	})
	defer stop()
	defer s.running.Wait()
	defer s.listener.Close()
	backlogEmpty := false // the server is draining and the last Accept timed out
	backoff := minAcceptBackoff
	for {
		conn, err := s.listener.Accept()
		timedOut := s.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || timedOut && backlogEmpty {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		backlogEmpty = timedOut
		if s.draining.Load() {
			s.shortenAccept()
		}
		switch {
		case timedOut: // accept again: a connection may wait, if the deadline had passed before Accept was called
		case err != nil:
			// Evicting a connection of this server helps only if the process is short of descriptors.
			if !errors.Is(err, syscall.EMFILE) || !s.evictIdle() {
				time.Sleep(backoff)
				backoff = min(2*backoff, maxAcceptBackoff)
			}
		default:
			backoff = minAcceptBackoff
			s.serveConn(ctx, conn)
		}
	}
}

// serveConn serves an accepted connection, or closes it if there is no capacity for it.
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
	if ctx.Err() != nil { // closeAll may have run before the connection was added
		conn.Close()
	}
	s.running.Add(1)
	go c.readLoop()
}

// Drain makes Run return once all work is done: the connections in the listen backlog are accepted, requests that have
// arrived are read and answered, and each connection is closed once it is idle. No request that was read is left
// unanswered.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.wakeReaders()
	s.shortenAccept()
}

// CloseWhenIdle makes each connection of a draining server close as soon as it is idle and no unread data has arrived,
// without a wait for further requests. This also closes connections whose clients send continuously.
func (s *Server) CloseWhenIdle() {
	s.closeWhenIdle.Store(true)
	s.wakeReaders()
}

func (s *Server) wakeReaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		c.wakeIdleReader()
		c.mu.Unlock()
	}
}

// shortenAccept limits the time that Accept waits for another connection to Limits.FinalReadTimeout.
func (s *Server) shortenAccept() {
	listener, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || listener.SetDeadline(time.Now().Add(s.limits.FinalReadTimeout)) != nil {
		s.listener.Close()
	}
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// closeAll closes all connections immediately.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		c.setCloseReason(ServerStopped)
		c.stopped = true
		c.released.Signal()
		c.mu.Unlock()
		c.conn.Close()
	}
}
