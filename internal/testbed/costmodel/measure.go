// Package costmodel measures what a gateway's decision core costs as a fleet grows, and fits curves through the
// figures. A core is driven in simulated time by workers that answer well; only the time spent in calls to the core is
// counted.
package costmodel

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"lupinpond/internal/testbed/workload"
	"lupinpond/scheduler"
)

// Measurement is what one core costs under one Load.
type Measurement struct {
	Load               Load    `json:"load"`
	RequestMicros      float64 `json:"request_us"`    // processor time a request, all calls to the core together
	IdleTickMicros     float64 `json:"tick_us"`       // of a tick in which nothing is due and nothing in flight
	ChangeMicros       float64 `json:"change_us"`     // of one changed endpoint
	CompleteListMillis float64 `json:"whole_list_ms"` // of a complete endpoint list that changes nothing
	WorkerBytes        float64 `json:"worker_bytes"`  // heap a worker on the endpoint list, never used
	UsedBytes          float64 `json:"used_bytes"`    // heap after the traffic, a worker
	HeapMiB            float64 `json:"heap_mib"`      // of the core with its model's traffic
	CoreShare          float64 `json:"core_share"`    // of one processor core at the Load's rate
	Counts             Counts  `json:"counts"`        // of the counted requests
}

// How often the short calls are repeated for a mean, and how far apart.
const (
	idleTicks     = 200
	changes       = 40
	completeLists = 3
	tickInterval  = 10 * time.Millisecond
)

// ErrInvalidLoad says that a core can't be measured under a load.
var ErrInvalidLoad = errors.New("a load needs workers, functions, gateways, a rate and requests above 0")

// MeasureCore measures one core under a load.
func MeasureCore(load Load) (Measurement, error) {
	if !load.valid() {
		return Measurement{}, fmt.Errorf("%w: %+v", ErrInvalidLoad, load)
	}
	measured := Measurement{Load: load}
	f := newFleet(load)
	list := members(load.Workers)
	before := heapBytes()
	f.core.ReplaceMembership(f.now, list)
	measured.WorkerBytes = (heapBytes() - before) / float64(load.Workers)
	measured.IdleTickMicros = f.measureIdleTick()
	measured.ChangeMicros = f.measureChange(list)
	measured.CompleteListMillis = f.measureCompleteList(list)

	f.runTraffic(load, load.Requests/2)
	f.spent, f.counts = 0, Counts{}
	f.runTraffic(load, load.Requests)
	measured.Counts = f.counts
	measured.RequestMicros = micros(f.spent) / float64(load.Requests)
	measured.CoreShare = measured.RequestMicros * load.Rate / 1e6
	after := heapBytes()
	measured.HeapMiB = after / (1 << 20)
	measured.UsedBytes = (after - before) / float64(load.Workers)
	runtime.KeepAlive(f)
	return measured, nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureIdleTick is the mean time of a tick with nothing in flight.
func (f *fleet) measureIdleTick() float64 {
	f.spent = 0
	for range idleTicks {
		f.now += tickInterval
		f.timed(func() { f.core.ProcessDue(f.now) })
	}
	return micros(f.spent) / idleTicks
}

// measureChange is the mean time of one changed endpoint: a worker drains and comes back.
func (f *fleet) measureChange(list []scheduler.Member) float64 {
	f.spent = 0
	for i := range changes {
		changed := list[i%len(list)]
		f.now += tickInterval
		for _, condition := range []scheduler.Condition{scheduler.Draining, scheduler.Up} {
			changed.Condition = condition
			f.timed(func() { f.core.UpdateMembership(f.now, []scheduler.Member{changed}) })
		}
	}
	return micros(f.spent) / (2 * changes)
}

// measureCompleteList is the mean time, in milliseconds, of a complete list that is the one known.
func (f *fleet) measureCompleteList(list []scheduler.Member) float64 {
	f.spent = 0
	for range completeLists {
		f.timed(func() { f.core.ReplaceMembership(f.now, list) })
	}
	return micros(f.spent) / completeLists / 1000
}

// runTraffic submits so many requests, at random times of the load's rate.
func (f *fleet) runTraffic(load Load, requests int) {
	functions := workload.New(load.Functions, load.Skew)
	at := f.now
	for range requests {
		at += time.Duration(f.random.ExpFloat64() / load.Rate * float64(time.Second))
		f.advanceTo(at)
		f.counts.Requests++
		request := &scheduler.Request{
			ID:          fmt.Sprint(f.now, f.counts.Requests),
			Type:        "call",
			Tenant:      "tenant",
			Function:    functions.Draw(f.random),
			TimeLeft:    maxAge,
			Concurrency: concurrency,
			Memory:      replicaMemory,
			LoadTime:    loadTime,
		}
		f.timed(func() {
			if err := f.core.Submit(f.now, request); err == nil {
				f.core.ProcessDue(f.now)
			}
		})
	}
}
