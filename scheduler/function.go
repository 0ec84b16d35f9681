package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lupinpond/internal/base/window"
)

// function is the state of one function, with its queue.
type function struct {
	id                uint64
	tenant            string // the only tenant that calls it; empty: several tenants, or none
	typ               *typeStats
	concurrency       int // requests that one replica runs at a time
	loadTime          time.Duration
	replicaMemory     float64
	queue             []*Request // in the order of submission
	replicaSets       []*replicaSet
	runTimes          window.MovingAverage
	arrivals          *window.Window
	arrivalsSinceTick int
	lastArrival       time.Duration
	nextTick          time.Duration
	queriedWorker     *worker // the worker that the last replica query for it was sent to
	active            bool    // it is in Scheduler.activeFunctions
}

// replicaSet is the assumed state of the replicas of one function at one worker.
type replicaSet struct {
	worker         *worker
	loaded         int           // replicas assumed to be loaded
	inFlight       int           // attempts of this gateway in flight to them
	assumedUntil   time.Duration // end of the assumption about loaded
	loading        int           // replicas being loaded
	loadDeadline   time.Duration // replicas still loading then count as lost
	rejectingUntil time.Duration // no requests or load requests are sent until then
}

// empty reports whether no replica is assumed to be loaded or loading.
func (r *replicaSet) empty() bool { return r.loaded+r.loading == 0 }

// functionFor returns the function of a request, and adds it if it is new.
func (s *Scheduler) functionFor(request *Request, now time.Duration) *function {
	f := s.functions[request.Function]
	if f == nil {
		s.removeIdleFunctions(now)
		s.evictFunctions()
		f = &function{
			id:       request.Function,
			tenant:   request.Tenant,
			arrivals: window.New(arrivalWindows * trafficWindow),
		}
		s.functions[request.Function] = f
	}
	if f.tenant != request.Tenant { // with several tenants, a rejection can't be attributed to one
		f.tenant = ""
	}
	return f
}

// removeIdleFunctions removes functions that have been idle for long, each time the number of functions has
// doubled.
func (s *Scheduler) removeIdleFunctions(now time.Duration) {
	if len(s.functions) < 2*s.functionsAfterCleanup+functionSamples {
		return
	}
	maps.DeleteFunc(s.functions, func(_ uint64, f *function) bool {
		s.expireAssumptions(f, now)
		return len(f.replicaSets)+len(f.queue) == 0 && f.arrivals.UpperSum(now) == 0
	})
	s.functionsAfterCleanup = len(s.functions)
}

// SetMaxFunctions sets the number of functions that the scheduler keeps; 0: no limit. Functions with requests
// that are queued or in flight are kept beyond it.
func (s *Scheduler) SetMaxFunctions(limit int) { s.maxFunctions = limit }

// evictFunctions makes room for a new function once there are as many as may be kept: it forgets a part of
// the functions without requests, first those that no replica is assumed of, the least recently called first.
func (s *Scheduler) evictFunctions() {
	if s.maxFunctions == 0 || len(s.functions) < s.maxFunctions {
		return
	}
	var evictable []*function
	for _, f := range s.functions {
		if f.isUnused() {
			evictable = append(evictable, f)
		}
	}
	slices.SortFunc(evictable, func(a, b *function) int {
		return cmp.Or(
			cmp.Compare(min(len(a.replicaSets), 1), min(len(b.replicaSets), 1)),
			cmp.Compare(a.lastArrival, b.lastArrival),
			cmp.Compare(a.id, b.id))
	})
	count := max(len(s.functions)-s.maxFunctions+1, s.maxFunctions/evictedFunctionsDivisor)
	for _, f := range evictable[:min(count, len(evictable))] {
		delete(s.functions, f.id)
	}
}

// isUnused reports whether no request of the function is queued or in flight.
func (f *function) isUnused() bool {
	return !f.active && len(f.queue) == 0 &&
		!slices.ContainsFunc(f.replicaSets, func(r *replicaSet) bool { return r.inFlight > 0 })
}

// expireAssumptions resets the assumed state of replicas once its time has passed, and removes empty replica
// sets.
func (s *Scheduler) expireAssumptions(f *function, now time.Duration) {
	f.replicaSets = slices.DeleteFunc(f.replicaSets, func(r *replicaSet) bool {
		if now > r.assumedUntil && r.inFlight == 0 {
			r.loaded = 0
		}
		if now > r.loadDeadline {
			r.loading = 0
		}
		return r.empty() && r.inFlight == 0 && now >= r.rejectingUntil
	})
}

// replicaSetAt returns the function's replica set at a worker, and adds it if there is none.
func (f *function) replicaSetAt(w *worker) *replicaSet {
	i := slices.IndexFunc(f.replicaSets, func(r *replicaSet) bool { return r.worker == w })
	if i < 0 {
		i = len(f.replicaSets)
		f.replicaSets = append(f.replicaSets, &replicaSet{worker: w})
	}
	return f.replicaSets[i]
}

func (f *function) meanRunTime() time.Duration { return max(1, f.runTimes.Mean(initialLatency)) }

// expectedLoadTime returns the load time that requests state, or else the latency objective.
func (f *function) expectedLoadTime() time.Duration { return cmp.Or(f.loadTime, f.typ.Objective) }

// expectedDuration returns the expected latency of a request of the function. Half the mean latency of the
// request type bounds it from below, for functions with few outcomes.
func (s *Scheduler) expectedDuration(f *function) time.Duration {
	return max(f.meanRunTime(), f.typ.meanLatency/2)
}
