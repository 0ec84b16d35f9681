package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/base/window"
)

// update takes one line of the list.
func (c *Scheduler) update(l Member, now time.Duration) {
	w := c.workers[l.Worker]
	if w != nil && l.Started != w.Started { // a worker that starts anew is empty and cold: another one
		c.forget(w)
		w = nil
	}
	if w == nil && l.Condition == Removed {
		return
	}
	if w == nil {
		w = c.join(l.Worker, now)
	}
	w.update = c.updates
	if w.kind != nil && w.Member == l && w.listed {
		return
	}
	c.leaveKind(w)
	w.Member, w.listed = l, true
	c.joinKind(w)
	if l.Condition == Removed {
		c.unlist(w, now)
	}
	c.recount(w, now)
}

// Members gives the workers on the list, in the order of their names.
func (c *Scheduler) Members() []Member {
	var listed []Member
	for _, w := range c.members.All() {
		if w.listed {
			listed = append(listed, w.Member)
		}
	}
	slices.SortFunc(listed, func(a, b Member) int { return strings.Compare(a.Worker, b.Worker) })
	return listed
}

// join makes a worker a member of the fleet.
func (c *Scheduler) join(name string, now time.Duration) *worker {
	w := &worker{hash: random.Hash(name), adaptiveLimit: c.limits(firstLimit, leastLimit),
		lastColdSend: now, coldPauseShare: float64(c.random.Below(1000)) / 1000}
	w.deadline.Member = w
	c.workers[name] = w
	c.members.Add(w, &w.member)
	return w
}

// unlist takes a worker off the list. It stays a member while attempts there are under way.
func (c *Scheduler) unlist(w *worker, now time.Duration) {
	if !w.listed {
		return
	}
	c.leaveKind(w)
	w.listed = false
	c.joinKind(w)
	c.leaving = append(c.leaving, w)
	c.recount(w, now)
}

// forgetLeaving forgets those off the list at which nothing is under way.
func (c *Scheduler) forgetLeaving() {
	c.leaving = slices.DeleteFunc(c.leaving, func(w *worker) bool {
		over := !w.listed && len(w.attempts) == 0
		if over && w.member.In() {
			c.forget(w)
		}
		return over || w.listed || !w.member.In()
	})
}

// forget takes a member out of all that is counted.
func (c *Scheduler) forget(w *worker) {
	c.leaveKind(w)
	c.tally.replace(w.tally, tally{})
	c.deadlines.Clear(&w.deadline)
	c.busy.Remove(&w.working)
	c.members.Remove(&w.member)
	w.listed = false
	delete(c.workers, w.Worker)
}

// joinKind counts a member among those of its kind. Those that may get something new are in the shared order.
func (c *Scheduler) joinKind(w *worker) {
	w.kind = c.kindOf(w.Kind)
	w.kind.sizeSum, w.kind.count = w.kind.sizeSum+w.listedSize(), w.kind.count+1
	if w.open() {
		w.node = w.kind.ring.Ring.Add(w, w.hash)
	}
}

func (c *Scheduler) leaveKind(w *worker) {
	if w.kind == nil {
		return
	}
	w.kind.sizeSum, w.kind.count = w.kind.sizeSum-w.listedSize(), w.kind.count-1
	if w.kind.count == 0 { // no rounding is left behind
		w.kind.sizeSum = 0
	}
	if w.node != nil {
		w.kind.ring.Ring.Remove(w.node)
	}
	w.node = nil
}

// updateMeanSize takes the mean size after the list or an answer has changed one.
func (c *Scheduler) updateMeanSize() {
	c.meanSize = 0
	for _, k := range c.kindList {
		c.meanSize += k.sizeSum / k.slowness / float64(max(1, c.members.Len()))
	}
}

// recount brings the counts of the fleet up to date after something of a worker has changed that they depend on, and has it
// looked at again when time alone changes them.
func (c *Scheduler) recount(w *worker, now time.Duration) {
	if !w.member.In() { // another one has its name by now
		return
	}
	t, until := c.assess(w, now)
	c.tally.replace(w.tally, t)
	w.tally = t
	if until < math.MaxInt64 {
		c.deadlines.Set(&w.deadline, until)
	} else {
		c.deadlines.Clear(&w.deadline)
	}
	if working := len(w.attempts) > 0; working && !w.working.In() {
		c.busy.Add(w, &w.working)
	} else if !working {
		c.busy.Remove(&w.working)
	}
}

// expire counts anew the workers of which time alone has changed something.
func (c *Scheduler) expire(now time.Duration) {
	if c.stale {
		c.stale = false
		for _, w := range c.members.All() {
			c.recount(w, now)
		}
	}
	for {
		w, found := c.deadlines.Expired(now)
		if !found {
			return
		}
		c.recount(w, now)
	}
}

// functionOf is what is known of a request's function, from now on if not before.
func (c *Scheduler) functionOf(e *Request, now time.Duration) *function {
	f := c.functions[e.Function]
	if f == nil {
		if len(c.functions) >= 2*c.functionsKept+averaged { // functions long idle are forgotten
			maps.DeleteFunc(c.functions, func(_ uint64, g *function) bool {
				c.expireAssumptions(g, now)
				return len(g.replicaSets)+len(g.queue) == 0 && g.arrivals.All(now) == 0
			})
			c.functionsKept = len(c.functions)
		}
		f = &function{id: e.Function, tenant: e.Tenant, arrivals: window.New(4 * freshSpan)}
		c.functions[e.Function] = f
	}
	if f.tenant != e.Tenant { // it serves many: a rejection says nothing of one of them
		f.tenant = ""
	}
	return f
}
