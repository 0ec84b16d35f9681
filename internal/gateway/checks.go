package gateway

import (
	"time"

	"lupinpond/internal/base/window"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// requestChecks is what the invariants need to know of one request. It is kept apart from what the core and the scheduler
// know, so that a mistake there shows here.
type requestChecks struct {
	inFlight   map[int]time.Duration // attempts without an outcome, with when they were decided on
	mayHaveRun bool
	firstRunAt time.Duration // when the first attempt that may have run was decided on
	answered   bool
}

// attemptStarted notes an attempt.
func (c *requestChecks) attemptStarted(launch int, now time.Duration) {
	if c.inFlight == nil {
		c.inFlight = map[int]time.Duration{}
	}
	c.inFlight[launch] = now
}

// attemptEnded notes the outcome of an attempt; only the first counts.
func (c *requestChecks) attemptEnded(launch int, r scheduler.Result) {
	began, is := c.inFlight[launch]
	if !is {
		return
	}
	delete(c.inFlight, launch)
	if mayHaveRun(r) && !c.mayHaveRun {
		c.mayHaveRun, c.firstRunAt = true, began
	}
}

// checkAttempt checks that a request may be sent, perhaps once more, and notes the attempt.
func (o *EventLoop) checkAttempt(e *Request, launch int, worker string) {
	now, id, c := o.Now(), e.Scheduled.ID, &e.checks
	if len(c.inFlight) > 0 {
		o.monitor.Violated(invariant.AttemptInParallel, id, "attempt", launch, "worker", worker, "in_flight", len(c.inFlight))
	}
	t := o.typeOf(e.Scheduled.Type)
	switch {
	case !c.mayHaveRun || t.Effect == scheduler.Idempotent:
	case t.Effect == scheduler.AtMostOnce:
		o.monitor.Violated(invariant.RetryOfAtMostOnce, id, "attempt", launch, "worker", worker)
	case now >= c.firstRunAt+t.DedupWindow:
		o.monitor.Violated(invariant.RetryOutsideWindow, id, "attempt", launch, "worker", worker, "after", now-c.firstRunAt)
	}
	c.attemptStarted(launch, now)
}

// typeOf finds a request type; one that the settings do not name must not run twice.
func (o *EventLoop) typeOf(name string) scheduler.RequestType {
	for _, t := range o.settings.Types {
		if t.Name == name {
			return t
		}
	}
	return scheduler.RequestType{Name: name, Effect: scheduler.AtMostOnce}
}

// checkAnswer notes a request's final answer; false: it has had one.
func (o *EventLoop) checkAnswer(e *Request) bool {
	now := o.Now()
	if e.checks.answered {
		o.monitor.Violated(invariant.AnsweredTwice, e.Scheduled.ID)
		return false
	}
	e.checks.answered = true
	by := e.submittedAt + e.Scheduled.TimeLeft
	late := now > by+answerSlack && e.disconnectedAt.Load() == 0
	if late && !o.stall.EndedAfter(o.epoch.Add(by), time.Now()) { // else the process did not run when the answer was due
		o.monitor.Violated(invariant.AnsweredLate, e.Scheduled.ID, "later", now-by, "attempts", e.attempts)
	}
	return true
}

// checkEnd checks that a request that is forgotten has had its answer, or nobody waits for one.
func (o *EventLoop) checkEnd(e *Request) {
	if !e.checks.answered && e.disconnectedAt.Load() == 0 {
		o.monitor.Violated(invariant.NeverAnswered, e.Scheduled.ID, "attempts", e.attempts)
	}
}

// loadChecks counts load requests against the rate limit of the settings.
type loadChecks struct {
	limits                 core.LoadPolicy
	loadRequests, arrivals *window.Window
}

func newLoadChecks(l core.LoadPolicy) loadChecks {
	return loadChecks{l, window.New(l.RateWindow), window.New(l.RateWindow)}
}

func (c *loadChecks) submitted(now time.Duration) { c.arrivals.Add(now, 1) }

// checkLoad checks a load request. Sums are rounded so that none within the limit is counted.
func (o *EventLoop) checkLoad(order scheduler.LoadRequest) {
	c := &o.loadChecks
	if c.limits.RateWindow <= 0 || order.Replicas <= 0 {
		return
	}
	now := o.Now()
	c.loadRequests.Add(now, 1)
	sent, most := c.loadRequests.LowerSum(now), c.limits.RateBurst+c.limits.RatePerRequest*c.arrivals.UpperSum(now)
	if sent > most {
		o.monitor.Violated(invariant.LoadOverLimit, "", "worker", order.Worker, "sent", sent, "most", most)
	}
}
