// Package telemetry creates the loggers of the programs, which write either text for a terminal or JSON.
package telemetry

import (
	"io"
	"log/slog"
	"os"

	"github.com/lmittmann/tint"
	"golang.org/x/term"
)

// Flags are the logging flags of all programs.
type Flags struct {
	LogFormat string     `enum:"terminal,json" default:"terminal" help:"Format of the logs on standard error: ${enum}."`
	LogLevel  slog.Level `default:"warn" help:"Minimum log level: debug, info, warn or error."`
}

// NewLogger returns a logger that writes to out. The terminal format is coloured only if out is a terminal.
func NewLogger(out *os.File, flags Flags) *slog.Logger {
	return newLogger(out, term.IsTerminal(int(out.Fd())), flags)
}

// NewLossyLogger returns a logger that never blocks its callers and drops lines instead, and the LossyWriter that it
// writes to. The caller must close the LossyWriter.
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
