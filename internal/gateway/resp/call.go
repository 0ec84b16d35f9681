package resp

import "time"

// Outcome is the way in which a call ended.
type Outcome int

// The outcomes of a call.
const (
	Answered       Outcome = iota // the worker has responded
	NotSent                       // the last byte was not written: the worker can't have read the complete message
	ConnectionLost                // the connection ended before a response; the worker may have read the message
	Cancelled                     // the call was cancelled; the worker may have read the message
	Withheld                      // Message.Encode returned nil, so the message was not written to the connection
)

// Result is the result of a call.
type Result struct {
	Outcome  Outcome
	Elements [][]byte // elements of the response after the call's ID
}

// Sharing determines whether a call may share its connection with other calls.
type Sharing int

const (
	// Shared allows a call to use a connection that carries other calls.
	Shared Sharing = iota

	// Exclusive requests a connection without other calls, which is possible as long as there are few connections. The
	// loss of a shared connection would end all calls on it.
	Exclusive
)

// Message is the message that a call sends.
type Message struct {
	// Encode encodes the message immediately before it is written, so that the message is not outdated by the time it
	// waited. If Encode returns nil, the message is withheld. Encode must not block.
	Encode func() []byte

	// OnWritten is called once the last byte has been written. It may be nil.
	OnWritten func()

	// WriteTimeout is the maximum time for writing the message, after which its connection is closed. If it is 0 or
	// longer than Limits.IOTimeout, Limits.IOTimeout applies.
	WriteTimeout time.Duration

	// NoNewWork states that the message asks for no work: it may be sent to a worker after Worker.Stop.
	NoNewWork bool
}

// FixedMessage returns a message whose encoding does not depend on when it is written.
func FixedMessage(frame []byte) Message { return Message{Encode: func() []byte { return frame }} }

// Call is a call to a worker.
type Call struct {
	worker *Worker
	conn   *conn
	id     string
	Message
	state         callState
	cancelCommand []byte // command that Cancel has queued
	done          func(Result)
}

// callState is the progress of a call. It is guarded by the worker's mu.
type callState int

const (
	queued     callState = iota // the message waits to be written
	sent                        // the message is being written or has been written
	cancelling                  // the cancel command is queued
	completed                   // the call has its result
)

// Cancel cancels the call. If the write of its message has not begun, the message is not sent and the call ends
// immediately. Otherwise command is written to the call's connection, and the call ends only then, so that no later
// message can reach the worker before the command. The connection accepts no more calls, as a response to the cancelled
// call may still arrive. If command is nil, the call ends immediately.
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
