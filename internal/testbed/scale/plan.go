// Package scale runs a fleet at the size of the capacity page on one machine: real front ends beside hollow ones, which are
// the real owner, core, worker connections and list watcher with drawn requests in place of clients, and emulated workers and
// an emulated list service. Hollow front ends and workers share processes. It tells what each role costs, how long a change
// takes to be in force everywhere, and whether every front end ends with the same list.
package scale

import (
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/testbed/workload"
)

// Plan is one scale run, as its YAML file says.
type Plan struct {
	Name           string          `yaml:"name"`
	About          string          `yaml:"about"`
	Seed           uint64          `yaml:"seed"`
	Duration       config.Duration `yaml:"lasts" json:"Lasts"`
	SampleInterval config.Duration `yaml:"sample" json:"Sample"` // how often the processes report
	Gateways       GatewayPlan     `yaml:"front-ends" json:"FrontEnds"`
	Workers        WorkerPlan      `yaml:"workers"`
	Functions      FunctionPlan    `yaml:"functions"`
	Timeline       []TimelineRow   `yaml:"timeline"`
}

// GatewayPlan is the front ends of a run.
type GatewayPlan struct {
	Hollow    int             `yaml:"hollow"`
	Processes int             `yaml:"processes"` // that the hollow ones share
	Real      int             `yaml:"real"`      // processes of their own, as the deploy file runs them
	Rate      float64         `yaml:"rate"`      // requests a second at each
	Wait      config.Duration `yaml:"wait"`      // of the clients
	Memory    config.ByteSize `yaml:"memory"`    // limit of each
	Sockets   int             `yaml:"sockets"`   // limit of each
}

// WorkerPlan is the emulated workers of a run.
type WorkerPlan struct {
	Count              int             `yaml:"count"`
	Processes          int             `yaml:"processes"`
	Zones              int             `yaml:"zones"`
	Slots              int             `yaml:"slots"`                // requests that run at a time
	QueueLimit         int             `yaml:"queue" json:"Queue"`   // that may wait beside them
	MeanRunTime        config.Duration `yaml:"answer" json:"Answer"` // mean time of a request
	MeanLoadTime       config.Duration `yaml:"load" json:"Load"`     // mean time of a load
	ReplicaIdleTimeout config.Duration `yaml:"keep" json:"Keep"`     // an idle replica stays so long
}

// FunctionPlan is the catalogue.
type FunctionPlan struct {
	Count       int     `yaml:"count"`
	Skew        float64 `yaml:"skew"` // exponent of the Zipf law by which they are called
	Concurrency int     `yaml:"lanes" json:"Lanes"`
}

func (p FunctionPlan) catalog() *workload.Catalog { return workload.New(p.Count, p.Skew) }

// TimelineRow is something that happens during a run. What it needs depends on What.
type TimelineRow struct {
	At         config.Duration `yaml:"at"`
	Action     string          `yaml:"what" json:"What"`
	Count      int             `yaml:"count"`
	SpreadOver config.Duration `yaml:"over" json:"Over"` // the time over which Count is spread; 0s: at once
	Duration   config.Duration `yaml:"for" json:"For"`
	Zone       int             `yaml:"zone"`
	Rate       float64         `yaml:"rate"`
}

// What can happen.
const (
	Drain             = "drain"          // Count workers drain, one list change each, and come back after For
	Replace           = "replace"        // Count workers stop and others start in their places, two lines in one change each
	StopWorkers       = "stop-workers"   // Count workers next to each other (a rack) stop and come back cold after For
	SilenceZone       = "silence-zone"   // a zone answers nothing for For and comes back cold
	StopList          = "stop-list"      // the list service is away for For
	RestartGateways   = "restart-fronts" // Count hollow front ends stop and start with the list that they were started with
	RestartEmpty      = "restart-empty"  // the same, with no list
	ChangeRate        = "change-rate"    // Rate requests a second at each front end from now on
	minSampleInterval = 100 * time.Millisecond
	maxRunDuration    = 30 * time.Minute
	maxProcesses      = 300
	maxHollowGateways = 5000
	maxWorkers        = 50000
	minSockets        = 64
	minMemory         = 32 << 20
	maxRate           = 10000.0
	maxFunctions      = 1 << 20
	maxTimelineRows   = 200
	maxConcurrency    = 1 << 16
)

// requiredFields are the fields that a row of the timeline has to have.
var requiredFields = map[string][]string{Drain: {"count", "for"}, Replace: {"count"}, StopWorkers: {"count", "for"}, SilenceZone: {"for"},
	StopList: {"for"}, RestartGateways: {"count"}, RestartEmpty: {"count"}, ChangeRate: {}}

// ReadPlan reads a plan. A mistake has file, line and column.
func ReadPlan(name string, b []byte) (Plan, error) {
	var p Plan
	if err := config.DecodeStrict(name, b, &p); err != nil {
		return p, err
	}
	if at, reason := p.firstInvalid(); reason != "" {
		return p, config.ErrorAt(name, b, at, reason)
	}
	return p, nil
}

