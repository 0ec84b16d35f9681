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

// Until serves listener until ctx ends. Requests under way then have grace to end; with 0 they end at once. The error is
// that of a server which could not go on.
func Until(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
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

// Every does something every so often until ctx ends, or until it fails.
func Every(ctx context.Context, period time.Duration, do func() error) error {
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

// Pause waits, or until ctx ends, which is its error.
func Pause(ctx context.Context, d time.Duration) error {
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

// Local is a server on a loopback port inside this process.
type Local struct {
	Addr  string // HOST:PORT
	stop  context.CancelFunc
	ended chan error
}

// OnLoopback serves h on addr of loopback, such as 127.0.0.1:0.
func OnLoopback(addr string, h http.Handler) (*Local, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Local{Addr: listener.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() {
		l.ended <- Until(ctx, &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}, listener, 0)
	}()
	return l, nil
}

// Close ends it with all that is under way.
func (l *Local) Close() error {
	l.stop()
	err := <-l.ended
	l.ended <- err // another Close finds it too
	return err
}
