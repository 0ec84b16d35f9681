package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"

	"lupinpond/internal/testbed/costmodel"
	"lupinpond/internal/testbed/scale"
)

// scaleCmd plays a scale run.
type scaleCmd struct {
	Plan    string `arg:"" help:"File of the plan." type:"path"`
	Gate    string `default:"bin/gateway" help:"Program of the real front ends, as the deploy file builds it." type:"path"`
	Check   bool   `help:"Only check the plan, and print what it takes."`
	JSON    bool   `help:"The result as JSON in place of the tables."`
	Samples string `help:"File for one JSON line a sample." type:"path"`
	Sweep   string `enum:"none,workers,front-ends,rate" default:"none" help:"Play the plan once for each of --sizes, and fit slopes: ${enum}."`
	Sizes   []int  `help:"Sizes of --sweep, four at the least."`
}

// scaleChildCmd is a process of a run.
type scaleChildCmd struct {
	Role string `arg:"" enum:"list,workers,front-ends" help:"What it plays: ${enum}."`
}

// Run plays the role until standard input ends.
func (c *scaleChildCmd) Run(ctx context.Context, _ *slog.Logger) error {
	return scale.Child(ctx, scale.Role(c.Role), os.Stdin, os.Stdout)
}

// Run plays the plan.
func (c *scaleCmd) Run(ctx context.Context, _ *slog.Logger) error {
	b, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	plan, err := scale.ReadPlan(c.Plan, b)
	if err != nil {
		return err
	}
	options, closeSamples, err := c.options()
	if err != nil {
		return err
	}
	defer closeSamples()
	if c.Check {
		fmt.Println(plan.Estimate().Sum)
		return plan.Check(options.MaxBytes)
	}
	if err := plan.CheckGatewayProgram(c.Gate); err != nil {
		return err
	}
	if c.Sweep != "none" {
		return c.sweep(ctx, plan, options)
	}
	result, err := scale.Run(ctx, plan, options)
	if perr := c.print(result); err == nil {
		err = perr
	}
	return err
}

func (c *scaleCmd) options() (scale.Options, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return scale.Options{}, nil, err
	}
	most, err := scale.HalfOfMemory()
	if err != nil {
		return scale.Options{}, nil, err
	}
	o := scale.Options{GatewayProgram: c.Gate, MaxBytes: most, Log: slog.New(slog.DiscardHandler),
		Command: func(role scale.Role) *exec.Cmd { return exec.Command(self, "scale-child", string(role)) }}
	if c.Samples == "" {
		return o, func() {}, nil
	}
	file, err := os.Create(c.Samples)
	if err != nil {
		return o, nil, err
	}
	o.Log = slog.New(slog.NewJSONHandler(file, nil))
	return o, func() { file.Close() }, nil
}

func (c *scaleCmd) print(r scale.Result) error {
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(r)
	}
	fmt.Printf("%s: %d processes, started in %.1f s, %.1f s in all, at most %.0f MiB resident (estimated at most %d)\n", r.Plan, r.Processes,
		r.StartSeconds, r.Seconds, r.PeakMiB, r.Estimate.Bytes>>20)
	fmt.Printf("machine: least idle %.0f %% of its cores in a sample\n", 100*r.MinIdle)
	c.printSpans(r.Spans)
	applied := newTable("changes of", "in force at a front end: p50 ms", "p99", "worst", "count", "at the last of each: p50", "p99", "worst", "changes")
	for _, s := range r.Spans {
		a, l := r.Applied[s.Name], r.AppliedEverywhere[s.Name]
		if a.Count > 0 {
			applied.AppendRow([]any{s.Name, a.P50, a.P99, a.Max, a.Count, l.P50, l.P99, l.Max, l.Count})
		}
	}
	applied.Render()
	latency := newTable("requests", "p50 ms", "p99", "worst", "count")
	for _, row := range []struct {
		name string
		d    scale.Delay
	}{{"hollow, replica loaded", r.Warm}, {"hollow, cold start", r.Cold}, {"real, replica loaded", r.RealWarm}, {"real, cold start", r.RealCold}} {
		latency.AppendRow([]any{row.name, row.d.P50, row.d.P99, row.d.Max, row.d.Count})
	}
	latency.Render()
	fmt.Printf("real front ends' clients: %d sent, %d served, %d rejected, %d failed\n", r.Real.Submitted, r.Real.Served, r.Real.Rejected, r.Real.Failed)
	fmt.Printf("%d changes; lists at the end %v, the service's %s; %d heard out of order\n", r.Changes, r.Lists, r.ExpectedList, r.OutOfOrder)
	return nil
}

