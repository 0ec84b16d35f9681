// Command registry keeps the list of workers and pushes its changes to front ends.
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

type flags struct {
	telemetry.Flags
	Listen     string        `default:"127.0.0.1:8710" help:"Where front ends and workers come."`
	WatchDelay time.Duration `name:"late" help:"Tell every change so much later, as a slow list would."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("registry"), kong.Description("The list of workers. Workers put themselves on it under a lease; "+
		"front ends subscribe to its changes."))
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
		return errors.New("--late: at least 0s")
	}
	log := telemetry.NewLogger(os.Stderr, f.Flags)
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return err
	}
	r := registry.New(func(front string, _ time.Time, n registry.WatchEvent) {
		log.Debug("list told", "front", front, "version", n.Version, "whole", n.Complete, "entries", len(n.Entries))
	})
	r.SetDelay(f.WatchDelay)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error { return httpserver.Serve(ctx, server, listener, 0) })
	log.Info("list of workers listens", "address", listener.Addr().String())
	return g.Wait()
}
