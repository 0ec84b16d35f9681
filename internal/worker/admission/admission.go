// Package admission decides for one worker what it takes, which copy runs what, when another copy is loaded and which one
// gives way. It is asked and it answers; it does no I/O, reads no clock and starts nothing:
//
//	Take:  is this call taken, or refused as full or missing
//	Order: a front end asks for copies
//	Due:   what to start now (runs, loads, unloads), what has waited too long, and when to ask again
//
// Facts are fed in between: Publish, Loaded, Ended, Dropped, Gone, Unloaded. Memory is reserved from the moment a load
// is decided until its copy is told to be unloaded, so that what is reserved never passes the budget. No busy copy is
// ever unloaded: one that must give way takes nothing new and goes when it is idle.
package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Ratios. Loads and runs are averaged over the last few.
const (
	averaged     = 8           // in a function's mean run and load
	firstLoad    = time.Second // taken for a load before one was seen
	firstRun     = 20 * time.Millisecond
	crowdedShare = 0.5 // of the calls that may wait: beyond it tenants are held to their part
	starveLoads  = 1.0 // usual loads that a call without any copy waits before others must give way
)

// Limits are what a worker has.
type Limits struct {
	Memory  int64         // bytes for all copies
	Running int           // calls at a time
	Waiting int           // calls that wait
	Loads   int           // at a time
	Keep    time.Duration // an idle copy stays so long
	OnMiss  bool          // a call for a function without a copy has it loaded
}

// Function is a package as admission sees it.
type Function struct {
	Name    string
	Version string
	Lanes   int   // calls that one copy runs at a time
	Memory  int64 // reserved for a copy
}

// Call is one launch of an event.
type Call struct {
	ID       uint64
	Function string
	Tenant   string
	Ends     time.Duration // not begun by then, it is refused
}

// Refusal says why a call is not taken, or not begun.
type Refusal int

// The refusals.
const (
	Taken   Refusal = iota
	Full            // too much waits, of all or of this tenant
	Missing         // no such function, or nothing is loaded and nothing loads on a miss
	TooBig          // its copy would not fit into an empty worker
	Late            // it waited until its client's time was up
	NoLoad          // its function's load failed
)

// Run starts a call on a copy.
type Run struct{ Call, Copy uint64 }

// Load brings up a copy.
type Load struct {
	Copy     uint64
	Function Function
}

// Over is a call that was taken and is not begun.
type Over struct {
	Call uint64
	Why  Refusal
}

// Steps is what is due at one moment.
type Steps struct {
	Runs    []Run
	Loads   []Load
	Unloads []uint64
	Over    []Over
	Next    time.Duration // how long to wait at the most; 0: until a fact comes
}

// Counts are what stands of a function.
type Counts struct{ Loading, Warm, Busy, Held, Waiting, Asked int }

type copyState int

const (
	loading copyState = iota
	warm
	unloading
)

type held struct {
	id      uint64
	fn      *function
	f       Function // of its version
	state   copyState
	calls   int           // that run on it
	idle    time.Duration // since
	began   time.Duration // of the load
	order   bool          // loaded by an order, and no call has run on it yet
	leaving bool          // takes nothing new
}

type waiting struct {
	Call
	came time.Duration
}

type function struct {
	Function
	queue  []waiting
	copies []*held
	load   time.Duration // mean
	run    time.Duration
	asked  int     // copies still to be loaded by orders
	served float64 // virtual time of its runs
}

type tenant struct {
	served float64 // virtual time of its runs
	wait   int
	run    int
}

type running struct {
	copy   *held
	tenant string
	began  time.Duration
}

// Room is one worker's admission.
type Room struct {
	limits   Limits
	fns      map[string]*function
	copies   map[uint64]*held
	calls    map[uint64]running // that run
	tenants  map[string]*tenant
	reserved int64
	waits    int
	loads    int
	next     uint64
	over     []Over
}

// New makes an empty Room.
func New(l Limits) *Room {
	l.Running, l.Waiting, l.Loads = max(1, l.Running), max(1, l.Waiting), max(1, l.Loads)
	return &Room{limits: l, fns: map[string]*function{}, copies: map[uint64]*held{}, calls: map[uint64]running{},
		tenants: map[string]*tenant{}}
}

// Publish tells of a function or a new version of one. Copies of the old version finish what they run and take nothing.
func (r *Room) Publish(f Function) {
	f.Lanes, f.Memory = max(1, f.Lanes), max(1, f.Memory)
	fn := r.fns[f.Name]
	if fn == nil {
		fn = &function{load: firstLoad, run: firstRun}
		r.fns[f.Name] = fn
	}
	if fn.Version != f.Version {
		for _, c := range fn.copies {
			c.leaving = true
		}
	}
	fn.Function = f
}

