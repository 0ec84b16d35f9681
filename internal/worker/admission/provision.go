package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// spaceStatus is the result of looking for the memory of one more replica.
type spaceStatus int

const (
	spaceFree         spaceStatus = iota // the replica fits into the free memory
	spacePending                         // the replica will fit once unloading replicas have exited
	spaceInsufficient                    // the replica would not fit even if all evictable replicas were evicted
)

// provision decides which replicas are loaded. Loads for waiting calls come first, in the order of each function's
// oldest call, then loads for load requests. It returns the earliest time at which a function without a replica is
// considered starving, so that replicas of other functions are drained for it.
func (c *Controller) provision(now time.Duration, names []string, actions *Actions) time.Duration {
	wake := c.provisionCalls(now, names, actions)
	c.provisionRequests(now, names, actions)
	return wake
}

// provisionCalls loads replicas for waiting calls. It returns the same time as provision.
func (c *Controller) provisionCalls(now time.Duration, names []string, actions *Actions) time.Duration {
	wake := never
	for _, function := range c.functionsByOldestCall(names) {
		for c.loading < c.limits.MaxLoads && c.needsReplica(function) {
			if c.makeSpace(function, loadForCalls, actions) != spaceFree {
				break
			}
			c.startLoad(now, function, loadForCalls, actions)
		}
		if function.activeReplicas() > 0 || c.loading >= c.limits.MaxLoads {
			continue
		}
		starvation := time.Duration(starvationFactor * float64(function.meanLoad))
		starvesAt := function.queue[0].queuedAt + starvation
		if now < starvesAt {
			wake = min(wake, starvesAt)
		} else {
			c.drainFor(function)
		}
	}
	return wake
}

// functionsByOldestCall returns the functions with waiting calls, sorted by the time at which their first call was
// queued.
func (c *Controller) functionsByOldestCall(names []string) []*functionState {
	var functions []*functionState
	for _, name := range names {
		if function := c.functions[name]; len(function.queue) > 0 {
			functions = append(functions, function)
		}
	}
	slices.SortStableFunc(functions, func(a, b *functionState) int {
		return cmp.Compare(a.queue[0].queuedAt, b.queue[0].queuedAt)
	})
	return functions
}

// provisionRequests loads the replicas that were requested by load requests of gateways.
func (c *Controller) provisionRequests(now time.Duration, names []string, actions *Actions) {
	for _, name := range names {
		function := c.functions[name]
		for function.requested > 0 && c.loading < c.limits.MaxLoads {
			status := c.makeSpace(function, loadForRequest, actions)
			if status == spaceInsufficient {
				function.requested = 0 // a request does not wait for memory used by other functions
			}
			if status != spaceFree {
				break
			}
			function.requested--
			c.startLoad(now, function, loadForRequest, actions)
		}
	}
}

// needsReplica reports whether one more replica would serve the waiting calls of a function sooner than its existing
// replicas: it has none, or its loading replicas cannot run all waiting calls, no slot is free and the estimated wait
// for its warm replicas, queued / slots * meanRun, is longer than meanLoad. A function that has replicas gets no more
// while the worker runs Limits.MaxRunning calls, because another replica could not start a call.
func (c *Controller) needsReplica(function *functionState) bool {
	loading, warm := 0, 0
	for _, r := range function.replicas {
		switch {
		case r.draining:
		case r.state == replicaLoading:
			loading++
		case r.state == replicaWarm:
			warm++
		}
	}
	queued := len(function.queue)
	switch {
	case warm+loading == 0:
		return true
	case queued <= loading*function.Concurrency:
		return false
	case function.freeReplica() != nil:
		return false
	case len(c.running) >= c.limits.MaxRunning:
		return false
	case warm == 0:
		return true
	}
	wait := time.Duration(float64(queued) / float64(warm*function.Concurrency) * float64(function.meanRun))
	return wait > function.meanLoad
}

// makeSpace looks for memory for one more replica and evicts idle replicas if necessary: first those that were loaded
// by request and have not run a call, then the others, in both cases the longest idle first. A load request does not
// evict replicas that have run calls. Memory of replicas that are already unloading counts as available, so nothing
// more is evicted for it.
func (c *Controller) makeSpace(function *functionState, cause loadCause, actions *Actions) spaceStatus {
	if c.reservedBytes+function.MemoryBytes <= c.limits.MemoryBytes {
		return spaceFree
	}
	unloading := int64(0)
	evictable := int64(0)
	var candidates []*replica
	for _, r := range c.replicas {
		switch {
		case r.state == replicaUnloading:
			unloading += r.release.MemoryBytes
		case r.isEvictableFor(function, cause):
			evictable += r.release.MemoryBytes
			candidates = append(candidates, r)
		}
	}
	missing := c.reservedBytes + function.MemoryBytes - c.limits.MemoryBytes - unloading
	if evictable < missing {
		return spaceInsufficient // evict nothing: evicting all candidates would not free enough memory
	}
	slices.SortFunc(candidates, compareEviction)
	for _, r := range candidates {
		if missing <= 0 {
			break
		}
		missing -= r.release.MemoryBytes
		c.unload(r, actions)
	}
	return spacePending
}

// isEvictableFor reports whether a replica may be evicted to load one of the given function.
func (r *replica) isEvictableFor(function *functionState, cause loadCause) bool {
	if !r.isIdle() || r.function == function || len(r.function.queue) > 0 {
		return false
	}
	return r.preloaded || cause == loadForCalls
}

// compareEviction compares replicas by the order in which they are evicted.
func compareEviction(a, b *replica) int {
	if a.preloaded != b.preloaded {
		if a.preloaded {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
}

// drainFor starts draining busy replicas until the memory that they will free is enough for a replica of a starving
// function. Each replica is taken from the function that uses the most memory at that point.
func (c *Controller) drainFor(starving *functionState) {
	pending := int64(0)
	for _, r := range c.replicas {
		if r.draining || r.state == replicaUnloading {
			pending += r.release.MemoryBytes
		}
	}
	for c.reservedBytes+starving.MemoryBytes-pending > c.limits.MemoryBytes {
		largest := c.largestFunction(starving)
		if largest == nil {
			return // all other replicas are still loading; they can be drained once they are warm
		}
		var leastBusy *replica
		for _, r := range largest.replicas {
			if r.state == replicaWarm && !r.draining && (leastBusy == nil || r.running < leastBusy.running) {
				leastBusy = r
			}
		}
		leastBusy.draining = true
		pending += leastBusy.release.MemoryBytes
	}
}

// largestFunction returns the function, other than except, whose warm replicas use the most memory, or nil if there is
// none. Draining replicas are not counted.
func (c *Controller) largestFunction(except *functionState) (largest *functionState) {
	maxUsed := int64(0)
	for _, name := range slices.Sorted(maps.Keys(c.functions)) {
		function := c.functions[name]
		used := int64(0)
		for _, r := range function.replicas {
			if r.state == replicaWarm && !r.draining {
				used += r.release.MemoryBytes
			}
		}
		if function != except && used > maxUsed {
			largest, maxUsed = function, used
		}
	}
	return largest
}
