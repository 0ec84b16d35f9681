package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/scheduler"
)

// closeCounts counts the ends of clients' connections by their reason.
type closeCounts [thrift.CloseReasonCount]atomic.Int64

// status is the state of a front end at one moment, for logs and metrics.
type status struct {
	gateway.Counts
	Fleet                                                   scheduler.FleetState
	OpenRequests, Connections                               int64
	WorkerConnections, UnmatchedResponses, EndpointPosition int64
	LogLinesDropped                                         int64
}

// statusTimeout is how long the owner may take to tell its numbers.
const statusTimeout = time.Second

// status asks for the state; numbers that the owner does not tell in time are 0.
func (f *Gateway) status() status {
	ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
	defer stop()
	s := status{Counts: f.Counts(ctx), Fleet: f.FleetState(ctx), OpenRequests: f.server.OpenCalls(), Connections: int64(f.server.Connections()),
		WorkerConnections: f.transport.pool.OpenConns(), UnmatchedResponses: f.transport.pool.UnmatchedResponses(), EndpointPosition: f.watcher.Position()}
	if f.droppedLogLines != nil {
		s.LogLinesDropped = f.droppedLogLines()
	}
	return s
}

// logStatus logs the state in one line: an error where an invariant was violated.
func (f *Gateway) logStatus(level slog.Level) {
	if f.monitor.Total() > 0 {
		level = slog.LevelError
	}
	s, more := f.status(), f.Stats()
	closed, givenUp := map[string]int64{}, map[string]int64{}
	for r := range f.closeCounts {
		if n := f.closeCounts[r].Load(); n > 0 {
			closed[thrift.CloseReason(r).String()] = n
		}
	}
	for r := range more.Unserved {
		if n := more.Unserved[r].Load(); n > 0 {
			givenUp[scheduler.Reason(r).String()] = n
		}
	}
	f.log.Log(context.Background(), level, "status", "violations", f.monitor.Counts(), "requests", s.Accepted, "completed", s.Completed,
		"rejected", s.Rejected, "failed", s.Failed, "clients_left", s.ClientsDisconnected, "attempts", s.Attempts, "retries", more.Retries.Load(),
		"given_up", givenUp, "withheld_left", more.WithheldDisconnected.Load(), "withheld_late", more.WithheldExpired.Load(),
		"withheld_stalled", more.WithheldStalled.Load(), "read_after_stall", more.ReadAfterStall.Load(), "load_requests", s.LoadRequests, "probes", s.Probes,
		"late_answers", s.LateOutcomes, "closed", closed, "open", s.OpenRequests, "connections", s.Connections, "to_workers", s.WorkerConnections,
		"stray_answers", s.UnmatchedResponses, "workers", s.Fleet.Workers, "ejected", s.Fleet.Ejected, "with_room", s.Fleet.WithCapacity,
		"in_flight", s.Fleet.InFlight, "overloaded", s.Fleet.Overloaded, "list_position", s.EndpointPosition, "log_lines_dropped", s.LogLinesDropped)
}

// connectionClosed counts and checks the end of a client's connection.
func (f *Gateway) connectionClosed(c thrift.CloseEvent) {
	f.closeCounts[c.Reason].Add(1)
	f.log.Debug("connection closed", "reason", c.Reason.String(), "client", c.ClientAddr, "open", c.OpenCalls, "unwritten", c.UnwrittenBytes,
		"lasted", c.Duration)
	f.checkClosed(c)
}

// collector tells the state to Prometheus.
type collector struct{ gateway *Gateway }

