package platform

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/internal/gateway/turns"
	"lupinpond/scheduler"
)

// closeCounts counts the closed client connections by reason.
type closeCounts [thrift.CloseReasonCount]atomic.Int64

// status is a snapshot of a gateway's state, for logs and metrics.
type status struct {
	gateway.Counts
	Fleet              scheduler.FleetState
	OpenRequests       int64
	Connections        int64
	WorkerConnections  int64
	UnmatchedResponses int64
	EndpointPosition   int64
	Freshness          discovery.Freshness // age of the endpoint list and results of its polls
	LogLinesDropped    int64
	Mailbox            gateway.MailboxState
	Gate               turns.State
	Memory             memoryUse
}

// statusTimeout is how long status waits for the event loop to provide its counts.
const statusTimeout = time.Second

// status returns the present state. Numbers that the event loop does not provide in time are 0.
func (g *Gateway) status() status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s := status{
		Counts:             g.Counts(ctx),
		Fleet:              g.FleetState(ctx),
		OpenRequests:       g.server.OpenCalls(),
		Connections:        int64(g.server.Connections()),
		WorkerConnections:  g.transport.pool.OpenConns(),
		UnmatchedResponses: g.transport.pool.UnmatchedResponses(),
		EndpointPosition:   g.watcher.Position(),
		Freshness:          g.watcher.Freshness(),
		Mailbox:            g.MailboxState(),
		Gate:               g.server.GateState(),
		Memory:             g.memoryUse(),
	}
	if g.droppedLogLines != nil {
		s.LogLinesDropped = g.droppedLogLines()
	}
	return s
}

// logStatus logs the state in one line, at error level if an invariant was violated. A golden test holds the keys and
// their order, as scripts may parse the line.
func (g *Gateway) logStatus(level slog.Level) {
	if g.monitor.Total() > 0 {
		level = slog.LevelError
	}
	s, stats := g.status(), g.Stats()
	closed, unserved := map[string]int64{}, map[string]int64{}
	for reason := range g.closeCounts {
		if n := g.closeCounts[reason].Load(); n > 0 {
			closed[thrift.CloseReason(reason).String()] = n
		}
	}
	for reason := range stats.Unserved {
		if n := stats.Unserved[reason].Load(); n > 0 {
			unserved[scheduler.Reason(reason).String()] = n
		}
	}
	attributes := []any{
		"violations", g.monitor.Counts(),
		"requests", s.Accepted,
		"completed", s.Completed,
		"rejected", s.Rejected,
		"failed", s.Failed,
		"clients_left", s.ClientsDisconnected,
		"attempts", s.Attempts,
		"retries", stats.Retries.Load(),
		"given_up", unserved,
		"withheld_left", stats.WithheldDisconnected.Load(),
		"withheld_late", stats.WithheldExpired.Load(),
		"withheld_stalled", stats.WithheldStalled.Load(),
		"read_after_stall", stats.ReadAfterStall.Load(),
		"load_requests", s.LoadRequests,
		"probes", s.Probes,
		"late_answers", s.LateOutcomes,
		"closed", closed,
		"open", s.OpenRequests,
		"connections", s.Connections,
		"to_workers", s.WorkerConnections,
		"stray_answers", s.UnmatchedResponses,
		"workers", s.Fleet.Workers,
		"ejected", s.Fleet.Ejected,
		"with_room", s.Fleet.WithCapacity,
		"in_flight", s.Fleet.InFlight,
		"overloaded", s.Fleet.Overloaded,
		"list_position", s.EndpointPosition,
		"log_lines_dropped", s.LogLinesDropped,
		"list_age", s.Freshness.Age.Round(time.Millisecond),
		"list_expired", s.Freshness.Expired,
		"polls_answered", s.Freshness.Answered,
		"polls_failed", s.Freshness.Failed,
		"leases_needed", s.Fleet.WatchExpired,
		"leased", s.Fleet.Leased,
		"withheld_lease", stats.WithheldLease.Load(),
		"withheld_loads", stats.WithheldLoads.Load(),
		"verifications", stats.Verifications.Load(),
		"replica_queries", stats.ReplicaQueries.Load(),
	}
	g.log.Log(context.Background(), level, "status", append(attributes, g.loadAttributes(s)...)...)
}

// loadAttributes returns the attributes of the status line on what waits in the process, what was rejected when it was
// read, and memory.
func (g *Gateway) loadAttributes(s status) []any {
	rejected := map[string]int64{}
	for reason := range g.rejectionCounts {
		if n := g.rejectionCounts[reason].Load(); n > 0 {
			rejected[rejection(reason).String()] = n
		}
	}
	return []any{
		"refused", rejected,
		"stalls", g.Stats().Stalls.Load(),
		"messages_waiting", s.Mailbox.Length,
		"messages_age", s.Mailbox.Age.Round(time.Millisecond),
		"messages_peak", s.Mailbox.PeakLength,
		"messages_age_peak", s.Mailbox.PeakAge.Round(time.Millisecond),
		"memory", s.Memory,
		"turns_waiting", s.Gate.Waiting,
		"turns_waited", s.Gate.Waits,
		"turn_wait_peak", s.Gate.Longest.Round(time.Millisecond),
	}
}

// connectionClosed counts, logs and checks the close of a client connection.
func (g *Gateway) connectionClosed(event thrift.CloseEvent) {
	g.closeCounts[event.Reason].Add(1)
	g.log.Debug("connection closed",
		"reason", event.Reason.String(),
		"client", event.ClientAddr,
		"open_calls", event.OpenCalls,
		"unwritten_bytes", event.UnwrittenBytes,
		"duration", event.Duration)
	g.checkClosed(event)
}

// checkClosed reports an invariant violation if the gateway closed a connection that had open calls or unwritten
// answers, though the client had done nothing wrong.
func (g *Gateway) checkClosed(event thrift.CloseEvent) {
	if !event.Reason.ByServer() {
		return
	}
	if event.OpenCalls > 0 {
		g.monitor.Violated(invariant.ClosedUnanswered, "",
			"reason", event.Reason.String(), "client", event.ClientAddr, "requests", event.OpenCalls)
	}
	if event.UnwrittenBytes > 0 {
		g.monitor.Violated(invariant.ClosedBeforeWritten, "",
			"reason", event.Reason.String(), "client", event.ClientAddr, "bytes", event.UnwrittenBytes)
	}
}
