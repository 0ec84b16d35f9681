// Package scale runs a fleet of the size that the capacity page describes on one machine. The fleet has real and hollow
// gateways, emulated workers and an emulated discovery service. A hollow gateway consists of the real owner, core,
// worker connections and discovery watcher, with generated requests instead of clients. Hollow gateways and workers
// share processes. A run measures the cost of each role and the time until a change of the endpoint list is applied at
// all gateways, and checks that all gateways end with the same endpoint list.
package scale

import (
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/testbed/workload"
)

// Plan describes a scale run. It is read from a YAML file.
type Plan struct {
	Name           string          `yaml:"name"`
	About          string          `yaml:"about"`
	Seed           uint64          `yaml:"seed"`
	Duration       config.Duration `yaml:"lasts" json:"Lasts"`
	SampleInterval config.Duration `yaml:"sample" json:"Sample"` // interval between the reports of the processes
	Gateways       GatewayPlan     `yaml:"front-ends" json:"FrontEnds"`
	Workers        WorkerPlan      `yaml:"workers"`
	Functions      FunctionPlan    `yaml:"functions"`
	Timeline       []TimelineRow   `yaml:"timeline"`
}

// GatewayPlan describes the gateways of a run.
type GatewayPlan struct {
	Hollow    int             `yaml:"hollow"`    // number of hollow gateways
	Processes int             `yaml:"processes"` // number of processes that run the hollow gateways
	Real      int             `yaml:"real"`      // number of real gateways, each a process as in the deploy file
	Rate      float64         `yaml:"rate"`      // requests per second at each gateway
	Wait      config.Duration `yaml:"wait"`      // maximum time that clients wait for a response
	Memory    config.ByteSize `yaml:"memory"`    // memory limit of each gateway
	Sockets   int             `yaml:"sockets"`   // limit of open sockets of each gateway
}

// WorkerPlan describes the emulated workers of a run.
type WorkerPlan struct {
	Count              int             `yaml:"count"`
	Processes          int             `yaml:"processes"`
	Zones              int             `yaml:"zones"`
	Slots              int             `yaml:"slots"`                // requests that a worker runs concurrently
	QueueLimit         int             `yaml:"queue" json:"Queue"`   // requests that may wait at a worker for a slot
	MeanRunTime        config.Duration `yaml:"answer" json:"Answer"` // mean run time of a request
	MeanLoadTime       config.Duration `yaml:"load" json:"Load"`     // mean time to load a replica
	ReplicaIdleTimeout config.Duration `yaml:"keep" json:"Keep"`     // idle time after which a replica is removed
}

// FunctionPlan describes the functions of a run.
type FunctionPlan struct {
	Count       int     `yaml:"count"`
	Skew        float64 `yaml:"skew"`               // exponent of the Zipf distribution of calls over functions
	Concurrency int     `yaml:"lanes" json:"Lanes"` // requests that a replica runs concurrently
}

func (p FunctionPlan) catalog() *workload.Catalog { return workload.New(p.Count, p.Skew) }

// TimelineRow is an action during a run. The action determines which fields are required, see requiredFields.
type TimelineRow struct {
	At         config.Duration `yaml:"at"`
	Action     Action          `yaml:"what" json:"What"`
	Count      int             `yaml:"count"`
	SpreadOver config.Duration `yaml:"over" json:"Over"` // period over which the Count actions are spread; 0s: at once
	Duration   config.Duration `yaml:"for" json:"For"`
	Zone       int             `yaml:"zone"`
	Rate       float64         `yaml:"rate"`
}

// Action is the action of a row of the timeline.
type Action string

// The actions. A change is a published change of the endpoint list.
const (
	Drain           Action = "drain"          // Count workers drain for Duration; one change per worker at start and end
	Replace         Action = "replace"        // Count workers are replaced by new cold ones; one change per worker
	StopWorkers     Action = "stop-workers"   // Count adjacent workers (a rack) stop for Duration and start again cold
	SilenceZone     Action = "silence-zone"   // workers of Zone do not respond for Duration and are then replaced
	StopList        Action = "stop-list"      // the discovery service is unavailable for Duration
	RestartGateways Action = "restart-fronts" // Count hollow gateways restart with their initial endpoint list
	RestartEmpty    Action = "restart-empty"  // Count hollow gateways restart with an empty endpoint list
	ChangeRate      Action = "change-rate"    // the request rate at each gateway becomes Rate
)

// Limits of a plan.
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

// requiredFields are the required fields of each action, by their YAML keys.
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

// ReadPlan decodes and validates the plan text of the file name. A validation error has file, line and column.
func ReadPlan(name string, text []byte) (Plan, error) {
	var p Plan
	if err := config.DecodeStrict(name, text, &p); err != nil {
		return p, err
	}
	if path, reason := p.firstInvalid(); reason != "" {
		return p, config.ErrorAt(name, text, path, reason)
	}
	return p, nil
}

