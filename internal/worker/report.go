package worker

import (
	"context"
	"os"
	"runtime"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/worker/runner"
	"lupinpond/internal/workerrpc"
)

const (
	// coldStartWindow is the number of most recently admitted calls over which the cold start rate is computed.
	coldStartWindow = 32
	// warmedUpColdRate is the cold start rate at or below which the worker is considered warmed up. It applies only once
	// coldStartWindow calls have been admitted.
	warmedUpColdRate = 1.0 / 16
)

// coldStartTracker records which of the most recently admitted calls found no warm replica.
type coldStartTracker struct {
	cold     [coldStartWindow]bool // ring buffer: call i is at index i modulo coldStartWindow
	admitted int                   // number of calls admitted so far
	warmedUp bool
}

// add records an admitted call. It returns true once, for the call with which the worker becomes warmed up.
func (t *coldStartTracker) add(cold bool) (warmedUp bool) {
	t.cold[t.admitted%coldStartWindow] = cold
	t.admitted++
	if t.warmedUp || t.admitted < coldStartWindow || t.rate() > warmedUpColdRate {
		return false
	}
	t.warmedUp = true
	return true
}

// rate returns the fraction of the calls in the window that found no warm replica, or 1 before the first call.
func (t *coldStartTracker) rate() float64 {
	calls := min(coldStartWindow, t.admitted)
	if calls == 0 {
		return 1
	}
	coldCalls := 0
	for _, cold := range t.cold[:calls] {
		if cold {
			coldCalls++
		}
	}
	return float64(coldCalls) / float64(calls)
}

// LoadReport returns the worker's load. Its memory usage is that of the last sample taken from the operating system.
func (w *Worker) LoadReport() *workerrpc.LoadReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loadReport()
}

// loadReport implements LoadReport. The lock must be held.
func (w *Worker) loadReport() *workerrpc.LoadReport {
	waiting := float64(w.admission.Waiting())
	if w.faults.ReportFactor > 0 {
		waiting *= w.faults.ReportFactor
	}
	running := w.admission.Running()
	return &workerrpc.LoadReport{
		QueueDepth:     int(waiting),
		Running:        running,
		MemoryBytes:    w.memoryUsage,
		ColdStartRate:  w.coldStarts.rate(),
		CPUUtilization: min(1, float64(running)/float64(runtime.NumCPU())),
	}
}

// sampleMemory periodically samples the memory of all replicas and stops each replica that exceeds the memory limit of
// its package. It also rotates the replica log.
func (w *Worker) sampleMemory(ctx context.Context) error {
	return httpserver.RunPeriodically(ctx, w.options.MemorySampleInterval, func() error {
		w.sampleMemoryOnce()
		if err := w.rotateReplicaLog(); err != nil {
			w.options.Log.Error("replica log rotation failed", "err", err)
		}
		return nil
	})
}

// sampleMemoryOnce samples the memory of the worker and its replicas once.
func (w *Worker) sampleMemoryOnce() {
	w.mu.Lock()
	var processes []*runner.Replica
	for _, r := range w.replicas {
		if r.process != nil {
			processes = append(processes, r.process)
		}
	}
	w.mu.Unlock()
	total, err := runner.ProcessMemory(os.Getpid())
	if err != nil {
		w.options.Log.Error("worker memory sample failed", "err", err)
	}
	for _, process := range processes {
		used, err := process.Memory()
		if err != nil {
			continue // the replica has just exited
		}
		if total += used; used > process.MemoryLimit() {
			process.Stop(runner.ErrMemoryLimit)
		}
	}
	w.mu.Lock()
	w.memoryUsage = total
	w.mu.Unlock()
}
