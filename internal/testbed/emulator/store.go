package emulator

import (
	"sync"
	"time"
)

const (
	// maxFetchesPerCapacity is how many fetches at a time a store serves at all, for each that it serves at full speed.
	maxFetchesPerCapacity = 8
	// rejectionShare is the part of a fetch's time after which the store rejects it.
	rejectionShare = 10
)

// Store emulates the one store that all workers fetch from: under more load it slows, under still more it rejects
// fetches.
type Store struct {
	mu          sync.Mutex
	capacity    int // concurrent fetches at full speed
	active      int
	slowdown    float64
	unavailable bool
}

// NewStore makes a store of a capacity in concurrent fetches.
func NewStore(capacity int) *Store { return &Store{capacity: capacity, slowdown: 1} }

// SetSlowdown has every fetch take so many times longer.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetUnavailable has every fetch rejected, or no more.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// BeginFetch begins a fetch that would take base alone, and says how long it takes and whether it is rejected then.
// EndFetch ends it.
func (s *Store) BeginFetch(base time.Duration) (duration time.Duration, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	if s.unavailable || s.active > maxFetchesPerCapacity*s.capacity {
		return base / rejectionShare, true
	}
	crowding := max(1, float64(s.active)/float64(s.capacity))
	return time.Duration(float64(base) * s.slowdown * crowding), false
}

// EndFetch ends a fetch.
func (s *Store) EndFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
