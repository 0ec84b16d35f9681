package faultinject

import "fmt"

// Faults are how a worker misbehaves when told. The zero value does not.
type Faults struct {
	Hang         bool    // takes events and never answers
	SlowFactor   float64 // answers so many times later; 0: as usual
	RejectTenant string  // turns this tenant away as full
	FailRequests bool    // answers errors at once
	FailLoads    bool
	ReportFactor float64 // multiplies what it reports as waiting; 0: the truth
}

// ByName gives what sets and undoes the trouble of a name: hang, slow (factor), refuse (tenant), errors, fail-loads,
// false-reports (factor), or silence, which changes nothing here. A factor or tenant that is missing, or that the trouble has no use for, is an error.
func ByName(what, tenant string, factor float64) (set, undo func(*Faults), err error) {
	switch what {
	case "hang":
		set, undo = func(t *Faults) { t.Hang = true }, func(t *Faults) { t.Hang = false }
	case "slow":
		set, undo = func(t *Faults) { t.SlowFactor = factor }, func(t *Faults) { t.SlowFactor = 0 }
	case "refuse":
		set, undo = func(t *Faults) { t.RejectTenant = tenant }, func(t *Faults) { t.RejectTenant = "" }
	case "errors":
		set, undo = func(t *Faults) { t.FailRequests = true }, func(t *Faults) { t.FailRequests = false }
	case "fail-loads":
		set, undo = func(t *Faults) { t.FailLoads = true }, func(t *Faults) { t.FailLoads = false }
	case "false-reports":
		set, undo = func(t *Faults) { t.ReportFactor = factor }, func(t *Faults) { t.ReportFactor = 0 }
	case "silence": // of the connections: Silencer
		set, undo = func(*Faults) {}, func(*Faults) {}
	default:
		return nil, nil, fmt.Errorf("what %q is not hang, silence, slow, refuse, errors, fail-loads or false-reports", what)
	}
	if (what == "slow" || what == "false-reports") != (factor > 0) || (what == "refuse") != (tenant != "") {
		return nil, nil, fmt.Errorf("%s: slow and false-reports need a factor, refuse a tenant, and only they", what)
	}
	return set, undo, nil
}
