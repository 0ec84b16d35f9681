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
	In       State = "in"
	Draining State = "draining"
	Gone     State = "gone"
)

// Entry is one worker.
type Entry struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Zone    string    `json:"zone,omitempty"`
	Cell    string    `json:"cell,omitempty"`
	Kind    string    `json:"kind,omitempty"`
	Cores   float64   `json:"cores"`
	State   State     `json:"state"`
	Chunks  string    `json:"chunks,omitempty"` // where it gives chunks to other workers
	Started time.Time `json:"started"`
}

// News is one message: a whole list, or what has changed since the one before.
type News struct {
	Version uint64  `json:"version"`
	Whole   bool    `json:"whole"`
	Entries []Entry `json:"entries"`
}

// Check finds what can't be in a message.
func (n News) Check() error {
	for i, e := range n.Entries {
		if e.Name == "" || e.State != In && e.State != Draining && e.State != Gone {
			return fmt.Errorf("list version %d, entry %d: worker %q in state %q", n.Version, i, e.Name, e.State)
		}
	}
	return nil
}

type change struct {
	version uint64
	due     time.Time // told from then on
	entry   Entry
}

// Roster keeps the list. The zero value is not ready; use New.
type Roster struct {
	mu      sync.Mutex
	version uint64
	changes []change // newest last; for each worker the last that is told and the last that is not
	leases  map[string]time.Time
	late    time.Duration
	changed chan struct{}
	sent    func(front string, at time.Time, n News)
}

// New makes a Roster. sent, if given, is told of every message just before it is written to a front end.
func New(sent func(front string, at time.Time, n News)) *Roster {
	return &Roster{leases: map[string]time.Time{}, changed: make(chan struct{}), sent: sent}
}

// Late has every change from now on told so much later than it is made; one that waits already no later than that.
func (r *Roster) Late(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = by
	most := time.Now().Add(by)
	for i := range r.changes {
		if r.changes[i].due.After(most) {
			r.changes[i].due = most
		}
	}
	r.tell()
}

// Set puts a worker's entry in place of its last one. Gone workers stay in the list as gone until they come back.
func (r *Roster) Set(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(e)
}

func (r *Roster) set(e Entry) {
	r.version++
	now := time.Now()
	due := now.Add(r.late)
	// what was told before stays to be told to those who come anew until this is told too
	r.changes = slices.DeleteFunc(r.changes, func(c change) bool {
		return c.entry.Name == e.Name && (c.due.After(now) || !due.After(now))
	})
	r.changes = append(r.changes, change{version: r.version, due: due, entry: e})
	r.tell()
}

func (r *Roster) tell() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Mark sets the state of a worker; false if there is none of that name.
func (r *Roster) Mark(name string, s State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range slices.Backward(r.changes) {
		if c.entry.Name == name {
			c.entry.State = s
			r.set(c.entry)
			return true
		}
	}
	return false
}

// Clear takes every worker off the list.
func (r *Roster) Clear() {
	for _, e := range r.List() {
		r.Mark(e.Name, Gone)
	}
}

// List is the present list by name, gone workers left out.
func (r *Roster) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]Entry{}
	for _, c := range r.changes {
		all[c.entry.Name] = c.entry
	}
	maps.DeleteFunc(all, func(_ string, e Entry) bool { return e.State == Gone })
	return slices.SortedFunc(maps.Values(all), func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
}

// since gives the changes after a version that may be told by now, the moment when more may be, and what to wait for.
func (r *Roster) since(version uint64) (n News, next time.Time, wait <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.Version = version
	now := time.Now()
	for _, c := range r.changes {
		if c.version <= version {
			continue
		}
		if c.due.After(now) {
			next = c.due
			break
		}
		n.Version = c.version
		n.Entries = slices.DeleteFunc(n.Entries, func(e Entry) bool { return e.Name == c.entry.Name })
		n.Entries = append(n.Entries, c.entry)
	}
	return n, next, r.changed
}

// Run ends the leases of workers that have not renewed them, until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
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
				r.Mark(name, Gone)
			}
		}
	}
}

// Handler serves GET /v1/list (the stream, with ?front=NAME), GET /v1/workers (the present list), PUT
// /v1/workers/{name} (an entry, with ?lease=DURATION renewed by each PUT) and POST /v1/workers/{name}/drain and /gone.
func (r *Roster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/list", r.stream)
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
		if err := (News{Entries: []Entry{e}}).Check(); err != nil || e.Name != req.PathValue("name") || e.Addr == "" {
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
			if !r.Mark(req.PathValue("name"), s) {
				http.Error(w, "no such worker", http.StatusNotFound)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		}
	}
	mux.HandleFunc("POST /v1/workers/{name}/drain", mark(Draining))
	mux.HandleFunc("POST /v1/workers/{name}/gone", mark(Gone))
	return mux
}

const beat = time.Second // between empty lines where nothing changes

func (r *Roster) stream(w http.ResponseWriter, req *http.Request) {
	front := req.URL.Query().Get("front")
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	whole, version := true, uint64(0)
	for {
		n, next, wait := r.since(version)
		if err := out.SetWriteDeadline(time.Now().Add(2 * beat)); err != nil {
			return
		}
		var err error
		if whole || len(n.Entries) > 0 {
			n.Whole = whole
			whole, version = false, n.Version
			if r.sent != nil {
				r.sent(front, time.Now(), n)
			}
			err = enc.Encode(n)
		} else {
			_, err = io.WriteString(w, "\n")
		}
		if err != nil || out.Flush() != nil {
			return
		}
		pause := beat
		if !next.IsZero() {
			pause = min(beat, max(time.Millisecond, time.Until(next)))
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

// ErrSilent says that a subscription brought nothing, not even an empty line, for several beats.
var ErrSilent = errors.New("the list has gone silent")

// Watch subscribes front to the list at base and hands every message to take, until the stream breaks or ctx ends. It
// always returns an error.
func Watch(ctx context.Context, client *http.Client, base, front string, take func(News)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/list", nil)
	if err != nil {
		return fmt.Errorf("watch the list: %w", err)
	}
	q := req.URL.Query()
	q.Set("front", front)
	req.URL.RawQuery = q.Encode()
	silent := time.AfterFunc(5*beat, func() { cancel(ErrSilent) })
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
		silent.Reset(5 * beat)
		if len(lines.Bytes()) == 0 {
			continue
		}
		var n News
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			return fail(err)
		}
		if err := n.Check(); err != nil {
			return fail(err)
		}
		take(n)
	}
	if err := lines.Err(); err != nil {
		return fail(err)
	}
	return fail(io.ErrUnexpectedEOF)
}
