package main

import (
	"fmt"
	"log/slog"
	"os"

	"lupinpond/internal/gateway/fleetconfig"
)

// checkCmd validates a settings file.
type checkCmd struct {
	File string `arg:"" optional:"" help:"Settings file; without it the built-in defaults are printed." type:"path"`
}

// Run validates the file and prints a summary, or prints the defaults if there is no file.
func (c *checkCmd) Run(_ *slog.Logger) error {
	if c.File == "" {
		_, err := os.Stdout.Write(fleetconfig.DefaultText())
		return err
	}
	settings, err := fleetconfig.Read(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d request types, %d tenants, %d functions\n", c.File, len(settings.Fleet.Types),
		len(settings.Fleet.Tenants), len(settings.Functions))
	return nil
}
