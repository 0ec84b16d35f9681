package gateway

import (
	"time"

	"lupinpond/internal/base/window"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// requestChecks is the state of one request that the invariant checks need. It is kept independently of the core's and
// the scheduler's state, so that the checks detect bugs in those.
type requestChecks struct {
	inFlight   map[int]time.Duration // start times of the attempts without an outcome, by attempt number
	mayHaveRun bool                  // whether an attempt may have run
	firstRunAt time.Duration         // start time of the first attempt with an outcome that may have run
	answered   bool                  // whether the request has its final response
}

func (c *requestChecks) attemptStarted(attempt int, now time.Duration) {
	if c.inFlight == nil {
		c.inFlight = map[int]time.Duration{}
	}
	c.inFlight[attempt] = now
}

// attemptEnded records the outcome of an attempt. Only the first outcome of an attempt counts.
func (c *requestChecks) attemptEnded(attempt int, result scheduler.Result) {
	startedAt, inFlight := c.inFlight[attempt]
	if !inFlight {
		return
	}
	delete(c.inFlight, attempt)
	if mayHaveRun(result) && !c.mayHaveRun {
		c.mayHaveRun, c.firstRunAt = true, startedAt
	}
}

// mayHaveRun reports whether an attempt with the given result may have run.
func mayHaveRun(result scheduler.Result) bool {
	switch result {
	case scheduler.Failed, scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Cancelled, scheduler.Completed:
		return true
	}
	return false
}

// checkAttempt checks that an attempt of a request, possibly a retry, is allowed, and records the attempt.
func (l *EventLoop) checkAttempt(request *Request, attempt int, worker string) {
	now, id, checks := l.Now(), request.Scheduled.ID, &request.checks
	if len(checks.inFlight) > 0 {
		l.monitor.Violated(invariant.AttemptInParallel, id, "attempt", attempt, "worker", worker,
			"in_flight", len(checks.inFlight))
	}
	windowEnd := l.windowEnd(request)
	switch {
	case checks.mayHaveRun && l.typeOf(request.Scheduled.Type).Effect == scheduler.AtMostOnce:
		l.monitor.Violated(invariant.RetryOfAtMostOnce, id, "attempt", attempt, "worker", worker)
	case windowEnd > 0 && now >= windowEnd:
		l.monitor.Violated(invariant.RetryOutsideWindow, id, "attempt", attempt, "worker", worker,
			"after", now-checks.firstRunAt)
	}
	checks.attemptStarted(attempt, now)
}

// windowEnd returns the end of the deduplication window in which an attempt of a request must be written, or 0 if the
// request can't have run or is not deduplicated.
func (l *EventLoop) windowEnd(request *Request) time.Duration {
	if !request.checks.mayHaveRun {
		return 0
	}
	requestType := l.typeOf(request.Scheduled.Type)
	if requestType.Effect != scheduler.IdempotencyKey {
		return 0
	}
	return request.checks.firstRunAt + requestType.DedupWindow
}

// typeOf returns the request type with the given name. A type that is not in the settings is treated as at most once.
func (l *EventLoop) typeOf(name string) scheduler.RequestType {
	for _, requestType := range l.settings.Types {
		if requestType.Name == name {
			return requestType
		}
	}
	return scheduler.RequestType{Name: name, Effect: scheduler.AtMostOnce}
}

// checkAnswer records a request's final response. It returns false if the request has already been answered.
func (l *EventLoop) checkAnswer(request *Request) bool {
	now := l.Now()
	if request.checks.answered {
		l.monitor.Violated(invariant.AnsweredTwice, request.Scheduled.ID)
		return false
	}
	request.checks.answered = true
	deadline := request.submittedAt + request.Scheduled.TimeLeft
	late := now > deadline+answerSlack && request.disconnectedAt.Load() == 0
	if late && !l.stall.EndedAfter(l.epoch.Add(deadline), time.Now()) { // a stall at the deadline excuses the delay
		l.monitor.Violated(invariant.AnsweredLate, request.Scheduled.ID, "late_by", now-deadline,
			"attempts", request.attempts)
	}
	return true
}

// checkClosed checks that a request that is being closed has been answered, or that its client has disconnected.
func (l *EventLoop) checkClosed(request *Request) {
	if !request.checks.answered && request.disconnectedAt.Load() == 0 {
		l.monitor.Violated(invariant.NeverAnswered, request.Scheduled.ID, "attempts", request.attempts)
	}
}

// loadChecks checks the rate of load requests against the limit of the settings.
type loadChecks struct {
	policy       core.LoadPolicy
	loadRequests *window.Window
	arrivals     *window.Window
}

func newLoadChecks(policy core.LoadPolicy) loadChecks {
	return loadChecks{policy, window.New(policy.RateWindow), window.New(policy.RateWindow)}
}

func (c *loadChecks) submitted(now time.Duration) { c.arrivals.Add(now, 1) }

// checkLoad checks that a load request is within the rate limit. It compares a lower bound of the load requests with an
// upper bound of the limit, so that no load request within the limit is reported.
func (l *EventLoop) checkLoad(load scheduler.LoadRequest) {
	checks := &l.loadChecks
	if checks.policy.RateWindow <= 0 || load.Replicas <= 0 {
		return
	}
	now := l.Now()
	checks.loadRequests.Add(now, 1)
	sent := checks.loadRequests.LowerSum(now)
	limit := checks.policy.RateBurst + checks.policy.RatePerRequest*checks.arrivals.UpperSum(now)
	if sent > limit {
		l.monitor.Violated(invariant.LoadOverLimit, "", "worker", load.Worker, "sent", sent, "limit", limit)
	}
}
