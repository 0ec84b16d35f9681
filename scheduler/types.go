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

// Group names the workers that drop each other's retries of a keyed request.
type Group int

// The groups of a keyed request type.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// RequestType is what is known beforehand of the requests of one type.
type RequestType struct {
	Name      string
	Effect    Effect
	Group     Group
	Window    time.Duration // how long a retry of a keyed request is dropped
	Objective time.Duration `cbor:"Target"`
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

	typ             *typeState
	function        *function
	submittedAt     time.Duration
	deadline        time.Duration
	objectiveAt     time.Duration // end of the latency objective of its first try
	attempts        int
	sentTo          *replicaSet   // where an attempt is in flight
	sentAt          time.Duration // when the attempt in flight, or the last one, left
	cold            bool          // that attempt was sent to bring the function there
	mayHaveRun      *worker       // worker of the first attempt that may have run
	mayHaveRunSince time.Duration
	avoid           *worker
	queuedAhead     float64 // requests that waited there when it left, as far as was known
	overShare       bool    // beyond its tenant's share when it came
	ended           bool
	reason          Reason // why it was given up
}

// InFlight tells whether an attempt of the request still has no outcome.
func (e *Request) InFlight() bool { return e.sentTo != nil }

// Verb is what to do with a request.
type Verb int

// The answers to "where to send this request".
const (
	Hold Verb = iota
	Send
	Reject
	Fail
	Cancel // give up the attempt, not the request
	Nothing
)

// Decision tells what to do with one request.
type Decision struct {
	Request    *Request
	Verb       Verb
	Worker     string
	Attempt    int           // with Cancel: which attempt, counted from 0
	RetryAfter time.Duration // with Reject: when to come back; 0: not named
}

// Result is how an attempt, a probe or a load request ended.
type Result int

// The results.
const (
	Completed Result = iota
	Failed           // an error: it may have run
	Full             // turned away unseen
	TimedOut         // may have run, or run still
	Unreached        // no connection: never ran
	Broken           // connection lost: may have run
	Cancelled        // may have run
	TooLate          // never left the front end
	Missing          // function not there: never ran
)

// Warmth is what an answer tells of the replica that the request found.
type Warmth int

// The kinds of warmth.
const (
	Unreported Warmth = iota
	FoundWarm
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	Worker string
	Took   time.Duration
	Result Result
	Final  bool // the request has ended with this outcome or before
	Warmth Warmth
	Load   Load
}

// Load is what a worker reports of itself, for all that it serves.
type Load struct {
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
	Size      float64 // what it can do, over others; 0: not told
	Condition Condition
	Started   time.Duration // 0: long ago
}

// LoadRequest asks a worker to hold replicas of a function.
type LoadRequest struct {
	Worker   string
	Function uint64
	Replicas int `cbor:"Copies"`
}

// Steps is what is due at one moment.
type Steps struct {
	Decisions []Decision
	Loads     []LoadRequest
	Probes    []string      // workers to probe
	Subscribe bool          // subscribe to the list of workers
	Next      time.Duration // how long to wait at the most; 0: until news comes
}

type typeState struct {
	RequestType
	seen     time.Duration // answers in the average
	mean     time.Duration // of the answer time
	short    time.Duration // shortest mean answer time, slowly forgotten
	timeLeft time.Duration // most that a client has shown
}

// kind is what is known of the workers of one kind.
type kind struct {
	sizeSum, count float64                    // sum of the sizes told, workers
	memory         float64                    // of one of them; 0: not told
	seen, slowness float64                    // answers; their time over the mean of its function
	ring           fleetindex.Scaled[*worker] // those that may get something new, at their points on a circle
}

// probeTimes is what probes of a zone take.
type probeTimes struct {
	least time.Duration
	over  float64 // mean beyond that, in parts of it
}

type tenant struct {
	quota    float64 // requests a second within its share, at this front end
	arrivals *window.Window
	retries  *window.Window // its marked retries that were taken
}

// adaptiveLimit is a limit of attempts in flight and the answer times that move it.
type adaptiveLimit struct {
	limit     float64
	least     float64
	took, may *window.Window
}

