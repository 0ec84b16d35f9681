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
	drawn := random.Mix(w.hash ^ random.Mix(fn+uint64(c.self+1)<<44))
	rank := -math.Log1p(-float64(drawn>>11)/(1<<53)) / c.size(w)
	if c.zone != "" && w.Zone != c.zone { // crossing costs
		rank *= nearness
	}
	return rank
}

// size is a worker's part of the work over that of a mean one: its kind's mean, as each one's is told
// roughly, and by how long answers of that kind take over those of the same functions elsewhere.
func (c *Scheduler) size(w *worker) float64 { return w.kind.size() / c.meanSize }

// walk begins the order of workers that all front ends share for a function. It is multi-probe consistent
// hashing: a worker is as far as its point on a circle lies after the nearest of the function's points, over
// its size. Each worker's place depends on itself alone: one that comes or goes moves only what is its own.
func (c *Scheduler) walk(f *function) {
	c.points = c.points[:0]
	point := random.Mix(f.id)
	for range pointsOfFunction {
		point = random.Mix(point + 1)
		c.points = append(c.points, point)
	}
	c.order.Walk(c.points)
}

// accepts tells whether a worker may be asked to load a function.
func (c *Scheduler) accepts(w *worker, f *function, now time.Duration) bool {
	return c.room(w, now) && now >= w.rejections[f.tenant].until &&
		!slices.ContainsFunc(f.replicaSets, func(s *replicaSet) bool { return s.w == w && now < s.closedUntil })
}

// placeReplica chooses the worker for a load: for a first replica one of the preferred workers, for others
// any.
func (c *Scheduler) placeReplica(f *function, first bool, now time.Duration) *worker {
	if !first {
		return c.anyOf(f, now)
	}
	preferred := c.preferred(f, now)
	if len(preferred) == 0 {
		return c.anyOf(f, now)
	}
	return slices.MinFunc(preferred, func(a, b *worker) int {
		return cmp.Compare(c.rendezvousScore(a, f.id), c.rendezvousScore(b, f.id))
	})
}

// preferred gives the first workers of the shared order for first replicas; those that hold many requests
// come last. Where hardly any accept, it does not look through the whole fleet.
func (c *Scheduler) preferred(f *function, now time.Duration) []*worker {
	wanted := c.preferredCount(f, now)
	first, last := c.first[:0], c.last[:0]
	c.walk(f)
	for passed := 0; len(first) < wanted && passed < passedFor*wanted+mostDraws; passed++ {
		w, more := c.order.Next()
		if !more {
			break
		}
		if !c.accepts(w, f, now) {
			continue
		}
		if w.comesLast(now) || float64(len(w.attempts)) >= manyShare*w.limit {
			last = append(last, w)
		} else {
			first = append(first, w)
		}
	}
	first = append(first, last[:min(len(last), wanted-len(first))]...)
	c.first, c.last = first, last
	return first
}

// anyOf draws a worker that accepts a function, each as likely; nil where none is found in so many draws.
func (c *Scheduler) anyOf(f *function, now time.Duration) *worker {
	all := c.members.All()
	if len(all) <= mostDraws {
		accepting := c.first[:0]
		for _, w := range all {
			if c.accepts(w, f, now) {
				accepting = append(accepting, w)
			}
		}
		c.first = accepting
		if len(accepting) == 0 {
			return nil
		}
		return accepting[c.random.Below(len(accepting))]
	}
	for range mostDraws {
		if w := all[c.random.Below(len(all))]; c.accepts(w, f, now) {
			return w
		}
	}
	return nil
}

// preferredCount is the number of workers for first replicas of a function, by its part of the traffic: each
// front end sees few of its requests at the first worker of the shared order; together they would overrun it.
func (c *Scheduler) preferredCount(f *function, now time.Duration) int {
	part := (f.arrivals.All(now) - c.discount) / (c.arrivals.All(now) + startAs)
	return max(1, int(c.placementWidth*part*float64(min(c.frontEnds, c.members.Len()))))
}

// count estimates how much of a seen request is luck (absolute discounting): all where functions come once
// only, little where those seen once come twice as a rule. It fits first replicas into the workers' memory
// too.
func (c *Scheduler) count(now time.Duration) {
	c.countAt = now + freshSpan/8
	seen, once, twice, need, room := 0.0, 0.0, 0.0, int64(0), 0.0
	for _, f := range c.functions {
		switch n := f.arrivals.All(now); n {
		case 0:
			continue
		case 1:
			once++
		case 2:
			twice++
		}
		seen, need = seen+1, need+int64(f.memory)
	}
	for _, k := range c.kindList {
		room += replicaShare * k.memory * k.count
	}
	c.discount = (once + atFirst) / (once + 2*twice + 2*atFirst)
	if c.placementWidth = firstPlacementWidth; room > 0 && need > 0 { // beyond a replica of each
		fits := (room/float64(need) - 1) * seen / float64(c.members.Len())
		c.placementWidth = min(firstPlacementWidth, max(leastPlacementWidth, fits))
	}
}

// canSend tells whether a request may go to an assumed replica now. A half-open worker gets what may go again
// first.
func (c *Scheduler) canSend(s *replicaSet, e *Request, now time.Duration) bool {
	w := s.w
	soon := max(e.objectiveAt-now, part(enoughShare, e.typ.Objective)) // who is late already does not wait long
	return c.delay*w.queuedNow(now) <= float64(soon) && s.replicas > 0 &&
		now >= max(s.closedUntil, w.rejections[e.Tenant].until) && c.room(w, now) && !c.atFleetLimit() &&
		c.mayRunOn(e, w, now) && c.slowStartAllows(w, e, now) &&
		(!w.halfOpen || e.typ.Effect != AtMostOnce || now >= w.ejectedUntil+w.ejectionTime)
}

// warmReplica finds a replica assumed warm: a free slot by the salted order, or with spill the fewest own in
// flight.
func (c *Scheduler) warmReplica(f *function, e *Request, spill bool, now time.Duration) (best *replicaSet) {
	var first float64
	for _, s := range f.replicaSets {
		var r float64
		if spill {
			r = (s.w.queuedNow(now) + float64(len(s.w.attempts)+1)) / c.size(s.w)
		} else if s.inFlight < s.replicas*f.concurrency && s.w != e.avoid {
			r = afterAll(c.rendezvousScore(s.w, f.id), s.w.comesLast(now)) + s.w.queuedNow(now)
		} else {
			continue
		}
		if (best == nil || r < first) && c.canSend(s, e, now) {
			best, first = s, r
		}
	}
	return best
}
