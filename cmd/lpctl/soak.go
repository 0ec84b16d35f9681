package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"time"

	"lupinpond/internal/testbed/soak"
)

// soakCmd plays a soak test.
type soakCmd struct {
	Seed      uint64        `default:"0" help:"Of all that is drawn; 0: by the clock. It is printed."`
	Processes int           `default:"24" help:"Front ends, one process each."`
	Workers   int           `default:"12" help:"Emulated workers."`
	Rate      float64       `default:"12" help:"Requests a second at each front end."`
	For       time.Duration `default:"30s" help:"How long troubles are begun."`
	Quiet     time.Duration `default:"1s" help:"Time without trouble at the begin."`
	Gate      string        `default:"bin/gateway" help:"Program of the front ends, as the deploy file builds it." type:"path"`
	Dir       string        `help:"Folder for configurations and logs of the front ends; a temporary one by default, which stays if a rule was broken." type:"path"`
	Inject    bool          `help:"A third of the front ends runs under strace, which makes system calls fail now and then."`
	Verbose   bool          `short:"v" help:"A line for each trouble."`
}

// Bounds of a run on one machine.
const (
	mostProcesses = 200
	mostSoak      = 30 * time.Minute
	mostShown     = 40
)

func (c *soakCmd) check() error {
	switch {
	case c.Processes < 1 || c.Processes > mostProcesses:
		return fmt.Errorf("--processes %d: from 1 to %d", c.Processes, mostProcesses)
	case c.Workers < 3 || c.Workers > mostProcesses:
		return fmt.Errorf("--workers %d: from 3 to %d", c.Workers, mostProcesses)
	case !(c.Rate > 0 && c.Rate <= 1000):
		return fmt.Errorf("--rate %v: above 0, at most 1000", c.Rate)
	case c.For <= 0 || c.For > mostSoak || c.Quiet < 0 || c.Quiet > mostSoak:
		return fmt.Errorf("--for and --quiet: at most %v", mostSoak)
	}
	if c.Inject {
		if _, err := exec.LookPath("strace"); err != nil {
			return fmt.Errorf("--inject: %w", err)
		}
	}
	_, err := os.Stat(c.Gate)
	return err
}

// Run plays the run and judges it.
func (c *soakCmd) Run(ctx context.Context, _ *slog.Logger) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	dir, temporary := c.Dir, c.Dir == ""
	if temporary {
		var err error
		if dir, err = os.MkdirTemp("", "lpctl-soak-"); err != nil {
			return err
		}
	}
	fmt.Printf("seed %d, %d processes, %d workers, %v requests a second each, %v of troubles\n", c.Seed, c.Processes, c.Workers, c.Rate, c.For)
	var out io.Writer
	if c.Verbose {
		out = os.Stdout
	}
	report, err := soak.Run(ctx, soak.Options{Seed: c.Seed, Gateways: c.Processes, Workers: c.Workers, Rate: c.Rate, Duration: c.For, WarmUp: c.Quiet,
		Program: c.Gate, Dir: dir, InjectSyscallErrors: c.Inject, Out: out})
	if err != nil {
		return err
	}
	c.print(report)
	if len(report.Violations) > 0 {
		fmt.Printf("logs of the front ends are in %s\n", dir)
		return errFailed
	}
	if temporary {
		return os.RemoveAll(dir)
	}
	return nil
}

// print prints what was judged and each broken rule.
func (c *soakCmd) print(r soak.Report) {
	s := r.Counts
	fmt.Printf("requests %d: served %d, rejected %d, failed %d, exceptions %d, client left %d, excused %d; not judged %d\n", s.Requests, s.Served,
		s.Rejected, s.Failed, s.Exceptions, s.Disconnected, s.Excused, s.NotChecked)
	fmt.Printf("attempts %d, load requests %d; troubles %d, starts %d, bad clients %d\n", s.Attempts, s.LoadRequests, s.Faults, s.Starts, s.BadClients)
	for _, line := range r.Injected {
		fmt.Println("injected:", line)
	}
	kinds := map[soak.Rule]int{}
	for i, v := range r.Violations {
		kinds[v.Rule]++
		if i < mostShown {
			fmt.Printf("%7.2f s  %s %s %s: %s\n", v.Elapsed.Seconds(), v.Rule, v.Gateway, v.RequestID, v.Detail)
		}
	}
	if len(kinds) == 0 {
		fmt.Println("no rule was broken")
		return
	}
	fmt.Println("broken:", kinds)
}
