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
	Name      string          `yaml:"name"`
	About     string          `yaml:"about"`
	Seed      uint64          `yaml:"seed"`
	Lasts     config.Duration `yaml:"lasts"`
	Sample    config.Duration `yaml:"sample"` // how often the processes report
	FrontEnds FrontEndPlan    `yaml:"front-ends"`
	Workers   WorkerPlan      `yaml:"workers"`
	Functions FunctionPlan    `yaml:"functions"`
	Timeline  []TimelineRow   `yaml:"timeline"`
}

// FrontEndPlan is the front ends of a run.
type FrontEndPlan struct {
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
	Count     int             `yaml:"count"`
	Processes int             `yaml:"processes"`
	Zones     int             `yaml:"zones"`
	Slots     int             `yaml:"slots"`  // requests that run at a time
	Queue     int             `yaml:"queue"`  // that may wait beside them
	Answer    config.Duration `yaml:"answer"` // mean time of a request
	Load      config.Duration `yaml:"load"`   // mean time of a load
	Keep      config.Duration `yaml:"keep"`   // an idle replica stays so long
}

// FunctionPlan is the catalogue.
type FunctionPlan struct {
	Count int     `yaml:"count"`
	Skew  float64 `yaml:"skew"` // exponent of the Zipf law by which they are called
	Lanes int     `yaml:"lanes"`
}

func (p FunctionPlan) catalog() *workload.Catalog { return workload.New(p.Count, p.Skew) }

// TimelineRow is something that happens during a run. What it needs depends on What.
type TimelineRow struct {
	At    config.Duration `yaml:"at"`
	What  string          `yaml:"what"`
	Count int             `yaml:"count"`
	Over  config.Duration `yaml:"over"` // the time over which Count is spread; 0s: at once
	For   config.Duration `yaml:"for"`
	Zone  int             `yaml:"zone"`
	Rate  float64         `yaml:"rate"`
}

// What can happen.
const (
	Drain           = "drain"          // Count workers drain, one list change each, and come back after For
	Replace         = "replace"        // Count workers stop and others start in their places, two lines in one change each
	StopWorkers     = "stop-workers"   // Count workers next to each other (a rack) stop and come back cold after For
	SilenceZone     = "silence-zone"   // a zone answers nothing for For and comes back cold
	StopList        = "stop-list"      // the list service is away for For
	RestartFronts   = "restart-fronts" // Count hollow front ends stop and start with the list that they were started with
	RestartEmpty    = "restart-empty"  // the same, with no list
	ChangeRate      = "change-rate"    // Rate requests a second at each front end from now on
	leastSample     = 100 * time.Millisecond
	longestRun      = 30 * time.Minute
	mostProcesses   = 300
	mostHollow      = 5000
	mostWorkers     = 50000
	leastSockets    = 64
	smallestMemory  = 32 << 20
	mostRate        = 10000.0
	mostFunctions   = 1 << 20
	mostTimeline    = 200
	mostConcurrency = 1 << 16
)

// needs are the fields that a row of the timeline has to have.
var needs = map[string][]string{Drain: {"count", "for"}, Replace: {"count"}, StopWorkers: {"count", "for"}, SilenceZone: {"for"},
	StopList: {"for"}, RestartFronts: {"count"}, RestartEmpty: {"count"}, ChangeRate: {}}

// ReadPlan reads a plan. A mistake has file, line and column.
func ReadPlan(name string, b []byte) (Plan, error) {
	var p Plan
	if err := config.DecodeStrict(name, b, &p); err != nil {
		return p, err
	}
	if at, reason := p.mistake(); reason != "" {
		return p, config.ErrorAt(name, b, at, reason)
	}
	return p, nil
}

