// Command worker is a worker: it loads packages and runs requests. Its subcommands also serve a register of idempotency
// keys for a group of workers, and write the manifest of a package.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lupinpond/internal/base/telemetry"
)

// cli is the command line: each field is a subcommand, and each field of a subcommand a flag or an argument.
type cli struct {
	telemetry.Flags
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Load packages and run requests."`
	Register registerCmd `cmd:"" help:"Store the idempotency keys of a group of workers."`
	Pack     packCmd     `cmd:"" help:"Write the manifest of a package into the folder with its content."`
	WasmCopy wasmCopyCmd `cmd:"" hidden:"" help:"Run one replica of a wasm package (started by the worker itself)."`
}

func main() {
	var c cli
	parsed := kong.Parse(&c, kong.Name("worker"),
		kong.Description("A worker of lupinpond: loads packages and runs requests."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.Bind(telemetry.NewLogger(os.Stderr, c.Flags))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		stop()
		os.Exit(1)
	}
}
