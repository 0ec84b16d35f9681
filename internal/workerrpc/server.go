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
	Launch(front string, l *Launch, reply func(*Answer)) (cancel func())
	Order(front string, o *Order, reply func(*Ordered))
	Report() *Report
}

// Server is a worker's side of the protocol.
type Server struct {
	Hello       Hello
	Handler     Handler
	Stall       time.Duration // a write that takes longer ends the connection; 0: 5 s
	Connections int           // most connections; more are closed at once; 0: 1024
	Broken      func(error)   // told why a connection ended, if not in order; may be nil

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

type serverConn struct {
	server *Server
	conn   net.Conn
	front  string
	mu     sync.Mutex
	kick   chan struct{}
	out    [][]byte
	calls  map[uint64]func() // launches not answered: how to cancel them
	orders int
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
			c := &serverConn{server: s, conn: conn, kick: make(chan struct{}, 1), calls: map[uint64]func(){}}
			s.mu.Lock()
			limit := s.Connections
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
				if s.Broken != nil && err != nil && ctx.Err() == nil {
					s.Broken(err)
				}
				return nil
			})
		}
	})
	return g.Wait()
}

// Reset breaks all connections.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.conn.Close()
	}
}

// Goodbye says on all connections that nothing new is started here.
func (s *Server) Goodbye(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.send(&Goodbye{Reason: reason})
	}
}

func (c *serverConn) serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return c.conn.Close()
	})
	g.Go(func() error {
		err := c.read()
		if err == nil {
			err = io.EOF // ends the group
		}
		return err
	})
	g.Go(func() error { return c.write(ctx) })
	err := g.Wait()
	c.mu.Lock()
	cancels := c.calls
	c.calls = nil
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
	frame, err := Append(nil, body)
	if a, is := body.(*Answer); is && err != nil { // the answer is too long for a frame
		frame, err = Append(nil, &Answer{Seq: a.Seq, Event: a.Event, Code: Failed, Worked: a.Worked, Report: a.Report,
			Reason: err.Error()})
	}
	if err != nil {
		return
	}
	c.mu.Lock()
	if c.calls != nil {
		c.out = append(c.out, frame)
	}
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *serverConn) write(ctx context.Context) error {
	stall := c.server.Stall
	if stall == 0 {
		stall = 5 * time.Second
	}
	for {
		c.mu.Lock()
		out := c.out
		c.out = nil
		c.mu.Unlock()
		if len(out) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-c.kick:
			}
			continue
		}
		for _, frame := range out {
			if err := c.conn.SetWriteDeadline(time.Now().Add(stall)); err != nil {
				return err
			}
			if _, err := c.conn.Write(frame); err != nil {
				return fmt.Errorf("write to %s: %w", c.front, err)
			}
		}
	}
}

// waiting is the number of frames that the front end has not read.
func (c *serverConn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.out)
}

func (c *serverConn) read() error {
	if err := c.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	r := NewReader(c.conn, MaxFrame)
	body, err := r.Next()
	if err != nil {
		return err
	}
	hello, is := body.(*Hello)
	if !is {
		return fmt.Errorf("%w: %T instead of hello", ErrProtocol, body)
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.front = hello.Name
	mine := c.server.Hello
	mine.Version, mine.MaxFrame = Version, MaxFrame
	c.send(&mine)
	if hello.Version != Version {
		return fmt.Errorf("%w: %q speaks version %d", ErrProtocol, hello.Name, hello.Version)
	}
	most := max(1, mine.Launches)
	for {
		body, err := r.Next()
		if err != nil {
			return err
		}
		if c.waiting() > most+256 {
			return fmt.Errorf("%w: %s does not read its answers", ErrProtocol, c.front)
		}
		switch b := body.(type) {
		case *Launch:
			if err := c.launch(b, most); err != nil {
				return err
			}
		case *Cancel:
			c.mu.Lock()
			cancel := c.calls[b.Seq]
			c.mu.Unlock()
			if cancel != nil {
				cancel()
			}
		case *Order:
			c.mu.Lock()
			c.orders++
			over := c.orders > most+256
			c.mu.Unlock()
			if over {
				return fmt.Errorf("%w: %s has too many orders outstanding", ErrProtocol, c.front)
			}
			var once sync.Once
			c.server.Handler.Order(c.front, b, func(a *Ordered) {
				once.Do(func() {
					c.mu.Lock()
					c.orders--
					c.mu.Unlock()
					a.Seq = b.Seq
					c.send(a)
				})
			})
		case *Probe:
			c.send(&Echo{Seq: b.Seq, Report: c.server.Handler.Report()})
		case *Goodbye:
			return nil
		default:
			return fmt.Errorf("%w: %s sent a %T", ErrProtocol, c.front, body)
		}
	}
}

func (c *serverConn) launch(l *Launch, most int) error {
	c.mu.Lock()
	_, twice := c.calls[l.Seq]
	over := len(c.calls) >= most
	if !twice && !over {
		c.calls[l.Seq] = nil
	}
	c.mu.Unlock()
	if twice || over {
		return fmt.Errorf("%w: %s launches past the limit of %d or uses a number twice", ErrProtocol, c.front, most)
	}
	cancel := c.server.Handler.Launch(c.front, l, func(a *Answer) {
		c.mu.Lock()
		_, is := c.calls[l.Seq]
		delete(c.calls, l.Seq)
		c.mu.Unlock()
		if is {
			a.Seq, a.Event = l.Seq, l.Event
			c.send(a)
		}
	})
	c.mu.Lock()
	if _, is := c.calls[l.Seq]; is {
		c.calls[l.Seq] = cancel
	}
	c.mu.Unlock()
	return nil
}
