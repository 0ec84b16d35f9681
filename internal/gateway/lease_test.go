package gateway_test

import (
	"testing"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/scheduler"
)

// requestLoadsNoTimeout is a policy with which the core sends load requests, whose timeout is longer than a test.
var requestLoadsNoTimeout = core.LoadPolicy{RequestLoads: true, LoadOnMiss: true, ReplicaIdleTimeout: time.Minute,
	RequestTimeout: time.Minute}

// expireSoon makes the watch's lease expire half a drain grace ago, so that new work may be sent for only a short time:
// the rest of the scheduler's lease time, which is a little shorter than the drain grace.
func (s *scenario) expireSoon() { s.loop.SetWatchLease(time.Now().Add(-testDrainGrace / 2)) }

// An attempt waits for a connection until its worker's lease has expired: it must be withheld, and it must not count as
// an attempt of the at-most-once request, which is sent again once the watch's lease is renewed.
func TestAttemptIsWithheldAfterLease(t *testing.T) {
	s := newScenario(t, scheduler.RequestType{Effect: scheduler.AtMostOnce}, loadOnMissNoTimeout)
	s.expireSoon()
	s.submit("r", 1, 20*time.Second)
	attempt := s.mustNext()
	if _, ok := attempt.permit.TimeLeft(); !ok {
		t.Fatal("attempt withheld before the lease expired")
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, ok := attempt.permit.TimeLeft(); !ok {
			break
		}
	}
	if result := attempt.permit.WithheldResult(); result != scheduler.LeaseExpired {
		t.Errorf("result of the withheld attempt: got %v, want LeaseExpired", result)
	}
	if n := s.loop.Stats().WithheldLease.Load(); n == 0 {
		t.Error("the withheld attempt was not counted")
	}
	attempt.complete(attempt.permit.WithheldResult())
	s.loop.SetWatchLease(time.Now().Add(time.Hour))
	again := s.mustNext()
	again.write()
	again.complete(scheduler.Completed)
	if response := <-s.responses; response.Outcome != invoke.Completed {
		t.Errorf("%+v", response)
	}
}

// A load request that waits for a connection until its worker's lease has expired must be withheld.
func TestLoadIsWithheldAfterLease(t *testing.T) {
	s := newScenario(t, scheduler.RequestType{}, requestLoadsNoTimeout)
	s.expireSoon()
	s.submit("r", 1, 20*time.Second)
	permit := <-s.loadPermits
	if !permit.MaySend() {
		t.Fatal("load request withheld before the lease expired")
	}
	for end := time.Now().Add(20 * time.Second); permit.MaySend(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the load request was still permitted after 20 seconds")
		}
	}
	if n := s.loop.Stats().WithheldLease.Load(); n == 0 {
		t.Error("the withheld load request was not counted")
	}
}

// Permits must not expire if the watch has no lease, as in a gateway whose endpoint list cannot become unreachable.
func TestPermitsDoNotExpireWithoutLease(t *testing.T) {
	s := newScenario(t, scheduler.RequestType{}, requestLoadsNoTimeout)
	s.submit("r", 1, 20*time.Second)
	permit := <-s.loadPermits
	time.Sleep(2 * testDrainGrace)
	if !permit.MaySend() {
		t.Error("withheld")
	}
}

// TestRetryIsWithheldAfterWindow guards against a retry of a request with an idempotency key that is decided on within
// its window but waits for a connection until the window has ended: workers no longer recognise it as a duplicate, and
// its effect would happen twice. It must be withheld, and the request must fail as one that may have run.
func TestRetryIsWithheldAfterWindow(t *testing.T) {
	const window = time.Second
	s := newScenario(t, scheduler.RequestType{Effect: scheduler.IdempotencyKey, DedupWindow: window}, loadOnMissNoTimeout)
	submitted := time.Now()
	s.submit("r", 1, 20*time.Second)
	first := s.mustNext()
	first.write()
	firstSent := time.Now()
	first.complete(scheduler.ConnectionLost)
	retry := s.mustNext()
	if _, ok := retry.permit.TimeLeft(); !ok && time.Since(submitted) < window {
		t.Fatal("the retry was withheld within the window")
	}
	for _, ok := retry.permit.TimeLeft(); ok; _, ok = retry.permit.TimeLeft() {
		if time.Since(firstSent) > window {
			t.Fatal("the retry was permitted after the end of the window")
		}
		time.Sleep(time.Millisecond)
	}
	retry.complete(retry.permit.WithheldResult())
	if response := <-s.responses; response.Outcome != invoke.Failed || !response.MayHaveRun {
		t.Errorf("%+v, want a failure of a request that may have run", response)
	}
}
