package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"lupinpond/internal/testbed/flood"
)

// Bounds of a flood on one machine.
const (
	maxFloodConnections = 800
	maxFloodLength      = 10 * time.Minute
)

// floodCmd floods one gateway process on loopback and measures what usual clients are served meanwhile.
type floodCmd struct {
	Kind           string        `default:"cancelled" enum:"${flood_kinds}" help:"Kind of flood: ${flood_kinds}."`
	Connections    int           `default:"8" help:"Connections of the flood."`
	Cores          float64       `default:"0.4" help:"Share of a processor that the gateway gets."`
	StatedCores    float64       `help:"Share of a processor in the gateway's configuration; --cores by default."`
	Memory         int           `default:"32" help:"Memory limit of the gateway in MB; the peak is reported."`
	Sockets        int           `default:"512" help:"Descriptor limit of the gateway."`
	Effect         string        `default:"pure" enum:"pure,side_effect" help:"Effect of the flood's requests."`
	Function       string        `help:"Function of the flood's requests, 16 hex digits; a new one for each by default."`
	Returning      bool          `help:"Another client closes its connections with requests unread and sends these again."`
	Before         time.Duration `default:"2s" help:"Time before the flood."`
	For            time.Duration `default:"8s" help:"Length of the flood."`
	After          time.Duration `default:"3s" help:"Time after the flood."`
	Seed           uint64        `default:"1" help:"Seed of the traffic."`
	GatewayProgram string        `default:"bin/gateway" help:"${gateway_program_help}" type:"path"`
}

func (c *floodCmd) check() error {
	switch {
	case c.Connections < 1 || c.Connections > maxFloodConnections:
		return fmt.Errorf("--connections %d: must be from 1 to %d", c.Connections, maxFloodConnections)
	case !(c.Cores > 0 && c.Cores <= 1) || !(c.StatedCores >= 0 && c.StatedCores <= 1):
		return fmt.Errorf("--cores %v must be above 0, --stated-cores %v not below 0, and both at most 1", c.Cores,
			c.StatedCores)
	case c.Memory < 1 || c.Sockets < 1:
		return fmt.Errorf("--memory %d and --sockets %d: must be at least 1", c.Memory, c.Sockets)
	case min(c.Before, c.For, c.After) <= 0 || max(c.Before, c.For, c.After) > maxFloodLength:
		return fmt.Errorf("--before, --for and --after must be above 0 and at most %v", maxFloodLength)
	}
	_, err := os.Stat(c.GatewayProgram)
	return err
}

// Run runs the flood. It fails if a usual client got a late answer, a request ran twice or memory passed its limit.
func (c *floodCmd) Run(_ context.Context, _ *slog.Logger) error {
	if err := c.check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "lpctl-flood-")
	if err != nil {
		return err
	}
	outcome, err := flood.Play(flood.Scenario{
		Program:     c.GatewayProgram,
		Dir:         dir,
		Kind:        flood.Kind(c.Kind),
		Connections: c.Connections,
		Effect:      c.Effect,
		Function:    c.Function,
		Returning:   c.Returning,
		Cores:       c.Cores,
		StatedCores: c.StatedCores,
		MemoryMB:    c.Memory,
		Sockets:     c.Sockets,
		Before:      c.Before,
		Length:      c.For,
		After:       c.After,
		Seed:        c.Seed,
	})
	if err != nil {
		return err
	}
	fmt.Println(outcome)
	late := outcome.Before.Late + outcome.During.Late + outcome.After.Late
	ranTwice := c.Effect != "pure" && outcome.RanTwice > 0
	if late > 0 || ranTwice || outcome.SentAfterLeaving > 0 || outcome.PeakMemory > int64(c.Memory)<<20 {
		fmt.Printf("late answers, requests that ran twice or were sent on, or memory over the limit; the log is in %s\n", dir)
		return errFailed
	}
	return os.RemoveAll(dir)
}
