package emulator

import (
	"math"
	"time"
)

// toleratedDeviations is the number of standard deviations by which the load of a warming worker may randomly exceed
// its budget without a crash.
const toleratedDeviations = 3

// workSample is the CPU time of a request that a worker received while it was warming up.
type workSample struct {
	at      time.Time
	cpuTime time.Duration
}

// crashIfOverloaded adds the CPU time of a received request to the load of a warming worker, and crashes the worker if
// the load of the last CrashWindow exceeds what it can handle: CrashMultiple times its current capacity, plus
// toleratedDeviations. w.mu must be held.
func (w *Worker) crashIfOverloaded(work time.Duration) (crashed bool) {
	now := time.Now()
	share := w.model.capacityShare(now.Sub(w.started))
	if w.model.CrashMultiple <= 0 || share >= 1 {
		return false
	}
	w.recentWork = append(w.recentWork, workSample{now, work})
	sum := time.Duration(0)
	recent := w.recentWork[:0]
	for _, sample := range w.recentWork {
		if now.Sub(sample.at) < w.model.CrashWindow {
			recent = append(recent, sample)
			sum += sample.cpuTime
		}
	}
	w.recentWork = recent
	budget := w.model.CrashMultiple * share * w.model.Cores * float64(w.model.CrashWindow)
	if float64(sum) <= budget+toleratedDeviations*math.Sqrt(budget*float64(max(work, time.Millisecond))) {
		return false
	}
	w.crashes++
	w.incarnation++ // requests in flight are lost, and connections are closed
	server := w.server
	go server.CloseConnections()
	return true
}