func (c *scaleCmd) printSpans(spans []scale.Span) {
	out := newTable("span", "s", "requests/s", "front end: % core", "MiB", "files", "real: % core", "MiB", "files", "control B/s", "list B/s", "orders/s", "probes/s",
		"handshakes/s", "worker: conns", "loads/s", "list: % core", "MiB", "whole", "served", "cold", "rejected", "none", "failed", "idle %")
	for _, s := range spans {
		p := func(v float64) string { return fmt.Sprintf("%.3g", v) }
		out.AppendRow([]any{s.Name, p(s.Seconds), p(s.RequestRate), p(100 * s.GatewayCPU), p(s.GatewayMiB), p(s.GatewayFDs), p(100 * s.RealGatewayCPU), p(s.RealGatewayMiB),
			p(s.RealGatewayFDs), p(s.ControlBytes), p(s.DiscoveryBytes), p(s.LoadRequestRate), p(s.ProbeRate), p(s.HandshakeRate), p(s.Connections), p(s.Loads),
			p(100 * s.DiscoveryCPU), p(s.DiscoveryMiB), s.CompleteLists, s.Served, s.Cold, s.Rejected, s.NoWorker, s.Failed, p(100 * s.MachineIdle)})
	}
	out.Render()
}

// errSizes says that a sweep has too few sizes.
var errSizes = errors.New("--sweep needs --sizes, four at the least")

// sweep plays the plan at several sizes and fits curves through the first span's figures.
func (c *scaleCmd) sweep(ctx context.Context, plan scale.Plan, options scale.Options) error {
	if len(c.Sizes) < 4 {
		return errSizes
	}
	figures := map[string][]costmodel.Point{}
	var names []string
	note := func(size int, name string, value float64) {
		if figures[name] == nil {
			names = append(names, name)
		}
		figures[name] = append(figures[name], costmodel.Point{Size: float64(size), Value: value})
	}
	for _, size := range c.Sizes {
		sized := plan
		switch c.Sweep {
		case "workers":
			sized.Workers.Count = size
		case "front-ends":
			sized.Gateways.Hollow = size
		case "rate":
			sized.Gateways.Rate = float64(size)
		}
		result, err := scale.Run(ctx, sized, options)
		fmt.Printf("-- %s %d\n", c.Sweep, size)
		if perr := c.print(result); perr != nil {
			return perr
		}
		if err != nil {
			return err
		}
		busy, idle := result.Spans[0], result.Spans[len(result.Spans)-1]
		note(size, "front end with requests, % of a core", 100*busy.GatewayCPU)
		note(size, "front end with requests, descriptors", busy.GatewayFDs)
		note(size, "front end with requests, control B/s", busy.ControlBytes)
		note(size, "front end with requests, handshakes/s", busy.HandshakeRate)
		note(size, "worker, connections", busy.Connections)
		note(size, "list service, % of a core", 100*busy.DiscoveryCPU)
		note(size, "list service, MiB", busy.DiscoveryMiB)
		note(size, "front end at the end without requests, % of a core", 100*idle.GatewayCPU)
		note(size, "front end at the end without requests, control B/s", idle.ControlBytes)
		note(size, "front end at the end, MiB of its process", idle.GatewayMiB)
		note(size, "real front end at the end, MiB", idle.RealGatewayMiB)
		for _, d := range result.AppliedEverywhere {
			note(size, "change at the last front end, ms, p99", d.P99)
		}
	}
	for _, name := range names {
		fit, err := costmodel.FitPoints(figures[name])
		if err != nil {
			fmt.Printf("%s: no fit: %v\n", name, err)
			continue
		}
		fmt.Printf("%s: %v\n", name, fit)
	}
	return nil
}
