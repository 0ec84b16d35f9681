// Package invariant counts violations of what a front end must never do, whatever its guards let through. A guard keeps a rule;
// the check beside it looks at what has happened and knows nothing of the guard.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Kind is one invariant.
type Kind int

// The invariants, by the place that keeps them.
const (
	// Sending an attempt to a worker.
	AttemptAfterClientLeft    Kind = iota // its client had closed or cancelled too long ago
	AttemptAfterDeadline                  // its client's time was up
	DeadlineOverstated                    // the worker was told more time than the client has left
	AttemptToDrainedWorker                // the worker was stopped longer ago than the drain grace
	AttemptToOtherIncarnation             // the worker at this address is not the one that was chosen

	// Repeating a request.
	AttemptInParallel  // another attempt of it has no outcome yet
	RetryOfAtMostOnce  // it may have run, and must not run again
	RetryOutsideWindow // it may have run so long ago that workers do not drop the repeat any more

	// Closing a connection and answering a client.
	ClosedUnanswered    // a request was read, and its connection closed by this side without an answer
	ClosedBeforeWritten // an answer was not written whole when this side closed the connection
	AnsweredTwice
	AnsweredLate  // more than half a second after the client's time
	NeverAnswered // forgotten while its client waits

	// Starting replicas.
	LoadOverLimit // more load requests than the settings allow

	kindCount
)

var kindNames = [kindCount]string{"attempt_after_client_left", "attempt_past_deadline", "deadline_overstated", "attempt_to_drained",
	"attempt_to_other_life", "attempt_in_parallel", "repeat_of_at_most_once", "repeat_outside_of_window", "closed_unanswered",
	"closed_unwritten", "answered_twice", "answered_late", "never_answered", "load_over_limit"}

// String is the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// maxLoggedPerKind is how many violations of a kind are logged; the rest are only counted.
const maxLoggedPerKind = 100

// Monitor counts violations by kind and logs them. A nil Monitor counts nothing. It may be used by several goroutines.
type Monitor struct {
	log    *slog.Logger
	counts [kindCount]atomic.Int64
}

// NewMonitor makes a Monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts a violation and logs it with the request's id and what is known of its state.
func (m *Monitor) Violated(kind Kind, request string, state ...any) {
	if m == nil {
		return
	}
	if m.counts[kind].Add(1) <= maxLoggedPerKind {
		m.log.Error("invariant violated", append([]any{"kind", kind.String(), "request", request}, state...)...)
	}
}

// Counts is the number of violations of each kind that had any.
func (m *Monitor) Counts() map[string]int64 {
	counts := map[string]int64{}
	for kind := range kindCount {
		if n := m.counts[kind].Load(); n > 0 {
			counts[kind.String()] = n
		}
	}
	return counts
}

// Total is the number of all violations.
func (m *Monitor) Total() (total int64) {
	for kind := range kindCount {
		total += m.counts[kind].Load()
	}
	return total
}
