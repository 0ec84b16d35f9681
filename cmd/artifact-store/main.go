// Command artifact-store is the store of packages.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/base/telemetry"
)

type flags struct {
	telemetry.Flags
	Listen   string        `default:"127.0.0.1:8730" help:"Where workers and publishers come."`
	Folder   string        `required:"" type:"path" help:"Where chunks and releases stand."`
	Requests int           `default:"64" help:"Fetches at a time; more are turned away with a time to come back."`
	Rate     float64       `help:"MB a second that it gives in all; 0: as fast as it goes."`
	Stop     float64       `help:"So many times --requests tried within a second, while it is full, stop it for --stop-for; 0: never."`
	StopFor  time.Duration `default:"5s" help:"How long it stops when it is pushed that far."`
	Grace    time.Duration `default:"1h" help:"A chunk that no release names is collected after it."`
	Collect  time.Duration `default:"10m" help:"Between two collections."`
	ReadOnly bool          `help:"Take nothing new."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("artifact-store"), kong.Description("The store of packages: releases, chunks, a stated capacity."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "artifact-store:", err)
		os.Exit(1)
	}
}

func run(f flags) (err error) {
	if err := config.CheckLoopback(f.Listen); err != nil {
		return err
	}
	if f.Requests < 1 || f.Rate < 0 || f.Stop < 0 || f.StopFor <= 0 || f.Grace < 0 || f.Collect <= 0 {
		return errors.New("--requests, --stop-for and --collect are above 0, --rate, --stop and --grace not below")
	}
	log := telemetry.NewLogger(os.Stderr, f.Flags)
	s, err := artifactstore.Open(artifactstore.Options{Folder: f.Folder, GracePeriod: f.Grace, Log: log, Capacity: artifactstore.Capacity{BytesPerSecond: f.Rate * 1e6,
		MaxConcurrent: f.Requests, StopFactor: f.Stop, StopWindow: time.Second, StopDuration: f.StopFor}})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	access := artifactstore.ReadWrite
	if f.ReadOnly {
		access = artifactstore.ReadOnly
	}
	server := &http.Server{Handler: s.Handler(access), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return httpserver.Serve(ctx, server, listener, 10*time.Second) })
	g.Go(func() error { return s.RunGarbageCollector(ctx, f.Collect) })
	log.Info("store listens", "address", listener.Addr().String())
	return g.Wait()
}
