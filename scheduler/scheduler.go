package scheduler

import (
	"math"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/base/window"
	"lupinpond/scheduler/internal/fleetindex"
)

// Scheduler makes the decisions of one gateway. It is not safe for concurrent use.
type Scheduler struct {
	rng              random.Source
	index            int // number of this gateway, from 0
	gateways         int // number of all gateways
	minTickInterval  time.Duration
	longestObjective time.Duration // longest latency objective of all request types

	types   map[string]*typeStats
	tenants map[string]*tenant

	// The fleet.
	workers       map[string]*worker
	members       fleetindex.List[*worker] // workers that are listed or have attempts in flight
	busy          fleetindex.List[*worker] // workers with attempts in flight
	unlisted      []*worker                // members that the registry no longer lists
	updateCount   int                      // number of membership updates
	counters      counters                 // sums of the fleet counters over the members
	deadlines     fleetindex.Deadlines[*worker]
	countersStale bool   // the counters of every member must be updated
	zone          string // preferred zone; empty: none

	// Worker kinds.
	kinds        map[string]*workerKind
	orderedKinds []*workerKind // in the order in which they were added
	meanWeight   float64       // mean weight of the members, each divided by the slowness of its kind

	// Functions.
	functions             map[uint64]*function
	maxFunctions          int         // functions that are kept; 0: no limit
	functionsAfterCleanup int         // number of functions after the last removal of idle ones
	activeFunctions       []*function // functions with queued requests
	rebalanceCandidates   []*function // functions whose first replica may belong on another worker
	cancelCandidates      []*Request  // requests in flight to workers that were just ejected

	// Placement.
	sharedOrder           fleetindex.MergedRing[*worker] // the same order at all gateways
	functionPoints        []uint64                       // points of the function whose shared order is iterated
	preferredBuffer       []*worker                      // reused buffer
	deprioritizedBuffer   []*worker                      // reused buffer
	placementWidth        float64                        // preferred workers per worker filled by traffic
	arrivalDiscount       float64                        // arrivals of a function attributed to chance
	nextPlacementEstimate time.Duration

	// State of the fleet at the last decision.
	inFlight         int           // attempts in flight at workers that are not half-open
	fleetLimit       adaptiveLimit // limit of attempts in flight
	limitRounding    float64       // random number below 1, for each decision
	overloaded       bool          // the fleet is overloaded, see updateFleetState
	ejectionsIgnored bool          // ejections are ignored, because too many workers are ejected

	attemptPolicy AttemptPolicy

	// Probes.
	pendingProbes  []string                 // workers to probe
	probeLatencies map[string]*probeLatency // by zone
	queueDelay     queueDelay

	// Load requests.
	loadPolicy    LoadPolicy
	loadsSent     *window.Window // load requests in the rate limit's window
	submitted     *window.Window // requests submitted in the rate limit's window
	loadsInFlight int
	loadLimit     adaptiveLimit // limit of loadsInFlight
	loadSlowdown  float64       // mean ratio of the load time to the expected one

	// Slow start.
	slowStart     SlowStart
	completedWork *window.Window // work of completed requests, in nanoseconds of mean latency

	// Traffic.
	totalQuota       float64        // requests per second, of all tenants at all gateways
	originalRequests *window.Window // requests that are not marked as retries
	arrivals         *window.Window // all requests

	// Subscription to the worker registry.
	subscribeAt       time.Duration
	subscribeInterval time.Duration

	// Leases.
	watchLease            time.Duration // expiry of the registry watch's lease; never: no leases are needed
	watchLeaseSetAt       time.Duration // when the watch lease was last set
	watchRenewed          bool          // the watch lease has been renewed since the start
	leaseTime             time.Duration // duration of a worker's lease
	leaseCandidates       []leaseCandidate
	nextPreparation       time.Duration
	nextLeaseSelection    time.Duration
	provisionalCandidates []leaseCandidate // workers that have just answered a query and have replicas
	queryChecks           []leaseCandidate // workers that have just rejected work
	queries               *window.Window
	queryTrust            queryTrust
	drainingQueryAt       time.Duration  // time of the next query to a draining worker; never: none is scheduled
	verificationsSent     *window.Window // verifications in the rate limit's window
	watchExpiryRecorded   bool
	leasedCount           int  // workers with a lease at the last count
	noLeases              bool // no worker has a lease, and none can obtain one now
	leaseEvents           []LeaseEvent
}

// New returns the Scheduler of the gateway with number index, from 0, among all gateways. minTickInterval is
// the minimum time between two calls of Tick.
func New(seed uint64, index, gateways int, minTickInterval time.Duration) *Scheduler {
	return &Scheduler{
		rng:              random.New(seed),
		index:            index,
		gateways:         max(1, gateways),
		minTickInterval:  max(minTickInterval, 0),
		longestObjective: time.Second,
		types:            map[string]*typeStats{},
		tenants:          map[string]*tenant{},
		workers:          map[string]*worker{},
		kinds:            map[string]*workerKind{},
		functions:        map[uint64]*function{},
		probeLatencies:   map[string]*probeLatency{},
		attemptPolicy:    AttemptPolicy{MaxAttempts: 1},
		placementWidth:   maxPlacementWidth,
		subscribeAt:      math.MaxInt64,
		watchLease:       never,
		drainingQueryAt:  never,
		queries:          window.New(time.Second),

		verificationsSent: window.New(0),
		loadsSent:         window.New(0),
		submitted:         window.New(0),
		completedWork:     window.New(0),
		originalRequests:  window.New(trafficWindow),
		arrivals:          window.New(arrivalWindows * trafficWindow),
	}
}

// ClientDisconnected records that the client of a request has disconnected.
func (s *Scheduler) ClientDisconnected(request *Request) { request.closed = true }

// LimitDeadline moves the deadline for the final answer to a request to the time by, if that is earlier.
func (s *Scheduler) LimitDeadline(request *Request, by time.Duration) {
	request.deadline = min(request.deadline, by)
}

// randomFraction returns a random number of thousandths in [0, 1).
func (s *Scheduler) randomFraction() float64 { return float64(s.rng.IntN(1000)) / 1000 }

// plausibleOrZero returns a reported value, or 0, as if not reported, if it is implausible or not a number.
func plausibleOrZero(value, limit float64) float64 {
	if value > 0 && value < limit {
		return value
	}
	return 0
}

// fractionOf returns share * of.
func fractionOf(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
