package workerrpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// handshakeTimeout is the maximum time to wait for a gateway's handshake.
	handshakeTimeout = 5 * time.Second
	// writeTimeout is the maximum time for writing a frame; after it the connection is closed.
	writeTimeout = 5 * time.Second
	// maxExtraFrames is added to a connection's maximum number of attempts in flight for two limits: the number of
	// frames queued for a gateway that does not read them, and the number of load requests in flight.
	maxExtraFrames = 256
)

// serverConn is one connection of a Server.
type serverConn struct {
	server      *Server
	conn        net.Conn
	gateway     string // name of the gateway, from its handshake
	maxAttempts int    // maximum number of attempts in flight
	wakeup      chan struct{}

	mu           sync.Mutex
	outQueue     [][]byte          // encoded frames to write
	cancels      map[uint64]func() // cancel functions of the attempts in flight, by sequence number; nil once closed
	loadRequests int               // number of load requests in flight
}

func newServerConn(server *Server, conn net.Conn) *serverConn {
	return &serverConn{
		server:      server,
		conn:        conn,
		maxAttempts: max(1, server.Handshake.MaxAttempts),
		wakeup:      make(chan struct{}, 1),
		cancels:     map[uint64]func(){},
	}
}

// serve serves the connection until it is closed or lost, and then cancels the attempts in flight.
func (c *serverConn) serve(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return c.conn.Close()
	})
	group.Go(c.readLoop)
	group.Go(func() error { return c.writeLoop(ctx) })
	_ = group.Wait() // the reason is not needed: the gateway treats every end as a lost connection
	c.mu.Lock()
	cancels := c.cancels
	c.cancels = nil
	c.mu.Unlock()
	for _, cancel := range cancels {
		if cancel != nil {
			cancel()
		}
	}
}

// send queues a message. An attempt result that can't be encoded, such as one longer than MaxFrame, is replaced by one
// with CodeFailed.
func (c *serverConn) send(body any) {
	frame, err := AppendFrame(nil, body)
	if result, ok := body.(*AttemptResult); ok && err != nil {
		frame, err = AppendFrame(nil, &AttemptResult{Seq: result.Seq, RequestID: result.RequestID, Code: CodeFailed,
			CPUTime: result.CPUTime, Report: result.Report, Reason: err.Error()})
	}
	if err != nil {
		return
	}
	c.mu.Lock()
	if c.cancels != nil {
		c.outQueue = append(c.outQueue, frame)
	}
	c.mu.Unlock()
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop writes queued frames until ctx is done or the connection is lost.
func (c *serverConn) writeLoop(ctx context.Context) error {
	for {
		c.mu.Lock()
		frames := c.outQueue
		c.outQueue = nil
		c.mu.Unlock()
		if len(frames) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-c.wakeup:
			}
			continue
		}
		for _, frame := range frames {
			if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if _, err := c.conn.Write(frame); err != nil {
				return fmt.Errorf("write to %s: %w", c.gateway, err)
			}
		}
	}
}

// queuedFrames returns the number of frames that wait for the write loop.
func (c *serverConn) queuedFrames() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outQueue)
}

// readLoop reads and handles the gateway's messages until it fails. Its error is never nil; it is io.EOF if the gateway
// closed the connection between two frames or sent a drain notice.
func (c *serverConn) readLoop() error {
	reader := NewFrameReader(c.conn, MaxFrame)
	if err := c.handshake(reader); err != nil {
		return err
	}
	for {
		body, err := reader.Next()
		if err != nil {
			return err
		}
		if c.queuedFrames() > c.maxAttempts+maxExtraFrames {
			return fmt.Errorf("%w: gateway %s does not read its results", ErrProtocol, c.gateway)
		}
		if err := c.dispatch(body); err != nil {
			return err
		}
	}
}

// handshake reads the gateway's handshake and sends the worker's, even if the gateway has a different protocol version.
func (c *serverConn) handshake(reader *FrameReader) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	body, err := reader.Next()
	if err != nil {
		return err
	}
	received, ok := body.(*Handshake)
	if !ok {
		return fmt.Errorf("%w: received %T, want a handshake", ErrProtocol, body)
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.gateway = received.Name
	sent := c.server.Handshake
	sent.Version, sent.MaxFrame = ProtocolVersion, MaxFrame
	c.send(&sent)
	if received.Version != ProtocolVersion {
		return fmt.Errorf("%w: gateway %q has protocol version %d", ErrProtocol, received.Name, received.Version)
	}
	return nil
}

// dispatch handles one message of the gateway. It returns io.EOF for a drain notice, which closes the connection.
func (c *serverConn) dispatch(body any) error {
	switch message := body.(type) {
	case *Attempt:
		return c.handleAttempt(message)
	case *Cancel:
		c.handleCancel(message)
		return nil
	case *LoadRequest:
		return c.handleLoadRequest(message)
	case *Probe:
		c.send(&ProbeReply{Seq: message.Seq, Report: c.server.Handler.LoadReport()})
		return nil
	case *DrainNotice:
		return io.EOF
	default:
		return fmt.Errorf("%w: gateway %s sent an unexpected %T", ErrProtocol, c.gateway, body)
	}
}

// handleAttempt passes an attempt to the handler and records its cancel function.
func (c *serverConn) handleAttempt(attempt *Attempt) error {
	c.mu.Lock()
	_, duplicate := c.cancels[attempt.Seq]
	overLimit := len(c.cancels) >= c.maxAttempts
	if !duplicate && !overLimit {
		c.cancels[attempt.Seq] = nil
	}
	c.mu.Unlock()
	if duplicate || overLimit {
		return fmt.Errorf("%w: gateway %s has more than %d attempts in flight or reuses a sequence number", ErrProtocol,
			c.gateway, c.maxAttempts)
	}
	cancel := c.server.Handler.HandleAttempt(c.gateway, attempt, func(result *AttemptResult) {
		c.mu.Lock()
		_, inFlight := c.cancels[attempt.Seq]
		delete(c.cancels, attempt.Seq)
		c.mu.Unlock()
		if inFlight {
			result.Seq, result.RequestID = attempt.Seq, attempt.RequestID
			c.send(result)
		}
	})
	c.mu.Lock()
	if _, inFlight := c.cancels[attempt.Seq]; inFlight {
		c.cancels[attempt.Seq] = cancel
	}
	c.mu.Unlock()
	return nil
}

// handleCancel cancels an attempt if it is still in flight.
func (c *serverConn) handleCancel(message *Cancel) {
	c.mu.Lock()
	cancel := c.cancels[message.Seq]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// handleLoadRequest passes a load request to the handler.
func (c *serverConn) handleLoadRequest(request *LoadRequest) error {
	c.mu.Lock()
	c.loadRequests++
	overLimit := c.loadRequests > c.maxAttempts+maxExtraFrames
	c.mu.Unlock()
	if overLimit {
		return fmt.Errorf("%w: gateway %s has too many load requests in flight", ErrProtocol, c.gateway)
	}
	var once sync.Once
	c.server.Handler.HandleLoadRequest(c.gateway, request, func(result *LoadResult) {
		once.Do(func() {
			c.mu.Lock()
			c.loadRequests--
			c.mu.Unlock()
			result.Seq = request.Seq
			c.send(result)
		})
	})
	return nil
}