// empty tells that no replica is assumed there, nor being loaded.
func (s *replicaSet) empty() bool { return s.replicas+s.loading == 0 }

// tally is what one worker counts for, or all of them together.
type tally [tallies]int32

// What is counted of workers.
const (
	inUse     = iota // may get something new, by the list
	ejected          // ejected, or half-open
	free             // with room for an attempt
	freeOfAny        // the same, with ejections not believed
	reported         // a load report came lately
	idle             // and told of no other requests that wait there
	inFlight         // attempts under way
	tallies
)

func (t *tally) count(what int, counts bool) {
	if counts {
		t[what] = 1
	}
}

// replace takes one worker's part out of the sums and puts another in.
func (t *tally) replace(old, now tally) {
	for what := range t {
		t[what] += now[what] - old[what]
	}
}

type worker struct {
	Member
	adaptiveLimit
	kind           *kind
	hash           uint64
	listed         bool
	update         int                          // the last update of the list that named it
	tally          tally                        // its part of the fleet's
	member         fleetindex.Slot              // among the members of the fleet
	working        fleetindex.Slot              // among those with attempts under way
	deadline       fleetindex.Deadline[*worker] // when time alone changes its tally
	node           *fleetindex.Node[*worker]    // in the order of its kind; nil: it gets nothing new
	attempts       []*Request                   // attempts in flight, oldest first
	lastGood       time.Duration
	failures       int // failures in a row
	ejectedUntil   time.Duration
	ejectionTime   time.Duration
	halfOpen       bool
	reportedAt     time.Duration // its last load report
	queueDepth     float64       // requests waiting by it
	probeOut       bool          // a probe is out since probedAt
	unresponsive   bool          // the last probe failed, nothing came since
	probedAt       time.Duration
	lateUntil      time.Duration        // until then it comes last for a late answer
	queuedUntil    time.Duration        // until then it is believed to have requests waiting
	rejections     map[string]rejection // by tenant
	lastColdSend   time.Duration        // last attempt while cold, or when it was heard of
	coldPauseShare float64              // part of the pause that is kept from then
}

// rejection is a tenant's requests turned away as full.
type rejection struct {
	count int // in a row
	until time.Duration
}

// replicaSet is what is assumed of one function at one worker.
type replicaSet struct {
	w            *worker
	replicas     int // believed loaded
	inFlight     int // own requests there
	assumedUntil time.Duration
	loading      int // loads under way
	loadDeadline time.Duration
	closedUntil  time.Duration
}

type function struct {
	id          uint64
	tenant      string
	typ         *typeState
	concurrency int
	load        time.Duration
	memory      float64 // of a replica
	queue       []*Request
	replicaSets []*replicaSet
	runTimes    window.Last
	arrived     int // since the last advance
	arrivals    *window.Window
	nextTick    time.Duration
	active      bool
}

