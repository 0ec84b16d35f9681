// Package scale runs a fleet at the size of the capacity page on one machine: real gateways beside hollow ones, which
// are the real owner, core, worker connections and discovery watcher with drawn requests in place of clients, and
// emulated workers and an emulated discovery service. Hollow gateways and workers share processes. It tells what each
// role costs, how long a change takes to be in force everywhere, and whether every gateway ends with the same endpoint
// list.
package scale

import (
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/testbed/workload"
)

// Plan is one scale run, as its YAML file describes it.
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

// GatewayPlan is the gateways of a run.
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

// TimelineRow is an action during a run. Which fields it needs depends on the action.
type TimelineRow struct {
	At         config.Duration `yaml:"at"`
	Action     Action          `yaml:"what" json:"What"`
	Count      int             `yaml:"count"`
	SpreadOver config.Duration `yaml:"over" json:"Over"` // the time over which Count is spread; 0s: at once
	Duration   config.Duration `yaml:"for" json:"For"`
	Zone       int             `yaml:"zone"`
	Rate       float64         `yaml:"rate"`
}

// Action is what a row of the timeline does.
type Action string

// The actions.
const (
	Drain           Action = "drain"          // Count workers drain, one change each, and come back after For
	Replace         Action = "replace"        // Count workers stop and others start in their places, in one change each
	StopWorkers     Action = "stop-workers"   // Count workers of a rack stop and come back cold after For
	SilenceZone     Action = "silence-zone"   // a zone answers nothing for For and comes back cold
	StopList        Action = "stop-list"      // the discovery service is unavailable for For
	RestartGateways Action = "restart-fronts" // Count hollow gateways restart with their first endpoints
	RestartEmpty    Action = "restart-empty"  // the same, with no endpoints
	ChangeRate      Action = "change-rate"    // Rate requests a second at each gateway from now on
)

// Bounds of a plan.
const (
	minSampleInterval = 100 * time.Millisecond
	maxRunDuration    = 30 * time.Minute
	maxWait           = time.Minute
	maxProcesses      = 300
	maxHollowGateways = 5000
	maxRealGateways   = 16
	maxWorkers        = 50000
	minSockets        = 64
	maxSockets        = 1 << 14
	minMemory         = 32 << 20
	maxRate           = 10000.0
	maxFunctions      = 1 << 20
	maxSkew           = 4
	maxTimelineRows   = 200
	maxConcurrency    = 1 << 16
)

// requiredFields are the fields that a row of the timeline has to have.
var requiredFields = map[Action][]string{
	Drain:           {"count", "for"},
	Replace:         {"count"},
	StopWorkers:     {"count", "for"},
	SilenceZone:     {"for"},
	StopList:        {"for"},
	RestartGateways: {"count"},
	RestartEmpty:    {"count"},
	ChangeRate:      {},
}

// ReadPlan parses and validates a plan. A validation error has file, line and column.
func ReadPlan(name string, text []byte) (Plan, error) {
	var p Plan
	if err := config.DecodeStrict(name, text, &p); err != nil {
		return p, err
	}
	if at, reason := p.firstInvalid(); reason != "" {
		return p, config.ErrorAt(name, text, at, reason)
	}
	return p, nil
}

// firstInvalid finds the first value that can't be, with its path; an empty reason: there is none.
func (p Plan) firstInvalid() (path, reason string) {
	for _, check := range []func(Plan) (string, string){
		Plan.invalidRun, Plan.invalidGateways, Plan.invalidWorkers, Plan.invalidFunctions, Plan.invalidTimeline,
	} {
		if path, reason := check(p); reason != "" {
			return path, reason
		}
	}
	return "", ""
}

func (p Plan) invalidRun() (path, reason string) {
	switch {
	case p.Name == "":
		return "$.name", "a plan needs a name"
	case p.Duration <= 0 || p.Duration.Std() > maxRunDuration:
		return "$.lasts", fmt.Sprintf("more than 0s, at most %v", maxRunDuration)
	case p.SampleInterval.Std() < minSampleInterval || p.SampleInterval > p.Duration:
		return "$.sample", fmt.Sprintf("at least %v, and no longer than the run", minSampleInterval)
	}
	return "", ""
}

