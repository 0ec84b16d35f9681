// Package httpserver runs HTTP servers and periodic tasks until a context is done.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// CloseAtOnce is the grace period with which a server aborts requests in flight at shutdown.
const CloseAtOnce time.Duration = 0

// Serve runs a server on a listener until ctx is done. Requests in flight then have gracePeriod to complete. Serve
// returns an error if the server fails; that ctx is done is not an error.
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
			return server.Close() // abort requests still in flight, such as one of a client that reads slowly
		}
		return nil
	})
	return group.Wait()
}
