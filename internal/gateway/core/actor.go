package core

import (
	"time"

	"lupinpond/scheduler"
)

// Actor carries out what the core decides. Its methods are called while the core takes an input, and must not call
// back into it.
type Actor interface {
	// Send sends an attempt, counted from 0, to a worker.
	Send(request *scheduler.Request, attempt int, worker string)

	// Complete makes the response of an attempt the request's.
	Complete(request *scheduler.Request, attempt int)

	// Reject answers that a retry is harmless; retryAfter 0: no time is named.
	Reject(request *scheduler.Request, retryAfter time.Duration, mayHaveRun bool)

	// Fail answers that the request failed after so many attempts.
	Fail(request *scheduler.Request, attempts int, mayHaveRun bool)

	// Cancel cancels an attempt.
	Cancel(request *scheduler.Request, attempt int, worker string)

	// RequestLoad sends a load request.
	RequestLoad(load scheduler.LoadRequest)

	// Probe probes a worker.
	Probe(worker string)

	// Subscribe subscribes to the worker registry.
	Subscribe()

	// SetTimer has TimerFired called after so long.
	SetTimer(after time.Duration)

	// Closed ends the bookkeeping of a request: nothing follows for it.
	Closed(request *scheduler.Request, attempts int, reason CloseReason)
}

// CloseReason is how the core ended a request.
type CloseReason int

// The close reasons.
const (
	Completed CloseReason = iota
	Rejected
	Failed
	Abandoned // its client had disconnected
)
