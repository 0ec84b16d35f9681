package emulator

import (
	"strings"
	"sync"
	"time"

	"lupinpond/internal/workerrpc"
)

// Store imitates the one store that all workers fetch from: crowded, it slows; more crowded, it turns fetches away.
type Store struct {
	mu          sync.Mutex
	capacity    int // fetches at full speed
	maxFetches  int // fetches at all
	active      int
	slowdown    float64
	rejected    int
	unavailable bool
}

// NewStore makes a store of a capacity in fetches at a time.
func NewStore(capacity int) *Store {
	return &Store{capacity: capacity, maxFetches: 8 * capacity, slowdown: 1}
}

// SetSlowdown has every fetch take so many times longer.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetUnavailable has every fetch turned away, or no more.
func (s *Store) SetUnavailable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = on
}

// BeginFetch begins a fetch that would take base alone; Fetched ends it.
func (s *Store) BeginFetch(base time.Duration) (took time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	if s.unavailable || s.active > s.maxFetches {
		s.rejected++
		return base / 10, true
	}
	return time.Duration(float64(base) * s.slowdown * max(1, float64(s.active)/float64(s.capacity))), false
}

// EndFetch ends a fetch.
func (s *Store) EndFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// ExecutionLog keeps what ran at workers.
type ExecutionLog struct {
	mu         sync.Mutex
	executions map[string]*Execution
}

// Execution is how often one event ran.
type Execution struct {
	Type    string
	Workers []string
}

// NewExecutionLog makes an empty ledger.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{executions: map[string]*Execution{}} }

// LogicalID is the client's event behind the name of one of its tries, which ends in a full stop and a number.
func LogicalID(client string) string {
	if i := strings.LastIndexByte(client, '.'); i > 0 {
		return client[:i]
	}
	return client
}

func (l *ExecutionLog) record(launch *workerrpc.Attempt, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := LogicalID(launch.ClientRequestID)
	r := l.executions[name]
	if r == nil {
		r = &Execution{Type: launch.Type}
		l.executions[name] = r
	}
	r.Workers = append(r.Workers, worker)
}

// Duplicates lists the events of a type that ran more than once, by the client's name of the event.
func (l *ExecutionLog) Duplicates(eventType string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var twice []string
	for name, r := range l.executions {
		if r.Type == eventType && len(r.Workers) > 1 {
			twice = append(twice, name)
		}
	}
	return twice
}

// Runs is how many events of a type ran, and how many runs there were.
func (l *ExecutionLog) Runs(eventType string) (events, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.executions {
		if r.Type == eventType {
			events++
			runs += len(r.Workers)
		}
	}
	return events, runs
}

// DedupGroup is the workers that drop each other's repeats of keyed events.
type DedupGroup struct {
	mu        sync.Mutex
	until     map[string]time.Time
	nextSweep time.Time
}

// NewDedupGroup makes a group without members; workers are given it.
func NewDedupGroup() *DedupGroup { return &DedupGroup{until: map[string]time.Time{}} }

// duplicate tells whether an event was begun inside its window already, and notes that it is begun.
func (g *DedupGroup) duplicate(l *workerrpc.Attempt) bool {
	if l.IdempotencyKey == "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.After(g.nextSweep) {
		g.nextSweep = now.Add(time.Second)
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
