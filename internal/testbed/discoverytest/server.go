// Package discoverytest emulates the platform's discovery service with its published interface: numbered events, which
// clients poll by GET /journal?tail=N&max_wait=MS.
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

const (
	// maxChanges is the maximum number of changes that are stored. A client that missed more gets the complete list.
	maxChanges = 1000
	// headerTimeout is the timeout for reading the header of a poll.
	headerTimeout = 5 * time.Second
)

// Server has one endpoint list and serves it over HTTP.
type Server struct {
	mu               sync.Mutex
	workers          map[string]discovery.Endpoint // by name
	changes          []discovery.Event             // the latest changes, consecutive and ending at position
	position         int64                         // the number of the latest event
	changed          chan struct{}                 // closed at the next change
	completeResponse []byte                        // encoded complete list at position; nil if not encoded yet

	polls             atomic.Int64
	completeResponses atomic.Int64
	bytes             atomic.Int64

	// Addr is the address at which the service listens.
	Addr    string
	cancel  context.CancelFunc // nil if stopped
	stopped chan error
}

// New starts a service with these workers on a free port of the loopback interface.
func New(workers []discovery.Endpoint) (*Server, error) {
	s := &Server{workers: map[string]discovery.Endpoint{}, position: 1, changed: make(chan struct{})}
	for _, worker := range workers {
		s.workers[worker.Name] = worker
	}
	return s, s.listen("127.0.0.1:0")
}

func (s *Server) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.Addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	s.cancel, s.stopped = cancel, stopped
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go func() { stopped <- httpserver.Serve(ctx, server, countingListener{listener, &s.bytes}, 0) }()
	return nil
}

// Stop stops the service and the polls in progress. The endpoint list is kept for Resume.
func (s *Server) Stop() error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.cancel = nil
	return <-s.stopped
}

// Resume starts a stopped service at the same address.
func (s *Server) Resume() error { return s.listen(s.Addr) }

// Close stops the service.
func (s *Server) Close() error { return s.Stop() }

// Publish publishes one event with changes of endpoints. It returns the event's number and the time of publication.
func (s *Server) Publish(endpoints []discovery.Endpoint) (position int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range endpoints {
		if endpoint.State == discovery.Removed {
			delete(s.workers, endpoint.Name)
		} else {
			s.workers[endpoint.Name] = endpoint
		}
	}
	s.position++
	update := &discovery.Update{Endpoints: endpoints}
	s.changes = append(s.changes, discovery.Event{Position: s.position, Update: update})
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.changes = slices.Delete(s.changes, 0, excess)
	}
	s.completeResponse = nil
	at = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.position, at
}

// completeListLocked returns the response with the complete list. s.mu must be held.
func (s *Server) completeListLocked() ([]byte, error) {
	if s.completeResponse != nil {
		return s.completeResponse, nil
	}
	update := &discovery.Update{Complete: true}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		update.Endpoints = append(update.Endpoints, s.workers[name])
	}
	response, err := encodeBatch(s.position, []discovery.Event{{Position: s.position, Update: update}})
	if err != nil {
		return nil, err
	}
	s.completeResponse = response
	return response, nil
}

func encodeBatch(position int64, events []discovery.Event) ([]byte, error) {
	return json.Marshal(discovery.Batch{Position: position, Events: events})
}

// responseAfter returns the response to a client that has the events up to tail. If there is no later event, the
// response is nil and changed is closed at the next one.
func (s *Server) responseAfter(tail int64) (response []byte, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.position - int64(len(s.changes)) // number of the event before the stored changes
	switch {
	case tail > s.position:
		return nil, nil, fmt.Errorf("tail %d is after the last event %d", tail, s.position)
	case tail == s.position:
		return nil, s.changed, nil
	case tail < oldest || tail == 0:
		s.completeResponses.Add(1)
		response, err = s.completeListLocked()
	default:
		response, err = encodeBatch(s.position, s.changes[tail-oldest:])
	}
	return response, nil, err
}

// poll returns the response to a poll. If there is no new event, it waits for the next one, for up to maxWait. The
// response is nil if the client has disconnected.
func (s *Server) poll(ctx context.Context, tail int64, maxWait time.Duration) ([]byte, error) {
	response, changed, err := s.responseAfter(tail)
	if err != nil || response != nil {
		return response, err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-changed:
		response, _, err = s.responseAfter(tail)
		return response, err
	case <-timer.C:
		return fmt.Appendf(nil, `{"pos":%d,"entries":[]}`, tail), nil
	case <-ctx.Done():
		return nil, nil
	}
}

// ServeHTTP handles a poll.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.polls.Add(1)
	tail, tailErr := strconv.ParseInt(r.URL.Query().Get("tail"), 10, 64)
	maxWait, waitErr := strconv.ParseInt(r.URL.Query().Get("max_wait"), 10, 64)
	if tailErr != nil || waitErr != nil || r.URL.Path != "/journal" || maxWait < 0 || tail < 0 {
		http.Error(w, "GET /journal?tail=N&max_wait=MS", http.StatusBadRequest)
		return
	}
	response, err := s.poll(r.Context(), tail, time.Duration(maxWait)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if response != nil {
		_, _ = w.Write(response) // a client that does not receive it polls again
	}
}

// Counts are the counters and the state of a Server.
type Counts struct {
	Polls             int64  `json:"asked"`    // polls received
	CompleteResponses int64  `json:"whole"`    // responses with the complete list
	Bytes             int64  `json:"bytes"`    // bytes of all connections in both directions, including HTTP headers
	Position          int64  `json:"position"` // number of the latest event
	Digest            string `json:"digest"`   // digest of the endpoint list; see Digest
}

// Counts returns the current counters and state.
func (s *Server) Counts() *Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make(map[string]discovery.State, len(s.workers))
	for name, worker := range s.workers {
		states[name] = worker.State
	}
	return &Counts{
		Polls:             s.polls.Load(),
		CompleteResponses: s.completeResponses.Load(),
		Bytes:             s.bytes.Load(),
		Position:          s.position,
		Digest:            Digest(states),
	}
}

// Digest returns a hash of an endpoint list's worker names and their states, by which lists are compared.
func Digest(states map[string]discovery.State) string {
	hash := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		_, _ = hash.WriteString(name + "=" + string(states[name]) + "\n") // it never fails
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}
