// Package fetch decides how a worker gets a chunk: whom to ask, when to wait for another one, when to go to the store and
// when to give up; what it gives to others; and how hard it may press the store. It is asked and it answers; it does no
// I/O, reads no clock and starts nothing.
//
// There is no map of who holds what. The names of the listed workers are ordered for each chunk by a hash; the first few
// of that order are the chunk's homes. The first home that lives goes to the store, everybody else asks homes and is told
// who else holds the chunk. Workers that disagree about the list have different orders: that costs fetches, never progress.
package fetch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Homes is how many workers of a chunk's order are its homes.
const Homes = 3

// Ratios of the time that a want has.
// Ratios of the time that a want has.
const (
	transferShare      = 0.125    // that sending a chunk may take
	homeWaitShare      = 1.0 / 32 // that one home is given to fetch a chunk while it is waited for; then it promises, or is late
	hedgeDelayShare    = 1.0 / 64 // that an answer may take besides; then another peer is asked as well
	storeFallbackShare = 0.5      // after which a worker goes to the store though a home has promised to
	roundPauseShare    = 1.0 / 64
	maxRoundPauseShare = 0.125
	maxPendingReplies  = 8 // promises of one home in a round
	maxReplicas        = 8 // holders that are remembered
)

// RendezvousOrder is the names in a chunk's order, best first.
func RendezvousOrder(chunk []byte, names []string) []string {
	type at struct {
		name string
		hash uint64
	}
	all := make([]at, 0, len(names))
	for _, n := range names {
		h := xxhash.New()
		_, _ = h.Write(chunk) // never fails
		_, _ = h.WriteString(n)
		all = append(all, at{n, h.Sum64()})
	}
	slices.SortFunc(all, func(a, b at) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) })
	out := make([]string, len(all))
	for i, x := range all {
		out[i] = x.name
	}
	return out
}

// Action is what a want has its worker do.
type Action int

// The things to do.
const (
	Pause         Action = iota // ask again after Wait, or when something is heard
	FetchFromPeer               // ask Peer and wait for Wait at most
	FetchFromStore
	Abandon
)

// Step is what is to be done now.
type Step struct {
	Action          Action
	Peer            string
	CachedOnly      bool // ask only whether it holds the chunk: it is not to fetch it
	Wait            time.Duration
	TransferTimeout time.Duration // after Wait, until the chunk has to be here
}

// PeerResponse is what a peer says to a request for a chunk.
type PeerResponse int

// What peers say. Gave ends a want.
const (
	Delivered PeerResponse = iota
	Missing                // it does not hold the chunk and is not going to
	Pending                // it is fetching it
	Busy                   // it holds it, but gives as much as it may
	Failed                 // no answer in time, or none at all
	Corrupt                // it gave something else
)

// Search is a worker's search for one chunk.
type Search struct {
	order          []string // of the chunk, without this worker
	homeCount      int      // of order
	selfIndex      int      // this worker's place among the homes; -1: it is none
	startedAt      time.Duration
	timeout        time.Duration
	resumeAt       time.Duration
	round          int
	tried          map[string]bool // in this round
	pendingReplies map[string]int  // how often a peer has said that it is coming, in this round
	replicas       []string        // who hold it, as others say
	storeNotBefore time.Duration   // not asked before
	storeTried     bool            // the store, in this round
	anyPending     bool            // someone has promised, in this round
}

// NewSearch begins a search; order is the chunk's order of all listed workers, patience how long it may take.
func NewSearch(self string, order []string, now, patience time.Duration) *Search {
	w := &Search{selfIndex: slices.Index(order, self), startedAt: now, timeout: patience, tried: map[string]bool{}, pendingReplies: map[string]int{}}
	if w.selfIndex >= Homes {
		w.selfIndex = -1
	}
	w.homeCount = min(Homes, len(order))
	if w.selfIndex >= 0 {
		w.homeCount--
	}
	w.order = slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == self })
	return w
}

