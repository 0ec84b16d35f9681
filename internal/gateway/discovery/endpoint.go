// Package discovery watches the endpoint list of the platform's discovery service. The service publishes changes of the
// list as numbered events; the package long-polls for the events after the last one that it has received.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"
)

// State is the state of an endpoint, which determines whether it may be sent new work.
type State string

// The states of an endpoint.
const (
	Up       State = "up"
	Draining State = "draining" // finishes the work it has accepted and gets no new work
	Removed  State = "removed"
)

func (s State) valid() bool { return s == Up || s == Draining || s == Removed }

// Endpoint is a worker on the endpoint list.
type Endpoint struct {
	Name  string  `json:"host"`
	Addr  string  `json:"dial"`
	Zone  string  `json:"site"`
	Kind  string  `json:"class"`
	Cell  int     `json:"block"`
	State State   `json:"health"`
	Size  float64 `json:"share"`

	// StartedUnixMilli is the start time of a recently started worker in milliseconds of Unix time. 0 means that the
	// worker started long ago.
	StartedUnixMilli int64 `json:"born_ms"`
}

// Update is the part of an event that concerns the endpoint list: the complete list if Complete is set, otherwise the
// endpoints that have changed.
type Update struct {
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Event is a watch event. Update is nil if the event does not concern the endpoint list.
type Event struct {
	Position int64   `json:"pos"`
	Update   *Update `json:"hosts"`

	// MaxAge is an upper bound of the event's age: the time since the answer before the one that contained the event. 0
	// means that no bound is known.
	MaxAge time.Duration `json:"-"`
}

// Batch is an answer of the service: events in ascending order, and the position of the last event that the service
// has.
type Batch struct {
	Position int64   `json:"pos"`
	Events   []Event `json:"entries"`
}

// Parse parses an answer of the service. It fails if any event is invalid, because the service would return the same
// event again.
func Parse(b []byte) (Batch, error) {
	var batch Batch
	if err := json.Unmarshal(b, &batch); err != nil {
		return Batch{}, fmt.Errorf("journal: %w", err)
	}
	for _, event := range batch.Events {
		if err := event.validate(); err != nil {
			return Batch{}, fmt.Errorf("journal: %w", err)
		}
	}
	return batch, nil
}

func (e Event) validate() error {
	if e.Position <= 0 {
		return errors.New("event without a position")
	}
	if e.Update == nil {
		return nil
	}
	for _, endpoint := range e.Update.Endpoints {
		if endpoint.Name == "" || !endpoint.State.valid() {
			return fmt.Errorf("event %d: invalid worker: name %q, state %q", e.Position, endpoint.Name, endpoint.State)
		}
		if _, _, err := net.SplitHostPort(endpoint.Addr); err != nil && endpoint.State != Removed {
			return fmt.Errorf("event %d: worker %q: %w", e.Position, endpoint.Name, err)
		}
	}
	return nil
}

// isContiguous reports whether the events of the batch follow position without a gap. An event with the complete list
// may follow a gap, because it replaces all events before it.
func (b Batch) isContiguous(position int64) bool {
	for _, event := range b.Events {
		if event.Position > position+1 && (event.Update == nil || !event.Update.Complete) {
			return false
		}
		position = max(position, event.Position)
	}
	return true
}

// compact merges all events of the batch into a single event with the resulting complete list. ok reports whether one
// of the events contains a complete list.
func (b Batch) compact() (event Event, ok bool) {
	endpoints := map[string]Endpoint{}
	for _, e := range b.Events {
		event.Position = max(event.Position, e.Position)
		if e.Update == nil {
			continue
		}
		if e.Update.Complete {
			clear(endpoints)
			ok = true
		}
		for _, endpoint := range e.Update.Endpoints {
			endpoints[endpoint.Name] = endpoint
			if endpoint.State == Removed {
				delete(endpoints, endpoint.Name)
			}
		}
	}
	event.Update = &Update{Complete: true}
	for _, name := range slices.Sorted(maps.Keys(endpoints)) {
		event.Update.Endpoints = append(event.Update.Endpoints, endpoints[name])
	}
	return event, ok
}
