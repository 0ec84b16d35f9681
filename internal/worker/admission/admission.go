// Package admission decides for one worker which calls are admitted, which replica runs them, when another replica is
// loaded and which one is evicted. It performs no I/O, reads no clock and starts no goroutines. The worker carries out
// its decisions:
//
//	Admit            admits a call or rejects it with a reason
//	RequestReplicas  handles a load request of a gateway
//	Advance          returns the runs, loads and unloads to start now, the dropped calls, and when to call it again
//
// The worker reports events through Publish, LoadSucceeded, LoadFailed, CallEnded, Withdraw, ReplicaExited and
// ReplicaUnloaded. Memory is reserved for a replica from the decision to load it until it has exited, so that the
// reserved memory never exceeds the worker's limit. A busy replica is never unloaded: to be evicted, it first drains
// and is unloaded once it is idle.
//
// Times are durations since a fixed point in time, which must be the same for all method calls on one Controller.
package admission

import "time"

// The mean durations of loads and runs are exponentially weighted moving averages.
const (
	// averageWindow is the smoothing parameter: mean += (observation - mean) / averageWindow.
	averageWindow = 8
	// initialMeanLoad is the mean load duration of a function before its first load.
	initialMeanLoad = time.Second
	// initialMeanRun is the mean run duration of a function before its first run.
	initialMeanRun = 20 * time.Millisecond
)

// fairShareThreshold is a fraction of Limits.MaxWaiting: if at least MaxWaiting * fairShareThreshold calls are waiting
// and several tenants are active, each active tenant is limited to an equal share of the queue.
const fairShareThreshold = 0.5

// starvationFactor sets when a function without an active replica is starving: once its oldest call has waited
// meanLoad * starvationFactor, busy replicas of other functions are drained for it.
const starvationFactor = 1.0

// Limits are the resource limits of a worker.
type Limits struct {
	MemoryBytes int64         // maximum memory reserved for all replicas
	MaxRunning  int           // maximum number of calls running at the same time
	MaxWaiting  int           // maximum number of calls waiting in all queues
	MaxLoads    int           // maximum number of loads at the same time
	IdleTimeout time.Duration // time after which an idle replica is unloaded
	LoadOnMiss  bool          // whether a call for a function without a replica causes a load
}

// Function is a function with the properties of its release that admission uses.
type Function struct {
	Name        string
	Version     string
	Concurrency int   // maximum number of calls that one replica runs at the same time
	MemoryBytes int64 // memory reserved for each replica
}

// Call is one attempt of a request.
type Call struct {
	ID       uint64
	Function string
	Tenant   string
	Deadline time.Duration // time at which the call is dropped if it has not been started
}

// Decision is the result of an admission check, or the reason why an admitted call was dropped.
type Decision int

// The decisions.
const (
	Admitted   Decision = iota
	Full                // the queue is full, or the tenant has used its share of it
	Missing             // the function is unknown, or it has no replica and LoadOnMiss is off
	TooLarge            // a replica of the function needs more memory than the worker's limit
	Expired             // the call reached its deadline while waiting
	LoadFailed          // the load of a replica for the call failed
)

// Run is the decision to start a call on a replica.
type Run struct{ CallID, ReplicaID uint64 }

// Load is the decision to load a replica.
type Load struct {
	ReplicaID uint64
	Function  Function
}

// DroppedCall is a call that was admitted but will not be started.
type DroppedCall struct {
	CallID uint64
	Reason Decision
}

// Actions are the actions that the worker must carry out now.
type Actions struct {
	Runs      []Run
	Loads     []Load
	Unloads   []uint64 // IDs of replicas
	Dropped   []DroppedCall
	WakeAfter time.Duration // longest time until Advance must be called again; 0: not before the next event
}

// Counts holds the numbers of replicas and calls of a function.
type Counts struct {
	Loading   int // replicas that are loading
	Warm      int // replicas that are loaded and accept calls
	Busy      int // replicas that are running calls
	Unused    int // replicas that were loaded by request and have not run a call yet
	Waiting   int // calls in the queue
	Requested int // replicas that were requested and whose load has not started
}
