package fetch

import "time"

// StoreOutcome is the outcome of a request to the store.
type StoreOutcome int

// The outcomes of a request to the store.
const (
	StoreSucceeded StoreOutcome = iota
	StoreRejected               // the store rejected the request because it is at capacity
	StoreFailed                 // the store did not answer, or returned an error
)

// StoreResult is the result of a request to the store.
type StoreResult struct {
	StartedAt  time.Duration
	Outcome    StoreOutcome
	RetryAfter time.Duration // minimum time until the next request; 0: no minimum
}

// Attempt distinguishes the first request to the store in a search from its retries.
type Attempt int

// The kinds of attempts.
const (
	FirstAttempt Attempt = iota
	Retry
)

// The concurrency limit is additive-increase, multiplicative-decrease: each success adds 1/limit, so that it takes
// about limit successes to raise the limit by one; a rejection or failure multiplies it by limitReduction.
const (
	initialLimit   = 2.0
	maxLimit       = 16.0
	limitReduction = 0.5
)

// The retry budget: each first attempt adds retryBudgetPerRequest, and each retry costs 1.
const (
	retryBudgetPerRequest = 0.2
	maxRetryBudget        = 10.0
)

// The circuit breaker opens after failuresToOpen consecutive failures. It stays open for minOpenInterval, which doubles
// with each further failure up to maxOpenInterval.
const (
	failuresToOpen  = 4
	minOpenInterval = 500 * time.Millisecond
	maxOpenInterval = 8 * time.Second
)

// retryAfterJitter: a wait is extended by a random time of up to retryAfterJitter times its length, so that not all
// workers send their next requests to the store at the same time.
const retryAfterJitter = 0.5

// StoreGuard limits the requests of one worker to the store. It combines an adaptive concurrency limit, the store's
// Retry-After, a retry budget and a circuit breaker, which lets a single request through when it is half open.
type StoreGuard struct {
	limit               float64 // maximum number of requests in flight
	inFlight            int
	notBefore           time.Duration // earliest time of the next request
	retryBudget         float64
	consecutiveFailures int
	openInterval        time.Duration
	halfOpen            bool          // a single request is in flight to test whether the store works again
	limitReducedAt      time.Duration // time of the last reduction of limit
}

// NewStoreGuard returns a guard in its initial state.
func NewStoreGuard() *StoreGuard {
	return &StoreGuard{limit: initialLimit, retryBudget: maxRetryBudget / 2}
}

// Acquire reports whether a request may be sent now. If so, the caller must call Release when the request has
// completed. Otherwise the caller may try again after retryAfter or, if that is 0, when a request in flight has
// completed.
func (g *StoreGuard) Acquire(now time.Duration, attempt Attempt) (ok bool, retryAfter time.Duration) {
	open := g.consecutiveFailures >= failuresToOpen
	switch {
	case now < g.notBefore:
		return false, g.notBefore - now
	case open && g.halfOpen, !open && g.inFlight >= int(g.limit):
		return false, 0
	case attempt == Retry && g.retryBudget < 1 && g.inFlight > 0:
		return false, 0 // a retry is always allowed if no other request is in flight, so that searches make progress
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

// Release records the result of a request that Acquire has allowed. jitter, between 0 and 1, randomizes the time of the
// next request after a rejection or failure.
func (g *StoreGuard) Release(now time.Duration, result StoreResult, jitter float64) {
	g.inFlight = max(0, g.inFlight-1)
	g.halfOpen = false
	if result.Outcome == StoreSucceeded {
		g.consecutiveFailures = 0
		g.openInterval = 0
		g.limit = min(maxLimit, g.limit+1/g.limit)
		return
	}
	if result.StartedAt >= g.limitReducedAt { // reduce once for all requests that were in flight together
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
