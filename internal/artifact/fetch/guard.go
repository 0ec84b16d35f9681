package fetch

import "time"

// Outcome is how a request to the store ended.
type Outcome int

// The outcomes.
const (
	Good       Outcome = iota
	TurnedAway         // the store asks for less
	Broken             // no answer, or an error
)

// Ratios and bounds of a Guard.
const (
	firstLimit   = 2.0
	mostLimit    = 16.0
	backOff      = 0.5  // of the limit after a request that was turned away or broke
	earn         = 0.2  // repeats that one first request pays for
	mostBudget   = 10.0 // repeats saved up
	openAfter    = 4    // broken requests in a row
	firstOpen    = 500 * time.Millisecond
	mostOpen     = 8 * time.Second
	spreadBefore = 0.5 // a time to come back is stretched by up to this part, so that not all come at once
)

// Guard bounds what one worker asks of the store: requests at a time after their outcomes, the store's own word on when to
// come back, a budget for repeats, and a circuit that opens when the store is broken and half-opens with one request.
type Guard struct {
	limit  float64
	under  int
	until  time.Duration // nothing before
	budget float64
	broken int // in a row
	open   time.Duration
	trying bool // half open: one request is under way
	cut    time.Duration
}

// NewGuard is a guard that has seen nothing.
func NewGuard() *Guard { return &Guard{limit: firstLimit, budget: mostBudget / 2} }

// Ask asks to send a request; repeat says that it was sent before and failed. If not now, it says when to ask again.
func (g *Guard) Ask(now time.Duration, repeat bool) (ok bool, after time.Duration) {
	switch {
	case now < g.until:
		return false, g.until - now
	case g.broken >= openAfter && g.trying, g.broken < openAfter && g.under >= int(g.limit):
		return false, 0 // when one has ended
	case repeat && g.budget < 1 && g.under > 0:
		return false, 0 // a repeat alone is always let through, so that nothing stands still
	}
	if repeat {
		g.budget = max(0, g.budget-1)
	} else {
		g.budget = min(mostBudget, g.budget+earn)
	}
	g.trying = g.broken >= openAfter
	g.under++
	return true, 0
}

// Ended tells how a request ended that began at the time given; after is the store's word on when to come back, chance
// between 0 and 1 spreads it.
func (g *Guard) Ended(now, began time.Duration, o Outcome, after time.Duration, chance float64) {
	g.under = max(0, g.under-1)
	g.trying = false
	if o == Good {
		g.broken, g.open = 0, 0
		g.limit = min(mostLimit, g.limit+1/g.limit)
		return
	}
	if began >= g.cut { // once for all requests that were under way together
		g.limit = max(1, g.limit*backOff)
		g.cut = now
	}
	if o == Broken {
		if g.broken++; g.broken >= openAfter {
			g.open = min(mostOpen, max(firstOpen, 2*g.open))
			after = max(after, g.open)
		}
	} else {
		g.broken = 0
	}
	if after > 0 {
		g.until = max(g.until, now+after+time.Duration(spreadBefore*chance*float64(after)))
	}
}
