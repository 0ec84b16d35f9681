package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"lupinpond/internal/registry"
)

// workersCmd lists the workers of the registry and changes the state of one.
type workersCmd struct {
	Registry string `aliases:"list" default:"http://127.0.0.1:8710" help:"Address of the registry."`
	Drain    string `help:"Mark this worker as draining until it restarts."`
	Remove   string `aliases:"gone" help:"Remove this worker until it restarts."`
	Restore  string `help:"Undo --drain or --remove: this worker's next registration determines its state."`
	JSON     bool   `help:"Print the workers as JSON."`
}

// Run marks workers as draining or removed, or restores one, if the flags ask for it, then lists all workers.
func (c *workersCmd) Run(ctx context.Context, _ *slog.Logger) error {
	client := registry.Client{BaseURL: c.Registry, HTTP: http.DefaultClient}
	for _, change := range []struct {
		worker string
		state  registry.State
	}{{c.Drain, registry.Draining}, {c.Remove, registry.Removed}} {
		if change.worker == "" {
			continue
		}
		if err := client.SetState(ctx, change.worker, change.state); err != nil {
			return err
		}
	}
	if c.Restore != "" {
		if err := client.Restore(ctx, c.Restore); err != nil {
			return err
		}
	}
	entries, err := client.Workers(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(entries)
	}
	t := newTable("worker", "address", "zone", "cell", "cores", "state", "started")
	for _, entry := range entries {
		t.AppendRow(table.Row{entry.Name, entry.Addr, entry.Zone, entry.Cell, entry.Cores, entry.State,
			entry.Started.Format(time.RFC3339)})
	}
	t.Render()
	return nil
}
