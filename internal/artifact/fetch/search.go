// Package fetch decides how a worker fetches a chunk: which workers to ask, when to wait for one of them, when to ask
// the artifact store and when to abandon the search. It also decides how a worker responds to other workers, and limits
// its uploads and its requests to the store. It does no I/O, reads no clock and starts no goroutine.
//
// There is no directory of the workers that have a chunk. Instead, each chunk has an order of the listed workers by a
// hash (rendezvous hashing), and the first workers of that order are the chunk's homes. The first live home fetches the
// chunk from the store. All other workers ask the homes, which refer them to workers that have the chunk. Workers with
// different endpoint lists compute different orders, which costs additional fetches but does not prevent progress.
package fetch

import (
	"slices"
	"time"
)

// Durations of a search as fractions of its timeout.
const (
	// transferShare: sending a chunk may take up to timeout * transferShare.
	transferShare = 1.0 / 8

	// homeWaitShare: a home that is fetching the chunk must reply within timeout * homeWaitShare, with the chunk or with
	// Pending.
	homeWaitShare = 1.0 / 32

	// hedgeDelayShare: if a peer has not answered within timeout * hedgeDelayShare, plus Step.Wait if it may fetch the
	// chunk, another peer is asked as well.
	hedgeDelayShare = 1.0 / 64

	// storeFallbackShare: after timeout * storeFallbackShare, a worker asks the store although a home is fetching the
	// chunk.
	storeFallbackShare = 1.0 / 2

	// roundPauseShare and maxRoundPauseShare: the pause after round n, counted from 1, is timeout * roundPauseShare * 2^n
	// and at most timeout * maxRoundPauseShare. Jitter shortens it by up to half.
	roundPauseShare    = 1.0 / 64
	maxRoundPauseShare = 1.0 / 8
)

const (
	// maxPendingReplies is the number of Pending or Busy replies after which a peer is not asked again in the same round.
	maxPendingReplies = 8

	// maxPeerDoublings and maxPauseDoublings limit the shifts by the round number, so that they do not overflow.
	maxPeerDoublings  = 16
	maxPauseDoublings = 10
)

// Action is the kind of a Step.
type Action int

// The actions of a step.
const (
	Pause          Action = iota // call Next again after Step.Wait, or when a response is recorded
	FetchFromPeer                // request the chunk from Step.Peer
	FetchFromStore               // request the chunk from the store
	Abandon                      // end the search: its timeout has passed
)

// Step is the next step of a search, which the worker must execute.
type Step struct {
	Action          Action
	Peer            string        // peer to ask, for FetchFromPeer
	CachedOnly      bool          // the peer must not fetch the chunk for this request
	Wait            time.Duration // length of the pause, or the time that the peer has to fetch the chunk
	TransferTimeout time.Duration // time that the transfer may take after Wait
}

// Search is a worker's search for one chunk. In each round it asks the replicas (the workers that are known to have the
// chunk), then the homes and, with each round, more of the other workers, and finally the store.
type Search struct {
	order          []string // rendezvous order of the chunk, without this worker
	homeCount      int      // number of homes at the start of order
	selfIndex      int      // index of this worker among the homes; -1: it is not a home
	startedAt      time.Duration
	timeout        time.Duration
	resumeAt       time.Duration // end of the current pause
	replicas       []string      // workers that have the chunk according to other workers
	storeNotBefore time.Duration // earliest time of the next request to the store

	round int // number of completed rounds

	// State of the current round:
	tried          map[string]bool // peers that are not asked again
	pendingReplies map[string]int  // number of Pending and Busy replies of each peer
	anyPending     bool            // a peer has replied Pending or Busy
	storeTried     bool
}

// NewSearch starts a search by the worker self. order is the chunk's rendezvous order of all listed workers. The search
// is abandoned after timeout.
func NewSearch(self string, order []string, now, timeout time.Duration) *Search {
	s := &Search{
		selfIndex:      slices.Index(order, self),
		homeCount:      min(HomesPerChunk, len(order)),
		startedAt:      now,
		timeout:        timeout,
		tried:          map[string]bool{},
		pendingReplies: map[string]int{},
	}
	if s.selfIndex >= HomesPerChunk {
		s.selfIndex = -1
	}
	if s.selfIndex >= 0 {
		s.homeCount--
	}
	s.order = slices.DeleteFunc(slices.Clone(order), func(name string) bool { return name == self })
	return s
}

// Next returns the next step of the search. usable reports whether a peer may be sent requests. jitter, between 0 and
// 1, randomizes the pauses.
func (s *Search) Next(now time.Duration, usable func(peer string) bool, jitter float64) Step {
	elapsed := now - s.startedAt
	if elapsed >= s.timeout {
		return Step{Action: Abandon}
	}
	if now < s.resumeAt {
		return Step{Action: Pause, Wait: s.resumeAt - now}
	}
	if step, ok := s.nextPeer(s.order[:s.peersInRound()], usable); ok {
		return step
	}
	storeAllowed := !s.anyPending || elapsed >= s.shareOfTimeout(storeFallbackShare)
	if storeAllowed && !s.storeTried && now >= s.storeNotBefore {
		return Step{Action: FetchFromStore}
	}
	s.endRound(now, jitter)
	return Step{Action: Pause, Wait: s.resumeAt - now}
}

// peersInRound returns how many peers, from the start of the order, may be asked in this round: only the homes in the
// first round, then twice as many in each round, up to all. If this worker is the only home, each round adds one peer.
func (s *Search) peersInRound() int {
	if s.homeCount == 0 {
		return min(len(s.order), s.round)
	}
	return min(len(s.order), s.homeCount<<min(s.round, maxPeerDoublings))
}

// nextPeer returns a request to the first usable peer that was not yet tried in this round. It considers the replicas
// first, then the given peers.
func (s *Search) nextPeer(peers []string, usable func(peer string) bool) (Step, bool) {
	for _, peer := range s.replicas {
		if !s.tried[peer] && usable(peer) {
			return s.fetchFromPeer(peer, true), true
		}
	}
	for i, peer := range peers {
		if !s.tried[peer] && usable(peer) {
			// Only homes that precede this worker in the order may fetch the chunk for it.
			return s.fetchFromPeer(peer, i >= s.homeCount || s.selfIndex >= 0 && i >= s.selfIndex), true
		}
	}
	return Step{}, false
}

func (s *Search) fetchFromPeer(peer string, cachedOnly bool) Step {
	return Step{Action: FetchFromPeer, Peer: peer, CachedOnly: cachedOnly, Wait: s.homeWait(),
		TransferTimeout: s.shareOfTimeout(transferShare)}
}

// endRound ends the current round. The next one starts after a pause.
func (s *Search) endRound(now time.Duration, jitter float64) {
	s.round++
	clear(s.tried)
	clear(s.pendingReplies)
	s.storeTried = false
	s.anyPending = false
	pause := min(s.shareOfTimeout(roundPauseShare)<<min(s.round, maxPauseDoublings), s.shareOfTimeout(maxRoundPauseShare))
	s.resumeAt = now + max(1, fraction(pause, 0.5+0.5*jitter))
}

// Hedge returns a hedged request if a peer has not answered a request that was sent at sentAt and is overdue. Otherwise
// ok is false, and Hedge must be called again after the duration after. Hedged requests go to peers only, never to the
// store. The slow peer counts as tried in this round.
func (s *Search) Hedge(now time.Duration, slow Step, sentAt time.Duration, usable func(peer string) bool,
) (step Step, ok bool, after time.Duration) {
	due := sentAt + s.shareOfTimeout(hedgeDelayShare)
	if !slow.CachedOnly { // the peer may be fetching the chunk; it replies Pending when Wait has passed
		due += slow.Wait
	}
	if now < due {
		return Step{}, false, due - now
	}
	s.tried[slow.Peer] = true
	if step, ok := s.nextPeer(s.order, usable); ok {
		return step, true, 0
	}
	return Step{}, false, s.timeout // no peer is left
}

// RecordPeerResponse records a peer's response, the replicas of the chunk that it listed, and the time after which it
// may be asked again.
func (s *Search) RecordPeerResponse(now time.Duration, peer string, response PeerResponse, replicas []string,
	retryAfter time.Duration,
) {
	for _, replica := range replicas {
		known := slices.Contains(s.replicas, replica)
		if !known && len(s.replicas) < maxReplicas && slices.Contains(s.order, replica) {
			s.replicas = append(s.replicas, replica)
		}
	}
	switch response {
	case Pending, Busy:
		s.recordPending(now, peer, retryAfter)
	case Missing:
		s.tried[peer] = true
	case Failed, Corrupt:
		s.tried[peer] = true
		s.replicas = slices.DeleteFunc(s.replicas, func(name string) bool { return name == peer })
	}
}

// recordPending records a Pending or Busy reply. After maxPendingReplies of them the peer counts as tried in this
// round. Before that, the search pauses until the peer may be asked again, for at most homeWait, unless an untried
// replica can be asked meanwhile.
func (s *Search) recordPending(now time.Duration, peer string, retryAfter time.Duration) {
	s.anyPending = true
	s.pendingReplies[peer]++
	if s.pendingReplies[peer] >= maxPendingReplies {
		s.tried[peer] = true
		return
	}
	for _, replica := range s.replicas {
		if !s.tried[replica] && replica != peer {
			return
		}
	}
	s.resumeAt = now + min(max(retryAfter, 1), s.homeWait())
}

// RecordStoreFailure records that the store did not deliver the chunk, and the time after which it may be asked again.
func (s *Search) RecordStoreFailure(now, retryAfter time.Duration) {
	s.storeTried = true
	s.storeNotBefore = now + retryAfter
}

// homeWait returns the time within which a home that is fetching the chunk must reply.
func (s *Search) homeWait() time.Duration { return max(1, s.shareOfTimeout(homeWaitShare)) }

// shareOfTimeout returns timeout * share.
func (s *Search) shareOfTimeout(share float64) time.Duration { return fraction(s.timeout, share) }

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
