package workerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxConnections is how many connections a Server serves; more are closed at once.
const maxConnections = 1024

// Handler is what a worker does with calls. Its methods return at once; reply may be called later by any goroutine,
// and only its first call counts. A reply to a connection that is lost is dropped: the gateway sees a lost
// connection.
type Handler interface {
	// HandleAttempt runs an attempt. cancel, which may be nil, cancels it; reply is still called.
	HandleAttempt(gateway string, attempt *Attempt, reply func(*AttemptResult)) (cancel func())
	// HandleLoadRequest has a number of replicas ready.
	HandleLoadRequest(gateway string, request *LoadRequest, reply func(*LoadResult))
	// LoadReport returns the worker's load.
	LoadReport() *LoadReport
}

// Server is a worker's side of the protocol.
type Server struct {
	Handshake Handshake
	Handler   Handler

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// Serve accepts connections until ctx ends or the listener fails. It closes the listener and leaves no goroutine.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		return s.acceptLoop(ctx, listener, func(conn *serverConn) {
			group.Go(func() error {
				s.serveConn(ctx, conn)
				return nil
			})
		})
	})
	return group.Wait()
}

// acceptLoop accepts connections and starts those within the limit.
func (s *Server) acceptLoop(ctx context.Context, listener net.Listener, start func(*serverConn)) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			return fmt.Errorf("accept: %w", err)
		}
		accepted := newServerConn(s, conn)
		if !s.add(accepted) {
			conn.Close()
			continue
		}
		start(accepted)
	}
}

// add registers a connection; false where there are too many.
func (s *Server) add(conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// serveConn serves a connection until it is closed or lost.
func (s *Server) serveConn(ctx context.Context, conn *serverConn) {
	conn.serve(ctx)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// CloseConnections closes all connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.conn.Close()
	}
}

// NotifyDraining sends a drain notice on all connections: nothing new is started here.
func (s *Server) NotifyDraining(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.send(&DrainNotice{Reason: reason})
	}
}
