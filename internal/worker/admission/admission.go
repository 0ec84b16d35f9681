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
	averageWindow      = 8           // in a function's mean run and load
	initialMeanLoad    = time.Second // taken for a load before one was seen
	initialMeanRun     = 20 * time.Millisecond
	fairShareThreshold = 0.5 // of the calls that may wait: beyond it tenants are held to their part
	starvationLoads    = 1.0 // usual loads that a call without any copy waits before others must give way
)

// Limits are what a worker has.
type Limits struct {
	MemoryBytes int64         // bytes for all copies
	MaxRunning  int           // calls at a time
	MaxWaiting  int           // calls that wait
	MaxLoads    int           // at a time
	IdleTimeout time.Duration // an idle copy stays so long
	LoadOnMiss  bool          // a call for a function without a copy has it loaded
}

// Function is a package as admission sees it.
type Function struct {
	Name        string
	Version     string
	Concurrency int   // calls that one copy runs at a time
	MemoryBytes int64 // reserved for a copy
}

// Call is one launch of an event.
type Call struct {
	ID       uint64
	Function string
	Tenant   string
	Deadline time.Duration // not begun by then, it is refused
}

// Decision says why a call is not taken, or not begun.
type Decision int

// The refusals.
const (
	Admitted   Decision = iota
	Full                // too much waits, of all or of this tenant
	Missing             // no such function, or nothing is loaded and nothing loads on a miss
	TooLarge            // its copy would not fit into an empty worker
	Expired             // it waited until its client's time was up
	LoadFailed          // its function's load failed
)

// Run starts a call on a copy.
type Run struct{ CallID, ReplicaID uint64 }

// Load brings up a copy.
type Load struct {
	ReplicaID uint64
	Function  Function
}

// DroppedCall is a call that was taken and is not begun.
type DroppedCall struct {
	CallID uint64
	Reason Decision
}

// Actions is what is due at one moment.
type Actions struct {
	Runs      []Run
	Loads     []Load
	Unloads   []uint64
	Dropped   []DroppedCall
	WakeAfter time.Duration // how long to wait at the most; 0: until a fact comes
}

// Counts are what stands of a function.
type Counts struct{ Loading, Warm, Busy, Unused, Waiting, Requested int }

type replicaState int

const (
	replicaLoading replicaState = iota
	replicaWarm
	replicaUnloading
)

type replica struct {
	id            uint64
	function      *functionState
	release       Function // of its version
	state         replicaState
	running       int           // that run on it
	idleSince     time.Duration // since
	loadStartedAt time.Duration // of the load
	preloaded     bool          // loaded by an order, and no call has run on it yet
	draining      bool          // takes nothing new
}

type queuedCall struct {
	Call
	queuedAt time.Duration
}

type functionState struct {
	Function
	queue       []queuedCall
	replicas    []*replica
	meanLoad    time.Duration // mean
	meanRun     time.Duration
	requested   int     // copies still to be loaded by orders
	virtualTime float64 // virtual time of its runs
}

type tenantState struct {
	virtualTime float64 // virtual time of its runs
	waiting     int
	running     int
}

type runningCall struct {
	replica   *replica
	tenant    string
	startedAt time.Duration
}

// Controller is one worker's admission.
type Controller struct {
	limits        Limits
	functions     map[string]*functionState
	replicas      map[uint64]*replica
	running       map[uint64]runningCall // that run
	tenants       map[string]*tenantState
	reservedBytes int64
	waiting       int
	loading       int
	lastReplicaID uint64
	dropped       []DroppedCall
}

// New makes an empty Room.
func New(l Limits) *Controller {
	l.MaxRunning, l.MaxWaiting, l.MaxLoads = max(1, l.MaxRunning), max(1, l.MaxWaiting), max(1, l.MaxLoads)
	return &Controller{limits: l, functions: map[string]*functionState{}, replicas: map[uint64]*replica{}, running: map[uint64]runningCall{},
		tenants: map[string]*tenantState{}}
}

