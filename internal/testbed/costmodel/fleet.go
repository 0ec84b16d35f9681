package costmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Load describes the fleet and the traffic that one front end is measured under.
type Load struct {
	Workers   int
	Functions int
	Gateways  int     `json:"FrontEnds"`
	Rate      float64 // requests a second at this front end
	Skew      float64 // exponent of the Zipf law by which functions are called
	Requests  int     // that are counted, after half as many that are not
	Seed      uint64
}

// The model's workers and functions. They are those of a fleet that answers well.
const (
	meanRunTime        = 300 * time.Millisecond
	loadTime           = 900 * time.Millisecond
	roundTrip          = time.Millisecond
	replicaIdleTimeout = 12 * time.Second
	zones              = 6
	latencyObjective   = 1500 * time.Millisecond
	maxAge             = 5 * time.Second
)

// settings is what the measured front end is started with.
func (l Load) settings() core.Settings {
	return core.Settings{Seed: l.Seed, Gateways: l.Gateways, MinTickInterval: 2 * time.Millisecond, MaxAttempts: 6, Cancel: true, Probe: true,
		MaxRetryAfter: 2 * time.Second, EnforceDeadlines: true,
		Types:      []scheduler.RequestType{{Name: "call", Objective: latencyObjective}},
		Tenants:    []core.Tenant{{Name: "tenant", Quota: 2 * l.Rate * float64(l.Gateways)}},
		LoadPolicy: core.LoadPolicy{RequestLoads: true, LoadOnMiss: true, ReplicaIdleTimeout: replicaIdleTimeout, RequestTimeout: 4 * time.Second},
		SlowStart: core.SlowStart{InitialShare: 0.3, WarmUpTime: 12 * time.Second, CrashMultiple: 2.5,
			CrashWindow: time.Second}}
}

// member is one line of the list of workers.
func member(number int) scheduler.Member {
	return scheduler.Member{Worker: fmt.Sprintf("s-%08x", number*2654435761), Zone: fmt.Sprint("zone", number%zones),
		Cell: fmt.Sprint(number / 8), Kind: []string{"fast", "std"}[number%2], Weight: float64(4 + number%2)}
}

func members(workers int) []scheduler.Member {
	lines := make([]scheduler.Member, workers)
	for i := range lines {
		lines[i] = member(i)
	}
	return lines
}

// event is something that happens to the core at a time.
type event struct {
	at     time.Duration
	number uint64
	run    func(now time.Duration)
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

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

// Counts is what a core did during a measurement.
type Counts struct {
	Requests     int `json:"requests"`
	Attempts     int `json:"attempts"`
	LoadRequests int `json:"orders"`
	Loads        int `json:"loads"` // orders that found no replica
	Probes       int `json:"probes"`
	Served       int `json:"served"`
	ColdStarts   int `json:"cold"` // attempts that found no replica
	Rejected     int `json:"refused"`
}

func newFleet(l Load) *fleet {
	f := &fleet{now: time.Hour, random: rand.New(rand.NewPCG(l.Seed, 1)), loadedUntil: map[replicaKey]time.Duration{}}
	f.core = core.New(l.settings(), f)
	return f
}

func (f *fleet) schedule(d time.Duration, happen func(now time.Duration)) {
	f.lastEvent++
	heap.Push(&f.events, event{f.now + d, f.lastEvent, happen})
}

// timed calls the core and counts the processor time that it takes, the garbage collector's meanwhile included.
func (f *fleet) timed(call func()) {
	start := processorTime()
	call()
	f.spent += processorTime() - start
}

// processorTime is what this process has used. Other processes on the machine do not lengthen it, but for their use of caches.
func processorTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &now); err != nil {
		panic(err) // the clock is one of Linux since 2.6.12
	}
	return time.Duration(now.Nano())
}

// step has the next thing happen, and the core settle after it.
func (f *fleet) step() {
	d := heap.Pop(&f.events).(event)
	f.now = d.at
	f.timed(func() {
		d.run(f.now)
		f.core.ProcessDue(f.now)
	})
}

// advanceTo steps through all that is due before a time.
func (f *fleet) advanceTo(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at < end {
		f.step()
	}
	f.now = end
}

// Send has a worker answer an attempt: after the load where no replica stands.
func (f *fleet) Send(e *scheduler.Request, launch int, worker string) {
	f.counts.Attempts++
	at := replicaKey{worker, e.Function}
	took := time.Duration((0.5 + f.random.ExpFloat64()/2) * float64(meanRunTime))
	warmth := scheduler.ReplicaWarm
	if f.loadedUntil[at] < f.now {
		f.counts.ColdStarts++
		warmth, took = scheduler.ReplicaLoadStarted, took+loadTime
	}
	f.loadedUntil[at] = f.now + took + replicaIdleTimeout
	f.schedule(took, func(now time.Duration) {
		f.core.CompleteAttempt(now, e.ID, launch, scheduler.Outcome{Worker: worker, Duration: took, Result: scheduler.Completed, ReplicaState: warmth,
			Report: scheduler.LoadReport{Reported: true}})
	})
}

// RequestLoad has a worker load a replica.
func (f *fleet) RequestLoad(o scheduler.LoadRequest) {
	f.counts.LoadRequests++
	at, took := replicaKey{o.Worker, o.Function}, roundTrip
	if f.loadedUntil[at] < f.now {
		f.counts.Loads++
		took = loadTime
	}
	f.loadedUntil[at] = f.now + took + replicaIdleTimeout
	f.schedule(took, func(now time.Duration) { f.core.LoadCompleted(now, o, scheduler.Completed, took) })
}

// Probe has a worker answer a probe.
func (f *fleet) Probe(worker string) {
	f.counts.Probes++
	f.schedule(roundTrip, func(now time.Duration) {
		f.core.ProbeCompleted(now, worker, scheduler.Completed, scheduler.LoadReport{Reported: true}, roundTrip)
	})
}

// SetTimer has a timer come.
func (f *fleet) SetTimer(after time.Duration) { f.schedule(after, f.core.TimerFired) }

// Complete counts an answer.
func (f *fleet) Complete(*scheduler.Request, int) { f.counts.Served++ }

// Reject counts a rejection.
func (f *fleet) Reject(*scheduler.Request, time.Duration, bool) { f.counts.Rejected++ }

// Fail counts a failure.
func (f *fleet) Fail(*scheduler.Request, int, bool) { f.counts.Rejected++ }

// Cancel does nothing: the answer comes and is dropped.
func (f *fleet) Cancel(*scheduler.Request, int, string) {}

// Subscribe does nothing: the list comes unasked.
func (f *fleet) Subscribe() {}

// Closed does nothing.
func (f *fleet) Closed(*scheduler.Request, int, core.CloseReason) {}
