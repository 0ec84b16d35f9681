// Package registry keeps the list of workers and pushes its changes to front ends over HTTP, one JSON value a line. It
// decides nothing about events: it says who is in service, draining or gone. docs/operate/gate.md has the protocol.
package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// State is a worker's state in the list.
type State string

// The states.
const (
	InService State = "in"
	Draining  State = "draining"
	Removed   State = "gone"
)

// Entry is one worker.
type Entry struct {
	Name      string    `json:"name"`
	Addr      string    `json:"addr"`
	Zone      string    `json:"zone,omitempty"`
	Cell      string    `json:"cell,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Cores     float64   `json:"cores"`
	State     State     `json:"state"`
	ChunkAddr string    `json:"chunks,omitempty"` // where it gives chunks to other workers
	Started   time.Time `json:"started"`
}

// WatchEvent is one message: a whole list, or what has changed since the one before.
type WatchEvent struct {
	Version  uint64  `json:"version"`
	Complete bool    `json:"whole"`
	Entries  []Entry `json:"entries"`
}

// Validate finds what can't be in a message.
func (n WatchEvent) Validate() error {
	for i, e := range n.Entries {
		if e.Name == "" || e.State != InService && e.State != Draining && e.State != Removed {
			return fmt.Errorf("list version %d, entry %d: worker %q in state %q", n.Version, i, e.Name, e.State)
		}
	}
	return nil
}

type change struct {
	version   uint64
	visibleAt time.Time // told from then on
	entry     Entry
}

// Registry keeps the list. The zero value is not ready; use New.
type Registry struct {
	mu      sync.Mutex
	version uint64
	changes []change // newest last; for each worker the last that is told and the last that is not
	leases  map[string]time.Time
	delay   time.Duration
	changed chan struct{}
	onSend  func(front string, at time.Time, n WatchEvent)
}

// New makes a Roster. sent, if given, is told of every message just before it is written to a front end.
func New(sent func(front string, at time.Time, n WatchEvent)) *Registry {
	return &Registry{leases: map[string]time.Time{}, changed: make(chan struct{}), onSend: sent}
}

// SetDelay has every change from now on told so much later than it is made; one that waits already no later than that.
func (r *Registry) SetDelay(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = by
	most := time.Now().Add(by)
	for i := range r.changes {
		if r.changes[i].visibleAt.After(most) {
			r.changes[i].visibleAt = most
		}
	}
	r.broadcast()
}

// Set puts a worker's entry in place of its last one. Gone workers stay in the list as gone until they come back.
func (r *Registry) Set(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLocked(e)
}

func (r *Registry) setLocked(e Entry) {
	r.version++
	now := time.Now()
	due := now.Add(r.delay)
	// what was told before stays to be told to those who come anew until this is told too
	r.changes = slices.DeleteFunc(r.changes, func(c change) bool {
		return c.entry.Name == e.Name && (c.visibleAt.After(now) || !due.After(now))
	})
	r.changes = append(r.changes, change{version: r.version, visibleAt: due, entry: e})
	r.broadcast()
}

func (r *Registry) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetState sets the state of a worker; false if there is none of that name.
func (r *Registry) SetState(name string, s State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range slices.Backward(r.changes) {
		if c.entry.Name == name {
			c.entry.State = s
			r.setLocked(c.entry)
			return true
		}
	}
	return false
}

// RemoveAll takes every worker off the list.
func (r *Registry) RemoveAll() {
	for _, e := range r.List() {
		r.SetState(e.Name, Removed)
	}
}

// List is the present list by name, gone workers left out.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]Entry{}
	for _, c := range r.changes {
		all[c.entry.Name] = c.entry
	}
	maps.DeleteFunc(all, func(_ string, e Entry) bool { return e.State == Removed })
	return slices.SortedFunc(maps.Values(all), func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
}

// changesSince gives the changes after a version that may be told by now, the moment when more may be, and what to wait for.
func (r *Registry) changesSince(version uint64) (n WatchEvent, next time.Time, wait <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.Version = version
	now := time.Now()
	for _, c := range r.changes {
		if c.version <= version {
			continue
		}
		if c.visibleAt.After(now) {
			next = c.visibleAt
			break
		}
		n.Version = c.version
		n.Entries = slices.DeleteFunc(n.Entries, func(e Entry) bool { return e.Name == c.entry.Name })
		n.Entries = append(n.Entries, c.entry)
	}
	return n, next, r.changed
}

// Run ends the leases of workers that have not renewed them, until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.mu.Lock()
			var over []string
			for name, until := range r.leases {
				if now.After(until) {
					over = append(over, name)
					delete(r.leases, name)
				}
			}
			r.mu.Unlock()
			for _, name := range over {
				r.SetState(name, Removed)
			}
		}
	}
}

// Handler serves GET /v1/list (the stream, with ?front=NAME), GET /v1/workers (the present list), PUT
// /v1/workers/{name} (an entry, with ?lease=DURATION renewed by each PUT) and POST /v1/workers/{name}/drain and /gone.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/list", r.serveWatch)
	mux.HandleFunc("GET /v1/workers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.List()) // the asker is gone
	})
	mux.HandleFunc("PUT /v1/workers/{name}", func(w http.ResponseWriter, req *http.Request) {
		var e Entry
		dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, 64<<10))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&e); err != nil {
			http.Error(w, "entry: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := (WatchEvent{Entries: []Entry{e}}).Validate(); err != nil || e.Name != req.PathValue("name") || e.Addr == "" {
			http.Error(w, "entry: a name as in the address, an addr and a known state are needed", http.StatusBadRequest)
			return
		}
		if text := req.URL.Query().Get("lease"); text != "" {
			d, err := time.ParseDuration(text)
			if err != nil || d <= 0 {
				http.Error(w, "lease: a duration such as 3s", http.StatusBadRequest)
				return
			}
			r.mu.Lock()
			r.leases[e.Name] = time.Now().Add(d)
			r.mu.Unlock()
		}
		if !slices.Contains(r.List(), e) {
			r.Set(e)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mark := func(s State) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if !r.SetState(req.PathValue("name"), s) {
				http.Error(w, "no such worker", http.StatusNotFound)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		}
	}
	mux.HandleFunc("POST /v1/workers/{name}/drain", mark(Draining))
	mux.HandleFunc("POST /v1/workers/{name}/gone", mark(Removed))
	return mux
}

const heartbeatInterval = time.Second // between empty lines where nothing changes

func (r *Registry) serveWatch(w http.ResponseWriter, req *http.Request) {
	front := req.URL.Query().Get("front")
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	whole, version := true, uint64(0)
	for {
		n, next, wait := r.changesSince(version)
		if err := out.SetWriteDeadline(time.Now().Add(2 * heartbeatInterval)); err != nil {
			return
		}
		var err error
		if whole || len(n.Entries) > 0 {
			n.Complete = whole
			whole, version = false, n.Version
			if r.onSend != nil {
				r.onSend(front, time.Now(), n)
			}
			err = enc.Encode(n)
		} else {
			_, err = io.WriteString(w, "\n")
		}
		if err != nil || out.Flush() != nil {
			return
		}
		pause := heartbeatInterval
		if !next.IsZero() {
			pause = min(heartbeatInterval, max(time.Millisecond, time.Until(next)))
		}
		timer := time.NewTimer(pause)
		select {
		case <-req.Context().Done():
			timer.Stop()
			return
		case <-wait:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ErrWatchSilent says that a subscription brought nothing, not even an empty line, for several beats.
var ErrWatchSilent = errors.New("the list has gone silent")

// Watch subscribes front to the list at base and hands every message to take, until the stream breaks or ctx ends. It
// always returns an error.
func Watch(ctx context.Context, client *http.Client, base, front string, take func(WatchEvent)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/list", nil)
	if err != nil {
		return fmt.Errorf("watch the list: %w", err)
	}
	q := req.URL.Query()
	q.Set("front", front)
	req.URL.RawQuery = q.Encode()
	silent := time.AfterFunc(5*heartbeatInterval, func() { cancel(ErrWatchSilent) })
	defer silent.Stop()
	fail := func(err error) error {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return fmt.Errorf("watch the list: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fail(fmt.Errorf("status %s", resp.Status))
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		silent.Reset(5 * heartbeatInterval)
		if len(lines.Bytes()) == 0 {
			continue
		}
		var n WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			return fail(err)
		}
		if err := n.Validate(); err != nil {
			return fail(err)
		}
		take(n)
	}
	if err := lines.Err(); err != nil {
		return fail(err)
	}
	return fail(io.ErrUnexpectedEOF)
}
