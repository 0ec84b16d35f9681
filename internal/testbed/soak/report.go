package soak

import "time"

// Report is the result of a run.
type Report struct {
	Counts     Counts
	Violations []Violation
	Injected   []string // injected system call errors, one entry per gateway under strace

	Floods map[string]floodedShare // by the kind of the flood

	BeforeOutage, InOutage, AfterOutage ServedShare // by the time at which requests were sent; zero without Options.Outage
}

// ServedShare counts the requests of a period and those of them that were served. Requests whose clients disconnected
// are left out.
type ServedShare struct{ Requests, Served int }

// Share returns the share of served requests, from 0 to 1.
func (s ServedShare) Share() float64 { return float64(s.Served) / float64(max(1, s.Requests)) }

// Counts are the numbers of events in a run.
type Counts struct {
	Requests     int
	Served       int
	Rejected     int
	Failed       int
	Exceptions   int
	Disconnected int // cancelled by the client, or connection closed by the client
	Excused      int // without a timely response, excused by a fault at the gateway
	NotChecked   int // not checked because this process stalled
	Attempts     int
	LoadRequests int // load requests for at least one replica
	Queries      int // replica queries: load requests for zero replicas
	Probes       int
	Faults       int
	Starts       int // starts of gateway processes
	BadClients   int
	PeakMemory   int64 // largest resident memory of a gateway process, in bytes
}

// Rule is a rule that a run checks at the sockets or in the gateways' logs.
type Rule string

// The rules, named after their violation.
const (
	LostRequest           Rule = "lost_request"         // a request without a final response in time
	DuplicateResponse     Rule = "second_answer"        // a second final response to a request
	CorruptResponse       Rule = "forged_answer"        // a served response whose body no worker sent for the request
	SentAfterDisconnect   Rule = "sent_after_leaving"   // an attempt after the client had disconnected
	OverstatedDeadline    Rule = "overstated_deadline"  // an attempt that states more time than the client had left
	DuplicateExecution    Rule = "ran_twice"            // a second execution of an at-most-once request
	SentToDraining        Rule = "sent_to_drained"      // an attempt sent to a draining worker after the drain grace
	LoadedOnDraining      Rule = "loaded_on_drained"    // a load request sent to a draining worker after the drain grace
	SlowStartOverrun      Rule = "cold_overrun"         // a worker in slow start received more requests than it can handle
	AlteredRequest        Rule = "changed"              // a worker received a request altered
	MemoryExceeded        Rule = "memory_exceeded"      // a gateway process used more memory than its limit
	NotReady              Rule = "not_ready"            // a gateway was not ready in time after its start
	Crashed               Rule = "crashed"              // a gateway process ended unexpectedly
	InvariantViolated     Rule = "front_end_invariant"  // a gateway logged a violation of one of its invariants
	ResentRequestRejected Rule = "exception_for_resent" // a resent request got an exception: the first copy had been read
)

// Violation is one violation of a rule.
type Violation struct {
	Rule      Rule
	Gateway   string
	RequestID string
	Detail    string
	Elapsed   time.Duration // since the start of the run
}
