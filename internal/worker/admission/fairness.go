package admission

import (
	"cmp"
	"math"
	"time"
)

// tenantState is what a tenant has on this worker.
type tenantState struct {
	virtualTime float64 // of its runs, see dispatch
	waiting     int
	running     int
}

// isActive reports whether the tenant has any call here.
func (t *tenantState) isActive() bool { return t.waiting+t.running > 0 }

// tenant is the state of a tenant, a new one if it is not known.
func (c *Controller) tenant(name string) *tenantState {
	tenant := c.tenants[name]
	if tenant == nil {
		tenant = &tenantState{}
		c.tenants[name] = tenant
	}
	return tenant
}

// exceedsShare reports whether one more call would give a tenant more than its part of a queue that many want: no
// tenant fills it for the others.
func (c *Controller) exceedsShare(name string, tenant *tenantState) bool {
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

// joinFairQueue brings the virtual times of a tenant and a function up to those that are active: one that comes back
// does not make up for the time that it was away.
func (c *Controller) joinFairQueue(tenantName string, tenant *tenantState, function *functionState) {
	if !tenant.isActive() {
		tenant.virtualTime = max(tenant.virtualTime, c.minTenantVirtualTime())
	}
	if len(function.queue) == 0 {
		function.virtualTime = max(function.virtualTime, c.minFunctionVirtualTime(tenantName))
	}
}

// minTenantVirtualTime is the least virtual time of the active tenants; 0: there is none.
func (c *Controller) minTenantVirtualTime() float64 {
	least := math.Inf(1)
	for _, tenant := range c.tenants {
		if tenant.isActive() {
			least = min(least, tenant.virtualTime)
		}
	}
	return finiteOrZero(least)
}

// minFunctionVirtualTime is the least virtual time of the functions whose next call is the tenant's; 0: there is none.
func (c *Controller) minFunctionVirtualTime(tenant string) float64 {
	least := math.Inf(1)
	for _, function := range c.functions {
		if len(function.queue) > 0 && function.queue[0].Tenant == tenant {
			least = min(least, function.virtualTime)
		}
	}
	return finiteOrZero(least)
}

// finiteOrZero is 0 for the minimum of nothing.
func finiteOrZero(least float64) float64 {
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// dispatch starts waiting calls on free replicas, fairly: each run advances the virtual times of its tenant and its
// function by its expected cost, and the next call is that of the tenant with the least virtual time, then of its
// function with the least, then the oldest.
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
		c.leaveQueue(next)
		target.running++
		target.preloaded = false
		c.running[next.ID] = runningCall{target, next.Tenant, now}
		actions.Runs = append(actions.Runs, Run{next.ID, target.id})
	}
}

// nextDispatch is the function whose first call runs next, and the replica that runs it; nil: nothing can.
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
