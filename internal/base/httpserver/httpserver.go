// Package httpserver runs HTTP servers, and what is done every so often, for as long as a context lasts.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Serve serves listener until ctx ends. Requests under way then have grace to end; with 0 they end at once. The error is
// that of a server which could not go on.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		if grace <= 0 {
			return server.Close()
		}
		end, stop := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer stop()
		if server.Shutdown(end) != nil {
			return server.Close() // somebody reads slowly
		}
		return nil
	})
	return g.Wait()
}

// RunPeriodically does something every so often until ctx ends, or until it fails.
func RunPeriodically(ctx context.Context, period time.Duration, do func() error) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := do(); err != nil {
			return err
		}
	}
}

// Sleep waits, or until ctx ends, which is its error.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// LoopbackServer is a server on a loopback port inside this process.
type LoopbackServer struct {
	Addr   string // HOST:PORT
	cancel context.CancelFunc
	done   chan error
}

// StartLoopback serves h on addr of loopback, such as 127.0.0.1:0.
func StartLoopback(addr string, h http.Handler) (*LoopbackServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &LoopbackServer{Addr: listener.Addr().String(), cancel: stop, done: make(chan error, 1)}
	go func() {
		l.done <- Serve(ctx, &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}, listener, 0)
	}()
	return l, nil
}

// Close ends it with all that is under way.
func (l *LoopbackServer) Close() error {
	l.cancel()
	err := <-l.done
	l.done <- err // another Close finds it too
	return err
}
