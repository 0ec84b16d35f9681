// Package telemetry makes the programs' loggers: for a terminal, or as JSON for machines.
package telemetry

import (
	"io"
	"log/slog"
	"os"

	"github.com/lmittmann/tint"
	"golang.org/x/term"
)

// Flags are the flags of logging that every program has.
type Flags struct {
	LogFormat string     `enum:"terminal,json" default:"terminal" help:"How logs are written on standard error: ${enum}."`
	LogLevel  slog.Level `default:"warn" help:"Least level that is logged: debug, info, warn or error."`
}

// NewLogger returns a logger that writes to out, in colours only if that is a terminal.
func NewLogger(out *os.File, flags Flags) *slog.Logger {
	return newLogger(out, term.IsTerminal(int(out.Fd())), flags)
}

// NewLossyLogger returns a logger that never blocks its callers. Closing the LossyWriter ends it.
func NewLossyLogger(out *os.File, flags Flags) (*slog.Logger, *LossyWriter) {
	lossy := NewLossyWriter(out)
	return newLogger(lossy, term.IsTerminal(int(out.Fd())), flags), lossy
}

func newLogger(out io.Writer, terminal bool, flags Flags) *slog.Logger {
	if flags.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: flags.LogLevel}))
	}
	return slog.New(tint.NewTextHandler(out, &tint.Options{Level: flags.LogLevel, TimeFormat: "15:04:05.000",
		NoColor: !terminal}))
}
