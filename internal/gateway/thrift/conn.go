package thrift

import (
	"net"
	"sync"
	"time"

	"lupinpond/scheduler/ingress"
)

// Conn is a connection of a client.
type Conn struct {
	server     *Server
	conn       net.Conn
	peeker     peekConn
	done       chan struct{} // closed once the connection is closed
	acceptedAt time.Time

	// The fields below are only accessed by the reader.
	flow        ingress.Flow
	inTurn      bool    // the gate has let the connection pass
	cost        float64 // cost of what has been read and handled in this turn
	readMode    readMode
	sparse      bool      // the last read found that all data had been handled, or nothing has been read
	behindSince time.Time // since when unread data may have waited for turns of the connection; zero: none has
	staged      []int32   // sequence IDs of the calls to be submitted

	callAccount    ingress.Account // of Server.callBytes
	writeAccount   ingress.Account // of Server.unwritten
	partialAccount ingress.Account // of Server.partials

	mu              sync.Mutex
	calls           map[int32]*openCall // by sequence ID
	submitted       int                 // number of calls that were submitted and not released
	stopped         bool                // the server closes the connection
	released        *sync.Cond          // signals changes of submitted and the end of the connection
	lastSeqID       int32               // highest sequence ID of all calls
	outbound        []byte              // frames that the writer has not taken yet
	writerRunning   bool                // the writer's goroutine runs
	writing         bool                // the writer is writing frames that it has taken from outbound
	closing         bool                // the writer closes the connection once outbound is written
	disconnected    bool                // the reader has ended
	closed          bool                // the writer has ended
	hasRequested    bool                // a complete message has been received
	awaitingMessage bool                // the reader waits for the first byte of a message
	messageBegan    time.Time           // when the reader last ended its wait for the first byte of a message
	lastActivity    time.Time           // when a message was last received, or a call or the write of an answer last ended
	evicting        bool                // the reader must close the connection, unless a request has been received
	closeReason     CloseReason
	closeReasonSet  bool
	openAtClose     int // number of calls that were open when the reader ended
}

func newConn(s *Server, conn net.Conn) *Conn {
	now := time.Now()
	c := &Conn{
		server:       s,
		conn:         conn,
		peeker:       newPeekConn(conn),
		calls:        map[int32]*openCall{},
		done:         make(chan struct{}),
		sparse:       true,
		lastActivity: now,
		acceptedAt:   now,
	}
	c.released = sync.NewCond(&c.mu)
	s.gate.Register(&c.flow)
	return c
}

// openCall is a call without an answer.
type openCall struct {
	cancelled func() // called if the client cancels the call or disconnects after it was submitted
	staged    bool   // the call is to be submitted
	stagedAt  time.Time
	submit    func() // submits the call
	discard   func() // called instead of submit if the client cancels the call or disconnects first
}

// end returns the function to call when the client cancels the call or disconnects.
func (c *openCall) end() func() {
	if c.staged {
		return c.discard
	}
	return c.cancelled
}

// BeginCall opens a call. The connection calls cancelled if the client cancels the call or disconnects. BeginCall
// returns false if the sequence ID is not higher than those of all earlier calls, if too many calls are open, or if the
// connection has ended.
func (c *Conn) BeginCall(seqID int32, cancelled func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seqID <= c.lastSeqID || len(c.calls) >= c.server.limits.MaxOpenCalls || c.disconnected {
		return false
	}
	c.lastSeqID = seqID
	c.calls[seqID] = &openCall{cancelled: cancelled}
	c.server.openCalls.Add(1)
	return true
}

// CancelCall ends a call that the client cancels. The call gets no answer.
func (c *Conn) CancelCall(seqID int32) {
	c.mu.Lock()
	call := c.calls[seqID]
	c.endCall(seqID)
	c.mu.Unlock()
	if call != nil {
		call.end()()
	}
}

// Reply ends an open call with its answer. If the call is not open any more, the answer is dropped.
func (c *Conn) Reply(seqID int32, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.calls[seqID]; open {
		c.enqueue(frame)
		c.endCall(seqID)
	}
}

// Send sends a frame that is not the answer to an open call.
func (c *Conn) Send(frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(frame)
}

// Close closes the connection of a client that has violated the protocol, once its answers are written. Open calls are
// cancelled.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseReason(Malformed)
	c.closing = true
	c.startWriter()
}

// endCall removes a call from the open ones. The caller must hold c.mu.
func (c *Conn) endCall(seqID int32) {
	if _, open := c.calls[seqID]; open {
		delete(c.calls, seqID)
		c.server.openCalls.Add(-1)
		c.lastActivity = time.Now()
		c.wakeIdleReader()
	}
}

// isIdle reports whether no call is open and all answers are written. The caller must hold c.mu.
func (c *Conn) isIdle() bool { return len(c.calls) == 0 && len(c.outbound) == 0 && !c.writing }

// setCloseReason records why the connection is closed. Only the first reason is kept. The caller must hold c.mu.
func (c *Conn) setCloseReason(reason CloseReason) {
	if !c.closeReasonSet {
		c.closeReasonSet, c.closeReason = true, reason
	}
}

// enqueue passes a frame to the writer. The caller must hold c.mu.
func (c *Conn) enqueue(frame []byte) {
	if c.disconnected || c.closing || c.closed {
		return
	}
	limits := &c.server.limits
	if len(c.outbound) > (limits.MaxOpenCalls+1)*limits.MaxFrameBytes { // the client sends requests but reads no answers
		c.setCloseReason(ClientNotReading)
		c.conn.Close()
		return
	}
	// A client that has read all earlier answers gets this one in any case.
	if !c.server.unwritten.reserve(&c.writeAccount, len(frame)) {
		if c.writing || len(c.outbound) > 0 {
			c.setCloseReason(ClientNotReading)
			c.conn.Close()
			return
		}
		c.server.unwritten.release(&c.writeAccount, -len(frame))
	}
	c.outbound = append(c.outbound, frame...)
	c.startWriter()
}

// startWriter starts the writer's goroutine, which runs while there are frames to write, and to close the connection.
// The caller must hold c.mu. The reader must not have ended, so that the server waits for both.
func (c *Conn) startWriter() {
	if c.writerRunning || c.closed {
		return
	}
	c.writerRunning = true
	c.server.running.Add(1)
	go c.writeLoop()
}
