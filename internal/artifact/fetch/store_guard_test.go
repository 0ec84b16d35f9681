package fetch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStoreGuard guards against overloading a store that is at capacity or failing, and against a guard that blocks for
// ever. There must never be more requests in flight than the maximum limit, no request before the store's Retry-After,
// and a single request at a time while the store fails. After any history, a request must be allowed in the end.
func TestStoreGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guard := NewStoreGuard()
		now := time.Duration(0)
		var inFlight []time.Duration // start time of each request in flight
		notBefore := time.Duration(0)
		failures := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "completes") {
				outcome := StoreOutcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				retryAfter := time.Duration(0)
				if outcome == StoreRejected {
					retryAfter = time.Duration(rapid.IntRange(0, 1000).Draw(t, "retry after")) * time.Millisecond
					notBefore = max(notBefore, now+retryAfter)
				}
				result := StoreResult{StartedAt: inFlight[0], Outcome: outcome, RetryAfter: retryAfter}
				guard.Release(now, result, rapid.Float64Range(0, 1).Draw(t, "jitter"))
				inFlight = inFlight[1:]
				if outcome == StoreFailed {
					failures++
				} else {
					failures = 0
				}
				continue
			}
			ok, _ := guard.Acquire(now, rapid.SampledFrom([]Attempt{FirstAttempt, Retry}).Draw(t, "attempt"))
			switch {
			case ok && now < notBefore:
				t.Fatalf("a request was allowed %v before the store's Retry-After", notBefore-now)
			case ok && failures >= failuresToOpen && guard.inFlight > 1 && len(inFlight) == 0:
				t.Fatal("more than one request in flight while the store fails")
			}
			if ok {
				inFlight = append(inFlight, now)
			}
			if len(inFlight) > maxLimit {
				t.Fatalf("%d requests are in flight, more than the maximum limit", len(inFlight))
			}
		}
		for _, startedAt := range inFlight {
			guard.Release(now, StoreResult{StartedAt: startedAt, Outcome: StoreFailed}, 1)
		}
		ok, retryAfter := guard.Acquire(now, Retry)
		if !ok {
			if retryAfter <= 0 {
				t.Fatal("a request was rejected without a retry time although no request is in flight")
			}
			if ok, _ = guard.Acquire(now+retryAfter, Retry); !ok {
				t.Fatal("a request was rejected again after the retry time")
			}
		}
	})
}
