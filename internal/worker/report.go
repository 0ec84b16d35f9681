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
	// coldStartWindow is how many of the last admitted calls the cold start rate is taken over.
	coldStartWindow = 32
	// warmedUpColdRate is the cold start rate, over a full window, at which the worker counts as warmed up.
	warmedUpColdRate = 1.0 / 16
)

// coldStartTracker has which of the last admitted calls found no warm replica.
type coldStartTracker struct {
	cold     [coldStartWindow]bool // a ring: call i is at i modulo its length
	admitted int
	warmedUp bool
}

// add counts an admitted call. It reports true once: when the worker has warmed up.
func (t *coldStartTracker) add(cold bool) (warmedUp bool) {
	t.cold[t.admitted%coldStartWindow] = cold
	t.admitted++
	if t.warmedUp || t.admitted < coldStartWindow || t.rate() > warmedUpColdRate {
		return false
	}
	t.warmedUp = true
	return true
}

// rate is the share of the last calls that found no warm replica; 1 before the first call.
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

// LoadReport reports the worker's load; its memory is what the operating system said at the last sample.
func (w *Worker) LoadReport() *workerrpc.LoadReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loadReport()
}

// loadReport is LoadReport with the lock held.
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

// sampleMemory samples the memory of all replicas at an interval and stops a replica that holds more than its package
// may. It also rotates the replicas' log.
func (w *Worker) sampleMemory(ctx context.Context) error {
	return httpserver.RunPeriodically(ctx, w.options.MemorySampleInterval, func() error {
		w.sampleMemoryOnce()
		if err := w.rotateReplicaLog(); err != nil {
			w.options.Log.Error("replica log rotation failed", "err", err)
		}
		return nil
	})
}

// sampleMemoryOnce takes one sample.
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
			continue // it has just exited
		}
		if total += used; used > process.MemoryLimit() {
			process.Stop(runner.ErrMemoryLimit)
		}
	}
	w.mu.Lock()
	w.memoryUsage = total
	w.mu.Unlock()
}
