package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/scheduler"
)

// collector is a Prometheus collector of the state of a gateway.
type collector struct{ gateway *Gateway }

// Describe sends nothing, which makes the collector unchecked: the set of metrics depends on the invariants violated.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the present state as metrics.
func (c collector) Collect(out chan<- prometheus.Metric) {
	s, stats := c.gateway.status(), c.gateway.Stats()
	sink := metricSink{out}
	c.collectRequests(sink, s, stats)
	c.collectTraffic(sink, s, stats)
	c.collectConnections(sink, s)
	c.collectLoad(sink, s, stats)
	collectFleet(sink, s)
}

func (c collector) collectRequests(sink metricSink, s status, stats *gateway.Stats) {
	const help = "Requests by how they ended."
	sink.counter("requests_total", help, int64(s.Completed), "ending", "completed")
	sink.counter("requests_total", help, int64(s.Rejected), "ending", "rejected")
	sink.counter("requests_total", help, int64(s.Failed), "ending", "failed")
	sink.counter("requests_total", help, int64(s.ClientsDisconnected), "ending", "client_left")
	for reason := range stats.Unserved {
		sink.counter("requests_given_up_total", "Requests answered without being served, by reason.",
			stats.Unserved[reason].Load(), "reason", scheduler.Reason(reason).String())
	}
	sink.counter("requests_read_after_stall_total", "Requests read right after the process had not run.",
		stats.ReadAfterStall.Load())
	sink.gauge("requests_open", "Requests without an answer.", s.OpenRequests)
}

// collectTraffic sends the metrics of attempts, load requests and probes, and of the answers to them.
func (c collector) collectTraffic(sink metricSink, s status, stats *gateway.Stats) {
	sink.counter("attempts_total", "Attempts decided on.", int64(s.Attempts))
	sink.counter("retries_total", "Attempts of requests that had one before.", stats.Retries.Load())
	const help = "Attempts that did not leave, by reason."
	sink.counter("attempts_withheld_total", help, stats.WithheldDisconnected.Load(), "reason", "client_left")
	sink.counter("attempts_withheld_total", help, stats.WithheldExpired.Load(), "reason", "no_time_left")
	sink.counter("attempts_withheld_total", help, stats.WithheldStalled.Load(), "reason", "stalled")
	sink.counter("attempts_withheld_total", help, stats.WithheldLease.Load(), "reason", "lease_expired")
	sink.counter("loads_withheld_total", "Load requests that did not leave after a stall.", stats.WithheldLoads.Load())
	sink.counter("load_requests_total", "Load requests sent.", int64(s.LoadRequests))
	sink.counter("verifications_total", "Load requests that verify that a worker takes new work.",
		stats.Verifications.Load())
	sink.counter("replica_queries_total", "Load requests for no replicas.", stats.ReplicaQueries.Load())
	for kind := range stats.LeaseEvents {
		sink.counter("lease_events_total", "Changes of leases by kind.", stats.LeaseEvents[kind].Load(),
			"kind", strings.ReplaceAll(scheduler.LeaseEventKind(kind).String(), " ", "_"))
	}
	sink.counter("probes_total", "Probes sent.", int64(s.Probes))
	sink.counter("late_answers_total", "Answers to attempts that had ended.", int64(s.LateOutcomes))
	sink.counter("stray_answers_total", "Answers that no call waited for.", s.UnmatchedResponses)
	for kind, n := range c.gateway.monitor.Counts() {
		sink.counter("invariant_violations_total", "Violated invariants; there must be none.", n, "kind", kind)
	}
}

func (c collector) collectConnections(sink metricSink, s status) {
	for reason := range c.gateway.closeCounts {
		sink.counter("connections_closed_total", "Clients' connections by why they ended.",
			c.gateway.closeCounts[reason].Load(), "reason", thrift.CloseReason(reason).String())
	}
	sink.gauge("connections", "Clients' connections.", s.Connections)
	sink.gauge("connections_to_workers", "Connections to workers.", s.WorkerConnections)
	sink.counter("log_lines_dropped_total", "Log lines that found no reader.", s.LogLinesDropped)
}

