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

// suite is a number of scenarios and how they are played.
type suite struct {
	settings      fleetconfig.File
	payrollBinary string   // for the worker runtime; "": emulated workers
	only          []string // one after the other; none: all scenarios, side by side
}

// Every scenario upholds the five rules, checked on the sockets' traffic; every accepted request has one outcome, no
// client was left without a response, no at-most-once request ran twice at the workers, and every core's recording
// replays alike.
func TestScenariosUpholdRules(t *testing.T) {
	suite{settings: defaultSettings(t)}.play(t)
}

// Four of the scenarios on the worker runtime, one after the other: its replicas are processes, and the machine is to
// be late for nobody. lpctl scenario --all --workers runtime plays them all.
func TestScenariosOnWorkerRuntime(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "payroll")
	if err := localfleet.Build(binary, "lupinpond/examples/payroll", manifest.Process); err != nil {
		t.Fatal(err)
	}
	suite{
		settings:      defaultSettings(t),
		payrollBinary: binary,
		only:          []string{"crash-and-kill", "drains", "hang", "silence"},
	}.play(t)
}

// Three scenarios of an alternate deployment, by settings alone: workers answer a miss, there are no tenants, load
// reports have no queue depth, the endpoint list has sizes, and crossing zones costs.
func TestScenariosWithAlternateDeployment(t *testing.T) {
	settings := defaultSettings(t)
	localfleet.AlternateDeployment(&settings, "zone-0")
	suite{settings: settings, only: []string{"drains", "hang", "quiet"}}.play(t)
}

func defaultSettings(t *testing.T) fleetconfig.File {
	t.Helper()
	settings, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

func (s suite) play(t *testing.T) {
	t.Helper()
	defer goleak.VerifyNone(t)
	all, err := scenario.LoadAll(scenarios.Files, s.settings)
	if err != nil || len(all) < 12 {
		t.Fatalf("%d scenarios: %v", len(all), err)
	}
	t.Run("scenarios", func(t *testing.T) {
		for _, played := range all {
			if len(s.only) > 0 && !slices.Contains(s.only, played.Name) {
				continue
			}
			t.Run(played.Name, func(t *testing.T) {
				if len(s.only) == 0 {
					t.Parallel()
				}
				s.playOne(t, played)
			})
		}
	})
}

func (s suite) playOne(t *testing.T, played scenario.Scenario) {
	t.Helper()
	dir := t.TempDir()
	options := scenario.Options{Config: s.settings, OutputDir: dir, PayrollBinary: s.payrollBinary}
	result, err := scenario.Play(t.Context(), played, options)
	if err != nil {
		t.Fatal(err)
	}
	verdict := result.Verdict
	for _, violation := range verdict.Violations {
		t.Error(violation)
	}
	if len(result.DuplicateExecutions) > 0 {
		t.Error("ran twice at the workers: ", result.DuplicateExecutions)
	}
	outcomes := verdict.Completed + verdict.Rejected + verdict.Failed + verdict.Disconnected + verdict.Lost
	if verdict.Requests != outcomes || verdict.Requests < result.Arrivals-result.Clients.Abandoned {
		t.Errorf("%d requests accepted of %d that arrived: %+v", verdict.Requests, result.Arrivals, verdict)
	}
	if result.Clients.Unanswered > 0 || result.Clients.Requests != result.Arrivals {
		t.Errorf("clients: %+v", result.Clients)
	}
	saved, err := checker.Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	again, err := checker.Check(saved)
	if err != nil || len(again.Violations) != len(verdict.Violations) || again.Requests != verdict.Requests {
		t.Errorf("checked from its folder: %d violations, %d requests, %v", len(again.Violations), again.Requests, err)
	}
	recordings, err := filepath.Glob(filepath.Join(dir, "*.core"))
	if err != nil || len(recordings) < played.Gateways {
		t.Fatal(recordings, err)
	}
	for _, name := range recordings {
		replayRecording(t, name)
	}
}

func replayRecording(t *testing.T, name string) {
	t.Helper()
	recording, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer recording.Close()
	if summary, err := replay.Replay(recording, nil); err != nil || summary.Inputs == 0 || summary.Truncated {
		t.Errorf("replay of %s: %+v, %v", filepath.Base(name), summary, err)
	}
}

// A scenario that can't be played is rejected with file, line and column.
func TestParseErrorsHavePosition(t *testing.T) {
	settings := defaultSettings(t)
	text, err := scenarios.Files.ReadFile("drains.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"what: drain", "what: flood", `unknown fault "flood"`},
		{"workers: [0, 1]}", "workers: [0, 12]}", "troubles[0].workers: no worker 12"},
		{"for: 2s, what: drain", "what: drain", "drain needs for"},
		{"what: drain, workers", "what: drain, tenant: x, workers", "drain has no use for tenant"},
		{"rate: 25", "rate: 0", "arrivals[0].rate"},
		{"function: preview", "function: view", `no function "view"`},
		{"lasts: 11s", "lasts: 11", "no time with a unit"},
		{"fronts: 3", "ends: 3", "unknown field"},
	} {
		_, err := scenario.Parse("d.yaml", []byte(strings.Replace(string(text), c.old, c.new, 1)), settings)
		var at *config.Error
		if !errors.As(err, &at) || at.Line < 2 || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}
