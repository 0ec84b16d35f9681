package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/testbed/scenario"
	"lupinpond/scenarios"
)

const (
	// maxShownViolations is the maximum number of violations that are printed for a scenario.
	maxShownViolations = 10
	// emulatedJobs is the default of --jobs with emulated workers.
	emulatedJobs = 3
	// runtimeJobs is the default of --jobs with the worker runtime, whose replicas share this machine's cores.
	runtimeJobs = 1
)

// workersRuntime is the value of --workers that selects the worker runtime.
const workersRuntime = "runtime"

// scenarioCmd runs fault scenarios and checks the rules on what was captured.
type scenarioCmd struct {
	Scenarios []string `arg:"" optional:"" name:"days" help:"Names of built-in scenarios, or files ending in .yaml."`
	All       bool     `help:"Run all built-in scenarios."`
	List      bool     `help:"List the built-in scenarios."`
	Settings  string   `help:"Settings file; the built-in defaults are used without it." type:"path"`
	Output    string   `aliases:"keep" help:"${output_help}" type:"path"`
	Jobs      int      `default:"0" help:"${jobs_help}"`
	Workers   string   `enum:"emulated,runtime,imitation" default:"emulated" help:"Kind of workers: emulated or runtime."`
	NoPeers   bool     `aliases:"alone" help:"${no_peers_help}"`
	Payroll   string   `default:"bin/payroll" help:"${payroll_help}" type:"path"`
	JSON      bool     `help:"Print the results as JSON lines."`
}

// Run lists or runs scenarios.
func (c *scenarioCmd) Run(ctx context.Context, log *slog.Logger) error {
	settings, err := loadConfig(c.Settings)
	if err != nil {
		return err
	}
	builtIn, err := scenario.LoadAll(scenarios.Files, settings)
	if err != nil {
		return err
	}
	if c.List {
		for _, s := range builtIn {
			fmt.Printf("%-20s %s", s.Name, s.Description)
		}
		return nil
	}
	chosen, err := c.choose(builtIn, settings)
	if err != nil {
		return err
	}
	results, err := c.play(ctx, chosen, settings, log)
	if err != nil {
		return err
	}
	return c.report(results)
}

// choose returns the scenarios that the arguments select.
func (c *scenarioCmd) choose(builtIn []scenario.Scenario, settings fleetconfig.File) ([]scenario.Scenario, error) {
	var chosen []scenario.Scenario
	if c.All {
		chosen = builtIn
	}
	for _, name := range c.Scenarios {
		if filepath.Ext(name) == ".yaml" {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			s, err := scenario.Parse(name, text, settings)
			if err != nil {
				return nil, err
			}
			chosen = append(chosen, s)
			continue
		}
		i := slices.IndexFunc(builtIn, func(s scenario.Scenario) bool { return s.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("no scenario %q; lpctl scenario --list lists the built-in ones", name)
		}
		chosen = append(chosen, builtIn[i])
	}
	if len(chosen) == 0 {
		return nil, errors.New("no scenario given; name one or use --all")
	}
	return chosen, nil
}

func (c *scenarioCmd) play(ctx context.Context, chosen []scenario.Scenario, settings fleetconfig.File, log *slog.Logger,
) ([]scenario.Result, error) {
	progress := newProgress(len(chosen), c.JSON)
	results := make([]scenario.Result, len(chosen))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.jobs())
	for i, s := range chosen {
		group.Go(func() error {
			options := scenario.Options{
				Config:   settings,
				Log:      log,
				Progress: func(part float64) { progress.set(i, int(100*part)) },
			}
			if c.Workers == workersRuntime {
				options.PayrollBinary, options.DisablePeerDistribution = c.Payroll, c.NoPeers
			}
			if c.Output != "" {
				options.OutputDir = filepath.Join(c.Output, s.Name)
			}
			var err error
			results[i], err = scenario.Play(ctx, s, options)
			progress.set(i, 100)
			return err
		})
	}
	return results, group.Wait()
}

// jobs returns the number of scenarios that run in parallel.
func (c *scenarioCmd) jobs() int {
	switch {
	case c.Jobs != 0:
		return max(1, c.Jobs)
	case c.Workers == workersRuntime:
		return runtimeJobs
	}
	return emulatedJobs
}

// progress shows the progress of several scenarios in one bar.
type progress struct {
	mu       sync.Mutex
	bar      *progressbar.ProgressBar
	percents []int // progress of each scenario
}

// newProgress returns a progress bar for count scenarios; a silent one prints nothing.
func newProgress(count int, silent bool) *progress {
	var out io.Writer = os.Stderr
	if silent {
		out = io.Discard
	}
	bar := progressbar.NewOptions(100*count,
		progressbar.OptionSetWriter(out),
		progressbar.OptionThrottle(100*time.Millisecond),
		progressbar.OptionSetDescription("scenarios"),
		progressbar.OptionClearOnFinish())
	return &progress{bar: bar, percents: make([]int, count)}
}

// set records the progress of one scenario; a value below the recorded one is ignored.
func (p *progress) set(index, percent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.bar.Add(max(0, percent-p.percents[index])) // a bar that can't be printed doesn't matter
	p.percents[index] = max(percent, p.percents[index])
}

// report prints the results. If a scenario did not pass, the program exits with exitFailed.
func (c *scenarioCmd) report(results []scenario.Result) error {
	passed := 0
	for _, result := range results {
		if result.Passed() {
			passed++
		}
	}
	if c.JSON {
		for _, result := range results {
			result.Clients.Latencies = nil
			if err := printJSON(result); err != nil {
				return err
			}
		}
	} else {
		printResults(results)
		fmt.Printf("rules kept in %d of %d scenarios\n", passed, len(results))
	}
	if passed < len(results) {
		return errFailed
	}
	return nil
}

func printResults(results []scenario.Result) {
	t := newTable("scenario", "requests", "accepted", "completed", "rejected", "failed", "disconnected", "lost",
		"attempts", "load requests", "in time", "p50 ms", "p99 ms", "ran twice", "slow start used", "rules")
	for _, result := range results {
		verdict, clients, rules := result.Verdict, result.Clients, "kept"
		if !result.Passed() {
			rules = fmt.Sprint("violated ", verdict.ViolatedRules())
		}
		t.AppendRow(table.Row{result.Scenario, clients.Requests, verdict.Requests, verdict.Completed, verdict.Rejected,
			verdict.Failed, verdict.Disconnected, verdict.Lost, verdict.Attempts, verdict.LoadRequests,
			fmt.Sprintf("%.3f", result.ServedInTimeShare), clients.Percentile(0.5).Milliseconds(),
			clients.Percentile(0.99).Milliseconds(), len(result.DuplicateExecutions),
			fmt.Sprintf("%.2f", verdict.PeakSlowStartUse), rules})
	}
	t.Render()
	for _, result := range results {
		violations := result.Verdict.Violations
		for _, violation := range violations[:min(len(violations), maxShownViolations)] {
			fmt.Printf("%s: %v\n", result.Scenario, violation)
		}
		if more := len(violations) - maxShownViolations; more > 0 {
			fmt.Printf("%s: and %d more\n", result.Scenario, more)
		}
		for _, request := range result.DuplicateExecutions {
			fmt.Printf("%s: %s ran twice, counted at the workers\n", result.Scenario, request)
		}
	}
}
