package admission

import (
	"slices"
	"time"
)

// queuedCall is an admitted call waiting to be started.
type queuedCall struct {
	Call
	queuedAt time.Duration
}

// runningCall is a call running on a replica.
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
	requested   int     // replicas that were requested and whose load has not started
	virtualTime float64 // accumulated cost of the function's runs, see dispatch
}

// Controller makes the admission decisions of one worker. It is not safe for concurrent use.
type Controller struct {
	limits        Limits
	functions     map[string]*functionState
	replicas      map[uint64]*replica
	running       map[uint64]runningCall
	tenants       map[string]*tenantState
	reservedBytes int64
	waiting       int // calls in all queues
	loading       int // replicas being loaded
	lastReplicaID uint64
	dropped       []DroppedCall // returned by the next call of Advance
}

// New returns a Controller without functions.
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

// Publish adds a function or a new version of one. Replicas of the old version start draining: they complete their
// running calls and accept no new ones.
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

// Admit decides whether a call is admitted. An admitted call waits until Advance starts or drops it.
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
	if c.exceedsFairShare(call.Tenant, tenant) {
		return Full
	}
	c.catchUpVirtualTimes(call.Tenant, tenant, function)
	tenant.waiting++
	c.waiting++
	function.queue = append(function.queue, queuedCall{call, now})
	return Admitted
}

// RequestReplicas sets the requested total number of replicas of a function. If the function has more replicas, idle
// ones are drained. It returns the number of replicas that are active or to be loaded. Replicas for which there is no
// memory when they are about to be loaded are not loaded.
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

// CallEnded records that a call is no longer running.
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

// Withdraw removes a waiting call from its queue. It returns false if the call is not waiting, that is, if it is
// running or has ended.
func (c *Controller) Withdraw(name string, id uint64) bool {
	function := c.functions[name]
	if function == nil {
		return false
	}
	i := slices.IndexFunc(function.queue, func(queued queuedCall) bool { return queued.ID == id })
	if i < 0 {
		return false
	}
	c.decrementWaiting(function.queue[i])
	function.queue = slices.Delete(function.queue, i, i+1)
	return true
}

// drop records that a waiting call is dropped for a reason. The caller removes the call from its queue.
func (c *Controller) drop(queued queuedCall, reason Decision) {
	c.decrementWaiting(queued)
	c.dropped = append(c.dropped, DroppedCall{queued.ID, reason})
}

// decrementWaiting updates the numbers of waiting calls for a call that is removed from its queue.
func (c *Controller) decrementWaiting(queued queuedCall) {
	c.tenants[queued.Tenant].waiting--
	c.waiting--
}

// ReservedBytes returns the memory reserved for all replicas, including those that are loading or unloading.
func (c *Controller) ReservedBytes() int64 { return c.reservedBytes }

// Waiting returns the number of calls in all queues.
func (c *Controller) Waiting() int { return c.waiting }

// Running returns the number of running calls.
func (c *Controller) Running() int { return len(c.running) }

// Counts returns the numbers of replicas and calls of a function. They are zero for an unknown function.
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
			if !r.draining { // a draining replica accepts no new calls
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
