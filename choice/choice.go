// Package choice decides for one front end where events go. It is asked and it answers, three ways:
//
//	Place: where to send this event (or not yet, or never)
//	After: what to do after this outcome
//	Wait:  what is due now (releases, load orders, probes, final answers) and how long to wait then
//
// Facts are fed in between: Listed, ListFailed, Probed, Loaded, Left. Plain types stand in types.go.
// The caller keeps the timers and the events in hand; time is any clock of whole nanoseconds.
// The design (docs/design.md): a queue per function, released oldest first to a believed-warm free lane;
// a four-condition rule each tick that orders loads on random workers; surplus copies starve.
// Beside it stand six mechanisms:
//  1. failures in a row bar a worker, one event on trial brings it back (fail, silent, usable)
//  2. in-flight limits, of each worker and of all, follow the answer times (pace, follow)
//  3. waiting events, reported or by the time of a probe, put a worker last (told, known)
//  4. in a jam, what can't make its target time or is beyond its tenant's share is deferred, and so are a
//     tenant's repeats beyond a part of its first tries; a tenant refused is served elsewhere (Place, serve)
//  5. cold workers get a small part of a warm one's work (coldPause)
//  6. the loads under way follow what comes of them (Loaded, load)
//
// What differs among workers and deployments is told or learned: sizes of kinds (measure, pace), how crowded
// a worker is by the time of a probe (crowd), what events ahead cost (fits, pace), where memory ends (count).
package choice

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lupinpond/internal/window"
)

// Tuned values: shares and multiples of what the settings or the events say.
const (
	tickShare, overflowShare  = 0.2, 0.25 // a function's tick and its overflow wait, of the target time
	averaged, typeAveraged    = 10, 100   // answers in a function's average and in an event type's
	firstLatency, freshSpan   = 10 * time.Millisecond, 5 * time.Second
	firstShare, stuckAfter    = 0.125, 4   // first mean answer time, of the target; most that one answer counts
	rowBar, barMost           = 4, 8       // failures in a row that bar; longest bar in longest target times
	overdue, believed         = 18.0, 0.5  // silence that bars, in mean answer times; most that can be bad
	firstLimit, leastLimit    = 16.0, 2.0  // in-flight limit of a worker for all front ends, the least for each
	leastAll                  = 0.5        // the least of all workers
	tolerance, enoughShare    = 1.1, 0.5   // answers may take so many shortest ones, or so much of the target
	growth, shortLasts        = 0.1, 20000 // least part for growth; answers that grow the shortest time e times
	aloneShare                = 0.2        // of the target, where no event waits at the worker
	loadPatience, slowLoad    = 4.0, 2.0   // usual loads after which an order is lost; that tell a crowded store
	coldSafety, coldChance    = 0.9, 1.0   // part of the cold budget that is used, less so many errors of chance
	manyShare, fullFall       = 0.75, 0.9  // of its limit in flight: the next; what a refusal leaves of it
	spread, leastSpread       = 8.0, 1.0   // workers for first copies, over those that a function fills
	atFirst, startAs          = 5.0, 30.0  // functions and events that stand for what is not seen yet
	mostSize, mostMemory      = 1e5, 1e15  // more is not believed
	copyShare                 = 0.5        // of all memory, for first copies
	crowdedShare, enoughTold  = 0.5, 3     // fewer workers with room, of all or of so many heard of: a jam
	repeatsFree, repeatShare  = 1.0, 0.05  // marked repeats of a tenant that are taken, and for each first try
	aheadKept                 = 0.95       // of what was seen of the events ahead, by the next
	nearness                  = 3.0        // a worker of another zone is as far as one so much smaller
	echoWeight, echoMost      = 4.0, 8.0   // waiting events for a probe's excess over the mean one; most excess
	deepOver                  = 0.25       // mean excess of probes over the shortest that is not the network's
	backedShare               = 0.5        // a report is believed for so much of the longest target time
	shareChance               = 1.0        // errors of chance by which a tenant may be beyond its share
	refusedShare, refusedMost = 0.125, 6   // a refused tenant stays away so much of the target, doubled so often
	pointsOfFunction          = 64         // on the circle of the shared order: an even one needs many
	mostDraws, passedFor      = 64, 4      // workers looked at for one that accepts, and for each that is wanted
)

