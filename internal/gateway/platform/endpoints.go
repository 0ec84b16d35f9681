package platform

import (
	"strconv"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/scheduler"
)

// handleEvent applies a watch event: immediately to the connections to workers, then to the core through the event
// loop.
func (e *engine) handleEvent(event discovery.Event) {
	if event.Update == nil {
		e.notifyApplied(event)
		return
	}
	commit := e.transport.update(*event.Update)
	maxAge := gateway.UnboundedAge
	if event.MaxAge > 0 {
		maxAge = event.MaxAge
	}
	present := map[string]bool{}
	var members []scheduler.Member
	for _, endpoint := range event.Update.Endpoints {
		present[endpoint.Name] = true
		members = append(members, e.member(endpoint, maxAge))
	}
	if event.Update.Complete {
		e.startTimes.Retain(present)
	}
	e.logUpdate(event)
	e.UpdateMembership(event.Update.Complete, members, commit)
	e.notifyApplied(event)
}

// member converts an endpoint to the scheduler's form. maxAge is the maximum age of the event that holds the endpoint.
func (e *engine) member(endpoint discovery.Endpoint, maxAge time.Duration) scheduler.Member {
	member := scheduler.Member{
		Worker: endpoint.Name,
		Zone:   endpoint.Zone,
		Kind:   endpoint.Kind,
		Cell:   strconv.Itoa(endpoint.Cell),
	}
	if e.config.Settings.UsesWorkerSizes() {
		member.Weight = endpoint.Size
	}
	started := time.Time{}
	if endpoint.StartedUnixMilli > 0 {
		started = time.UnixMilli(endpoint.StartedUnixMilli)
	}
	member.Started = e.startTimes.Started(endpoint.Name, started, maxAge)
	switch endpoint.State {
	case discovery.Draining:
		member.Condition = scheduler.Draining
	case discovery.Removed:
		member.Condition = scheduler.Removed
		e.startTimes.Remove(endpoint.Name)
	}
	return member
}

// logUpdate logs an update of the endpoint list with the number of endpoints in each state.
func (e *engine) logUpdate(event discovery.Event) {
	states := map[discovery.State]int{}
	for _, endpoint := range event.Update.Endpoints {
		states[endpoint.State]++
	}
	e.log.Info("endpoints updated", "position", event.Position, "complete", event.Update.Complete,
		"up", states[discovery.Up], "draining", states[discovery.Draining], "removed", states[discovery.Removed])
}

// notifyApplied makes the event loop call onApplied once the core has applied an event.
func (e *engine) notifyApplied(event discovery.Event) {
	if e.onApplied != nil {
		e.Do(func() { e.onApplied(event.Position, event.Update != nil && event.Update.Complete) })
	}
}
