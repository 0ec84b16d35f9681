package costmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// replicaKey names one function at one worker.
type replicaKey struct {
	worker   string
	function uint64
}

// fleet stands for the workers of one core under simulated time. It is the core's Actor.
type fleet struct {
	core        *core.Core
	now         time.Duration
	events      eventQueue
	lastEvent   uint64
	random      *rand.Rand
	loadedUntil map[replicaKey]time.Duration // until when a replica stays
	spent       time.Duration                // in calls to the core
	counts      Counts
}

// Counts are what a core did during a measurement.
type Counts struct {
	Requests     int `json:"requests"`
	Attempts     int `json:"attempts"`
	LoadRequests int `json:"orders"`
	Loads        int `json:"loads"` // that found no replica
	Probes       int `json:"probes"`
	Served       int `json:"served"`
	ColdStarts   int `json:"cold"` // attempts that found no replica
	Rejected     int `json:"refused"`
}

func newFleet(load Load) *fleet {
	f := &fleet{
		now:         time.Hour,
		random:      rand.New(rand.NewPCG(load.Seed, 1)),
		loadedUntil: map[replicaKey]time.Duration{},
	}
	f.core = core.New(load.settings(), f)
	return f
}

// schedule has something happen after a time.
func (f *fleet) schedule(after time.Duration, run func(now time.Duration)) {
	f.lastEvent++
	heap.Push(&f.events, event{f.now + after, f.lastEvent, run})
}

// timed calls the core and counts the processor time that it takes, the garbage collector's meanwhile included.
func (f *fleet) timed(call func()) {
	start := processorTime()
	call()
	f.spent += processorTime() - start
}

// processorTime is what this process has used. Other processes on the machine do not lengthen it, but for their use of
// caches.
func processorTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &now); err != nil {
		panic(err) // the clock is one of Linux since 2.6.12
	}
	return time.Duration(now.Nano())
}

// step runs the next event, and has the core process what it made due.
func (f *fleet) step() {
	next := heap.Pop(&f.events).(event)
	f.now = next.at
	f.timed(func() {
		next.run(f.now)
		f.core.ProcessDue(f.now)
	})
}

// advanceTo runs all events before a time.
func (f *fleet) advanceTo(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at < end {
		f.step()
	}
	f.now = end
}

// Send has a worker answer an attempt: after the load where it has no replica.
func (f *fleet) Send(request *scheduler.Request, attempt int, worker string) {
	f.counts.Attempts++
	key := replicaKey{worker, request.Function}
	duration := time.Duration((0.5 + f.random.ExpFloat64()/2) * float64(meanRunTime))
	state := scheduler.ReplicaWarm
	if f.loadedUntil[key] < f.now {
		f.counts.ColdStarts++
		state, duration = scheduler.ReplicaLoadStarted, duration+loadTime
	}
	f.loadedUntil[key] = f.now + duration + replicaIdleTimeout
	f.schedule(duration, func(now time.Duration) {
		f.core.CompleteAttempt(now, request.ID, attempt, scheduler.Outcome{
			Worker:       worker,
			Duration:     duration,
			Result:       scheduler.Completed,
			ReplicaState: state,
			Report:       scheduler.LoadReport{Reported: true},
		})
	})
}

// RequestLoad has a worker load a replica.
func (f *fleet) RequestLoad(load scheduler.LoadRequest) {
	f.counts.LoadRequests++
	key, duration := replicaKey{load.Worker, load.Function}, roundTrip
	if f.loadedUntil[key] < f.now {
		f.counts.Loads++
		duration = loadTime
	}
	f.loadedUntil[key] = f.now + duration + replicaIdleTimeout
	f.schedule(duration, func(now time.Duration) { f.core.LoadCompleted(now, load, scheduler.Completed, duration) })
}

// Probe has a worker answer a probe.
func (f *fleet) Probe(worker string) {
	f.counts.Probes++
	f.schedule(roundTrip, func(now time.Duration) {
		f.core.ProbeCompleted(now, worker, scheduler.Completed, scheduler.LoadReport{Reported: true}, roundTrip)
	})
}

// SetTimer has a timer fire.
func (f *fleet) SetTimer(after time.Duration) { f.schedule(after, f.core.TimerFired) }

// Complete counts a response.
func (f *fleet) Complete(*scheduler.Request, int) { f.counts.Served++ }

// Reject counts a rejection.
func (f *fleet) Reject(*scheduler.Request, time.Duration, bool) { f.counts.Rejected++ }

// Fail counts a failure.
func (f *fleet) Fail(*scheduler.Request, int, bool) { f.counts.Rejected++ }

// Cancel does nothing: the result comes and is dropped.
func (f *fleet) Cancel(*scheduler.Request, int, string) {}

// Subscribe does nothing: the endpoint list comes by itself.
func (f *fleet) Subscribe() {}

// Closed does nothing.
func (f *fleet) Closed(*scheduler.Request, int, core.CloseReason) {}
