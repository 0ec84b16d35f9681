package core

import (
	"time"

	"lupinpond/scheduler"
)

// Actor carries out the actions of a core. Its methods are called while the core processes an input and must not call
// back into the core.
type Actor interface {
	// Send sends an attempt of the request to a worker. Attempts are numbered from 0.
	Send(request *scheduler.Request, attempt int, worker string)

	// Complete answers the client with the response of the given attempt.
	Complete(request *scheduler.Request, attempt int)

	// Reject answers the client that it may safely retry, after retryAfter. If retryAfter is 0, the answer names no
	// delay. mayHaveRun reports whether an attempt may have run.
	Reject(request *scheduler.Request, retryAfter time.Duration, mayHaveRun bool)

	// Fail answers the client that the request failed after the given number of attempts.
	Fail(request *scheduler.Request, attempts int, mayHaveRun bool)

	// Cancel cancels an attempt at a worker.
	Cancel(request *scheduler.Request, attempt int, worker string)

	// RequestLoad sends a load request to the worker that it names.
	RequestLoad(load scheduler.LoadRequest)

	// Probe sends a probe to a worker.
	Probe(worker string)

	// Subscribe subscribes to the worker registry.
	Subscribe()

	// SetTimer sets a timer: Core.TimerFired must be called after the given duration.
	SetTimer(after time.Duration)

	// Closed reports that the request is closed: no further action of the core refers to it.
	Closed(request *scheduler.Request, attempts int, reason CloseReason)
}

// CloseReason is the reason why the core closed a request.
type CloseReason int

// The close reasons.
const (
	Completed CloseReason = iota
	Rejected
	Failed
	Abandoned // the client had disconnected, or the outcome of an attempt was final without a response
)
