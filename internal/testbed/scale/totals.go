package scale

import (
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"

	"lupinpond/internal/testbed/discoverytest"
)

// totals are the sums of what all processes have counted up to a moment.
type totals struct {
	at               time.Time
	gatewayNanos     int64
	gatewayBytes     int64
	gatewayFDs       int
	discoveryNanos   int64
	discoveryBytes   int64 // resident
	workerNanos      int64
	workerBytes      int64
	realGatewayNanos int64
	realGatewayBytes int64
	realGatewayFDs   int
	allBytes         int64 // resident, of all processes of the run
	discovery        discoverytest.Counts
	workers          workerCounts
	gateways         gatewayCounts
	realGateways     gatewayCounts
	machineBusy      float64 // processor seconds since the machine's start
	machineIdle      float64
}

func (t *totals) add(r *childReport) {
	t.allBytes += r.ResidentBytes
	switch {
	case r.Discovery != nil:
		t.discoveryNanos, t.discoveryBytes, t.discovery = r.ProcessorNanos, r.ResidentBytes, *r.Discovery
	case r.Workers != nil:
		t.workerNanos += r.ProcessorNanos
		t.workerBytes += r.ResidentBytes
		w, n := &t.workers, r.Workers
		w.Accepted, w.OpenConnections, w.Requests, w.Loads = w.Accepted+n.Accepted, w.OpenConnections+n.OpenConnections, w.Requests+n.Requests, w.Loads+n.Loads
		w.LoadRequests, w.Probes, w.Cancels, w.Rejected = w.LoadRequests+n.LoadRequests, w.Probes+n.Probes, w.Cancels+n.Cancels, w.Rejected+n.Rejected
		w.ControlBytes, w.RequestBytes = w.ControlBytes+n.ControlBytes, w.RequestBytes+n.RequestBytes
	case r.Gateways != nil:
		t.gatewayNanos += r.ProcessorNanos
		t.gatewayBytes += r.ResidentBytes
		t.gatewayFDs += r.Descriptors
		t.gateways.add(*r.Gateways)
	}
}

func (c *gatewayCounts) add(n gatewayCounts) {
	c.Submitted, c.Served, c.Cold = c.Submitted+n.Submitted, c.Served+n.Served, c.Cold+n.Cold
	c.Rejected, c.NoWorker, c.Failed = c.Rejected+n.Rejected, c.NoWorker+n.NoWorker, c.Failed+n.Failed
	c.OutOfOrder, c.Restarted = c.OutOfOrder+n.OutOfOrder, c.Restarted+n.Restarted
}

// machine adds what the whole machine has spent.
func (t *totals) machine() error {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return err
	}
	stat, err := fs.Stat()
	if err != nil {
		return err
	}
	c := stat.CPUTotal
	t.machineIdle = c.Idle + c.Iowait
	t.machineBusy = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	return nil
}

// Span is what happened from one moment to a later one. Figures "a front end" are means over the hollow ones.
type Span struct {
	Name                string  `json:"name"`
	Seconds             float64 `json:"seconds"`
	RequestRate         float64 `json:"request_rate"`      // a second, all hollow front ends
	GatewayCPU          float64 `json:"front_core"`        // part of a core, a front end, requests included
	GatewayMiB          float64 `json:"front_mib"`         // resident, a front end's part of its process, at the end
	GatewayFDs          float64 `json:"front_files"`       // descriptors, a front end, at the end
	RealGatewayCPU      float64 `json:"real_core"`         // a real front end
	RealGatewayMiB      float64 `json:"real_mib"`          //
	RealGatewayFDs      float64 `json:"real_files"`        //
	ControlBytes        float64 `json:"control_bytes"`     // a second, orders, probes and list, a front end
	LoadRequestRate     float64 `json:"order_rate"`        // a second, a front end
	ProbeRate           float64 `json:"probe_rate"`        //
	HandshakeRate       float64 `json:"handshake_rate"`    //
	DiscoveryBytes      float64 `json:"list_bytes"`        // a second, a front end
	Connections         float64 `json:"connections"`       // a worker, at the end
	WorkerHandshakeRate float64 `json:"worker_handshakes"` // a second, a worker
	Loads               float64 `json:"loads"`             // a second, all workers
	DiscoveryCPU        float64 `json:"list_core"`         // of the list service
	DiscoveryMiB        float64 `json:"list_mib"`          //
	CompleteLists       int64   `json:"whole_lists"`       // told
	Submitted           int64   `json:"submitted"`
	Served              int64   `json:"served"`
	Cold                int64   `json:"cold"`
	Rejected            int64   `json:"rejected"`
	NoWorker            int64   `json:"found_none"`
	Failed              int64   `json:"failed"`
	AllMiB              float64 `json:"all_mib"`      // resident, all processes of the run
	MachineIdle         float64 `json:"machine_idle"` // part of all cores
}

