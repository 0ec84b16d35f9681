package choice

import (
	"math"
	"slices"
	"strings"
	"time"

	"lupinpond/internal/chance"
)

// update takes one line of the list.
func (c *Chooser) update(l Listing, now time.Duration) {
	w := c.workers[l.Worker]
	if w != nil && l.Started != w.Started { // a worker that starts anew is empty and cold: another one
		c.forget(w)
		w = nil
	}
	if w == nil && l.Condition == Gone {
		return
	}
	if w == nil {
		w = c.join(l.Worker, now)
	}
	w.update = c.updates
	if w.kind != nil && w.Listing == l && w.listed {
		return
	}
	c.leaveKind(w)
	w.Listing, w.listed = l, true
	c.joinKind(w)
	if l.Condition == Gone {
		c.unlist(w, now)
	}
	c.touch(w, now)
}

// Members gives the workers on the list, in the order of their names.
func (c *Chooser) Members() []Listing {
	var listed []Listing
	for _, w := range c.members.All() {
		if w.listed {
			listed = append(listed, w.Listing)
		}
	}
	slices.SortFunc(listed, func(a, b Listing) int { return strings.Compare(a.Worker, b.Worker) })
	return listed
}

// join makes a worker a member of the fleet.
func (c *Chooser) join(name string, now time.Duration) *worker {
	w := &worker{hash: chance.Hash(name), limited: c.limits(firstLimit, leastLimit),
		coldLast: now, coldPart: float64(c.chance.Below(1000)) / 1000}
	w.deadline.Member = w
	c.workers[name] = w
	c.members.Add(w, &w.member)
	return w
}

// unlist takes a worker off the list. It stays a member while attempts there are under way.
func (c *Chooser) unlist(w *worker, now time.Duration) {
	if !w.listed {
		return
	}
	c.leaveKind(w)
	w.listed = false
	c.joinKind(w)
	c.leaving = append(c.leaving, w)
	c.touch(w, now)
}

// forgetLeaving forgets those off the list at which nothing is under way.
func (c *Chooser) forgetLeaving() {
	c.leaving = slices.DeleteFunc(c.leaving, func(w *worker) bool {
		over := !w.listed && len(w.out) == 0
		if over && w.member.In() {
			c.forget(w)
		}
		return over || w.listed || !w.member.In()
	})
}

// forget takes a member out of all that is counted.
func (c *Chooser) forget(w *worker) {
	c.leaveKind(w)
	c.tally.replace(w.tally, tally{})
	c.deadlines.Clear(&w.deadline)
	c.busy.Remove(&w.working)
	c.members.Remove(&w.member)
	w.listed = false
	delete(c.workers, w.Worker)
}

// joinKind counts a member among those of its kind. Those that may get something new are in the shared order.
func (c *Chooser) joinKind(w *worker) {
	w.kind = c.kindOf(w.Kind)
	w.kind.told, w.kind.number = w.kind.told+w.toldSize(), w.kind.number+1
	if w.open() {
		w.node = w.kind.ring.Ring.Add(w, w.hash)
	}
}

func (c *Chooser) leaveKind(w *worker) {
	if w.kind == nil {
		return
	}
	w.kind.told, w.kind.number = w.kind.told-w.toldSize(), w.kind.number-1
	if w.kind.number == 0 { // no rounding is left behind
		w.kind.told = 0
	}
	if w.node != nil {
		w.kind.ring.Ring.Remove(w.node)
	}
	w.node = nil
}

// measure takes the mean size after the list or an answer has changed one.
func (c *Chooser) measure() {
	c.meanSize = 0
	for _, k := range c.kindList {
		c.meanSize += k.told / k.takes / float64(max(1, c.members.Len()))
	}
}

// touch brings the counts of the fleet up to date after something of a worker has changed that they depend on, and has it
// looked at again when time alone changes them.
func (c *Chooser) touch(w *worker, now time.Duration) {
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
	if working := len(w.out) > 0; working && !w.working.In() {
		c.busy.Add(w, &w.working)
	} else if !working {
		c.busy.Remove(&w.working)
	}
}

// expire counts anew the workers of which time alone has changed something.
func (c *Chooser) expire(now time.Duration) {
	if c.stale {
		c.stale = false
		for _, w := range c.members.All() {
			c.touch(w, now)
		}
	}
	for {
		w, found := c.deadlines.Expired(now)
		if !found {
			return
		}
		c.touch(w, now)
	}
}
