package workerrpc

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxIdleWriteBuffer is the largest buffer that the write loop retains between frames, in bytes.
const maxIdleWriteBuffer = 1 << 20

// Run connects when a call is queued and serves the connection, until ctx is done. Before it returns, it ends every
// call that has no outcome.
func (c *Client) Run(ctx context.Context) error {
	defer c.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeup:
		}
		c.mu.Lock()
		queued := len(c.attemptQueue)+len(c.controlQueue) > 0
		backoffLeft := time.Until(c.nextDialAt)
		c.mu.Unlock()
		switch {
		case !queued:
		case backoffLeft > 0: // the calls were queued before the last attempt to connect failed
			c.failCalls(ErrBackoff)
		default:
			c.failCalls(c.serve(ctx))
		}
	}
}

// close ends all calls. Calls made later are rejected.
func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.failCalls(errClientClosed)
}

// failCalls ends every call that has no outcome, after the connection is lost or could not be opened.
func (c *Client) failCalls(reason error) {
	type failure struct {
		call   *Call
		status Status
	}
	var failures []failure
	c.mu.Lock()
	for _, call := range c.calls {
		switch {
		case call.state == callQueued:
			failures = append(failures, failure{call, StatusUnsent})
		case call.onConnection():
			failures = append(failures, failure{call, StatusConnectionLost})
		}
		c.finish(call)
	}
	c.attemptQueue, c.controlQueue, c.cancelQueue, c.queuedBytes = nil, nil, nil, 0
	c.conn, c.inFlight, c.workerDraining = nil, 0, false
	c.mu.Unlock()
	for _, failed := range failures {
		failed.call.done(Outcome{Status: failed.status, Err: reason})
	}
}

// serve opens a connection and serves it until it is lost.
func (c *Client) serve(ctx context.Context) error {
	conn, handshake, reader, err := c.connect(ctx)
	c.mu.Lock()
	if err != nil {
		c.nextDialAt = time.Now().Add(c.dialBackoff.NextBackOff())
		c.mu.Unlock()
		return fmt.Errorf("connect to %s: %w", c.worker, err)
	}
	c.dialBackoff.Reset()
	c.conn, c.inFlight, c.maxInFlight, c.workerDraining = conn, 0, max(1, handshake.MaxAttempts), false
	c.counts.Connections++
	c.mu.Unlock()
	if c.OnHandshake != nil {
		c.OnHandshake(handshake)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	group.Go(func() error { return c.readLoop(reader) })
	group.Go(func() error { return c.writeLoop(ctx, conn) })
	return group.Wait()
}

// connect dials the worker and exchanges handshakes within the dial timeout.
func (c *Client) connect(ctx context.Context) (net.Conn, *Handshake, *FrameReader, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.DialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, c.addr)
	if err != nil {
		return nil, nil, nil, err
	}
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	handshake, reader, err := c.handshake(conn)
	if !stopClosing() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, nil, nil, err
	}
	return conn, handshake, reader, nil
}

// handshake exchanges handshakes on a new connection and validates the worker's.
func (c *Client) handshake(conn net.Conn) (*Handshake, *FrameReader, error) {
	frame, err := AppendFrame(nil, &Handshake{Version: ProtocolVersion, Name: c.gateway, MaxFrame: MaxFrame})
	if err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, nil, err
	}
	reader := NewFrameReader(conn, MaxFrame)
	body, err := reader.Next()
	if err != nil {
		return nil, nil, err
	}
	handshake, ok := body.(*Handshake)
	switch {
	case !ok:
		return nil, nil, fmt.Errorf("%w: received %T, want a handshake", ErrProtocol, body)
	case handshake.Version != ProtocolVersion:
		return nil, nil, fmt.Errorf("%w: worker has protocol version %d, gateway has version %d", ErrProtocol,
			handshake.Version, ProtocolVersion)
	case handshake.Name != c.worker:
		return nil, nil, fmt.Errorf("%w: worker is named %q, want %q", ErrProtocol, handshake.Name, c.worker)
	}
	return handshake, reader, nil
}

// readLoop reads and handles the worker's messages until the connection is lost.
func (c *Client) readLoop(reader *FrameReader) error {
	for {
		body, err := reader.Next()
		if err != nil {
			return fmt.Errorf("read from %s: %w", c.worker, err)
		}
		switch answer := body.(type) {
		case *AttemptResult:
			c.completeCall(answer.Seq, func(call *Call) (Outcome, bool) {
				return Outcome{AttemptResult: answer}, call.attempt != nil && call.attempt.RequestID == answer.RequestID
			})
		case *LoadResult:
			c.completeCall(answer.Seq, func(call *Call) (Outcome, bool) {
				return Outcome{LoadResult: answer}, call.loadRequest != nil
			})
		case *ProbeReply:
			c.completeCall(answer.Seq, func(call *Call) (Outcome, bool) {
				return Outcome{ProbeReply: answer}, call.attempt == nil && call.loadRequest == nil
			})
		case *DrainNotice:
			c.handleDrainNotice()
		default:
			return fmt.Errorf("%w: worker %s sent an unexpected %T", ErrProtocol, c.worker, body)
		}
	}
}

