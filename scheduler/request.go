package scheduler

import "time"

// Effect states whether a request may run a second time.
type Effect int

// The effects that a request type can have.
const (
	Idempotent     Effect = iota // any worker may run it again
	IdempotencyKey               // workers of the deduplication scope drop duplicates within its window
	AtMostOnce                   // it must not run again once it may have run
)

// DedupScope is the set of workers that drop each other's duplicates of a request with an idempotency key.
type DedupScope int

// The deduplication scopes.
const (
	ScopeAll  DedupScope = iota // all workers
	ScopeZone                   // the workers of a zone
	ScopeCell                   // the workers of a cell of a zone
)

// RequestType holds the settings for the requests of one type.
type RequestType struct {
	Name        string
	Effect      Effect
	DedupScope  DedupScope    `cbor:"Group"`
	DedupWindow time.Duration `cbor:"Window"` // time for which duplicates are dropped
	Objective   time.Duration `cbor:"Target"` // latency objective
}

// Request is one request of a client. The caller sets the exported fields; the others belong to the
// Scheduler.
type Request struct {
	ID          string
	Type        string
	Tenant      string
	Function    uint64
	TimeLeft    time.Duration `cbor:"Patience"` // time for which the client still waits
	Concurrency int           `cbor:"Lanes"`    // requests that one replica runs at a time
	Memory      float64       // memory of one replica; 0: unknown
	LoadTime    time.Duration // expected time of a load; 0: unknown
	Retry       bool          `cbor:"Repeat"` // the client marked it as a retry

	typ               *typeStats
	function          *function
	submittedAt       time.Duration
	deadline          time.Duration
	objectiveDeadline time.Duration // end of the latency objective, counted from the client's first request
	attempts          int
	target            *replicaSet   // replicas that an attempt is in flight to; nil: none
	sentAt            time.Duration // when the last attempt was sent
	sentCold          bool          // the last attempt was sent to load the function
	mayHaveRun        *worker       // worker of the first attempt that may have run
	mayHaveRunSince   time.Duration
	avoid             *worker       // worker of the last attempt that failed
	queuedAhead       float64       // requests queued at the worker when the last attempt was sent
	overQuota         bool          // it exceeded its tenant's quota when it was submitted
	sendBy            time.Duration // see SendBy
	closed            bool          // no further decisions are made for it
	reason            Reason        // why it was rejected or failed
}

// InFlight reports whether an attempt of the request has no outcome yet.
func (r *Request) InFlight() bool { return r.target != nil }

// SendBy returns the latest time at which the last attempt may be written to the connection: the expiry of
// the worker's lease or, if it is earlier, the end of the window in which a duplicate is recognised. 0: no
// limit.
func (r *Request) SendBy() time.Duration { return r.sendBy }

// Reason returns why the request was rejected or failed, or NoReason.
func (r *Request) Reason() Reason { return r.reason }

// typeStats is a request type with its measured latencies.
type typeStats struct {
	RequestType
	sampleCount time.Duration // number of outcomes in the mean latency
	meanLatency time.Duration
	minLatency  time.Duration // shortest mean latency, with slow decay
	maxTimeLeft time.Duration // longest time left of all requests of the type
}

// retryableAnywhere reports whether any worker may run a request of the type that may have run elsewhere.
func (t *typeStats) retryableAnywhere() bool {
	return t.Effect == Idempotent || t.Effect == IdempotencyKey && t.DedupScope == ScopeAll
}

func (s *Scheduler) typeFor(request *Request) *typeStats {
	if s.types[request.Type] == nil { // unknown type: a retry may not be safe
		s.AddType(RequestType{Name: request.Type, Effect: AtMostOnce, Objective: request.TimeLeft})
	}
	return s.types[request.Type]
}

// RetryBy returns the latest time at which a worker may start the last attempt, if that is a retry of a
// request with an idempotency key: the end of its deduplication window. 0: no limit, or the request can't
// have run yet.
func (r *Request) RetryBy() time.Duration {
	if r.mayHaveRun == nil || r.typ.Effect != IdempotencyKey {
		return 0
	}
	return r.mayHaveRunSince + r.typ.DedupWindow
}

// earliestLimit returns the earlier of two times, of which 0 stands for no limit.
func earliestLimit(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// mustNotRunAgain reports whether a request may have run and must not run again on any worker.
func (s *Scheduler) mustNotRunAgain(request *Request, now time.Duration) bool {
	late := request.typ.Effect == IdempotencyKey && now+s.minTickInterval >= request.RetryBy()
	return request.mayHaveRun != nil && (late || request.typ.Effect == AtMostOnce)
}

// mayRunOn reports whether a request may run on a worker without its effects happening twice (rule 2): a
// request that may have run is retried only as its type allows, and one with an idempotency key only within
// its deduplication scope and window.
func (s *Scheduler) mayRunOn(request *Request, w *worker, now time.Duration) bool {
	return !s.mustNotRunAgain(request, now) && (request.mayHaveRun == nil || request.typ.retryableAnywhere() ||
		w.Zone == request.mayHaveRun.Zone &&
			(request.typ.DedupScope == ScopeZone || w.Cell == request.mayHaveRun.Cell))
}

// expectedWork returns the work of a request, in nanoseconds of mean latency.
func (s *Scheduler) expectedWork(request *Request) float64 {
	return float64(max(request.typ.meanLatency, initialLatency))
}

// deadlineMargin returns how long before its deadline a request is rejected or failed, because no response
// would arrive in time.
func (s *Scheduler) deadlineMargin(request *Request) time.Duration {
	return max(2*s.minTickInterval, min(2*s.expectedDuration(request.function), request.TimeLeft/2))
}
