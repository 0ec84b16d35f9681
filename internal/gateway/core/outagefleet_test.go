package core_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Parameters of the simulated fleet.
const (
	drainGrace         = 500 * ms
	watchLeaseDuration = 7 * time.Second
	networkLatency     = ms
	runTime            = 8 * ms
	defaultLoadTime    = 60 * ms
	replicaIdleTimeout = 10 * time.Second

	// minJudgedRequests is the minimum number of requests for which a test checks the share of completed requests.
	minJudgedRequests = 20
)

// fleetEvent is an event of the simulated fleet.
type fleetEvent struct {
	at       time.Duration
	sequence int  // order of events at the same time
	external bool // happens outside of the gateway, so a pause of the gateway does not delay it
	apply    func(now time.Duration)
}

// fleetEvents is a min-heap of events ordered by time.
type fleetEvents []fleetEvent

func (e fleetEvents) Len() int      { return len(e) }
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e fleetEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e *fleetEvents) Push(x any) { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleetReplica is a replica of a function at a worker.
type fleetReplica struct {
	readyAt   time.Duration
	idleUntil time.Duration // it is unloaded then, unless it is used again
}

// fleetWorker is a worker of a simulated fleet.
type fleetWorker struct {
	drainedAt time.Duration           // when it started draining; 0 if it is not draining
	replicas  map[uint64]fleetReplica // by function
	full      bool                    // it rejects attempts and loads of further replicas
	down      bool                    // it is unreachable
	attempts  int                     // number of attempts accepted
}

// outageFleet simulates one gateway's core and its workers during a registry outage, in which the gateway receives no
// notice of drains. It is the core's Actor.
type outageFleet struct {
	t                     rapid.TB
	core                  *core.Core
	now                   time.Duration
	events                fleetEvents
	scheduled             int                     // number of events scheduled so far
	workers               map[string]*fleetWorker // by name
	loadTime              time.Duration           // of every function
	drainingAnswerQueries bool                    // draining workers answer replica queries like other workers
	outageAt              time.Duration           // when the registry outage starts; 0 if there is none
	pausedUntil           time.Duration           // the gateway processes no events before this time
	lastRequest           int                     // number of the latest request, part of its ID

	// Numbers of requests submitted and completed, of verifications and replica queries received, and of units of new
	// work sent to a draining worker after the drain grace.
	requests, completed, verifications, queries, sentAfterGrace int
	loads, rejected                                             int // replicas loaded by the workers, requests rejected
}

// newOutageFleet returns a fleet of one gateway with the given settings and workers that are up. The registry watch has
// no lease until renewWatch is called, and there are no requests until generateTraffic is called.
func newOutageFleet(t rapid.TB, settings core.Settings, workers int) *outageFleet {
	f := &outageFleet{t: t, now: time.Hour, workers: map[string]*fleetWorker{}, loadTime: defaultLoadTime}
	settings.DrainGrace, settings.EnforceDeadlines = drainGrace, true
	settings.LoadPolicy.LoadOnMiss = true
	settings.LoadPolicy.ReplicaIdleTimeout, settings.LoadPolicy.RequestTimeout = replicaIdleTimeout, 4*time.Second
	f.core = core.New(settings, f)
	var members []scheduler.Member
	for i := range workers {
		name := fmt.Sprint("w", i)
		f.workers[name] = &fleetWorker{replicas: map[uint64]fleetReplica{}}
		members = append(members, scheduler.Member{Worker: name, Weight: 1})
	}
	f.core.ReplaceMembership(f.now, members)
	return f
}

// schedule adds an event in the gateway: apply is called at the given time, or after a pause of the gateway.
func (f *outageFleet) schedule(at time.Duration, apply func(now time.Duration)) {
	f.scheduled++
	heap.Push(&f.events, fleetEvent{at: at, sequence: f.scheduled, apply: apply})
}

// run processes events up to the given time.
func (f *outageFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		event := heap.Pop(&f.events).(fleetEvent)
		if !event.external && event.at < f.pausedUntil {
			event.at = f.pausedUntil
			heap.Push(&f.events, event)
			continue
		}
		f.now = event.at
		event.apply(f.now)
		if !event.external {
			f.core.ProcessDue(f.now)
		}
	}
	f.now = until
}

// renewWatch renews the lease of the registry watch now and every second until the outage starts.
func (f *outageFleet) renewWatch() {
	if f.outageAt == 0 || f.now < f.outageAt {
		f.core.SetWatchLease(f.now, f.now+watchLeaseDuration)
		f.schedule(f.now+time.Second, func(time.Duration) { f.renewWatch() })
	}
}

// generateTraffic submits requests for random functions until the given time, with exponentially distributed intervals
// at a mean rate per second.
func (f *outageFleet) generateTraffic(random *rand.Rand, rate float64, functions int, until time.Duration) {
	next := f.now + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
	if next >= until {
		return
	}
	f.schedule(next, func(now time.Duration) {
		f.lastRequest++
		f.requests++
		request := &scheduler.Request{
			ID:       fmt.Sprint("r", f.lastRequest),
			Type:     "idempotent",
			Function: uint64(1 + random.IntN(functions)),
			TimeLeft: 2 * time.Second,
			LoadTime: f.loadTime, Concurrency: 4,
		}
		if err := f.core.Submit(now, request); err != nil {
			f.t.Error(err)
		}
		f.generateTraffic(random, rate, functions, until)
	})
}

