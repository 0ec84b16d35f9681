package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/scenario"
)

type upCmd struct {
	Settings string `help:"File of settings instead of the built-in defaults." type:"path"`
	Fronts   int    `default:"2" help:"Front ends; the first listens where the settings say, the others on the ports after it."`
	Workers  int    `default:"6" help:"Imitation workers."`
}

// Run runs until a signal.
func (c *upCmd) Run(ctx context.Context, log *slog.Logger) error {
	f, err := loadConfig(c.Settings)
	if err != nil {
		return err
	}
	ready := func(gateways []string, registry string) {
		fmt.Printf("gateways: %v\nregistry: %s\n\ntry:\n", gateways, registry)
		fn := f.Functions[0].Name
		fmt.Printf("  lpctl invoke --front http://%s %s 'a salary'\n", gateways[0], fn)
		fmt.Printf("  curl -i -d 'a salary' -H 'ce-id: 1' -H 'Prefer: wait=2' http://%s/v1/functions/%s/invocations\n", gateways[0], fn)
		fmt.Printf("  lpctl workers --list %s\n", registry)
	}
	return scenario.RunLocal(ctx, scenario.LocalOptions{Config: f, Gateways: c.Fronts, Workers: c.Workers, Log: log, Ready: ready})
}

type invokeCmd struct {
	Function string        `arg:"" help:"Name of the function."`
	Body     string        `arg:"" optional:"" help:"The event's body; - reads standard input."`
	Front    string        `default:"http://127.0.0.1:8711" help:"Address of a front end."`
	Wait     time.Duration `help:"How long to wait for the answer; 0: the type's max age."`
	ID       string        `help:"The event's name (ce-id)."`
	Tenant   string        `help:"Who sends."`
	JSON     bool          `help:"The ending as JSON."`
}

// Run sends one event; an ending other than handled is status 1.
func (c *invokeCmd) Run(ctx context.Context, _ *slog.Logger) error {
	body := []byte(c.Body)
	if c.Body == "-" {
		var err error
		if body, err = io.ReadAll(os.Stdin); err != nil {
			return err
		}
	}
	target, err := url.JoinPath(c.Front, "v1/functions", c.Function, "invocations")
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil // sent once, whatever happens
	id := c.ID
	if id == "" {
		id = fmt.Sprintf("lpctl-%d", time.Now().UnixNano())
	}
	req.Header.Set("ce-specversion", "1.0")
	req.Header.Set("ce-source", "lpctl")
	req.Header.Set("ce-id", id)
	if c.Tenant != "" {
		req.Header.Set(invoke.HeaderTenant, c.Tenant)
	}
	if c.Wait > 0 {
		req.Header.Set("Prefer", fmt.Sprintf("wait=%.3f", c.Wait.Seconds()))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("no front end answers: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	ending := map[int]string{200: "handled", 502: "dead-lettered"}[resp.StatusCode]
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(invoke.HeaderRequestID) != "" {
		ending = "deferred"
	} else if ending == "" {
		ending = "not taken"
	}
	took := time.Since(began).Round(10 * time.Microsecond)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"ending": ending, "status": resp.StatusCode,
			"event": resp.Header.Get(invoke.HeaderRequestID), "launches": resp.Header.Get(invoke.HeaderAttempts),
			"back-ms": resp.Header.Get(invoke.HeaderRetryAfterMillis), "took-ms": took.Seconds() * 1e3, "body": string(answer)}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(os.Stderr, "%s after %v and %s launches, event %s\n", ending, took, resp.Header.Get(invoke.HeaderAttempts),
			resp.Header.Get(invoke.HeaderRequestID))
		fmt.Printf("%s\n", bytes.TrimSpace(answer))
	}
	if ending != "handled" {
		return errFailed
	}
	return nil
}

type workersCmd struct {
	List  string `default:"http://127.0.0.1:8710" help:"Address of the registry."`
	Drain string `help:"Mark this worker as draining."`
	Gone  string `help:"Mark this worker as gone."`
	JSON  bool   `help:"The list as JSON."`
}

// Run shows or changes the list.
func (c *workersCmd) Run(ctx context.Context, _ *slog.Logger) error {
	list := registry.Client{BaseURL: c.List, HTTP: http.DefaultClient}
	for name, state := range map[string]registry.State{c.Drain: registry.Draining, c.Gone: registry.Removed} {
		if name == "" {
			continue
		}
		if err := list.SetState(ctx, name, state); err != nil {
			return err
		}
	}
	entries, err := list.Workers(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(entries)
	}
	t := newTable("worker", "address", "zone", "cell", "cores", "state", "started")
	for _, e := range entries {
		t.AppendRow(table.Row{e.Name, e.Addr, e.Zone, e.Cell, e.Cores, e.State, e.Started.Format(time.RFC3339)})
	}
	t.Render()
	return nil
}
