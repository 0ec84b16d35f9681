package artifactstore

import "lupinpond/internal/artifact/layer"

// Stats holds the counters of a store since it was opened. GET /v1/counts serves it.
type Stats struct {
	Served               int   `json:"served"`      // chunk fetches served
	Bytes                int64 `json:"bytes"`       // compressed bytes of the chunks served
	Rejected             int   `json:"turned-away"` // fetches rejected at capacity
	RejectedWhileStopped int   `json:"stopped"`     // fetches rejected while the store was stopped
	Stops                int   `json:"stops"`       // times that the store was stopped
	MaxFetchesPerChunk   int   `json:"most"`        // fetches of the most fetched chunk
	DistinctChunks       int   `json:"chunks"`      // chunks that were fetched at least once
}

// Stats returns the store's counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.counters
	stats.Stops, stats.DistinctChunks = s.admission.Stops(), len(s.fetchesByChunk)
	for _, fetches := range s.fetchesByChunk {
		stats.MaxFetchesPerChunk = max(stats.MaxFetchesPerChunk, fetches)
	}
	return stats
}

// countServed counts a chunk that is about to be sent. bytes is its compressed size.
func (s *Store) countServed(digest layer.Digest, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchesByChunk[digest]++
	s.counters.Served++
	s.counters.Bytes += int64(bytes)
}