func (f *function) mean() time.Duration { return max(1, f.past.Mean(firstLatency)) }

func (c *Chooser) expected(f *function) time.Duration { return max(f.mean(), f.typ.mean/2) }

// Place answers where to send an event that has just come.
func (c *Chooser) Place(now time.Duration, e *Event) Answer {
	t := c.types[e.Type]
	if t == nil { // a type that the settings did not name: nothing is known to be safe
		c.AddType(EventType{Name: e.Type, Effect: AtMostOnce, Target: e.Patience})
		t = c.types[e.Type]
	}
	c.survey(now)
	f := c.fns[e.Function]
	if f == nil {
		if len(c.fns) >= 2*c.kept+averaged { // functions long idle are forgotten
			maps.DeleteFunc(c.fns, func(_ uint64, g *function) bool {
				c.refresh(g, now)
				return len(g.stands)+len(g.queue) == 0 && g.came.All(now) == 0
			})
			c.kept = len(c.fns)
		}
		f = &function{id: e.Function, tenant: e.Tenant, came: window.New(4 * freshSpan)}
		c.fns[e.Function] = f
	}
	if f.tenant != e.Tenant { // it serves many: a refusal says nothing of one of them
		f.tenant = ""
	}
	f.typ, f.lanes, f.memory = t, max(1, e.Lanes), believable(e.Memory, mostMemory)
	f.load = min(max(0, e.LoadTime), time.Hour)
	t.patience = max(t.patience, e.Patience)
	e.typ, e.fn, e.came, e.ends = t, f, now, now+e.Patience
	e.due = now + t.Target - (t.patience - e.Patience) // less patience than the most seen is age
	f.came.Add(now, 1)
	c.came.Add(now, 1)
	if now >= c.countAt {
		c.count(now)
	}
	if now >= f.next && len(f.queue) == 0 && len(f.stands) > 0 { // a tick without a queue advances too
		f.next, f.arrived = now+c.tick(f), 0
		if c.homes(f, now) > 1 {
			c.grown = append(c.grown, f)
		}
	}
	f.arrived++
	if c.taken.Add(now, 1); !e.Repeat {
		c.fresh.Add(now, 1)
	}
	if n := c.tenants[e.Tenant]; n != nil {
		within := n.quota * c.portion(now) * freshSpan.Seconds() // few come here: more than chance is over
		if e.over = n.came.All(now) >= within+max(1, shareChance*math.Sqrt(within)); !e.over {
			n.came.Add(now, 1)
		}
		if e.Repeat && n.again.All(now) >= repeatsFree+repeatShare*c.fresh.All(now) {
			return c.give(e, now)
		} else if e.Repeat {
			n.again.Add(now, 1)
		}
	}
	if e.over && c.jam {
		return c.give(e, now)
	}
	if len(f.queue) == 0 {
		c.refresh(f, now)
		if s := c.warm(f, e, false, now); s != nil && now < s.w.backed {
			c.grown = append(c.grown, f)
		} else if s != nil && c.known(s.w, now) {
			return c.launch(e, s, false, now)
		}
	}
	return c.hold(e)
}

func (c *Chooser) hold(e *Event) Answer {
	f := e.fn
	i, _ := slices.BinarySearchFunc(f.queue, e.came+1, func(x *Event, t time.Duration) int {
		return cmp.Compare(x.came, t)
	})
	f.queue = slices.Insert(f.queue, i, e)
	if !f.active {
		f.active = true
		c.active = append(c.active, f)
	}
	return Answer{Event: e, Verb: Hold}
}