// mistake finds the first value that can't be, with its path.
func (p Plan) mistake() (path, reason string) {
	f, w := p.FrontEnds, p.Workers
	switch {
	case p.Name == "":
		return "$.name", "a plan needs a name"
	case p.Lasts <= 0 || p.Lasts.Std() > longestRun:
		return "$.lasts", fmt.Sprintf("more than 0s, at most %v", longestRun)
	case p.Sample.Std() < leastSample || p.Sample > p.Lasts:
		return "$.sample", fmt.Sprintf("at least %v, and no longer than the run", leastSample)
	case f.Hollow < 1 || f.Hollow > mostHollow:
		return "$.front-ends.hollow", fmt.Sprintf("from 1 to %d", mostHollow)
	case f.Processes < 1 || f.Processes > f.Hollow:
		return "$.front-ends.processes", "at least 1, and no more than there are hollow front ends"
	case f.Real < 0 || f.Real > 16:
		return "$.front-ends.real", "from 0 to 16"
	case f.Rate < 0 || f.Rate > mostRate:
		return "$.front-ends.rate", fmt.Sprintf("from 0 to %g requests a second", mostRate)
	case f.Wait <= 0 || f.Wait.Std() > time.Minute:
		return "$.front-ends.wait", "more than 0s, at most a minute"
	case f.Memory < smallestMemory:
		return "$.front-ends.memory", "at least 32MiB"
	case f.Sockets < leastSockets || f.Sockets > 1<<14:
		return "$.front-ends.sockets", fmt.Sprintf("from %d to %d", leastSockets, 1<<14)
	case w.Count < 1 || w.Count > mostWorkers:
		return "$.workers.count", fmt.Sprintf("from 1 to %d", mostWorkers)
	case w.Processes < 1 || w.Processes > w.Count:
		return "$.workers.processes", "at least 1, and no more than there are workers"
	case w.Zones < 1 || w.Zones > w.Count:
		return "$.workers.zones", "at least 1, and no more than there are workers"
	case w.Slots < 1 || w.Slots > mostConcurrency || w.Queue < 0 || w.Queue > mostConcurrency:
		return "$.workers", fmt.Sprintf("slots from 1 and queue from 0, to %d", mostConcurrency)
	case w.Answer <= 0 || w.Load <= 0 || w.Keep <= 0:
		return "$.workers", "answer, load and keep are more than 0s"
	case p.Functions.Count < 1 || p.Functions.Count > mostFunctions:
		return "$.functions.count", fmt.Sprintf("from 1 to %d", mostFunctions)
	case p.Functions.Skew < 0 || p.Functions.Skew > 4:
		return "$.functions.skew", "from 0 to 4"
	case p.Functions.Lanes < 1 || p.Functions.Lanes > mostConcurrency:
		return "$.functions.lanes", fmt.Sprintf("from 1 to %d", mostConcurrency)
	case len(p.Timeline) > mostTimeline:
		return "$.timeline", fmt.Sprintf("at most %d rows", mostTimeline)
	}
	for i, row := range p.Timeline {
		if field, reason := p.mistakeIn(row); reason != "" {
			return fmt.Sprintf("$.timeline[%d].%s", i, field), reason
		}
		if i > 0 && row.At < p.Timeline[i-1].At {
			return fmt.Sprintf("$.timeline[%d].at", i), "earlier than the row before"
		}
	}
	return "", ""
}

func (p Plan) mistakeIn(row TimelineRow) (field, reason string) {
	fields, known := needs[row.What]
	most := p.Workers.Count
	if row.What == RestartFronts || row.What == RestartEmpty {
		most = p.FrontEnds.Hollow
	}
	switch {
	case !known:
		return "what", fmt.Sprintf("%q is nothing that can happen", row.What)
	case row.At < 0 || row.At+row.Over+row.For >= p.Lasts:
		return "at", "it has to be over before the run ends"
	case slices.Contains(fields, "count") && (row.Count < 1 || row.Count > most):
		return "count", fmt.Sprintf("from 1 to %d", most)
	case slices.Contains(fields, "for") && row.For <= 0:
		return "for", "more than 0s"
	case row.What == SilenceZone && (row.Zone < 0 || row.Zone >= p.Workers.Zones):
		return "zone", fmt.Sprintf("from 0 to %d", p.Workers.Zones-1)
	case row.What == ChangeRate && (row.Rate < 0 || row.Rate > mostRate):
		return "rate", fmt.Sprintf("from 0 to %g requests a second", mostRate)
	}
	return "", ""
}
