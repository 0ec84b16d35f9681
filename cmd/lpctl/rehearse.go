package main

import (
	"context"
	"encoding/json"
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

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/replay"
	"lupinpond/internal/testbed/checker"
	"lupinpond/internal/testbed/scenario"
	"lupinpond/scenarios"
)

type scenarioCmd struct {
	Days     []string `arg:"" optional:"" help:"Days by name, or files ending in .yaml."`
	All      bool     `help:"Play every built-in day."`
	List     bool     `help:"List the built-in days."`
	Settings string   `help:"File of settings instead of the built-in defaults." type:"path"`
	Keep     string   `help:"Folder for captures, list news and core recordings; a folder in it for each day." type:"path"`
	Jobs     int      `default:"0" help:"Days played at a time; 0: three, or one with --workers runtime, whose copies share this machine's cores."`
	Workers  string   `enum:"imitation,runtime" default:"imitation" help:"What workers are: ${enum}."`
	Alone    bool     `help:"With --workers runtime: workers give each other no chunks, each asks the store alone."`
	Payroll  string   `default:"bin/payroll" help:"With --workers runtime: the built example package (go build -o bin/ ./examples/payroll)." type:"path"`
	JSON     bool     `help:"Results as JSON lines."`
}

// Run plays days.
func (c *scenarioCmd) Run(ctx context.Context, log *slog.Logger) error {
	f, err := loadConfig(c.Settings)
	if err != nil {
		return err
	}
	all, err := scenario.LoadAll(scenarios.Files, f)
	if err != nil {
		return err
	}
	if c.List {
		for _, d := range all {
			fmt.Printf("%-20s %s", d.Name, d.Description)
		}
		return nil
	}
	var chosen []scenario.Scenario
	if c.All {
		chosen = all
	}
	for _, name := range c.Days {
		if filepath.Ext(name) == ".yaml" {
			b, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			d, err := scenario.Parse(name, b, f)
			if err != nil {
				return err
			}
			chosen = append(chosen, d)
			continue
		}
		i := slices.IndexFunc(all, func(d scenario.Scenario) bool { return d.Name == name })
		if i < 0 {
			return fmt.Errorf("no day %q; lpctl rehearse --list names them", name)
		}
		chosen = append(chosen, all[i])
	}
	if len(chosen) == 0 {
		return errors.New("name a day, or --all")
	}
	results, err := c.play(ctx, chosen, f, log)
	if err != nil {
		return err
	}
	return c.report(results)
}

func (c *scenarioCmd) play(ctx context.Context, chosen []scenario.Scenario, f fleetconfig.File, log *slog.Logger) ([]scenario.Result, error) {
	var out io.Writer = os.Stderr
	if c.JSON {
		out = io.Discard
	}
	bar := progressbar.NewOptions(100*len(chosen), progressbar.OptionSetWriter(out), progressbar.OptionThrottle(100*time.Millisecond),
		progressbar.OptionSetDescription("days"), progressbar.OptionClearOnFinish())
	var mu sync.Mutex
	parts := make([]int, len(chosen))
	move := func(i, to int) {
		mu.Lock()
		defer mu.Unlock()
		_ = bar.Add(max(0, to-parts[i])) // nobody may be looking
		parts[i] = max(to, parts[i])
	}
	results := make([]scenario.Result, len(chosen))
	g, ctx := errgroup.WithContext(ctx)
	jobs := c.Jobs
	if jobs == 0 {
		if jobs = 3; c.Workers == "runtime" {
			jobs = 1
		}
	}
	g.SetLimit(max(1, jobs))
	for i, d := range chosen {
		g.Go(func() error {
			o := scenario.Options{Config: f, Log: log, Progress: func(part float64) { move(i, int(100*part)) }}
			if c.Workers == "runtime" {
				o.PayrollBinary, o.DisablePeerDistribution = c.Payroll, c.Alone
			}
			if c.Keep != "" {
				o.OutputDir = filepath.Join(c.Keep, d.Name)
			}
			var err error
			results[i], err = scenario.Play(ctx, d, o)
			move(i, 100)
			return err
		})
	}
	return results, g.Wait()
}

