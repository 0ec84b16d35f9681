package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// Stats are an owner's numbers that may be read at any time.
type Stats struct {
	Retries              atomic.Int64                        // attempts of requests that had one before
	ReadAfterStall       atomic.Int64                        // requests that were read right after the process had not run
	WithheldDisconnected atomic.Int64                        // attempts that did not leave as their client had left
	WithheldExpired      atomic.Int64                        // or had no time left
	WithheldStalled      atomic.Int64                        // or the process had not run since the decision
	Unserved             [scheduler.ReasonCount]atomic.Int64 // requests answered without being served, by reason
}

// Stats gives the owner's numbers.
func (o *EventLoop) Stats() *Stats { return &o.stats }

// Monitor gives what counts violated invariants; nil where nothing does.
func (o *EventLoop) Monitor() *invariant.Monitor { return o.monitor }

// Counts asks the owner for its numbers, also once it has ended; zero where it does not tell them before ctx ends.
func (o *EventLoop) Counts(ctx context.Context) (c Counts) {
	if o.query(ctx, func() { c = o.counts }) {
		return c
	}
	select {
	case <-o.stopped:
		return o.counts
	default:
		return Counts{}
	}
}

// FleetState asks the owner what the core makes of its fleet; zero where it does not tell before ctx ends.
func (o *EventLoop) FleetState(ctx context.Context) (f scheduler.FleetState) {
	if !o.query(ctx, func() { f = o.core.FleetState() }) {
		return scheduler.FleetState{}
	}
	return f
}

// logRequest logs a step in the life of a request.
func (o *EventLoop) logRequest(what string, e *Request, state ...any) {
	if o.log.Enabled(context.Background(), slog.LevelDebug) {
		o.log.Debug(what, append([]any{"request", e.Scheduled.ID}, state...)...)
	}
}
