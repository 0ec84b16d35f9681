package scale_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/procfs"
	"go.uber.org/goleak"

	"lupinpond/internal/testbed/scale"
)

// Environment variables that make the test binary run as a child of a run, or as the parent process of a run.
const (
	roleVariable   = "LUPINPOND_SCALE_ROLE"
	parentVariable = "LUPINPOND_SCALE_PARENT"
)

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		if err := scale.Child(context.Background(), scale.Role(role), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if os.Getenv(parentVariable) != "" {
		if _, err := scale.Run(context.Background(), parse(longPlan), options(nil)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

const planSections = `
sample: 200ms
front-ends: {hollow: 24, processes: 2, real: 0, rate: 4, wait: 4s, memory: 64MiB, sockets: 128}
workers: {count: 30, processes: 2, zones: 3, slots: 8, queue: 16, answer: 10ms, load: 50ms, keep: 5s}
functions: {count: 40, skew: 1.7, lanes: 2}
`

const smallPlan = `name: small
seed: 5
lasts: 4s` + planSections + `timeline:
  - {at: 200ms, what: drain, count: 3, over: 300ms, for: 200ms}
  - {at: 900ms, what: replace, count: 5}
  - {at: 1100ms, what: stop-workers, count: 2, for: 300ms}
  - {at: 1600ms, what: silence-zone, zone: 1, for: 300ms}
  - {at: 2100ms, what: stop-list, for: 400ms}
  - {at: 2200ms, what: replace, count: 4}
  - {at: 2800ms, what: restart-fronts, count: 12}
  - {at: 3s, what: replace, count: 3, over: 300ms}
  - {at: 3200ms, what: restart-empty, count: 12}
  - {at: 3500ms, what: change-rate, rate: 0}
`

// smallChanges is the number of changes that smallPlan publishes: two per drain (start and end), two for stopped
// workers (stop and start), one for a silent zone (its replacement) and one per replaced worker.
const smallChanges = 3*2 + 5 + 2 + 1 + 4 + 3

const longPlan = `name: long
seed: 5
lasts: 10m` + planSections + `timeline: []
`

func parse(text string) scale.Plan {
	p, err := scale.ReadPlan("plan.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return p
}

// children records the processes that a run starts.
type children struct {
	mu   sync.Mutex
	cmds []*exec.Cmd
}

func (c *children) command(role scale.Role) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+string(role))
	if c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cmds = append(c.cmds, cmd)
	}
	return cmd
}

// started returns the process IDs of the processes that were started so far.
func (c *children) started() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pids []int
	for _, cmd := range c.cmds {
		if cmd.Process != nil {
			pids = append(pids, cmd.Process.Pid)
		}
	}
	return pids
}

func options(c *children) scale.Options {
	return scale.Options{Command: c.command, MaxBytes: 4 << 30, Log: slog.New(slog.DiscardHandler)}
}

// hasExited reports whether a process has exited. A zombie process counts as exited.
func hasExited(pid int) bool {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return true
	}
	stat, err := p.Stat()
	return err != nil || stat.State == "Z"
}

