package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/base/window"
	"lupinpond/scheduler/internal/fleetindex"
)

// Effect says what may happen when a request runs a second time.
type Effect int

// The effects a request type can have.
const (
	Idempotent Effect = iota
	IdempotencyKey
	AtMostOnce
)

// DedupScope names the workers that drop each other's retries of a keyed request.
type DedupScope int

// The groups of a keyed request type.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// RequestType is what is known beforehand of the requests of one type.
type RequestType struct {
	Name        string
	Effect      Effect
	DedupScope  DedupScope    `cbor:"Group"`
	DedupWindow time.Duration `cbor:"Window"` // how long a retry of a keyed request is dropped
	Objective   time.Duration `cbor:"Target"`
}

// Request is one request of a client. The exported fields are facts; the rest is the Scheduler's.
type Request struct {
	ID          string
	Type        string
	Tenant      string
	Function    uint64
	TimeLeft    time.Duration `cbor:"Patience"` // how long the client still waits
	Concurrency int           `cbor:"Lanes"`    // requests that one replica runs at a time
	Memory      float64       // of one replica; 0 where it is not told
	LoadTime    time.Duration // usual time of a load; 0 where it is not told
	Retry       bool          `cbor:"Repeat"` // the client marked it as a retry

	typ               *typeStats
	function          *function
	submittedAt       time.Duration
	deadline          time.Duration
	objectiveDeadline time.Duration // end of the latency objective of its first try
	attempts          int
	target            *replicaSet   // where an attempt is in flight
	sentAt            time.Duration // when the attempt in flight, or the last one, left
	sentCold          bool          // that attempt was sent to bring the function there
	mayHaveRun        *worker       // worker of the first attempt that may have run
	mayHaveRunSince   time.Duration
	avoid             *worker
	queuedAhead       float64 // requests that waited there when it left, as far as was known
	overQuota         bool    // beyond its tenant's share when it came
	closed            bool
	reason            Reason // why it was given up
}

// InFlight tells whether an attempt of the request still has no outcome.
func (request *Request) InFlight() bool { return request.target != nil }

// Action is what to do with a request.
type Action int

// The answers to "where to send this request".
const (
	Enqueue Action = iota
	Send
	Reject
	Fail
	Cancel // give up the attempt, not the request
	NoAction
)

// Decision tells what to do with one request.
type Decision struct {
	Request    *Request
	Action     Action
	Worker     string
	Attempt    int           // with Cancel: which attempt, counted from 0
	RetryAfter time.Duration // with Reject: when to come back; 0: not named
}

// Result is how an attempt, a probe or a load request ended.
type Result int

// The results.
const (
	Completed      Result = iota
	Failed                // an error: it may have run
	Full                  // turned away unseen
	TimedOut              // may have run, or run still
	Unreachable           // no connection: never ran
	ConnectionLost        // connection lost: may have run
	Cancelled             // may have run
	Withheld              // never left the front end
	NotFound              // function not there: never ran
)

// ReplicaState is what an answer tells of the replica that the request found.
type ReplicaState int

// The kinds of warmth.
const (
	ReplicaUnknown ReplicaState = iota
	ReplicaWarm
	ReplicaLoadStarted
	ReplicaLoadJoined
	ReplicaLoadFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Worker       string
	Duration     time.Duration `cbor:"Took"`
	Result       Result
	Final        bool         // the request has ended with this outcome or before
	ReplicaState ReplicaState `cbor:"Warmth"`
	Report       LoadReport   `cbor:"Load"`
}

// LoadReport is what a worker reports of itself, for all that it serves.
type LoadReport struct {
	Reported   bool    `cbor:"Told"`    // false where no report came
	QueueDepth float64 `cbor:"Waiting"` // requests that wait there; 0 where it is not told
}

// Condition is a worker's state in the list.
type Condition int

// The conditions.
const (
	Up Condition = iota
	Draining
	Removed
)

// Member is one line of the list of workers.
type Member struct {
	Worker    string
	Zone      string
	Cell      string
	Kind      string
	Weight    float64 `cbor:"Size"` // what it can do, over others; 0: not told
	Condition Condition
	Started   time.Duration // 0: long ago
}

// LoadRequest asks a worker to hold replicas of a function.
type LoadRequest struct {
	Worker   string
	Function uint64
	Replicas int `cbor:"Copies"`
}

// TickResult is what is due at one moment.
type TickResult struct {
	Decisions    []Decision
	LoadRequests []LoadRequest
	Probes       []string      // workers to probe
	Subscribe    bool          // subscribe to the list of workers
	Next         time.Duration // how long to wait at the most; 0: until news comes
}

type typeStats struct {
	RequestType
	sampleCount time.Duration // answers in the average
	meanLatency time.Duration // of the answer time
	minLatency  time.Duration // shortest mean answer time, slowly forgotten
	maxTimeLeft time.Duration // most that a client has shown
}

