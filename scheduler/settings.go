package scheduler

import (
	"time"

	"lupinpond/internal/base/window"
)

// AttemptPolicy states what the gateway may do to serve a request.
type AttemptPolicy struct {
	MaxAttempts   int           // attempts of one request
	Cancel        bool          // attempts at ejected workers may be cancelled
	Probe         bool          // workers may be probed
	MaxRetryAfter time.Duration // longest Retry-After that clients honour; 0: send none
}

// LoadPolicy states how workers load functions.
type LoadPolicy struct {
	// RequestLoads allows the gateway to send load requests.
	RequestLoads bool `cbor:"1,keyasint"`

	// LoadOnMiss states that a worker loads the function of a request if it has no replica of it.
	LoadOnMiss bool `cbor:"2,keyasint"`

	// ReplicaIdleTimeout is the time after which a worker unloads an idle replica.
	ReplicaIdleTimeout time.Duration `cbor:"3,keyasint"`

	// RequestTimeout is the longest time after which an unanswered load request counts as lost.
	RequestTimeout time.Duration `cbor:"4,keyasint"`

	// RateWindow is the window of the rate limit of load requests; 0: no limit. The limit in a window is
	// RateBurst + RatePerRequest * requests submitted in the window.
	RateWindow     time.Duration `cbor:"5,keyasint"`
	RateBurst      float64       `cbor:"6,keyasint"`
	RatePerRequest float64       `cbor:"7,keyasint"`
}

// SlowStart states the load that a recently started worker can handle.
type SlowStart struct {
	// InitialShare is the minimum share of its capacity that a worker has at its start.
	InitialShare float64 `cbor:"1,keyasint"`

	// WarmUpTime is the time from the start until a worker has all of its capacity.
	WarmUpTime time.Duration `cbor:"2,keyasint"`

	// CrashMultiple is the load, in multiples of its current capacity, that makes a worker crash if it lasts for
	// CrashWindow; 0: no slow start.
	CrashMultiple float64       `cbor:"3,keyasint"`
	CrashWindow   time.Duration `cbor:"4,keyasint"`
}

// tenant holds the quota of one tenant and the counts of its requests.
type tenant struct {
	quota    float64        // requests per second, at all gateways
	arrivals *window.Window // requests within the quota
	retries  *window.Window // accepted requests that are marked as retries
}

// AddType adds a request type.
func (s *Scheduler) AddType(requestType RequestType) {
	requestType.Objective = max(requestType.Objective, time.Millisecond)
	s.types[requestType.Name] = &typeStats{
		RequestType: requestType,
		sampleCount: 1,
		meanLatency: fractionOf(initialLatencyShare, requestType.Objective),
	}
	if requestType.Objective > s.longestObjective { // reports are considered valid for longer
		s.longestObjective = requestType.Objective
		s.countersStale = true
	}
}

// AddTenant adds a tenant and its quota, in requests per second at all gateways together.
func (s *Scheduler) AddTenant(name string, quota float64) {
	s.totalQuota += quota
	s.tenants[name] = &tenant{
		quota:    quota,
		arrivals: window.New(trafficWindow),
		retries:  window.New(trafficWindow),
	}
}

// AddWorkerKind sets the memory of the workers of one kind, in the unit of Request.Memory.
func (s *Scheduler) AddWorkerKind(name string, memory float64) {
	s.kindFor(name).workerMemory = plausibleOrZero(memory, maxPlausibleMemory)
}

// SetAttemptPolicy sets what the gateway may do to serve a request.
func (s *Scheduler) SetAttemptPolicy(policy AttemptPolicy) {
	policy.MaxAttempts = max(1, policy.MaxAttempts)
	s.attemptPolicy = policy
}

// SetLoadPolicy sets how workers load functions.
func (s *Scheduler) SetLoadPolicy(policy LoadPolicy) {
	s.loadPolicy = policy
	s.loadsSent = window.New(policy.RateWindow)
	s.submitted = window.New(policy.RateWindow)
	s.verificationsSent = window.New(policy.RateWindow)
}

// SetSlowStart sets the load that a recently started worker can handle.
func (s *Scheduler) SetSlowStart(slowStart SlowStart) {
	slowStart.CrashWindow = max(slowStart.CrashWindow, time.Millisecond)
	s.slowStart = slowStart
	s.completedWork = window.New(completedWorkWindows * slowStart.CrashWindow)
}

// SetSubscribeInterval makes Tick request a subscription to the worker registry, at least once per interval
// until it is answered.
func (s *Scheduler) SetSubscribeInterval(interval time.Duration) {
	s.subscribeAt = 0
	s.subscribeInterval = max(interval/subscribeRetries, time.Millisecond)
}

// PreferZone sets the zone of this gateway, whose workers are preferred because attempts to other zones have
// a cost.
func (s *Scheduler) PreferZone(zone string) { s.zone = zone }