// firstInvalid finds the first value that can't be, with its path.
func (p Plan) firstInvalid() (path, reason string) {
	f, w := p.Gateways, p.Workers
	switch {
	case p.Name == "":
		return "$.name", "a plan needs a name"
	case p.Duration <= 0 || p.Duration.Std() > maxRunDuration:
		return "$.lasts", fmt.Sprintf("more than 0s, at most %v", maxRunDuration)
	case p.SampleInterval.Std() < minSampleInterval || p.SampleInterval > p.Duration:
		return "$.sample", fmt.Sprintf("at least %v, and no longer than the run", minSampleInterval)
	case f.Hollow < 1 || f.Hollow > maxHollowGateways:
		return "$.front-ends.hollow", fmt.Sprintf("from 1 to %d", maxHollowGateways)
	case f.Processes < 1 || f.Processes > f.Hollow:
		return "$.front-ends.processes", "at least 1, and no more than there are hollow front ends"
	case f.Real < 0 || f.Real > 16:
		return "$.front-ends.real", "from 0 to 16"
	case f.Rate < 0 || f.Rate > maxRate:
		return "$.front-ends.rate", fmt.Sprintf("from 0 to %g requests a second", maxRate)
	case f.Wait <= 0 || f.Wait.Std() > time.Minute:
		return "$.front-ends.wait", "more than 0s, at most a minute"
	case f.Memory < minMemory:
		return "$.front-ends.memory", "at least 32MiB"
	case f.Sockets < minSockets || f.Sockets > 1<<14:
		return "$.front-ends.sockets", fmt.Sprintf("from %d to %d", minSockets, 1<<14)
	case w.Count < 1 || w.Count > maxWorkers:
		return "$.workers.count", fmt.Sprintf("from 1 to %d", maxWorkers)
	case w.Processes < 1 || w.Processes > w.Count:
		return "$.workers.processes", "at least 1, and no more than there are workers"
	case w.Zones < 1 || w.Zones > w.Count:
		return "$.workers.zones", "at least 1, and no more than there are workers"
	case w.Slots < 1 || w.Slots > maxConcurrency || w.QueueLimit < 0 || w.QueueLimit > maxConcurrency:
		return "$.workers", fmt.Sprintf("slots from 1 and queue from 0, to %d", maxConcurrency)
	case w.MeanRunTime <= 0 || w.MeanLoadTime <= 0 || w.ReplicaIdleTimeout <= 0:
		return "$.workers", "answer, load and keep are more than 0s"
	case p.Functions.Count < 1 || p.Functions.Count > maxFunctions:
		return "$.functions.count", fmt.Sprintf("from 1 to %d", maxFunctions)
	case p.Functions.Skew < 0 || p.Functions.Skew > 4:
		return "$.functions.skew", "from 0 to 4"
	case p.Functions.Concurrency < 1 || p.Functions.Concurrency > maxConcurrency:
		return "$.functions.lanes", fmt.Sprintf("from 1 to %d", maxConcurrency)
	case len(p.Timeline) > maxTimelineRows:
		return "$.timeline", fmt.Sprintf("at most %d rows", maxTimelineRows)
	}
	for i, row := range p.Timeline {
		if field, reason := p.invalidRow(row); reason != "" {
			return fmt.Sprintf("$.timeline[%d].%s", i, field), reason
		}
		if i > 0 && row.At < p.Timeline[i-1].At {
			return fmt.Sprintf("$.timeline[%d].at", i), "earlier than the row before"
		}
	}
	return "", ""
}

func (p Plan) invalidRow(row TimelineRow) (field, reason string) {
	fields, known := requiredFields[row.Action]
	most := p.Workers.Count
	if row.Action == RestartGateways || row.Action == RestartEmpty {
		most = p.Gateways.Hollow
	}
	switch {
	case !known:
		return "what", fmt.Sprintf("%q is nothing that can happen", row.Action)
	case row.At < 0 || row.At+row.SpreadOver+row.Duration >= p.Duration:
		return "at", "it has to be over before the run ends"
	case slices.Contains(fields, "count") && (row.Count < 1 || row.Count > most):
		return "count", fmt.Sprintf("from 1 to %d", most)
	case slices.Contains(fields, "for") && row.Duration <= 0:
		return "for", "more than 0s"
	case row.Action == SilenceZone && (row.Zone < 0 || row.Zone >= p.Workers.Zones):
		return "zone", fmt.Sprintf("from 0 to %d", p.Workers.Zones-1)
	case row.Action == ChangeRate && (row.Rate < 0 || row.Rate > maxRate):
		return "rate", fmt.Sprintf("from 0 to %g requests a second", maxRate)
	}
	return "", ""
}
