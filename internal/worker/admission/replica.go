package admission

import (
	"slices"
	"time"
)

// replicaState is the phase of a replica.
type replicaState int

const (
	replicaLoading replicaState = iota
	replicaWarm
	replicaUnloading
)

// loadCause is the reason why a replica is loaded.
type loadCause int

const (
	loadForCalls   loadCause = iota // calls are waiting for a replica
	loadForRequest                  // a gateway sent a load request
)

// replica is a replica, from the decision to load it until it has exited.
type replica struct {
	id            uint64
	function      *functionState
	release       Function // the function's properties when the load was decided
	state         replicaState
	running       int           // number of calls running on the replica
	idleSince     time.Duration // time of the end of the load or of the last call
	loadStartedAt time.Duration
	preloaded     bool // loaded by request and has not run a call yet
	draining      bool // accepts no new calls and is unloaded once it is idle
}

// isIdle reports whether the replica is warm and not running any call.
func (r *replica) isIdle() bool { return r.state == replicaWarm && r.running == 0 }

// activeReplicas returns the number of replicas that accept calls now or will do so once they are loaded.
func (f *functionState) activeReplicas() int {
	active := 0
	for _, r := range f.replicas {
		if !r.draining && r.state != replicaUnloading {
			active++
		}
	}
	return active
}

// freeReplica returns the replica with the most running calls that can run one more, or nil if there is none. Filling
// the busiest replica first lets the others become idle, so that they can be unloaded.
func (f *functionState) freeReplica() (fullest *replica) {
	for _, r := range f.replicas {
		free := r.state == replicaWarm && !r.draining && r.running < r.release.Concurrency
		if free && (fullest == nil || r.running > fullest.running) {
			fullest = r
		}
	}
	return fullest
}

// startLoad adds a replica that is loading and the action to load it.
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

// LoadSucceeded records that a replica has been loaded and can run calls.
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

// LoadFailed records that a replica could not be loaded. If its function has no other active replica, all waiting calls
// of the function are dropped.
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

// loadingReplica returns the replica with the given ID, or nil if there is none or it is not loading.
func (c *Controller) loadingReplica(id uint64) *replica {
	if r := c.replicas[id]; r != nil && r.state == replicaLoading {
		return r
	}
	return nil
}

// unload adds the action to unload an idle replica.
func (c *Controller) unload(idle *replica, actions *Actions) {
	idle.state = replicaUnloading
	actions.Unloads = append(actions.Unloads, idle.id)
}

// ReplicaExited records that a replica has exited without having been unloaded. It ends the calls that were running on
// the replica and returns their IDs; these calls may have run.
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

// ReplicaUnloaded records that a replica has exited because it was unloaded.
func (c *Controller) ReplicaUnloaded(id uint64) {
	if r := c.replicas[id]; r != nil && r.state == replicaUnloading {
		c.removeReplica(r)
	}
}

// removeReplica removes a replica that has exited and releases its reserved memory.
func (c *Controller) removeReplica(removed *replica) {
	c.reservedBytes -= removed.release.MemoryBytes
	delete(c.replicas, removed.id)
	function := removed.function
	function.replicas = slices.DeleteFunc(function.replicas, func(r *replica) bool { return r == removed })
}
