// Package invariant counts violations of the gateway's invariants. Guards in the gateway prevent violations. The checks
// that report to this package are independent of the guards and look only at what the gateway actually did, so that
// they detect a faulty guard.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// maxLoggedPerKind is the maximum number of violations of each kind that are logged; further ones are only counted.
const maxLoggedPerKind = 100

// Kind identifies an invariant by the way in which it is violated.
type Kind int

// The kinds of violations, grouped by operation.
const (
	// Sending an attempt to a worker.

	AttemptAfterClientLeft    Kind = iota // sent too long after the client disconnected or cancelled
	AttemptAfterDeadline                  // sent after the client's deadline
	DeadlineOverstated                    // the attempt states more time than the client has left
	AttemptToDrainedWorker                // sent more than the drain grace after new work to the worker was stopped
	AttemptToOtherIncarnation             // sent to another incarnation at the address of the chosen worker

	// Retrying a request.

	AttemptInParallel  // sent while another attempt of the request has no outcome yet
	RetryOfAtMostOnce  // retried although the request may have run and must not run twice
	RetryOutsideWindow // retried after the period in which workers recognize duplicates of the request

	// Closing a connection and answering a client.

	ClosedUnanswered    // the gateway closed the connection of a request without answering it
	ClosedBeforeWritten // the gateway closed the connection before the answer was written completely
	AnsweredTwice
	AnsweredLate  // answered more than half a second after the client's deadline
	NeverAnswered // dropped without an answer while the client waits

	// Loading replicas.

	LoadOverLimit       // more load requests sent than the settings allow
	LoadOnDrainedWorker // sent more than the drain grace after new work to the worker was stopped

	kindCount
)

// kindNames holds the names of the kinds in logs and metrics.
var kindNames = [kindCount]string{
	AttemptAfterClientLeft:    "attempt_after_client_left",
	AttemptAfterDeadline:      "attempt_past_deadline",
	DeadlineOverstated:        "deadline_overstated",
	AttemptToDrainedWorker:    "attempt_to_drained",
	AttemptToOtherIncarnation: "attempt_to_other_life",
	AttemptInParallel:         "attempt_in_parallel",
	RetryOfAtMostOnce:         "repeat_of_at_most_once",
	RetryOutsideWindow:        "repeat_outside_of_window",
	ClosedUnanswered:          "closed_unanswered",
	ClosedBeforeWritten:       "closed_unwritten",
	AnsweredTwice:             "answered_twice",
	AnsweredLate:              "answered_late",
	NeverAnswered:             "never_answered",
	LoadOverLimit:             "load_over_limit",
	LoadOnDrainedWorker:       "load_on_drained",
}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Monitor counts violations by kind and logs them. A nil *Monitor discards violations. It is safe for concurrent use.
type Monitor struct {
	log    *slog.Logger
	counts [kindCount]atomic.Int64
}

// NewMonitor creates a Monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts a violation and logs it with the request's ID and the given slog attributes.
func (m *Monitor) Violated(kind Kind, request string, attributes ...any) {
	if m == nil {
		return
	}
	if m.counts[kind].Add(1) <= maxLoggedPerKind {
		m.log.Error("invariant violated", append([]any{"kind", kind.String(), "request", request}, attributes...)...)
	}
}

// Counts returns the numbers of violations by name of the kind. Kinds without violations are left out.
func (m *Monitor) Counts() map[string]int64 {
	counts := map[string]int64{}
	for kind := range kindCount {
		if n := m.counts[kind].Load(); n > 0 {
			counts[kind.String()] = n
		}
	}
	return counts
}

// Total returns the number of violations of all kinds together.
func (m *Monitor) Total() (total int64) {
	for kind := range kindCount {
		total += m.counts[kind].Load()
	}
	return total
}
