package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout is the time limit for reading the headers of a request.
	headerTimeout = 5 * time.Second

	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 16 << 10
)

// TerminationContext returns a context that is done on SIGTERM or an interrupt. cancel restores the default behaviour
// of these signals.
func TerminationContext() (ctx context.Context, cancel context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// NewServer returns an HTTP server that limits the size of request headers and the time to read them.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Service is the HTTP server of a program together with its background tasks.
type Service struct {
	Name        string // name of the service in the log
	Addr        string // address to listen on, HOST:PORT
	Server      *http.Server
	GracePeriod time.Duration // time limit for requests in flight at shutdown; CloseAtOnce aborts them
	Log         *slog.Logger

	// Tasks run until their context is done. A task that returns an error ends the service.
	Tasks []func(ctx context.Context) error
}

// Run serves on Addr and runs the tasks until ctx is done or one of them fails. It returns the first error after the
// server and all tasks have ended.
func (s Service) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return Serve(ctx, s.Server, listener, s.GracePeriod) })
	for _, task := range s.Tasks {
		group.Go(func() error { return task(ctx) })
	}
	s.Log.Info("server listening", "service", s.Name, "address", listener.Addr().String())
	return group.Wait()
}