// span works out what happened between two totals.
func (p Plan) span(name string, from, to totals) Span {
	seconds := to.at.Sub(from.at).Seconds()
	fronts := float64(p.Gateways.Hollow)
	all := float64(p.Gateways.Hollow + p.Gateways.Real) // workers and list can't tell hollow from real
	real := float64(max(1, p.Gateways.Real))
	rate := func(from, to int64, over float64) float64 { return float64(to-from) / seconds / over }
	core := func(from, to int64, over float64) float64 { return float64(to-from) / 1e9 / seconds / over }
	mib := func(bytes int64, over float64) float64 { return float64(bytes) / over / (1 << 20) }
	busy, idle := to.machineBusy-from.machineBusy, to.machineIdle-from.machineIdle
	s := Span{Name: name, Seconds: seconds,
		RequestRate: rate(from.gateways.Submitted, to.gateways.Submitted, 1),
		GatewayCPU:  core(from.gatewayNanos, to.gatewayNanos, fronts), GatewayMiB: mib(to.gatewayBytes, fronts),
		GatewayFDs:     float64(to.gatewayFDs) / fronts,
		RealGatewayCPU: core(from.realGatewayNanos, to.realGatewayNanos, real), RealGatewayMiB: mib(to.realGatewayBytes, real), RealGatewayFDs: float64(to.realGatewayFDs) / real,
		LoadRequestRate: rate(from.workers.LoadRequests, to.workers.LoadRequests, all), ProbeRate: rate(from.workers.Probes, to.workers.Probes, all),
		HandshakeRate: rate(from.workers.Accepted, to.workers.Accepted, all), DiscoveryBytes: rate(from.discovery.Bytes, to.discovery.Bytes, all),
		Connections:         float64(to.workers.OpenConnections) / float64(p.Workers.Count),
		WorkerHandshakeRate: rate(from.workers.Accepted, to.workers.Accepted, float64(p.Workers.Count)),
		Loads:               rate(from.workers.Loads, to.workers.Loads, 1),
		DiscoveryCPU:        core(from.discoveryNanos, to.discoveryNanos, 1), DiscoveryMiB: mib(to.discoveryBytes, 1), CompleteLists: to.discovery.CompleteResponses - from.discovery.CompleteResponses,
		Submitted: to.gateways.Submitted - from.gateways.Submitted, Served: to.gateways.Served - from.gateways.Served,
		Cold: to.gateways.Cold - from.gateways.Cold, Rejected: to.gateways.Rejected - from.gateways.Rejected,
		NoWorker: to.gateways.NoWorker - from.gateways.NoWorker, Failed: to.gateways.Failed - from.gateways.Failed,
		AllMiB: mib(to.allBytes, 1)}
	s.ControlBytes = rate(from.workers.ControlBytes, to.workers.ControlBytes, all) + s.DiscoveryBytes
	if busy+idle > 0 {
		s.MachineIdle = idle / (busy + idle)
	}
	return s
}

// Delay is how long something took, over many times.
type Delay struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"worst_ms"`
}

func delayOf(h *hdrhistogram.Histogram) Delay {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Delay{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}

// Result is what a run has shown.
type Result struct {
	Plan              string           `json:"plan"`
	Estimate          Estimate         `json:"estimate"`
	Processes         int              `json:"processes"`
	StartSeconds      float64          `json:"start_seconds"`
	Seconds           float64          `json:"seconds"` // the whole run, its start and end included
	PeakMiB           float64          `json:"peak_mib"`
	MinIdle           float64          `json:"least_idle"` // of the machine, in a sample
	Spans             []Span           `json:"spans"`
	Applied           map[string]Delay `json:"applied"`     // from a change to its being in force at each front end, by span
	AppliedEverywhere map[string]Delay `json:"last_of"`     // the same to the last front end of each change
	Warm              Delay            `json:"warm"`        // requests that found their replica loaded
	Cold              Delay            `json:"cold"`        // requests whose replica was loaded after they came
	RealWarm          Delay            `json:"real_warm"`   // of the real front ends' clients
	RealCold          Delay            `json:"real_cold"`   //
	Real              gatewayCounts    `json:"real"`        //
	Changes           int              `json:"changes"`     // published
	Lists             map[string]int   `json:"lists"`       // front ends by the list that they had at the end
	ExpectedList      string           `json:"list_wanted"` // the list service's
	OutOfOrder        int64            `json:"out_of_order"`
}

// ErrListMismatch says that front ends ended with another list than the service's, or heard changes twice or with a gap.
var ErrListMismatch = errors.New("front ends and the list service do not agree")

// AllAgree tells whether every front end ended with the list of the service, each change once and in its order.
func (r Result) AllAgree(fronts int) bool {
	return r.OutOfOrder == 0 && len(r.Lists) == 1 && r.Lists[r.ExpectedList] == fronts
}
