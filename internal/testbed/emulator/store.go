package emulator

import (
	"strings"
	"sync"
	"time"

	"lupinpond/internal/workerrpc"
)

// Store imitates the one store that all workers fetch from: crowded, it slows; more crowded, it turns fetches away.
type Store struct {
	mu       sync.Mutex
	capacity int // fetches at full speed
	most     int // fetches at all
	active   int
	slow     float64
	refused  int
	stopped  bool
}

// NewStore makes a store of a capacity in fetches at a time.
func NewStore(capacity int) *Store { return &Store{capacity: capacity, most: 8 * capacity, slow: 1} }

// Slow has every fetch take so many times longer.
func (s *Store) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Stop has every fetch turned away, or no more.
func (s *Store) Stop(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = on
}

// Fetch begins a fetch that would take base alone; Fetched ends it.
func (s *Store) Fetch(base time.Duration) (took time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	if s.stopped || s.active > s.most {
		s.refused++
		return base / 10, true
	}
	return time.Duration(float64(base) * s.slow * max(1, float64(s.active)/float64(s.capacity))), false
}

// Fetched ends a fetch.
func (s *Store) Fetched() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// Ledger keeps what ran at workers.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]*Run
}

// Run is how often one event ran.
type Run struct {
	Type    string
	Workers []string
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]*Run{}} }

// Logical is the client's event behind the name of one of its tries, which ends in a full stop and a number.
func Logical(client string) string {
	if i := strings.LastIndexByte(client, '.'); i > 0 {
		return client[:i]
	}
	return client
}

func (l *Ledger) ran(launch *workerrpc.Attempt, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := Logical(launch.ClientRequestID)
	r := l.runs[name]
	if r == nil {
		r = &Run{Type: launch.Type}
		l.runs[name] = r
	}
	r.Workers = append(r.Workers, worker)
}

// Twice lists the events of a type that ran more than once, by the client's name of the event.
func (l *Ledger) Twice(eventType string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var twice []string
	for name, r := range l.runs {
		if r.Type == eventType && len(r.Workers) > 1 {
			twice = append(twice, name)
		}
	}
	return twice
}

// Runs is how many events of a type ran, and how many runs there were.
func (l *Ledger) Runs(eventType string) (events, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.Type == eventType {
			events++
			runs += len(r.Workers)
		}
	}
	return events, runs
}

// Group is the workers that drop each other's repeats of keyed events.
type Group struct {
	mu    sync.Mutex
	until map[string]time.Time
	sweep time.Time
}

// NewGroup makes a group without members; workers are given it.
func NewGroup() *Group { return &Group{until: map[string]time.Time{}} }

// repeat tells whether an event was begun inside its window already, and notes that it is begun.
func (g *Group) repeat(l *workerrpc.Attempt) bool {
	if l.IdempotencyKey == "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.After(g.sweep) {
		g.sweep = now.Add(time.Second)
		for key, until := range g.until {
			if now.After(until) {
				delete(g.until, key)
			}
		}
	}
	if now.Before(g.until[l.IdempotencyKey]) {
		return true
	}
	g.until[l.IdempotencyKey] = now.Add(l.IdempotencyWindow)
	return false
}
