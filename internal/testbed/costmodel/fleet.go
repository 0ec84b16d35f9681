package costmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// replicaKey identifies the replica of a function at a worker.
type replicaKey struct {
	worker   string
	function uint64
}

// fleet simulates the workers of one core in simulated time. It implements core.Actor.
type fleet struct {
	core        *core.Core
	now         time.Duration
	events      eventQueue
	lastEvent   uint64
	random      *rand.Rand
	loadedUntil map[replicaKey]time.Duration // time at which an idle replica is removed
	coreTime    time.Duration                // processor time of calls to the core
	counts      Counts
}

// Counts are the operations of a core during a measurement.
type Counts struct {
	Requests     int `json:"requests"`
	Attempts     int `json:"attempts"`
	LoadRequests int `json:"orders"`
	Loads        int `json:"loads"` // load requests for replicas that were not loaded
	Probes       int `json:"probes"`
	Served       int `json:"served"`
	ColdStarts   int `json:"cold"`    // attempts at workers without a loaded replica
	Rejected     int `json:"refused"` // requests that were rejected or failed
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

// schedule adds an event that calls run after a simulated time.
func (f *fleet) schedule(after time.Duration, run func(now time.Duration)) {
	f.lastEvent++
	heap.Push(&f.events, event{f.now + after, f.lastEvent, run})
}

// timed runs call, which calls the core, and adds its processor time to f.coreTime. This includes the processor time of
// the garbage collector during the call.
func (f *fleet) timed(call func()) {
	start := processorTime()
	call()
	f.coreTime += processorTime() - start
}

// processorTime returns the processor time of this process. Other processes on the machine affect it only by their use
// of processor caches.
func processorTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &now); err != nil {
		panic(err) // Linux has this clock since 2.6.12
	}
	return time.Duration(now.Nano())
}

// step runs the next event and lets the core process everything that is due at that time.
func (f *fleet) step() {
	next := heap.Pop(&f.events).(event)
	f.now = next.at
	f.timed(func() {
		next.run(f.now)
		f.core.ProcessDue(f.now)
	})
}

// advanceTo runs all events before the time end and sets the simulated time to end.
func (f *fleet) advanceTo(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at < end {
		f.step()
	}
	f.now = end
}

// Send simulates an attempt at a worker, which takes longer by a load if the worker has no replica.
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

// RequestLoad simulates the load of a replica at a worker.
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

// Probe simulates a worker's answer to a probe.
func (f *fleet) Probe(worker string) {
	f.counts.Probes++
	f.schedule(roundTrip, func(now time.Duration) {
		f.core.ProbeCompleted(now, worker, scheduler.Completed, scheduler.LoadReport{Reported: true}, roundTrip)
	})
}

// SetTimer schedules the core's timer.
func (f *fleet) SetTimer(after time.Duration) { f.schedule(after, f.core.TimerFired) }

// Complete counts a response.
func (f *fleet) Complete(*scheduler.Request, int) { f.counts.Served++ }

// Reject counts a rejection.
func (f *fleet) Reject(*scheduler.Request, time.Duration, bool) { f.counts.Rejected++ }

// Fail counts a failure as a rejection.
func (f *fleet) Fail(*scheduler.Request, int, bool) { f.counts.Rejected++ }

// Cancel does nothing: the attempt runs to its end and the core ignores its result.
func (f *fleet) Cancel(*scheduler.Request, int, string) {}

// Subscribe does nothing: the measurement passes the endpoint list to the core directly.
func (f *fleet) Subscribe() {}

// Closed does nothing.
func (f *fleet) Closed(*scheduler.Request, int, core.CloseReason) {}
