package costmodel

import (
	"fmt"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Load describes the fleet and the traffic that one gateway is measured under.
type Load struct {
	Workers   int
	Functions int
	Gateways  int     `json:"FrontEnds"`
	Rate      float64 // requests a second at this gateway
	Skew      float64 // exponent of the Zipf law by which functions are called
	Requests  int     // that are counted, after half as many that are not
	Seed      uint64
}

// valid reports whether a core can be measured under the load.
func (l Load) valid() bool {
	return l.Workers >= 1 && l.Functions >= 1 && l.Gateways >= 1 && l.Rate > 0 && l.Skew >= 0 && l.Requests >= 1
}

// The model's workers and functions. They are those of a fleet that answers well.
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

// settings is what the measured gateway is started with.
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

// member is a worker's entry of the endpoint list.
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
