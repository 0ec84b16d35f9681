// Command worker is a worker: it loads packages and runs requests. It is also a register of idempotency keys for a
// group of workers, and packs packages.
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

// cli is the command line: its fields name the subcommands, and theirs the flags.
type cli struct {
	telemetry.Flags
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Load packages and run requests."`
	Register registerCmd `cmd:"" help:"Store the idempotency keys of a group of workers."`
	Pack     packCmd     `cmd:"" help:"Write the manifest of a package whose content stands in a folder."`
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
