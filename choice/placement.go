package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/chance"
)

// rank orders the workers of a function for this front end by weighted rendezvous hashing: one of twice the
// size comes first twice as often.
func (c *Chooser) rank(w *worker, fn uint64) float64 {
	drawn := chance.Mix(w.hash ^ chance.Mix(fn+uint64(c.self+1)<<44))
	rank := -math.Log1p(-float64(drawn>>11)/(1<<53)) / c.size(w)
	if c.zone != "" && w.Zone != c.zone { // crossing costs
		rank *= nearness
	}
	return rank
}

// size is a worker's part of the work over that of a mean one: its kind's mean, as each one's is told
// roughly, and by how long answers of that kind take over those of the same functions elsewhere.
func (c *Chooser) size(w *worker) float64 { return w.kind.size() / c.meanSize }

func (k *kind) size() float64 { return k.told / k.number / k.takes }

// walk begins the order of workers that all front ends share for a function. It is multi-probe consistent
// hashing: a worker is as far as its point on a circle lies after the nearest of the function's points, over its
// size. Each worker's place depends on itself alone: one that comes or goes moves only what is its own.
func (c *Chooser) walk(f *function) {
	c.points = c.points[:0]
	point := chance.Mix(f.id)
	for range pointsOfFunction {
		point = chance.Mix(point + 1)
		c.points = append(c.points, point)
	}
	c.order.Walk(c.points)
}

// accepts tells whether a worker may be asked to load a function.
func (c *Chooser) accepts(w *worker, f *function, now time.Duration) bool {
	return c.room(w, now) && now >= w.refuses[f.tenant].until &&
		!slices.ContainsFunc(f.stands, func(s *standing) bool { return s.w == w && now < s.shut })
}

// target chooses the worker for a load: for a first copy one of the preferred workers, for others any.
func (c *Chooser) target(f *function, first bool, now time.Duration) *worker {
	if !first {
		return c.anyOf(f, now)
	}
	preferred := c.preferred(f, now)
	if len(preferred) == 0 {
		return c.anyOf(f, now)
	}
	nearest := func(a, b *worker) int { return cmp.Compare(c.rank(a, f.id), c.rank(b, f.id)) }
	return slices.MinFunc(preferred, nearest)
}

// preferred gives the first workers of the shared order for first copies; those that hold many requests come
// last. Where hardly any accept, it does not look through the whole fleet.
func (c *Chooser) preferred(f *function, now time.Duration) []*worker {
	wanted := c.homes(f, now)
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
		if w.behind(now) || float64(len(w.out)) >= manyShare*w.limit {
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
func (c *Chooser) anyOf(f *function, now time.Duration) *worker {
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
		return accepting[c.chance.Below(len(accepting))]
	}
	for range mostDraws {
		if w := all[c.chance.Below(len(all))]; c.accepts(w, f, now) {
			return w
		}
	}
	return nil
}

// homes is the number of workers for first copies of a function, by its part of the traffic: each front end
// sees few of its events at the first worker of the shared order; together they would overrun it.
func (c *Chooser) homes(f *function, now time.Duration) int {
	part := (f.came.All(now) - c.discount) / (c.came.All(now) + startAs)
	return max(1, int(c.spread*part*float64(min(c.peers, c.members.Len()))))
}

// count estimates how much of a seen event is luck (absolute discounting): all where functions come once
// only, little where those seen once come twice as a rule. It fits first copies into the workers' memory too.
func (c *Chooser) count(now time.Duration) {
	c.countAt = now + freshSpan/8
	seen, once, twice, need, room := 0.0, 0.0, 0.0, int64(0), 0.0
	for _, f := range c.fns {
		switch n := f.came.All(now); n {
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
		room += copyShare * k.memory * k.number
	}
	c.discount = (once + atFirst) / (once + 2*twice + 2*atFirst)
	if c.spread = spread; room > 0 && need > 0 { // what memory holds beyond one copy of each
		c.spread = min(spread, max(leastSpread, (room/float64(need)-1)*seen/float64(c.members.Len())))
	}
}

// fits tells whether an event may go to a believed copy now. A worker on trial gets what may go again first.
func (c *Chooser) fits(s *standing, e *Event, now time.Duration) bool {
	w := s.w
	soon := max(e.due-now, part(enoughShare, e.typ.Target)) // who is late already does not wait long
	return c.delay*w.waits(now) <= float64(soon) && s.copies > 0 &&
		now >= max(s.shut, w.refuses[e.Tenant].until) && c.room(w, now) && !c.full() &&
		c.mayGo(e, w, now) && c.coldRoom(w, e, now) &&
		(!w.trial || e.typ.Effect != AtMostOnce || now >= w.barred+w.barFor)
}

// warm finds a believed-warm copy: a free lane by the salted order, or with spill the fewest own in flight.
func (c *Chooser) warm(f *function, e *Event, spill bool, now time.Duration) (best *standing) {
	var first float64
	for _, s := range f.stands {
		var r float64
		if spill {
			r = (s.w.waits(now) + float64(len(s.w.out)+1)) / c.size(s.w)
		} else if s.busy < s.copies*f.lanes && s.w != e.avoid {
			r = last(c.rank(s.w, f.id), s.w.behind(now)) + s.w.waits(now)
		} else {
			continue
		}
		if (best == nil || r < first) && c.fits(s, e, now) {
			best, first = s, r
		}
	}
	return best
}

func last(rank float64, behind bool) float64 {
	if behind {
		return rank + math.MaxUint32
	}
	return rank
}
