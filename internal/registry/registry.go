// Package registry implements the worker registry and its clients. Workers register with a lease; gateways watch the
// endpoint list over HTTP as a stream of JSON lines. The registry makes no decisions about requests: it only publishes
// which workers are in service, draining or removed. docs/operate/gate.md specifies the protocol.
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

// leaseCheckInterval is the interval between checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

// State is a worker's state in the endpoint list.
type State string

// The states of a worker.
const (
	InService State = "in"
	Draining  State = "draining"
	Removed   State = "gone"
)

func (s State) valid() bool { return s.stage() >= 0 }

// stage returns the position of a state in a worker's life, or -1 if the state is unknown.
func (s State) stage() int { return slices.Index([]State{InService, Draining, Removed}, s) }

// Entry is a worker's entry in the endpoint list.
type Entry struct {
	Name      string    `json:"name"`
	Addr      string    `json:"addr"`
	Zone      string    `json:"zone,omitempty"`
	Cell      string    `json:"cell,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Cores     float64   `json:"cores"`
	State     State     `json:"state"`
	ChunkAddr string    `json:"chunks,omitempty"` // address at which other workers fetch chunks
	Started   time.Time `json:"started"`
}

// WatchEvent is a message to a watching gateway: the complete endpoint list, or the entries that have changed since the
// previous event.
type WatchEvent struct {
	Version  uint64  `json:"version"`
	Complete bool    `json:"whole"`
	Entries  []Entry `json:"entries"`
}

// Validate returns an error if an entry of the event has no name or an unknown state.
func (e WatchEvent) Validate() error {
	for i, entry := range e.Entries {
		if entry.Name == "" || !entry.State.valid() {
			return fmt.Errorf("list version %d, entry %d is invalid: worker %q, state %q", e.Version, i, entry.Name, entry.State)
		}
	}
	return nil
}

// change is a change of one entry of the endpoint list.
type change struct {
	version   uint64
	visibleAt time.Time // time from which the change is sent to gateways
	entry     Entry
}

// SendHook is called with each event immediately before the event is written to a gateway.
type SendHook func(gateway string, at time.Time, event WatchEvent)

// Registry stores the endpoint list. Create it with New. It is safe for concurrent use.
type Registry struct {
	onSend SendHook

	mu             sync.Mutex
	version        uint64
	changes        []change // oldest first; per worker at most its last visible change and its last delayed one
	leases         map[string]time.Time
	operatorStates map[string]operatorState // by worker: the states that operators have set
	delay          time.Duration
	changed        chan struct{} // closed and replaced at each change
}

// operatorState is a state that an operator has set for one incarnation of a worker. The worker's own registrations don't
// change it, unless its own state is a later one.
type operatorState struct {
	state   State
	started time.Time
}

// New creates a Registry without workers; onSend may be nil.
func New(onSend SendHook) *Registry {
	return &Registry{leases: map[string]time.Time{}, operatorStates: map[string]operatorState{}, changed: make(chan struct{}),
		onSend: onSend}
}

// SetDelay delays the sending of later changes to gateways by delay. Changes that are already waiting are sent after
// delay from now at the latest.
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

// Set adds or replaces a worker's entry. A removed worker is kept, with state Removed, until it is set again.
func (r *Registry) Set(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLocked(entry)
}

// Register adds or updates the entry of a worker as the worker itself states it. A state that an operator has set for
// this incarnation of the worker is kept.
func (r *Registry) Register(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if operator, found := r.operatorStates[entry.Name]; found {
		switch {
		case !operator.started.Equal(entry.Started): // another incarnation
			delete(r.operatorStates, entry.Name)
		case operator.state.stage() > entry.State.stage():
			entry.State = operator.state
		}
	}
	if latest, found := r.latestLocked(entry.Name); !found || latest != entry {
		r.setLocked(entry)
	}
}

// latestLocked returns the latest entry of a worker, also if it is removed. The caller holds the mutex.
func (r *Registry) latestLocked(name string) (entry Entry, found bool) {
	for _, c := range slices.Backward(r.changes) {
		if c.entry.Name == name {
			return c.entry, true
		}
	}
	return entry, false
}

func (r *Registry) setLocked(entry Entry) {
	r.version++
	now := time.Now()
	visibleAt := now.Add(r.delay)
	// Keep the worker's visible change while the new one is delayed: watches that start in between are sent it.
	r.changes = slices.DeleteFunc(r.changes, func(c change) bool {
		return c.entry.Name == entry.Name && (c.visibleAt.After(now) || !visibleAt.After(now))
	})
	r.changes = append(r.changes, change{version: r.version, visibleAt: visibleAt, entry: entry})
	r.broadcast()
}

// broadcast wakes all watches. The caller holds the mutex.
func (r *Registry) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetState sets the state of a worker on behalf of an operator, until another incarnation of the worker registers. It
// returns false if the registry has no worker of that name.
func (r *Registry) SetState(name string, state State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.latestLocked(name)
	if !found {
		return false
	}
	r.operatorStates[name] = operatorState{state, entry.Started}
	entry.State = state
	r.setLocked(entry)
	return true
}

// Restore ends the effect of SetState on a worker: its next registration determines its state. It returns false if the
// registry has no worker of that name.
func (r *Registry) Restore(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.operatorStates, name)
	_, found := r.latestLocked(name)
	return found
}

// remove removes a worker until it registers again.
func (r *Registry) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, found := r.latestLocked(name); found {
		entry.State = Removed
		r.setLocked(entry)
	}
}

// RemoveAll removes every worker, until it registers again.
func (r *Registry) RemoveAll() {
	for _, entry := range r.List() {
		r.remove(entry.Name)
	}
}

// List returns the entries of all workers that are not removed, sorted by name. It includes changes that are still
// delayed.
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

// changesSince returns the visible changes after a version, the time when the next delayed change becomes visible (zero
// if there is none), and a channel that is closed at the next change.
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

// renewLease sets a worker's lease to expire after the given duration.
func (r *Registry) renewLease(name string, lease time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases[name] = time.Now().Add(lease)
}

// Run removes workers whose leases have expired, until ctx is done.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, name := range r.removeExpiredLeases(now) {
				r.remove(name)
			}
		}
	}
}

// removeExpiredLeases removes expired leases and returns the names of their workers.
func (r *Registry) removeExpiredLeases(now time.Time) (names []string) {
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