// spent tells that an event may have run and must not run again, wherever.
func (c *Chooser) spent(e *Event, now time.Duration) bool {
	late := e.typ.Effect == Keyed && now+c.quantum >= e.riskAt+e.typ.Window
	return e.risk != nil && (late || e.typ.Effect == AtMostOnce)
}

// mayGo keeps effects from happening twice (rule 2): an event that may have run goes again only as its type
// allows, a keyed one inside its group and window.
func (c *Chooser) mayGo(e *Event, w *worker, now time.Duration) bool {
	return !c.spent(e, now) && (e.risk == nil || e.typ.anywhere() ||
		w.Zone == e.risk.Zone && (e.typ.Group == GroupZone || w.Cell == e.risk.Cell))
}

func (c *Chooser) weigh(e *Event) float64 { return float64(max(e.typ.mean, firstLatency)) }

func (t *evtType) anywhere() bool {
	return t.Effect == Redeliverable || t.Effect == Keyed && t.Group == GroupAll
}

func (c *Chooser) launch(e *Event, s *standing, cold bool, now time.Duration) Answer {
	e.cold, e.sent, e.out, e.avoid = cold, now, s, nil
	e.launches, s.busy, e.ahead = e.launches+1, s.busy+1, s.w.waits(now)
	s.w.out = append(s.w.out, e)
	c.inFlight++
	c.touch(s.w, now)
	s.w.coldLast, s.w.coldPart = now, 1
	if cold {
		s.loading = max(s.loading, 1)
		s.loadEnd = now + part(loadPatience, e.fn.usualLoad())
	}
	return Answer{Event: e, Verb: Launch, Worker: s.w.Worker}
}

// give ends an event as its type allows: deferred where another try is harmless, else dead-lettered.
func (c *Chooser) give(e *Event, now time.Duration) Answer {
	e.ended = true
	if c.spent(e, now) || e.risk != nil && !e.typ.anywhere() {
		return Answer{Event: e, Verb: DeadLetter}
	}
	back := min(c.mostBack, e.typ.Target/2)
	return Answer{Event: e, Verb: Defer, Back: back/2 + time.Duration(c.chance.Below(int(back/2)+1))}
}

// After answers what to do after the outcome of a launch.
func (c *Chooser) After(now time.Duration, e *Event, o Outcome) Answer {
	s, f := e.out, e.fn
	if s == nil {
		return Answer{Event: e, Verb: Nothing}
	}
	w := s.w
	c.survey(now)
	told := c.told(w, o.Load, now)
	if o.Took >= e.typ.Target && len(w.out) == 1 {
		w.late = now + c.longest
	}
	e.out, s.busy = nil, s.busy-1
	w.out = slices.DeleteFunc(w.out, func(x *Event) bool { return x == e })
	defer c.touch(w, now)
	switch o.Result {
	case Handled:
		c.work.Add(now, c.weigh(e))
		w.row, w.lastGood, w.barFor, w.trial, w.barred, w.deaf = 0, now, 0, false, 0, false
		s.copies, s.until = max(1, s.copies), now+c.keep
		delete(w.refuses, e.Tenant)
		if o.Warmth == FoundWarm || o.Warmth == Untold && !e.cold {
			f.past.Add(o.Took, averaged)
			c.pace(w, e, o.Took, now)
		}
	case Full: // whatever the reason, a tenant refused again and again is served elsewhere; others stay
		r := refusal{row: min(w.refuses[e.Tenant].row+1, refusedMost)}
		s.shut = now + part(refusedShare, f.typ.Target)<<r.row
		w.limit = max(leastLimit, w.limit*fullFall)
		if f.tenant != "" && told && o.Load.Waiting < 1 { // it has room
			r.until = s.shut
		}
		w.refuse(e.Tenant, r)
	case Unreached, Broken: // a process that died comes back with a new start; a broken line does not
		c.fail(w, now)
	case TimedOut:
		if c.pace(w, e, o.Took, now); e.sent >= w.lastGood {
			c.fail(w, now)
		}
	case Failed, Missing:
		if s.copies = 0; o.Result == Failed && o.Warmth != LoadFailed {
			c.fail(w, now)
		}
	}
	if e.risk == nil && slices.Contains([]Result{Failed, TimedOut, Broken, Withdrawn}, o.Result) {
		e.risk, e.riskAt = w, e.sent // it may have run
	}
	if o.Final || e.ended {
		e.ended = true
		return Answer{Event: e, Verb: Nothing}
	}
	e.avoid = w
	if o.Result == TooLate || e.launches >= c.mostLaunches || now+c.lastCall(e) >= e.ends || c.spent(e, now) {
		return c.give(e, now)
	}
	return c.hold(e)
}

