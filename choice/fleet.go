package choice

import (
	"math"
	"time"
)

// Listed takes news of the list; where it is whole, workers that it does not name are gone. An update costs its
// own size.
func (c *Chooser) Listed(now time.Duration, whole bool, news []Listing) {
	c.updates++
	for _, l := range news {
		l.Size = believable(l.Size, mostSize)
		c.update(l, now)
	}
	if whole {
		for _, w := range c.members.All() {
			if w.update != c.updates {
				c.unlist(w, now)
			}
		}
	}
	c.forgetLeaving()
	c.measure()
	if c.all.limit == 0 {
		c.all = c.limits(firstLimit*float64(c.members.Len()), leastAll)
		c.loads = c.limits(firstLimit*float64(c.peers), leastLimit)
	}
	if c.askAt > 0 { // the list of the start is no answer
		c.askAt = math.MaxInt64
	}
}

// assess tells what a worker counts for now, and until when that holds if nothing happens.
func (c *Chooser) assess(w *worker, now time.Duration) (t tally, until time.Duration) {
	until = math.MaxInt64
	before := func(deadline time.Duration) bool {
		if now < deadline {
			until = min(until, deadline)
		}
		return now < deadline
	}
	barred, backed := before(w.barred), before(w.backed)
	room := w.open() && float64(len(w.out)) < w.limit && !backed
	t.count(inUse, w.open())
	t.count(ejected, barred || w.trial)
	t.count(freeOfAny, room)
	t.count(free, room && !barred && (!w.trial || len(w.out) == 0))
	if w.toldAt > 0 && before(w.toldAt+2*c.longest) {
		t.count(reported, true)
		t.count(idle, w.waiting <= float64(len(w.out)))
	}
	if !w.trial { // what is out for long waits there: its work is still to do
		t[inFlight] = int32(len(w.out))
	}
	return t, until
}

// survey tells attempts in flight, whether ejections are believed, and whether few workers have room: a jam.
func (c *Chooser) survey(now time.Duration) {
	c.expire(now)
	t := &c.tally
	c.inFlight, c.rounding = int(t[inFlight]), float64(c.chance.Below(1000))/1000
	withRoom := t[free]
	if c.unbelieved {
		withRoom = t[freeOfAny]
	}
	c.unbelieved = float64(t[ejected]) > believed*float64(t[inUse])
	c.jam = c.full() || float64(withRoom) < crowdedShare*float64(max(t[inUse], 1)) ||
		t[reported] >= enoughTold && float64(t[idle]) < crowdedShare*float64(t[reported])
}

// usable: not drained nor gone (rule 3), nor barred unless most are, which must not leave us without any.
func (c *Chooser) usable(w *worker, now time.Duration) bool {
	return w.listed && w.Condition == In && (now >= w.barred && (!w.trial || len(w.out) == 0) || c.unbelieved)
}

func (c *Chooser) room(w *worker, now time.Duration) bool {
	return c.usable(w, now) && float64(len(w.out)) < w.limit
}

// full rounds the limit by chance: a front end among many has less than one launch of the fleet's to itself.
func (c *Chooser) full() bool { return float64(c.inFlight)+c.rounding >= c.all.limit }

// fail counts a failure; enough in a row bar the worker, longer each time.
func (c *Chooser) fail(w *worker, now time.Duration) {
	w.row++
	if (w.row >= rowBar || w.trial) && now >= w.barred {
		w.barFor = min(max(2*w.barFor, c.longest), barMost*c.longest)
		w.barred = now + w.barFor + time.Duration(c.chance.Below(int(w.barFor/2)))
		w.trial, w.limit = true, leastLimit
		c.recall = append(c.recall, w.out...)
		c.touch(w, now)
	}
}

// silent bars a worker from which nothing comes; each launch that waits adds to the silence.
func (c *Chooser) silent(now time.Duration) {
	for _, w := range c.busy.All() {
		silence := 0.0
		for _, e := range w.out {
			usual := float64(max(e.typ.mean, e.typ.Target/10)) / c.share(w, now)
			silence += float64(now-max(e.sent, w.lastGood)) / usual
		}
		if silence > overdue && now >= w.barred && !w.trial {
			w.row = rowBar
			c.fail(w, now)
		}
	}
}

// known tells whether a load was reported lately; else, with fewer workers than front ends, it probes.
func (c *Chooser) known(w *worker, now time.Duration) bool {
	if !c.probing || c.peers <= c.members.Len() || now < w.toldAt+part(backedShare, c.longest) {
		return true
	}
	if !w.probed {
		w.probed, w.probedAt = true, now
		c.probes = append(c.probes, w.Worker)
	}
	return now >= w.probedAt+firstLatency
}

// behind tells of a worker that comes last: others' events wait there, it answered late, or it is mute.
func (w *worker) behind(now time.Duration) bool { return now < max(w.backed, w.late) || w.mute(now) }

// mute tells of a probe unanswered: what is loading there may never be heard of.
func (w *worker) mute(now time.Duration) bool {
	return w.deaf || w.probed && now >= w.probedAt+firstLatency
}

func (c *Chooser) Probed(now time.Duration, name string, r Result, l Load, took time.Duration) {
	if w := c.workers[name]; w != nil {
		w.probed = false
		if r == Handled {
			l.Waiting, l.Told = believable(l.Waiting, mostSize)+c.crowd(w, took), true
		}
		c.told(w, l, now)
		switch w.deaf = r != Handled && r != Full; r {
		case Full: // so many ask that it takes no more probes: it lives, and events wait there
			w.toldAt, w.backed, w.waiting = now, now+part(backedShare, c.longest), max(1, w.waiting)
			c.touch(w, now)
		case Unreached:
			c.fail(w, now)
		}
	}
}

// told takes a load report that can be believed, and says whether it was one. Where more events wait than
// ours, others take the lanes; ours obey the limit.
func (c *Chooser) told(w *worker, l Load, now time.Duration) bool {
	if !l.Told || !(l.Waiting >= 0 && l.Waiting < mostSize) {
		return false
	}
	w.toldAt, w.backed, w.waiting = now, 0, l.Waiting
	if w.waiting > float64(len(w.out)) {
		w.backed = now + part(backedShare, c.longest)
	}
	c.touch(w, now)
	return true
}

// crowd is how crowded a worker is by a probe's time, in events that wait there: what it took over the
// shortest of its zone, against the mean of that. It is fresh where reports are late, and stands in for them.
// Where it hardly varies, probes are answered beside the queue and tell nothing.
func (c *Chooser) crowd(w *worker, took time.Duration) float64 {
	z := c.echoes[w.Zone]
	if z == nil {
		z = &echoes{least: took}
		c.echoes[w.Zone] = z
	}
	z.least = min(z.least, took)
	over := min(float64(took)/float64(max(1, z.least))-1, echoMost)
	if z.over += (over - z.over) / averaged; z.over < deepOver {
		return 0
	}
	return echoWeight * max(0, over/z.over-1)
}

// ListFailed says that asking for the list failed: ask again a little later, each front end at its own time.
func (c *Chooser) ListFailed(now time.Duration) {
	c.askAt = now + c.askWait/2 + time.Duration(c.chance.Below(int(c.askWait)))
}
