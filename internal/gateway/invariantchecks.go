package gateway

import (
	"time"

	"lupinpond/internal/base/window"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// requestChecks is what the invariants need to know of one request. It is kept apart from what the core and the
// scheduler know, so that a fault there shows here.
type requestChecks struct {
	inFlight   map[int]time.Duration // when the attempts without an outcome were decided on
	mayHaveRun bool
	firstRunAt time.Duration // when the first attempt that may have run was decided on
	answered   bool
}

func (c *requestChecks) attemptStarted(attempt int, now time.Duration) {
	if c.inFlight == nil {
		c.inFlight = map[int]time.Duration{}
	}
	c.inFlight[attempt] = now
}

// attemptEnded notes the outcome of an attempt; only the first counts.
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

// mayHaveRun reports whether an attempt with that result may have run.
func mayHaveRun(result scheduler.Result) bool {
	switch result {
	case scheduler.Failed, scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Cancelled, scheduler.Completed:
		return true
	}
	return false
}

// checkAttempt checks that a request may be sent, perhaps once more, and notes the attempt.
func (l *EventLoop) checkAttempt(request *Request, attempt int, worker string) {
	now, id, checks := l.Now(), request.Scheduled.ID, &request.checks
	if len(checks.inFlight) > 0 {
		l.monitor.Violated(invariant.AttemptInParallel, id, "attempt", attempt, "worker", worker,
			"in_flight", len(checks.inFlight))
	}
	requestType := l.typeOf(request.Scheduled.Type)
	switch {
	case !checks.mayHaveRun || requestType.Effect == scheduler.Idempotent:
	case requestType.Effect == scheduler.AtMostOnce:
		l.monitor.Violated(invariant.RetryOfAtMostOnce, id, "attempt", attempt, "worker", worker)
	case now >= checks.firstRunAt+requestType.DedupWindow:
		l.monitor.Violated(invariant.RetryOutsideWindow, id, "attempt", attempt, "worker", worker,
			"after", now-checks.firstRunAt)
	}
	checks.attemptStarted(attempt, now)
}

// typeOf finds a request type; one that the settings do not name must not run twice.
func (l *EventLoop) typeOf(name string) scheduler.RequestType {
	for _, requestType := range l.settings.Types {
		if requestType.Name == name {
			return requestType
		}
	}
	return scheduler.RequestType{Name: name, Effect: scheduler.AtMostOnce}
}

// checkAnswer notes a request's final response; false: it has had one.
func (l *EventLoop) checkAnswer(request *Request) bool {
	now := l.Now()
	if request.checks.answered {
		l.monitor.Violated(invariant.AnsweredTwice, request.Scheduled.ID)
		return false
	}
	request.checks.answered = true
	deadline := request.submittedAt + request.Scheduled.TimeLeft
	late := now > deadline+answerSlack && request.disconnectedAt.Load() == 0
	if late && !l.stall.EndedAfter(l.epoch.Add(deadline), time.Now()) { // else the process did not run at the deadline
		l.monitor.Violated(invariant.AnsweredLate, request.Scheduled.ID, "late_by", now-deadline,
			"attempts", request.attempts)
	}
	return true
}

// checkClosed checks that a request that is forgotten has had its response, or that nobody waits for one.
func (l *EventLoop) checkClosed(request *Request) {
	if !request.checks.answered && request.disconnectedAt.Load() == 0 {
		l.monitor.Violated(invariant.NeverAnswered, request.Scheduled.ID, "attempts", request.attempts)
	}
}

// loadChecks counts load requests against the rate limit of the settings.
type loadChecks struct {
	policy       core.LoadPolicy
	loadRequests *window.Window
	arrivals     *window.Window
}

func newLoadChecks(policy core.LoadPolicy) loadChecks {
	return loadChecks{policy, window.New(policy.RateWindow), window.New(policy.RateWindow)}
}

func (c *loadChecks) submitted(now time.Duration) { c.arrivals.Add(now, 1) }

// checkLoad checks a load request. Sums are rounded so that none within the limit is counted.
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
