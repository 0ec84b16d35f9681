package costmodel

import (
	"fmt"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Load describes the fleet and the traffic of a measurement of one gateway's core.
type Load struct {
	Workers   int
	Functions int
	Gateways  int     `json:"FrontEnds"`
	Rate      float64 // requests per second at the measured gateway
	Skew      float64 // exponent of the Zipf distribution of calls over functions
	Requests  int     // number of measured requests, after Requests/2 unmeasured ones that warm the fleet up
	Seed      uint64
}

// valid reports whether a core can be measured under the load.
func (l Load) valid() bool {
	return l.Workers >= 1 && l.Functions >= 1 && l.Gateways >= 1 && l.Rate > 0 && l.Skew >= 0 && l.Requests >= 1
}

// Parameters of the simulated workers and functions. They model a fleet that is not overloaded.
const (
	meanRunTime        = 300 * time.Millisecond
	loadTime           = 900 * time.Millisecond
	roundTrip          = time.Millisecond
	replicaIdleTimeout = 12 * time.Second
	latencyObjective   = 1500 * time.Millisecond
	maxAge             = 5 * time.Second
	concurrency        = 2
	replicaMemory      = 1000
	zones              = 6
	workersPerCell     = 8
)

// settings returns the settings of the measured core.
func (l Load) settings() core.Settings {
	return core.Settings{
		Seed:             l.Seed,
		Gateways:         l.Gateways,
		MinTickInterval:  2 * time.Millisecond,
		MaxAttempts:      6,
		Cancel:           true,
		Probe:            true,
		MaxRetryAfter:    2 * time.Second,
		EnforceDeadlines: true,
		Types:            []scheduler.RequestType{{Name: "call", Objective: latencyObjective}},
		Tenants:          []core.Tenant{{Name: "tenant", Quota: 2 * l.Rate * float64(l.Gateways)}},
		LoadPolicy: core.LoadPolicy{
			RequestLoads:       true,
			LoadOnMiss:         true,
			ReplicaIdleTimeout: replicaIdleTimeout,
			RequestTimeout:     4 * time.Second,
		},
		SlowStart: core.SlowStart{
			InitialShare:  0.3,
			WarmUpTime:    12 * time.Second,
			CrashMultiple: 2.5,
			CrashWindow:   time.Second,
		},
	}
}

// member returns the endpoint list entry of the worker with the given number.
func member(number int) scheduler.Member {
	return scheduler.Member{
		Worker: fmt.Sprintf("s-%08x", number*2654435761),
		Zone:   fmt.Sprint("zone", number%zones),
		Cell:   fmt.Sprint(number / workersPerCell),
		Kind:   []string{"fast", "std"}[number%2],
		Weight: float64(4 + number%2),
	}
}

func members(workers int) []scheduler.Member {
	all := make([]scheduler.Member, workers)
	for i := range all {
		all[i] = member(i)
	}
	return all
}
