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

func (s *Scheduler) AddType(requestType RequestType) {
	requestType.Objective = max(requestType.Objective, time.Millisecond)
	s.types[requestType.Name] = &typeStats{RequestType: requestType, sampleCount: 1, meanLatency: fractionOf(initialLatencyShare, requestType.Objective)}
	if requestType.Objective > s.longestObjective { // reports are believed for longer
		s.longestObjective = requestType.Objective
		s.countersStale = true
	}
}

// AddTenant tells of a tenant and of the requests a second within its share, at all front ends together.
func (s *Scheduler) AddTenant(name string, quota float64) {
	s.totalQuota += quota
	s.tenants[name] = &tenant{quota: quota, arrivals: window.New(trafficWindow), retries: window.New(trafficWindow)}
}

// SetSlowStart tells what a worker that has just started stands.
func (s *Scheduler) SetSlowStart(from float64, warmAfter time.Duration, multiple float64, fall time.Duration) {
	s.slowStartInitialShare, s.warmUpTime, s.crashMultiple, s.crashWindow = from, warmAfter, multiple, max(fall, time.Millisecond)
	s.completedWork = window.New(8 * s.crashWindow)
}

// SetSubscribeInterval says that the list of workers must be asked for, at least so often unless subscribed.
func (s *Scheduler) SetSubscribeInterval(within time.Duration) {
	s.subscribeAt, s.subscribeInterval = 0, max(within/8, time.Millisecond)
}

// AddWorkerKind tells the memory of a worker of one kind, in the unit of the requests' memory.
func (s *Scheduler) AddWorkerKind(name string, memory float64) {
	s.kindFor(name).workerMemory = plausibleOrZero(memory, maxPlausibleMemory)
}

// SetAttemptPolicy tells what the front end may do; back is the longest time to come back that clients honour, or 0.
func (s *Scheduler) SetAttemptPolicy(launches int, cancel, probe bool, back time.Duration) {
	s.maxAttempts, s.cancelEnabled, s.probesEnabled, s.maxRetryAfter = max(1, launches), cancel, probe, back
}

// SetLoadPolicy tells how functions come to workers, how long replicas and orders last, and the rate limit of orders.
func (s *Scheduler) SetLoadPolicy(orders, onMiss bool, keep, limit, within time.Duration, free, share float64) {
	s.loadRequestsEnabled, s.loadsOnMiss, s.replicaIdleTimeout, s.loadTimeout = orders, onMiss, keep, limit
	s.loadRateLimited, s.loadBurst, s.loadsPerRequest = within > 0, free, share
	s.loadsSent, s.submitted = window.New(within), window.New(within)
}

// PreferZone says that attempts to other zones than this one cost something.
func (s *Scheduler) PreferZone(own string) { s.zone = own }