// collectLoad sends the metrics of what waits in the process, of what was refused and of memory.
func (c collector) collectLoad(sink metricSink, s status, stats *gateway.Stats) {
	for reason := range c.gateway.rejectionCounts {
		sink.counter("messages_refused_total", "Clients' messages that were refused when they were read, by reason.",
			c.gateway.rejectionCounts[reason].Load(), "reason", rejection(reason).String())
	}
	sink.counter("stalls_total", "Periods in which the process did not run.", stats.Stalls.Load())
	sink.gauge("event_loop_messages", "Messages that wait for the event loop.", int64(s.Mailbox.Length))
	sink.gauge("event_loop_messages_peak", "Largest number of waiting messages since the start.",
		int64(s.Mailbox.PeakLength))
	sink.gauge("event_loop_delay_milliseconds", "Time since the oldest waiting message was put.",
		s.Mailbox.Age.Milliseconds())
	sink.gauge("event_loop_delay_peak_milliseconds", "Longest wait of a message since the start.",
		s.Mailbox.PeakAge.Milliseconds())
	sink.gauge("connections_waiting", "Clients' connections that wait for their turn.", int64(s.Gate.Waiting))
	sink.counter("turns_waited_total", "Waits of clients' connections for their turn.", s.Gate.Waits)
	sink.gauge("turn_wait_peak_milliseconds", "Longest wait of a connection for its turn since the start.",
		s.Gate.Longest.Milliseconds())
	const help = "Memory by purpose."
	sink.labelledGauge("memory_bytes", help, s.Memory.Resident, "purpose", "resident")
	sink.labelledGauge("memory_bytes", help, s.Memory.PeakResident, "purpose", "resident_peak")
	sink.labelledGauge("memory_bytes", help, s.Memory.Heap, "purpose", "heap")
	sink.labelledGauge("memory_bytes", help, s.Memory.Stacks, "purpose", "stacks")
	sink.labelledGauge("memory_bytes", help, s.Memory.Requests, "purpose", "requests")
	sink.labelledGauge("memory_bytes", help, s.Memory.Partial, "purpose", "partial_messages")
	sink.labelledGauge("memory_bytes", help, s.Memory.Answers, "purpose", "answers")
}

func collectFleet(sink metricSink, s status) {
	sink.gauge("leases_needed", "1 while workers need leases of their own.", boolGauge(s.Fleet.WatchExpired))
	sink.gauge("workers_leased", "Workers with a lease while they need one.", int64(s.Fleet.Leased))
	sink.gauge("workers", "Workers that may get something new, by the list.", int64(s.Fleet.Workers))
	sink.gauge("workers_ejected", "Of these, ejected or half-open.", int64(s.Fleet.Ejected))
	sink.gauge("workers_with_room", "Of these, with room for an attempt.", int64(s.Fleet.WithCapacity))
	sink.gauge("attempts_in_flight", "Attempts without an outcome.", int64(s.Fleet.InFlight))
	sink.gauge("overloaded", "1 while few workers have room.", boolGauge(s.Fleet.Overloaded))
	sink.gauge("list_position", "Number of the last event of the list service that was taken.", s.EndpointPosition)
	collectFreshness(sink, s.Freshness)
}

// collectFreshness sends the age of the endpoint list and the results of the polls for it.
func collectFreshness(sink metricSink, freshness discovery.Freshness) {
	sink.gauge("list_age_milliseconds", "Time since the endpoint list was complete for certain.",
		freshness.Age.Milliseconds())
	sink.gauge("list_expired", "1 while changes count as delivered that may not have been received.",
		boolGauge(freshness.Expired))
	const help = "Polls of the list service by result."
	sink.counter("list_polls_total", help, freshness.Answered, "result", "answered")
	sink.counter("list_polls_total", help, freshness.Failed, "result", "failed")
}

func boolGauge(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// metricSink sends metrics whose names begin with the program's prefix.
type metricSink struct{ out chan<- prometheus.Metric }

// counter sends a counter. Its labels are alternating names and values.
func (s metricSink) counter(name, help string, n int64, labels ...string) {
	s.send(prometheus.CounterValue, name, help, n, labels...)
}

func (s metricSink) gauge(name, help string, n int64) { s.send(prometheus.GaugeValue, name, help, n) }

// labelledGauge sends a gauge with labels, which are alternating names and values.
func (s metricSink) labelledGauge(name, help string, n int64, labels ...string) {
	s.send(prometheus.GaugeValue, name, help, n, labels...)
}

func (s metricSink) send(kind prometheus.ValueType, name, help string, n int64, labels ...string) {
	var names, values []string
	for i := 0; i+1 < len(labels); i += 2 {
		names, values = append(names, labels[i]), append(values, labels[i+1])
	}
	desc := prometheus.NewDesc("lupinpond_"+name, help, names, nil)
	s.out <- prometheus.MustNewConstMetric(desc, kind, float64(n), values...)
}

// metricsHeaderTimeout is the timeout for reading the headers of a scrape request.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics serves the metrics over HTTP at an address until ctx ends.
func (g *Gateway) serveMetrics(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	registry := prometheus.NewRegistry()
	if err := registry.Register(collector{g}); err != nil {
		return errors.Join(fmt.Errorf("metrics: %w", err), listener.Close())
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	g.log.Info("metrics listening", "address", listener.Addr().String())
	return httpserver.Serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}, listener, 0)
}
