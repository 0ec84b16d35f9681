package resp

import "time"

// Outcome is how a call ended.
type Outcome int

// The outcomes.
const (
	Answered       Outcome = iota
	NotSent                // its last byte never left: the worker can't have read it whole
	ConnectionLost         // the worker may have read it
	Cancelled              // the worker may have read it
	Withheld               // not sent, as Message.Encode decided
)

// Result ends a call. Elements are those of the response after the call's ID.
type Result struct {
	Outcome  Outcome
	Elements [][]byte
}

// Sharing says whether a call shares its connection.
type Sharing int

const (
	// Shared lets a call go over a connection with others.
	Shared Sharing = iota

	// Exclusive asks for a connection without other calls, as long as there are few connections: what breaks a
	// connection breaks all calls on it.
	Exclusive
)

// Message is what a call sends.
type Message struct {
	// Encode encodes the message when it is about to be written, however long it has waited for that. With nil it is not
	// sent any more. Encode must not block.
	Encode func() []byte

	// OnWritten is called once the last byte has left; it may be nil.
	OnWritten func()

	// WriteTimeout is the longest time for writing the message, after which its connection ends. 0, or more than
	// Limits.IOTimeout, means that.
	WriteTimeout time.Duration
}

// FixedMessage is a message that does not change while it waits.
func FixedMessage(frame []byte) Message { return Message{Encode: func() []byte { return frame }} }

// Call is a call to a worker.
type Call struct {
	worker *Worker
	conn   *conn
	id     string
	Message
	state         callState
	cancelCommand []byte // to be written when it is cancelled
	done          func(Result)
}

// callState is how far a call is. The worker's mu guards it.
type callState int

const (
	queued callState = iota
	sent
	cancelling // its cancel command is queued
	completed
)

// Cancel cancels the call. One that has not left is not sent. For another, command is written, and the call ends
// then, so that nothing sent later can overtake it; its connection accepts no more calls, as a response may still
// come. Without a command the call ends at once.
func (c *Call) Cancel(command []byte) {
	w := c.worker
	w.mu.Lock()
	switch c.state {
	case queued:
		c.conn.dequeue(c)
		c.conn.complete(c)
		w.mu.Unlock()
		c.done(Result{Outcome: NotSent})
		return
	case sent:
		c.conn.closing = true
		if command == nil {
			c.conn.complete(c)
			w.mu.Unlock()
			c.done(Result{Outcome: Cancelled})
			return
		}
		c.state, c.cancelCommand = cancelling, command
		c.conn.queue = append(c.conn.queue, c)
		c.conn.wake()
	}
	w.mu.Unlock()
}
