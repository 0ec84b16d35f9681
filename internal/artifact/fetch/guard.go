package fetch

import "time"

// StoreOutcome is how a request to the store ended.
type StoreOutcome int

// The outcomes.
const (
	StoreSucceeded StoreOutcome = iota
	StoreRejected               // the store asks for less
	StoreFailed                 // no answer, or an error
)

// Ratios and bounds of a Guard.
const (
	initialLimit          = 2.0
	maxLimit              = 16.0
	limitReduction        = 0.5  // of the limit after a request that was turned away or broke
	retryBudgetPerRequest = 0.2  // repeats that one first request pays for
	maxRetryBudget        = 10.0 // repeats saved up
	failuresToOpen        = 4    // broken requests in a row
	minOpenInterval       = 500 * time.Millisecond
	maxOpenInterval       = 8 * time.Second
	retryAfterJitter      = 0.5 // a time to come back is stretched by up to this part, so that not all come at once
)

// StoreGuard bounds what one worker asks of the store: requests at a time after their outcomes, the store's own word on when to
// come back, a budget for repeats, and a circuit that opens when the store is broken and half-opens with one request.
type StoreGuard struct {
	limit               float64
	inFlight            int
	notBefore           time.Duration // nothing before
	retryBudget         float64
	consecutiveFailures int // in a row
	openInterval        time.Duration
	halfOpen            bool // half open: one request is under way
	limitReducedAt      time.Duration
}

// NewStoreGuard is a guard that has seen nothing.
func NewStoreGuard() *StoreGuard {
	return &StoreGuard{limit: initialLimit, retryBudget: maxRetryBudget / 2}
}

// Acquire asks to send a request; repeat says that it was sent before and failed. If not now, it says when to ask again.
func (g *StoreGuard) Acquire(now time.Duration, repeat bool) (ok bool, after time.Duration) {
	switch {
	case now < g.notBefore:
		return false, g.notBefore - now
	case g.consecutiveFailures >= failuresToOpen && g.halfOpen, g.consecutiveFailures < failuresToOpen && g.inFlight >= int(g.limit):
		return false, 0 // when one has ended
	case repeat && g.retryBudget < 1 && g.inFlight > 0:
		return false, 0 // a repeat alone is always let through, so that nothing stands still
	}
	if repeat {
		g.retryBudget = max(0, g.retryBudget-1)
	} else {
		g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetPerRequest)
	}
	g.halfOpen = g.consecutiveFailures >= failuresToOpen
	g.inFlight++
	return true, 0
}

// Release tells how a request ended that began at the time given; after is the store's word on when to come back, chance
// between 0 and 1 spreads it.
func (g *StoreGuard) Release(now, began time.Duration, o StoreOutcome, after time.Duration, chance float64) {
	g.inFlight = max(0, g.inFlight-1)
	g.halfOpen = false
	if o == StoreSucceeded {
		g.consecutiveFailures, g.openInterval = 0, 0
		g.limit = min(maxLimit, g.limit+1/g.limit)
		return
	}
	if began >= g.limitReducedAt { // once for all requests that were under way together
		g.limit = max(1, g.limit*limitReduction)
		g.limitReducedAt = now
	}
	if o == StoreFailed {
		if g.consecutiveFailures++; g.consecutiveFailures >= failuresToOpen {
			g.openInterval = min(maxOpenInterval, max(minOpenInterval, 2*g.openInterval))
			after = max(after, g.openInterval)
		}
	} else {
		g.consecutiveFailures = 0
	}
	if after > 0 {
		g.notBefore = max(g.notBefore, now+after+time.Duration(retryAfterJitter*chance*float64(after)))
	}
}
