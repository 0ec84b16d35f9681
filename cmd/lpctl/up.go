package main

import (
	"context"
	"fmt"
	"log/slog"

	"lupinpond/internal/testbed/scenario"
)

// upCmd runs gateways, the registry and emulated workers in one process.
type upCmd struct {
	Settings string `help:"Settings file; the built-in defaults are used without it." type:"path"`
	Gateways int    `aliases:"fronts" default:"2" help:"${up_gateways_help}"`
	Workers  int    `default:"6" help:"Number of emulated workers."`
}

// Run runs the fleet until a signal arrives. Once it is ready, it prints its addresses and commands to try.
func (c *upCmd) Run(ctx context.Context, log *slog.Logger) error {
	settings, err := loadConfig(c.Settings)
	if err != nil {
		return err
	}
	ready := func(gateways []string, registry string) {
		first, function := gateways[0], settings.Functions[0].Name
		fmt.Printf("gateways: %v\nregistry: %s\n\ntry:\n", gateways, registry)
		fmt.Printf("  lpctl invoke --gateway http://%s %s 'a salary'\n", first, function)
		fmt.Printf("  curl -i -d 'a salary' -H 'ce-id: 1' -H 'Prefer: wait=2' http://%s/v1/functions/%s/invocations\n",
			first, function)
		fmt.Printf("  lpctl workers --registry %s\n", registry)
	}
	return scenario.RunLocal(ctx, scenario.LocalOptions{
		Config:   settings,
		Gateways: c.Gateways,
		Workers:  c.Workers,
		Log:      log,
		Ready:    ready,
	})
}
