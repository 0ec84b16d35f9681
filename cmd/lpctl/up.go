package main

import (
	"context"
	"fmt"
	"log/slog"

	"lupinpond/internal/testbed/scenario"
)

// upCmd runs everything in one process.
type upCmd struct {
	Settings string `help:"File of settings instead of the built-in defaults." type:"path"`
	Gateways int    `aliases:"fronts" default:"2" help:"Gateways; the first listens where the settings say, the others on the ports after it."`
	Workers  int    `default:"6" help:"Emulated workers."`
}

// Run runs until a signal.
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
