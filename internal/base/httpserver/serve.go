// Package httpserver runs HTTP servers, and work that is repeated periodically, for as long as a context lasts.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// CloseAtOnce is the grace period of a server that aborts requests in flight.
const CloseAtOnce time.Duration = 0

// Serve serves a listener until ctx is done. Requests in flight then have gracePeriod to complete. The error is that of
// a server which could not go on; ctx is none.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, gracePeriod time.Duration) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		if gracePeriod <= CloseAtOnce {
			return server.Close()
		}
		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), gracePeriod)
		defer cancel()
		if server.Shutdown(shutdown) != nil {
			return server.Close() // a client reads slowly
		}
		return nil
	})
	return group.Wait()
}