// Take takes a call or refuses it.
func (r *Room) Take(now time.Duration, c Call) Refusal {
	fn := r.fns[c.Function]
	switch {
	case fn == nil:
		return Missing
	case fn.Memory > r.limits.Memory:
		return TooBig
	case !r.limits.OnMiss && fn.standing() == 0 && fn.asked == 0:
		return Missing
	case r.waits >= r.limits.Waiting:
		return Full
	}
	t := r.tenants[c.Tenant]
	if t == nil {
		t = &tenant{}
		r.tenants[c.Tenant] = t
	}
	if float64(r.waits) >= crowdedShare*float64(r.limits.Waiting) { // nobody fills the queue for the others
		waiting := 1
		for name, x := range r.tenants {
			if name != c.Tenant && x.wait+x.run > 0 {
				waiting++
			}
		}
		if waiting > 1 && t.wait >= max(1, r.limits.Waiting/waiting) {
			return Full
		}
	}
	if t.wait+t.run == 0 { // one that comes back does not make up for the time that it was away
		t.served = max(t.served, r.least())
	}
	if len(fn.queue) == 0 {
		fn.served = max(fn.served, r.leastOf(c.Tenant))
	}
	t.wait++
	r.waits++
	fn.queue = append(fn.queue, waiting{c, now})
	return Taken
}

