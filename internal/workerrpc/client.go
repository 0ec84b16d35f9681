package workerrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The pauses after failed connection attempts, relative to the dial timeout.
const (
	// initialBackoffDivisor sets the first pause: dial timeout / initialBackoffDivisor.
	initialBackoffDivisor = 20
	// maxBackoffFactor sets the longest pause: dial timeout * maxBackoffFactor.
	maxBackoffFactor = 2
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Limits are the limits on a Client's queues and the timeouts of its calls.
type Limits struct {
	DialTimeout    time.Duration // maximum time for connecting, including the handshakes
	QueueTimeout   time.Duration // maximum time in the queue; a call that waits longer ends with StatusUnsent
	WriteTimeout   time.Duration // maximum time for writing a message before the connection is closed
	MaxQueuedCalls int
	MaxQueuedBytes int // maximum sum of the lengths of the queued attempts' bodies
}

// Counts are the counters of a Client since its creation.
type Counts struct {
	Connections        int // connections made, with a successful handshake
	UnmatchedResponses int // responses to no call in flight, or of the wrong kind or request ID for the call
	LateResponses      int // responses to cancelled calls
}

// Client sends a gateway's calls to one worker. It has at most one connection, which it opens when a call is queued.
// Its methods are safe for concurrent use. Outcomes may be reported on any goroutine.
type Client struct {
	// OnHandshake, if not nil, is called with the worker's handshake of each connection. It must be set before Run.
	OnHandshake func(*Handshake)

	worker  string // name of the worker
	gateway string // name of the gateway
	addr    string // address of the worker
	limits  Limits
	dial    DialFunc
	wakeup  chan struct{} // holds a token if there may be something to write

	mu                   sync.Mutex // guards the fields below and all calls
	controlQueue         []*Call    // load requests and probes
	cancelQueue          []*Call    // cancelled calls for which a cancel message is to be sent
	attemptQueue         []*Call
	queuedBytes          int // sum of the lengths of the queued attempts' bodies
	calls                map[uint64]*Call
	inFlight             int // attempts written and not answered, including cancelled ones
	maxInFlight          int // maximum of inFlight, from the worker's handshake
	lastSeq              uint64
	conn                 net.Conn // nil if not connected
	workerDraining       bool     // the worker has sent a drain notice on this connection
	drainNoticeRequested bool
	drainNoticeSent      chan struct{} // closed when the drain notice is about to be written, or at once if not connected
	nextDialAt           time.Time
	dialBackoff          *backoff.ExponentialBackOff
	closed               bool      // Run has ended
	stopped              bool      // no new attempts or load requests are sent
	stopDeadline         time.Time // latest time for completing a write that had started before Stop
	counts               Counts
}

// NewClient returns a Client that sends calls from gateway to worker, both given by name. addr is the worker's address.
// Calls are sent only while Run runs.
func NewClient(gateway, worker, addr string, limits Limits, dial DialFunc) *Client {
	dialBackoff := backoff.NewExponentialBackOff()
	dialBackoff.InitialInterval = limits.DialTimeout / initialBackoffDivisor
	dialBackoff.MaxInterval = maxBackoffFactor * limits.DialTimeout
	return &Client{
		worker:          worker,
		gateway:         gateway,
		addr:            addr,
		limits:          limits,
		dial:            dial,
		wakeup:          make(chan struct{}, 1),
		calls:           map[uint64]*Call{},
		maxInFlight:     1,
		drainNoticeSent: make(chan struct{}),
		dialBackoff:     dialBackoff,
	}
}

// Send queues an attempt; timeLeft is the time until its client's deadline. done is called once with the outcome.
func (c *Client) Send(attempt Attempt, timeLeft time.Duration, done func(Outcome)) *Call {
	return c.SendIf(attempt, timeLeft, nil, done)
}

// SendIf is like Send but withholds the attempt if maySend returns false when the attempt is about to be written.
// maySend must not block.
func (c *Client) SendIf(attempt Attempt, timeLeft time.Duration, maySend func() bool, done func(Outcome)) *Call {
	now := time.Now()
	call := &Call{attempt: &attempt, deadline: now.Add(timeLeft), maySend: maySend, done: done}
	if attempt.StartWithin > 0 {
		call.startBy = now.Add(attempt.StartWithin)
	}
	return c.enqueue(call)
}

// Load queues a load request. done is called once with the outcome.
func (c *Client) Load(request LoadRequest, done func(Outcome)) *Call {
	return c.LoadIf(request, nil, done)
}

// LoadIf is like Load but withholds the request if maySend returns false when the request is about to be written.
// maySend must not block.
func (c *Client) LoadIf(request LoadRequest, maySend func() bool, done func(Outcome)) *Call {
	return c.enqueue(&Call{loadRequest: &request, maySend: maySend, done: done})
}

// Probe queues a request for the worker's load report. done is called once with the outcome.
func (c *Client) Probe(done func(Outcome)) *Call { return c.enqueue(&Call{done: done}) }

// Stop ends queued attempts and load requests, and all that follow until Resume is called, with StatusUnsent. It is
// called when the worker is draining or was removed. If a write in progress is not completed within grace, the
// connection is closed, so that nothing is sent later. Probes and cancels are still sent.
func (c *Client) Stop(grace time.Duration) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return
	}
	c.stopped, c.stopDeadline = true, time.Now().Add(grace)
	queued := append([]*Call(nil), c.attemptQueue...)
	for _, call := range c.controlQueue {
		if call.loadRequest != nil {
			queued = append(queued, call)
		}
	}
	for _, call := range c.calls {
		if c.conn != nil && call.state == callWriting {
			if err := c.conn.SetWriteDeadline(c.stopDeadline); err != nil {
				c.conn.Close()
			}
		}
	}
	c.mu.Unlock()
	for _, call := range queued {
		c.abortQueued(call, ErrStopped)
	}
}

// Resume reverts Stop, after the worker is listed as in service again.
func (c *Client) Resume() {
	c.mu.Lock()
	c.stopped = false
	c.mu.Unlock()
}

// NotifyDraining queues a drain notice for the worker if there is a connection. AwaitDrainNotice waits for it.
func (c *Client) NotifyDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainNoticeRequested {
		return
	}
	c.drainNoticeRequested = true
	if c.conn == nil {
		close(c.drainNoticeSent)
	}
	c.wake()
}

// AwaitDrainNotice waits until the drain notice of NotifyDraining is about to be written, or until timeout has elapsed.
func (c *Client) AwaitDrainNotice(timeout time.Duration) {
	timer := time.NewTimer(max(0, timeout))
	defer timer.Stop()
	select {
	case <-c.drainNoticeSent:
	case <-timer.C:
	}
}

// Counts returns the current values of the client's counters.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
