package workerrpc

import "time"

// Handshake opens a connection, in both directions. A worker states its name, its start and how many attempts it
// takes on the connection.
type Handshake struct {
	Version     int       `cbor:"1,keyasint"`
	Name        string    `cbor:"2,keyasint"`
	Started     time.Time `cbor:"3,keyasint,omitempty"` // of the worker's process
	MaxAttempts int       `cbor:"4,keyasint,omitempty"` // most attempts in flight on this connection
	MaxFrame    int       `cbor:"5,keyasint,omitempty"` // longest body that the sender takes
	// InterruptedLoads are, of a worker, the loads that its previous incarnation did not complete.
	InterruptedLoads []InterruptedLoad `cbor:"6,keyasint,omitempty"`
	// WarmUpTime is how long the worker's previous incarnation warmed up, as it measured it; 0: unknown.
	WarmUpTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// InterruptedLoad is a load during which a worker crashed. It failed; the requests were waiting for it, and of each
// the worker states whether it may have run.
type InterruptedLoad struct {
	Function string               `cbor:"1,keyasint"`
	Version  string               `cbor:"2,keyasint"`
	Requests []InterruptedRequest `cbor:"3,keyasint,omitempty"`
}

// InterruptedRequest is a request that a worker had accepted when it crashed.
type InterruptedRequest struct {
	RequestID  string `cbor:"1,keyasint"`
	MayHaveRun bool   `cbor:"2,keyasint"`
}

// Attempt asks a worker to run a request.
type Attempt struct {
	Seq             uint64        `cbor:"1,keyasint"` // of the connection's calls
	RequestID       string        `cbor:"2,keyasint"`
	Number          int           `cbor:"3,keyasint"` // of the request's attempts, from 0
	Function        string        `cbor:"4,keyasint"`
	Type            string        `cbor:"5,keyasint"`
	Tenant          string        `cbor:"6,keyasint"`
	IdempotencyKey  string        `cbor:"7,keyasint,omitempty"`  // the worker runs a request of a key once
	DedupWindow     time.Duration `cbor:"8,keyasint,omitempty"`  // for so long
	TimeLeft        time.Duration `cbor:"9,keyasint"`            // until the client's deadline
	ClientRequestID string        `cbor:"10,keyasint,omitempty"` // the client's own name of the request
	Body            []byte        `cbor:"11,keyasint,omitempty"`
}

// Code is a worker's result of an attempt or a load request.
type Code int

// The codes. CodeOverloaded, CodeNotFound and CodeNotStarted state that the attempt never ran.
const (
	CodeOK         Code = iota // handled; of a load request: the replicas are ready
	CodeFailed                 // an error; it may have run
	CodeOverloaded             // rejected unseen
	CodeNotFound               // the worker does not have the function
	CodeNotStarted             // cancelled or rejected before it started
	CodeCancelled              // cancelled; it may have run
)

// NeverRan reports whether the code states that the attempt never ran.
func (c Code) NeverRan() bool { return c == CodeOverloaded || c == CodeNotFound || c == CodeNotStarted }

// LoadReport is a worker's load at one moment.
type LoadReport struct {
	QueueDepth     int     `cbor:"1,keyasint"` // requests that wait there
	Running        int     `cbor:"2,keyasint"`
	CPUUtilization float64 `cbor:"3,keyasint"`           // part of its cores in use
	MemoryBytes    int64   `cbor:"4,keyasint"`           // in use
	ColdStartRate  float64 `cbor:"5,keyasint,omitempty"` // part of its last attempts that found no warm replica
}

// ReplicaState is the state of the replica that an attempt found.
type ReplicaState int

// The replica states.
const (
	ReplicaStateUnknown ReplicaState = iota
	ReplicaWarm
	ReplicaLoadStarted
	ReplicaLoadAwaited
	ReplicaLoadFailed
)

// AttemptResult completes an attempt.
type AttemptResult struct {
	Seq                uint64        `cbor:"1,keyasint"`
	RequestID          string        `cbor:"2,keyasint"`
	Code               Code          `cbor:"3,keyasint"`
	ReplicaState       ReplicaState  `cbor:"4,keyasint,omitempty"`
	ConcurrentRequests int           `cbor:"5,keyasint,omitempty"` // of the function at the worker when it arrived
	CPUTime            time.Duration `cbor:"6,keyasint,omitempty"`
	Report             *LoadReport   `cbor:"7,keyasint,omitempty"`
	Deduplicated       bool          `cbor:"8,keyasint,omitempty"` // it did not run: the result is that of its first run
	Reason             string        `cbor:"9,keyasint,omitempty"`
	Body               []byte        `cbor:"10,keyasint,omitempty"`
}

// Cancel asks a worker to cancel an attempt, which still gets a result.
type Cancel struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// LoadRequest asks a worker for a number of replicas of a function in all.
type LoadRequest struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Function string `cbor:"2,keyasint"`
	Replicas int    `cbor:"3,keyasint"`
}

// LoadResult completes a load request.
type LoadResult struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Code     Code   `cbor:"2,keyasint"`
	Replicas int    `cbor:"3,keyasint"` // that are ready now
	Reason   string `cbor:"4,keyasint,omitempty"`
}

// Probe asks a worker for a load report.
type Probe struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// ProbeReply completes a probe.
type ProbeReply struct {
	Seq    uint64      `cbor:"1,keyasint"`
	Report *LoadReport `cbor:"2,keyasint"`
}

// DrainNotice states that its sender starts nothing new; what is in flight still gets a result.
type DrainNotice struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}
