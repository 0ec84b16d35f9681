package faultinject

import "fmt"

// Names of the faults, as the control interface and the scenarios spell them.
const (
	Hang         = "hang"
	Silence      = "silence"
	Slow         = "slow"
	RejectTenant = "refuse"
	FailRequests = "errors"
	FailLoads    = "fail-loads"
	FalseReports = "false-reports"
)

// Faults are what a worker does wrong on purpose. The zero value is none.
type Faults struct {
	// Hang has requests admitted and never answered.
	Hang bool
	// SlowFactor multiplies the time that requests take; 0: as usual.
	SlowFactor float64
	// RejectTenant has requests of a tenant rejected as if the worker were full.
	RejectTenant string
	// FailRequests has requests fail at once.
	FailRequests bool
	// FailLoads has loads fail.
	FailLoads bool
	// ReportFactor multiplies the queue depth in load reports; 0: the truth.
	ReportFactor float64
}

// ByName gives what sets and undoes the fault of a name: hang, slow (factor), refuse (tenant), errors, fail-loads,
// false-reports (factor), or silence, which changes no Faults: it is a Silencer's. A factor or tenant that is
// missing, or that the fault has no use for, is an error.
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
