// Package fetch decides how a worker gets a chunk: whom to ask, when to wait for another worker, when to go to the
// artifact store and when to give up; what it sends to other workers; and how hard it may press the store. It does no
// I/O, reads no clock and starts no goroutine.
//
// There is no map of which worker has which chunk. The names of the listed workers are ordered for each chunk by a hash
// (rendezvous hashing); the first few of that order are the chunk's homes. The first home that lives goes to the store,
// all others ask the homes and are referred to workers that have the chunk. Workers whose endpoint lists differ have
// different orders: that costs fetches, never progress.
package fetch

import (
	"slices"
	"time"
)

// Shares of a search's timeout.
const (
	// transferShare is what sending a chunk may take.
	transferShare = 1.0 / 8

	// homeWaitShare is how long one home is waited for while it fetches the chunk; then it replies Pending or is late.
	homeWaitShare = 1.0 / 32

	// hedgeDelayShare is how much longer than that an answer may take before another peer is asked as well.
	hedgeDelayShare = 1.0 / 64

	// storeFallbackShare is after how long a worker goes to the store although a home is fetching the chunk.
	storeFallbackShare = 1.0 / 2

	// roundPauseShare is the pause after the first round, which doubles with each round up to maxRoundPauseShare.
	roundPauseShare    = 1.0 / 64
	maxRoundPauseShare = 1.0 / 8
)

const (
	// maxPendingReplies is how often one home may reply Pending or Busy in a round before it is passed over.
	maxPendingReplies = 8

	// maxReachDoublings and maxPauseDoublings bound shifts by the round's number.
	maxReachDoublings = 16
	maxPauseDoublings = 10
)

// Action is what a search has its worker do.
type Action int

// The actions.
const (
	Pause          Action = iota // call Next again after Step.Wait, or when a response is recorded
	FetchFromPeer                // ask Step.Peer
	FetchFromStore               // ask the store
	Abandon                      // give up: the timeout has passed
)

// Step is what a search has its worker do now.
type Step struct {
	Action          Action
	Peer            string
	CachedOnly      bool          // the peer is not to fetch the chunk
	Wait            time.Duration // of a pause, or for a peer that fetches the chunk
	TransferTimeout time.Duration // after Wait, until the chunk has to be here
}

// Search is a worker's search for one chunk. It asks in rounds: replicas it was referred to, homes, with each round
// more of the others, and the store.
type Search struct {
	order          []string // of the chunk, without this worker
	homeCount      int      // how many of order are homes
	selfIndex      int      // this worker's place among the homes; -1: it is none
	startedAt      time.Duration
	timeout        time.Duration
	resumeAt       time.Duration
	replicas       []string      // workers that have the chunk, as others say
	storeNotBefore time.Duration // the store is not asked before

	// of this round:
	round          int
	tried          map[string]bool
	pendingReplies map[string]int // Pending and Busy replies of a peer
	anyPending     bool           // a peer has replied Pending or Busy
	storeTried     bool
}

// NewSearch begins a search. order is the chunk's order of all listed workers, timeout how long the search may take.
func NewSearch(self string, order []string, now, timeout time.Duration) *Search {
	s := &Search{
		selfIndex:      slices.Index(order, self),
		homeCount:      min(Homes, len(order)),
		startedAt:      now,
		timeout:        timeout,
		tried:          map[string]bool{},
		pendingReplies: map[string]int{},
	}
	if s.selfIndex >= Homes {
		s.selfIndex = -1
	}
	if s.selfIndex >= 0 {
		s.homeCount--
	}
	s.order = slices.DeleteFunc(slices.Clone(order), func(name string) bool { return name == self })
	return s
}

// Next decides what to do now. usable tells whether a peer may be asked at all; jitter, between 0 and 1, spreads
// pauses.
func (s *Search) Next(now time.Duration, usable func(peer string) bool, jitter float64) Step {
	passed := now - s.startedAt
	if passed >= s.timeout {
		return Step{Action: Abandon}
	}
	if now < s.resumeAt {
		return Step{Action: Pause, Wait: s.resumeAt - now}
	}
	if step, ok := s.nextPeer(s.order[:s.reach()], usable); ok {
		return step
	}
	storeAllowed := !s.anyPending || passed >= s.share(storeFallbackShare)
	if storeAllowed && !s.storeTried && now >= s.storeNotBefore {
		return Step{Action: FetchFromStore}
	}
	s.endRound(now, jitter)
	return Step{Action: Pause, Wait: s.resumeAt - now}
}

// reach is how many peers of the order are asked in this round: the homes at first, in the end all.
func (s *Search) reach() int {
	if s.homeCount == 0 {
		return min(len(s.order), s.round)
	}
	return min(len(s.order), s.homeCount<<min(s.round, maxReachDoublings))
}

// nextPeer is the first peer that was not asked in this round: of the replicas, then of the given ones.
func (s *Search) nextPeer(peers []string, usable func(peer string) bool) (Step, bool) {
	for _, peer := range s.replicas {
		if !s.tried[peer] && usable(peer) {
			return s.fetchFromPeer(peer, true), true
		}
	}
	for i, peer := range peers {
		if !s.tried[peer] && usable(peer) {
			// only homes before this worker fetch the chunk for it
			return s.fetchFromPeer(peer, i >= s.homeCount || s.selfIndex >= 0 && i >= s.selfIndex), true
		}
	}
	return Step{}, false
}

func (s *Search) fetchFromPeer(peer string, cachedOnly bool) Step {
	return Step{Action: FetchFromPeer, Peer: peer, CachedOnly: cachedOnly, Wait: s.homeWait(),
		TransferTimeout: s.share(transferShare)}
}

// endRound begins a new round after a pause.
func (s *Search) endRound(now time.Duration, jitter float64) {
	s.round++
	clear(s.tried)
	clear(s.pendingReplies)
	s.storeTried = false
	s.anyPending = false
	pause := min(s.share(roundPauseShare)<<min(s.round, maxPauseDoublings), s.share(maxRoundPauseShare))
	s.resumeAt = now + max(1, fraction(pause, 0.5+0.5*jitter))
}

// Hedge decides whom to ask besides a peer that was asked at sentAt and has not answered, if it is time for that; if
// not, after says when to see again. The store is never a hedge. The late peer counts as tried in this round.
func (s *Search) Hedge(now time.Duration, late Step, sentAt time.Duration, usable func(peer string) bool,
) (step Step, ok bool, after time.Duration) {
	due := sentAt + s.share(hedgeDelayShare)
	if !late.CachedOnly { // it may be fetching the chunk, and says so when its time to wait is over
		due += late.Wait
	}
	if now < due {
		return Step{}, false, due - now
	}
	s.tried[late.Peer] = true
	if step, ok := s.nextPeer(s.order, usable); ok {
		return step, true, 0
	}
	return Step{}, false, s.timeout // no peer is left
}

// RecordPeerResponse notes how a peer responded: which replicas it named, and after how long it may be asked again.
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

// recordPending waits for a peer that will have the chunk or capacity, unless another one can be asked meanwhile.
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

// RecordStoreFailure notes that the store did not deliver the chunk, and after how long it may be asked again.
func (s *Search) RecordStoreFailure(now, retryAfter time.Duration) {
	s.storeTried = true
	s.storeNotBefore = now + retryAfter
}

// homeWait is how long one home is waited for.
func (s *Search) homeWait() time.Duration { return max(1, s.share(homeWaitShare)) }

// share is a part of the search's timeout.
func (s *Search) share(part float64) time.Duration { return fraction(s.timeout, part) }

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
