package workerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxConnections is the maximum number of connections that a Server serves; further ones are closed at once.
const maxConnections = 1024

// Handler handles the calls of gateways at a worker. Its methods must not block. reply may be called later and on any
// goroutine; only its first call has an effect. A reply after the connection is lost is dropped; the gateway has
// ended the call with StatusConnectionLost.
type Handler interface {
	// HandleAttempt runs an attempt. cancel, which may be nil, cancels it; reply is still called after that.
	HandleAttempt(gateway string, attempt *Attempt, reply func(*AttemptResult)) (cancel func())
	// HandleLoadRequest loads replicas until the requested number is ready or no more can be loaded.
	HandleLoadRequest(gateway string, request *LoadRequest, reply func(*LoadResult))
	// LoadReport returns the worker's current load.
	LoadReport() *LoadReport
}

// Server serves the protocol at a worker.
type Server struct {
	Handshake Handshake
	Handler   Handler

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// Serve accepts and serves connections until ctx is done or the listener fails. It closes the listener and returns
// after its goroutines have ended.
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

// acceptLoop accepts connections and passes them to start, except those beyond maxConnections, which it closes.
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

// add registers a connection. It returns false if there are already maxConnections.
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

// NotifyDraining sends a drain notice on all connections: the worker starts no new work.
func (s *Server) NotifyDraining(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.send(&DrainNotice{Reason: reason})
	}
}
