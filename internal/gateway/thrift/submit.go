package thrift

import (
	"bufio"
	"errors"
	"time"

	"lupinpond/internal/gateway/turns"
)

// Calls are staged when they are read, and submitted once the data that arrived after them has been read too: it may
// hold their cancellation or the end of the connection. A client that cancels its calls at once, or that closes its
// connection while much is unread, thus causes no work for them.
const (
	// maxSubmitDelay is the time after which a call is submitted although the client has sent more than could be read.
	maxSubmitDelay = 100 * time.Millisecond

	// maxSubmittedShare limits the calls of a connection that are submitted and not released, cancelled ones included, to
	// this multiple of the calls that may be open.
	maxSubmittedShare = 2
)

// SubmitLater makes the connection call submit for an open call once it has read what the client has sent, or discard
// if the client cancels the call or disconnects before. The call counts as submitted until Release. SubmitLater must be
// called by the server's handler.
func (c *Conn) SubmitLater(seqID int32, submit, discard func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[seqID]
	call.staged, call.stagedAt, call.submit, call.discard = true, time.Now(), submit, discard
	c.staged = append(c.staged, seqID)
}

// ReserveMemory adds the size of a call to the memory that the calls of the connection hold, and returns true, unless
// they would hold too much.
func (c *Conn) ReserveMemory(bytes int) bool {
	return c.server.callBytes.reserve(&c.callAccount, bytes)
}

// ReleaseMemory subtracts the size of a call from the memory that the calls of the connection hold.
func (c *Conn) ReleaseMemory(bytes int) { c.server.callBytes.release(&c.callAccount, bytes) }

// Release ends the time for which a submitted call occupies the connection. It must be called once for each submitted
// call, when nothing refers to it any more.
func (c *Conn) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted--
	c.released.Signal()
}

// awaitRelease waits until the connection may submit a further call, or has ended.
func (c *Conn) awaitRelease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.submitted >= maxSubmittedShare*c.server.limits.MaxOpenCalls && !c.closed && !c.stopped {
		c.endTurn()
		c.released.Wait()
	}
}

// submitStaged submits the staged calls if all data that has arrived is handled, or if they have waited for long. It
// returns an error if the connection has ended.
func (c *Conn) submitStaged(in *bufio.Reader) error {
	if in.Buffered() > 0 {
		return nil
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.readMode = readArrived
	_, err := in.Peek(1)
	c.readMode = readWaiting
	switch {
	case errors.Is(err, turns.ErrWouldBlock):
		c.behindSince, c.sparse = time.Time{}, true
		c.submitBefore(time.Now())
		return nil
	case err == nil:
		c.submitBefore(time.Now().Add(-maxSubmitDelay))
	}
	return err
}

// submitBefore submits the calls that were staged by a time and are still open.
func (c *Conn) submitBefore(latest time.Time) {
	remaining := c.staged[:0]
	for _, seqID := range c.staged {
		c.mu.Lock()
		call := c.calls[seqID]
		isDue := call != nil && call.staged && !call.stagedAt.After(latest)
		if call != nil && call.staged && !isDue {
			remaining = append(remaining, seqID)
		}
		if isDue {
			call.staged = false
			c.submitted++
		}
		c.mu.Unlock()
		if isDue {
			call.submit()
		}
	}
	c.staged = remaining
}
