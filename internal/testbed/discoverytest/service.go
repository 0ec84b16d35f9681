// Package discoverytest emulates the service that tells the list of workers, in its published form: numbered events, asked for by
// GET /journal?tail=N&max_wait=MS.
package discoverytest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway/discovery"
)

// keptChanges are the changes that the list service answers one by one; who has missed more is told the whole list.
const keptChanges = 1000

// headerLimit is how long the head of a question may take.
const headerLimit = 5 * time.Second

// Service is one list of workers and the HTTP interface to it.
type Service struct {
	mu      sync.Mutex
	workers map[string]discovery.Endpoint
	changes []discovery.Event // the last ones, without a gap up to the position
	pos     int64
	changed chan struct{} // closed at the next change
	whole   []byte        // the answer that tells all, of the position; nil: not made yet

	asked, wholes, bytes atomic.Int64

	// Addr is where it listens.
	Addr  string
	stop  context.CancelFunc // nil: away
	ended chan error
}

// New makes a service that listens at a free port of loopback.
func New(workers []discovery.Endpoint) (*Service, error) {
	s := &Service{workers: map[string]discovery.Endpoint{}, pos: 1, changed: make(chan struct{})}
	for _, w := range workers {
		s.workers[w.Name] = w
	}
	return s, s.listen("127.0.0.1:0")
}

func (s *Service) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.Addr = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.ended = stop, make(chan error, 1)
	go func() {
		s.ended <- httpserver.Serve(ctx, &http.Server{Handler: s, ReadHeaderTimeout: headerLimit}, counting{listener, &s.bytes}, 0)
	}()
	return nil
}

// Close stops the service with all that is under way.
func (s *Service) Close() error {
	if s.stop == nil {
		return nil
	}
	s.stop()
	s.stop = nil
	return <-s.ended
}

// Away stops the service, or has it come back at its address.
func (s *Service) Away(away bool) error {
	if away {
		return s.Close()
	}
	return s.listen(s.Addr)
}

// counting counts the bytes of all connections, both ways.
type counting struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept gives a connection that counts.
func (l counting) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what came.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what left.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Publish tells one change of some lines.
func (s *Service) Publish(lines []discovery.Endpoint) (position int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range lines {
		if s.workers[w.Name] = w; w.State == discovery.Removed {
			delete(s.workers, w.Name)
		}
	}
	s.pos++
	s.changes = append(s.changes, discovery.Event{Position: s.pos, Update: &discovery.Update{Endpoints: lines}})
	if n := len(s.changes) - keptChanges; n > 0 {
		s.changes = slices.Delete(s.changes, 0, n)
	}
	s.whole = nil
	at = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.pos, at
}

// wholeAnswer tells the list as it stands; s.mu is held.
func (s *Service) wholeAnswer() ([]byte, error) {
	if s.whole != nil {
		return s.whole, nil
	}
	list := &discovery.Update{Complete: true}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		list.Endpoints = append(list.Endpoints, s.workers[name])
	}
	b, err := json.Marshal(discovery.Batch{Position: s.pos, Events: []discovery.Event{{Position: s.pos, Update: list}}})
	if err != nil {
		return nil, err
	}
	s.whole = b
	return b, nil
}

// after is the answer to who knows the events up to tail; nil: there is nothing new.
func (s *Service) after(tail int64) (answer []byte, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.pos - int64(len(s.changes)) // the last event that need not be known
	switch {
	case tail > s.pos:
		return nil, nil, fmt.Errorf("tail %d is after the last event %d", tail, s.pos)
	case tail == s.pos:
		return nil, s.changed, nil
	case tail < oldest || tail == 0:
		s.wholes.Add(1)
		answer, err = s.wholeAnswer()
		return answer, nil, err
	}
	answer, err = json.Marshal(discovery.Batch{Position: s.pos, Events: s.changes[tail-oldest:]})
	return answer, nil, err
}

// ServeHTTP answers a watcher.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.asked.Add(1)
	tail, err := strconv.ParseInt(r.URL.Query().Get("tail"), 10, 64)
	wait, werr := strconv.ParseInt(r.URL.Query().Get("max_wait"), 10, 64)
	if err != nil || werr != nil || r.URL.Path != "/journal" || wait < 0 || tail < 0 {
		http.Error(w, "GET /journal?tail=N&max_wait=MS", http.StatusBadRequest)
		return
	}
	answer, changed, err := s.after(tail)
	if err == nil && answer == nil {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
			answer, _, err = s.after(tail)
		case <-timer.C:
			answer = fmt.Appendf(nil, `{"pos":%d,"entries":[]}`, tail)
		case <-r.Context().Done():
			return
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = w.Write(answer) // who does not read it asks again
}

// Counts tells what it did.
func (s *Service) Counts() *Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]string, len(s.workers))
	for name, w := range s.workers {
		names[name] = w.State
	}
	return &Counts{Asked: s.asked.Load(), Whole: s.wholes.Load(), Bytes: s.bytes.Load(), Position: s.pos, Digest: Digest(names)}
}

// Digest names a list by its workers and their states.
func Digest(states map[string]string) string {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		_, _ = h.WriteString(name + "=" + states[name] + "\n") // it never fails
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Counts are a service's numbers.
type Counts struct {
	Asked    int64  `json:"asked"`
	Whole    int64  `json:"whole"` // answers with the whole list
	Bytes    int64  `json:"bytes"` // both ways, with the heads of HTTP
	Position int64  `json:"position"`
	Digest   string `json:"digest"`
}