// lastCall is how long before the client gives up an event is given up: an answer is not to be had then.
func (c *Chooser) lastCall(e *Event) time.Duration {
	return max(2*c.quantum, min(2*c.expected(e.fn), e.Patience/2))
}

// Wait answers what is due now, and how long to wait until something else is.
func (c *Chooser) Wait(now time.Duration) Steps {
	var st Steps
	if now >= c.askAt {
		st.Ask, c.askAt = true, now+8*c.askWait
	}
	c.survey(now)
	c.silent(now)
	for _, e := range c.recall {
		if c.cancel && e.out != nil && !e.ended && e.typ.anywhere() && e.launches < c.mostLaunches &&
			now+c.lastCall(e) < e.ends {
			st.Answers = append(st.Answers, Answer{Event: e, Verb: Withdraw, Launch: e.launches - 1})
		}
	}
	c.recall = c.recall[:0]
	for _, f := range c.active {
		c.refresh(f, now)
		c.serve(f, false, now, &st)
	}
	for _, f := range c.grown {
		w := c.target(f, true, now)
		if w != nil && now >= w.backed && !c.jam && f.at(w).copies+f.at(w).loading == 0 {
			c.load(f, true, now, &st)
		}
	}
	c.grown = c.grown[:0]
	wake := c.askAt
	for _, f := range c.active {
		wake = min(wake, c.serve(f, true, now, &st), c.provision(f, now, &st))
	}
	c.active = slices.DeleteFunc(c.active, func(f *function) bool {
		f.active = len(f.queue) > 0
		return !f.active
	})
	st.Probes, c.probes = c.probes, nil
	if c.busy.Len() > 0 {
		wake = min(wake, now+c.longest/8) // to notice silence
	}
	if wake < math.MaxInt64 {
		st.Next = max(wake-now, c.quantum, time.Microsecond)
	}
	return st
}

// serve releases a function's held events, oldest first, and gives up those past hope (rule 1: in time).
// Those that can't make their target time come after all that can: old must not make young late.
func (c *Chooser) serve(f *function, late bool, now time.Duration, st *Steps) time.Duration {
	wake := time.Duration(math.MaxInt64)
	kept := f.queue[:0]
	for _, e := range f.queue {
		if e.ended {
			continue
		}
		var s *standing
		last := e.ends - c.lastCall(e)
		give := now >= last || c.spent(e, now)
		if !give && late == (now+c.expected(f) > e.due) {
			s = c.warm(f, e, false, now) // where events wait, a copy elsewhere may be heard of in a moment
			if s != nil && (!c.known(s.w, now) || now < min(s.w.backed, e.came+firstLatency)) {
				s, wake = nil, min(wake, now+firstLatency)
			} else if s == nil && now >= e.came+part(overflowShare, e.typ.Target) {
				s = c.warm(f, e, true, now)
				give = s == nil && e.risk == nil && (late || e.over) && c.jam
			}
		}
		if give {
			st.Answers = append(st.Answers, c.give(e, now))
		} else if s != nil {
			st.Answers = append(st.Answers, c.launch(e, s, false, now))
		} else {
			kept, wake = append(kept, e), min(wake, last)
		}
	}
	f.queue = kept
	return wake
}