// Publish tells of a function or a new version of one. Copies of the old version finish what they run and take nothing.
func (r *Controller) Publish(f Function) {
	f.Concurrency, f.MemoryBytes = max(1, f.Concurrency), max(1, f.MemoryBytes)
	fn := r.functions[f.Name]
	if fn == nil {
		fn = &functionState{meanLoad: initialMeanLoad, meanRun: initialMeanRun}
		r.functions[f.Name] = fn
	}
	if fn.Version != f.Version {
		for _, c := range fn.replicas {
			c.draining = true
		}
	}
	fn.Function = f
}

// Admit takes a call or refuses it.
func (r *Controller) Admit(now time.Duration, c Call) Decision {
	fn := r.functions[c.Function]
	switch {
	case fn == nil:
		return Missing
	case fn.MemoryBytes > r.limits.MemoryBytes:
		return TooLarge
	case !r.limits.LoadOnMiss && fn.activeReplicas() == 0 && fn.requested == 0:
		return Missing
	case r.waiting >= r.limits.MaxWaiting:
		return Full
	}
	t := r.tenants[c.Tenant]
	if t == nil {
		t = &tenantState{}
		r.tenants[c.Tenant] = t
	}
	if float64(r.waiting) >= fairShareThreshold*float64(r.limits.MaxWaiting) { // nobody fills the queue for the others
		waiting := 1
		for name, x := range r.tenants {
			if name != c.Tenant && x.waiting+x.running > 0 {
				waiting++
			}
		}
		if waiting > 1 && t.waiting >= max(1, r.limits.MaxWaiting/waiting) {
			return Full
		}
	}
	if t.waiting+t.running == 0 { // one that comes back does not make up for the time that it was away
		t.virtualTime = max(t.virtualTime, r.minTenantVirtualTime())
	}
	if len(fn.queue) == 0 {
		fn.virtualTime = max(fn.virtualTime, r.minFunctionVirtualTime(c.Tenant))
	}
	t.waiting++
	r.waiting++
	fn.queue = append(fn.queue, queuedCall{c, now})
	return Admitted
}

