package main

import (
	"fmt"
	"log/slog"
	"runtime"

	"lupinpond/internal/testbed/costmodel"
)

// costModelCmd measures the decision core at several sizes. Each size runs by itself, one after the other, on one
// processor core.
type costModelCmd struct {
	By        string  `enum:"workers,functions,rate,fleet" default:"workers" help:"What grows: ${enum}. With fleet, workers, gateways and rate grow together from today's to the target."`
	Sizes     []int   `help:"Sizes to measure; without them those of the capacity page."`
	Workers   int     `default:"400" help:"Workers, where these do not grow."`
	Functions int     `default:"21000" help:"Functions, where these do not grow."`
	Gateways  int     `aliases:"front-ends" default:"490" help:"Gateways, where these do not grow."`
	Rate      float64 `default:"122" help:"Requests a second at this gateway, where these do not grow."`
	Skew      float64 `default:"1.7" help:"Exponent of the Zipf law by which functions are called; with 1.65 or more, most of 21,000 are called less than once a minute at 60,000 calls a second."`
	Requests  int     `default:"3000" help:"Requests that are counted at each size."`
	Seed      uint64  `default:"1" help:"Of the drawn traffic."`
	JSON      bool    `help:"One line of JSON for each size in place of the table."`
}

// defaultSizes are the sizes of the capacity page.
var defaultSizes = map[string][]int{
	"workers":   {120, 400, 1300, 4000, 12000, 43000},
	"functions": {100, 1000, 5000, 21000, 60000},
	"rate":      {4, 12, 40, 122, 360},
	"fleet":     {2, 5, 10, 20, 35, 50, 75, 100},
}

// Today's fleet and the target's middle case; with --by fleet a size is a percentage of the way between them.
const (
	todayWorkers    = 120
	targetWorkers   = 4300
	todayGateways   = 300
	targetGateways  = 490
	todayRate       = 2.0
	targetRate      = 122.0
	todayFunctions  = 200
	targetFunctions = 21000
)

// Run measures and prints.
func (c *costModelCmd) Run(_ *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	sizes := c.Sizes
	if len(sizes) == 0 {
		sizes = defaultSizes[c.By]
	}
	t := newTable("size", "us a request", "% of a core", "us an idle tick", "us a change", "ms a complete list",
		"B a worker", "B a worker, used", "heap MiB", "load requests a request", "probes a request", "served")
	var points []costmodel.Point
	for _, size := range sizes {
		measured, err := costmodel.MeasureCore(c.load(size))
		if err != nil {
			return err
		}
		points = append(points, costmodel.Point{Size: float64(size), Value: measured.RequestMicros})
		if !c.JSON {
			t.AppendRow(measurementRow(size, measured))
		} else if err := printJSON(measured); err != nil {
			return err
		}
	}
	if c.JSON {
		return nil
	}
	t.Render()
	fit, err := costmodel.FitPoints(points)
	if err != nil {
		fmt.Println("no fit:", err)
		return nil
	}
	fmt.Println("us a request:", fit)
	return nil
}

func measurementRow(size int, measured costmodel.Measurement) []any {
	aRequest := func(count int) string {
		return fmt.Sprintf("%.2f", float64(count)/float64(measured.Counts.Requests))
	}
	return []any{
		size,
		fmt.Sprintf("%.1f", measured.RequestMicros),
		fmt.Sprintf("%.2f", 100*measured.CoreShare),
		fmt.Sprintf("%.2f", measured.IdleTickMicros),
		fmt.Sprintf("%.1f", measured.ChangeMicros),
		fmt.Sprintf("%.2f", measured.CompleteListMillis),
		fmt.Sprintf("%.0f", measured.WorkerBytes),
		fmt.Sprintf("%.0f", measured.UsedBytes),
		fmt.Sprintf("%.1f", measured.HeapMiB),
		aRequest(measured.Counts.LoadRequests),
		aRequest(measured.Counts.Probes),
		fmt.Sprintf("%.3f", float64(measured.Counts.Served)/float64(measured.Counts.Requests)),
	}
}

// load is what is measured at one size.
func (c *costModelCmd) load(size int) costmodel.Load {
	load := costmodel.Load{
		Workers:   c.Workers,
		Functions: c.Functions,
		Gateways:  c.Gateways,
		Rate:      c.Rate,
		Skew:      c.Skew,
		Requests:  c.Requests,
		Seed:      c.Seed,
	}
	switch c.By {
	case "workers":
		load.Workers = size
	case "functions":
		load.Functions = size
	case "rate":
		load.Rate = float64(size)
	case "fleet":
		way := float64(size) / 100
		between := func(from, to float64) float64 { return from + way*(to-from) }
		load.Workers = int(between(todayWorkers, targetWorkers))
		load.Gateways = int(between(todayGateways, targetGateways))
		load.Functions = int(between(todayFunctions, targetFunctions))
		load.Rate = between(todayRate, targetRate)
	}
	return load
}
