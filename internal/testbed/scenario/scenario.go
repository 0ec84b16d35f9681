// Package scenario plays days of trouble on loopback sockets: real front ends, the list, workers, and clients that
// arrive as drawn ahead, whatever becomes of them. Afterwards the five rules are judged from what crossed the sockets.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

// Scenario is one rehearsed day, as its YAML file says.
type Scenario struct {
	Name          string                     `yaml:"name"`
	Description   string                     `yaml:"about"`
	Duration      config.Duration            `yaml:"lasts"` // of the arrivals
	Seed          uint64                     `yaml:"seed"`
	Gateways      int                        `yaml:"fronts"`
	Workers       Workers                    `yaml:"workers"`
	StoreCapacity int                        `yaml:"store"` // fetches at full speed
	Work          map[string]config.Duration `yaml:"work"`  // mean time on a core, by function
	Arrivals      []Arrivals                 `yaml:"arrivals"`
	Clients       ClientBehavior             `yaml:"clients"`
	Faults        []Fault                    `yaml:"troubles"`
}

// Workers are the day's fleet, named w0, w1 and so on.
type Workers struct {
	Count  int             `yaml:"count"`
	Cores  float64         `yaml:"cores"`
	Memory config.ByteSize `yaml:"memory"`
	Queue  int             `yaml:"queue"`
	Zones  int             `yaml:"zones"`
}

// Arrivals are events of one function at a mean rate, drawn ahead.
type Arrivals struct {
	Function string          `yaml:"function"`
	Rate     float64         `yaml:"rate"` // a second
	From     config.Duration `yaml:"from"`
	Until    config.Duration `yaml:"until"` // 0s: the day's end
	MaxWait  config.Duration `yaml:"patience"`
}

// ClientBehavior are what clients do by themselves.
type ClientBehavior struct {
	MaxAttempts int             `yaml:"tries"` // most of one event
	RetryDelay  config.Duration `yaml:"pause"` // before another where no time to come back is named
}

// Fault is one entry of the time line. What it needs depends on What.
type Fault struct {
	At              config.Duration `yaml:"at"`
	Duration        config.Duration `yaml:"for"`
	Kind            string          `yaml:"what"`
	Workers         []int           `yaml:"workers"`
	Gateways        []int           `yaml:"fronts"`
	Tenant          string          `yaml:"tenant"`
	Function        string          `yaml:"function"`
	Factor          float64         `yaml:"factor"`
	DisconnectAfter config.Duration `yaml:"patience"`
}

// faultFields are the troubles there are, and what each needs: workers, fronts, tenant, function, factor, patience, for.
var faultFields = map[string][]string{
	"hang": {"workers", "for"}, "silence": {"workers", "for"}, "slow": {"workers", "factor", "for"},
	"errors": {"workers", "for"}, "fail-loads": {"workers", "for"}, "false-reports": {"workers", "factor", "for"},
	"reset": {"workers"}, "crash": {"workers", "for"}, "drain": {"workers", "for"}, "refuse": {"workers", "tenant", "for"},
	"slow-store": {"factor", "for"}, "stop-store": {"for"}, "kill-front": {"fronts", "for"}, "pause-front": {"fronts", "for"},
	"give-up": {"tenant", "patience", "for"}, "release": {"function"}, "late-list": {"for"}, "empty-list": {"for"},
	"list-down": {"for"},
}

// Parse reads a day; a mistake has file, line and column.
func Parse(name string, b []byte, f fleetconfig.File) (Scenario, error) {
	var d Scenario
	if err := config.DecodeStrict(name, b, &d); err != nil {
		return d, err
	}
	if at, reason := d.firstInvalid(f); reason != "" {
		return d, config.ErrorAt(name, b, at, reason)
	}
	return d, nil
}

