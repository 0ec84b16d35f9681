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
	// headerTimeout is how long a client may take to send a request's headers.
	headerTimeout = 5 * time.Second

	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 16 << 10
)

// TerminationContext returns a context that is done on SIGTERM or an interrupt. cancel restores what the signals do.
func TerminationContext() (ctx context.Context, cancel context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// NewServer returns a server whose requests have bounded headers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Service is a program's HTTP server, with the tasks that run beside it.
type Service struct {
	Name        string // in the log
	Addr        string // HOST:PORT
	Server      *http.Server
	GracePeriod time.Duration // that requests in flight have to complete; CloseAtOnce: none
	Log         *slog.Logger

	// Tasks run until their context is done. One that fails ends the service.
	Tasks []func(ctx context.Context) error
}

// Run listens and serves until ctx is done. It returns when the server and all tasks have ended, with the first error.
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
