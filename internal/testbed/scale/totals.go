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
	at          time.Time
	frontNanos  int64
	frontBytes  int64
	frontFiles  int
	listNanos   int64
	listBytes   int64 // resident
	workerNanos int64
	workerBytes int64
	gateNanos   int64
	gateBytes   int64
	gateFiles   int
	allBytes    int64 // resident, of all processes of the run
	list        discoverytest.Counts
	workers     workerCounts
	fronts      frontEndCounts
	gates       frontEndCounts
	machineBusy float64 // processor seconds since the machine's start
	machineIdle float64
}

func (t *totals) add(r *childReport) {
	t.allBytes += r.ResidentBytes
	switch {
	case r.List != nil:
		t.listNanos, t.listBytes, t.list = r.ProcessorNanos, r.ResidentBytes, *r.List
	case r.Workers != nil:
		t.workerNanos += r.ProcessorNanos
		t.workerBytes += r.ResidentBytes
		w, n := &t.workers, r.Workers
		w.Accepted, w.Open, w.Requests, w.Loads = w.Accepted+n.Accepted, w.Open+n.Open, w.Requests+n.Requests, w.Loads+n.Loads
		w.Orders, w.Probes, w.Kills, w.Refused = w.Orders+n.Orders, w.Probes+n.Probes, w.Kills+n.Kills, w.Refused+n.Refused
		w.ControlBytes, w.RequestBytes = w.ControlBytes+n.ControlBytes, w.RequestBytes+n.RequestBytes
	case r.FrontEnds != nil:
		t.frontNanos += r.ProcessorNanos
		t.frontBytes += r.ResidentBytes
		t.frontFiles += r.Descriptors
		t.fronts.add(*r.FrontEnds)
	}
}

func (c *frontEndCounts) add(n frontEndCounts) {
	c.Submitted, c.Served, c.Cold = c.Submitted+n.Submitted, c.Served+n.Served, c.Cold+n.Cold
	c.Rejected, c.FoundNone, c.Failed = c.Rejected+n.Rejected, c.FoundNone+n.FoundNone, c.Failed+n.Failed
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
	Name            string  `json:"name"`
	Seconds         float64 `json:"seconds"`
	RequestRate     float64 `json:"request_rate"`      // a second, all hollow front ends
	FrontCore       float64 `json:"front_core"`        // part of a core, a front end, requests included
	FrontMiB        float64 `json:"front_mib"`         // resident, a front end's part of its process, at the end
	FrontFiles      float64 `json:"front_files"`       // descriptors, a front end, at the end
	RealCore        float64 `json:"real_core"`         // a real front end
	RealMiB         float64 `json:"real_mib"`          //
	RealFiles       float64 `json:"real_files"`        //
	ControlBytes    float64 `json:"control_bytes"`     // a second, orders, probes and list, a front end
	OrderRate       float64 `json:"order_rate"`        // a second, a front end
	ProbeRate       float64 `json:"probe_rate"`        //
	HandshakeRate   float64 `json:"handshake_rate"`    //
	ListBytes       float64 `json:"list_bytes"`        // a second, a front end
	Connections     float64 `json:"connections"`       // a worker, at the end
	WorkerHandshake float64 `json:"worker_handshakes"` // a second, a worker
	Loads           float64 `json:"loads"`             // a second, all workers
	ListCore        float64 `json:"list_core"`         // of the list service
	ListMiB         float64 `json:"list_mib"`          //
	WholeLists      int64   `json:"whole_lists"`       // told
	Submitted       int64   `json:"submitted"`
	Served          int64   `json:"served"`
	Cold            int64   `json:"cold"`
	Rejected        int64   `json:"rejected"`
	FoundNone       int64   `json:"found_none"`
	Failed          int64   `json:"failed"`
	AllMiB          float64 `json:"all_mib"`      // resident, all processes of the run
	MachineIdle     float64 `json:"machine_idle"` // part of all cores
}