// handleDrainNotice ends all queued calls with StatusUnsent: the draining worker starts no new work.
func (c *Client) handleDrainNotice() {
	c.mu.Lock()
	c.workerDraining = true
	queued := append(append([]*Call(nil), c.attemptQueue...), c.controlQueue...)
	c.mu.Unlock()
	for _, call := range queued {
		c.abortQueued(call, ErrWorkerDraining)
	}
}

// completeCall ends the call with sequence number seq. match returns the outcome, and false if the answer does not
// belong to the call. An answer that belongs to no call, or to a cancelled one, is counted and dropped.
func (c *Client) completeCall(seq uint64, match func(*Call) (Outcome, bool)) {
	c.mu.Lock()
	call := c.calls[seq]
	if call == nil || call.state == callQueued {
		c.counts.UnmatchedResponses++
		c.mu.Unlock()
		return
	}
	outcome, ok := match(call)
	if !ok {
		c.counts.UnmatchedResponses++
		c.mu.Unlock()
		return
	}
	abandoned := call.state == callAbandoned
	if call.attempt != nil {
		c.inFlight--
		c.wake()
	}
	if abandoned {
		c.counts.LateResponses++
	}
	c.finish(call)
	c.mu.Unlock()
	if !abandoned {
		call.done(outcome)
	}
}

// writeLoop writes queued messages until ctx is done or the connection is lost.
func (c *Client) writeLoop(ctx context.Context, conn net.Conn) error {
	var frame []byte
	for {
		next := c.nextMessage()
		if next.body == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-c.wakeup:
			}
			continue
		}
		var err error
		if frame, err = AppendFrame(frame[:0], next.body); err != nil {
			c.failUnwritten(next.call, err)
			continue
		}
		if err := c.writeFrame(conn, next.call, frame); err != nil {
			return fmt.Errorf("write to %s: %w", c.worker, err)
		}
		if next.cancelled != nil {
			c.abandon(next.cancelled)
		}
		if cap(frame) > maxIdleWriteBuffer {
			frame = nil
		}
	}
}

// writeFrame writes the frame that sends call; call is nil for cancels and drain notices. If the write fails before any
// byte is written, the call ends with StatusUnsent.
func (c *Client) writeFrame(conn net.Conn, call *Call, frame []byte) error {
	if err := c.setWriteDeadline(conn, call); err != nil {
		c.failUnwritten(call, err)
		return err
	}
	n, err := conn.Write(frame)
	if err != nil {
		if n == 0 {
			c.failUnwritten(call, err)
		}
		return err
	}
	if call != nil {
		c.mu.Lock()
		if call.state == callWriting {
			call.state = callSent
		}
		c.mu.Unlock()
	}
	return nil
}

// abandon ends a sent call with StatusCancelled. The worker may still answer it.
func (c *Client) abandon(call *Call) {
	c.mu.Lock()
	onConnection := call.onConnection()
	if onConnection {
		call.state = callAbandoned
	}
	c.mu.Unlock()
	if onConnection {
		call.done(Outcome{Status: StatusCancelled, Err: ErrCancelled})
	}
}

// setWriteDeadline sets the deadline of the next write. An attempt or load request that was removed from the queue just
// before Stop must not be written after the grace of Stop.
func (c *Client) setWriteDeadline(conn net.Conn, call *Call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(c.limits.WriteTimeout)
	stoppable := call != nil && (call.attempt != nil || call.loadRequest != nil)
	if stoppable && c.stopped && c.stopDeadline.Before(deadline) {
		deadline = c.stopDeadline
	}
	return conn.SetWriteDeadline(deadline)
}

// failUnwritten ends a call with StatusUnsent because none of its bytes were written. call may be nil.
func (c *Client) failUnwritten(call *Call, reason error) {
	if call == nil {
		return
	}
	c.mu.Lock()
	writing := call.state == callWriting
	c.finish(call)
	if call.attempt != nil {
		c.inFlight--
	}
	c.mu.Unlock()
	if writing {
		call.done(Outcome{Status: StatusUnsent, Err: reason})
	}
}
