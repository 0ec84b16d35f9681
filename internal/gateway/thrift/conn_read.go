package thrift

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"lupinpond/internal/gateway/turns"
	"lupinpond/scheduler/ingress"
)

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 2048

// readLoop reads messages until the connection is to be closed, and then cancels the open calls.
func (c *Conn) readLoop() {
	defer c.server.running.Done()
	reason := c.readMessages()
	c.endTurn()
	c.mu.Lock()
	c.setCloseReason(reason)
	c.disconnected, c.closing = true, true
	c.openAtClose = len(c.calls)
	c.startWriter()
	var cancelled []func()
	for seqID, call := range c.calls {
		cancelled = append(cancelled, call.end())
		c.endCall(seqID)
	}
	c.mu.Unlock()
	for _, cancel := range cancelled {
		cancel()
	}
}

// readMessages reads and handles messages until there is a reason to close the connection, and returns the reason.
func (c *Conn) readMessages() CloseReason {
	in := bufio.NewReaderSize(turnReader{c}, readBufferBytes)
	for {
		if err := c.submitStaged(in); err != nil {
			return closeReasonOf(err)
		}
		c.awaitRelease()
		frame, err := c.readFrame(in)
		if err != nil {
			return closeReasonOf(err)
		}
		c.cost += ingress.MessageCost
		message, err := Parse(frame)
		if err != nil {
			c.Send(EncodeException("", 0, ProtocolError, err.Error()))
			return Malformed
		}
		c.mu.Lock()
		c.hasRequested, c.lastActivity = true, time.Now()
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return Malformed
		}
		c.server.handle(c, message)
	}
}

// readFrame reads a frame. It returns an error for an invalid length before any byte of the message is read.
func (c *Conn) readFrame(in *bufio.Reader) ([]byte, error) {
	if err := c.awaitMessage(in); err != nil {
		return nil, err
	}
	var head [4]byte
	if err := c.readFull(in, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > uint32(c.server.limits.MaxFrameBytes) {
		return nil, malformedError("frame length is 0 or above the limit")
	}
	return c.readBody(in, int(n))
}

// readBody reads the rest of a frame. A client that has not sent all of it occupies only about as much memory as it has
// sent.
func (c *Conn) readBody(in *bufio.Reader, n int) ([]byte, error) {
	frame, err := c.readArrivedPart(in, n)
	reserved := 0
	defer func() { c.server.partials.release(&c.partialAccount, reserved) }()
	for err == nil && len(frame) < n {
		more := min(n-len(frame), max(len(frame), readBufferBytes))
		if !c.server.partials.reserve(&c.partialAccount, len(frame)+more-reserved) {
			return nil, errPartialMemory
		}
		reserved = len(frame) + more
		frame = slices.Grow(frame, more)
		err = c.readFull(in, frame[len(frame):len(frame)+more])
		frame = frame[:len(frame)+more]
	}
	return frame, err
}

// readArrivedPart reads the part of the next n bytes that has arrived.
func (c *Conn) readArrivedPart(in *bufio.Reader, n int) ([]byte, error) {
	buffer := c.server.frameBuffers.Get().(*[]byte)
	defer c.server.frameBuffers.Put(buffer)
	c.readMode = readSameFrame
	read, err := io.ReadFull(in, (*buffer)[:n])
	c.readMode = readWaiting
	if errors.Is(err, turns.ErrWouldBlock) {
		err = nil
	}
	return bytes.Clone((*buffer)[:read]), err
}

// readFull reads a part of a message. It returns an error if the part does not arrive in time, but not before the
// connection is idle apart from the message.
func (c *Conn) readFull(in *bufio.Reader, b []byte) error {
	for read := 0; ; {
		c.mu.Lock()
		deadline := c.messageBegan.Add(c.server.limits.MessageTimeout)
		if !c.isIdle() {
			deadline = time.Now().Add(c.server.limits.MessageTimeout)
		}
		err := c.conn.SetReadDeadline(deadline)
		c.mu.Unlock()
		if err != nil {
			return err
		}
		n, err := io.ReadFull(in, b[read:])
		read += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.mayTimeOut() {
			return err
		}
	}
}

// mayTimeOut reports whether the connection is idle and may be closed because a message is incomplete. If it is not
// idle, mayTimeOut also cancels its eviction.
func (c *Conn) mayTimeOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() {
		return true
	}
	c.evicting = false
	return false
}

// awaitMessage waits for the first byte of a message. It returns an error if the connection is to be closed. Before an
// idle connection is closed there is a final read, because a request that arrived during a stall of the process must be
// served even if its read deadline has passed.
func (c *Conn) awaitMessage(in *bufio.Reader) error {
	for {
		deadline, closeErr := c.awaitDeadline()
		if closeErr == errEvicted || closeErr == errShutdown {
			if !c.peeker.peek() {
				return closeErr
			}
			closeErr, deadline = nil, time.Now().Add(c.server.limits.MessageTimeout)
		}
		if err := c.conn.SetReadDeadline(deadline); err != nil {
			return err
		}
		if closeErr == nil { // a call may have ended, or Drain may have been called, since awaitDeadline
			c.mu.Lock()
			c.wakeIdleReader()
			c.mu.Unlock()
		}
		_, err := in.Peek(1)
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && closeErr != nil {
			err = closeErr
		}
		if err == nil || !timeout || closeErr != nil {
			c.mu.Lock()
			c.awaitingMessage, c.messageBegan = false, time.Now()
			if err == nil {
				c.evicting = false
			}
			c.mu.Unlock()
			return err
		}
	}
}

// awaitDeadline returns the time until which the reader waits for a message, and the error with which the connection is
// closed if none arrives by then. The error is nil if the connection stays open.
func (c *Conn) awaitDeadline() (deadline time.Time, closeErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.server.limits.IdleTimeout
	if !c.hasRequested {
		timeout = c.server.limits.MessageTimeout
	}
	now := time.Now()
	idle := c.isIdle()
	c.evicting = c.evicting && idle
	c.awaitingMessage = false
	switch {
	case c.evicting:
		return now, errEvicted
	case idle && c.server.closeWhenIdle.Load():
		return now, errShutdown
	case idle && c.server.draining.Load():
		return now.Add(c.server.limits.FinalReadTimeout), errDrained
	case idle && now.Sub(c.lastActivity) >= timeout:
		return now.Add(c.server.limits.FinalReadTimeout), errIdleTimeout
	case idle:
		deadline = c.lastActivity.Add(timeout)
	default:
		deadline = now.Add(timeout)
	}
	c.awaitingMessage = true
	return deadline, nil
}

// wakeIdleReader interrupts a reader that waits for a message on an idle connection, if the server is draining or the
// connection is being evicted. The reader then closes the connection after a final read. The caller must hold c.mu.
func (c *Conn) wakeIdleReader() {
	if c.awaitingMessage && c.isIdle() && (c.evicting || c.server.draining.Load() || c.server.closeWhenIdle.Load()) {
		_ = c.conn.SetReadDeadline(time.Now()) // fails only on a closed connection, whose reader gets an error anyway
	}
}
