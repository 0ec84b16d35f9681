package workerrpc

import "time"

// Handshake is the first message on a connection, in both directions. A worker states its name, its start time and how
// many attempts it accepts on the connection.
type Handshake struct {
	Version     int       `cbor:"1,keyasint"`
	Name        string    `cbor:"2,keyasint"`           // name of the sender
	Started     time.Time `cbor:"3,keyasint,omitempty"` // start time of the worker's process
	MaxAttempts int       `cbor:"4,keyasint,omitempty"` // maximum number of attempts in flight on this connection
	MaxFrame    int       `cbor:"5,keyasint,omitempty"` // longest frame that the sender accepts, in bytes
	// InterruptedLoads are the loads that the worker's previous incarnation did not complete.
	InterruptedLoads []InterruptedLoad `cbor:"6,keyasint,omitempty"`
	// WarmUpTime is the warm-up time of the last earlier incarnation of the worker that warmed up; 0 if it is unknown.
	WarmUpTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// InterruptedLoad is a load during which a worker crashed; it counts as failed. Requests are those that waited for the
// load; for each the worker states whether it may have run.
type InterruptedLoad struct {
	Function string               `cbor:"1,keyasint"`
	Version  string               `cbor:"2,keyasint"`
	Requests []InterruptedRequest `cbor:"3,keyasint,omitempty"`
}

// InterruptedRequest is a request that a worker had accepted before it crashed.
type InterruptedRequest struct {
	RequestID  string `cbor:"1,keyasint"`
	MayHaveRun bool   `cbor:"2,keyasint"`
}

// Attempt asks a worker to run a request.
type Attempt struct {
	Seq             uint64        `cbor:"1,keyasint"` // sequence number of the call, unique on the connection
	RequestID       string        `cbor:"2,keyasint"`
	Number          int           `cbor:"3,keyasint"` // number of this attempt among the request's attempts, from 0
	Function        string        `cbor:"4,keyasint"`
	Type            string        `cbor:"5,keyasint"`
	Tenant          string        `cbor:"6,keyasint"`
	IdempotencyKey  string        `cbor:"7,keyasint,omitempty"`  // within DedupWindow, at most one request per key runs
	DedupWindow     time.Duration `cbor:"8,keyasint,omitempty"`  // time for which the key is stored
	TimeLeft        time.Duration `cbor:"9,keyasint"`            // time until the client's deadline
	ClientRequestID string        `cbor:"10,keyasint,omitempty"` // request ID chosen by the client
	Body            []byte        `cbor:"11,keyasint,omitempty"`
	StartWithin     time.Duration `cbor:"12,keyasint,omitempty"` // time until its key must be claimed; 0: no limit
}

// Code is a worker's result of an attempt or a load request.
type Code int

// The codes. With CodeOverloaded, CodeNotFound and CodeNotStarted the attempt never ran.
const (
	CodeOK         Code = iota // the attempt completed, or the replicas of the load request are ready
	CodeFailed                 // the call failed; an attempt may have run
	CodeOverloaded             // rejected before execution as the worker is overloaded; or not all replicas were loaded
	CodeNotFound               // the worker does not have the function or could not load it
	CodeNotStarted             // cancelled or rejected before execution started
	CodeCancelled              // cancelled; an attempt may have run
)

// NeverRan reports whether the code states that the attempt never ran.
func (c Code) NeverRan() bool { return c == CodeOverloaded || c == CodeNotFound || c == CodeNotStarted }

// LoadReport is a worker's load at one point in time.
type LoadReport struct {
	QueueDepth     int     `cbor:"1,keyasint"`           // requests waiting at the worker
	Running        int     `cbor:"2,keyasint"`           // requests running at the worker
	CPUUtilization float64 `cbor:"3,keyasint"`           // running requests per core of the worker, at most 1
	MemoryBytes    int64   `cbor:"4,keyasint"`           // memory in use
	ColdStartRate  float64 `cbor:"5,keyasint,omitempty"` // fraction of the latest attempts that found no warm replica
}

// ReplicaState is the state of the function's replicas when an attempt arrived at the worker, or ReplicaLoadFailed.
type ReplicaState int

// The replica states.
const (
	ReplicaStateUnknown ReplicaState = iota
	ReplicaWarm
	ReplicaLoadStarted // the attempt started a load
	ReplicaLoadAwaited // the attempt waited for a load that was already in progress
	ReplicaLoadFailed  // the load that the attempt started or waited for failed
)

// AttemptResult is the answer to an attempt.
type AttemptResult struct {
	Seq                uint64        `cbor:"1,keyasint"`
	RequestID          string        `cbor:"2,keyasint"`
	Code               Code          `cbor:"3,keyasint"`
	ReplicaState       ReplicaState  `cbor:"4,keyasint,omitempty"`
	ConcurrentRequests int           `cbor:"5,keyasint,omitempty"` // requests of the function at the worker on arrival
	CPUTime            time.Duration `cbor:"6,keyasint,omitempty"` // package worker reports elapsed time
	Report             *LoadReport   `cbor:"7,keyasint,omitempty"`
	Deduplicated       bool          `cbor:"8,keyasint,omitempty"` // did not run: its idempotency key was already claimed
	Reason             string        `cbor:"9,keyasint,omitempty"`
	Body               []byte        `cbor:"10,keyasint,omitempty"`
}

// Cancel asks a worker to cancel an attempt. The worker still sends a result for it.
type Cancel struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// LoadRequest asks a worker to have Replicas replicas of a function in total. The worker loads those that are missing;
// if it has more, it may unload idle ones.
type LoadRequest struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Function string `cbor:"2,keyasint"`
	Replicas int    `cbor:"3,keyasint"`
}

// LoadResult is the answer to a load request.
type LoadResult struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Code     Code   `cbor:"2,keyasint"`
	Replicas int    `cbor:"3,keyasint"` // number of replicas that are ready
	Reason   string `cbor:"4,keyasint,omitempty"`
}

// Probe asks a worker for a load report.
type Probe struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// ProbeReply is the answer to a probe.
type ProbeReply struct {
	Seq    uint64      `cbor:"1,keyasint"`
	Report *LoadReport `cbor:"2,keyasint"`
}

// DrainNotice announces that its sender starts no new work. A worker that has sent one still answers the calls in
// flight; a worker that receives one closes the connection.
type DrainNotice struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}
