package thrift

import (
	"net"
	"sync"
	"time"
)

// Conn is one connection.
type Conn struct {
	server     *Server
	conn       net.Conn
	peeker     peekConn
	wakeup     chan struct{} // for the writer
	done       chan struct{} // closed once the connection is
	acceptedAt time.Time

	mu              sync.Mutex
	calls           map[int32]func() // open calls, with what to do when the client cancels one
	lastSeqID       int32            // the highest of a call so far
	outbound        []byte           // to be written
	writing         bool             // some is being written
	closing         bool             // nothing is written after outbound
	disconnected    bool
	hasRequested    bool // a complete message has come
	awaitingMessage bool // the reader waits for a message
	messageBegan    time.Time
	lastActivity    time.Time
	evicting        bool // asked to end for a new connection
	closeReason     CloseReason
	closeReasonSet  bool
	openAtEnd       int // calls that were open at the end
}

func newConn(s *Server, conn net.Conn) *Conn {
	now := time.Now()
	return &Conn{
		server:       s,
		conn:         conn,
		peeker:       peekConn{Conn: conn},
		calls:        map[int32]func(){},
		wakeup:       make(chan struct{}, 1),
		done:         make(chan struct{}),
		lastActivity: now,
		acceptedAt:   now,
	}
}

// BeginCall opens a call. The connection calls cancelled when the client cancels it or disconnects. The result is false
// where the sequence ID is not higher than those before, or too many calls are open.
func (c *Conn) BeginCall(seqID int32, cancelled func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seqID <= c.lastSeqID || len(c.calls) >= c.server.limits.MaxOpenCalls || c.disconnected {
		return false
	}
	c.lastSeqID = seqID
	c.calls[seqID] = cancelled
	c.server.openCalls.Add(1)
	return true
}

// CancelCall ends a call that the client cancels: no answer is owed.
func (c *Conn) CancelCall(seqID int32) {
	c.mu.Lock()
	cancelled := c.calls[seqID]
	c.endCall(seqID)
	c.mu.Unlock()
	if cancelled != nil {
		cancelled()
	}
}

// Reply ends an open call with its answer; one that is not open any more gets none.
func (c *Conn) Reply(seqID int32, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.calls[seqID]; open {
		c.enqueue(frame)
		c.endCall(seqID)
	}
}

// Send sends a frame that ends no call.
func (c *Conn) Send(frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(frame)
}

// Close closes the connection of a client that has broken the protocol, once its answers are written; open calls are
// cancelled.
func (c *Conn) Close() {
	c.mu.Lock()
	c.setCloseReason(Malformed)
	c.closing = true
	c.mu.Unlock()
	c.wake()
}

// endCall forgets a call. The lock is held.
func (c *Conn) endCall(seqID int32) {
	if _, open := c.calls[seqID]; open {
		delete(c.calls, seqID)
		c.server.openCalls.Add(-1)
		c.lastActivity = time.Now()
		c.wakeIdleReader()
	}
}

// isIdle reports whether nothing is owed on the connection: no call is open and all is written. The lock is held.
func (c *Conn) isIdle() bool { return len(c.calls) == 0 && len(c.outbound) == 0 && !c.writing }

// setCloseReason notes why the connection ends; the first reason stands. The lock is held.
func (c *Conn) setCloseReason(reason CloseReason) {
	if !c.closeReasonSet {
		c.closeReasonSet, c.closeReason = true, reason
	}
}

// enqueue has the writer write a frame. The lock is held.
func (c *Conn) enqueue(frame []byte) {
	if c.disconnected || c.closing {
		return
	}
	limits := &c.server.limits
	if len(c.outbound) > (limits.MaxOpenCalls+1)*limits.MaxFrameBytes { // the client sends requests but does not read
		c.setCloseReason(ClientNotReading)
		c.conn.Close()
		return
	}
	c.outbound = append(c.outbound, frame...)
	c.wake()
}

// wake has the writer look for work.
func (c *Conn) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}
