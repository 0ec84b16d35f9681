package emulator

import (
	"math"
	"time"
)

// deviations is how many standard deviations of chance beyond its budget a warming worker bears.
const deviations = 3

// workSample is work that came to a worker while it was warming up.
type workSample struct {
	at      time.Time
	cpuTime time.Duration
}

// crashIfOverloaded counts work that comes to a worker while it warms up, and crashes the worker when it is too much.
// The lock is held.
func (w *Worker) crashIfOverloaded(work time.Duration) (crashed bool) {
	now := time.Now()
	share := w.model.warmShare(now.Sub(w.started))
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
	if float64(sum) <= budget+deviations*math.Sqrt(budget*float64(max(work, time.Millisecond))) {
		return false
	}
	w.crashes++
	w.incarnation++ // all that is in flight is lost; its connections break
	server := w.server
	go server.CloseConnections()
	return true
}
