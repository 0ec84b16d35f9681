// Command artifact-store stores and serves function packages: releases and the chunks that they consist of.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/base/telemetry"
)

const (
	// stopWindow is the time window in which fetches are counted for --stop.
	stopWindow = time.Second

	// readTimeout is the timeout for reading a request, including a chunk or a release in its body.
	readTimeout = time.Minute

	// gracePeriod is the time that requests in flight have to complete on SIGTERM.
	gracePeriod = 10 * time.Second
)

type flags struct {
	telemetry.Flags
	Listen   string        `default:"127.0.0.1:8730" help:"Address for workers and publishers."`
	Folder   string        `required:"" type:"path" help:"Folder for chunks and releases."`
	Requests int           `default:"64" help:"Maximum number of parallel fetches; more are rejected with Retry-After."`
	Rate     float64       `help:"Maximum total bandwidth of fetches in MB per second; 0: no limit."`
	Stop     float64       `help:"Stop a full store for --stop-for at this multiple of --requests per second; 0: never."`
	StopFor  time.Duration `default:"5s" help:"Time for which a stopped store rejects all fetches."`
	Grace    time.Duration `default:"1h" help:"Minimum age of an unreferenced chunk before it is removed."`
	Collect  time.Duration `default:"10m" help:"Interval between garbage collections."`
	ReadOnly bool          `help:"Reject publications; only serve fetches."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("artifact-store"),
		kong.Description("The store of function packages: serves releases and chunks up to a configured capacity."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "artifact-store:", err)
		os.Exit(1)
	}
}

func (f flags) validate() error {
	if err := config.CheckLoopback(f.Listen); err != nil {
		return err
	}
	if f.Requests < 1 || f.StopFor <= 0 || f.Collect <= 0 || f.Rate < 0 || f.Stop < 0 || f.Grace < 0 {
		return errors.New("--requests, --stop-for and --collect must be above 0, --rate, --stop and --grace not below 0")
	}
	return nil
}

func (f flags) capacity() artifactstore.Capacity {
	return artifactstore.Capacity{
		BytesPerSecond: f.Rate * 1e6,
		MaxConcurrent:  f.Requests,
		StopFactor:     f.Stop,
		StopWindow:     stopWindow,
		StopDuration:   f.StopFor,
	}
}

func run(f flags) (err error) {
	if err := f.validate(); err != nil {
		return err
	}
	log := telemetry.NewLogger(os.Stderr, f.Flags)
	store, err := artifactstore.Open(artifactstore.Options{Folder: f.Folder, Capacity: f.capacity(), GracePeriod: f.Grace,
		Log: log})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	access := artifactstore.ReadWrite
	if f.ReadOnly {
		access = artifactstore.ReadOnly
	}
	server := httpserver.NewServer(store.Handler(access))
	server.ReadTimeout = readTimeout
	ctx, cancel := httpserver.TerminationContext()
	defer cancel()
	return httpserver.Service{
		Name:        "artifact store",
		Addr:        f.Listen,
		Server:      server,
		GracePeriod: gracePeriod,
		Log:         log,
		Tasks: []func(context.Context) error{
			func(ctx context.Context) error { return store.RunGarbageCollector(ctx, f.Collect) },
		},
	}.Run(ctx)
}
