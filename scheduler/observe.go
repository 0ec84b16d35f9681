package scheduler

// Reason tells why a request was given up.
type Reason int

// The reasons.
const (
	NoReason          Reason = iota
	QuotaExceeded            // beyond its tenant's share, or its retries
	FleetOverloaded          // few workers have room, and it would come late or is beyond its tenant's share
	NoTimeLeft               // an answer is not to be had before its client gives up
	AttemptsExhausted        // as many attempts as are allowed have failed
	NotRetryable             // it may have run, and its type allows no other try
	AttemptWithheld          // its attempt was withheld: its client had left, or its time was up
	ReasonCount              // how many there are
)

var reasonNames = [ReasonCount]string{"", "over_share", "overload", "no_time_left", "no_attempts_left", "must_not_repeat", "never_left"}

// String is the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reason is why the request was given up, if it was.
func (request *Request) Reason() Reason { return request.reason }

var resultNames = [...]string{Completed: "completed", Failed: "failed", Full: "full", TimedOut: "timed_out", Unreachable: "unreached",
	ConnectionLost: "broken", Cancelled: "cancelled", Withheld: "too_late", NotFound: "missing"}

// String is the result's name in logs and metrics.
func (result Result) String() string { return resultNames[result] }

// FleetState is what the Scheduler makes of its fleet at its last decision.
type FleetState struct {
	Workers      int  // that may get something new, by the list
	Ejected      int  // of these, ejected or half-open
	WithCapacity int  // of these, with room for an attempt
	InFlight     int  // attempts
	Overloaded   bool // few workers have room
}

// FleetState tells it.
func (s *Scheduler) FleetState() FleetState {
	counts := &s.counters
	return FleetState{Workers: int(counts[eligible]), Ejected: int(counts[ejected]), WithCapacity: int(counts[withCapacity]), InFlight: int(counts[attemptsInFlight]), Overloaded: s.overloaded}
}
