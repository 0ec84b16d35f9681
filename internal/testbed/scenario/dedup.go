package scenario

import (
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/testbed/emulator"
	"lupinpond/internal/testbed/localfleet"
)

// dedupGroups are the groups of emulated workers that recognize repeats of keyed requests, by request type and zone.
type dedupGroups struct {
	keyed  []fleetconfig.RequestType
	shared map[string]*emulator.DedupGroup
}

func newDedupGroups(types []fleetconfig.RequestType) *dedupGroups {
	groups := &dedupGroups{shared: map[string]*emulator.DedupGroup{}}
	for _, requestType := range types {
		if requestType.Effect == "keyed" {
			groups.keyed = append(groups.keyed, requestType)
		}
	}
	return groups
}

// ofZone gives the groups of a worker in a zone, by request type. A cell is as large as its zone.
func (g *dedupGroups) ofZone(zone string) map[string]*emulator.DedupGroup {
	groups := map[string]*emulator.DedupGroup{}
	for _, requestType := range g.keyed {
		scope := requestType.Name
		if requestType.DedupScope != "all" {
			scope += zone
		}
		if g.shared[scope] == nil {
			g.shared[scope] = emulator.NewDedupGroup()
		}
		groups[requestType.Name] = g.shared[scope]
	}
	return groups
}

// duplicateExecutions lists requests that must run once and ran more than once, counted at the workers.
func (r *run) duplicateExecutions(arrivals []arrival) (duplicates []string, err error) {
	if r.runtime == nil {
		for _, requestType := range r.options.Config.Fleet.Types {
			if requestType.Effect == "at-most-once" {
				duplicates = append(duplicates, r.executions.Duplicates(requestType.Name)...)
			}
		}
		return duplicates, nil
	}
	executions, err := localfleet.CountExecutions(r.runtime.executionLog.Name())
	if err != nil {
		return nil, err
	}
	for _, arrival := range arrivals {
		requestType, _ := r.options.Config.RequestType(arrival.function.Type)
		// of a keyed request, all attempts are within its window
		once := requestType.Effect == "at-most-once" ||
			requestType.Effect == "keyed" && requestType.MaxAge.Std() <= requestType.DedupWindow.Std()
		if once && executions[arrival.name] > 1 {
			duplicates = append(duplicates, arrival.name)
		}
	}
	return duplicates, nil
}
