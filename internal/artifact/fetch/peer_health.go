package fetch

import "time"

const (
	// failureBackoff is how long a peer is left alone after a first failure; it doubles with each that follows.
	failureBackoff = 200 * time.Millisecond

	// corruptionBackoff is how long a peer is left alone after a first corrupt chunk; it doubles with each that follows.
	corruptionBackoff = 10 * time.Second

	// maxBackoffDoublings bounds both backoffs.
	maxBackoffDoublings = 8

	// maxCorruptChunks is after how many corrupt chunks a peer is never asked again.
	maxCorruptChunks = 3
)

// PeerHealth remembers how peers responded: one that fails or sends corrupt chunks is left alone, longer each time.
type PeerHealth struct {
	byName map[string]*peerState
}

type peerState struct {
	corruptChunks int
	failures      int // since another response came
	avoidUntil    time.Duration
}

// NewPeerHealth returns a PeerHealth that has heard of no peer.
func NewPeerHealth() *PeerHealth { return &PeerHealth{byName: map[string]*peerState{}} }

// Record notes a peer's response. Any response resets its failures; nothing resets its corrupt chunks.
func (h *PeerHealth) Record(now time.Duration, peer string, response PeerResponse) {
	state := h.byName[peer]
	if state == nil {
		state = &peerState{}
		h.byName[peer] = state
	}
	switch response {
	case Failed:
		state.failures = min(maxBackoffDoublings, state.failures+1)
		state.avoidUntil = max(state.avoidUntil, now+failureBackoff<<(state.failures-1))
	case Corrupt:
		state.corruptChunks++
		doublings := min(state.corruptChunks-1, maxBackoffDoublings)
		state.avoidUntil = max(state.avoidUntil, now+corruptionBackoff<<doublings)
	default:
		state.failures = 0
	}
}

// Usable tells whether a peer may be asked.
func (h *PeerHealth) Usable(now time.Duration, peer string) bool {
	state := h.byName[peer]
	return state == nil || state.corruptChunks < maxCorruptChunks && now >= state.avoidUntil
}

// Prune forgets peers that are not listed, except those that sent a corrupt chunk.
func (h *PeerHealth) Prune(listed func(name string) bool) {
	for name, state := range h.byName {
		if state.corruptChunks == 0 && !listed(name) {
			delete(h.byName, name)
		}
	}
}
