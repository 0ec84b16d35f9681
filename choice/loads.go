package choice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (f *function) usualLoad() time.Duration { return cmp.Or(f.load, f.typ.Target) }

// refresh lets beliefs expire and forgets standings without any.
func (c *Chooser) refresh(f *function, now time.Duration) {
	f.stands = slices.DeleteFunc(f.stands, func(s *standing) bool {
		if now > s.until && s.busy == 0 {
			s.copies = 0
		}
		if now > s.loadEnd {
			s.loading = 0
		}
		return s.copies == 0 && s.loading == 0 && s.busy == 0 && now >= s.shut
	})
}

func (c *Chooser) tick(f *function) time.Duration {
	return max(part(tickShare, f.typ.Target), c.quantum, 1)
}

// provision is the four-condition rule. It advances only for a queue that is not empty or after arrivals.
func (c *Chooser) provision(f *function, now time.Duration, st *Steps) time.Duration {
	if len(f.queue) == 0 {
		return math.MaxInt64
	} else if now < f.next {
		return f.next
	}
	have, under, short, queued := 0, 0, 0, len(f.queue)
	for _, s := range f.stands { // what stands at a worker that can't be used is no instance
		if c.usable(s.w, now) && !s.w.mute(now) && now >= max(s.shut, s.w.refuses[f.tenant].until) {
			have, under = have+s.copies, under+s.loading
		}
	}
	total := have + under
	// a lane runs one event at least, however long answers take against the tick
	power := max(1, float64(c.tick(f))/float64(f.mean())) * float64(f.lanes)
	required := int(math.Ceil(float64(queued) / power))
	switch {
	case total == 0:
		short = 1
	case have == 0:
		in := max(1, float64(f.typ.Target)/float64(f.mean())) * float64(f.lanes)
		short = int(math.Ceil(float64(f.arrived)/in)) - under
	case total < queued && f.arrived < queued:
		short = required - under
	case float64(f.arrived) >= power*float64(total):
		short = required - total
	}
	if f.next = now + c.tick(f); have > 0 {
		f.arrived = 0 // during first loads arrivals add up
	}
	for range min(short, queued) {
		if !c.load(f, total == 0, now, st) {
			break
		}
		total++
	}
	return f.next
}

// load orders one copy; where no order may be given the oldest event goes there itself to bring it.
func (c *Chooser) load(f *function, first bool, now time.Duration, st *Steps) bool {
	if !first && c.jam || float64(c.loadsOut) >= c.loads.limit {
		return false
	}
	w := c.target(f, first, now)
	if w == nil {
		return false
	}
	c.known(w, now)
	s := f.at(w)
	if c.orders && c.allowed(now) && s.copies+s.loading < 16 {
		s.loading++
		s.loadEnd = now + min(part(loadPatience*max(1, c.crowded), f.usualLoad()), c.orderLimit)
		c.ordered.Add(now, 1)
		c.loadsOut++
		st.Orders = append(st.Orders, Order{Worker: w.Worker, Function: f.id, Copies: s.copies + s.loading})
		return true
	}
	if !first || !c.loadsOnMiss && c.orders || len(f.queue) == 0 || !c.mayGo(f.queue[0], w, now) ||
		!c.coldRoom(w, f.queue[0], now) {
		return false
	}
	e := f.queue[0]
	f.queue = f.queue[1:]
	st.Answers = append(st.Answers, c.launch(e, s, true, now))
	return true
}

// allowed keeps load orders rationed (rule 5), this one included, counted to the safe side.
func (c *Chooser) allowed(now time.Duration) bool {
	return !c.rationed || c.ordered.All(now)+1 <= c.orderFree+c.orderShare*c.taken.Inner(now)
}

// Loaded takes the answer to a load order.
func (c *Chooser) Loaded(now time.Duration, o Order, r Result, took time.Duration) {
	w, f := c.workers[o.Worker], c.fns[o.Function]
	if c.loadsOut--; w == nil || f == nil {
		return
	}
	usual := f.usualLoad()
	if r != Handled {
		took = max(took, part(loadPatience, usual))
	}
	if took > usual/4 { // else the copies stood; a crowded store or memory shows in loads that fail or take long
		c.follow(&c.loads, now, took, slowLoad*float64(usual), c.loadsOut, 1)
		c.crowded += (float64(took)/float64(usual) - c.crowded) / averaged
	}
	s := f.at(w)
	if s.loading = max(0, s.loading-1); r == Handled || r == Full || r == Failed { // else nothing was heard
		s.copies, s.until = o.Copies, now+c.keep
	}
	if r == Full {
		s.shut = now + usual
	} else if r == Unreached || r == Broken {
		c.fail(w, now)
	}
}
