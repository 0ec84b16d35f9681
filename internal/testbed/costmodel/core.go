// Package costmodel measures what a front end's decision core costs as a fleet grows, and fits curves through the figures. A
// core is driven in simulated time by workers that answer well; only the time spent in calls to the core is counted.
package costmodel

import (
	"fmt"
	"runtime"
	"time"

	"lupinpond/internal/testbed/workload"
	"lupinpond/scheduler"
)

// Measurement are what one core costs under one Load.
type Measurement struct {
	Load               Load    `json:"load"`
	RequestMicros      float64 `json:"request_us"`    // processor time a request, all calls to the core together
	IdleTickMicros     float64 `json:"tick_us"`       // of a moment in which nothing is due and nothing in hand
	ChangeMicros       float64 `json:"change_us"`     // of one changed line of the list
	CompleteListMillis float64 `json:"whole_list_ms"` // of a whole list that changes nothing
	WorkerBytes        float64 `json:"worker_bytes"`  // heap a worker on the list, never used
	UsedBytes          float64 `json:"used_bytes"`    // heap after the traffic, a worker
	HeapMiB            float64 `json:"heap_mib"`      // of the core with its model's traffic
	CoreShare          float64 `json:"core_share"`    // of one processor core at the Load's rate
	Counts             Counts  `json:"counts"`        // of the counted requests
}

// idleTicks, changes and wholeLists are how often the short calls are repeated for a mean.
const (
	idleTicks     = 200
	changes       = 40
	completeLists = 3
)

// MeasureCore measures one core under a load.
func MeasureCore(l Load) (Measurement, error) {
	if l.Workers < 1 || l.Functions < 1 || l.Gateways < 1 || l.Rate <= 0 || l.Skew < 0 || l.Requests < 1 {
		return Measurement{}, fmt.Errorf("a load needs workers, functions, front ends, a rate and requests above 0: %+v", l)
	}
	figures := Measurement{Load: l}
	f := newFleet(l)
	lines := members(l.Workers)
	before := heapBytes()
	f.core.ReplaceMembership(f.now, lines)
	figures.WorkerBytes = (heapBytes() - before) / float64(l.Workers)
	figures.IdleTickMicros = f.measureIdleTick()
	figures.ChangeMicros = f.measureChange(lines)
	figures.CompleteListMillis = f.measureCompleteList(lines)

	f.runTraffic(l, l.Requests/2)
	f.spent, f.counts = 0, Counts{}
	f.runTraffic(l, l.Requests)
	figures.Counts = f.counts
	figures.RequestMicros = micros(f.spent) / float64(l.Requests)
	figures.CoreShare = figures.RequestMicros * l.Rate / 1e6
	after := heapBytes()
	figures.HeapMiB = after / (1 << 20)
	figures.UsedBytes = (after - before) / float64(l.Workers)
	runtime.KeepAlive(f)
	return figures, nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureIdleTick is the mean time of a settled moment with nothing in hand.
func (f *fleet) measureIdleTick() float64 {
	f.spent = 0
	for range idleTicks {
		f.now += 10 * time.Millisecond
		f.timed(func() { f.core.ProcessDue(f.now) })
	}
	return micros(f.spent) / idleTicks
}

// measureChange is the mean time of one changed line: a worker drains and comes back.
func (f *fleet) measureChange(lines []scheduler.Member) float64 {
	f.spent = 0
	for i := range changes {
		line := lines[i%len(lines)]
		f.now += 10 * time.Millisecond
		for _, condition := range []scheduler.Condition{scheduler.Draining, scheduler.Up} {
			line.Condition = condition
			f.timed(func() { f.core.UpdateMembership(f.now, []scheduler.Member{line}) })
		}
	}
	return micros(f.spent) / (2 * changes)
}

// measureCompleteList is the mean time, in milliseconds, of a whole list that is the one known.
func (f *fleet) measureCompleteList(lines []scheduler.Member) float64 {
	f.spent = 0
	for range completeLists {
		f.timed(func() { f.core.ReplaceMembership(f.now, lines) })
	}
	return micros(f.spent) / completeLists / 1000
}

// runTraffic sends so many requests, at random times of the load's rate.
func (f *fleet) runTraffic(l Load, requests int) {
	functions := workload.New(l.Functions, l.Skew)
	at := f.now
	for range requests {
		at += time.Duration(f.random.ExpFloat64() / l.Rate * float64(time.Second))
		f.advanceTo(at)
		f.counts.Requests++
		e := &scheduler.Request{ID: fmt.Sprint(f.now, f.counts.Requests), Type: "call", Tenant: "tenant", Function: functions.Draw(f.random),
			TimeLeft: maxAge, Concurrency: 2, Memory: 1000, LoadTime: loadTime}
		f.timed(func() {
			if err := f.core.Submit(f.now, e); err == nil {
				f.core.ProcessDue(f.now)
			}
		})
	}
}
