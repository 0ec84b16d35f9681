package scenario_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/replay"
	"lupinpond/internal/testbed/checker"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/testbed/scenario"
	"lupinpond/scenarios"
)

// Every rehearsed day keeps the five rules, judged from the sockets; every event taken has one ending, no client was
// left without an answer, no at-most-once event ran twice at the workers, and every core's recording replays alike.
func TestScenariosUpholdRules(t *testing.T) { play(t, "", nil) }

// Four of the days on the worker runtime, one after the other: its copies are processes, and the machine is to be late for
// nobody. lpctl rehearse --all --workers runtime plays them all.
func TestScenariosOnWorkerRuntime(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "payroll")
	if err := localfleet.Build(binary, "lupinpond/examples/payroll", manifest.Process); err != nil {
		t.Fatal(err)
	}
	play(t, binary, nil, "crash-and-kill", "drains", "hang", "silence")
}

// Three days of a deployment of another shape, by settings alone: workers answer a miss, there are no tenants, reports tell
// no waiting events, the list tells sizes, and crossing zones costs.
func TestScenariosWithAlternateDeployment(t *testing.T) {
	play(t, "", func(f *fleetconfig.File) { localfleet.AlternateDeployment(f, "zone-0") }, "drains", "hang", "quiet")
}

func play(t *testing.T, payroll string, change func(*fleetconfig.File), only ...string) {
	defer goleak.VerifyNone(t)
	f, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&f)
	}
	all, err := scenario.LoadAll(scenarios.Files, f)
	if err != nil || len(all) < 12 {
		t.Fatalf("%d days: %v", len(all), err)
	}
	t.Run("days", func(t *testing.T) {
		for _, d := range all {
			if len(only) > 0 && !slices.Contains(only, d.Name) {
				continue
			}
			t.Run(d.Name, func(t *testing.T) {
				if len(only) == 0 {
					t.Parallel()
				}
				dir := t.TempDir()
				r, err := scenario.Play(t.Context(), d, scenario.Options{Config: f, OutputDir: dir, PayrollBinary: payroll})
				if err != nil {
					t.Fatal(err)
				}
				v := r.Verdict
				for _, b := range v.Violations {
					t.Error(b)
				}
				if len(r.DuplicateExecutions) > 0 {
					t.Error("ran twice at the workers: ", r.DuplicateExecutions)
				}
				if v.Requests != v.Completed+v.Rejected+v.Failed+v.Disconnected+v.Lost || v.Requests < r.Arrivals-r.Clients.Abandoned {
					t.Errorf("%d events taken of %d that arrived: %+v", v.Requests, r.Arrivals, v)
				}
				if r.Clients.Unanswered > 0 || r.Clients.Requests != r.Arrivals {
					t.Errorf("clients: %+v", r.Clients)
				}
				facts, err := checker.Load(dir)
				if err != nil {
					t.Fatal(err)
				}
				if again, err := checker.Check(facts); err != nil || len(again.Violations) != len(v.Violations) || again.Requests != v.Requests {
					t.Errorf("judged from its folder: %d breaches, %d tries, %v", len(again.Violations), again.Requests, err)
				}
				cores, err := filepath.Glob(filepath.Join(dir, "*.core"))
				if err != nil || len(cores) < d.Gateways {
					t.Fatal(cores, err)
				}
				for _, name := range cores {
					replayRecording(t, name)
				}
			})
		}
	})
}

func replayRecording(t *testing.T, name string) {
	in, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	if told, err := replay.Replay(in, nil); err != nil || told.Inputs == 0 || told.Truncated {
		t.Errorf("replay of %s: %+v, %v", filepath.Base(name), told, err)
	}
}

// A day that can't be played is refused with file, line and column.
func TestParseErrorsHavePosition(t *testing.T) {
	f, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	b, err := scenarios.Files.ReadFile("drains.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"what: drain", "what: flood", `no trouble "flood"`},
		{"workers: [0, 1]}", "workers: [0, 12]}", "troubles[0].workers: no worker 12"},
		{"for: 2s, what: drain", "what: drain", "drain needs for"},
		{"what: drain, workers", "what: drain, tenant: x, workers", "drain has no use for tenant"},
		{"rate: 25", "rate: 0", "arrivals[0].rate"},
		{"function: preview", "function: view", `no function "view"`},
		{"lasts: 11s", "lasts: 11", "no time with a unit"},
		{"fronts: 3", "ends: 3", "unknown field"},
	} {
		_, err := scenario.Parse("d.yaml", []byte(strings.Replace(string(b), c.old, c.new, 1)), f)
		var at *config.Error
		if !errors.As(err, &at) || at.Line < 2 || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}