// checkNewWork counts new work that is sent to a worker more than the drain grace after the gateway is considered
// notified of its drain, and fails the test if new work is sent at or after its sendBy time.
func (f *outageFleet) checkNewWork(worker string, sendBy time.Duration) {
	if sendBy != 0 && f.now >= sendBy {
		f.t.Errorf("%v: new work sent to %s, which is allowed only before %v", f.now-time.Hour, worker, sendBy-time.Hour)
	}
	drainedAt := f.workers[worker].drainedAt
	if drainedAt == 0 || f.outageAt == 0 || drainedAt < f.outageAt {
		return
	}
	if f.now > max(drainedAt, f.outageAt+watchLeaseDuration)+drainGrace {
		f.sentAfterGrace++
	}
}

func (f *outageFleet) Send(request *scheduler.Request, attempt int, worker string) {
	f.checkNewWork(worker, request.SendBy())
	arrival := f.now + networkLatency
	outcome, duration := scheduler.Outcome{Worker: worker, Result: scheduler.Rejected}, 2*networkLatency
	w := f.workers[worker]
	switch {
	case w.down:
		outcome.Result = scheduler.Unreachable
	case !w.rejectsAt(arrival):
		w.attempts++
		outcome.Result, outcome.ReplicaState = scheduler.Completed, scheduler.ReplicaWarm
		duration += f.load(w, request.Function, arrival) + runTime
	}
	sentAt := f.now
	f.schedule(sentAt+duration, func(now time.Duration) {
		outcome.Duration = now - sentAt
		f.core.CompleteAttempt(now, request.ID, attempt, outcome)
	})
}

// rejectsAt reports whether the worker rejects new work at the given time.
func (w *fleetWorker) rejectsAt(at time.Duration) bool {
	return w.full || w.drainedAt != 0 && at >= w.drainedAt
}

// hasReplica reports whether a replica of the function is loaded or loading at the given time.
func (w *fleetWorker) hasReplica(function uint64, at time.Duration) bool {
	replica, found := w.replicas[function]
	return found && at < replica.idleUntil
}

// load makes a worker use its replica of the function, or load one if it has none, and returns the time until the
// replica is ready.
func (f *outageFleet) load(w *fleetWorker, function uint64, now time.Duration) time.Duration {
	replica := w.replicas[function]
	if !w.hasReplica(function, now) {
		replica.readyAt = now + f.loadTime
		f.loads++
	}
	replica.idleUntil = max(now, replica.readyAt) + replicaIdleTimeout
	w.replicas[function] = replica
	return max(0, replica.readyAt-now)
}

func (f *outageFleet) RequestLoad(load scheduler.LoadRequest) {
	w, arrival := f.workers[load.Worker], f.now+networkLatency
	result, duration := scheduler.Rejected, 2*networkLatency
	switch {
	case w.down:
		result = scheduler.Unreachable
	case load.Purpose == scheduler.QueryReplicas:
		f.queries++
		if w.drainedAt == 0 || arrival < w.drainedAt || f.drainingAnswerQueries {
			result = scheduler.Completed
			if w.hasReplica(load.Function, arrival) && w.replicas[load.Function].readyAt <= arrival {
				load.Replicas = 1
			}
		}
	default:
		if load.Purpose == scheduler.VerifyWorker {
			f.verifications++
		}
		f.checkNewWork(load.Worker, load.SendBy)
		draining := w.drainedAt != 0 && arrival >= w.drainedAt
		if !draining && (w.hasReplica(load.Function, arrival) || !w.full) {
			result = scheduler.Completed
			duration += f.load(w, load.Function, arrival)
		}
	}
	sentAt := f.now
	f.schedule(sentAt+duration, func(now time.Duration) { f.core.LoadCompleted(now, load, result, now-sentAt) })
}

// Probe answers a probe, also for a draining worker.
func (f *outageFleet) Probe(worker string) {
	const roundTrip = 2 * networkLatency
	f.schedule(f.now+roundTrip, func(now time.Duration) {
		f.core.ProbeCompleted(now, worker, scheduler.Completed, scheduler.LoadReport{}, roundTrip)
	})
}

func (f *outageFleet) Complete(*scheduler.Request, int)                 { f.completed++ }
func (f *outageFleet) Reject(*scheduler.Request, time.Duration, bool)   { f.rejected++ }
func (f *outageFleet) Fail(*scheduler.Request, int, bool)               {}
func (f *outageFleet) Cancel(*scheduler.Request, int, string)           {}
func (f *outageFleet) Subscribe()                                       {}
func (f *outageFleet) Closed(*scheduler.Request, int, core.CloseReason) {}
func (f *outageFleet) SetTimer(after time.Duration) {
	f.schedule(f.now+after, func(now time.Duration) { f.core.TimerFired(now) })
}

// drain schedules the worker to start draining at the given time.
func (f *outageFleet) drain(worker string, at time.Duration) {
	f.scheduled++
	heap.Push(&f.events, fleetEvent{at: at, sequence: f.scheduled, external: true, apply: func(now time.Duration) {
		f.workers[worker].drainedAt = now
	}})
}

// drainWithNotice makes a worker start draining now, of which the gateway is notified.
func (f *outageFleet) drainWithNotice(worker string) {
	f.workers[worker].drainedAt = f.now
	f.core.UpdateMembership(f.now, []scheduler.Member{{Worker: worker, Weight: 1, Condition: scheduler.Draining}})
}

// servedShare returns the share of completed requests since the counters f.requests and f.completed had the given
// values.
func (f *outageFleet) servedShare(requests, completed int) float64 {
	return float64(f.completed-completed) / float64(max(1, f.requests-requests))
}