// minTenantVirtualTime is the least virtual time of the tenants that have anything here.
func (r *Controller) minTenantVirtualTime() float64 {
	least := math.Inf(1)
	for _, t := range r.tenants {
		if t.waiting+t.running > 0 {
			least = min(least, t.virtualTime)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// minFunctionVirtualTime is the least virtual time of the functions with calls of a tenant waiting.
func (r *Controller) minFunctionVirtualTime(tenant string) float64 {
	least := math.Inf(1)
	for _, f := range r.functions {
		if len(f.queue) > 0 && f.queue[0].Tenant == tenant {
			least = min(least, f.virtualTime)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// activeReplicas is the number of copies that take calls or will.
func (f *functionState) activeReplicas() int {
	n := 0
	for _, c := range f.replicas {
		if !c.draining && c.state != replicaUnloading {
			n++
		}
	}
	return n
}

// RequestReplicas asks for copies of a function in all; fewer than stand lets idle ones go. It answers how many stand or are to
// be loaded; what finds no room when its turn comes is not loaded.
func (r *Controller) RequestReplicas(_ time.Duration, name string, copies int) (int, Decision) {
	fn := r.functions[name]
	switch {
	case fn == nil:
		return 0, Missing
	case fn.MemoryBytes > r.limits.MemoryBytes:
		return 0, TooLarge
	}
	copies = min(max(0, copies), int(r.limits.MemoryBytes/fn.MemoryBytes))
	have := fn.activeReplicas()
	fn.requested = max(0, copies-have)
	for _, c := range slices.Clone(fn.replicas) { // idle ones first: a busy one goes when it is idle
		if have > copies && c.state == replicaWarm && !c.draining && c.running == 0 {
			c.draining = true
			have--
		}
	}
	return have + fn.requested, Admitted
}

// LoadEnded tells how a load ended.
func (r *Controller) LoadEnded(now time.Duration, id uint64, well bool) {
	c := r.replicas[id]
	if c == nil || c.state != replicaLoading {
		return
	}
	r.loading--
	if !well {
		r.removeReplica(c)
		if c.function.activeReplicas() == 0 { // those that waited for it are told, and come back later
			for _, w := range c.function.queue {
				r.drop(w, LoadFailed)
			}
			c.function.queue = nil
		}
		return
	}
	c.state, c.idleSince = replicaWarm, now
	c.function.meanLoad += (now - c.loadStartedAt - c.function.meanLoad) / averageWindow
}

func (r *Controller) drop(w queuedCall, why Decision) {
	r.tenants[w.Tenant].waiting--
	r.waiting--
	r.dropped = append(r.dropped, DroppedCall{w.ID, why})
}

func (r *Controller) removeReplica(c *replica) {
	if c.state == replicaUnloading || r.replicas[c.id] == nil {
		return
	}
	r.reservedBytes -= c.release.MemoryBytes
	delete(r.replicas, c.id)
	c.function.replicas = slices.DeleteFunc(c.function.replicas, func(x *replica) bool { return x == c })
}

// CallEnded tells that a run is over.
func (r *Controller) CallEnded(now time.Duration, call uint64) {
	x, is := r.running[call]
	if !is {
		return
	}
	delete(r.running, call)
	r.tenants[x.tenant].running--
	x.replica.running--
	x.replica.idleSince = now
	x.replica.function.meanRun += (now - x.startedAt - x.replica.function.meanRun) / averageWindow
}

// Withdraw takes a waiting call back; false if it is not waiting, so that it runs or is over.
func (r *Controller) Withdraw(name string, call uint64) bool {
	fn := r.functions[name]
	if fn == nil {
		return false
	}
	i := slices.IndexFunc(fn.queue, func(w queuedCall) bool { return w.ID == call })
	if i < 0 {
		return false
	}
	r.tenants[fn.queue[i].Tenant].waiting--
	r.waiting--
	fn.queue = slices.Delete(fn.queue, i, i+1)
	return true
}

// ReplicaExited tells that a copy has ended by itself or was ended; the calls that ran on it are given back, and may have run.
func (r *Controller) ReplicaExited(now time.Duration, id uint64) []uint64 {
	c := r.replicas[id]
	if c == nil {
		return nil
	}
	var lost []uint64
	for call, x := range r.running {
		if x.replica == c {
			lost = append(lost, call)
		}
	}
	slices.Sort(lost)
	for _, call := range lost {
		r.CallEnded(now, call)
	}
	if c.state == replicaLoading {
		r.loading--
	}
	if c.state == replicaUnloading {
		r.ReplicaUnloaded(id)
	} else {
		r.removeReplica(c)
	}
	return lost
}

// ReplicaUnloaded tells that a copy is gone and its memory free.
func (r *Controller) ReplicaUnloaded(id uint64) {
	if c := r.replicas[id]; c != nil && c.state == replicaUnloading {
		c.state = replicaWarm
		r.removeReplica(c)
	}
}

// ReservedBytes is the memory of all copies, those under way included.
func (r *Controller) ReservedBytes() int64 { return r.reservedBytes }

// Waiting is the number of calls that wait, Running of those that run.
func (r *Controller) Waiting() int { return r.waiting }

// Running is the number of calls that run.
func (r *Controller) Running() int { return len(r.running) }

// Counts tells what stands of a function.
func (r *Controller) Counts(name string) Counts {
	var n Counts
	if fn := r.functions[name]; fn != nil {
		n.Waiting, n.Requested = len(fn.queue), fn.requested
		for _, c := range fn.replicas {
			switch {
			case c.state == replicaLoading:
				n.Loading++
			case c.state == replicaWarm:
				if !c.draining { // one that takes nothing new serves nobody who comes
					n.Warm++
				}
				if c.running > 0 {
					n.Busy++
				}
				if c.preloaded {
					n.Unused++
				}
			}
		}
	}
	return n
}

// Advance answers what is due now.
func (r *Controller) Advance(now time.Duration) Actions {
	var st Actions
	wake := time.Duration(math.MaxInt64)
	names := slices.Sorted(maps.Keys(r.functions))
	for _, name := range names {
		fn := r.functions[name]
		fn.queue = slices.DeleteFunc(fn.queue, func(w queuedCall) bool {
			if now >= w.Deadline {
				r.drop(w, Expired)
				return true
			}
			wake = min(wake, w.Deadline)
			return false
		})
	}
	r.dispatch(now, names, &st)
	for _, name := range names { // what is idle too long, old or has to give way
		for _, c := range slices.Clone(r.functions[name].replicas) {
			if c.state != replicaWarm || c.running > 0 {
				continue
			}
			if c.draining || now >= c.idleSince+r.limits.IdleTimeout {
				r.unload(c, &st)
			} else {
				wake = min(wake, c.idleSince+r.limits.IdleTimeout)
			}
		}
	}
	wake = min(wake, r.provision(now, names, &st))
	st.Dropped, r.dropped = r.dropped, nil
	if wake < math.MaxInt64 {
		st.WakeAfter = max(1, wake-now)
	}
	return st
}

// dispatch starts what waits on free lanes: the tenant that had least, of its functions the one that had least, oldest first.
func (r *Controller) dispatch(now time.Duration, names []string, st *Actions) {
	for len(r.running) < r.limits.MaxRunning {
		var best *functionState
		var at *replica
		var who *tenantState
		for _, name := range names {
			fn := r.functions[name]
			if len(fn.queue) == 0 {
				continue
			}
			c := fn.freeReplica()
			if c == nil {
				continue
			}
			t := r.tenants[fn.queue[0].Tenant]
			if best == nil || cmp.Or(cmp.Compare(t.virtualTime, who.virtualTime), cmp.Compare(fn.virtualTime, best.virtualTime),
				cmp.Compare(fn.queue[0].queuedAt, best.queue[0].queuedAt)) < 0 {
				best, at, who = fn, c, t
			}
		}
		if best == nil {
			return
		}
		w := best.queue[0]
		best.queue = best.queue[1:]
		cost := float64(max(best.meanRun, 1))
		who.virtualTime += cost
		best.virtualTime += cost
		who.waiting--
		who.running++
		r.waiting--
		at.running++
		at.preloaded = false
		r.running[w.ID] = runningCall{at, w.Tenant, now}
		st.Runs = append(st.Runs, Run{w.ID, at.id})
	}
}

// freeReplica is the fullest copy with a free lane: the others starve and go.
func (f *functionState) freeReplica() (best *replica) {
	for _, c := range f.replicas {
		if c.state == replicaWarm && !c.draining && c.running < c.release.Concurrency && (best == nil || c.running > best.running) {
			best = c
		}
	}
	return best
}

func (r *Controller) unload(c *replica, st *Actions) {
	c.state = replicaUnloading
	st.Unloads = append(st.Unloads, c.id)
}

// provision decides on loads: the function whose first call has waited longest first, orders after them.
func (r *Controller) provision(now time.Duration, names []string, st *Actions) time.Duration {
	wake := time.Duration(math.MaxInt64)
	short := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return len(r.functions[n].queue) == 0 })
	slices.SortStableFunc(short, func(a, b string) int {
		return cmp.Compare(r.functions[a].queue[0].queuedAt, r.functions[b].queue[0].queuedAt)
	})
	for _, name := range short {
		fn := r.functions[name]
		for r.loading < r.limits.MaxLoads && fn.needsReplica(r) {
			if room, _ := r.makeSpace(fn, false, st); !room {
				break
			}
			r.startLoad(fn, false, now, st)
		}
		if fn.activeReplicas() > 0 || r.loading >= r.limits.MaxLoads {
			continue
		}
		// without any copy and without room: others give way, at the latest after the time that a load takes
		starved := fn.queue[0].queuedAt + time.Duration(starvationLoads*float64(fn.meanLoad))
		if now < starved {
			wake = min(wake, starved)
		} else {
			r.drainFor(fn)
		}
	}
	for _, name := range names {
		fn := r.functions[name]
		for fn.requested > 0 && r.loading < r.limits.MaxLoads {
			if room, coming := r.makeSpace(fn, true, st); !room {
				if !coming {
					fn.requested = 0 // what others use is not waited for
				}
				break
			}
			fn.requested--
			r.startLoad(fn, true, now, st)
		}
	}
	return wake
}

// needsReplica tells whether another copy would serve what waits sooner than those that stand.
func (f *functionState) needsReplica(r *Controller) bool {
	under, have := 0, 0
	for _, c := range f.replicas {
		switch {
		case c.draining:
		case c.state == replicaLoading:
			under++
		case c.state == replicaWarm:
			have++
		}
	}
	queued := len(f.queue)
	switch {
	case have+under == 0:
		return true
	case queued <= under*f.Concurrency, f.freeReplica() != nil, len(r.running) >= r.limits.MaxRunning:
		return false
	case have == 0:
		return true
	}
	wait := time.Duration(float64(queued) / float64(have*f.Concurrency) * float64(f.meanRun))
	return wait > f.meanLoad
}

func (r *Controller) startLoad(fn *functionState, order bool, now time.Duration, st *Actions) {
	r.lastReplicaID++
	c := &replica{id: r.lastReplicaID, function: fn, release: fn.Function, loadStartedAt: now, preloaded: order}
	r.replicas[c.id] = c
	fn.replicas = append(fn.replicas, c)
	r.reservedBytes += c.release.MemoryBytes
	r.loading++
	st.Loads = append(st.Loads, Load{c.id, fn.Function})
}

// makeSpace finds room for one more copy, or has idle copies go for it: those held by an order that no call has used, the
// oldest first, then the longest idle. An order displaces nothing that calls have used within its keep time. Room that
// is on its way is room later: nothing more goes for it.
func (r *Controller) makeSpace(fn *functionState, order bool, st *Actions) (room, coming bool) {
	if r.reservedBytes+fn.MemoryBytes <= r.limits.MemoryBytes {
		return true, false
	}
	freed := int64(0)
	var idle []*replica
	for _, c := range r.replicas {
		switch {
		case c.state == replicaUnloading:
			freed += c.release.MemoryBytes
		case c.state == replicaWarm && c.running == 0 && c.function != fn && (c.preloaded || !order) && len(c.function.queue) == 0:
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *replica) int {
		if a.preloaded != b.preloaded {
			if a.preloaded {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
	})
	need := r.reservedBytes + fn.MemoryBytes - r.limits.MemoryBytes - freed
	possible := int64(0)
	for _, c := range idle {
		possible += c.release.MemoryBytes
	}
	if possible < need {
		return false, false // what would not be enough stays
	}
	for _, c := range idle {
		if need <= 0 {
			break
		}
		need -= c.release.MemoryBytes
		r.unload(c, st)
	}
	return false, true
}

// drainFor has busy copies take nothing new until there will be room: one at a time from the function that holds most.
func (r *Controller) drainFor(fn *functionState) {
	coming := int64(0)
	for _, c := range r.replicas {
		if c.draining || c.state == replicaUnloading {
			coming += c.release.MemoryBytes
		}
	}
	for r.reservedBytes+fn.MemoryBytes-coming > r.limits.MemoryBytes {
		var most *functionState
		size := int64(0)
		for _, name := range slices.Sorted(maps.Keys(r.functions)) {
			f := r.functions[name]
			holds := int64(0)
			for _, c := range f.replicas {
				if c.state == replicaWarm && !c.draining {
					holds += c.release.MemoryBytes
				}
			}
			if f != fn && holds > size {
				most, size = f, holds
			}
		}
		if most == nil {
			return // all else is loading: it will be warm, then give way
		}
		var c *replica
		for _, x := range most.replicas {
			if x.state == replicaWarm && !x.draining && (c == nil || x.running < c.running) {
				c = x
			}
		}
		c.draining = true
		coming += c.release.MemoryBytes
	}
}
