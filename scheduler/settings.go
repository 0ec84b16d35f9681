package scheduler

import (
	"math"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/base/window"
)

// New starts the Scheduler of front end self of peers; quantum is the least time between two calls.
func New(seed uint64, self, peers int, quantum time.Duration) *Scheduler {
	return &Scheduler{rng: random.New(seed), index: self, gateways: max(1, peers),
		minTickInterval: max(quantum, 0), types: map[string]*typeStats{}, tenants: map[string]*tenant{},
		workers: map[string]*worker{}, functions: map[uint64]*function{}, longestObjective: time.Second,
		kinds: map[string]*workerKind{}, probeLatencies: map[string]*probeLatency{},
		maxAttempts: 1, placementWidth: maxPlacementWidth, subscribeAt: math.MaxInt64,
		loadsSent: window.New(0), submitted: window.New(0), completedWork: window.New(0),
		originalRequests: window.New(trafficWindow), arrivals: window.New(4 * trafficWindow)}
}

func (c *Scheduler) AddType(t RequestType) {
	t.Objective = max(t.Objective, time.Millisecond)
	c.types[t.Name] = &typeStats{RequestType: t, sampleCount: 1, meanLatency: fractionOf(initialLatencyShare, t.Objective)}
	if t.Objective > c.longestObjective { // reports are believed for longer
		c.longestObjective = t.Objective
		c.countersStale = true
	}
}

// AddTenant tells of a tenant and of the requests a second within its share, at all front ends together.
func (c *Scheduler) AddTenant(name string, quota float64) {
	c.totalQuota += quota
	c.tenants[name] = &tenant{quota: quota, arrivals: window.New(trafficWindow), retries: window.New(trafficWindow)}
}

// SetSlowStart tells what a worker that has just started stands.
func (c *Scheduler) SetSlowStart(from float64, warmAfter time.Duration, multiple float64, fall time.Duration) {
	c.slowStartInitialShare, c.warmUpTime, c.crashMultiple, c.crashWindow = from, warmAfter, multiple, max(fall, time.Millisecond)
	c.completedWork = window.New(8 * c.crashWindow)
}

// SetSubscribeInterval says that the list of workers must be asked for, at least so often unless subscribed.
func (c *Scheduler) SetSubscribeInterval(within time.Duration) {
	c.subscribeAt, c.subscribeInterval = 0, max(within/8, time.Millisecond)
}

// AddWorkerKind tells the memory of a worker of one kind, in the unit of the requests' memory.
func (c *Scheduler) AddWorkerKind(name string, memory float64) {
	c.kindFor(name).workerMemory = plausibleOrZero(memory, maxPlausibleMemory)
}

// SetAttemptPolicy tells what the front end may do; back is the longest time to come back that clients honour, or 0.
func (c *Scheduler) SetAttemptPolicy(launches int, cancel, probe bool, back time.Duration) {
	c.maxAttempts, c.cancelEnabled, c.probesEnabled, c.maxRetryAfter = max(1, launches), cancel, probe, back
}

// SetLoadPolicy tells how functions come to workers, how long replicas and orders last, and the rate limit of orders.
func (c *Scheduler) SetLoadPolicy(orders, onMiss bool, keep, limit, within time.Duration, free, share float64) {
	c.loadRequestsEnabled, c.loadsOnMiss, c.replicaIdleTimeout, c.loadTimeout = orders, onMiss, keep, limit
	c.loadRateLimited, c.loadBurst, c.loadsPerRequest = within > 0, free, share
	c.loadsSent, c.submitted = window.New(within), window.New(within)
}

// PreferZone says that attempts to other zones than this one cost something.
func (c *Scheduler) PreferZone(own string) { c.zone = own }
