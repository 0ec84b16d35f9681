package httpserver

import (
	"context"
	"net"
	"net/http"
)

// LoopbackServer is an HTTP server on a loopback address that runs in a goroutine of this process.
type LoopbackServer struct {
	Addr   string // HOST:PORT
	cancel context.CancelFunc
	done   chan error
}

// StartLoopback starts a server for a handler on a loopback address such as 127.0.0.1:0. It runs until Close is called.
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

// Close closes the server and its connections and waits until the server has stopped. It may be called more than once.
func (s *LoopbackServer) Close() error {
	s.cancel()
	err := <-s.done
	s.done <- err // for the next call of Close
	return err
}
