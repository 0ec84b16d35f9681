package main

import (
	"fmt"
	"log/slog"
	"runtime"

	"lupinpond/internal/testbed/costmodel"
)

// costModelCmd measures the cost of the gateway's decision core at several sizes. The sizes run one after the other on
// one processor core.
type costModelCmd struct {
	By        string  `enum:"workers,functions,rate,fleet" default:"workers" help:"What grows: ${enum}. ${by_help}"`
	Sizes     []int   `help:"Sizes to measure; by default those of the capacity page."`
	Workers   int     `default:"400" help:"Number of workers, unless it grows."`
	Functions int     `default:"21000" help:"Number of functions, unless it grows."`
	Gateways  int     `aliases:"front-ends" default:"490" help:"Number of gateways, unless it grows."`
	Rate      float64 `default:"122" help:"Requests per second at this gateway, unless the rate grows."`
	Skew      float64 `default:"1.7" help:"${skew_help}"`
	Requests  int     `default:"3000" help:"Number of requests that are measured at each size."`
	Seed      uint64  `default:"1" help:"Seed of the random traffic."`
	JSON      bool    `help:"Print one line of JSON for each size instead of the table."`
}

// defaultSizes are the sizes of the capacity page in docs, by value of --by.
var defaultSizes = map[string][]int{
	"workers":   {120, 400, 1300, 4000, 12000, 43000},
	"functions": {100, 1000, 5000, 21000, 60000},
	"rate":      {4, 12, 40, 122, 360},
	"fleet":     {2, 5, 10, 20, 35, 50, 75, 100},
}

// Today's fleet and the middle case of the target. With --by fleet, a size is a percentage: 0 is today's fleet, 100 is
// the target, and the quantities are interpolated linearly.
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

// Run measures the core at each size, prints the results and fits a curve to the time per request.
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
		measured, err := costmodel.MeasureCore(c.loadAt(size))
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
	perRequest := func(count int) string {
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
		perRequest(measured.Counts.LoadRequests),
		perRequest(measured.Counts.Probes),
		fmt.Sprintf("%.3f", float64(measured.Counts.Served)/float64(measured.Counts.Requests)),
	}
}

// loadAt returns the load under which the core is measured at one size.
func (c *costModelCmd) loadAt(size int) costmodel.Load {
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
		fraction := float64(size) / 100
		interpolate := func(from, to float64) float64 { return from + fraction*(to-from) }
		load.Workers = int(interpolate(todayWorkers, targetWorkers))
		load.Gateways = int(interpolate(todayGateways, targetGateways))
		load.Functions = int(interpolate(todayFunctions, targetFunctions))
		load.Rate = interpolate(todayRate, targetRate)
	}
	return load
}
