package choice

import "time"

// Effect says what may happen when an event runs a second time.
type Effect int

// The effects an event type can have.
const (
	Redeliverable Effect = iota
	Keyed
	AtMostOnce
)

// Group names the workers that drop each other's repeats of a keyed event.
type Group int

// The groups of a keyed event type.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// EventType is what is known beforehand of the events of one type.
type EventType struct {
	Name    string
	Effect  Effect
	Group   Group
	Window  time.Duration // how long a repeat of a keyed event is dropped
	Target  time.Duration
	MaxAge  time.Duration
	Benefit float64
	Late    float64 // share of the benefit that an answer past the target time earns
}

// Event is one event in hand. The exported fields are facts; the rest is the Chooser's.
type Event struct {
	ID       string
	Type     string
	Tenant   string
	Function uint64
	Patience time.Duration // how long the client still waits
	Memory   float64       // of one copy, in MB
	Lanes    int           // events that one copy runs at a time
	LoadTime time.Duration // usual time of a load; 0 where it is not told
	Repeat   bool          // the client marked it as a repeat

	typ      *evtType
	fn       *function
	came     time.Duration
	ends     time.Duration
	due      time.Duration // end of the target time of its first try
	launches int
	out      *standing     // where a launch is outstanding
	sent     time.Duration // when the outstanding or the last launch left
	cold     bool          // that launch was sent to bring the function there
	risk     *worker       // worker of the first launch that may have run
	riskAt   time.Duration
	avoid    *worker
	weight   float64
	queued   bool
	over     bool // beyond its tenant's share when it came
	ended    bool
}

// Outstanding tells whether a launch of the event still has no outcome.
func (e *Event) Outstanding() bool { return e.out != nil }

// Verb is what to do with an event.
type Verb int

// The answers to "where to send this event".
const (
	Hold Verb = iota
	Launch
	Defer
	DeadLetter
	Withdraw // give up the launch, not the event
	Nothing
)

// Answer tells what to do with one event.
type Answer struct {
	Event  *Event
	Verb   Verb
	Worker string
	Limit  time.Duration // time-out of a launch; 0: until the client gives up
	Launch int           // with Withdraw: which launch, counted from 0
	Back   time.Duration // with Defer: when to come back; 0: not named
}

// Result is how a launch, a probe or a load order ended.
type Result int

// The results.
const (
	Handled   Result = iota
	Failed           // an error: it may have run
	Full             // turned away unseen
	TimedOut         // may have run, or run still
	Unreached        // no connection: never ran
	Broken           // connection lost: may have run
	Withdrawn        // may have run
	TooLate          // never left the front end
	Missing          // function not there: never ran
)

// Warmth is what an answer tells of the copy that the event found.
type Warmth int

// The kinds of warmth.
const (
	Untold Warmth = iota
	FoundWarm
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// Outcome is the end of one launch.
type Outcome struct {
	Worker  string
	Took    time.Duration
	Result  Result
	Final   bool // the event has ended with this outcome or before
	Warmth  Warmth
	Company int // events of the function that the worker held; -1 where untold
}

// Condition is a worker's state in the list.
type Condition int

// The conditions.
const (
	In Condition = iota
	Draining
	Gone
)

// Listing is one line of the list of workers.
type Listing struct {
	Worker    string
	Zone      string
	Cell      string
	Condition Condition
	Started   time.Duration // 0: long ago
}

// Report is what a worker says of its load; a field it does not tell is below 0.
type Report struct {
	InFlight, Queue, Util, MemoryHeld, Loads float64
}

// Order asks a worker to hold copies of a function.
type Order struct {
	Worker   string
	Function uint64
	Copies   int
}

// Steps is what is due at one moment.
type Steps struct {
	Answers []Answer
	Orders  []Order
	Probes  []string
	Ask     bool          // subscribe to the list of workers
	Next    time.Duration // how long to wait at the most; 0: until news comes
}
