package httpserver

import (
	"context"
	"net"
	"net/http"
)

// LoopbackServer is a server on a loopback port inside this process.
type LoopbackServer struct {
	Addr   string // HOST:PORT
	cancel context.CancelFunc
	done   chan error
}

// StartLoopback serves a handler on a loopback address, such as 127.0.0.1:0, until Close.
func StartLoopback(addr string, handler http.Handler) (*LoopbackServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &LoopbackServer{Addr: listener.Addr().String(), cancel: cancel, done: make(chan error, 1)}
	go func() {
		s.done <- Serve(ctx, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}, listener, CloseAtOnce)
	}()
	return s, nil
}

// Close closes the server and its connections and waits until it has ended. It may be called again.
func (s *LoopbackServer) Close() error {
	s.cancel()
	err := <-s.done
	s.done <- err // for the next Close
	return err
}
