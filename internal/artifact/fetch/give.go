package fetch

import (
	"slices"
	"time"
)

// ResponseFor decides what a worker says to a request for a chunk that it may hold. home says that it is among the chunk's homes
// by its own list; it then fetches the chunk, unless only what it holds is asked for.
func ResponseFor(holds, home, held bool) PeerResponse {
	switch {
	case holds:
		return Delivered
	case home && !held:
		return Pending
	}
	return Missing
}

// ReplicaTracker remembers to whom a chunk was given lately, a few for each chunk, so that others can be sent there.
type ReplicaTracker struct {
	byChunk     map[string][]string
	oldestFirst []string // chunks, oldest first
	maxChunks   int
}

// NewReplicaTracker remembers at most so many chunks.
func NewReplicaTracker(most int) *ReplicaTracker {
	return &ReplicaTracker{byChunk: map[string][]string{}, maxChunks: max(1, most)}
}

// Add notes that a worker was given a chunk.
func (h *ReplicaTracker) Add(chunk, to string) {
	have, known := h.byChunk[chunk]
	if !known {
		if len(h.oldestFirst) >= h.maxChunks {
			delete(h.byChunk, h.oldestFirst[0])
			h.oldestFirst = h.oldestFirst[1:]
		}
		h.oldestFirst = append(h.oldestFirst, chunk)
	}
	if to == "" || slices.Contains(have, to) {
		return
	}
	if len(have) >= maxReplicas {
		have = have[1:]
	}
	h.byChunk[chunk] = append(have, to)
}

// Replicas names those that were given a chunk, the last first, without the one that asks.
func (h *ReplicaTracker) Replicas(chunk, asker string) []string {
	var all []string
	for _, n := range slices.Backward(h.byChunk[chunk]) {
		if n != asker {
			all = append(all, n)
		}
	}
	return all
}

// UploadLimiter bounds what a worker gives to others: a part of what its network can carry, less while its own events run.
type UploadLimiter struct {
	rate       float64 // bytes a second at most
	slots      int     // at a time
	inFlight   int
	tokens     float64
	refilledAt time.Duration
}

const (
	busyRateShare = 0.5  // of the rate that is left to others while all of the worker's lanes are busy
	burstSeconds  = 0.25 // seconds of the rate that may go at once
	minBurstBytes = MaxUploadSize
)

// MaxUploadSize is the largest chunk that Uploads counts with.
const MaxUploadSize = 1 << 18

// NewUploadLimiter bounds uploads to part of a network of capacity bytes a second, and to so many at a time.
func NewUploadLimiter(capacity, part float64, slots int) *UploadLimiter {
	u := &UploadLimiter{rate: max(1, capacity*part), slots: max(1, slots)}
	u.tokens = u.burstBytes()
	return u
}

func (u *UploadLimiter) burstBytes() float64 { return max(minBurstBytes, u.rate*burstSeconds) }

// Acquire asks to give size bytes while busy of the worker's lanes run, between 0 and 1. If not, it says when to come back.
func (u *UploadLimiter) Acquire(now time.Duration, size int, busy float64) (ok bool, after time.Duration) {
	rate := u.rate * (1 - (1-busyRateShare)*min(1, max(0, busy)))
	u.tokens = min(u.burstBytes(), u.tokens+rate*max(0, (now-u.refilledAt).Seconds()))
	u.refilledAt = now
	need := min(float64(size), minBurstBytes)
	if u.inFlight >= u.slots || u.tokens < need {
		return false, max(time.Millisecond, time.Microsecond+time.Duration(max(0, need-u.tokens)/rate*float64(time.Second)))
	}
	u.tokens -= need
	u.inFlight++
	return true, 0
}

// Release tells that an upload is over.
func (u *UploadLimiter) Release() { u.inFlight = max(0, u.inFlight-1) }

// PeerHealth remembers how peers behaved: one that lies or fails is left alone, longer each time.
type PeerHealth struct {
	byName map[string]*peerState
}

type peerState struct {
	corruptChunks int
	failures      int
	avoidUntil    time.Duration
}

const (
	failureBackoff      = 200 * time.Millisecond // after a first failure; doubled each time
	corruptionBackoff   = 10 * time.Second       // after a first corrupt chunk
	maxBackoffDoublings = 8                      // doublings
	maxCorruptChunks    = 3                      // corrupt chunks; after them a peer is never asked again
)

// NewPeerHealth knows nobody.
func NewPeerHealth() *PeerHealth { return &PeerHealth{byName: map[string]*peerState{}} }

// Record notes what a peer said. Any answer ends its failures; nothing makes up for a corrupt chunk.
func (p *PeerHealth) Record(now time.Duration, peer string, said PeerResponse) {
	s := p.byName[peer]
	if s == nil {
		s = &peerState{}
		p.byName[peer] = s
	}
	switch said {
	case Failed:
		s.failures = min(maxBackoffDoublings, s.failures+1)
		s.avoidUntil = max(s.avoidUntil, now+failureBackoff<<(s.failures-1))
	case Corrupt:
		s.corruptChunks++
		s.avoidUntil = max(s.avoidUntil, now+corruptionBackoff<<min(s.corruptChunks-1, maxBackoffDoublings))
	default:
		s.failures = 0
	}
}

// Usable tells whether a peer may be asked.
func (p *PeerHealth) Usable(now time.Duration, peer string) bool {
	s := p.byName[peer]
	return s == nil || s.corruptChunks < maxCorruptChunks && now >= s.avoidUntil
}

// Prune forgets all peers but the listed ones, and none that has lied.
func (p *PeerHealth) Prune(listed func(name string) bool) {
	for n, s := range p.byName {
		if s.corruptChunks == 0 && !listed(n) {
			delete(p.byName, n)
		}
	}
}
