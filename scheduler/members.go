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

// updateMember takes one line of the list.
func (c *Scheduler) updateMember(l Member, now time.Duration) {
	w := c.workers[l.Worker]
	if w != nil && l.Started != w.Started { // a worker that starts anew is empty and cold: another one
		c.forgetMember(w)
		w = nil
	}
	if w == nil && l.Condition == Removed {
		return
	}
	if w == nil {
		w = c.addMember(l.Worker, now)
	}
	w.lastUpdate = c.updateCount
	if w.kind != nil && w.Member == l && w.listed {
		return
	}
	c.removeFromKind(w)
	w.Member, w.listed = l, true
	c.addToKind(w)
	if l.Condition == Removed {
		c.unlist(w, now)
	}
	c.updateCounters(w, now)
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

// addMember makes a worker a member of the fleet.
func (c *Scheduler) addMember(name string, now time.Duration) *worker {
	w := &worker{hash: random.Hash(name), adaptiveLimit: c.newLimit(initialWorkerLimit, minWorkerLimit),
		lastSlowStartSend: now, slowStartPauseShare: float64(c.rng.IntN(1000)) / 1000}
	w.countersDeadline.Member = w
	c.workers[name] = w
	c.members.Add(w, &w.memberSlot)
	return w
}

// unlist takes a worker off the list. It stays a member while attempts there are under way.
func (c *Scheduler) unlist(w *worker, now time.Duration) {
	if !w.listed {
		return
	}
	c.removeFromKind(w)
	w.listed = false
	c.addToKind(w)
	c.unlisted = append(c.unlisted, w)
	c.updateCounters(w, now)
}

// forgetUnlisted forgets those off the list at which nothing is under way.
func (c *Scheduler) forgetUnlisted() {
	c.unlisted = slices.DeleteFunc(c.unlisted, func(w *worker) bool {
		over := !w.listed && len(w.attempts) == 0
		if over && w.memberSlot.In() {
			c.forgetMember(w)
		}
		return over || w.listed || !w.memberSlot.In()
	})
}

// forgetMember takes a member out of all that is counted.
func (c *Scheduler) forgetMember(w *worker) {
	c.removeFromKind(w)
	c.counters.replace(w.counters, counters{})
	c.deadlines.Clear(&w.countersDeadline)
	c.busy.Remove(&w.busySlot)
	c.members.Remove(&w.memberSlot)
	w.listed = false
	delete(c.workers, w.Worker)
}

// addToKind counts a member among those of its kind. Those that may get something new are in the shared order.
func (c *Scheduler) addToKind(w *worker) {
	w.kind = c.kindFor(w.Kind)
	w.kind.weightSum, w.kind.workerCount = w.kind.weightSum+w.listedWeight(), w.kind.workerCount+1
	if w.acceptsNew() {
		w.ringNode = w.kind.ring.Ring.Add(w, w.hash)
	}
}

func (c *Scheduler) removeFromKind(w *worker) {
	if w.kind == nil {
		return
	}
	w.kind.weightSum, w.kind.workerCount = w.kind.weightSum-w.listedWeight(), w.kind.workerCount-1
	if w.kind.workerCount == 0 { // no rounding is left behind
		w.kind.weightSum = 0
	}
	if w.ringNode != nil {
		w.kind.ring.Ring.Remove(w.ringNode)
	}
	w.ringNode = nil
}

// updateMeanWeight takes the mean size after the list or an answer has changed one.
func (c *Scheduler) updateMeanWeight() {
	c.meanWeight = 0
	for _, k := range c.orderedKinds {
		c.meanWeight += k.weightSum / k.slowness / float64(max(1, c.members.Len()))
	}
}

// updateCounters brings the counts of the fleet up to date after something of a worker has changed that they depend on, and has it
// looked at again when time alone changes them.
func (c *Scheduler) updateCounters(w *worker, now time.Duration) {
	if !w.memberSlot.In() { // another one has its name by now
		return
	}
	t, until := c.countersOf(w, now)
	c.counters.replace(w.counters, t)
	w.counters = t
	if until < math.MaxInt64 {
		c.deadlines.Set(&w.countersDeadline, until)
	} else {
		c.deadlines.Clear(&w.countersDeadline)
	}
	if working := len(w.attempts) > 0; working && !w.busySlot.In() {
		c.busy.Add(w, &w.busySlot)
	} else if !working {
		c.busy.Remove(&w.busySlot)
	}
}

// expireDeadlines counts anew the workers of which time alone has changed something.
func (c *Scheduler) expireDeadlines(now time.Duration) {
	if c.countersStale {
		c.countersStale = false
		for _, w := range c.members.All() {
			c.updateCounters(w, now)
		}
	}
	for {
		w, found := c.deadlines.PopExpired(now)
		if !found {
			return
		}
		c.updateCounters(w, now)
	}
}

// functionFor is what is known of a request's function, from now on if not before.
func (c *Scheduler) functionFor(e *Request, now time.Duration) *function {
	f := c.functions[e.Function]
	if f == nil {
		if len(c.functions) >= 2*c.functionsAfterCleanup+functionSamples { // functions long idle are forgotten
			maps.DeleteFunc(c.functions, func(_ uint64, g *function) bool {
				c.expireAssumptions(g, now)
				return len(g.replicaSets)+len(g.queue) == 0 && g.arrivals.UpperSum(now) == 0
			})
			c.functionsAfterCleanup = len(c.functions)
		}
		f = &function{id: e.Function, tenant: e.Tenant, arrivals: window.New(4 * trafficWindow)}
		c.functions[e.Function] = f
	}
	if f.tenant != e.Tenant { // it serves many: a rejection says nothing of one of them
		f.tenant = ""
	}
	return f
}
