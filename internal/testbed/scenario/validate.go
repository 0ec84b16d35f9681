package scenario

import (
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

// Limits of a scenario that one machine can play.
const (
	maxDuration    = time.Hour
	maxGateways    = 100
	maxWorkers     = 1000
	maxArrivalRate = 1e5 // requests per second
)

// faultFields lists all kinds of faults with the fields that each requires in addition to "at" and "what".
var faultFields = map[FaultKind][]string{
	WorkerHang:         {"workers", "for"},
	WorkerSilence:      {"workers", "for"},
	WorkerSlow:         {"workers", "factor", "for"},
	WorkerErrors:       {"workers", "for"},
	WorkerFailLoads:    {"workers", "for"},
	WorkerFalseReports: {"workers", "factor", "for"},
	WorkerReset:        {"workers"},
	WorkerCrash:        {"workers", "for"},
	WorkerDrain:        {"workers", "for"},
	WorkerRejectTenant: {"workers", "tenant", "for"},
	StoreSlow:          {"factor", "for"},
	StoreStop:          {"for"},
	GatewayCrash:       {"fronts", "for"},
	GatewayPause:       {"fronts", "for"},
	ClientDisconnect:   {"tenant", "patience", "for"},
	FunctionRelease:    {"function"},
	RegistryDelay:      {"for"},
	RegistryEmpty:      {"for"},
	RegistryDown:       {"for"},
}

// firstInvalid returns the path of the first invalid value in the file and the reason why it is invalid. The reason is
// empty if all values are valid.
func (s Scenario) firstInvalid(settings fleetconfig.File) (path, reason string) {
	if path, reason := s.invalidSetting(); reason != "" {
		return path, reason
	}
	functions := map[string]bool{}
	for _, function := range settings.Functions {
		functions[function.Name] = true
	}
	for i, arrivals := range s.Arrivals {
		if path, reason := s.invalidArrivals(arrivals, functions, fmt.Sprintf("$.arrivals[%d].", i)); reason != "" {
			return path, reason
		}
	}
	for i, fault := range s.Faults {
		if field, reason := s.invalidFault(fault); reason != "" {
			return fmt.Sprintf("$.troubles[%d].%s", i, field), reason
		}
	}
	return "", ""
}

// invalidSetting checks the values that are not entries of arrivals or faults.
func (s Scenario) invalidSetting() (path, reason string) {
	workers := s.Workers
	switch {
	case s.Name == "":
		return "$.name", "a scenario needs a name"
	case s.Duration <= 0 || s.Duration.Std() > maxDuration:
		return "$.lasts", "must be more than 0s and at most an hour"
	case s.Gateways < 1 || s.Gateways > maxGateways:
		return "$.fronts", fmt.Sprintf("must be from 1 to %d gateways", maxGateways)
	case workers.Count < 1 || workers.Count > maxWorkers:
		return "$.workers.count", fmt.Sprintf("must be from 1 to %d workers", maxWorkers)
	case !(workers.Cores > 0) || workers.Memory <= 0 || workers.Queue < 1 || workers.Zones < 1:
		return "$.workers", "cores, memory, queue and zones must be more than 0"
	case s.StoreCapacity < 1:
		return "$.store", "must be at least 1 fetch at full speed"
	case s.Clients.MaxAttempts < 1 || s.Clients.RetryDelay <= 0:
		return "$.clients", "tries must be at least 1 and pause more than 0s"
	case len(s.Arrivals) == 0:
		return "$.arrivals", "a scenario needs arrivals"
	}
	return "", ""
}

// invalidArrivals checks one entry of the arrivals; at is the prefix of its fields' paths in the file.
func (s Scenario) invalidArrivals(arrivals Arrivals, functions map[string]bool, at string) (path, reason string) {
	switch {
	case !functions[arrivals.Function]:
		return at + "function", fmt.Sprintf("no function %q", arrivals.Function)
	case !(arrivals.Rate > 0 && arrivals.Rate < maxArrivalRate):
		return at + "rate", "must be more than 0 and less than 100000 requests per second"
	case arrivals.Until != 0 && arrivals.Until <= arrivals.From:
		return at + "until", "must be after from"
	case s.Work[arrivals.Function] <= 0:
		return "$.work", fmt.Sprintf("no work for function %q", arrivals.Function)
	}
	return "", ""
}

// invalidFault checks that a fault has exactly the fields of its kind and that its workers and gateways exist.
func (s Scenario) invalidFault(fault Fault) (field, reason string) {
	needs, known := faultFields[fault.Kind]
	if !known {
		return "what", fmt.Sprintf("unknown fault %q", fault.Kind)
	}
	has := map[string]bool{
		"workers":  len(fault.Workers) > 0,
		"fronts":   len(fault.Gateways) > 0,
		"tenant":   fault.Tenant != "",
		"function": fault.Function != "",
		"factor":   fault.Factor > 0,
		"patience": fault.DisconnectAfter > 0,
		"for":      fault.Duration > 0,
	}
	for _, need := range needs {
		if !has[need] {
			return "what", fmt.Sprintf("%s needs %s", fault.Kind, need)
		}
	}
	for field, set := range has {
		if set && !slices.Contains(needs, field) {
			return field, fmt.Sprintf("%s has no use for %s", fault.Kind, field)
		}
	}
	for _, worker := range fault.Workers {
		if worker < 0 || worker >= s.Workers.Count {
			return "workers", fmt.Sprintf("no worker %d", worker)
		}
	}
	for _, gateway := range fault.Gateways {
		if gateway < 0 || gateway >= s.Gateways {
			return "fronts", fmt.Sprintf("no gateway %d", gateway)
		}
	}
	return "", ""
}