func (p Plan) invalidGateways() (path, reason string) {
	gateways := p.Gateways
	switch {
	case gateways.Hollow < 1 || gateways.Hollow > maxHollowGateways:
		return "$.front-ends.hollow", fmt.Sprintf("from 1 to %d", maxHollowGateways)
	case gateways.Processes < 1 || gateways.Processes > gateways.Hollow:
		return "$.front-ends.processes", "at least 1, and no more than there are hollow gateways"
	case gateways.Real < 0 || gateways.Real > maxRealGateways:
		return "$.front-ends.real", fmt.Sprintf("from 0 to %d", maxRealGateways)
	case gateways.Rate < 0 || gateways.Rate > maxRate:
		return "$.front-ends.rate", fmt.Sprintf("from 0 to %g requests a second", maxRate)
	case gateways.Wait <= 0 || gateways.Wait.Std() > maxWait:
		return "$.front-ends.wait", "more than 0s, at most a minute"
	case gateways.Memory < minMemory:
		return "$.front-ends.memory", "at least 32MiB"
	case gateways.Sockets < minSockets || gateways.Sockets > maxSockets:
		return "$.front-ends.sockets", fmt.Sprintf("from %d to %d", minSockets, maxSockets)
	}
	return "", ""
}

func (p Plan) invalidWorkers() (path, reason string) {
	workers := p.Workers
	switch {
	case workers.Count < 1 || workers.Count > maxWorkers:
		return "$.workers.count", fmt.Sprintf("from 1 to %d", maxWorkers)
	case workers.Processes < 1 || workers.Processes > workers.Count:
		return "$.workers.processes", "at least 1, and no more than there are workers"
	case workers.Zones < 1 || workers.Zones > workers.Count:
		return "$.workers.zones", "at least 1, and no more than there are workers"
	case workers.Slots < 1 || workers.Slots > maxConcurrency ||
		workers.QueueLimit < 0 || workers.QueueLimit > maxConcurrency:
		return "$.workers", fmt.Sprintf("slots from 1 and queue from 0, to %d", maxConcurrency)
	case workers.MeanRunTime <= 0 || workers.MeanLoadTime <= 0 || workers.ReplicaIdleTimeout <= 0:
		return "$.workers", "answer, load and keep are more than 0s"
	}
	return "", ""
}

func (p Plan) invalidFunctions() (path, reason string) {
	functions := p.Functions
	switch {
	case functions.Count < 1 || functions.Count > maxFunctions:
		return "$.functions.count", fmt.Sprintf("from 1 to %d", maxFunctions)
	case functions.Skew < 0 || functions.Skew > maxSkew:
		return "$.functions.skew", fmt.Sprintf("from 0 to %d", maxSkew)
	case functions.Concurrency < 1 || functions.Concurrency > maxConcurrency:
		return "$.functions.lanes", fmt.Sprintf("from 1 to %d", maxConcurrency)
	}
	return "", ""
}

func (p Plan) invalidTimeline() (path, reason string) {
	if len(p.Timeline) > maxTimelineRows {
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
	maxCount := p.Workers.Count
	if row.Action == RestartGateways || row.Action == RestartEmpty {
		maxCount = p.Gateways.Hollow
	}
	switch {
	case !known:
		return "what", fmt.Sprintf("unknown action %q", row.Action)
	case row.At < 0 || row.At+row.SpreadOver+row.Duration >= p.Duration:
		return "at", "it has to be over before the run ends"
	case slices.Contains(fields, "count") && (row.Count < 1 || row.Count > maxCount):
		return "count", fmt.Sprintf("from 1 to %d", maxCount)
	case slices.Contains(fields, "for") && row.Duration <= 0:
		return "for", "more than 0s"
	case row.Action == SilenceZone && (row.Zone < 0 || row.Zone >= p.Workers.Zones):
		return "zone", fmt.Sprintf("from 0 to %d", p.Workers.Zones-1)
	case row.Action == ChangeRate && (row.Rate < 0 || row.Rate > maxRate):
		return "rate", fmt.Sprintf("from 0 to %g requests a second", maxRate)
	}
	return "", ""
}
