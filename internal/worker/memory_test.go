package worker_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/workerrpc"
)

// What the worker reports is what the operating system says, within 5 %, over at least 50 samples under load.
func TestReportedMemoryMatchesProcesses(t *testing.T) {
	h := startWorker(t, nil)
	worst, samples := 0.0, 0
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		h.expectAnswer("misbehave-"+kind, "hold", workerrpc.CodeOK, "")
		for range 30 {
			h.expectAnswer("misbehave-"+kind, "echo", workerrpc.CodeOK, "")
			if deviation, quiet := h.memoryDeviation(); quiet {
				worst = max(worst, deviation)
				samples++
			}
		}
	}
	t.Logf("%d samples, the worst %.1f %% off", samples, 100*worst)
	if samples < 50 || worst > 0.05 {
		t.Errorf("%d samples, the worst %.1f %% off", samples, 100*worst)
	}
}

// memoryDeviation compares the reported memory with the processes', in a quiet moment: two samples of the worker with
// the same result around the test's own.
func (h *harness) memoryDeviation() (deviation float64, quiet bool) {
	h.t.Helper()
	for range 50 {
		before := h.LoadReport().MemoryBytes
		actual, err := processTreeMemory(os.Getpid())
		if err != nil {
			h.t.Fatal(err)
		}
		time.Sleep(25 * time.Millisecond)
		after := h.LoadReport().MemoryBytes
		low, high := min(before, after), max(before, after)
		if float64(high-low) < 0.02*float64(actual) {
			return max(float64(actual-high), float64(low-actual), 0) / float64(actual), true
		}
	}
	return 0, false
}

// processTreeMemory sums what the operating system says of a process and its children, read independently of the
// worker.
func processTreeMemory(pid int) (int64, error) {
	sum, err := processMemory(pid)
	if err != nil {
		return 0, err
	}
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	for _, task := range tasks {
		children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/children", pid, task.Name()))
		if err != nil {
			continue // a thread that has ended
		}
		for _, child := range strings.Fields(string(children)) {
			childID, err := strconv.Atoi(child)
			if err != nil {
				return 0, err
			}
			memory, err := processTreeMemory(childID)
			if err != nil {
				continue // a child that has exited
			}
			sum += memory
		}
	}
	return sum, nil
}

// processMemory is the proportional set size of a process.
func processMemory(pid int) (int64, error) {
	rollup, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", pid))
	if err != nil {
		return 0, err
	}
	sum := int64(0)
	for line := range strings.Lines(string(rollup)) {
		if rest, found := strings.CutPrefix(line, "Pss:"); found {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return 0, err
			}
			sum += kib << 10
		}
	}
	return sum, nil
}