// Next says what to do now. trusted tells whether a peer may be asked at all; chance is between 0 and 1 and spreads pauses.
func (w *Search) Next(now time.Duration, trusted func(peer string) bool, chance float64) Step {
	passed := now - w.startedAt
	if passed >= w.timeout {
		return Step{Action: Abandon}
	}
	if now < w.resumeAt {
		return Step{Action: Pause, Wait: w.resumeAt - now}
	}
	for _, p := range w.replicas {
		if !w.tried[p] && trusted(p) {
			return Step{Action: FetchFromPeer, Peer: p, CachedOnly: true, Wait: w.homeWait(), TransferTimeout: fraction(w.timeout, transferShare)}
		}
	}
	reach := min(len(w.order), w.homeCount<<min(w.round, 16)) // round by round, all are asked
	if w.homeCount == 0 {
		reach = min(len(w.order), w.round)
	}
	for i, p := range w.order[:reach] {
		if !w.tried[p] && trusted(p) {
			// homes before this worker fetch it; of all others it is only asked whether they hold it
			held := i >= w.homeCount || w.selfIndex >= 0 && i >= w.selfIndex
			return Step{Action: FetchFromPeer, Peer: p, CachedOnly: held, Wait: w.homeWait(), TransferTimeout: fraction(w.timeout, transferShare)}
		}
	}
	own := !w.anyPending || passed >= fraction(w.timeout, storeFallbackShare)
	if own && !w.storeTried && now >= w.storeNotBefore {
		return Step{Action: FetchFromStore}
	}
	// the round is over
	w.round++
	clear(w.tried)
	clear(w.pendingReplies)
	w.storeTried, w.anyPending = false, false
	pause := min(fraction(w.timeout, roundPauseShare)<<min(w.round, 10), fraction(w.timeout, maxRoundPauseShare))
	w.resumeAt = now + max(1, fraction(pause, 0.5+0.5*chance))
	return Step{Action: Pause, Wait: w.resumeAt - now}
}

// Hedge says whom to ask besides a peer that was asked at since and has not answered, if it is time for that; if not, when it
// will be. The store is never asked besides a peer. The peer that is late counts as asked in this round.
func (w *Search) Hedge(now time.Duration, late Step, since time.Duration, trusted func(peer string) bool) (s Step, ok bool, after time.Duration) {
	due := since + fraction(w.timeout, hedgeDelayShare)
	if !late.CachedOnly { // it may be fetching, and says so when its time to wait is up
		due += late.Wait
	}
	if now < due {
		return s, false, due - now
	}
	w.tried[late.Peer] = true
	for _, p := range w.replicas {
		if !w.tried[p] && trusted(p) {
			return Step{Action: FetchFromPeer, Peer: p, CachedOnly: true, Wait: w.homeWait(), TransferTimeout: fraction(w.timeout, transferShare)}, true, 0
		}
	}
	for i, p := range w.order {
		if !w.tried[p] && trusted(p) {
			return Step{Action: FetchFromPeer, Peer: p, CachedOnly: i >= w.homeCount || w.selfIndex >= 0 && i >= w.selfIndex, Wait: w.homeWait(), TransferTimeout: fraction(w.timeout, transferShare)}, true, 0
		}
	}
	return s, false, w.timeout // nobody is left
}

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func (w *Search) homeWait() time.Duration { return max(1, fraction(w.timeout, homeWaitShare)) }

// RecordPeerResponse notes what a peer said: who else holds the chunk, and after how long it may be asked again.
func (w *Search) RecordPeerResponse(now time.Duration, peer string, said PeerResponse, holders []string, after time.Duration) {
	for _, h := range holders {
		if len(w.replicas) < maxReplicas && !slices.Contains(w.replicas, h) && slices.Contains(w.order, h) {
			w.replicas = append(w.replicas, h)
		}
	}
	switch said {
	case Pending, Busy:
		w.anyPending = true
		if w.pendingReplies[peer]++; w.pendingReplies[peer] >= maxPendingReplies {
			w.tried[peer] = true // its promises are worth nothing in this round
			return
		}
		for _, h := range w.replicas {
			if !w.tried[h] && h != peer {
				return // another one is asked meanwhile
			}
		}
		w.resumeAt = now + min(max(after, 1), w.homeWait())
	case Missing, Failed, Corrupt:
		w.tried[peer] = true
		if said != Missing {
			w.replicas = slices.DeleteFunc(w.replicas, func(h string) bool { return h == peer })
		}
	}
}

// RecordStoreFailure notes that the store did not give the chunk, and for how long it wants to be left alone.
func (w *Search) RecordStoreFailure(now, after time.Duration) {
	w.storeTried = true
	w.storeNotBefore = now + after
}
