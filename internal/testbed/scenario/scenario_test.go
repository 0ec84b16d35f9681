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

// suite selects scenarios and the settings and workers with which they are played.
type suite struct {
	settings      fleetconfig.File
	payrollBinary string   // example package for the worker runtime; "" means emulated workers
	only          []string // scenarios to play one after the other; empty means all scenarios in parallel
}

// TestScenariosUpholdRules plays all scenarios on emulated workers. It fails if the captured traffic violates one of
// the five rules, an accepted request has no outcome, a client gets no response, a request that must run once runs
// twice at the workers, or the replay of a core's recording differs from the recording.
func TestScenariosUpholdRules(t *testing.T) {
	suite{settings: defaultSettings(t)}.play(t)
}

// TestScenariosOnWorkerRuntime plays four of the scenarios on the worker runtime. They run one after the other because
// replicas of the runtime are processes: more of them would overload the machine and delay responses past their
// deadlines. The command lpctl scenario --all --workers runtime plays all scenarios.
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

// TestScenariosWithAlternateDeployment plays three scenarios with the settings of the alternate deployment: workers
// report a miss instead of loading the function, there are no tenants, load reports contain no queue depth, the
// endpoint list contains the workers' sizes, and requests to another zone have a cost. It guards against code that
// handles only the default deployment.
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
		t.Fatalf("loaded %d scenarios, want at least 12; error: %v", len(all), err)
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
		t.Error("requests ran more than once at the workers: ", result.DuplicateExecutions)
	}
	outcomes := verdict.Completed + verdict.Rejected + verdict.Failed + verdict.Disconnected + verdict.Lost
	if verdict.Requests != outcomes || verdict.Requests < result.Arrivals-result.Clients.Abandoned {
		t.Errorf("outcomes don't match %d accepted requests of %d arrivals: %+v", verdict.Requests, result.Arrivals, verdict)
	}
	if result.Clients.Unanswered > 0 || result.Clients.Requests != result.Arrivals {
		t.Errorf("requests unanswered or not counted: %+v", result.Clients)
	}
	saved, err := checker.Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	again, err := checker.Check(saved)
	if err != nil || len(again.Violations) != len(verdict.Violations) || again.Requests != verdict.Requests {
		t.Errorf("verdict after loading differs: %d violations, %d requests, error %v", len(again.Violations),
			again.Requests, err)
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
		t.Errorf("replay of %s failed: %+v, error %v", filepath.Base(name), summary, err)
	}
}

// TestParseErrorsHavePosition checks that an invalid scenario is rejected with an error that contains the cause, file,
// line and column.
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
			t.Errorf("%s: got error %v, want one with a position and %q", c.new, err, c.want)
		}
	}
}