// firstInvalid returns the YAML path of the first invalid value and the reason. The reason is empty if the plan is
// valid.
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
		return "$.name", "the plan must have a name"
	case p.Duration <= 0 || p.Duration.Std() > maxRunDuration:
		return "$.lasts", fmt.Sprintf("must be more than 0s and at most %v", maxRunDuration)
	case p.SampleInterval.Std() < minSampleInterval || p.SampleInterval > p.Duration:
		return "$.sample", fmt.Sprintf("must be at least %v and at most the duration of the run", minSampleInterval)
	}
	return "", ""
}

func (p Plan) invalidGateways() (path, reason string) {
	gateways := p.Gateways
	switch {
	case gateways.Hollow < 1 || gateways.Hollow > maxHollowGateways:
		return "$.front-ends.hollow", fmt.Sprintf("must be from 1 to %d", maxHollowGateways)
	case gateways.Processes < 1 || gateways.Processes > gateways.Hollow:
		return "$.front-ends.processes", "must be at least 1 and at most the number of hollow gateways"
	case gateways.Real < 0 || gateways.Real > maxRealGateways:
		return "$.front-ends.real", fmt.Sprintf("must be from 0 to %d", maxRealGateways)
	case gateways.Rate < 0 || gateways.Rate > maxRate:
		return "$.front-ends.rate", fmt.Sprintf("must be from 0 to %g requests per second", maxRate)
	case gateways.Wait <= 0 || gateways.Wait.Std() > maxWait:
		return "$.front-ends.wait", "must be more than 0s and at most a minute"
	case gateways.Memory < minMemory:
		return "$.front-ends.memory", "must be at least 32MiB"
	case gateways.Sockets < minSockets || gateways.Sockets > maxSockets:
		return "$.front-ends.sockets", fmt.Sprintf("must be from %d to %d", minSockets, maxSockets)
	}
	return "", ""
}

func (p Plan) invalidWorkers() (path, reason string) {
	workers := p.Workers
	switch {
	case workers.Count < 1 || workers.Count > maxWorkers:
		return "$.workers.count", fmt.Sprintf("must be from 1 to %d", maxWorkers)
	case workers.Processes < 1 || workers.Processes > workers.Count:
		return "$.workers.processes", "must be at least 1 and at most the number of workers"
	case workers.Zones < 1 || workers.Zones > workers.Count:
		return "$.workers.zones", "must be at least 1 and at most the number of workers"
	case workers.Slots < 1 || workers.Slots > maxConcurrency ||
		workers.QueueLimit < 0 || workers.QueueLimit > maxConcurrency:
		return "$.workers", fmt.Sprintf("slots must be at least 1, queue at least 0 and both at most %d", maxConcurrency)
	case workers.MeanRunTime <= 0 || workers.MeanLoadTime <= 0 || workers.ReplicaIdleTimeout <= 0:
		return "$.workers", "answer, load and keep must be more than 0s"
	}
	return "", ""
}

func (p Plan) invalidFunctions() (path, reason string) {
	functions := p.Functions
	switch {
	case functions.Count < 1 || functions.Count > maxFunctions:
		return "$.functions.count", fmt.Sprintf("must be from 1 to %d", maxFunctions)
	case functions.Skew < 0 || functions.Skew > maxSkew:
		return "$.functions.skew", fmt.Sprintf("must be from 0 to %d", maxSkew)
	case functions.Concurrency < 1 || functions.Concurrency > maxConcurrency:
		return "$.functions.lanes", fmt.Sprintf("must be from 1 to %d", maxConcurrency)
	}
	return "", ""
}

func (p Plan) invalidTimeline() (path, reason string) {
	if len(p.Timeline) > maxTimelineRows {
		return "$.timeline", fmt.Sprintf("must have at most %d rows", maxTimelineRows)
	}
	for i, row := range p.Timeline {
		if field, reason := p.invalidRow(row); reason != "" {
			return fmt.Sprintf("$.timeline[%d].%s", i, field), reason
		}
		if i > 0 && row.At < p.Timeline[i-1].At {
			return fmt.Sprintf("$.timeline[%d].at", i), "is earlier than the previous row"
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
		return "at", "the action must end before the run ends"
	case slices.Contains(fields, "count") && (row.Count < 1 || row.Count > maxCount):
		return "count", fmt.Sprintf("must be from 1 to %d", maxCount)
	case slices.Contains(fields, "for") && row.Duration <= 0:
		return "for", "must be more than 0s"
	case row.Action == SilenceZone && (row.Zone < 0 || row.Zone >= p.Workers.Zones):
		return "zone", fmt.Sprintf("must be from 0 to %d", p.Workers.Zones-1)
	case row.Action == ChangeRate && (row.Rate < 0 || row.Rate > maxRate):
		return "rate", fmt.Sprintf("must be from 0 to %g requests per second", maxRate)
	}
	return "", ""
}