// least is the least virtual time of the tenants that have anything here.
func (r *Room) least() float64 {
	least := math.Inf(1)
	for _, t := range r.tenants {
		if t.wait+t.run > 0 {
			least = min(least, t.served)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// leastOf is the least virtual time of the functions with calls of a tenant waiting.
func (r *Room) leastOf(tenant string) float64 {
	least := math.Inf(1)
	for _, f := range r.fns {
		if len(f.queue) > 0 && f.queue[0].Tenant == tenant {
			least = min(least, f.served)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// standing is the number of copies that take calls or will.
func (f *function) standing() int {
	n := 0
	for _, c := range f.copies {
		if !c.leaving && c.state != unloading {
			n++
		}
	}
	return n
}

// Order asks for copies of a function in all; fewer than stand lets idle ones go. It answers how many stand or are to
// be loaded; what finds no room when its turn comes is not loaded.
func (r *Room) Order(_ time.Duration, name string, copies int) (int, Refusal) {
	fn := r.fns[name]
	switch {
	case fn == nil:
		return 0, Missing
	case fn.Memory > r.limits.Memory:
		return 0, TooBig
	}
	copies = min(max(0, copies), int(r.limits.Memory/fn.Memory))
	have := fn.standing()
	fn.asked = max(0, copies-have)
	for _, c := range slices.Clone(fn.copies) { // idle ones first: a busy one goes when it is idle
		if have > copies && c.state == warm && !c.leaving && c.calls == 0 {
			c.leaving = true
			have--
		}
	}
	return have + fn.asked, Taken
}

// Loaded tells how a load ended.
func (r *Room) Loaded(now time.Duration, id uint64, well bool) {
	c := r.copies[id]
	if c == nil || c.state != loading {
		return
	}
	r.loads--
	if !well {
		r.forget(c)
		if c.fn.standing() == 0 { // those that waited for it are told, and come back later
			for _, w := range c.fn.queue {
				r.end(w, NoLoad)
			}
			c.fn.queue = nil
		}
		return
	}
	c.state, c.idle = warm, now
	c.fn.load += (now - c.began - c.fn.load) / averaged
}

func (r *Room) end(w waiting, why Refusal) {
	r.tenants[w.Tenant].wait--
	r.waits--
	r.over = append(r.over, Over{w.ID, why})
}

func (r *Room) forget(c *held) {
	if c.state == unloading || r.copies[c.id] == nil {
		return
	}
	r.reserved -= c.f.Memory
	delete(r.copies, c.id)
	c.fn.copies = slices.DeleteFunc(c.fn.copies, func(x *held) bool { return x == c })
}

// Ended tells that a run is over.
func (r *Room) Ended(now time.Duration, call uint64) {
	x, is := r.calls[call]
	if !is {
		return
	}
	delete(r.calls, call)
	r.tenants[x.tenant].run--
	x.copy.calls--
	x.copy.idle = now
	x.copy.fn.run += (now - x.began - x.copy.fn.run) / averaged
}

// Dropped takes a waiting call back; false if it is not waiting, so that it runs or is over.
func (r *Room) Dropped(name string, call uint64) bool {
	fn := r.fns[name]
	if fn == nil {
		return false
	}
	i := slices.IndexFunc(fn.queue, func(w waiting) bool { return w.ID == call })
	if i < 0 {
		return false
	}
	r.tenants[fn.queue[i].Tenant].wait--
	r.waits--
	fn.queue = slices.Delete(fn.queue, i, i+1)
	return true
}

// Gone tells that a copy has ended by itself or was ended; the calls that ran on it are given back, and may have run.
func (r *Room) Gone(now time.Duration, id uint64) []uint64 {
	c := r.copies[id]
	if c == nil {
		return nil
	}
	var lost []uint64
	for call, x := range r.calls {
		if x.copy == c {
			lost = append(lost, call)
		}
	}
	slices.Sort(lost)
	for _, call := range lost {
		r.Ended(now, call)
	}
	if c.state == loading {
		r.loads--
	}
	if c.state == unloading {
		r.Unloaded(id)
	} else {
		r.forget(c)
	}
	return lost
}

// Unloaded tells that a copy is gone and its memory free.
func (r *Room) Unloaded(id uint64) {
	if c := r.copies[id]; c != nil && c.state == unloading {
		c.state = warm
		r.forget(c)
	}
}

// Reserved is the memory of all copies, those under way included.
func (r *Room) Reserved() int64 { return r.reserved }

// Waiting is the number of calls that wait, Running of those that run.
func (r *Room) Waiting() int { return r.waits }

// Running is the number of calls that run.
func (r *Room) Running() int { return len(r.calls) }

// Of tells what stands of a function.
func (r *Room) Of(name string) Counts {
	var n Counts
	if fn := r.fns[name]; fn != nil {
		n.Waiting, n.Asked = len(fn.queue), fn.asked
		for _, c := range fn.copies {
			switch {
			case c.state == loading:
				n.Loading++
			case c.state == warm:
				if !c.leaving { // one that takes nothing new serves nobody who comes
					n.Warm++
				}
				if c.calls > 0 {
					n.Busy++
				}
				if c.order {
					n.Held++
				}
			}
		}
	}
	return n
}

// Due answers what is due now.
func (r *Room) Due(now time.Duration) Steps {
	var st Steps
	wake := time.Duration(math.MaxInt64)
	names := slices.Sorted(maps.Keys(r.fns))
	for _, name := range names {
		fn := r.fns[name]
		fn.queue = slices.DeleteFunc(fn.queue, func(w waiting) bool {
			if now >= w.Ends {
				r.end(w, Late)
				return true
			}
			wake = min(wake, w.Ends)
			return false
		})
	}
	r.serve(now, names, &st)
	for _, name := range names { // what is idle too long, old or has to give way
		for _, c := range slices.Clone(r.fns[name].copies) {
			if c.state != warm || c.calls > 0 {
				continue
			}
			if c.leaving || now >= c.idle+r.limits.Keep {
				r.unload(c, &st)
			} else {
				wake = min(wake, c.idle+r.limits.Keep)
			}
		}
	}
	wake = min(wake, r.provision(now, names, &st))
	st.Over, r.over = r.over, nil
	if wake < math.MaxInt64 {
		st.Next = max(1, wake-now)
	}
	return st
}

// serve starts what waits on free lanes: the tenant that had least, of its functions the one that had least, oldest first.
func (r *Room) serve(now time.Duration, names []string, st *Steps) {
	for len(r.calls) < r.limits.Running {
		var best *function
		var at *held
		var who *tenant
		for _, name := range names {
			fn := r.fns[name]
			if len(fn.queue) == 0 {
				continue
			}
			c := fn.free()
			if c == nil {
				continue
			}
			t := r.tenants[fn.queue[0].Tenant]
			if best == nil || cmp.Or(cmp.Compare(t.served, who.served), cmp.Compare(fn.served, best.served),
				cmp.Compare(fn.queue[0].came, best.queue[0].came)) < 0 {
				best, at, who = fn, c, t
			}
		}
		if best == nil {
			return
		}
		w := best.queue[0]
		best.queue = best.queue[1:]
		cost := float64(max(best.run, 1))
		who.served += cost
		best.served += cost
		who.wait--
		who.run++
		r.waits--
		at.calls++
		at.order = false
		r.calls[w.ID] = running{at, w.Tenant, now}
		st.Runs = append(st.Runs, Run{w.ID, at.id})
	}
}

// free is the fullest copy with a free lane: the others starve and go.
func (f *function) free() (best *held) {
	for _, c := range f.copies {
		if c.state == warm && !c.leaving && c.calls < c.f.Lanes && (best == nil || c.calls > best.calls) {
			best = c
		}
	}
	return best
}

func (r *Room) unload(c *held, st *Steps) {
	c.state = unloading
	st.Unloads = append(st.Unloads, c.id)
}

// provision decides on loads: the function whose first call has waited longest first, orders after them.
func (r *Room) provision(now time.Duration, names []string, st *Steps) time.Duration {
	wake := time.Duration(math.MaxInt64)
	short := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return len(r.fns[n].queue) == 0 })
	slices.SortStableFunc(short, func(a, b string) int { return cmp.Compare(r.fns[a].queue[0].came, r.fns[b].queue[0].came) })
	for _, name := range short {
		fn := r.fns[name]
		for r.loads < r.limits.Loads && fn.wants(r) {
			if room, _ := r.fit(fn, false, st); !room {
				break
			}
			r.load(fn, false, now, st)
		}
		if fn.standing() > 0 || r.loads >= r.limits.Loads {
			continue
		}
		// without any copy and without room: others give way, at the latest after the time that a load takes
		starved := fn.queue[0].came + time.Duration(starveLoads*float64(fn.load))
		if now < starved {
			wake = min(wake, starved)
		} else {
			r.yield(fn)
		}
	}
	for _, name := range names {
		fn := r.fns[name]
		for fn.asked > 0 && r.loads < r.limits.Loads {
			if room, coming := r.fit(fn, true, st); !room {
				if !coming {
					fn.asked = 0 // what others use is not waited for
				}
				break
			}
			fn.asked--
			r.load(fn, true, now, st)
		}
	}
	return wake
}

// wants tells whether another copy would serve what waits sooner than those that stand.
func (f *function) wants(r *Room) bool {
	under, have := 0, 0
	for _, c := range f.copies {
		switch {
		case c.leaving:
		case c.state == loading:
			under++
		case c.state == warm:
			have++
		}
	}
	queued := len(f.queue)
	switch {
	case have+under == 0:
		return true
	case queued <= under*f.Lanes, f.free() != nil, len(r.calls) >= r.limits.Running:
		return false
	case have == 0:
		return true
	}
	wait := time.Duration(float64(queued) / float64(have*f.Lanes) * float64(f.run))
	return wait > f.load
}

func (r *Room) load(fn *function, order bool, now time.Duration, st *Steps) {
	r.next++
	c := &held{id: r.next, fn: fn, f: fn.Function, began: now, order: order}
	r.copies[c.id] = c
	fn.copies = append(fn.copies, c)
	r.reserved += c.f.Memory
	r.loads++
	st.Loads = append(st.Loads, Load{c.id, fn.Function})
}

// fit finds room for one more copy, or has idle copies go for it: those held by an order that no call has used, the
// oldest first, then the longest idle. An order displaces nothing that calls have used within its keep time. Room that
// is on its way is room later: nothing more goes for it.
func (r *Room) fit(fn *function, order bool, st *Steps) (room, coming bool) {
	if r.reserved+fn.Memory <= r.limits.Memory {
		return true, false
	}
	freed := int64(0)
	var idle []*held
	for _, c := range r.copies {
		switch {
		case c.state == unloading:
			freed += c.f.Memory
		case c.state == warm && c.calls == 0 && c.fn != fn && (c.order || !order) && len(c.fn.queue) == 0:
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *held) int {
		if a.order != b.order {
			if a.order {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.idle, b.idle), cmp.Compare(a.id, b.id))
	})
	need := r.reserved + fn.Memory - r.limits.Memory - freed
	possible := int64(0)
	for _, c := range idle {
		possible += c.f.Memory
	}
	if possible < need {
		return false, false // what would not be enough stays
	}
	for _, c := range idle {
		if need <= 0 {
			break
		}
		need -= c.f.Memory
		r.unload(c, st)
	}
	return false, true
}

// yield has busy copies take nothing new until there will be room: one at a time from the function that holds most.
func (r *Room) yield(fn *function) {
	coming := int64(0)
	for _, c := range r.copies {
		if c.leaving || c.state == unloading {
			coming += c.f.Memory
		}
	}
	for r.reserved+fn.Memory-coming > r.limits.Memory {
		var most *function
		size := int64(0)
		for _, name := range slices.Sorted(maps.Keys(r.fns)) {
			f := r.fns[name]
			holds := int64(0)
			for _, c := range f.copies {
				if c.state == warm && !c.leaving {
					holds += c.f.Memory
				}
			}
			if f != fn && holds > size {
				most, size = f, holds
			}
		}
		if most == nil {
			return // all else is loading: it will be warm, then give way
		}
		var c *held
		for _, x := range most.copies {
			if x.state == warm && !x.leaving && (c == nil || x.calls < c.calls) {
				c = x
			}
		}
		c.leaving = true
		coming += c.f.Memory
	}
}
