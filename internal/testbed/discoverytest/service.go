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

// maxChanges are the changes that the list service answers one by one; who has missed more is told the whole list.
const maxChanges = 1000

// headerTimeout is how long the head of a question may take.
const headerTimeout = 5 * time.Second

// Server is one list of workers and the HTTP interface to it.
type Server struct {
	mu               sync.Mutex
	workers          map[string]discovery.Endpoint
	changes          []discovery.Event // the last ones, without a gap up to the position
	position         int64
	changed          chan struct{} // closed at the next change
	completeResponse []byte        // the answer that tells all, of the position; nil: not made yet

	polls, completeResponses, bytes atomic.Int64

	// Addr is where it listens.
	Addr    string
	stop    context.CancelFunc // nil: away
	stopped chan error
}

// New makes a service that listens at a free port of loopback.
func New(workers []discovery.Endpoint) (*Server, error) {
	s := &Server{workers: map[string]discovery.Endpoint{}, position: 1, changed: make(chan struct{})}
	for _, w := range workers {
		s.workers[w.Name] = w
	}
	return s, s.listen("127.0.0.1:0")
}

func (s *Server) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.Addr = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.stopped = stop, make(chan error, 1)
	go func() {
		s.stopped <- httpserver.Serve(ctx, &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}, countingListener{listener, &s.bytes}, 0)
	}()
	return nil
}

// Close stops the service with all that is under way.
func (s *Server) Close() error {
	if s.stop == nil {
		return nil
	}
	s.stop()
	s.stop = nil
	return <-s.stopped
}

// SetUnavailable stops the service, or has it come back at its address.
func (s *Server) SetUnavailable(away bool) error {
	if away {
		return s.Close()
	}
	return s.listen(s.Addr)
}

// countingListener counts the bytes of all connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept gives a connection that counts.
func (l countingListener) Accept() (net.Conn, error) {
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
func (s *Server) Publish(lines []discovery.Endpoint) (position int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range lines {
		if s.workers[w.Name] = w; w.State == discovery.Removed {
			delete(s.workers, w.Name)
		}
	}
	s.position++
	s.changes = append(s.changes, discovery.Event{Position: s.position, Update: &discovery.Update{Endpoints: lines}})
	if n := len(s.changes) - maxChanges; n > 0 {
		s.changes = slices.Delete(s.changes, 0, n)
	}
	s.completeResponse = nil
	at = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.position, at
}

// completeListLocked tells the list as it stands; s.mu is held.
func (s *Server) completeListLocked() ([]byte, error) {
	if s.completeResponse != nil {
		return s.completeResponse, nil
	}
	list := &discovery.Update{Complete: true}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		list.Endpoints = append(list.Endpoints, s.workers[name])
	}
	b, err := json.Marshal(discovery.Batch{Position: s.position, Events: []discovery.Event{{Position: s.position, Update: list}}})
	if err != nil {
		return nil, err
	}
	s.completeResponse = b
	return b, nil
}

// responseAfter is the answer to who knows the events up to tail; nil: there is nothing new.
func (s *Server) responseAfter(tail int64) (answer []byte, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.position - int64(len(s.changes)) // the last event that need not be known
	switch {
	case tail > s.position:
		return nil, nil, fmt.Errorf("tail %d is after the last event %d", tail, s.position)
	case tail == s.position:
		return nil, s.changed, nil
	case tail < oldest || tail == 0:
		s.completeResponses.Add(1)
		answer, err = s.completeListLocked()
		return answer, nil, err
	}
	answer, err = json.Marshal(discovery.Batch{Position: s.position, Events: s.changes[tail-oldest:]})
	return answer, nil, err
}

// ServeHTTP answers a watcher.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.polls.Add(1)
	tail, err := strconv.ParseInt(r.URL.Query().Get("tail"), 10, 64)
	wait, werr := strconv.ParseInt(r.URL.Query().Get("max_wait"), 10, 64)
	if err != nil || werr != nil || r.URL.Path != "/journal" || wait < 0 || tail < 0 {
		http.Error(w, "GET /journal?tail=N&max_wait=MS", http.StatusBadRequest)
		return
	}
	answer, changed, err := s.responseAfter(tail)
	if err == nil && answer == nil {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
			answer, _, err = s.responseAfter(tail)
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
func (s *Server) Counts() *Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]string, len(s.workers))
	for name, w := range s.workers {
		names[name] = string(w.State)
	}
	return &Counts{Polls: s.polls.Load(), CompleteResponses: s.completeResponses.Load(), Bytes: s.bytes.Load(), Position: s.position, Digest: Digest(names)}
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
	Polls             int64  `json:"asked"`
	CompleteResponses int64  `json:"whole"` // answers with the whole list
	Bytes             int64  `json:"bytes"` // both ways, with the heads of HTTP
	Position          int64  `json:"position"`
	Digest            string `json:"digest"`
}
