package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/worker/idempotency"
)

const (
	// registerSweepInterval is the interval at which expired keys are removed.
	registerSweepInterval = time.Second
	// registerShutdownTimeout is the time that requests in flight have to complete at shutdown.
	registerShutdownTimeout = 10 * time.Second
)

// registerCmd is the subcommand that serves a register of idempotency keys.
type registerCmd struct {
	Listen  string `default:"127.0.0.1:0" help:"Address for workers."`
	Folder  string `required:"" type:"path" help:"Folder for the file with the keys."`
	MaxKeys int    `name:"most" default:"1000000" help:"Maximum number of unexpired keys; at the limit no key is granted."`
}

// Run serves the register until a signal arrives.
func (c *registerCmd) Run(ctx context.Context, log *slog.Logger) (err error) {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	if c.MaxKeys < 1 {
		return errors.New("--most must be above 0")
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	register, err := idempotency.Open(c.Folder, c.MaxKeys)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, register.Close()) }()
	sweep := func() error {
		_, err := register.Sweep()
		return err
	}
	return httpserver.Service{
		Name:        "register",
		Addr:        c.Listen,
		Server:      httpserver.NewServer(register.Handler()),
		GracePeriod: registerShutdownTimeout,
		Log:         log,
		Tasks: []func(context.Context) error{
			func(ctx context.Context) error {
				return httpserver.RunPeriodically(ctx, registerSweepInterval, sweep)
			},
		},
	}.Run(ctx)
}
