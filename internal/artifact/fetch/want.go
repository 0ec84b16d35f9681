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
	sendShare  = 0.125    // that sending a chunk may take
	waitShare  = 1.0 / 32 // that one home is given to fetch a chunk while it is waited for; then it promises, or is late
	hedgeShare = 1.0 / 64 // that an answer may take besides; then another peer is asked as well
	ownShare   = 0.5      // after which a worker goes to the store though a home has promised to
	pauseShare = 1.0 / 64
	pauseMost  = 0.125
	mostComing = 8 // promises of one home in a round
	mostTold   = 8 // holders that are remembered
)

// Order is the names in a chunk's order, best first.
func Order(chunk []byte, names []string) []string {
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

// Do is what a want has its worker do.
type Do int

// The things to do.
const (
	Pause   Do = iota // ask again after Wait, or when something is heard
	AskPeer           // ask Peer and wait for Wait at most
	AskStore
	GiveUp
)

// Step is what is to be done now.
type Step struct {
	Do   Do
	Peer string
	Held bool // ask only whether it holds the chunk: it is not to fetch it
	Wait time.Duration
	Send time.Duration // after Wait, until the chunk has to be here
}

// Said is what a peer says to a request for a chunk.
type Said int

// What peers say. Gave ends a want.
const (
	Gave    Said = iota
	Missing      // it does not hold the chunk and is not going to
	Coming       // it is fetching it
	Busy         // it holds it, but gives as much as it may
	Failed       // no answer in time, or none at all
	Corrupt      // it gave something else
)

// Want is a worker's search for one chunk.
type Want struct {
	order    []string // of the chunk, without this worker
	homes    int      // of order
	self     int      // this worker's place among the homes; -1: it is none
	began    time.Duration
	patience time.Duration
	resume   time.Duration
	round    int
	tried    map[string]bool // in this round
	promised map[string]int  // how often a peer has said that it is coming, in this round
	told     []string        // who hold it, as others say
	store    time.Duration   // not asked before
	asked    bool            // the store, in this round
	anyone   bool            // someone has promised, in this round
}

// NewWant begins a search; order is the chunk's order of all listed workers, patience how long it may take.
func NewWant(self string, order []string, now, patience time.Duration) *Want {
	w := &Want{self: slices.Index(order, self), began: now, patience: patience, tried: map[string]bool{}, promised: map[string]int{}}
	if w.self >= Homes {
		w.self = -1
	}
	w.homes = min(Homes, len(order))
	if w.self >= 0 {
		w.homes--
	}
	w.order = slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == self })
	return w
}

// Next says what to do now. trusted tells whether a peer may be asked at all; chance is between 0 and 1 and spreads pauses.
func (w *Want) Next(now time.Duration, trusted func(peer string) bool, chance float64) Step {
	passed := now - w.began
	if passed >= w.patience {
		return Step{Do: GiveUp}
	}
	if now < w.resume {
		return Step{Do: Pause, Wait: w.resume - now}
	}
	for _, p := range w.told {
		if !w.tried[p] && trusted(p) {
			return Step{Do: AskPeer, Peer: p, Held: true, Wait: w.wait(), Send: share(w.patience, sendShare)}
		}
	}
	reach := min(len(w.order), w.homes<<min(w.round, 16)) // round by round, all are asked
	if w.homes == 0 {
		reach = min(len(w.order), w.round)
	}
	for i, p := range w.order[:reach] {
		if !w.tried[p] && trusted(p) {
			// homes before this worker fetch it; of all others it is only asked whether they hold it
			held := i >= w.homes || w.self >= 0 && i >= w.self
			return Step{Do: AskPeer, Peer: p, Held: held, Wait: w.wait(), Send: share(w.patience, sendShare)}
		}
	}
	own := !w.anyone || passed >= share(w.patience, ownShare)
	if own && !w.asked && now >= w.store {
		return Step{Do: AskStore}
	}
	// the round is over
	w.round++
	clear(w.tried)
	clear(w.promised)
	w.asked, w.anyone = false, false
	pause := min(share(w.patience, pauseShare)<<min(w.round, 10), share(w.patience, pauseMost))
	w.resume = now + max(1, share(pause, 0.5+0.5*chance))
	return Step{Do: Pause, Wait: w.resume - now}
}

// Hedge says whom to ask besides a peer that was asked at since and has not answered, if it is time for that; if not, when it
// will be. The store is never asked besides a peer. The peer that is late counts as asked in this round.
func (w *Want) Hedge(now time.Duration, late Step, since time.Duration, trusted func(peer string) bool) (s Step, ok bool, after time.Duration) {
	due := since + share(w.patience, hedgeShare)
	if !late.Held { // it may be fetching, and says so when its time to wait is up
		due += late.Wait
	}
	if now < due {
		return s, false, due - now
	}
	w.tried[late.Peer] = true
	for _, p := range w.told {
		if !w.tried[p] && trusted(p) {
			return Step{Do: AskPeer, Peer: p, Held: true, Wait: w.wait(), Send: share(w.patience, sendShare)}, true, 0
		}
	}
	for i, p := range w.order {
		if !w.tried[p] && trusted(p) {
			return Step{Do: AskPeer, Peer: p, Held: i >= w.homes || w.self >= 0 && i >= w.self, Wait: w.wait(), Send: share(w.patience, sendShare)}, true, 0
		}
	}
	return s, false, w.patience // nobody is left
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func (w *Want) wait() time.Duration { return max(1, share(w.patience, waitShare)) }

// Heard notes what a peer said: who else holds the chunk, and after how long it may be asked again.
func (w *Want) Heard(now time.Duration, peer string, said Said, holders []string, after time.Duration) {
	for _, h := range holders {
		if len(w.told) < mostTold && !slices.Contains(w.told, h) && slices.Contains(w.order, h) {
			w.told = append(w.told, h)
		}
	}
	switch said {
	case Coming, Busy:
		w.anyone = true
		if w.promised[peer]++; w.promised[peer] >= mostComing {
			w.tried[peer] = true // its promises are worth nothing in this round
			return
		}
		for _, h := range w.told {
			if !w.tried[h] && h != peer {
				return // another one is asked meanwhile
			}
		}
		w.resume = now + min(max(after, 1), w.wait())
	case Missing, Failed, Corrupt:
		w.tried[peer] = true
		if said != Missing {
			w.told = slices.DeleteFunc(w.told, func(h string) bool { return h == peer })
		}
	}
}

// Store notes that the store did not give the chunk, and for how long it wants to be left alone.
func (w *Want) Store(now, after time.Duration) {
	w.asked = true
	w.store = now + after
}
