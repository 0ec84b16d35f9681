package workerrpc

import (
	"errors"
	"time"
)

// Status describes how a call ended, as far as the gateway can determine.
type Status int

// The statuses. An attempt with StatusUnsent never ran, as none of its bytes were written. An attempt with
// StatusConnectionLost or StatusCancelled may have run, and so may one with StatusAnswered unless Code.NeverRan returns
// true for its code.
const (
	StatusAnswered       Status = iota
	StatusUnsent                // ended before any of its bytes were written
	StatusConnectionLost        // the connection was lost after bytes may have been written and before the answer
	StatusCancelled             // cancelled by the gateway before the answer
)

// Errors in the outcomes of calls that were not answered.
var (
	ErrQueueFull      = errors.New("the queue of calls to the worker is full")
	ErrStopped        = errors.New("sending to the worker is stopped")
	ErrQueueTimeout   = errors.New("call exceeded the queue timeout")
	ErrBackoff        = errors.New("connecting failed recently and the backoff has not elapsed")
	ErrWorkerDraining = errors.New("the worker is draining")
	ErrCancelled      = errors.New("cancelled")
	ErrWithheld       = errors.New("withheld: the gateway no longer permits sending it")
	errClientClosed   = errors.New("the client is closed")
)

// Outcome is the result of a call. Each call has exactly one.
type Outcome struct {
	Status        Status
	AttemptResult *AttemptResult // the worker's answer to an attempt, or nil
	LoadResult    *LoadResult    // the worker's answer to a load request, or nil
	ProbeReply    *ProbeReply    // the worker's answer to a probe, or nil
	Err           error          // why the call was not answered; nil if it was answered
}

// NeverRan reports whether it is certain that the attempt never ran.
func (o Outcome) NeverRan() bool {
	answered := o.Status == StatusAnswered && o.AttemptResult != nil
	return o.Status == StatusUnsent || answered && o.AttemptResult.Code.NeverRan()
}

// callState is the state of a call on its way from the queue to its outcome.
type callState int

const (
	callQueued callState = iota
	callWriting
	callSent
	callAbandoned // cancelled: the outcome was reported, the worker's answer is still expected
	callCompleted
)

// Call is one attempt, load request or probe that is queued or in flight. The client's mutex guards its fields.
type Call struct {
	client      *Client
	seq         uint64
	attempt     *Attempt     // nil if the call is a load request or a probe
	loadRequest *LoadRequest // nil if the call is an attempt or a probe
	deadline    time.Time    // the deadline of the client's request; set for attempts only
	startBy     time.Time    // latest time at which the worker may start the attempt; zero if there is no limit
	maySend     func() bool  // if it returns false just before the call is written, the call is withheld; may be nil
	state       callState
	queueTimer  *time.Timer
	done        func(Outcome)

	cancelRequested bool
}

// onConnection reports whether bytes of the call may have been written and the call has no outcome yet. The client's
// mutex must be held.
func (c *Call) onConnection() bool { return c.state == callWriting || c.state == callSent }

// Cancel cancels an attempt. A queued attempt ends with StatusUnsent. For an attempt that was sent, a cancel message is
// queued, and the attempt ends with StatusCancelled once that message is written, so that an attempt sent in response
// follows the cancel message on the connection. A result that arrives earlier becomes the outcome; one that arrives
// later is counted and dropped. Cancel has no effect on a call that already has an outcome.
func (c *Call) Cancel() {
	client := c.client
	if client.abortQueued(c, ErrCancelled) {
		return
	}
	client.mu.Lock()
	if c.onConnection() && !c.cancelRequested {
		c.cancelRequested = true
		client.cancelQueue = append(client.cancelQueue, c)
		client.wake()
	}
	client.mu.Unlock()
}

// Abandon cancels an attempt without notifying the worker. An attempt that was sent ends with StatusCancelled at once.
func (c *Call) Abandon() {
	if c.client.abortQueued(c, ErrCancelled) {
		return
	}
	c.client.abandon(c)
}