// Scheduler decides for one front end.
type Scheduler struct {
	random          random.Source
	self, frontEnds int
	quantum         time.Duration
	longest         time.Duration // longest latency objective

	types       map[string]*typeState
	tenants     map[string]*tenant
	workers     map[string]*worker
	kinds       map[string]*kind         // those of the list or told of
	kindList    []*kind                  // the same, in the order in which they became known
	meanSize    float64                  // of the workers of the list
	probeTimes  map[string]*probeTimes   // by zone
	zone        string                   // its own, where crossing costs
	members     fleetindex.List[*worker] // those listed or with attempts under way
	busy        fleetindex.List[*worker] // those with attempts under way
	leaving     []*worker                // members that are off the list
	updates     int                      // of the list
	tally       tally
	deadlines   fleetindex.Deadlines[*worker] // of the members' tallies
	stale       bool                          // every tally has to be taken anew
	order       fleetindex.Order[*worker]     // that all front ends share
	points      []uint64                      // of the function whose order is walked
	first, last []*worker                     // room for the workers found on a walk
	functions   map[uint64]*function
	active      []*function // with held requests
	rebalance   []*function // whose first replica may belong elsewhere
	toCancel    []*Request  // in flight at workers just ejected

	loadsInFlight    int           // orders not answered yet
	loadLimit        adaptiveLimit // of them
	loadSlowdown     float64       // what loads take, over what is usual
	functionsKept    int           // functions after the last clean-up
	fleetLimit       adaptiveLimit // attempts in flight at all workers
	inFlight         int
	rounding         float64 // of the limit on them
	overloaded       bool    // few workers have room
	ejectionsIgnored bool    // too many workers are ejected to be believed

	maxAttempts   int
	cancel        bool
	probing       bool
	probes        []string // workers to probe
	maxRetryAfter time.Duration

	mayRequestLoads, loadsOnMiss bool
	keep, loadTimeout            time.Duration
	loadsLimited                 bool
	loadBurst, loadsPerRequest   float64
	loadsSent, submitted         *window.Window // load requests and requests in the rate limit's window

	coldFrom, fallMultiple float64
	warmAfter, fall        time.Duration
	work                   *window.Window // attempts to all workers, weighted

	subscribeAt, subscribeEvery time.Duration

	tenantShares float64        // requests a second within the shares of all tenants
	firstTries   *window.Window // first tries
	arrivals     *window.Window // requests

	queuedAhead, delayed, delay float64 // requests ahead of attempts, what they took longer, and that for each

	placementWidth float64 // workers for first replicas, over those that a function fills
	discount       float64 // of the requests of a function, what may be luck
	countAt        time.Duration
}

// ClientGone says that the client of a request is gone.
func (c *Scheduler) ClientGone(e *Request) { e.ended = true }

// EndBy says that a request must have its final answer by a time before its client gives up.
func (c *Scheduler) EndBy(e *Request, by time.Duration) { e.deadline = min(e.deadline, by) }

// kindOf is what is known of a kind, from now on if not before.
func (c *Scheduler) kindOf(name string) *kind {
	if c.kinds[name] == nil {
		k := &kind{slowness: 1}
		k.ring.Scale = k.size
		c.kinds[name], c.kindList = k, append(c.kindList, k)
		c.order.Add(&k.ring)
	}
	return c.kinds[name]
}

// open tells whether the list lets a worker have anything new (rule 3).
func (w *worker) open() bool { return w.listed && w.Condition == Up }

// listedSize is the size that the list tells, 1 where it tells none.
func (w *worker) listedSize() float64 { return cmp.Or(w.Size, 1) }

// recovered notes an answer that tells that the worker is well.
func (w *worker) recovered(now time.Duration) {
	w.failures, w.lastGood, w.ejectionTime, w.ejectedUntil = 0, now, 0, 0
	w.halfOpen, w.unresponsive = false, false
}

func (w *worker) reject(tenant string, r rejection) {
	if w.rejections == nil {
		w.rejections = map[string]rejection{}
	}
	w.rejections[tenant] = r
}

// replicaSetAt is what is believed of the function at a worker, from now on if not before.
func (f *function) replicaSetAt(w *worker) *replicaSet {
	i := slices.IndexFunc(f.replicaSets, func(s *replicaSet) bool { return s.w == w })
	if i < 0 {
		i = len(f.replicaSets)
		f.replicaSets = append(f.replicaSets, &replicaSet{w: w})
	}
	return f.replicaSets[i]
}

// queuedNow is how many requests wait there, as far as is known.
func (w *worker) queuedNow(now time.Duration) float64 {
	if now < w.queuedUntil {
		return w.queueDepth
	}
	return 0
}

// believable is a value told, or 0, as if not told, where it is absurd or no number.
func believable(v, most float64) float64 {
	if v > 0 && v < most {
		return v
	}
	return 0
}

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

func afterAll(rank float64, behind bool) float64 {
	if behind {
		return rank + math.MaxUint32
	}
	return rank
}

func (k *kind) size() float64 { return k.sizeSum / k.count / k.slowness }

func (f *function) usualLoad() time.Duration { return cmp.Or(f.load, f.typ.Objective) }

func (t *typeState) anywhere() bool {
	return t.Effect == Idempotent || t.Effect == IdempotencyKey && t.Group == GroupAll
}
