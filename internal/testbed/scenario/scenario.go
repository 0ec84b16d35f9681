// Package scenario plays fault scenarios on loopback sockets: real gateways, the worker registry, workers, and clients
// whose requests are drawn ahead of the run. Afterwards the five rules are checked against the traffic that crossed
// the sockets.
package scenario

import (
	"fmt"
	"io/fs"
	"path"
	"strings"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

// Scenario is one scenario, as its YAML file describes it.
type Scenario struct {
	Name          string                     `yaml:"name"`
	Description   string                     `yaml:"about"`
	Duration      config.Duration            `yaml:"lasts"` // of the arrivals
	Seed          uint64                     `yaml:"seed"`
	Gateways      int                        `yaml:"fronts"`
	Workers       Workers                    `yaml:"workers"`
	StoreCapacity int                        `yaml:"store"` // concurrent fetches at full speed
	Work          map[string]config.Duration `yaml:"work"`  // mean CPU time of a request, by function
	Arrivals      []Arrivals                 `yaml:"arrivals"`
	Clients       ClientBehavior             `yaml:"clients"`
	Faults        []Fault                    `yaml:"troubles"`
}

// Workers describes the workers of a scenario, which are named w0, w1 and so on.
type Workers struct {
	Count  int             `yaml:"count"`
	Cores  float64         `yaml:"cores"`
	Memory config.ByteSize `yaml:"memory"`
	Queue  int             `yaml:"queue"`
	Zones  int             `yaml:"zones"`
}

// Arrivals are requests for one function at a mean rate.
type Arrivals struct {
	Function string          `yaml:"function"`
	Rate     float64         `yaml:"rate"` // requests a second
	From     config.Duration `yaml:"from"`
	Until    config.Duration `yaml:"until"` // 0s: the end of the scenario
	MaxWait  config.Duration `yaml:"patience"`
}

// ClientBehavior is how clients retry.
type ClientBehavior struct {
	MaxAttempts int             `yaml:"tries"` // of one request
	RetryDelay  config.Duration `yaml:"pause"` // where the response names no time to retry after
}

// Fault is one entry of the timeline. Which fields it needs depends on its Kind.
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

// FaultKind names a fault in scenario files.
type FaultKind string

// The faults that a scenario can inject.
const (
	WorkerHang         FaultKind = "hang"
	WorkerSilence      FaultKind = "silence"
	WorkerSlow         FaultKind = "slow"
	WorkerErrors       FaultKind = "errors"
	WorkerFailLoads    FaultKind = "fail-loads"
	WorkerFalseReports FaultKind = "false-reports"
	WorkerReset        FaultKind = "reset"
	WorkerCrash        FaultKind = "crash"
	WorkerDrain        FaultKind = "drain"
	WorkerRejectTenant FaultKind = "refuse"
	StoreSlow          FaultKind = "slow-store"
	StoreStop          FaultKind = "stop-store"
	GatewayCrash       FaultKind = "kill-front"
	GatewayPause       FaultKind = "pause-front"
	ClientDisconnect   FaultKind = "give-up"
	FunctionRelease    FaultKind = "release"
	RegistryDelay      FaultKind = "late-list"
	RegistryEmpty      FaultKind = "empty-list"
	RegistryDown       FaultKind = "list-down"
)

// Parse parses and validates a scenario file. A validation error has file, line and column.
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

// LoadAll reads every scenario in files, in the order of their names.
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
			return nil, config.ErrorAt(name, text, "$.name", "differs from the file's name")
		}
		all = append(all, s)
	}
	return all, nil
}
