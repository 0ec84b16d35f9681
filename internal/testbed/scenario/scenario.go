// Package scenario plays fault scenarios in one process, over loopback sockets. A scenario runs real gateways, the
// worker registry, workers, and clients whose requests are generated from a seed before the run. After the run, package
// checker checks the five rules against the captured traffic.
package scenario

import (
	"fmt"
	"io/fs"
	"path"
	"strings"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name          string                     `yaml:"name"`
	Description   string                     `yaml:"about"`
	Duration      config.Duration            `yaml:"lasts"` // time during which requests arrive
	Seed          uint64                     `yaml:"seed"`
	Gateways      int                        `yaml:"fronts"`
	Workers       Workers                    `yaml:"workers"`
	StoreCapacity int                        `yaml:"store"` // concurrent fetches that the store serves at full speed
	Work          map[string]config.Duration `yaml:"work"`  // mean CPU time of a request, by function
	Arrivals      []Arrivals                 `yaml:"arrivals"`
	Clients       ClientBehavior             `yaml:"clients"`
	Faults        []Fault                    `yaml:"troubles"`
}

// Workers describes the workers of a scenario, all of the same size. They are named w0, w1 and so on.
type Workers struct {
	Count  int             `yaml:"count"`
	Cores  float64         `yaml:"cores"`
	Memory config.ByteSize `yaml:"memory"`
	Queue  int             `yaml:"queue"` // maximum number of waiting requests per worker
	Zones  int             `yaml:"zones"` // zones over which the workers are distributed round-robin
}

// Arrivals describes a Poisson process of requests for one function.
type Arrivals struct {
	Function string          `yaml:"function"`
	Rate     float64         `yaml:"rate"` // mean requests per second
	From     config.Duration `yaml:"from"`
	Until    config.Duration `yaml:"until"`    // 0s means the end of the scenario
	MaxWait  config.Duration `yaml:"patience"` // longest wait for one attempt's response; 0s means the type's max age
}

// ClientBehavior configures how clients retry.
type ClientBehavior struct {
	MaxAttempts int             `yaml:"tries"` // attempts per request, including the first
	RetryDelay  config.Duration `yaml:"pause"` // minimum delay before a retry; a longer Retry-After takes precedence
}

// Fault is one fault that is injected during the scenario. Its Kind determines which fields are required.
type Fault struct {
	At              config.Duration `yaml:"at"`
	Duration        config.Duration `yaml:"for"`
	Kind            FaultKind       `yaml:"what"`
	Workers         []int           `yaml:"workers"`
	Gateways        []int           `yaml:"fronts"`
	Tenant          string          `yaml:"tenant"`
	Function        string          `yaml:"function"`
	Factor          float64         `yaml:"factor"`
	DisconnectAfter config.Duration `yaml:"patience"`
}

// FaultKind is the name of a fault in scenario files.
type FaultKind string

// Faults that a scenario can inject. The constant's name begins with the component that has the fault.
const (
	WorkerHang         FaultKind = "hang"          // accepts requests but does not respond to them
	WorkerSilence      FaultKind = "silence"       // neither reads nor writes; restarts at the end of the fault
	WorkerSlow         FaultKind = "slow"          // takes Factor times as long for a request
	WorkerErrors       FaultKind = "errors"        // fails every request at once
	WorkerFailLoads    FaultKind = "fail-loads"    // fails every load
	WorkerFalseReports FaultKind = "false-reports" // multiplies the queue depth in its load reports by Factor
	WorkerReset        FaultKind = "reset"         // closes its connections
	WorkerCrash        FaultKind = "crash"         // loses its running requests; restarts at the end of the fault
	WorkerDrain        FaultKind = "drain"         // drains; restarts at the end of the fault
	WorkerRejectTenant FaultKind = "refuse"        // rejects the requests of Tenant as if it were full
	StoreSlow          FaultKind = "slow-store"    // takes Factor times as long for a fetch
	StoreStop          FaultKind = "stop-store"    // rejects every fetch
	GatewayCrash       FaultKind = "kill-front"    // stops at once; restarts at the end of the fault
	GatewayPause       FaultKind = "pause-front"   // blocks its event loop, as a pause of the process would
	ClientDisconnect   FaultKind = "give-up"       // clients of Tenant disconnect after DisconnectAfter and retry
	FunctionRelease    FaultKind = "release"       // a new release of Function is published
	RegistryDelay      FaultKind = "late-list"     // sends changes to the gateways with a delay of Duration
	RegistryEmpty      FaultKind = "empty-list"    // removes all workers; registers them again at the end of the fault
	RegistryDown       FaultKind = "list-down"     // stops its server, then restarts it
)

// Parse parses and validates a scenario file. A validation error contains file, line and column.
func Parse(name string, text []byte, settings fleetconfig.File) (Scenario, error) {
	var s Scenario
	if err := config.DecodeStrict(name, text, &s); err != nil {
		return s, err
	}
	if at, reason := s.firstInvalid(settings); reason != "" {
		return s, config.ErrorAt(name, text, at, reason)
	}
	return s, nil
}

// LoadAll reads all scenarios in files, sorted by file name.
func LoadAll(files fs.FS, settings fleetconfig.File) ([]Scenario, error) {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		return nil, err
	}
	var all []Scenario
	for _, name := range names {
		text, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, fmt.Errorf("read scenario: %w", err)
		}
		s, err := Parse(name, text, settings)
		if err != nil {
			return nil, err
		}
		if want := strings.TrimSuffix(path.Base(name), ".yaml"); s.Name != want {
			return nil, config.ErrorAt(name, text, "$.name", "must be the name of the file without .yaml")
		}
		all = append(all, s)
	}
	return all, nil
}
