package scheduler

import "time"

// Action is the kind of a decision on a request.
type Action int

// The actions.
const (
	Enqueue  Action = iota // keep it in its function's queue: a later Tick decides
	Send                   // send an attempt to the worker
	Reject                 // answer that it is rejected and that a retry is harmless
	Fail                   // answer that it failed and may have run
	Cancel                 // cancel the attempt, not the request
	NoAction               // nothing remains to be done
)

// Decision is the action to take for one request.
type Decision struct {
	Request    *Request
	Action     Action
	Worker     string        // with Send: the worker that the attempt is sent to
	Attempt    int           // with Cancel: the attempt to cancel, counted from 0
	RetryAfter time.Duration // with Reject: delay after which the client may retry; 0: unspecified
}

// TickResult holds the actions that are due at the time of a call of Tick.
type TickResult struct {
	Decisions    []Decision
	LoadRequests []LoadRequest
	LeaseEvents  []LeaseEvent  // changes of leases, for logs
	Probes       []string      // workers to probe
	Subscribe    bool          // the caller must subscribe to the worker registry
	Next         time.Duration // maximum delay until the next call of Tick; 0: no call is due before an event
}

// Reason is the reason for which a request was rejected or failed.
type Reason int

// The reasons.
const (
	NoReason          Reason = iota
	QuotaExceeded            // it exceeds its tenant's quota, or its tenant's limit of retries
	FleetOverloaded          // the fleet is overloaded, and it would miss its objective or exceeds its quota
	NoTimeLeft               // no response is possible before its deadline
	AttemptsExhausted        // the maximum number of attempts have failed
	NotRetryable             // it may have run, and its type allows no further attempt
	AttemptWithheld          // its attempt was not sent: the client had disconnected or the deadline had passed
	NoLeasedWorker           // no worker has a lease, and none can be queried
	ReasonCount              // the number of reasons
)

var reasonNames = [ReasonCount]string{
	NoReason:          "",
	QuotaExceeded:     "over_share",
	FleetOverloaded:   "overload",
	NoTimeLeft:        "no_time_left",
	AttemptsExhausted: "no_attempts_left",
	NotRetryable:      "must_not_repeat",
	AttemptWithheld:   "never_left",
	NoLeasedWorker:    "no_leased_worker",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }
