package fetch

import "time"

const (
	// failureBackoff is the time for which a peer gets no requests after its first failure. It doubles with each
	// consecutive failure.
	failureBackoff = 200 * time.Millisecond

	// corruptionBackoff is the time for which a peer gets no requests after its first corrupt chunk. It doubles with each
	// further corrupt chunk.
	corruptionBackoff = 10 * time.Second

	// maxBackoffDoublings limits the doublings of both backoffs. As the first failure doubles nothing, failureBackoff is
	// doubled at most maxBackoffDoublings-1 times.
	maxBackoffDoublings = 8

	// maxCorruptChunks is the number of corrupt chunks after which a peer gets no requests any more.
	maxCorruptChunks = 3
)

// PeerHealth tracks failures and corrupt chunks of peers. A peer that fails or sends corrupt chunks gets no requests
// for a backoff that grows each time.
type PeerHealth struct {
	byName map[string]*peerState
}

type peerState struct {
	corruptChunks int
	failures      int // consecutive failures
	avoidUntil    time.Duration
}

// NewPeerHealth returns a PeerHealth without any records, for which all peers are usable.
func NewPeerHealth() *PeerHealth { return &PeerHealth{byName: map[string]*peerState{}} }

// Record records a peer's response. A response other than Failed and Corrupt resets the peer's failures. The count of
// corrupt chunks is never reset.
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

// Usable reports whether a peer may be sent requests.
func (h *PeerHealth) Usable(now time.Duration, peer string) bool {
	state := h.byName[peer]
	return state == nil || state.corruptChunks < maxCorruptChunks && now >= state.avoidUntil
}

// Prune removes the records of peers that are not listed. It keeps those of peers that sent corrupt chunks.
func (h *PeerHealth) Prune(listed func(name string) bool) {
	for name, state := range h.byName {
		if state.corruptChunks == 0 && !listed(name) {
			delete(h.byName, name)
		}
	}
}
