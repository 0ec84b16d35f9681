package faultinject

import "fmt"

// Troubles are how a worker misbehaves when told. The zero value does not.
type Troubles struct {
	Hang      bool    // takes events and never answers
	Slow      float64 // answers so many times later; 0: as usual
	Refuse    string  // turns this tenant away as full
	Errors    bool    // answers errors at once
	FailLoads bool
	Reports   float64 // multiplies what it reports as waiting; 0: the truth
}

// Named gives what sets and undoes the trouble of a name: hang, slow (factor), refuse (tenant), errors, fail-loads,
// false-reports (factor), or silence, which changes nothing here. A factor or tenant that is missing, or that the trouble has no use for, is an error.
func Named(what, tenant string, factor float64) (set, undo func(*Troubles), err error) {
	switch what {
	case "hang":
		set, undo = func(t *Troubles) { t.Hang = true }, func(t *Troubles) { t.Hang = false }
	case "slow":
		set, undo = func(t *Troubles) { t.Slow = factor }, func(t *Troubles) { t.Slow = 0 }
	case "refuse":
		set, undo = func(t *Troubles) { t.Refuse = tenant }, func(t *Troubles) { t.Refuse = "" }
	case "errors":
		set, undo = func(t *Troubles) { t.Errors = true }, func(t *Troubles) { t.Errors = false }
	case "fail-loads":
		set, undo = func(t *Troubles) { t.FailLoads = true }, func(t *Troubles) { t.FailLoads = false }
	case "false-reports":
		set, undo = func(t *Troubles) { t.Reports = factor }, func(t *Troubles) { t.Reports = 0 }
	case "silence": // of the connections: Silencer
		set, undo = func(*Troubles) {}, func(*Troubles) {}
	default:
		return nil, nil, fmt.Errorf("what %q is not hang, silence, slow, refuse, errors, fail-loads or false-reports", what)
	}
	if (what == "slow" || what == "false-reports") != (factor > 0) || (what == "refuse") != (tenant != "") {
		return nil, nil, fmt.Errorf("%s: slow and false-reports need a factor, refuse a tenant, and only they", what)
	}
	return set, undo, nil
}
