package scale

import "errors"

// ErrListMismatch says that gateways ended with another endpoint list than the discovery service's, or received changes
// twice or with a gap.
var ErrListMismatch = errors.New("gateways and the discovery service do not agree")

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
	Applied           map[string]Delay `json:"applied"`     // from a change to its being in force at each gateway, by span
	AppliedEverywhere map[string]Delay `json:"last_of"`     // the same to the last gateway of each change
	Warm              Delay            `json:"warm"`        // requests that found their replica loaded
	Cold              Delay            `json:"cold"`        // requests whose replica was loaded after they came
	RealWarm          Delay            `json:"real_warm"`   // of the real gateways' clients
	RealCold          Delay            `json:"real_cold"`   //
	Real              gatewayCounts    `json:"real"`        //
	Changes           int              `json:"changes"`     // published
	Lists             map[string]int   `json:"lists"`       // gateways by the endpoint list that they had at the end
	ExpectedList      string           `json:"list_wanted"` // the discovery service's
	OutOfOrder        int64            `json:"out_of_order"`
}

// AllAgree reports whether every gateway ended with the list of the service, each change once and in order.
func (r Result) AllAgree(gateways int) bool {
	return r.OutOfOrder == 0 && len(r.Lists) == 1 && r.Lists[r.ExpectedList] == gateways
}

// Span is what happened from one moment to a later one. Figures "a gateway" are means over the hollow ones.
type Span struct {
	Name                string  `json:"name"`
	Seconds             float64 `json:"seconds"`
	RequestRate         float64 `json:"request_rate"`      // a second, all hollow gateways
	GatewayCPU          float64 `json:"front_core"`        // part of a core, a gateway, requests included
	GatewayMiB          float64 `json:"front_mib"`         // resident, a gateway's part of its process, at the end
	GatewayFDs          float64 `json:"front_files"`       // descriptors, a gateway, at the end
	RealGatewayCPU      float64 `json:"real_core"`         // a real gateway
	RealGatewayMiB      float64 `json:"real_mib"`          //
	RealGatewayFDs      float64 `json:"real_files"`        //
	ControlBytes        float64 `json:"control_bytes"`     // a second, load requests, probes and list, a gateway
	LoadRequestRate     float64 `json:"order_rate"`        // a second, a gateway
	ProbeRate           float64 `json:"probe_rate"`        //
	HandshakeRate       float64 `json:"handshake_rate"`    //
	DiscoveryBytes      float64 `json:"list_bytes"`        // a second, a gateway
	Connections         float64 `json:"connections"`       // a worker, at the end
	WorkerHandshakeRate float64 `json:"worker_handshakes"` // a second, a worker
	Loads               float64 `json:"loads"`             // a second, all workers
	DiscoveryCPU        float64 `json:"list_core"`         // of the discovery service
	DiscoveryMiB        float64 `json:"list_mib"`          //
	CompleteLists       int64   `json:"whole_lists"`       // sent
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
	hollow := float64(p.Gateways.Hollow)
	all := float64(p.Gateways.Hollow + p.Gateways.Real) // workers and discovery can't tell hollow from real
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
