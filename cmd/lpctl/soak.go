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

// Bounds of a soak run on one machine.
const (
	maxSoakProcesses = 200
	minSoakWorkers   = 3
	maxSoakRate      = 1000
	maxSoakDuration  = 30 * time.Minute
)

// maxShownSoakViolations is how many violations are printed.
const maxShownSoakViolations = 40

// soakCmd plays a soak test.
type soakCmd struct {
	Seed                uint64        `default:"0" help:"Of all that is drawn; 0: by the clock. It is printed."`
	Gateways            int           `aliases:"processes" default:"24" help:"Gateways, one process each."`
	Workers             int           `default:"12" help:"Emulated workers."`
	Rate                float64       `default:"12" help:"Requests a second at each gateway."`
	For                 time.Duration `default:"30s" help:"How long faults are begun."`
	WarmUp              time.Duration `aliases:"quiet" default:"1s" help:"Time without faults at the begin."`
	GatewayProgram      string        `aliases:"gate" default:"bin/gateway" help:"Program of the gateways, as the deploy file builds it." type:"path"`
	Dir                 string        `help:"Folder for configurations and logs of the gateways; a temporary one by default, which stays if a rule was violated." type:"path"`
	InjectSyscallErrors bool          `aliases:"inject" help:"A third of the gateways runs under strace, which makes system calls fail now and then."`
	Outage              bool          `help:"One outage of the discovery service, drawn by the seed, in place of drawn faults."`
	MaxOutage           time.Duration `default:"30s" help:"Longest outage that is drawn, from 8s on."`
	AnswerQueries       bool          `help:"Draining workers answer load requests for no replicas as others do."`
	Verbose             bool          `short:"v" help:"A line for each fault."`
}

func (c *soakCmd) check() error {
	switch {
	case c.Gateways < 1 || c.Gateways > maxSoakProcesses:
		return fmt.Errorf("--gateways %d: from 1 to %d", c.Gateways, maxSoakProcesses)
	case c.Workers < minSoakWorkers || c.Workers > maxSoakProcesses:
		return fmt.Errorf("--workers %d: from %d to %d", c.Workers, minSoakWorkers, maxSoakProcesses)
	case !(c.Rate > 0 && c.Rate <= maxSoakRate):
		return fmt.Errorf("--rate %v: above 0, at most %d", c.Rate, maxSoakRate)
	case c.For <= 0 || c.For > maxSoakDuration || c.WarmUp < 0 || c.WarmUp > maxSoakDuration:
		return fmt.Errorf("--for and --warm-up: at most %v", maxSoakDuration)
	}
	if c.MaxOutage < soak.MinOutage || c.MaxOutage > maxSoakDuration {
		return fmt.Errorf("--max-outage %v: from %v to %v", c.MaxOutage, soak.MinOutage, maxSoakDuration)
	}
	if c.InjectSyscallErrors {
		if _, err := exec.LookPath("strace"); err != nil {
			return fmt.Errorf("--inject-syscall-errors: %w", err)
		}
	}
	_, err := os.Stat(c.GatewayProgram)
	return err
}

// Run plays the run; a violation is exitFailed.
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
	fmt.Printf("seed %d, %d gateways, %d workers, %v requests a second each, %v of faults\n", c.Seed, c.Gateways,
		c.Workers, c.Rate, c.For)
	var out io.Writer
	if c.Verbose {
		out = os.Stdout
	}
	options := soak.Options{
		Seed:                c.Seed,
		Gateways:            c.Gateways,
		Workers:             c.Workers,
		Rate:                c.Rate,
		Duration:            c.For,
		WarmUp:              c.WarmUp,
		Program:             c.GatewayProgram,
		Dir:                 dir,
		InjectSyscallErrors: c.InjectSyscallErrors,
		Out:                 out,

		DrainingAnswersQueries: c.AnswerQueries,
	}
	if c.Outage {
		outage, wait := soak.RandomOutage(c.Seed, c.Gateways, c.MaxOutage)
		options.Outage, options.MaxWait = &outage, wait
		fmt.Printf("outage %+v\n", outage)
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return err
	}
	printSoakReport(report)
	if len(report.Violations) > 0 {
		fmt.Printf("logs of the gateways are in %s\n", dir)
		return errFailed
	}
	if temporary {
		return os.RemoveAll(dir)
	}
	return nil
}

// printSoakReport prints what was checked and the violations.
func printSoakReport(report soak.Report) {
	counts := report.Counts
	fmt.Printf("requests %d: served %d, rejected %d, failed %d, exceptions %d, client disconnected %d, excused %d; "+
		"not checked %d\n", counts.Requests, counts.Served, counts.Rejected, counts.Failed, counts.Exceptions,
		counts.Disconnected, counts.Excused, counts.NotChecked)
	fmt.Printf("attempts %d, load requests %d, queries %d, probes %d; faults %d, starts %d, bad clients %d\n",
		counts.Attempts, counts.LoadRequests, counts.Queries, counts.Probes, counts.Faults, counts.Starts,
		counts.BadClients)
	if report.InOutage.Requests > 0 {
		fmt.Printf("served before the outage %.3f, in it %.3f, after it %.3f\n", report.BeforeOutage.Share(),
			report.InOutage.Share(), report.AfterOutage.Share())
	}
	for _, line := range report.Injected {
		fmt.Println("injected:", line)
	}
	if len(report.Violations) == 0 {
		fmt.Println("no rule was violated")
		return
	}
	violated := map[soak.Rule]int{}
	for i, violation := range report.Violations {
		violated[violation.Rule]++
		if i < maxShownSoakViolations {
			fmt.Printf("%7.2f s  %s %s %s: %s\n", violation.Elapsed.Seconds(), violation.Rule, violation.Gateway,
				violation.RequestID, violation.Detail)
		}
	}
	fmt.Println("violated:", violated)
}
