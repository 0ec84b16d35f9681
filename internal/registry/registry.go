// Package registry is the worker registry and its clients. Workers register under a lease; gateways watch the
// endpoint list over HTTP, one JSON value a line. The registry decides nothing about requests: it states which
// workers are in service, draining or removed. docs/operate/gate.md specifies the protocol.
package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// leaseCheckInterval is how often expired leases are looked for.
const leaseCheckInterval = 100 * time.Millisecond

// State is a worker's state in the endpoint list.
type State string

// The states.
const (
	InService State = "in"
	Draining  State = "draining"
	Removed   State = "gone"
)

func (s State) valid() bool { return s == InService || s == Draining || s == Removed }

// Entry is one worker.
type Entry struct {
	Name      string    `json:"name"`
	Addr      string    `json:"addr"`
	Zone      string    `json:"zone,omitempty"`
	Cell      string    `json:"cell,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Cores     float64   `json:"cores"`
	State     State     `json:"state"`
	ChunkAddr string    `json:"chunks,omitempty"` // where other workers fetch chunks from it
	Started   time.Time `json:"started"`
}

// WatchEvent is one message to a gateway: the complete endpoint list, or what has changed since the event before.
type WatchEvent struct {
	Version  uint64  `json:"version"`
	Complete bool    `json:"whole"`
	Entries  []Entry `json:"entries"`
}

// Validate returns an error for an event with an entry without a name or with an unknown state.
func (e WatchEvent) Validate() error {
	for i, entry := range e.Entries {
		if entry.Name == "" || !entry.State.valid() {
			return fmt.Errorf("list version %d, entry %d: worker %q in state %q", e.Version, i, entry.Name, entry.State)
		}
	}
	return nil
}

// change is one change of the endpoint list.
type change struct {
	version   uint64
	visibleAt time.Time // gateways are sent it from then on
	entry     Entry
}

// SendHook is called with every event just before it is written to a gateway.
type SendHook func(gateway string, at time.Time, event WatchEvent)

// Registry holds the endpoint list. Create it with New. It is safe for concurrent use.
type Registry struct {
	onSend SendHook

	mu      sync.Mutex
	version uint64
	changes []change // newest last; of each worker the last that is visible and the last that is not
	leases  map[string]time.Time
	delay   time.Duration
	changed chan struct{} // closed and replaced at every change
}

// New creates a Registry without workers; onSend may be nil.
func New(onSend SendHook) *Registry {
	return &Registry{leases: map[string]time.Time{}, changed: make(chan struct{}), onSend: onSend}
}

// SetDelay has every change from now on sent to gateways a time later than it is made; one that waits already no
// later than that.
func (r *Registry) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
	latest := time.Now().Add(delay)
	for i := range r.changes {
		if r.changes[i].visibleAt.After(latest) {
			r.changes[i].visibleAt = latest
		}
	}
	r.broadcast()
}

// Set replaces a worker's entry. Removed workers stay in the list as removed until they are set again.
func (r *Registry) Set(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLocked(entry)
}

func (r *Registry) setLocked(entry Entry) {
	r.version++
	now := time.Now()
	visibleAt := now.Add(r.delay)
	// What is visible now is still sent to new watchers until this change is visible too.
	r.changes = slices.DeleteFunc(r.changes, func(c change) bool {
		return c.entry.Name == entry.Name && (c.visibleAt.After(now) || !visibleAt.After(now))
	})
	r.changes = append(r.changes, change{version: r.version, visibleAt: visibleAt, entry: entry})
	r.broadcast()
}

// broadcast wakes all watches; the mutex is held.
func (r *Registry) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetState sets the state of a worker; false if there is none of that name.
func (r *Registry) SetState(name string, state State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range slices.Backward(r.changes) {
		if c.entry.Name == name {
			c.entry.State = state
			r.setLocked(c.entry)
			return true
		}
	}
	return false
}

// RemoveAll removes every worker.
func (r *Registry) RemoveAll() {
	for _, entry := range r.List() {
		r.SetState(entry.Name, Removed)
	}
}

// List returns the workers by name, removed ones left out.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := map[string]Entry{}
	for _, c := range r.changes {
		entries[c.entry.Name] = c.entry
	}
	maps.DeleteFunc(entries, func(_ string, entry Entry) bool { return entry.State == Removed })
	return slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
}

// changesSince returns the visible changes after a version, when the next becomes visible (zero: none is due), and
// a channel that is closed at the next change.
func (r *Registry) changesSince(version uint64) (event WatchEvent, next time.Time, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Version = version
	now := time.Now()
	for _, c := range r.changes {
		if c.version <= version {
			continue
		}
		if c.visibleAt.After(now) {
			next = c.visibleAt
			break
		}
		event.Version = c.version
		event.Entries = slices.DeleteFunc(event.Entries, func(entry Entry) bool { return entry.Name == c.entry.Name })
		event.Entries = append(event.Entries, c.entry)
	}
	return event, next, r.changed
}

// renew renews a worker's lease.
func (r *Registry) renew(name string, lease time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases[name] = time.Now().Add(lease)
}

// Run removes workers that have not renewed their leases, until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, name := range r.takeExpired(now) {
				r.SetState(name, Removed)
			}
		}
	}
}

// takeExpired forgets the leases that have expired and returns their workers.
func (r *Registry) takeExpired(now time.Time) (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, expires := range r.leases {
		if now.After(expires) {
			names = append(names, name)
			delete(r.leases, name)
		}
	}
	return names
}
