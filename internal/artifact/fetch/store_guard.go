package fetch

import "time"

// StoreOutcome is how a request to the store ended.
type StoreOutcome int

// The outcomes.
const (
	StoreSucceeded StoreOutcome = iota
	StoreRejected               // the store sheds load
	StoreFailed                 // no answer, or an error
)

// StoreResult is how a request to the store ended, and what the store said.
type StoreResult struct {
	StartedAt  time.Duration
	Outcome    StoreOutcome
	RetryAfter time.Duration // when the store may be asked again; 0: at once
}

// Attempt says whether a request to the store repeats one that failed.
type Attempt int

// The attempts.
const (
	FirstAttempt Attempt = iota
	Retry
)

// The concurrency limit: it grows by one for each limit's worth of successes and shrinks at a rejection or failure.
const (
	initialLimit   = 2.0
	maxLimit       = 16.0
	limitReduction = 0.5 // factor
)

// The retry budget: first attempts earn it, retries spend it.
const (
	retryBudgetPerRequest = 0.2
	maxRetryBudget        = 10.0
)

// The circuit breaker: it opens after consecutive failures, for an interval that doubles with each failure that
// follows.
const (
	failuresToOpen  = 4
	minOpenInterval = 500 * time.Millisecond
	maxOpenInterval = 8 * time.Second
)

// retryAfterJitter is the part by which a time to come back is stretched at most, so that not all workers come at once.
const retryAfterJitter = 0.5

// StoreGuard bounds what one worker asks of the store, by a concurrency limit that follows the outcomes, the store's
// Retry-After, a retry budget, and a circuit breaker that lets one request through when it is half open.
type StoreGuard struct {
	limit               float64 // requests at a time
	inFlight            int
	notBefore           time.Duration // no request is sent before
	retryBudget         float64
	consecutiveFailures int
	openInterval        time.Duration
	halfOpen            bool          // one request is in flight to see whether the store works again
	limitReducedAt      time.Duration // last
}

// NewStoreGuard returns a guard that knows nothing of the store yet.
func NewStoreGuard() *StoreGuard {
	return &StoreGuard{limit: initialLimit, retryBudget: maxRetryBudget / 2}
}

// Acquire asks to send a request. If it may not, retryAfter says when to ask again, 0 when a request in flight has
// completed; if it may, Release has to be called.
func (g *StoreGuard) Acquire(now time.Duration, attempt Attempt) (ok bool, retryAfter time.Duration) {
	open := g.consecutiveFailures >= failuresToOpen
	switch {
	case now < g.notBefore:
		return false, g.notBefore - now
	case open && g.halfOpen, !open && g.inFlight >= int(g.limit):
		return false, 0
	case attempt == Retry && g.retryBudget < 1 && g.inFlight > 0:
		return false, 0 // a retry alone is always let through, so that nothing stands still
	}
	if attempt == Retry {
		g.retryBudget = max(0, g.retryBudget-1)
	} else {
		g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetPerRequest)
	}
	g.halfOpen = open
	g.inFlight++
	return true, 0
}

// Release notes the result of a request. jitter, between 0 and 1, spreads when the store is asked again.
func (g *StoreGuard) Release(now time.Duration, result StoreResult, jitter float64) {
	g.inFlight = max(0, g.inFlight-1)
	g.halfOpen = false
	if result.Outcome == StoreSucceeded {
		g.consecutiveFailures = 0
		g.openInterval = 0
		g.limit = min(maxLimit, g.limit+1/g.limit)
		return
	}
	if result.StartedAt >= g.limitReducedAt { // once for all requests that were in flight together
		g.limit = max(1, g.limit*limitReduction)
		g.limitReducedAt = now
	}
	retryAfter := result.RetryAfter
	if result.Outcome == StoreFailed {
		g.consecutiveFailures++
		if g.consecutiveFailures >= failuresToOpen {
			g.openInterval = min(maxOpenInterval, max(minOpenInterval, 2*g.openInterval))
			retryAfter = max(retryAfter, g.openInterval)
		}
	} else {
		g.consecutiveFailures = 0
	}
	if retryAfter > 0 {
		g.notBefore = max(g.notBefore, now+retryAfter+time.Duration(retryAfterJitter*jitter*float64(retryAfter)))
	}
}
