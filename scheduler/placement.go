package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/base/random"
)

// rendezvousScore orders the workers of a function for this front end by weighted rendezvous hashing: one of
// twice the size comes first twice as often.
func (c *Scheduler) rendezvousScore(w *worker, fn uint64) float64 {
	drawn := random.Mix(w.hash ^ random.Mix(fn+uint64(c.index+1)<<44))
	rank := -math.Log1p(-float64(drawn>>11)/(1<<53)) / c.relativeWeight(w)
	if c.zone != "" && w.Zone != c.zone { // crossing costs
		rank *= crossZoneFactor
	}
	return rank
}

// relativeWeight is a worker's part of the work over that of a mean one: its kind's mean, as each one's is told
// roughly, and by how long answers of that kind take over those of the same functions elsewhere.
func (c *Scheduler) relativeWeight(w *worker) float64 { return w.kind.effectiveWeight() / c.meanWeight }

// walkSharedOrder begins the order of workers that all front ends share for a function. It is multi-probe consistent
// hashing: a worker is as far as its point on a circle lies after the nearest of the function's points, over
// its size. Each worker's place depends on itself alone: one that comes or goes moves only what is its own.
func (c *Scheduler) walkSharedOrder(f *function) {
	c.functionPoints = c.functionPoints[:0]
	point := random.Mix(f.id)
	for range pointsPerFunction {
		point = random.Mix(point + 1)
		c.functionPoints = append(c.functionPoints, point)
	}
	c.sharedOrder.Walk(c.functionPoints)
}

// acceptsLoad tells whether a worker may be asked to load a function.
func (c *Scheduler) acceptsLoad(w *worker, f *function, now time.Duration) bool {
	return c.hasCapacity(w, now) && now >= w.rejections[f.tenant].until &&
		!slices.ContainsFunc(f.replicaSets, func(s *replicaSet) bool { return s.worker == w && now < s.rejectingUntil })
}

// placeReplica chooses the worker for a load: for a first replica one of the preferred workers, for others
// any.
func (c *Scheduler) placeReplica(f *function, first bool, now time.Duration) *worker {
	if !first {
		return c.randomWorker(f, now)
	}
	preferred := c.preferredWorkers(f, now)
	if len(preferred) == 0 {
		return c.randomWorker(f, now)
	}
	return slices.MinFunc(preferred, func(a, b *worker) int {
		return cmp.Compare(c.rendezvousScore(a, f.id), c.rendezvousScore(b, f.id))
	})
}

// preferredWorkers gives the first workers of the shared order for first replicas; those that hold many requests
// come last. Where hardly any accept, it does not look through the whole fleet.
func (c *Scheduler) preferredWorkers(f *function, now time.Duration) []*worker {
	wanted := c.preferredCount(f, now)
	first, last := c.preferredBuffer[:0], c.deprioritizedBuffer[:0]
	c.walkSharedOrder(f)
	for passed := 0; len(first) < wanted && passed < maxVisitsPerWanted*wanted+maxDraws; passed++ {
		w, more := c.sharedOrder.Next()
		if !more {
			break
		}
		if !c.acceptsLoad(w, f, now) {
			continue
		}
		if w.deprioritized(now) || float64(len(w.attempts)) >= nearLimitShare*w.limit {
			last = append(last, w)
		} else {
			first = append(first, w)
		}
	}
	first = append(first, last[:min(len(last), wanted-len(first))]...)
	c.preferredBuffer, c.deprioritizedBuffer = first, last
	return first
}

// randomWorker draws a worker that accepts a function, each as likely; nil where none is found in so many draws.
func (c *Scheduler) randomWorker(f *function, now time.Duration) *worker {
	all := c.members.All()
	if len(all) <= maxDraws {
		accepting := c.preferredBuffer[:0]
		for _, w := range all {
			if c.acceptsLoad(w, f, now) {
				accepting = append(accepting, w)
			}
		}
		c.preferredBuffer = accepting
		if len(accepting) == 0 {
			return nil
		}
		return accepting[c.rng.IntN(len(accepting))]
	}
	for range maxDraws {
		if w := all[c.rng.IntN(len(all))]; c.acceptsLoad(w, f, now) {
			return w
		}
	}
	return nil
}

// preferredCount is the number of workers for first replicas of a function, by its part of the traffic: each
// front end sees few of its requests at the first worker of the shared order; together they would overrun it.
func (c *Scheduler) preferredCount(f *function, now time.Duration) int {
	part := (f.arrivals.UpperSum(now) - c.arrivalDiscount) / (c.arrivals.UpperSum(now) + priorArrivals)
	return max(1, int(c.placementWidth*part*float64(min(c.gateways, c.members.Len()))))
}

// estimatePlacement estimates how much of a seen request is luck (absolute discounting): all where functions come once
// only, little where those seen once come twice as a rule. It fits first replicas into the workers' memory
// too.
func (c *Scheduler) estimatePlacement(now time.Duration) {
	c.nextPlacementEstimate = now + trafficWindow/8
	seen, once, twice, need, room := 0.0, 0.0, 0.0, int64(0), 0.0
	for _, f := range c.functions {
		switch n := f.arrivals.UpperSum(now); n {
		case 0:
			continue
		case 1:
			once++
		case 2:
			twice++
		}
		seen, need = seen+1, need+int64(f.replicaMemory)
	}
	for _, k := range c.orderedKinds {
		room += firstReplicaMemoryShare * k.workerMemory * k.workerCount
	}
	c.arrivalDiscount = (once + priorFunctions) / (once + 2*twice + 2*priorFunctions)
	if c.placementWidth = maxPlacementWidth; room > 0 && need > 0 { // beyond a replica of each
		fits := (room/float64(need) - 1) * seen / float64(c.members.Len())
		c.placementWidth = min(maxPlacementWidth, max(minPlacementWidth, fits))
	}
}

// canSend tells whether a request may go to an assumed replica now. A half-open worker gets what may go again
// first.
func (c *Scheduler) canSend(s *replicaSet, e *Request, now time.Duration) bool {
	w := s.worker
	soon := max(e.objectiveDeadline-now, fractionOf(acceptableLatencyShare, e.typ.Objective)) // who is late already does not wait long
	return c.delayPerQueued*w.knownQueueDepth(now) <= float64(soon) && s.replicas > 0 &&
		now >= max(s.rejectingUntil, w.rejections[e.Tenant].until) && c.hasCapacity(w, now) && !c.atFleetLimit() &&
		c.mayRunOn(e, w, now) && c.slowStartAllows(w, e, now) &&
		(!w.halfOpen || e.typ.Effect != AtMostOnce || now >= w.ejectedUntil+w.ejectionDuration)
}

// findWarmReplica finds a replica assumed warm: a free slot by the salted order, or with spill the fewest own in
// flight.
func (c *Scheduler) findWarmReplica(f *function, e *Request, spill bool, now time.Duration) (best *replicaSet) {
	var first float64
	for _, s := range f.replicaSets {
		var r float64
		if spill {
			r = (s.worker.knownQueueDepth(now) + float64(len(s.worker.attempts)+1)) / c.relativeWeight(s.worker)
		} else if s.inFlight < s.replicas*f.concurrency && s.worker != e.avoid {
			r = rankBehind(c.rendezvousScore(s.worker, f.id), s.worker.deprioritized(now)) + s.worker.knownQueueDepth(now)
		} else {
			continue
		}
		if (best == nil || r < first) && c.canSend(s, e, now) {
			best, first = s, r
		}
	}
	return best
}