// Describe tells nothing: what is collected depends on the reasons and kinds seen.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect collects the state.
func (c collector) Collect(out chan<- prometheus.Metric) {
	f := c.gateway
	s, more := f.status(), f.Stats()
	counter := func(name, help string, n int64, labels ...string) {
		collect(out, prometheus.CounterValue, name, help, n, labels...)
	}
	gauge := func(name, help string, n int64) { collect(out, prometheus.GaugeValue, name, help, n) }
	requests := "Requests by how they ended."
	counter("requests_total", requests, int64(s.Completed), "ending", "completed")
	counter("requests_total", requests, int64(s.Rejected), "ending", "rejected")
	counter("requests_total", requests, int64(s.Failed), "ending", "failed")
	counter("requests_total", requests, int64(s.ClientsDisconnected), "ending", "client_left")
	for r := range more.Unserved {
		counter("requests_given_up_total", "Requests answered without being served, by reason.", more.Unserved[r].Load(), "reason", scheduler.Reason(r).String())
	}
	counter("attempts_total", "Attempts decided on.", int64(s.Attempts))
	counter("retries_total", "Attempts of requests that had one before.", more.Retries.Load())
	withheld := "Attempts that did not leave, by reason."
	counter("attempts_withheld_total", withheld, more.WithheldDisconnected.Load(), "reason", "client_left")
	counter("attempts_withheld_total", withheld, more.WithheldExpired.Load(), "reason", "no_time_left")
	counter("attempts_withheld_total", withheld, more.WithheldStalled.Load(), "reason", "stalled")
	counter("requests_read_after_stall_total", "Requests read right after the process had not run.", more.ReadAfterStall.Load())
	counter("load_requests_total", "Load requests sent.", int64(s.LoadRequests))
	counter("probes_total", "Probes sent.", int64(s.Probes))
	counter("late_answers_total", "Answers to attempts that had ended.", int64(s.LateOutcomes))
	counter("stray_answers_total", "Answers that no call waited for.", s.UnmatchedResponses)
	counter("log_lines_dropped_total", "Log lines that found no reader.", s.LogLinesDropped)
	for r := range f.closeCounts {
		counter("connections_closed_total", "Clients' connections by why they ended.", f.closeCounts[r].Load(), "reason", thrift.CloseReason(r).String())
	}
	for kind, n := range f.monitor.Counts() {
		counter("invariant_violations_total", "Violated invariants; there must be none.", n, "kind", kind)
	}
	gauge("requests_open", "Requests without an answer.", s.OpenRequests)
	gauge("connections", "Clients' connections.", s.Connections)
	gauge("connections_to_workers", "Connections to workers.", s.WorkerConnections)
	gauge("workers", "Workers that may get something new, by the list.", int64(s.Fleet.Workers))
	gauge("workers_ejected", "Of these, ejected or half-open.", int64(s.Fleet.Ejected))
	gauge("workers_with_room", "Of these, with room for an attempt.", int64(s.Fleet.WithCapacity))
	gauge("attempts_in_flight", "Attempts without an outcome.", int64(s.Fleet.InFlight))
	overloaded := int64(0)
	if s.Fleet.Overloaded {
		overloaded = 1
	}
	gauge("overloaded", "1 while few workers have room.", overloaded)
	gauge("list_position", "Number of the last event of the list service that was taken.", s.EndpointPosition)
}

// collect tells one number; labels are a name and a value.
func collect(out chan<- prometheus.Metric, kind prometheus.ValueType, name, help string, n int64, labels ...string) {
	var names, values []string
	for i := 0; i+1 < len(labels); i += 2 {
		names, values = append(names, labels[i]), append(values, labels[i+1])
	}
	out <- prometheus.MustNewConstMetric(prometheus.NewDesc("lupinpond_"+name, help, names, nil), kind, float64(n), values...)
}

// metricsHeaderTimeout is how long a scrape's header may take.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics serves the state to Prometheus at an address until ctx ends.
func (f *Gateway) serveMetrics(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	registry := prometheus.NewRegistry()
	if err := registry.Register(collector{f}); err != nil {
		return errors.Join(fmt.Errorf("metrics: %w", err), listener.Close())
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	f.log.Info("metrics are served", "address", listener.Addr().String())
	return httpserver.Serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}, listener, 0)
}
