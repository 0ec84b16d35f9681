// Package discovery watches the endpoint list of the platform's discovery service. The list changes by numbered events;
// the package polls for those after the last one that it knows. Parse does no I/O.
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

// State is what may be sent to an endpoint.
type State string

// The states of an endpoint.
const (
	Up       State = "up"
	Draining State = "draining" // finishes what it has, and gets nothing new
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

	// StartedUnixMilli is when a worker that is new has started, in milliseconds of Unix time; 0: long ago.
	StartedUnixMilli int64 `json:"born_ms"`
}

// Update is what an event says of the endpoint list: the complete list, or the endpoints that have changed.
type Update struct {
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Event is a watch event. Update is nil where it does not concern the endpoint list.
type Event struct {
	Position int64   `json:"pos"`
	Update   *Update `json:"hosts"`

	// MaxAge bounds how long ago the event happened, by the time since the answer before the one that held it; 0: no
	// bound is known.
	MaxAge time.Duration `json:"-"`
}

// Batch is an answer of the service: events in their order, and the position of the last one that there is.
type Batch struct {
	Position int64   `json:"pos"`
	Events   []Event `json:"entries"`
}

// Parse parses an answer of the service. One invalid event makes all of it an error: it would come again.
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
		return errors.New("an event without its number")
	}
	if e.Update == nil {
		return nil
	}
	for _, endpoint := range e.Update.Endpoints {
		if endpoint.Name == "" || !endpoint.State.valid() {
			return fmt.Errorf("event %d: worker %q is %q", e.Position, endpoint.Name, endpoint.State)
		}
		if _, _, err := net.SplitHostPort(endpoint.Addr); err != nil && endpoint.State != Removed {
			return fmt.Errorf("event %d: worker %q: %w", e.Position, endpoint.Name, err)
		}
	}
	return nil
}

// continues reports whether no event is missing between a position and each of the batch. An event with the complete
// list needs none before it.
func (b Batch) continues(position int64) bool {
	for _, event := range b.Events {
		if event.Position > position+1 && (event.Update == nil || !event.Update.Complete) {
			return false
		}
		position = max(position, event.Position)
	}
	return true
}

// compact merges all events into one with the complete list after them. ok: a complete list is among them.
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
