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
	ranSince   time.Duration // when the first attempt that may have run was decided on
	answered   bool
}

// began notes an attempt.
func (c *requestChecks) began(launch int, now time.Duration) {
	if c.inFlight == nil {
		c.inFlight = map[int]time.Duration{}
	}
	c.inFlight[launch] = now
}

// ended notes the outcome of an attempt; only the first counts.
func (c *requestChecks) ended(launch int, r scheduler.Result) {
	began, is := c.inFlight[launch]
	if !is {
		return
	}
	delete(c.inFlight, launch)
	if mayRun(r) && !c.mayHaveRun {
		c.mayHaveRun, c.ranSince = true, began
	}
}

// checkAttempt checks that a request may be sent, perhaps once more, and notes the attempt.
func (o *Owner) checkAttempt(e *Request, launch int, worker string) {
	now, id, c := o.Now(), e.Fact.ID, &e.checks
	if len(c.inFlight) > 0 {
		o.monitor.Violated(invariant.AttemptInParallel, id, "attempt", launch, "worker", worker, "in_flight", len(c.inFlight))
	}
	t := o.typeOf(e.Fact.Type)
	switch {
	case !c.mayHaveRun || t.Effect == scheduler.Idempotent:
	case t.Effect == scheduler.AtMostOnce:
		o.monitor.Violated(invariant.RepeatOfAtMostOnce, id, "attempt", launch, "worker", worker)
	case now >= c.ranSince+t.DedupWindow:
		o.monitor.Violated(invariant.RepeatOutsideOfWindow, id, "attempt", launch, "worker", worker, "after", now-c.ranSince)
	}
	c.began(launch, now)
}

// typeOf finds a request type; one that the settings do not name must not run twice.
func (o *Owner) typeOf(name string) scheduler.RequestType {
	for _, t := range o.front.Types {
		if t.Name == name {
			return t
		}
	}
	return scheduler.RequestType{Name: name, Effect: scheduler.AtMostOnce}
}

// checkAnswer notes a request's final answer; false: it has had one.
func (o *Owner) checkAnswer(e *Request) bool {
	now := o.Now()
	if e.checks.answered {
		o.monitor.Violated(invariant.AnsweredTwice, e.Fact.ID)
		return false
	}
	e.checks.answered = true
	by := e.submittedAt + e.Fact.TimeLeft
	late := now > by+answerSlack && e.clientGone.Load() == 0
	if late && !o.stall.EndedAfter(o.base.Add(by), time.Now()) { // else the process did not run when the answer was due
		o.monitor.Violated(invariant.AnsweredLate, e.Fact.ID, "later", now-by, "attempts", e.sent)
	}
	return true
}

// checkEnd checks that a request that is forgotten has had its answer, or nobody waits for one.
func (o *Owner) checkEnd(e *Request) {
	if !e.checks.answered && e.clientGone.Load() == 0 {
		o.monitor.Violated(invariant.NeverAnswered, e.Fact.ID, "attempts", e.sent)
	}
}

// loadChecks counts load requests against the rate limit of the settings.
type loadChecks struct {
	limits         core.LoadPolicy
	loads, arrived *window.Window
}

func newLoadChecks(l core.LoadPolicy) loadChecks {
	return loadChecks{l, window.New(l.RateWindow), window.New(l.RateWindow)}
}

func (c *loadChecks) submitted(now time.Duration) { c.arrived.Add(now, 1) }

// checkLoad checks a load request. Sums are rounded so that none within the limit is counted.
func (o *Owner) checkLoad(order scheduler.LoadRequest) {
	c := &o.loads
	if c.limits.RateWindow <= 0 || order.Replicas <= 0 {
		return
	}
	now := o.Now()
	c.loads.Add(now, 1)
	sent, most := c.loads.LowerSum(now), c.limits.RateBurst+c.limits.RatePerRequest*c.arrived.UpperSum(now)
	if sent > most {
		o.monitor.Violated(invariant.LoadOverLimit, "", "worker", order.Worker, "sent", sent, "most", most)
	}
}
