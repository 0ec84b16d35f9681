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
	// registerSweepInterval is the time between two removals of expired keys.
	registerSweepInterval = time.Second
	// registerShutdownTimeout is how long requests under way are waited for at the end.
	registerShutdownTimeout = 10 * time.Second
)

// registerCmd is the subcommand that serves a register of idempotency keys.
type registerCmd struct {
	Listen  string `default:"127.0.0.1:0" help:"Address for workers."`
	Folder  string `required:"" type:"path" help:"Folder of the register's file."`
	MaxKeys int    `name:"most" default:"1000000" help:"Keys inside their windows; beyond it nothing is granted."`
}

// Run serves until a signal.
func (c *registerCmd) Run(ctx context.Context, log *slog.Logger) (err error) {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	if c.MaxKeys < 1 {
		return errors.New("most is more than 0")
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
