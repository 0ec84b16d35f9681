package scale

import "errors"

// ErrListMismatch is returned by Run if the final endpoint list of a gateway differs from that of the discovery
// service, or if a gateway received changes twice or with a gap.
var ErrListMismatch = errors.New("gateways and the discovery service disagree on the endpoint list")

// Result is the result of a run.
type Result struct {
	Plan              string           `json:"plan"`
	Estimate          Estimate         `json:"estimate"`
	Processes         int              `json:"processes"`
	StartSeconds      float64          `json:"start_seconds"` // time to start all processes
	Seconds           float64          `json:"seconds"`       // time of the whole run, including start and end
	PeakMiB           float64          `json:"peak_mib"`      // maximum resident memory of all processes in a sample
	MinIdle           float64          `json:"least_idle"`    // minimum idle share of the machine's cores in a sample
	Spans             []Span           `json:"spans"`
	Applied           map[string]Delay `json:"applied"`     // by span: from a publication until a gateway applied it
	AppliedEverywhere map[string]Delay `json:"last_of"`     // by span: from a publication until all gateways applied it
	Warm              Delay            `json:"warm"`        // latency of requests whose replica was already loaded
	Cold              Delay            `json:"cold"`        // latency of requests that waited for a load
	RealWarm          Delay            `json:"real_warm"`   // like Warm, at the real gateways' clients
	RealCold          Delay            `json:"real_cold"`   // like Cold, at the real gateways' clients
	Real              gatewayCounts    `json:"real"`        // counters of the real gateways' clients
	Changes           int              `json:"changes"`     // number of published changes
	Lists             map[string]int   `json:"lists"`       // number of hollow gateways by digest of their final list
	ExpectedList      string           `json:"list_wanted"` // digest of the discovery service's endpoint list
	OutOfOrder        int64            `json:"out_of_order"`
}

// AllAgree reports whether all gateways ended with the endpoint list of the discovery service and received each change
// once and in order.
func (r Result) AllAgree(gateways int) bool {
	return r.OutOfOrder == 0 && len(r.Lists) == 1 && r.Lists[r.ExpectedList] == gateways
}

// Span contains the measurements between two times of a run. Those named Gateway are means over the hollow gateways;
// bytes and rates per gateway are means over all gateways. Memory, descriptors and connections are as of the end of the
// span.
type Span struct {
	Name                string  `json:"name"`
	Seconds             float64 `json:"seconds"`
	RequestRate         float64 `json:"request_rate"`      // requests per second, sum of all hollow gateways
	GatewayCPU          float64 `json:"front_core"`        // used cores per gateway, including the work for requests
	GatewayMiB          float64 `json:"front_mib"`         // resident memory of the processes divided by their gateways
	GatewayFDs          float64 `json:"front_files"`       // file descriptors per gateway
	RealGatewayCPU      float64 `json:"real_core"`         // used cores per real gateway
	RealGatewayMiB      float64 `json:"real_mib"`          // resident memory per real gateway
	RealGatewayFDs      float64 `json:"real_files"`        // file descriptors per real gateway
	ControlBytes        float64 `json:"control_bytes"`     // bytes/s per gateway of load requests, probes and list
	LoadRequestRate     float64 `json:"order_rate"`        // load requests per second and gateway
	ProbeRate           float64 `json:"probe_rate"`        // probes per second and gateway
	HandshakeRate       float64 `json:"handshake_rate"`    // new worker connections per second and gateway
	DiscoveryBytes      float64 `json:"list_bytes"`        // bytes/s per gateway to and from the discovery service
	Connections         float64 `json:"connections"`       // open connections per worker
	WorkerHandshakeRate float64 `json:"worker_handshakes"` // new connections per second and worker
	Loads               float64 `json:"loads"`             // loads per second, sum of all workers
	DiscoveryCPU        float64 `json:"list_core"`         // used cores of the discovery service
	DiscoveryMiB        float64 `json:"list_mib"`          // resident memory of the discovery service
	CompleteLists       int64   `json:"whole_lists"`       // complete lists sent by the discovery service
	Submitted           int64   `json:"submitted"`
	Served              int64   `json:"served"`
	Cold                int64   `json:"cold"`
	Rejected            int64   `json:"rejected"`
	NoWorker            int64   `json:"found_none"`
	Failed              int64   `json:"failed"`
	AllMiB              float64 `json:"all_mib"`      // resident memory of all processes of the run
	MachineIdle         float64 `json:"machine_idle"` // idle share of all cores of the machine, from 0 to 1
}

// span calculates the measurements between two totals.
func (p Plan) span(name string, from, to totals) Span {
	seconds := to.at.Sub(from.at).Seconds()
	hollow := float64(p.Gateways.Hollow)
	all := float64(p.Gateways.Hollow + p.Gateways.Real) // counters of workers and discovery include real gateways
	real := float64(max(1, p.Gateways.Real))
	workers := float64(p.Workers.Count)
	rate := func(from, to int64, over float64) float64 { return float64(to-from) / seconds / over }
	cpu := func(from, to int64, over float64) float64 { return float64(to-from) / 1e9 / seconds / over }
	mib := func(bytes int64, over float64) float64 { return float64(bytes) / over / (1 << 20) }
	discoveryBytes := rate(from.discovery.Bytes, to.discovery.Bytes, all)
	span := Span{
		Name:                name,
		Seconds:             seconds,
		RequestRate:         rate(from.gateways.Submitted, to.gateways.Submitted, 1),
		GatewayCPU:          cpu(from.gatewayNanos, to.gatewayNanos, hollow),
		GatewayMiB:          mib(to.gatewayBytes, hollow),
		GatewayFDs:          float64(to.gatewayFDs) / hollow,
		RealGatewayCPU:      cpu(from.realGatewayNanos, to.realGatewayNanos, real),
		RealGatewayMiB:      mib(to.realGatewayBytes, real),
		RealGatewayFDs:      float64(to.realGatewayFDs) / real,
		ControlBytes:        rate(from.workers.ControlBytes, to.workers.ControlBytes, all) + discoveryBytes,
		LoadRequestRate:     rate(from.workers.LoadRequests, to.workers.LoadRequests, all),
		ProbeRate:           rate(from.workers.Probes, to.workers.Probes, all),
		HandshakeRate:       rate(from.workers.Accepted, to.workers.Accepted, all),
		DiscoveryBytes:      discoveryBytes,
		Connections:         float64(to.workers.OpenConnections) / workers,
		WorkerHandshakeRate: rate(from.workers.Accepted, to.workers.Accepted, workers),
		Loads:               rate(from.workers.Loads, to.workers.Loads, 1),
		DiscoveryCPU:        cpu(from.discoveryNanos, to.discoveryNanos, 1),
		DiscoveryMiB:        mib(to.discoveryBytes, 1),
		CompleteLists:       to.discovery.CompleteResponses - from.discovery.CompleteResponses,
		Submitted:           to.gateways.Submitted - from.gateways.Submitted,
		Served:              to.gateways.Served - from.gateways.Served,
		Cold:                to.gateways.Cold - from.gateways.Cold,
		Rejected:            to.gateways.Rejected - from.gateways.Rejected,
		NoWorker:            to.gateways.NoWorker - from.gateways.NoWorker,
		Failed:              to.gateways.Failed - from.gateways.Failed,
		AllMiB:              mib(to.allBytes, 1),
	}
	busy, idle := to.machineBusy-from.machineBusy, to.machineIdle-from.machineIdle
	if busy+idle > 0 {
		span.MachineIdle = idle / (busy + idle)
	}
	return span
}
