package scheduler

// Reason tells why a request was given up.
type Reason int

// The reasons.
const (
	NotGivenUp     Reason = iota
	OverShare             // beyond its tenant's share, or its retries
	Overload              // few workers have room, and it would come late or is beyond its tenant's share
	NoTimeLeft            // an answer is not to be had before its client gives up
	NoAttemptsLeft        // as many attempts as are allowed have failed
	MustNotRepeat         // it may have run, and its type allows no other try
	NeverLeft             // its attempt was withheld: its client had left, or its time was up
	Reasons               // how many there are
)

var reasonNames = [Reasons]string{"", "over_share", "overload", "no_time_left", "no_attempts_left", "must_not_repeat", "never_left"}

// String is the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reason is why the request was given up, if it was.
func (e *Request) Reason() Reason { return e.reason }

var resultNames = [...]string{Completed: "completed", Failed: "failed", Full: "full", TimedOut: "timed_out", Unreached: "unreached",
	Broken: "broken", Cancelled: "cancelled", TooLate: "too_late", Missing: "missing"}

// String is the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// FleetState is what the Scheduler makes of its fleet at its last decision.
type FleetState struct {
	Workers    int  // that may get something new, by the list
	Ejected    int  // of these, ejected or half-open
	WithRoom   int  // of these, with room for an attempt
	InFlight   int  // attempts
	Overloaded bool // few workers have room
}

// FleetState tells it.
func (c *Scheduler) FleetState() FleetState {
	t := &c.tally
	return FleetState{Workers: int(t[inUse]), Ejected: int(t[ejected]), WithRoom: int(t[free]), InFlight: int(t[inFlight]), Overloaded: c.overloaded}
}
