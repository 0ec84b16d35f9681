// Package admission decides for one worker which calls are admitted, which replica runs them, when another replica is
// loaded and which one is evicted. It is asked and it answers; it does no I/O, reads no clock and starts nothing:
//
//	Admit:           is this call admitted, or rejected, and why
//	RequestReplicas: a gateway asks for replicas
//	Advance:         what to start now (runs, loads, unloads), what has waited too long, and when to ask again
//
// Facts are fed in between: Publish, LoadSucceeded, LoadFailed, CallEnded, Withdraw, ReplicaExited, ReplicaUnloaded.
// Memory is reserved from the moment a load is decided until its replica has been unloaded, so that what is reserved
// never exceeds the budget. No busy replica is ever unloaded: one that is to be evicted drains, and goes when it is
// idle.
//
// Times are durations since any fixed moment, the same for all calls of one Controller.
package admission

import "time"

// Means of loads and runs are exponentially weighted.
const (
	// averageWindow is the weight of a mean against the next observation: 1 in so many.
	averageWindow = 8
	// initialMeanLoad stands for a function's mean load before one was seen.
	initialMeanLoad = time.Second
	// initialMeanRun stands for a function's mean run before one was seen.
	initialMeanRun = 20 * time.Millisecond
)

// fairShareThreshold is the share of the queue that must be in use before tenants are bounded to equal parts of it.
const fairShareThreshold = 0.5

// starvationLoads is how many mean loads a function without a replica waits before busy replicas of others are drained.
const starvationLoads = 1.0

// Limits bound what a worker has and does at a time.
type Limits struct {
	MemoryBytes int64         // for all replicas
	MaxRunning  int           // calls at a time
	MaxWaiting  int           // calls in the queue
	MaxLoads    int           // loads at a time
	IdleTimeout time.Duration // an idle replica is unloaded after it
	LoadOnMiss  bool          // a call for a function without a replica has it loaded
}

// Function is a package as admission sees it.
type Function struct {
	Name        string
	Version     string
	Concurrency int   // calls that one replica runs at a time
	MemoryBytes int64 // reserved for a replica
}

// Call is one attempt of a request.
type Call struct {
	ID       uint64
	Function string
	Tenant   string
	Deadline time.Duration // not started by then, it is dropped
}

// Decision says whether a call is admitted, or why it is rejected or dropped.
type Decision int

// The decisions.
const (
	Admitted   Decision = iota
	Full                // the queue is full, for all or for this tenant
	Missing             // no such function, or no replica of it and none is loaded on a miss
	TooLarge            // its replica would not fit into an empty worker
	Expired             // it waited until its deadline
	LoadFailed          // its function's load failed
)

// Run starts a call on a replica.
type Run struct{ CallID, ReplicaID uint64 }

// Load loads a replica.
type Load struct {
	ReplicaID uint64
	Function  Function
}

// DroppedCall is a call that was admitted and is not started.
type DroppedCall struct {
	CallID uint64
	Reason Decision
}

// Actions are due at one moment.
type Actions struct {
	Runs      []Run
	Loads     []Load
	Unloads   []uint64
	Dropped   []DroppedCall
	WakeAfter time.Duration // when to call Advance again at the latest; 0: after the next fact
}

// Counts describe the replicas and calls of a function.
type Counts struct {
	Loading   int // replicas that load
	Warm      int // replicas that take calls
	Busy      int // replicas that run calls
	Unused    int // replicas that were requested and have run nothing yet
	Waiting   int // calls in the queue
	Requested int // replicas still to be loaded by request
}
