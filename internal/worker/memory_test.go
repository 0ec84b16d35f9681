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

// The memory that a worker reports must be within 5 % of the memory that the operating system reports for its
// processes, in at least 50 samples under load.
func TestReportedMemoryMatchesProcesses(t *testing.T) {
	h := startWorker(t, nil)
	maxDeviation, samples := 0.0, 0
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		h.expectAnswer("misbehave-"+kind, "hold", workerrpc.CodeOK, "")
		for range 30 {
			h.expectAnswer("misbehave-"+kind, "echo", workerrpc.CodeOK, "")
			if deviation, stable := h.memoryDeviation(); stable {
				maxDeviation = max(maxDeviation, deviation)
				samples++
			}
		}
	}
	t.Logf("%d samples, maximum deviation %.1f %%", samples, 100*maxDeviation)
	if samples < 50 || maxDeviation > 0.05 {
		t.Errorf("%d samples, maximum deviation %.1f %%; want at least 50 and at most 5 percent", samples, 100*maxDeviation)
	}
}

// memoryDeviation returns the relative deviation of the reported memory from the memory of the processes. It takes the
// test's own measurement between two reports of the worker, and retries until both reports agree within 2 %. stable
// reports whether they did.
func (h *harness) memoryDeviation() (deviation float64, stable bool) {
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

// processTreeMemory returns the total memory of a process and its descendants as reported by the operating system. It
// does not use the worker's code.
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
			continue // the thread has ended
		}
		for _, child := range strings.Fields(string(children)) {
			childID, err := strconv.Atoi(child)
			if err != nil {
				return 0, err
			}
			memory, err := processTreeMemory(childID)
			if err != nil {
				continue // the child has exited
			}
			sum += memory
		}
	}
	return sum, nil
}

// processMemory returns the proportional set size of a process in bytes.
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