// workerKind is what is known of the workers of one kind.
type workerKind struct {
	weightSum, workerCount float64                        // sum of the sizes told, workers
	workerMemory           float64                        // of one of them; 0: not told
	sampleCount, slowness  float64                        // answers; their time over the mean of its function
	ring                   fleetindex.ScaledRing[*worker] // those that may get something new, at their points on a circle
}

// probeLatency is what probes of a zone take.
type probeLatency struct {
	minimum    time.Duration
	meanExcess float64 // mean beyond that, in parts of it
}

type tenant struct {
	quota    float64 // requests a second within its share, at this front end
	arrivals *window.Window
	retries  *window.Window // its marked retries that were taken
}

// adaptiveLimit is a limit of attempts in flight and the answer times that move it.
type adaptiveLimit struct {
	limit                       float64
	minimum                     float64
	latencies, allowedLatencies *window.Window
}

// empty tells that no replica is assumed there, nor being loaded.
func (replicas *replicaSet) empty() bool { return replicas.replicas+replicas.loading == 0 }

// counters is what one worker counts for, or all of them together.
type counters [counterCount]int32

// What is counted of workers.
const (
	eligible              = iota // may get something new, by the list
	ejected                      // ejected, or half-open
	withCapacity                 // with room for an attempt
	withCapacityOrEjected        // the same, with ejections not believed
	recentlyReported             // a load report came lately
	withoutQueue                 // and told of no other requests that wait there
	attemptsInFlight             // attempts under way
	counterCount
)

func (counts *counters) set(what int, counted bool) {
	if counted {
		counts[what] = 1
	}
}

// replace takes one worker's part out of the sums and puts another in.
func (counts *counters) replace(old, now counters) {
	for what := range counts {
		counts[what] += now[what] - old[what]
	}
}

type worker struct {
	Member
	adaptiveLimit
	kind                *workerKind
	hash                uint64
	listed              bool
	lastUpdate          int                          // the last update of the list that named it
	counters            counters                     // its part of the fleet's
	memberSlot          fleetindex.Slot              // among the members of the fleet
	busySlot            fleetindex.Slot              // among those with attempts under way
	countersDeadline    fleetindex.Deadline[*worker] // when time alone changes its tally
	ringNode            *fleetindex.Node[*worker]    // in the order of its kind; nil: it gets nothing new
	attempts            []*Request                   // attempts in flight, oldest first
	lastSuccess         time.Duration
	consecutiveFailures int // failures in a row
	ejectedUntil        time.Duration
	ejectionDuration    time.Duration
	halfOpen            bool
	reportedAt          time.Duration // its last load report
	queueDepth          float64       // requests waiting by it
	probeInFlight       bool          // a probe is out since probedAt
	unresponsive        bool          // the last probe failed, nothing came since
	probedAt            time.Duration
	slowUntil           time.Duration        // until then it comes last for a late answer
	backloggedUntil     time.Duration        // until then it is believed to have requests waiting
	rejections          map[string]rejection // by tenant
	lastSlowStartSend   time.Duration        // last attempt while cold, or when it was heard of
	slowStartPauseShare float64              // part of the pause that is kept from then
}

// rejection is a tenant's requests turned away as full.
type rejection struct {
	consecutive int // in a row
	until       time.Duration
}

// replicaSet is what is assumed of one function at one worker.
type replicaSet struct {
	worker         *worker
	replicas       int // believed loaded
	inFlight       int // own requests there
	assumedUntil   time.Duration
	loading        int // loads under way
	loadDeadline   time.Duration
	rejectingUntil time.Duration
}

type function struct {
	id                uint64
	tenant            string
	typ               *typeStats
	concurrency       int
	loadTime          time.Duration
	replicaMemory     float64 // of a replica
	queue             []*Request
	replicaSets       []*replicaSet
	runTimes          window.MovingAverage
	arrivalsSinceTick int // since the last advance
	arrivals          *window.Window
	nextTick          time.Duration
	active            bool
}

