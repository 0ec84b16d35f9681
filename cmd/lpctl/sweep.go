package main

import (
	"context"
	"errors"
	"fmt"

	"lupinpond/internal/testbed/costmodel"
	"lupinpond/internal/testbed/scale"
)

// minSizes is the minimum number of sizes of a sweep.
const minSizes = 4

// errSizes reports that a sweep has fewer than minSizes sizes.
var errSizes = errors.New("--sweep needs --sizes with at least four sizes")

// sweep runs the plan at several sizes and fits a curve to each measured quantity.
func (c *scaleCmd) sweep(ctx context.Context, plan scale.Plan, options scale.Options) error {
	if len(c.Sizes) < minSizes {
		return errSizes
	}
	swept := newSweptFigures()
	for _, size := range c.Sizes {
		result, err := scale.Run(ctx, c.planAt(plan, size), options)
		fmt.Printf("-- %s %d\n", c.Sweep, size)
		if err := errors.Join(err, c.print(result)); err != nil {
			return err
		}
		swept.addResult(size, result)
	}
	swept.print()
	return nil
}

// planAt returns the plan with the swept quantity set to size.
func (c *scaleCmd) planAt(plan scale.Plan, size int) scale.Plan {
	switch c.Sweep {
	case "workers":
		plan.Workers.Count = size
	case "gateways", "front-ends":
		plan.Gateways.Hollow = size
	case "rate":
		plan.Gateways.Rate = float64(size)
	}
	return plan
}

// sweptFigures collects the measured quantities of a sweep, by name.
type sweptFigures struct {
	names  []string // names of the quantities, in the order in which they were first added
	points map[string][]costmodel.Point
}

func newSweptFigures() *sweptFigures { return &sweptFigures{points: map[string][]costmodel.Point{}} }

func (f *sweptFigures) add(size int, name string, value float64) {
	if f.points[name] == nil {
		f.names = append(f.names, name)
	}
	f.points[name] = append(f.points[name], costmodel.Point{Size: float64(size), Value: value})
}

func (f *sweptFigures) addResult(size int, result scale.Result) {
	busy, idle := result.Spans[0], result.Spans[len(result.Spans)-1]
	f.add(size, "gateway with requests, % of a core", 100*busy.GatewayCPU)
	f.add(size, "gateway with requests, descriptors", busy.GatewayFDs)
	f.add(size, "gateway with requests, control B/s", busy.ControlBytes)
	f.add(size, "gateway with requests, handshakes/s", busy.HandshakeRate)
	f.add(size, "worker, connections", busy.Connections)
	f.add(size, "discovery service, % of a core", 100*busy.DiscoveryCPU)
	f.add(size, "discovery service, MiB", busy.DiscoveryMiB)
	f.add(size, "gateway at the end without requests, % of a core", 100*idle.GatewayCPU)
	f.add(size, "gateway at the end without requests, control B/s", idle.ControlBytes)
	f.add(size, "gateway at the end, MiB of its process", idle.GatewayMiB)
	f.add(size, "real gateway at the end, MiB", idle.RealGatewayMiB)
	for _, delay := range result.AppliedEverywhere {
		f.add(size, "change at the last gateway, ms, p99", delay.P99)
	}
}

// print prints the fitted curve of each quantity.
func (f *sweptFigures) print() {
	for _, name := range f.names {
		fit, err := costmodel.FitPoints(f.points[name])
		if err != nil {
			fmt.Printf("%s: no fit: %v\n", name, err)
			continue
		}
		fmt.Printf("%s: %v\n", name, fit)
	}
}
