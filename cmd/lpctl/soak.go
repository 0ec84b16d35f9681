package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/exec"
	"slices"
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

// maxShownSoakViolations is the maximum number of violations that are printed.
const maxShownSoakViolations = 40

// soakCmd runs gateway processes against emulated workers and clients on loopback while it injects overlapping faults,
// and checks the rules on the traffic of the sockets.
type soakCmd struct {
	Seed                uint64        `default:"0" help:"Seed of the random faults and traffic; 0: by the clock. Printed."`
	Gateways            int           `aliases:"processes" default:"24" help:"Number of gateways, one process each."`
	Workers             int           `default:"12" help:"Number of emulated workers."`
	Rate                float64       `default:"12" help:"Requests per second at each gateway."`
	For                 time.Duration `default:"30s" help:"Period in which new faults begin."`
	WarmUp              time.Duration `aliases:"quiet" default:"1s" help:"Time without faults at the beginning."`
	GatewayProgram      string        `aliases:"gate" default:"bin/gateway" help:"${gateway_program_help}" type:"path"`
	Dir                 string        `help:"${soak_dir_help}" type:"path"`
	InjectSyscallErrors bool          `aliases:"inject" help:"${syscall_errors_help}"`
	Outage              bool          `help:"Play one random outage of the discovery service instead of faults."`
	MaxOutage           time.Duration `default:"30s" help:"Maximum length of the outage, at least 8s."`
	AnswerQueries       bool          `help:"Draining workers answer replica queries like others."`
	Verbose             bool          `short:"v" help:"Print a line for each fault."`
}

func (c *soakCmd) check() error {
	switch {
	case c.Gateways < 1 || c.Gateways > maxSoakProcesses:
		return fmt.Errorf("--gateways %d: must be from 1 to %d", c.Gateways, maxSoakProcesses)
	case c.Workers < minSoakWorkers || c.Workers > maxSoakProcesses:
		return fmt.Errorf("--workers %d: must be from %d to %d", c.Workers, minSoakWorkers, maxSoakProcesses)
	case !(c.Rate > 0 && c.Rate <= maxSoakRate):
		return fmt.Errorf("--rate %v: must be above 0 and at most %d", c.Rate, maxSoakRate)
	case c.For <= 0 || c.For > maxSoakDuration || c.WarmUp < 0 || c.WarmUp > maxSoakDuration:
		return fmt.Errorf("--for must be above 0, --warm-up not below 0, and both at most %v", maxSoakDuration)
	}
	if c.MaxOutage < soak.MinOutage || c.MaxOutage > maxSoakDuration {
		return fmt.Errorf("--max-outage %v: must be from %v to %v", c.MaxOutage, soak.MinOutage, maxSoakDuration)
	}
	if c.InjectSyscallErrors {
		if _, err := exec.LookPath("strace"); err != nil {
			return fmt.Errorf("--inject-syscall-errors: %w", err)
		}
	}
	_, err := os.Stat(c.GatewayProgram)
	return err
}

// Run runs the soak test. A violation of a rule makes the program exit with exitFailed.
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
	fmt.Printf("seed %d, %d gateways, %d workers, %v requests per second each, faults for %v\n", c.Seed, c.Gateways,
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

// printSoakReport prints the number of checked requests, attempts and faults, and the violations.
func printSoakReport(report soak.Report) {
	counts := report.Counts
	fmt.Printf("requests %d: served %d, rejected %d, failed %d, exceptions %d, client disconnected %d, excused %d; "+
		"not checked %d\n", counts.Requests, counts.Served, counts.Rejected, counts.Failed, counts.Exceptions,
		counts.Disconnected, counts.Excused, counts.NotChecked)
	fmt.Printf("attempts %d, load requests %d, queries %d, probes %d; faults %d, starts %d, bad clients %d\n",
		counts.Attempts, counts.LoadRequests, counts.Queries, counts.Probes, counts.Faults, counts.Starts,
		counts.BadClients)
	if report.InOutage.Requests > 0 {
		fmt.Printf("share served before the outage %.3f, during it %.3f, after it %.3f\n", report.BeforeOutage.Share(),
			report.InOutage.Share(), report.AfterOutage.Share())
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Floods)) {
		share := report.Floods[kind]
		fmt.Printf("floods %-16s %d: share served %.3f of %d\n", kind, share.Floods, share.Share(), share.Requests)
	}
	fmt.Printf("peak memory of a gateway %.1f MB\n", float64(counts.PeakMemory)/(1<<20))
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
