package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// command parses a command line and returns the selected command with its flags.
func command(t *testing.T, line string) (path string, flags any) {
	t.Helper()
	parser, _ := newParser()
	parsed, err := parser.Parse(strings.Fields(line))
	if err != nil {
		t.Fatalf("lpctl %s: %v", line, err)
	}
	return parsed.Command(), parsed.Selected().Target.Interface()
}

// Existing scripts must keep working: a command line with former names of commands and flags is parsed into the same
// command as the one with the current names.
func TestFormerNames(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "0.core")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ former, current string }{
		{"up --fronts 3", "up --gateways 3"},
		{"invoke --front http://h:1 f body", "invoke --gateway http://h:1 f body"},
		{"workers --list http://h:1 --gone w1", "workers --registry http://h:1 --remove w1"},
		{"trouble hang --control http://h:1 --for 5s", "inject-fault hang --control http://h:1 --for 5s"},
		{"rehearse drains --keep out --alone --workers runtime", "scenario drains --output out --no-peers --workers runtime"},
		{"rehearse --all --json", "scenario --all --json"},
		{"rules " + folder, "check-rules " + folder},
		{"replay --event e1 " + file, "replay --request e1 " + file},
		{"slopes --front-ends 3 --by rate", "cost-model --gateways 3 --by rate"},
		{"scale plan.yaml --gate g", "scale plan.yaml --gateway-program g"},
		{"soak --processes 3 --quiet 2s --gate g", "soak --gateways 3 --warm-up 2s --gateway-program g"},
		{"soak --inject", "soak --inject-syscall-errors"},
	} {
		_, former := command(t, test.former)
		_, current := command(t, test.current)
		if fmt.Sprintf("%T%+v", former, former) != fmt.Sprintf("%T%+v", current, current) {
			t.Errorf("lpctl %s: %+v, lpctl %s: %+v", test.former, former, test.current, current)
		}
	}
}

// Former names of flag values are still accepted.
func TestFormerValues(t *testing.T) {
	if _, flags := command(t, "rehearse --all --workers imitation"); flags.(scenarioCmd).Workers == workersRuntime {
		t.Errorf("%+v", flags)
	}
	if _, flags := command(t, "scale plan.yaml --sweep front-ends"); flags.(scaleCmd).Sweep != "front-ends" {
		t.Errorf("%+v", flags)
	}
}

// The help doesn't list former names of commands, flags and values.
func TestFormerNamesAreHidden(t *testing.T) {
	for _, test := range []struct {
		line   string
		former []string
	}{
		{"--help", []string{"trouble", "rehearse", "slopes", "\n  rules"}},
		{"up --help", []string{"--fronts"}},
		{"workers --help", []string{"--list", "--gone"}},
		{"soak --help", []string{"--processes", "--quiet", "--gate=", "--inject "}},
		{"scenario --help", []string{"--keep", "--alone", "imitation"}},
	} {
		parser, _ := newParser()
		var help bytes.Buffer
		parser.Stdout = &help
		parser.Exit = func(int) { panic(errFailed) } // kong exits after printing the help
		func() {
			defer func() { _ = recover() }()
			_, _ = parser.Parse(strings.Fields(test.line))
		}()
		if help.Len() == 0 {
			t.Errorf("lpctl %s prints nothing", test.line)
		}
		for _, name := range test.former {
			if strings.Contains(help.String(), name) {
				t.Errorf("lpctl %s lists %q", test.line, name)
			}
		}
	}
}

// A command line that can't be parsed makes the program exit with exitUsage.
func TestUsageError(t *testing.T) {
	for _, line := range []string{"no-such-command", "up --no-such-flag", "scenario --workers neither"} {
		if status := run(strings.Fields(line)); status != exitUsage {
			t.Errorf("lpctl %s: status %d, want %d", line, status, exitUsage)
		}
	}
}
