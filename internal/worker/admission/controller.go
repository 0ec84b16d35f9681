package admission

import (
	"slices"
	"time"
)

// queuedCall is an admitted call that waits.
type queuedCall struct {
	Call
	queuedAt time.Duration
}

// runningCall is a call on a replica.
type runningCall struct {
	replica   *replica
	tenant    string
	startedAt time.Duration
}

// functionState is a function with its queue and replicas.
type functionState struct {
	Function
	queue       []queuedCall
	replicas    []*replica
	meanLoad    time.Duration
	meanRun     time.Duration
	requested   int     // replicas still to be loaded by request
	virtualTime float64 // of its runs, see dispatch
}

// Controller is one worker's admission. It is not safe for concurrent use.
type Controller struct {
	limits        Limits
	functions     map[string]*functionState
	replicas      map[uint64]*replica
	running       map[uint64]runningCall
	tenants       map[string]*tenantState
	reservedBytes int64
	waiting       int // calls in all queues
	loading       int // loads under way
	lastReplicaID uint64
	dropped       []DroppedCall // for the next Advance to return
}

// New makes a Controller without functions.
func New(limits Limits) *Controller {
	limits.MaxRunning = max(1, limits.MaxRunning)
	limits.MaxWaiting = max(1, limits.MaxWaiting)
	limits.MaxLoads = max(1, limits.MaxLoads)
	return &Controller{
		limits:    limits,
		functions: map[string]*functionState{},
		replicas:  map[uint64]*replica{},
		running:   map[uint64]runningCall{},
		tenants:   map[string]*tenantState{},
	}
}

// Publish adds a function or a new version of one. Replicas of the old version finish what they run and take nothing
// new.
func (c *Controller) Publish(function Function) {
	function.Concurrency = max(1, function.Concurrency)
	function.MemoryBytes = max(1, function.MemoryBytes)
	state := c.functions[function.Name]
	if state == nil {
		state = &functionState{meanLoad: initialMeanLoad, meanRun: initialMeanRun}
		c.functions[function.Name] = state
	}
	if state.Version != function.Version {
		for _, r := range state.replicas {
			r.draining = true
		}
	}
	state.Function = function
}

// Admit admits a call or rejects it.
func (c *Controller) Admit(now time.Duration, call Call) Decision {
	function := c.functions[call.Function]
	switch {
	case function == nil:
		return Missing
	case function.MemoryBytes > c.limits.MemoryBytes:
		return TooLarge
	case !c.limits.LoadOnMiss && function.activeReplicas() == 0 && function.requested == 0:
		return Missing
	case c.waiting >= c.limits.MaxWaiting:
		return Full
	}
	tenant := c.tenant(call.Tenant)
	if c.exceedsShare(call.Tenant, tenant) {
		return Full
	}
	c.joinFairQueue(call.Tenant, tenant, function)
	tenant.waiting++
	c.waiting++
	function.queue = append(function.queue, queuedCall{call, now})
	return Admitted
}

// RequestReplicas asks for replicas of a function in all; asking for fewer than there are drains idle ones. It
// returns how many there are or are to be loaded; what finds no memory when its turn comes is not loaded.
func (c *Controller) RequestReplicas(name string, replicas int) (int, Decision) {
	function := c.functions[name]
	switch {
	case function == nil:
		return 0, Missing
	case function.MemoryBytes > c.limits.MemoryBytes:
		return 0, TooLarge
	}
	replicas = min(max(0, replicas), int(c.limits.MemoryBytes/function.MemoryBytes))
	active := function.activeReplicas()
	function.requested = max(0, replicas-active)
	for _, r := range function.replicas {
		if active > replicas && r.isIdle() && !r.draining {
			r.draining = true
			active--
		}
	}
	return active + function.requested, Admitted
}

// CallEnded says that a call no longer runs.
func (c *Controller) CallEnded(now time.Duration, id uint64) {
	call, known := c.running[id]
	if !known {
		return
	}
	delete(c.running, id)
	c.tenants[call.tenant].running--
	r := call.replica
	r.running--
	r.idleSince = now
	r.function.meanRun += (now - call.startedAt - r.function.meanRun) / averageWindow
}

// Withdraw takes a waiting call back; false: it does not wait, so that it runs or has ended.
func (c *Controller) Withdraw(name string, id uint64) bool {
	function := c.functions[name]
	if function == nil {
		return false
	}
	i := slices.IndexFunc(function.queue, func(queued queuedCall) bool { return queued.ID == id })
	if i < 0 {
		return false
	}
	c.leaveQueue(function.queue[i])
	function.queue = slices.Delete(function.queue, i, i+1)
	return true
}

// drop ends a waiting call without a run; the caller takes it out of its queue.
func (c *Controller) drop(queued queuedCall, reason Decision) {
	c.leaveQueue(queued)
	c.dropped = append(c.dropped, DroppedCall{queued.ID, reason})
}

// leaveQueue counts a call that no longer waits.
func (c *Controller) leaveQueue(queued queuedCall) {
	c.tenants[queued.Tenant].waiting--
	c.waiting--
}

// ReservedBytes is the memory of all replicas, those that load included.
func (c *Controller) ReservedBytes() int64 { return c.reservedBytes }

// Waiting is the number of calls in the queue.
func (c *Controller) Waiting() int { return c.waiting }

// Running is the number of calls that run.
func (c *Controller) Running() int { return len(c.running) }

// Counts describes a function; one that is not known has none of anything.
func (c *Controller) Counts(name string) Counts {
	function := c.functions[name]
	if function == nil {
		return Counts{}
	}
	counts := Counts{Waiting: len(function.queue), Requested: function.requested}
	for _, r := range function.replicas {
		switch r.state {
		case replicaLoading:
			counts.Loading++
		case replicaWarm:
			if !r.draining { // a draining one serves nobody who comes
				counts.Warm++
			}
			if r.running > 0 {
				counts.Busy++
			}
			if r.preloaded {
				counts.Unused++
			}
		}
	}
	return counts
}
