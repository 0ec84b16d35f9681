package faultinject

import "fmt"

// Names of the faults in the control interface and in scenario files.
const (
	Hang         = "hang"
	Silence      = "silence"
	Slow         = "slow"
	RejectTenant = "refuse"
	FailRequests = "errors"
	FailLoads    = "fail-loads"
	FalseReports = "false-reports"
)

// Faults are the faults that are currently injected into a worker. The zero value means no faults.
type Faults struct {
	// Hang makes the worker admit requests and never answer them.
	Hang bool
	// SlowFactor multiplies the duration of requests; 0 leaves it unchanged.
	SlowFactor float64
	// RejectTenant is the tenant whose requests are rejected as if the worker were full; empty for none.
	RejectTenant string
	// FailRequests makes all requests fail immediately.
	FailRequests bool
	// FailLoads makes all loads fail.
	FailLoads bool
	// ReportFactor multiplies the queue depth in load reports; 0 leaves it unchanged.
	ReportFactor float64
}

// ByName returns functions that set and undo the fault with the given name: hang, slow (needs a factor), refuse (needs
// a tenant), errors, fail-loads, false-reports (needs a factor) or silence. Silence does not change Faults; the caller
// applies it with a Silencer. A missing factor or tenant is an error, and so is one that the fault does not use.
func ByName(name, tenant string, factor float64) (set, undo func(*Faults), err error) {
	switch name {
	case Hang:
		set, undo = func(f *Faults) { f.Hang = true }, func(f *Faults) { f.Hang = false }
	case Slow:
		set, undo = func(f *Faults) { f.SlowFactor = factor }, func(f *Faults) { f.SlowFactor = 0 }
	case RejectTenant:
		set, undo = func(f *Faults) { f.RejectTenant = tenant }, func(f *Faults) { f.RejectTenant = "" }
	case FailRequests:
		set, undo = func(f *Faults) { f.FailRequests = true }, func(f *Faults) { f.FailRequests = false }
	case FailLoads:
		set, undo = func(f *Faults) { f.FailLoads = true }, func(f *Faults) { f.FailLoads = false }
	case FalseReports:
		set, undo = func(f *Faults) { f.ReportFactor = factor }, func(f *Faults) { f.ReportFactor = 0 }
	case Silence:
		set, undo = func(*Faults) {}, func(*Faults) {}
	default:
		return nil, nil, fmt.Errorf("what %q is not hang, silence, slow, refuse, errors, fail-loads or false-reports", name)
	}
	needsFactor := name == Slow || name == FalseReports
	needsTenant := name == RejectTenant
	if needsFactor != (factor > 0) || needsTenant != (tenant != "") {
		return nil, nil, fmt.Errorf("%s: slow and false-reports need a factor, refuse a tenant, and only they", name)
	}
	return set, undo, nil
}
