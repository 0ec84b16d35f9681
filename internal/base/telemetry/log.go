// Package telemetry makes the programs' logs: for a terminal, or as JSON for machines.
package telemetry

import (
	"io"
	"log/slog"
	"os"

	"github.com/lmittmann/tint"
	"golang.org/x/term"
)

// Flags are the flags of logs that every program has.
type Flags struct {
	LogFormat string     `enum:"terminal,json" default:"terminal" help:"How logs are written on standard error: ${enum}."`
	LogLevel  slog.Level `default:"warn" help:"Least level that is logged: debug, info, warn or error."`
}

// NewLogger makes a logger that writes to out, in colours only where that is a terminal.
func NewLogger(out *os.File, f Flags) *slog.Logger {
	return newLogger(out, term.IsTerminal(int(out.Fd())), f)
}

// NewLossyLogger makes a logger that never makes who logs wait; the second result ends it.
func NewLossyLogger(out *os.File, f Flags) (*slog.Logger, *LossyWriter) {
	lossy := NewLossyWriter(out)
	return newLogger(lossy, term.IsTerminal(int(out.Fd())), f), lossy
}

func newLogger(out io.Writer, terminal bool, f Flags) *slog.Logger {
	if f.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: f.LogLevel}))
	}
	return slog.New(tint.NewTextHandler(out, &tint.Options{Level: f.LogLevel, TimeFormat: "15:04:05.000",
		NoColor: !terminal}))
}
