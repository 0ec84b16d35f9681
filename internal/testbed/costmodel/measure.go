// Package costmodel measures how the processor time and memory of a gateway's decision core grow with the fleet, and
// fits curves to the results. The core runs in simulated time against simulated workers that are not overloaded. Only
// the processor time of calls to the core is measured.
package costmodel

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"lupinpond/internal/testbed/workload"
	"lupinpond/scheduler"
)

// Measurement contains the measured costs of one core under one Load. Times are processor times.
type Measurement struct {
	Load               Load    `json:"load"`
	RequestMicros      float64 `json:"request_us"`    // mean time per request, over all calls to the core
	IdleTickMicros     float64 `json:"tick_us"`       // mean time of a tick with nothing due and nothing in flight
	ChangeMicros       float64 `json:"change_us"`     // mean time to apply a change of one endpoint
	CompleteListMillis float64 `json:"whole_list_ms"` // mean time to apply an unchanged complete endpoint list
	WorkerBytes        float64 `json:"worker_bytes"`  // heap per worker in the endpoint list, before any traffic
	UsedBytes          float64 `json:"used_bytes"`    // heap per worker after the traffic
	HeapMiB            float64 `json:"heap_mib"`      // heap of the process after the traffic
	CoreShare          float64 `json:"core_share"`    // used share of one processor core: RequestMicros * Load.Rate / 1e6
	Counts             Counts  `json:"counts"`        // operations during the measured requests
}

// Numbers of repetitions of the short calls, of which the mean is measured, and the simulated time between them.
const (
	idleTicks     = 200
	changes       = 40
	completeLists = 3
	tickInterval  = 10 * time.Millisecond
)

// ErrInvalidLoad is returned by MeasureCore for a load whose fields are not in range.
var ErrInvalidLoad = errors.New("a load needs workers, functions, gateways, a rate and requests greater than 0")

// MeasureCore measures the costs of a core under a load.
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
	f.coreTime, f.counts = 0, Counts{}
	f.runTraffic(load, load.Requests)
	measured.Counts = f.counts
	measured.RequestMicros = micros(f.coreTime) / float64(load.Requests)
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

// measureIdleTick returns the mean time of a tick with nothing in flight, in microseconds.
func (f *fleet) measureIdleTick() float64 {
	f.coreTime = 0
	for range idleTicks {
		f.now += tickInterval
		f.timed(func() { f.core.ProcessDue(f.now) })
	}
	return micros(f.coreTime) / idleTicks
}

// measureChange returns the mean time to apply a change of one endpoint, in microseconds. The changes are the start and
// the end of a drain.
func (f *fleet) measureChange(list []scheduler.Member) float64 {
	f.coreTime = 0
	for i := range changes {
		changed := list[i%len(list)]
		f.now += tickInterval
		for _, condition := range []scheduler.Condition{scheduler.Draining, scheduler.Up} {
			changed.Condition = condition
			f.timed(func() { f.core.UpdateMembership(f.now, []scheduler.Member{changed}) })
		}
	}
	return micros(f.coreTime) / (2 * changes)
}

// measureCompleteList returns the mean time to apply a complete list that equals the current one, in milliseconds.
func (f *fleet) measureCompleteList(list []scheduler.Member) float64 {
	f.coreTime = 0
	for range completeLists {
		f.timed(func() { f.core.ReplaceMembership(f.now, list) })
	}
	return micros(f.coreTime) / completeLists / 1000
}

// runTraffic submits the given number of requests, as a Poisson process with the load's rate.
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
			Function:    functions.RandomFunction(f.random),
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