func (c *scenarioCmd) report(results []scenario.Result) error {
	kept := 0
	for _, r := range results {
		if r.Passed() {
			kept++
		}
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		for _, r := range results {
			r.Clients.Latencies = nil
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
	} else {
		t := newTable("day", "events", "tries", "handled", "deferred", "dead", "left", "lost", "launches", "orders",
			"in time", "p50 ms", "p99 ms", "ran twice", "cold used", "rules")
		for _, r := range results {
			v, state := r.Verdict, "kept"
			if !r.Passed() {
				state = fmt.Sprint("broken ", v.ViolatedRules())
			}
			t.AppendRow(table.Row{r.Scenario, r.Clients.Requests, v.Requests, v.Completed, v.Rejected, v.Failed, v.Disconnected, v.Lost, v.Attempts, v.LoadRequests,
				fmt.Sprintf("%.3f", r.ServedInTimeShare), r.Clients.Percentile(0.5).Milliseconds(), r.Clients.Percentile(0.99).Milliseconds(),
				len(r.DuplicateExecutions), fmt.Sprintf("%.2f", v.PeakSlowStartUse), state})
		}
		t.Render()
		for _, r := range results {
			for i, b := range r.Verdict.Violations {
				if i == 10 {
					fmt.Printf("%s: and %d more\n", r.Scenario, len(r.Verdict.Violations)-i)
					break
				}
				fmt.Printf("%s: %v\n", r.Scenario, b)
			}
			for _, e := range r.DuplicateExecutions {
				fmt.Printf("%s: %s ran twice, counted at the workers\n", r.Scenario, e)
			}
		}
		fmt.Printf("rules kept on %d of %d days\n", kept, len(results))
	}
	if kept < len(results) {
		return errFailed
	}
	return nil
}

type checkCapturesCmd struct {
	Folder string `arg:"" help:"Folder with settings.yaml, news.json and captures, as rehearse --keep writes it." type:"existingdir"`
	JSON   bool   `help:"The verdict as JSON."`
}

// Run judges a folder.
func (c *checkCapturesCmd) Run(_ *slog.Logger) error {
	facts, err := checker.Load(c.Folder)
	if err != nil {
		return err
	}
	v, err := checker.Check(facts)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d events taken: %d handled, %d deferred, %d dead-lettered, %d clients left, %d lost with a front end; %d launches, %d orders\n",
			v.Requests, v.Completed, v.Rejected, v.Failed, v.Disconnected, v.Lost, v.Attempts, v.LoadRequests)
		for rule := 1; rule <= 5; rule++ {
			n := 0
			for _, b := range v.Violations {
				if b.Rule == rule {
					n++
				}
			}
			fmt.Printf("rule %d: %d checked, %d breaches\n", rule, v.Checked[rule], n)
		}
		for _, b := range v.Violations {
			fmt.Println(b)
		}
	}
	if !v.Passed() {
		return errFailed
	}
	return nil
}

type replayCmd struct {
	File  string `arg:"" help:"A recording of a core, as rehearse --keep writes it (*.core)." type:"existingfile"`
	Show  bool   `help:"Print every fact and action."`
	Event string `help:"Print only what names this event."`
}

// Run replays a recording.
func (c *replayCmd) Run(_ *slog.Logger) error {
	in, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer in.Close()
	var now time.Duration
	told, err := replay.Replay(in, func(e *core.Input, a *replay.Action) {
		if e != nil {
			now = e.Now
		}
		if !c.Show && c.Event == "" {
			return
		}
		switch {
		case e != nil && c.Event != "" && e.ID != c.Event && (e.Request == nil || e.Request.ID != c.Event):
		case a != nil && c.Event != "" && a.ID != c.Event:
		case e != nil:
			fmt.Printf("%v %v\n", now, e)
		case a != nil:
			fmt.Printf("%v   -> %v\n", now, a)
		}
	})
	if err != nil {
		return err
	}
	torn := ""
	if told.Truncated {
		torn = "; the recording ends in the middle of an item"
	}
	fmt.Printf("front end %d of %d: %d facts, %d actions, all as recorded%s\n", told.Settings.Index, told.Settings.Gateways, told.Inputs, told.Actions, torn)
	return nil
}
