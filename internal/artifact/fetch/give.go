package fetch

import (
	"slices"
	"time"
)

// Reply decides what a worker says to a request for a chunk that it may hold. home says that it is among the chunk's homes
// by its own list; it then fetches the chunk, unless only what it holds is asked for.
func Reply(holds, home, held bool) Said {
	switch {
	case holds:
		return Gave
	case home && !held:
		return Coming
	}
	return Missing
}

// Holders remembers to whom a chunk was given lately, a few for each chunk, so that others can be sent there.
type Holders struct {
	of    map[string][]string
	order []string // chunks, oldest first
	most  int
}

// NewHolders remembers at most so many chunks.
func NewHolders(most int) *Holders { return &Holders{of: map[string][]string{}, most: max(1, most)} }

// Gave notes that a worker was given a chunk.
func (h *Holders) Gave(chunk, to string) {
	have, known := h.of[chunk]
	if !known {
		if len(h.order) >= h.most {
			delete(h.of, h.order[0])
			h.order = h.order[1:]
		}
		h.order = append(h.order, chunk)
	}
	if to == "" || slices.Contains(have, to) {
		return
	}
	if len(have) >= mostTold {
		have = have[1:]
	}
	h.of[chunk] = append(have, to)
}

// Of names those that were given a chunk, the last first, without the one that asks.
func (h *Holders) Of(chunk, asker string) []string {
	var all []string
	for _, n := range slices.Backward(h.of[chunk]) {
		if n != asker {
			all = append(all, n)
		}
	}
	return all
}

// Uploads bounds what a worker gives to others: a part of what its network can carry, less while its own events run.
type Uploads struct {
	rate   float64 // bytes a second at most
	slots  int     // at a time
	under  int
	tokens float64
	at     time.Duration
}

const (
	ownPart     = 0.5  // of the rate that is left to others while all of the worker's lanes are busy
	burst       = 0.25 // seconds of the rate that may go at once
	leastTokens = MaxSize
)

// MaxSize is the largest chunk that Uploads counts with.
const MaxSize = 1 << 18

// NewUploads bounds uploads to part of a network of capacity bytes a second, and to so many at a time.
func NewUploads(capacity, part float64, slots int) *Uploads {
	u := &Uploads{rate: max(1, capacity*part), slots: max(1, slots)}
	u.tokens = u.most()
	return u
}

func (u *Uploads) most() float64 { return max(leastTokens, u.rate*burst) }

// Ask asks to give size bytes while busy of the worker's lanes run, between 0 and 1. If not, it says when to come back.
func (u *Uploads) Ask(now time.Duration, size int, busy float64) (ok bool, after time.Duration) {
	rate := u.rate * (1 - (1-ownPart)*min(1, max(0, busy)))
	u.tokens = min(u.most(), u.tokens+rate*max(0, (now-u.at).Seconds()))
	u.at = now
	need := min(float64(size), leastTokens)
	if u.under >= u.slots || u.tokens < need {
		return false, max(time.Millisecond, time.Microsecond+time.Duration(max(0, need-u.tokens)/rate*float64(time.Second)))
	}
	u.tokens -= need
	u.under++
	return true, 0
}

// Ended tells that an upload is over.
func (u *Uploads) Ended() { u.under = max(0, u.under-1) }

// Peers remembers how peers behaved: one that lies or fails is left alone, longer each time.
type Peers struct {
	of map[string]*standing
}

type standing struct {
	lies  int
	fails int
	until time.Duration
}

const (
	failPause = 200 * time.Millisecond // after a first failure; doubled each time
	liePause  = 10 * time.Second       // after a first corrupt chunk
	mostFails = 8                      // doublings
	mostLies  = 3                      // corrupt chunks; after them a peer is never asked again
)

// NewPeers knows nobody.
func NewPeers() *Peers { return &Peers{of: map[string]*standing{}} }

// Heard notes what a peer said. Any answer ends its failures; nothing makes up for a corrupt chunk.
func (p *Peers) Heard(now time.Duration, peer string, said Said) {
	s := p.of[peer]
	if s == nil {
		s = &standing{}
		p.of[peer] = s
	}
	switch said {
	case Failed:
		s.fails = min(mostFails, s.fails+1)
		s.until = max(s.until, now+failPause<<(s.fails-1))
	case Corrupt:
		s.lies++
		s.until = max(s.until, now+liePause<<min(s.lies-1, mostFails))
	default:
		s.fails = 0
	}
}

// Trusted tells whether a peer may be asked.
func (p *Peers) Trusted(now time.Duration, peer string) bool {
	s := p.of[peer]
	return s == nil || s.lies < mostLies && now >= s.until
}

// Keep forgets all peers but the listed ones, and none that has lied.
func (p *Peers) Keep(listed func(name string) bool) {
	for n, s := range p.of {
		if s.lies == 0 && !listed(n) {
			delete(p.of, n)
		}
	}
}
