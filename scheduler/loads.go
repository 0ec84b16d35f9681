package scheduler

import (
	"math"
	"slices"
	"time"
)

// expireAssumptions lets what is assumed expire and forgets replica sets without any.
func (s *Scheduler) expireAssumptions(f *function, now time.Duration) {
	f.replicaSets = slices.DeleteFunc(f.replicaSets, func(replicas *replicaSet) bool {
		if now > replicas.assumedUntil && replicas.inFlight == 0 {
			replicas.replicas = 0
		}
		if now > replicas.loadDeadline {
			replicas.loading = 0
		}
		return replicas.replicas == 0 && replicas.loading == 0 && replicas.inFlight == 0 && now >= replicas.rejectingUntil
	})
}

func (s *Scheduler) tickInterval(f *function) time.Duration {
	return max(fractionOf(tickIntervalShare, f.typ.Objective), s.minTickInterval, 1)
}

// scaleUp is the four-condition rule. It advances only for a queue that is not empty or after arrivals.
func (s *Scheduler) scaleUp(f *function, now time.Duration, due *TickResult) time.Duration {
	if len(f.queue) == 0 {
		return math.MaxInt64
	} else if now < f.nextTick {
		return f.nextTick
	}
	have, under, short, queued := 0, 0, 0, len(f.queue)
	for _, replicas := range f.replicaSets { // what stands at a worker that can't be used is no instance
		if s.usable(replicas.worker, now) && !replicas.worker.probeOverdue(now) && now >= max(replicas.rejectingUntil, replicas.worker.rejections[f.tenant].until) {
			have, under = have+replicas.replicas, under+replicas.loading
		}
	}
	total := have + under
	// a slot runs one request at least, however long answers take against the tick
	power := max(1, float64(s.tickInterval(f))/float64(f.meanRunTime())) * float64(f.concurrency)
	required := int(math.Ceil(float64(queued) / power))
	switch {
	case total == 0:
		short = 1
	case have == 0:
		in := max(1, float64(f.typ.Objective)/float64(f.meanRunTime())) * float64(f.concurrency)
		short = int(math.Ceil(float64(f.arrivalsSinceTick)/in)) - under
	case total < queued && f.arrivalsSinceTick < queued:
		short = required - under
	case float64(f.arrivalsSinceTick) >= power*float64(total):
		short = required - total
	}
	if f.nextTick = now + s.tickInterval(f); have > 0 {
		f.arrivalsSinceTick = 0 // during first loads arrivals add up
	}
	for range min(short, queued) {
		if !s.requestLoad(f, total == 0, now, due) {
			break
		}
		total++
	}
	return f.nextTick
}

// requestLoad requests one replica; where none may be sent the oldest request goes there itself to bring
// it.
func (s *Scheduler) requestLoad(f *function, first bool, now time.Duration, due *TickResult) bool {
	if !first && s.overloaded || float64(s.loadsInFlight) >= s.loadLimit.limit {
		return false
	}
	w := s.placeReplica(f, first, now)
	if w == nil {
		return false
	}
	s.ensureFreshReport(w, now)
	replicas := f.replicaSetAt(w)
	if s.loadRequestsEnabled && s.loadAllowed(now) && replicas.replicas+replicas.loading < 16 {
		replicas.loading++
		replicas.loadDeadline = now + min(fractionOf(loadTimeoutFactor*max(1, s.loadSlowdown), f.expectedLoadTime()), s.loadTimeout)
		s.loadsSent.Add(now, 1)
		s.loadsInFlight++
		due.LoadRequests = append(due.LoadRequests, LoadRequest{Worker: w.Worker, Function: f.id, Replicas: replicas.replicas + replicas.loading})
		return true
	}
	if !first || !s.loadsOnMiss && s.loadRequestsEnabled || len(f.queue) == 0 || !s.mayRunOn(f.queue[0], w, now) ||
		!s.slowStartAllows(w, f.queue[0], now) {
		return false
	}
	request := f.queue[0]
	f.queue = f.queue[1:]
	due.Decisions = append(due.Decisions, s.send(request, replicas, true, now))
	return true
}

// loadAllowed keeps load requests rate-limited (rule 5), this one included, counted to the safe side.
func (s *Scheduler) loadAllowed(now time.Duration) bool {
	return !s.loadRateLimited || s.loadsSent.UpperSum(now)+1 <= s.loadBurst+s.loadsPerRequest*s.submitted.LowerSum(now)
}

// LoadCompleted takes the answer to a load request.
func (s *Scheduler) LoadCompleted(now time.Duration, load LoadRequest, result Result, duration time.Duration) {
	w, f := s.workers[load.Worker], s.functions[load.Function]
	if s.loadsInFlight--; w == nil || f == nil {
		return
	}
	usual := f.expectedLoadTime()
	if result != Completed {
		duration = max(duration, fractionOf(loadTimeoutFactor, usual))
	}
	if duration > usual/4 { // else the replicas stood; a crowded store shows in loads that fail or take long
		s.adjustLimit(&s.loadLimit, now, duration, slowLoadFactor*float64(usual), s.loadsInFlight, 1)
		s.loadSlowdown += (float64(duration)/float64(usual) - s.loadSlowdown) / functionSamples
	}
	replicas := f.replicaSetAt(w)
	if replicas.loading = max(0, replicas.loading-1); result == Completed || result == Full || result == Failed { // else nothing was heard
		replicas.replicas, replicas.assumedUntil = load.Replicas, now+s.replicaIdleTimeout
	}
	if result == Full {
		replicas.rejectingUntil = now + usual
	} else if result == Unreachable || result == ConnectionLost {
		s.recordFailure(w, now)
	}
}
