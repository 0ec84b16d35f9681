package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"runtime"

	"lupinpond/internal/testbed/costmodel"
)

// costModelCmd measures the decision core at several sizes. Each size runs by itself, one after the other, on one processor core.
type costModelCmd struct {
	By        string  `enum:"workers,functions,rate,fleet" default:"workers" help:"What grows: ${enum}. With fleet, workers, front ends and rate grow together from today's to the target."`
	Sizes     []int   `help:"Sizes to measure; without them those of the capacity page."`
	Workers   int     `default:"400" help:"Workers, where these do not grow."`
	Functions int     `default:"21000" help:"Functions, where these do not grow."`
	FrontEnds int     `default:"490" help:"Front ends, where these do not grow."`
	Rate      float64 `default:"122" help:"Requests a second at this front end, where these do not grow."`
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
	todayWorkers, targetWorkers     = 120, 4300
	todayFronts, targetFronts       = 300, 490
	todayRate, targetRate           = 2.0, 122.0
	todayFunctions, targetFunctions = 200, 21000
)

// Run measures and prints.
func (c *costModelCmd) Run(_ *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	sizes := c.Sizes
	if len(sizes) == 0 {
		sizes = defaultSizes[c.By]
	}
	out := newTable("size", "us a request", "% of a core", "us an idle tick", "us a change", "ms a whole list", "B a worker",
		"B a worker, used", "heap MiB", "orders a request", "probes a request", "served")
	var points []costmodel.Point
	for _, size := range sizes {
		f, err := costmodel.MeasureCore(c.load(size))
		if err != nil {
			return err
		}
		points = append(points, costmodel.Point{Size: float64(size), Value: f.RequestMicros})
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(f); err != nil {
				return err
			}
			continue
		}
		n := float64(f.Counts.Requests)
		out.AppendRow([]any{size, fmt.Sprintf("%.1f", f.RequestMicros), fmt.Sprintf("%.2f", 100*f.CoreShare),
			fmt.Sprintf("%.2f", f.IdleTickMicros), fmt.Sprintf("%.1f", f.ChangeMicros), fmt.Sprintf("%.2f", f.CompleteListMillis),
			fmt.Sprintf("%.0f", f.WorkerBytes), fmt.Sprintf("%.0f", f.UsedBytes), fmt.Sprintf("%.1f", f.HeapMiB),
			fmt.Sprintf("%.2f", float64(f.Counts.LoadRequests)/n), fmt.Sprintf("%.2f", float64(f.Counts.Probes)/n),
			fmt.Sprintf("%.3f", float64(f.Counts.Served)/n)})
	}
	if c.JSON {
		return nil
	}
	out.Render()
	fit, err := costmodel.FitPoints(points)
	if err != nil {
		fmt.Println("no fit:", err)
		return nil
	}
	fmt.Println("us a request:", fit)
	return nil
}

// load is what is measured at one size.
func (c *costModelCmd) load(size int) costmodel.Load {
	l := costmodel.Load{Workers: c.Workers, Functions: c.Functions, Gateways: c.FrontEnds, Rate: c.Rate, Skew: c.Skew, Requests: c.Requests, Seed: c.Seed}
	switch c.By {
	case "workers":
		l.Workers = size
	case "functions":
		l.Functions = size
	case "rate":
		l.Rate = float64(size)
	case "fleet":
		way := float64(size) / 100
		between := func(from, to float64) float64 { return from + way*(to-from) }
		l.Workers = int(between(todayWorkers, targetWorkers))
		l.Gateways = int(between(todayFronts, targetFronts))
		l.Functions = int(between(todayFunctions, targetFunctions))
		l.Rate = between(todayRate, targetRate)
	}
	return l
}