// Scheduler decides for one front end.
type Scheduler struct {
	rng              random.Source
	index, gateways  int
	minTickInterval  time.Duration
	longestObjective time.Duration // longest latency objective

	types                                map[string]*typeStats
	tenants                              map[string]*tenant
	workers                              map[string]*worker
	kinds                                map[string]*workerKind   // those of the list or told of
	orderedKinds                         []*workerKind            // the same, in the order in which they became known
	meanWeight                           float64                  // of the workers of the list
	probeLatencies                       map[string]*probeLatency // by zone
	zone                                 string                   // its own, where crossing costs
	members                              fleetindex.List[*worker] // those listed or with attempts under way
	busy                                 fleetindex.List[*worker] // those with attempts under way
	unlisted                             []*worker                // members that are off the list
	updateCount                          int                      // of the list
	counters                             counters
	deadlines                            fleetindex.Deadlines[*worker]  // of the members' tallies
	countersStale                        bool                           // every tally has to be taken anew
	sharedOrder                          fleetindex.MergedRing[*worker] // that all front ends share
	functionPoints                       []uint64                       // of the function whose order is walked
	preferredBuffer, deprioritizedBuffer []*worker                      // room for the workers found on a walk
	functions                            map[uint64]*function
	activeFunctions                      []*function // with held requests
	rebalanceCandidates                  []*function // whose first replica may belong elsewhere
	cancelCandidates                     []*Request  // in flight at workers just ejected

	loadsInFlight         int           // orders not answered yet
	loadLimit             adaptiveLimit // of them
	loadSlowdown          float64       // what loads take, over what is usual
	functionsAfterCleanup int           // functions after the last clean-up
	fleetLimit            adaptiveLimit // attempts in flight at all workers
	inFlight              int
	limitRounding         float64 // of the limit on them
	overloaded            bool    // few workers have room
	ejectionsIgnored      bool    // too many workers are ejected to be believed

	maxAttempts   int
	cancelEnabled bool
	probesEnabled bool
	pendingProbes []string // workers to probe
	maxRetryAfter time.Duration

	loadRequestsEnabled, loadsOnMiss bool
	replicaIdleTimeout, loadTimeout  time.Duration
	loadRateLimited                  bool
	loadBurst, loadsPerRequest       float64
	loadsSent, submitted             *window.Window // load requests and requests in the rate limit's window

	slowStartInitialShare, crashMultiple float64
	warmUpTime, crashWindow              time.Duration
	completedWork                        *window.Window // attempts to all workers, weighted

	subscribeAt, subscribeInterval time.Duration

	totalQuota       float64        // requests a second within the shares of all tenants
	originalRequests *window.Window // first tries
	arrivals         *window.Window // requests

	queuedAheadSum, queueDelaySum, delayPerQueued float64 // requests ahead of attempts, what they took longer, and that for each

	placementWidth        float64 // workers for first replicas, over those that a function fills
	arrivalDiscount       float64 // of the requests of a function, what may be luck
	nextPlacementEstimate time.Duration
}

// ClientDisconnected says that the client of a request is gone.
func (s *Scheduler) ClientDisconnected(request *Request) { request.closed = true }

// LimitDeadline says that a request must have its final answer by a time before its client gives up.
func (s *Scheduler) LimitDeadline(request *Request, by time.Duration) {
	request.deadline = min(request.deadline, by)
}

// kindFor is what is known of a kind, from now on if not before.
func (s *Scheduler) kindFor(name string) *workerKind {
	if s.kinds[name] == nil {
		kind := &workerKind{slowness: 1}
		kind.ring.Scale = kind.effectiveWeight
		s.kinds[name], s.orderedKinds = kind, append(s.orderedKinds, kind)
		s.sharedOrder.Add(&kind.ring)
	}
	return s.kinds[name]
}

// acceptsNew tells whether the list lets a worker have anything new (rule 3).
func (w *worker) acceptsNew() bool { return w.listed && w.Condition == Up }

// listedWeight is the size that the list tells, 1 where it tells none.
func (w *worker) listedWeight() float64 { return cmp.Or(w.Weight, 1) }

// recordSuccess notes an answer that tells that the worker is well.
func (w *worker) recordSuccess(now time.Duration) {
	w.consecutiveFailures, w.lastSuccess, w.ejectionDuration, w.ejectedUntil = 0, now, 0, 0
	w.halfOpen, w.unresponsive = false, false
}

func (w *worker) recordRejection(tenant string, r rejection) {
	if w.rejections == nil {
		w.rejections = map[string]rejection{}
	}
	w.rejections[tenant] = r
}

// replicaSetAt is what is believed of the function at a worker, from now on if not before.
func (f *function) replicaSetAt(w *worker) *replicaSet {
	i := slices.IndexFunc(f.replicaSets, func(replicas *replicaSet) bool { return replicas.worker == w })
	if i < 0 {
		i = len(f.replicaSets)
		f.replicaSets = append(f.replicaSets, &replicaSet{worker: w})
	}
	return f.replicaSets[i]
}

// knownQueueDepth is how many requests wait there, as far as is known.
func (w *worker) knownQueueDepth(now time.Duration) float64 {
	if now < w.backloggedUntil {
		return w.queueDepth
	}
	return 0
}

// plausibleOrZero is a value told, or 0, as if not told, where it is absurd or no number.
func plausibleOrZero(v, most float64) float64 {
	if v > 0 && v < most {
		return v
	}
	return 0
}

func fractionOf(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

func rankBehind(rank float64, behind bool) float64 {
	if behind {
		return rank + math.MaxUint32
	}
	return rank
}

func (kind *workerKind) effectiveWeight() float64 {
	return kind.weightSum / kind.workerCount / kind.slowness
}

func (f *function) expectedLoadTime() time.Duration { return cmp.Or(f.loadTime, f.typ.Objective) }

func (stats *typeStats) retryableAnywhere() bool {
	return stats.Effect == Idempotent || stats.Effect == IdempotencyKey && stats.DedupScope == ScopeAll
}
