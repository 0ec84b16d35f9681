package workerrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Handler is what a worker does with calls. Its methods return at once; reply may be called later by any goroutine, and
// counts the first time only. A reply to a connection that is gone is lost: the front end knows it as broken.
type Handler interface {
	HandleAttempt(front string, l *Attempt, reply func(*AttemptResult)) (cancel func())
	HandleLoadRequest(front string, o *LoadRequest, reply func(*LoadResult))
	LoadReport() *LoadReport
}

// Server is a worker's side of the protocol.
type Server struct {
	Handshake         Handshake
	Handler           Handler
	WriteTimeout      time.Duration // a write that takes longer ends the connection; 0: 5 s
	MaxConnections    int           // most connections; more are closed at once; 0: 1024
	OnConnectionError func(error)   // told why a connection ended, if not in order; may be nil

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

type serverConn struct {
	server       *Server
	conn         net.Conn
	gateway      string
	mu           sync.Mutex
	wakeup       chan struct{}
	outQueue     [][]byte
	cancels      map[uint64]func() // launches not answered: how to cancel them
	loadRequests int
}

// Serve takes connections until ctx ends or the listener fails. It closes the listener and leaves no goroutine.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	g.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				var slow net.Error
				if errors.As(err, &slow) && slow.Timeout() {
					continue
				}
				return fmt.Errorf("accept: %w", err)
			}
			c := &serverConn{server: s, conn: conn, wakeup: make(chan struct{}, 1), cancels: map[uint64]func(){}}
			s.mu.Lock()
			limit := s.MaxConnections
			if limit == 0 {
				limit = 1024
			}
			over := len(s.conns) >= limit
			if !over {
				s.conns[c] = struct{}{}
			}
			s.mu.Unlock()
			if over {
				conn.Close()
				continue
			}
			g.Go(func() error {
				err := c.serve(ctx)
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				if s.OnConnectionError != nil && err != nil && ctx.Err() == nil {
					s.OnConnectionError(err)
				}
				return nil
			})
		}
	})
	return g.Wait()
}

// CloseConnections breaks all connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.conn.Close()
	}
}

// NotifyDraining says on all connections that nothing new is started here.
func (s *Server) NotifyDraining(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.send(&DrainNotice{Reason: reason})
	}
}

func (c *serverConn) serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return c.conn.Close()
	})
	g.Go(func() error {
		err := c.readLoop()
		if err == nil {
			err = io.EOF // ends the group
		}
		return err
	})
	g.Go(func() error { return c.writeLoop(ctx) })
	err := g.Wait()
	c.mu.Lock()
	cancels := c.cancels
	c.cancels = nil
	c.mu.Unlock()
	for _, cancel := range cancels {
		if cancel != nil {
			cancel()
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (c *serverConn) send(body any) {
	frame, err := AppendFrame(nil, body)
	if a, is := body.(*AttemptResult); is && err != nil { // the answer is too long for a frame
		frame, err = AppendFrame(nil, &AttemptResult{Seq: a.Seq, RequestID: a.RequestID, Code: CodeFailed, CPUTime: a.CPUTime, Report: a.Report,
			Reason: err.Error()})
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

func (c *serverConn) writeLoop(ctx context.Context) error {
	stall := c.server.WriteTimeout
	if stall == 0 {
		stall = 5 * time.Second
	}
	for {
		c.mu.Lock()
		out := c.outQueue
		c.outQueue = nil
		c.mu.Unlock()
		if len(out) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-c.wakeup:
			}
			continue
		}
		for _, frame := range out {
			if err := c.conn.SetWriteDeadline(time.Now().Add(stall)); err != nil {
				return err
			}
			if _, err := c.conn.Write(frame); err != nil {
				return fmt.Errorf("write to %s: %w", c.gateway, err)
			}
		}
	}
}

// queuedFrames is the number of frames that the front end has not read.
func (c *serverConn) queuedFrames() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outQueue)
}

func (c *serverConn) readLoop() error {
	if err := c.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	r := NewFrameReader(c.conn, MaxFrame)
	body, err := r.Next()
	if err != nil {
		return err
	}
	hello, is := body.(*Handshake)
	if !is {
		return fmt.Errorf("%w: %T instead of hello", ErrProtocol, body)
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.gateway = hello.Name
	mine := c.server.Handshake
	mine.Version, mine.MaxFrame = ProtocolVersion, MaxFrame
	c.send(&mine)
	if hello.Version != ProtocolVersion {
		return fmt.Errorf("%w: %q speaks version %d", ErrProtocol, hello.Name, hello.Version)
	}
	most := max(1, mine.MaxAttempts)
	for {
		body, err := r.Next()
		if err != nil {
			return err
		}
		if c.queuedFrames() > most+256 {
			return fmt.Errorf("%w: %s does not read its answers", ErrProtocol, c.gateway)
		}
		switch b := body.(type) {
		case *Attempt:
			if err := c.handleAttempt(b, most); err != nil {
				return err
			}
		case *Cancel:
			c.mu.Lock()
			cancel := c.cancels[b.Seq]
			c.mu.Unlock()
			if cancel != nil {
				cancel()
			}
		case *LoadRequest:
			c.mu.Lock()
			c.loadRequests++
			over := c.loadRequests > most+256
			c.mu.Unlock()
			if over {
				return fmt.Errorf("%w: %s has too many orders outstanding", ErrProtocol, c.gateway)
			}
			var once sync.Once
			c.server.Handler.HandleLoadRequest(c.gateway, b, func(a *LoadResult) {
				once.Do(func() {
					c.mu.Lock()
					c.loadRequests--
					c.mu.Unlock()
					a.Seq = b.Seq
					c.send(a)
				})
			})
		case *Probe:
			c.send(&ProbeReply{Seq: b.Seq, Report: c.server.Handler.LoadReport()})
		case *DrainNotice:
			return nil
		default:
			return fmt.Errorf("%w: %s sent a %T", ErrProtocol, c.gateway, body)
		}
	}
}

func (c *serverConn) handleAttempt(l *Attempt, most int) error {
	c.mu.Lock()
	_, twice := c.cancels[l.Seq]
	over := len(c.cancels) >= most
	if !twice && !over {
		c.cancels[l.Seq] = nil
	}
	c.mu.Unlock()
	if twice || over {
		return fmt.Errorf("%w: %s launches past the limit of %d or uses a number twice", ErrProtocol, c.gateway, most)
	}
	cancel := c.server.Handler.HandleAttempt(c.gateway, l, func(a *AttemptResult) {
		c.mu.Lock()
		_, is := c.cancels[l.Seq]
		delete(c.cancels, l.Seq)
		c.mu.Unlock()
		if is {
			a.Seq, a.RequestID = l.Seq, l.RequestID
			c.send(a)
		}
	})
	c.mu.Lock()
	if _, is := c.cancels[l.Seq]; is {
		c.cancels[l.Seq] = cancel
	}
	c.mu.Unlock()
	return nil
}
