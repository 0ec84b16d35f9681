package scheduler

import (
	"math"
	"slices"
	"time"
)

// expireAssumptions lets what is assumed expire and forgets replica sets without any.
func (c *Scheduler) expireAssumptions(f *function, now time.Duration) {
	f.replicaSets = slices.DeleteFunc(f.replicaSets, func(s *replicaSet) bool {
		if now > s.assumedUntil && s.inFlight == 0 {
			s.replicas = 0
		}
		if now > s.loadDeadline {
			s.loading = 0
		}
		return s.replicas == 0 && s.loading == 0 && s.inFlight == 0 && now >= s.rejectingUntil
	})
}

func (c *Scheduler) tickInterval(f *function) time.Duration {
	return max(fractionOf(tickIntervalShare, f.typ.Objective), c.minTickInterval, 1)
}

// scaleUp is the four-condition rule. It advances only for a queue that is not empty or after arrivals.
func (c *Scheduler) scaleUp(f *function, now time.Duration, st *TickResult) time.Duration {
	if len(f.queue) == 0 {
		return math.MaxInt64
	} else if now < f.nextTick {
		return f.nextTick
	}
	have, under, short, queued := 0, 0, 0, len(f.queue)
	for _, s := range f.replicaSets { // what stands at a worker that can't be used is no instance
		if c.usable(s.worker, now) && !s.worker.probeOverdue(now) && now >= max(s.rejectingUntil, s.worker.rejections[f.tenant].until) {
			have, under = have+s.replicas, under+s.loading
		}
	}
	total := have + under
	// a slot runs one request at least, however long answers take against the tick
	power := max(1, float64(c.tickInterval(f))/float64(f.meanRunTime())) * float64(f.concurrency)
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
	if f.nextTick = now + c.tickInterval(f); have > 0 {
		f.arrivalsSinceTick = 0 // during first loads arrivals add up
	}
	for range min(short, queued) {
		if !c.requestLoad(f, total == 0, now, st) {
			break
		}
		total++
	}
	return f.nextTick
}

// requestLoad requests one replica; where none may be sent the oldest request goes there itself to bring
// it.
func (c *Scheduler) requestLoad(f *function, first bool, now time.Duration, st *TickResult) bool {
	if !first && c.overloaded || float64(c.loadsInFlight) >= c.loadLimit.limit {
		return false
	}
	w := c.placeReplica(f, first, now)
	if w == nil {
		return false
	}
	c.ensureFreshReport(w, now)
	s := f.replicaSetAt(w)
	if c.loadRequestsEnabled && c.loadAllowed(now) && s.replicas+s.loading < 16 {
		s.loading++
		s.loadDeadline = now + min(fractionOf(loadTimeoutFactor*max(1, c.loadSlowdown), f.expectedLoadTime()), c.loadTimeout)
		c.loadsSent.Add(now, 1)
		c.loadsInFlight++
		st.LoadRequests = append(st.LoadRequests, LoadRequest{Worker: w.Worker, Function: f.id, Replicas: s.replicas + s.loading})
		return true
	}
	if !first || !c.loadsOnMiss && c.loadRequestsEnabled || len(f.queue) == 0 || !c.mayRunOn(f.queue[0], w, now) ||
		!c.slowStartAllows(w, f.queue[0], now) {
		return false
	}
	e := f.queue[0]
	f.queue = f.queue[1:]
	st.Decisions = append(st.Decisions, c.send(e, s, true, now))
	return true
}

// loadAllowed keeps load requests rate-limited (rule 5), this one included, counted to the safe side.
func (c *Scheduler) loadAllowed(now time.Duration) bool {
	return !c.loadRateLimited || c.loadsSent.UpperSum(now)+1 <= c.loadBurst+c.loadsPerRequest*c.submitted.LowerSum(now)
}

// LoadCompleted takes the answer to a load request.
func (c *Scheduler) LoadCompleted(now time.Duration, o LoadRequest, r Result, took time.Duration) {
	w, f := c.workers[o.Worker], c.functions[o.Function]
	if c.loadsInFlight--; w == nil || f == nil {
		return
	}
	usual := f.expectedLoadTime()
	if r != Completed {
		took = max(took, fractionOf(loadTimeoutFactor, usual))
	}
	if took > usual/4 { // else the replicas stood; a crowded store shows in loads that fail or take long
		c.adjustLimit(&c.loadLimit, now, took, slowLoadFactor*float64(usual), c.loadsInFlight, 1)
		c.loadSlowdown += (float64(took)/float64(usual) - c.loadSlowdown) / functionSamples
	}
	s := f.replicaSetAt(w)
	if s.loading = max(0, s.loading-1); r == Completed || r == Full || r == Failed { // else nothing was heard
		s.replicas, s.assumedUntil = o.Replicas, now+c.replicaIdleTimeout
	}
	if r == Full {
		s.rejectingUntil = now + usual
	} else if r == Unreachable || r == ConnectionLost {
		c.recordFailure(w, now)
	}
}
