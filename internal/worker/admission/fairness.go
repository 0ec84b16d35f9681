package admission

import (
	"cmp"
	"math"
	"time"
)

// tenantState is the state of a tenant on this worker.
type tenantState struct {
	virtualTime float64 // accumulated cost of the tenant's runs, see dispatch
	waiting     int     // number of waiting calls
	running     int     // number of running calls
}

// isActive reports whether the tenant has waiting or running calls on this worker.
func (t *tenantState) isActive() bool { return t.waiting+t.running > 0 }

// tenant returns the state of a tenant. It creates the state of an unknown tenant.
func (c *Controller) tenant(name string) *tenantState {
	tenant := c.tenants[name]
	if tenant == nil {
		tenant = &tenantState{}
		c.tenants[name] = tenant
	}
	return tenant
}

// exceedsFairShare reports whether one more waiting call would exceed the tenant's share of the queue, which is equal
// for all active tenants, so that one tenant cannot fill the queue for the others. The shares apply only if several
// tenants are active and at least MaxWaiting * fairShareThreshold calls are waiting.
func (c *Controller) exceedsFairShare(name string, tenant *tenantState) bool {
	if float64(c.waiting) < fairShareThreshold*float64(c.limits.MaxWaiting) {
		return false
	}
	active := 1
	for other, state := range c.tenants {
		if other != name && state.isActive() {
			active++
		}
	}
	return active > 1 && tenant.waiting >= max(1, c.limits.MaxWaiting/active)
}

// catchUpVirtualTimes raises the virtual times of a tenant and a function that become active to the minimum of those
// that are already active. Otherwise they would be preferred to make up for the time in which they had no calls.
func (c *Controller) catchUpVirtualTimes(tenantName string, tenant *tenantState, function *functionState) {
	if !tenant.isActive() {
		tenant.virtualTime = max(tenant.virtualTime, c.minTenantVirtualTime())
	}
	if len(function.queue) == 0 {
		function.virtualTime = max(function.virtualTime, c.minFunctionVirtualTime(tenantName))
	}
}

// minTenantVirtualTime returns the minimum virtual time of the active tenants, or 0 if there are none.
func (c *Controller) minTenantVirtualTime() float64 {
	least := math.Inf(1)
	for _, tenant := range c.tenants {
		if tenant.isActive() {
			least = min(least, tenant.virtualTime)
		}
	}
	return finiteOrZero(least)
}

// minFunctionVirtualTime returns the minimum virtual time of the functions whose next call is one of the tenant, or 0
// if there are none.
func (c *Controller) minFunctionVirtualTime(tenant string) float64 {
	least := math.Inf(1)
	for _, function := range c.functions {
		if len(function.queue) > 0 && function.queue[0].Tenant == tenant {
			least = min(least, function.virtualTime)
		}
	}
	return finiteOrZero(least)
}

// finiteOrZero returns 0 for positive infinity, which is the minimum of an empty set, and least otherwise.
func finiteOrZero(least float64) float64 {
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// dispatch starts waiting calls on free replicas by fair queueing. Each run increases the virtual times of its tenant
// and its function by its expected cost, the function's mean run duration. The next call is that of the tenant with the
// lowest virtual time; ties are broken by the lowest virtual time of the function, then by the oldest call.
func (c *Controller) dispatch(now time.Duration, names []string, actions *Actions) {
	for len(c.running) < c.limits.MaxRunning {
		function, target := c.nextDispatch(names)
		if function == nil {
			return
		}
		next := function.queue[0]
		function.queue = function.queue[1:]
		tenant := c.tenants[next.Tenant]
		cost := float64(max(function.meanRun, 1))
		tenant.virtualTime += cost
		function.virtualTime += cost
		tenant.running++
		c.decrementWaiting(next)
		target.running++
		target.preloaded = false
		c.running[next.ID] = runningCall{target, next.Tenant, now}
		actions.Runs = append(actions.Runs, Run{next.ID, target.id})
	}
}

// nextDispatch returns the function whose first call runs next and the replica that runs it, or nil if no waiting call
// can run.
func (c *Controller) nextDispatch(names []string) (best *functionState, target *replica) {
	var bestTenant *tenantState
	for _, name := range names {
		function := c.functions[name]
		if len(function.queue) == 0 {
			continue
		}
		free := function.freeReplica()
		if free == nil {
			continue
		}
		tenant := c.tenants[function.queue[0].Tenant]
		if best == nil || cmp.Or(
			cmp.Compare(tenant.virtualTime, bestTenant.virtualTime),
			cmp.Compare(function.virtualTime, best.virtualTime),
			cmp.Compare(function.queue[0].queuedAt, best.queue[0].queuedAt),
		) < 0 {
			best, target, bestTenant = function, free, tenant
		}
	}
	return best, target
}
