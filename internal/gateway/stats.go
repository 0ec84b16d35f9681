package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// Counts holds a gateway's counters since its start. Their JSON names are those of an earlier version.
type Counts struct {
	Accepted            int `json:"Taken"`
	Completed           int
	Rejected            int
	Failed              int
	ClientsDisconnected int `json:"ClientsLeft"`
	NotAccepted         int `json:"NotTaken"` // requests over a limit, or received while the gateway was draining
	InvalidRequests     int `json:"Refused"`
	Attempts            int
	LoadRequests        int
	Probes              int
	LateOutcomes        int `json:"LateAnswers"` // outcomes that the core ignored: the attempt already had an outcome
	UnmatchedResponses  int `json:"Stray"`       // responses of workers that match no call
	Connections         int // connections made to workers
}

// Stats holds counters of an event loop that any goroutine may read at any time.
type Stats struct {
	Retries              atomic.Int64 // attempts after the first attempt of a request
	ReadAfterStall       atomic.Int64 // requests read right after a stall of the process
	Stalls               atomic.Int64 // stalls of the process that the event loop has handled
	WithheldDisconnected atomic.Int64 // attempts withheld because the client had disconnected
	WithheldExpired      atomic.Int64 // attempts withheld because the deadline had passed
	WithheldStalled      atomic.Int64 // attempts withheld because the process had stalled since the core's decision
	WithheldLease        atomic.Int64 // attempts and load requests withheld because the worker's lease had expired
	WithheldLoads        atomic.Int64 // load requests withheld because the process had stalled since the core's decision
	Verifications        atomic.Int64 // load requests that verify that a worker accepts new work
	ReplicaQueries       atomic.Int64 // replica queries, which are load requests for zero replicas
	LeaseEvents          [scheduler.LeaseEventKindCount]atomic.Int64
	// Unserved counts the requests answered with an outcome other than Completed, by reason.
	Unserved [scheduler.ReasonCount]atomic.Int64
}

// Stats returns the event loop's counters, which are updated concurrently.
func (l *EventLoop) Stats() *Stats { return &l.stats }

// MailboxState returns the state of the messages that wait for the event loop.
func (l *EventLoop) MailboxState() MailboxState { return l.mailbox.state() }

// Monitor returns the monitor that counts violated invariants. It may be nil.
func (l *EventLoop) Monitor() *invariant.Monitor { return l.monitor }

// Counts returns the event loop's counters, also after the event loop has stopped. It returns zeros if ctx is done
// before the event loop replies.
func (l *EventLoop) Counts(ctx context.Context) (counts Counts) {
	if l.query(ctx, func() { counts = l.counts }) {
		return counts
	}
	select {
	case <-l.stopped:
		return l.counts
	default:
		return Counts{}
	}
}

// FleetState returns the core's view of the fleet. It returns the zero value if the event loop has stopped or ctx is
// done before the event loop replies.
func (l *EventLoop) FleetState(ctx context.Context) (state scheduler.FleetState) {
	if !l.query(ctx, func() { state = l.core.FleetState() }) {
		return scheduler.FleetState{}
	}
	return state
}

// logLease counts and logs a change of a lease. Events that are frequent during an outage are logged at debug level.
func (l *EventLoop) logLease(event scheduler.LeaseEvent) {
	l.stats.LeaseEvents[event.Kind].Add(1)
	level := slog.LevelDebug
	switch event.Kind {
	case scheduler.WatchLeaseExpired, scheduler.QueriesUnreliable:
		level = slog.LevelWarn
	case scheduler.WatchLeaseRenewed, scheduler.WorkerRejects:
		level = slog.LevelInfo
	}
	l.log.Log(context.Background(), level, event.Kind.String(), "worker", event.Worker, "evidence", string(event.Evidence),
		"leased", event.Leased)
}

// logRequest logs a step of a request at debug level.
func (l *EventLoop) logRequest(step string, request *Request, attributes ...any) {
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug(step, append([]any{"request", request.Scheduled.ID}, attributes...)...)
	}
}