// requireExited waits until the processes have exited and fails the test if one is still running after a minute.
func requireExited(t *testing.T, pids []int) {
	t.Helper()
	end := time.Now().Add(time.Minute)
	for _, pid := range pids {
		for !hasExited(pid) {
			if time.Now().After(end) {
				t.Fatalf("process %d is still running", pid)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestGatewaysConvergeOnOneList guards against lost, repeated or reordered list changes: all gateways end with the
// endpoint list of the discovery service and receive each change once and in order, independent of timing, while the
// service is unavailable and while gateways restart. It also checks that no process is still running after the run.
func TestGatewaysConvergeOnOneList(t *testing.T) {
	c := &children{}
	result, err := scale.Run(t.Context(), parse(smallPlan), options(c))
	if err != nil {
		t.Fatal(err)
	}
	if !result.AllAgree(24) {
		t.Errorf("%d changes out of order, gateways by list %v, want only the service's list %s", result.OutOfOrder,
			result.Lists, result.ExpectedList)
	}
	if result.Changes != smallChanges {
		t.Errorf("%d published changes, want %d", result.Changes, smallChanges)
	}
	var served, submitted int64
	for _, span := range result.Spans {
		served, submitted = served+span.Served, submitted+span.Submitted
	}
	if served == 0 || submitted < served || len(result.Spans) != 11 {
		t.Errorf("%d of %d requests served in %d spans, want some served in 11 spans", served, submitted,
			len(result.Spans))
	}
	requireExited(t, c.started())
}

// TestCrashedChildIsReported checks that a run fails with ErrChildExited when a child process crashes, and that no
// process is still running afterwards.
func TestCrashedChildIsReported(t *testing.T) {
	c := &children{}
	killed := make(chan struct{})
	o := options(c)
	o.Log = slog.New(slog.NewTextHandler(firstWrite(func() { // after the first sample
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.cmds[0].Process.Kill(); err != nil {
			t.Error(err)
		}
		close(killed)
	}), nil))
	_, err := scale.Run(t.Context(), parse(longPlan), o)
	<-killed
	if !errors.Is(err, scale.ErrChildExited) || !strings.Contains(err.Error(), "workers-0") ||
		!strings.Contains(err.Error(), "killed") {
		t.Error(err)
	}
	requireExited(t, c.started())
}

// firstWrite returns an io.Writer that calls do on the first write and discards the data.
func firstWrite(do func()) io.Writer {
	var once sync.Once
	return writer(func(b []byte) (int, error) {
		once.Do(do)
		return len(b), nil
	})
}

type writer func(b []byte) (int, error)

func (w writer) Write(b []byte) (int, error) { return w(b) }

// TestKilledRunLeavesNoProcess checks that the child processes of a run exit when its parent process is killed.
func TestKilledRunLeavesNoProcess(t *testing.T) {
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), parentVariable+"=1")
	var stderr bytes.Buffer
	parent.Stderr = &stderr
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	for end := time.Now().Add(time.Minute); len(pids) < 5; pids = childrenOf(t, parent.Process.Pid) {
		if time.Now().After(end) {
			t.Fatal("the parent started too few processes:", pids)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := parent.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := parent.Wait(); err == nil {
		t.Error("the parent exited before it was killed: ", stderr.String())
	}
	requireExited(t, pids)
}

func childrenOf(t *testing.T, parent int) (pids []int) {
	t.Helper()
	all, err := procfs.AllProcs()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range all {
		if stat, err := p.Stat(); err == nil && stat.PPID == parent {
			pids = append(pids, p.PID)
		}
	}
	return pids
}

// TestTooLargePlanIsRejected checks that a plan that exceeds the memory or process limit is rejected before any process
// starts, with an error that contains the calculation.
func TestTooLargePlanIsRejected(t *testing.T) {
	c := &children{}
	o := options(c)
	o.MaxBytes = 64 << 20
	_, err := scale.Run(t.Context(), parse(smallPlan), o)
	sum := "24 gateways * (1 MiB + 30 endpoints * 1700 B)"
	if !errors.Is(err, scale.ErrTooLarge) || !strings.Contains(err.Error(), sum) {
		t.Error(err)
	}
	p := parse(strings.Replace(smallPlan, "count: 30, processes: 2", "count: 400, processes: 299", 1))
	if err := p.Check(1 << 40); !errors.Is(err, scale.ErrTooLarge) || !strings.Contains(err.Error(), "303 processes") {
		t.Error(err)
	}
	if len(c.started()) > 0 {
		t.Error("a process was started")
	}
}

// TestCancelledRunLeavesNoProcess checks that Run returns when its context is cancelled, and that no process is still
// running afterwards.
func TestCancelledRunLeavesNoProcess(t *testing.T) {
	c := &children{}
	ctx, cancel := context.WithCancel(t.Context())
	o := options(c)
	o.Log = slog.New(slog.NewTextHandler(firstWrite(cancel), nil)) // at the first sample
	if _, err := scale.Run(ctx, parse(longPlan), o); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	requireExited(t, c.started())
}

// TestPlanValidationErrors checks that a validation error of a plan has the file, line and column of the invalid value.
func TestPlanValidationErrors(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"lasts: 4s", "lasts: 4"}:                      "plan.yaml:3:8: ",
		{"lasts: 4s", "lasts: 9h"}:                     "plan.yaml:3:8: lasts: must be more than 0s and at most 30m0s",
		{"seed: 5", "sed: 5"}:                          "plan.yaml:2:1: ",
		{"hollow: 24", "hollow: 0"}:                    "plan.yaml:5:22: front-ends.hollow: must be from 1 to 5000",
		{"zones: 3", "zones: 31"}:                      "plan.yaml:6:43: workers.zones: must be at least 1",
		{"what: drain", "what: drown"}:                 "plan.yaml:9:23: timeline[0].what: unknown action \"drown\"",
		{"what: replace, count: 5", "what: replace"}:   "plan.yaml:10:6: timeline[1].count: must be from 1 to 30",
		{"at: 900ms", "at: 100ms"}:                     "plan.yaml:10:10: timeline[1].at: is earlier than the previous row",
		{"zone: 1, for: 300ms", "zone: 1"}:             "timeline[3].for: must be more than 0s",
		{"zone: 1, for: 300ms", "zone: 3, for: 300ms"}: "timeline[3].zone: must be from 0 to 2",
		{"at: 3500ms", "at: 4s"}:                       "timeline[9].at: the action must end before the run ends",
		{"skew: 1.7", "skew: -1"}:                      "functions.skew: must be from 0 to 4",
	} {
		text := strings.Replace(smallPlan, change[0], change[1], 1)
		_, err := scale.ReadPlan("plan.yaml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %s", change[1], err, want)
		}
	}
	if _, err := scale.ReadPlan("plan.yaml", nil); err == nil {
		t.Error("an empty plan was accepted")
	}
}

// TestPlansOfTheProject checks that the plans in deploy/scale are valid and need at most half of a machine with 24 GiB.
func TestPlansOfTheProject(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/scale/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		p, err := scale.ReadPlan(file, b)
		if err != nil {
			t.Error(err)
			continue
		}
		if err := p.Check(12 << 30); err != nil {
			t.Error(file, err)
		}
	}
}
