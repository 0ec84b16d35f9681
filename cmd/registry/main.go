// Command registry is the worker registry: workers register under a lease, gateways watch the endpoint list.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/base/telemetry"
	"lupinpond/internal/registry"
)

const (
	// readHeaderTimeout is how long a client may take for the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
)

// flags are the command line. Aliases are the names of earlier versions.
type flags struct {
	telemetry.Flags
	Listen     string        `default:"127.0.0.1:8710" help:"Address for gateways and workers."`
	WatchDelay time.Duration `aliases:"late" help:"Send every change so much later, as a slow registry would."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("registry"), kong.Description("The worker registry. Workers register under a lease; "+
		"gateways watch the endpoint list."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "registry:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	if err := config.CheckLoopback(f.Listen); err != nil {
		return err
	}
	if f.WatchDelay < 0 {
		return errors.New("--watch-delay: at least 0s")
	}
	log := telemetry.NewLogger(os.Stderr, f.Flags)
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return err
	}
	workers := registry.New(func(gateway string, _ time.Time, event registry.WatchEvent) {
		log.Debug("watch event sent", "gateway", gateway, "version", event.Version, "complete", event.Complete,
			"entries", len(event.Entries))
	})
	workers.SetDelay(f.WatchDelay)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{
		Handler:           workers.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return workers.Run(ctx) })
	group.Go(func() error { return httpserver.Serve(ctx, server, listener, 0) })
	log.Info("registry listening", "address", listener.Addr().String())
	return group.Wait()
}