func (d Scenario) firstInvalid(f fleetconfig.File) (path, reason string) {
	functions := map[string]bool{}
	for _, fn := range f.Functions {
		functions[fn.Name] = true
	}
	switch {
	case d.Name == "":
		return "$.name", "a day needs a name"
	case d.Duration <= 0 || d.Duration.Std() > time.Hour:
		return "$.lasts", "more than 0s, at most an hour"
	case d.Gateways < 1 || d.Gateways > 100:
		return "$.fronts", "from 1 to 100 front ends"
	case d.Workers.Count < 1 || d.Workers.Count > 1000:
		return "$.workers.count", "from 1 to 1000 workers"
	case !(d.Workers.Cores > 0) || d.Workers.Memory <= 0 || d.Workers.Queue < 1 || d.Workers.Zones < 1:
		return "$.workers", "cores, memory, queue and zones are more than 0"
	case d.StoreCapacity < 1:
		return "$.store", "at least one fetch at full speed"
	case d.Clients.MaxAttempts < 1 || d.Clients.RetryDelay <= 0:
		return "$.clients", "at least one try, and a pause of more than 0s"
	case len(d.Arrivals) == 0:
		return "$.arrivals", "a day needs arrivals"
	}
	for i, a := range d.Arrivals {
		at := fmt.Sprintf("$.arrivals[%d].", i)
		switch {
		case !functions[a.Function]:
			return at + "function", fmt.Sprintf("no function %q", a.Function)
		case !(a.Rate > 0 && a.Rate < 1e5):
			return at + "rate", "more than 0 events a second"
		case a.Until != 0 && a.Until <= a.From:
			return at + "until", "after from"
		case d.Work[a.Function] <= 0:
			return "$.work", fmt.Sprintf("no work is told for %q", a.Function)
		}
	}
	for i, t := range d.Faults {
		at := fmt.Sprintf("$.troubles[%d].", i)
		needs, known := faultFields[t.Kind]
		if !known {
			return at + "what", fmt.Sprintf("no trouble %q", t.Kind)
		}
		has := map[string]bool{"workers": len(t.Workers) > 0, "fronts": len(t.Gateways) > 0, "tenant": t.Tenant != "",
			"function": t.Function != "", "factor": t.Factor > 0, "patience": t.DisconnectAfter > 0, "for": t.Duration > 0}
		for _, need := range needs {
			if !has[need] {
				return at + "what", fmt.Sprintf("%s needs %s", t.Kind, need)
			}
		}
		for what, is := range has {
			if is && !slices.Contains(needs, what) {
				return at + what, fmt.Sprintf("%s has no use for %s", t.Kind, what)
			}
		}
		for _, w := range t.Workers {
			if w < 0 || w >= d.Workers.Count {
				return at + "workers", fmt.Sprintf("no worker %d", w)
			}
		}
		for _, n := range t.Gateways {
			if n < 0 || n >= d.Gateways {
				return at + "fronts", fmt.Sprintf("no front end %d", n)
			}
		}
	}
	return "", ""
}

// arrival is one event, drawn ahead.
type arrival struct {
	at       time.Duration
	name     string // unique in the day
	function fleetconfig.Function
	maxWait  time.Duration
	work     time.Duration // on a core, where a package runs it; imitation workers draw their own
	gateway  int           // of the first try
}

// drawArrivals draws all arrivals of a day: the same for the same seed.
func (d Scenario) drawArrivals(f fleetconfig.File) []arrival {
	var all []arrival
	for i, a := range d.Arrivals {
		src := rand.New(rand.NewPCG(d.Seed, uint64(i)))
		until := a.Until.Std()
		if until == 0 {
			until = d.Duration.Std()
		}
		var fn fleetconfig.Function
		for _, x := range f.Functions {
			if x.Name == a.Function {
				fn = x
			}
		}
		t, _ := f.RequestType(fn.Type)
		patience := t.MaxAge.Std()
		if a.MaxWait > 0 {
			patience = min(patience, a.MaxWait.Std())
		}
		for at := a.From.Std(); ; {
			at += time.Duration(src.ExpFloat64() / a.Rate * float64(time.Second))
			if at >= until {
				break
			}
			all = append(all, arrival{at: at, name: fmt.Sprintf("%s-%d-%d", d.Name, i, len(all)), function: fn,
				maxWait: patience, gateway: src.IntN(d.Gateways), work: d.Work[fn.Name].Std()})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}
