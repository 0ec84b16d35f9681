package emulator

import (
	"sync"
	"time"
)

const (
	// maxFetchesPerCapacity is the maximum number of concurrent fetches, as a multiple of the store's capacity.
	maxFetchesPerCapacity = 8
	// rejectionDivisor is the divisor for the time after which the store rejects a fetch: base / rejectionDivisor.
	rejectionDivisor = 10
)

// Store emulates the store from which all workers fetch functions. Above its capacity, fetches become slower; above
// maxFetchesPerCapacity times its capacity, it rejects them.
type Store struct {
	mu          sync.Mutex
	capacity    int // concurrent fetches at full speed
	active      int
	slowdown    float64
	unavailable bool
}

// NewStore returns a store; capacity is the number of concurrent fetches at full speed.
func NewStore(capacity int) *Store { return &Store{capacity: capacity, slowdown: 1} }

// SetSlowdown sets the factor by which the duration of each fetch is multiplied.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetUnavailable sets whether the store rejects all fetches.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// BeginFetch starts a fetch that takes base when the store isn't busy. It returns the duration of the fetch, and
// whether the store rejects it at the end of that time. The caller must call EndFetch then.
func (s *Store) BeginFetch(base time.Duration) (duration time.Duration, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	if s.unavailable || s.active > maxFetchesPerCapacity*s.capacity {
		return base / rejectionDivisor, true
	}
	contention := max(1, float64(s.active)/float64(s.capacity))
	return time.Duration(float64(base) * s.slowdown * contention), false
}

// EndFetch ends a fetch.
func (s *Store) EndFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