// span works out what happened between two totals.
func (p Plan) span(name string, from, to totals) Span {
	seconds := to.at.Sub(from.at).Seconds()
	fronts := float64(p.FrontEnds.Hollow)
	all := float64(p.FrontEnds.Hollow + p.FrontEnds.Real) // workers and list can't tell hollow from real
	real := float64(max(1, p.FrontEnds.Real))
	rate := func(from, to int64, over float64) float64 { return float64(to-from) / seconds / over }
	core := func(from, to int64, over float64) float64 { return float64(to-from) / 1e9 / seconds / over }
	mib := func(bytes int64, over float64) float64 { return float64(bytes) / over / (1 << 20) }
	busy, idle := to.machineBusy-from.machineBusy, to.machineIdle-from.machineIdle
	s := Span{Name: name, Seconds: seconds,
		RequestRate: rate(from.fronts.Submitted, to.fronts.Submitted, 1),
		FrontCore:   core(from.frontNanos, to.frontNanos, fronts), FrontMiB: mib(to.frontBytes, fronts),
		FrontFiles: float64(to.frontFiles) / fronts,
		RealCore:   core(from.gateNanos, to.gateNanos, real), RealMiB: mib(to.gateBytes, real), RealFiles: float64(to.gateFiles) / real,
		OrderRate: rate(from.workers.Orders, to.workers.Orders, all), ProbeRate: rate(from.workers.Probes, to.workers.Probes, all),
		HandshakeRate: rate(from.workers.Accepted, to.workers.Accepted, all), ListBytes: rate(from.list.Bytes, to.list.Bytes, all),
		Connections:     float64(to.workers.Open) / float64(p.Workers.Count),
		WorkerHandshake: rate(from.workers.Accepted, to.workers.Accepted, float64(p.Workers.Count)),
		Loads:           rate(from.workers.Loads, to.workers.Loads, 1),
		ListCore:        core(from.listNanos, to.listNanos, 1), ListMiB: mib(to.listBytes, 1), WholeLists: to.list.Whole - from.list.Whole,
		Submitted: to.fronts.Submitted - from.fronts.Submitted, Served: to.fronts.Served - from.fronts.Served,
		Cold: to.fronts.Cold - from.fronts.Cold, Rejected: to.fronts.Rejected - from.fronts.Rejected,
		FoundNone: to.fronts.FoundNone - from.fronts.FoundNone, Failed: to.fronts.Failed - from.fronts.Failed,
		AllMiB: mib(to.allBytes, 1)}
	s.ControlBytes = rate(from.workers.ControlBytes, to.workers.ControlBytes, all) + s.ListBytes
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
	Worst float64 `json:"worst_ms"`
}

func delayOf(h *hdrhistogram.Histogram) Delay {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Delay{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Worst: ms(h.Max())}
}

// Result is what a run has shown.
type Result struct {
	Plan       string           `json:"plan"`
	Estimate   Estimate         `json:"estimate"`
	Processes  int              `json:"processes"`
	StartTook  float64          `json:"start_seconds"`
	Seconds    float64          `json:"seconds"` // the whole run, its start and end included
	PeakMiB    float64          `json:"peak_mib"`
	LeastIdle  float64          `json:"least_idle"` // of the machine, in a sample
	Spans      []Span           `json:"spans"`
	Applied    map[string]Delay `json:"applied"`     // from a change to its being in force at each front end, by span
	LastOf     map[string]Delay `json:"last_of"`     // the same to the last front end of each change
	Warm       Delay            `json:"warm"`        // requests that found their replica loaded
	Cold       Delay            `json:"cold"`        // requests whose replica was loaded after they came
	RealWarm   Delay            `json:"real_warm"`   // of the real front ends' clients
	RealCold   Delay            `json:"real_cold"`   //
	Real       frontEndCounts   `json:"real"`        //
	Changes    int              `json:"changes"`     // published
	Lists      map[string]int   `json:"lists"`       // front ends by the list that they had at the end
	ListWanted string           `json:"list_wanted"` // the list service's
	OutOfOrder int64            `json:"out_of_order"`
}

// ErrLists says that front ends ended with another list than the service's, or heard changes twice or with a gap.
var ErrLists = errors.New("front ends and the list service do not agree")

// AllAgree tells whether every front end ended with the list of the service, each change once and in its order.
func (r Result) AllAgree(fronts int) bool {
	return r.OutOfOrder == 0 && len(r.Lists) == 1 && r.Lists[r.ListWanted] == fronts
}
