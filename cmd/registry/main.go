// Command registry is the worker registry. Workers register in it under a lease, and gateways watch the endpoint list.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/base/telemetry"
	"lupinpond/internal/registry"
)

// flags are the flags of the command line. Aliases are names of earlier versions that still work.
type flags struct {
	telemetry.Flags
	Listen     string        `default:"127.0.0.1:8710" help:"Address for gateways and workers."`
	WatchDelay time.Duration `aliases:"late" help:"Delay of each change, to emulate a slow registry."`
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
		return errors.New("--watch-delay must be at least 0s")
	}
	log := telemetry.NewLogger(os.Stderr, f.Flags)
	workers := registry.New(func(gateway string, _ time.Time, event registry.WatchEvent) {
		log.Debug("watch event sent", "gateway", gateway, "version", event.Version, "complete", event.Complete,
			"entries", len(event.Entries))
	})
	workers.SetDelay(f.WatchDelay)
	server := httpserver.NewServer(workers.Handler())
	server.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	ctx, stop := httpserver.TerminationContext()
	defer stop()
	return httpserver.Service{
		Name:        "registry",
		Addr:        f.Listen,
		Server:      server,
		GracePeriod: httpserver.CloseAtOnce,
		Log:         log,
		Tasks:       []func(context.Context) error{workers.Run},
	}.Run(ctx)
}
