package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// space says whether one more replica fits into the memory.
type space int

const (
	spaceFree   space = iota // it fits
	spaceComing              // it will once what is unloading has gone
	spaceNone                // what may be evicted would not be enough
)

// provision decides on loads: first for the function whose first call has waited longest, then for requests. It returns
// when a function without a replica will have waited long enough for others to be drained for it.
func (c *Controller) provision(now time.Duration, names []string, actions *Actions) time.Duration {
	wake := c.provisionCalls(now, names, actions)
	c.provisionRequests(now, names, actions)
	return wake
}

// provisionCalls loads replicas that waiting calls need.
func (c *Controller) provisionCalls(now time.Duration, names []string, actions *Actions) time.Duration {
	wake := never
	for _, function := range c.oldestCallFirst(names) {
		for c.loading < c.limits.MaxLoads && c.needsReplica(function) {
			if c.makeSpace(function, loadForCalls, actions) != spaceFree {
				break
			}
			c.startLoad(now, function, loadForCalls, actions)
		}
		if function.activeReplicas() > 0 || c.loading >= c.limits.MaxLoads {
			continue
		}
		starvation := time.Duration(starvationLoads * float64(function.meanLoad))
		starvesAt := function.queue[0].queuedAt + starvation
		if now < starvesAt {
			wake = min(wake, starvesAt)
		} else {
			c.drainFor(function)
		}
	}
	return wake
}

// oldestCallFirst lists the functions with waiting calls, the one whose first call came first before the others.
func (c *Controller) oldestCallFirst(names []string) []*functionState {
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

// provisionRequests loads replicas that gateways requested.
func (c *Controller) provisionRequests(now time.Duration, names []string, actions *Actions) {
	for _, name := range names {
		function := c.functions[name]
		for function.requested > 0 && c.loading < c.limits.MaxLoads {
			found := c.makeSpace(function, loadForRequest, actions)
			if found == spaceNone {
				function.requested = 0 // memory that others use is not waited for
			}
			if found != spaceFree {
				break
			}
			function.requested--
			c.startLoad(now, function, loadForRequest, actions)
		}
	}
}

// needsReplica reports whether another replica would serve what waits sooner than those that there are.
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

// makeSpace finds memory for one more replica, or evicts idle replicas for it: those that were requested and have run
// no call, the oldest first, then the longest idle. A request evicts nothing that calls have used within its idle
// timeout. Memory that is about to be freed is waited for: nothing more is evicted for it.
func (c *Controller) makeSpace(function *functionState, cause loadCause, actions *Actions) space {
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
		return spaceNone // what would not be enough stays
	}
	slices.SortFunc(candidates, compareEviction)
	for _, r := range candidates {
		if missing <= 0 {
			break
		}
		missing -= r.release.MemoryBytes
		c.unload(r, actions)
	}
	return spaceComing
}

// isEvictableFor reports whether a replica may be evicted for one of another function.
func (r *replica) isEvictableFor(function *functionState, cause loadCause) bool {
	if !r.isIdle() || r.function == function || len(r.function.queue) > 0 {
		return false
	}
	return r.preloaded || cause == loadForCalls
}

// compareEviction orders replicas by which is evicted first.
func compareEviction(a, b *replica) int {
	if a.preloaded != b.preloaded {
		if a.preloaded {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
}

// drainFor drains busy replicas until there will be memory for a function: one at a time from the function that uses
// most.
func (c *Controller) drainFor(starving *functionState) {
	coming := int64(0)
	for _, r := range c.replicas {
		if r.draining || r.state == replicaUnloading {
			coming += r.release.MemoryBytes
		}
	}
	for c.reservedBytes+starving.MemoryBytes-coming > c.limits.MemoryBytes {
		largest := c.largestFunction(starving)
		if largest == nil {
			return // all else is loading: it will be warm, then drained
		}
		var leastBusy *replica
		for _, r := range largest.replicas {
			if r.state == replicaWarm && !r.draining && (leastBusy == nil || r.running < leastBusy.running) {
				leastBusy = r
			}
		}
		leastBusy.draining = true
		coming += leastBusy.release.MemoryBytes
	}
}

// largestFunction is the function whose warm replicas use the most memory, other than the one given; nil: there is
// none.
func (c *Controller) largestFunction(except *functionState) (largest *functionState) {
	most := int64(0)
	for _, name := range slices.Sorted(maps.Keys(c.functions)) {
		function := c.functions[name]
		used := int64(0)
		for _, r := range function.replicas {
			if r.state == replicaWarm && !r.draining {
				used += r.release.MemoryBytes
			}
		}
		if function != except && used > most {
			largest, most = function, used
		}
	}
	return largest
}
