package scenario

import (
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/testbed/emulator"
	"lupinpond/internal/testbed/localfleet"
)

// dedupGroups holds the deduplication groups of the emulated workers. The workers of a group share the idempotency keys
// that they have seen. Each keyed request type has one group for all zones or one per zone, by its scope.
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

// forZone returns the groups of a worker in a zone, by request type. Each zone has a single cell, so scopes cell and
// zone are the same.
func (g *dedupGroups) forZone(zone string) map[string]*emulator.DedupGroup {
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

// duplicateExecutions returns the requests that must run once but ran more than once, as counted at the workers. With
// emulated workers it checks at-most-once requests only, with the worker runtime also keyed ones.
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
		// a keyed request must run once if all of its attempts are within its deduplication window
		mustRunOnce := requestType.Effect == "at-most-once" ||
			requestType.Effect == "keyed" && requestType.MaxAge.Std() <= requestType.DedupWindow.Std()
		if mustRunOnce && executions[arrival.name] > 1 {
			duplicates = append(duplicates, arrival.name)
		}
	}
	return duplicates, nil
}
