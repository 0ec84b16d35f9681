package scheduler

import (
	"math"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/base/window"
)

// New starts the Scheduler of front end self of peers; quantum is the least time between two calls.
func New(seed uint64, self, peers int, quantum time.Duration) *Scheduler {
	return &Scheduler{random: random.New(seed), self: self, frontEnds: max(1, peers),
		quantum: max(quantum, 0), types: map[string]*typeState{}, tenants: map[string]*tenant{},
		workers: map[string]*worker{}, functions: map[uint64]*function{}, longest: time.Second,
		kinds: map[string]*kind{}, probeTimes: map[string]*probeTimes{},
		maxAttempts: 1, placementWidth: firstPlacementWidth, subscribeAt: math.MaxInt64,
		loadsSent: window.New(0), submitted: window.New(0), work: window.New(0),
		firstTries: window.New(freshSpan), arrivals: window.New(4 * freshSpan)}
}

func (c *Scheduler) AddType(t RequestType) {
	t.Objective = max(t.Objective, time.Millisecond)
	c.types[t.Name] = &typeState{RequestType: t, seen: 1, mean: part(firstShare, t.Objective)}
	if t.Objective > c.longest { // reports are believed for longer
		c.longest = t.Objective
		c.stale = true
	}
}

// AddTenant tells of a tenant and of the requests a second within its share, at all front ends together.
func (c *Scheduler) AddTenant(name string, quota float64) {
	c.tenantShares += quota
	c.tenants[name] = &tenant{quota: quota, arrivals: window.New(freshSpan), retries: window.New(freshSpan)}
}

// SlowStart tells what a worker that has just started stands.
func (c *Scheduler) SlowStart(from float64, warmAfter time.Duration, multiple float64, fall time.Duration) {
	c.coldFrom, c.warmAfter, c.fallMultiple, c.fall = from, warmAfter, multiple, max(fall, time.Millisecond)
	c.work = window.New(8 * c.fall)
}

// SubscribeWithin says that the list of workers must be asked for, at least so often unless subscribed.
func (c *Scheduler) SubscribeWithin(within time.Duration) {
	c.subscribeAt, c.subscribeEvery = 0, max(within/8, time.Millisecond)
}

// AddKind tells the memory of a worker of one kind, in the unit of the requests' memory.
func (c *Scheduler) AddKind(name string, memory float64) {
	c.kindOf(name).memory = believable(memory, mostMemory)
}

// Allowed tells what the front end may do; back is the longest time to come back that clients honour, or 0.
func (c *Scheduler) Allowed(launches int, cancel, probe bool, back time.Duration) {
	c.maxAttempts, c.cancel, c.probing, c.maxRetryAfter = max(1, launches), cancel, probe, back
}

// Loading tells how functions come to workers, how long replicas and orders last, and the rate limit of orders.
func (c *Scheduler) Loading(orders, onMiss bool, keep, limit, within time.Duration, free, share float64) {
	c.mayRequestLoads, c.loadsOnMiss, c.keep, c.loadTimeout = orders, onMiss, keep, limit
	c.loadsLimited, c.loadBurst, c.loadsPerRequest = within > 0, free, share
	c.loadsSent, c.submitted = window.New(within), window.New(within)
}

// Crossing says that attempts to other zones than this one cost something.
func (c *Scheduler) Crossing(own string) { c.zone = own }
