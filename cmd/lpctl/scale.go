package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"

	"lupinpond/internal/testbed/scale"
)

// scaleCmd runs a fleet of real gateways, hollow gateways (which generate their requests themselves) and emulated
// workers on loopback.
type scaleCmd struct {
	Plan           string `arg:"" help:"Plan file (YAML)." type:"path"`
	GatewayProgram string `aliases:"gate" default:"bin/gateway" help:"${gateway_program_help}" type:"path"`
	Check          bool   `help:"Only check the plan and print an estimate of the memory that it needs."`
	JSON           bool   `help:"Print the result as JSON instead of tables."`
	Samples        string `help:"File to which each sample is written as a line of JSON." type:"path"`
	Sweep          string `enum:"none,workers,gateways,rate,front-ends" default:"none" help:"${sweep_help}"`
	Sizes          []int  `help:"Sizes of --sweep, at least four."`
}

// scaleChildCmd is one process of a scale run, which the scale command starts.
type scaleChildCmd struct {
	Role string `arg:"" enum:"list,workers,front-ends" help:"Role of the process: ${enum}."`
}

// Run runs the role until standard input is closed.
func (c *scaleChildCmd) Run(ctx context.Context, _ *slog.Logger) error {
	return scale.Child(ctx, scale.Role(c.Role), os.Stdin, os.Stdout)
}

// Run checks or runs the plan.
func (c *scaleCmd) Run(ctx context.Context, _ *slog.Logger) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	plan, err := scale.ReadPlan(c.Plan, text)
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
	if err := plan.CheckGatewayProgram(c.GatewayProgram); err != nil {
		return err
	}
	if c.Sweep != "none" {
		return c.sweep(ctx, plan, options)
	}
	result, err := scale.Run(ctx, plan, options)
	return errors.Join(err, c.print(result))
}

// options returns the options of the run. closeSamples closes the file to which samples are written.
func (c *scaleCmd) options() (options scale.Options, closeSamples func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return options, nil, err
	}
	maxBytes, err := scale.HalfOfMemory()
	if err != nil {
		return options, nil, err
	}
	options = scale.Options{
		GatewayProgram: c.GatewayProgram,
		MaxBytes:       maxBytes,
		Log:            slog.New(slog.DiscardHandler),
		Command:        func(role scale.Role) *exec.Cmd { return exec.Command(self, "scale-child", string(role)) },
	}
	if c.Samples == "" {
		return options, func() {}, nil
	}
	samples, err := os.Create(c.Samples)
	if err != nil {
		return options, nil, err
	}
	options.Log = slog.New(slog.NewJSONHandler(samples, nil))
	return options, func() { samples.Close() }, nil
}

func (c *scaleCmd) print(result scale.Result) error {
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(result)
	}
	fmt.Printf("%s: %d processes, started in %.1f s, %.1f s in all, at most %.0f MiB resident (estimated at most %d)\n",
		result.Plan, result.Processes, result.StartSeconds, result.Seconds, result.PeakMiB, result.Estimate.Bytes>>20)
	fmt.Printf("machine: least idle %.0f %% of its cores in a sample\n", 100*result.MinIdle)
	printSpans(result.Spans)
	printApplied(result)
	printLatencies(result)
	fmt.Printf("real gateways' clients: %d sent, %d served, %d rejected, %d failed\n", result.Real.Submitted,
		result.Real.Served, result.Real.Rejected, result.Real.Failed)
	fmt.Printf("%d changes; endpoint lists at the end %v, expected %s; %d changes out of order\n", result.Changes,
		result.Lists, result.ExpectedList, result.OutOfOrder)
	return nil
}

func printSpans(spans []scale.Span) {
	t := newTable("span", "s", "requests/s", "gateway: % core", "MiB", "files", "real: % core", "MiB", "files",
		"control B/s", "list B/s", "load requests/s", "probes/s", "handshakes/s", "worker: conns", "loads/s",
		"discovery: % core", "MiB", "complete", "served", "cold", "rejected", "no worker", "failed", "idle %")
	digits := func(value float64) string { return fmt.Sprintf("%.3g", value) }
	for _, span := range spans {
		t.AppendRow([]any{
			span.Name,
			digits(span.Seconds),
			digits(span.RequestRate),
			digits(100 * span.GatewayCPU),
			digits(span.GatewayMiB),
			digits(span.GatewayFDs),
			digits(100 * span.RealGatewayCPU),
			digits(span.RealGatewayMiB),
			digits(span.RealGatewayFDs),
			digits(span.ControlBytes),
			digits(span.DiscoveryBytes),
			digits(span.LoadRequestRate),
			digits(span.ProbeRate),
			digits(span.HandshakeRate),
			digits(span.Connections),
			digits(span.Loads),
			digits(100 * span.DiscoveryCPU),
			digits(span.DiscoveryMiB),
			span.CompleteLists,
			span.Served,
			span.Cold,
			span.Rejected,
			span.NoWorker,
			span.Failed,
			digits(100 * span.MachineIdle),
		})
	}
	t.Render()
}

// printApplied prints the time from the publication of a change until gateways applied it, by the span in which it
// was published.
func printApplied(result scale.Result) {
	t := newTable("changes of", "applied at a gateway: p50 ms", "p99", "worst", "count", "at the last gateway: p50",
		"p99", "worst", "changes")
	for _, span := range result.Spans {
		each, last := result.Applied[span.Name], result.AppliedEverywhere[span.Name]
		if each.Count > 0 {
			t.AppendRow([]any{span.Name, each.P50, each.P99, each.Max, each.Count, last.P50, last.P99, last.Max, last.Count})
		}
	}
	t.Render()
}

func printLatencies(result scale.Result) {
	t := newTable("requests", "p50 ms", "p99", "worst", "count")
	for _, row := range []struct {
		name  string
		delay scale.Delay
	}{
		{"hollow, replica loaded", result.Warm},
		{"hollow, cold start", result.Cold},
		{"real, replica loaded", result.RealWarm},
		{"real, cold start", result.RealCold},
	} {
		t.AppendRow([]any{row.name, row.delay.P50, row.delay.P99, row.delay.Max, row.delay.Count})
	}
	t.Render()
}
