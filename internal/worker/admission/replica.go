package admission

import (
	"slices"
	"time"
)

// replicaState is how far a replica is on its way.
type replicaState int

const (
	replicaLoading replicaState = iota
	replicaWarm
	replicaUnloading
)

// loadCause says why a replica is loaded.
type loadCause int

const (
	loadForCalls   loadCause = iota // calls wait for it
	loadForRequest                  // a gateway requested it
)

// replica is one replica from the decision to load it until it has exited.
type replica struct {
	id            uint64
	function      *functionState
	release       Function // as it was when the replica was loaded
	state         replicaState
	running       int // calls on it
	idleSince     time.Duration
	loadStartedAt time.Duration
	preloaded     bool // loaded by request, and no call has run on it yet
	draining      bool // takes nothing new
}

// isIdle reports whether a replica is warm and runs nothing.
func (r *replica) isIdle() bool { return r.state == replicaWarm && r.running == 0 }

// activeReplicas is the number of replicas that take calls or will.
func (f *functionState) activeReplicas() int {
	active := 0
	for _, r := range f.replicas {
		if !r.draining && r.state != replicaUnloading {
			active++
		}
	}
	return active
}

// freeReplica is the fullest replica that can run one more call, so that the others become idle and go; nil: there is
// none.
func (f *functionState) freeReplica() (fullest *replica) {
	for _, r := range f.replicas {
		free := r.state == replicaWarm && !r.draining && r.running < r.release.Concurrency
		if free && (fullest == nil || r.running > fullest.running) {
			fullest = r
		}
	}
	return fullest
}

// startLoad decides on one more replica.
func (c *Controller) startLoad(now time.Duration, function *functionState, cause loadCause, actions *Actions) {
	c.lastReplicaID++
	loading := &replica{
		id:            c.lastReplicaID,
		function:      function,
		release:       function.Function,
		loadStartedAt: now,
		preloaded:     cause == loadForRequest,
	}
	c.replicas[loading.id] = loading
	function.replicas = append(function.replicas, loading)
	c.reservedBytes += loading.release.MemoryBytes
	c.loading++
	actions.Loads = append(actions.Loads, Load{loading.id, function.Function})
}

// LoadSucceeded says that a replica is ready.
func (c *Controller) LoadSucceeded(now time.Duration, id uint64) {
	loaded := c.loadingReplica(id)
	if loaded == nil {
		return
	}
	c.loading--
	loaded.state, loaded.idleSince = replicaWarm, now
	function := loaded.function
	function.meanLoad += (now - loaded.loadStartedAt - function.meanLoad) / averageWindow
}

// LoadFailed says that a replica could not be loaded. If its function has no other, what waits for it is dropped.
func (c *Controller) LoadFailed(id uint64) {
	failed := c.loadingReplica(id)
	if failed == nil {
		return
	}
	c.loading--
	c.removeReplica(failed)
	function := failed.function
	if function.activeReplicas() > 0 {
		return
	}
	for _, queued := range function.queue {
		c.drop(queued, LoadFailed)
	}
	function.queue = nil
}

// loadingReplica is the replica of an ID if it loads, else nil.
func (c *Controller) loadingReplica(id uint64) *replica {
	if r := c.replicas[id]; r != nil && r.state == replicaLoading {
		return r
	}
	return nil
}

// unload decides that an idle replica goes.
func (c *Controller) unload(idle *replica, actions *Actions) {
	idle.state = replicaUnloading
	actions.Unloads = append(actions.Unloads, idle.id)
}

// ReplicaExited says that a replica has exited without having been unloaded. The calls that ran on it have ended, may
// have run, and are returned.
func (c *Controller) ReplicaExited(now time.Duration, id uint64) []uint64 {
	exited := c.replicas[id]
	if exited == nil {
		return nil
	}
	var lost []uint64
	for callID, call := range c.running {
		if call.replica == exited {
			lost = append(lost, callID)
		}
	}
	slices.Sort(lost)
	for _, callID := range lost {
		c.CallEnded(now, callID)
	}
	if exited.state == replicaLoading {
		c.loading--
	}
	c.removeReplica(exited)
	return lost
}

// ReplicaUnloaded says that a replica has exited after it was unloaded.
func (c *Controller) ReplicaUnloaded(id uint64) {
	if r := c.replicas[id]; r != nil && r.state == replicaUnloading {
		c.removeReplica(r)
	}
}

// removeReplica forgets a replica that has exited and frees its memory.
func (c *Controller) removeReplica(removed *replica) {
	c.reservedBytes -= removed.release.MemoryBytes
	delete(c.replicas, removed.id)
	function := removed.function
	function.replicas = slices.DeleteFunc(function.replicas, func(r *replica) bool { return r == removed })
}
