package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// request is the checker's record of one client request.
type request struct {
	id             string
	class          string
	gateway        *gatewayProcess
	wait           time.Duration // time limit of the client
	body           string
	idempotencyKey string
	sentAt         time.Time // just before it was first written
	disconnectedAt time.Time // when its client cancelled it or closed the connection; zero: the client is connected
	answeredAt     time.Time
	served         bool
	excused        bool // a fault excuses the missing response
	executions     int
	attempts       int
}

// finished reports whether the client no longer waits for a response: it has disconnected or got the response.
func (r *request) finished() bool { return !r.disconnectedAt.IsZero() || !r.answeredAt.IsZero() }

// checker records all requests of a run and detects violations of the rules.
type checker struct {
	startedAt time.Time
	stalls    stalls

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	counts     Counts

	floods []flooded

	runBegan, outageBegan, outageEnded time.Time // of the planned outage; zero: none
}

func newChecker() *checker { return &checker{startedAt: time.Now(), requests: map[string]*request{}} }

// recordViolation records a violation by a gateway.
func (c *checker) recordViolation(rule Rule, gateway, requestID, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(rule, gateway, requestID, format, args...)
}

// recordRequestViolation records a violation by the gateway of a request; c.mu must be held.
func (c *checker) recordRequestViolation(r *request, rule Rule, format string, args ...any) {
	c.recordViolationLocked(rule, r.gateway.name, r.id, format, args...)
}

// recordViolationLocked records a violation by a gateway; c.mu must be held.
func (c *checker) recordViolationLocked(rule Rule, gateway, requestID, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule:      rule,
		Gateway:   gateway,
		RequestID: requestID,
		Detail:    fmt.Sprintf(format, args...),
		Elapsed:   time.Since(c.startedAt),
	})
}

// report returns the counts and violations so far.
func (c *checker) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{Counts: c.counts, Violations: slices.Clone(c.violations)}
}

// setOutage records the times of a planned outage.
func (c *checker) setOutage(runBegan, began, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runBegan, c.outageBegan, c.outageEnded = runBegan, began, ended
}

// addServedShares adds the shares of requests served before, during and after a planned outage to the report.
func (c *checker) addServedShares(report *Report) {
	if c.outageBegan.IsZero() {
		return
	}
	report.BeforeOutage = c.servedShare(c.runBegan, c.outageBegan)
	report.InOutage = c.servedShare(c.outageBegan, c.outageEnded)
	report.AfterOutage = c.servedShare(c.outageEnded, time.Now())
}

func (c *checker) count(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// requestSent records a request whose last byte is about to be written.
func (c *checker) requestSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sentAt = time.Now()
	c.requests[r.id] = r
	c.counts.Requests++
}

// clientDisconnected records that the client of a request no longer waits for the response.
func (c *checker) clientDisconnected(r *request, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.finished() {
		r.disconnectedAt = at
		c.counts.Disconnected++
	}
}

// outcome is the result of a request as reported to its client.
type outcome string

const (
	served    outcome = "served"
	rejected  outcome = "rejected"
	failed    outcome = "failed"
	exception outcome = "exception"
)

// responseReceived checks a final response.
func (c *checker) responseReceived(r *request, outcome outcome, body string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !r.answeredAt.IsZero():
		c.recordRequestViolation(r, DuplicateResponse, "%s as a second response, %v after the first", outcome,
			at.Sub(r.answeredAt))
		return
	case !r.disconnectedAt.IsZero():
		return // the response and the client's disconnect crossed on the network
	}
	r.answeredAt = at
	switch outcome {
	case served:
		r.served = true
		c.counts.Served++
		if body != expectedBody(r.id) {
			c.recordRequestViolation(r, CorruptResponse, "response body %q", body)
		}
	case rejected:
		c.counts.Rejected++
	case failed:
		c.counts.Failed++
	default:
		c.counts.Exceptions++
	}
	if late := at.Sub(r.sentAt) - r.wait; late > responseSlack {
		c.checkLost(r, at, fmt.Sprintf("%s %v after the client's deadline", outcome, late))
	}
}

// connectionLost checks a request whose connection has ended before the response. It returns false if the client must
// send the request again on a new connection, because the request and the close of the connection crossed on the
// network.
func (c *checker) connectionLost(r *request, at time.Time, resent bool) (finished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.finished() {
		return true
	}
	if !resent && at.Sub(r.sentAt) <= crossingWindow && !r.gateway.lossExcuses.overlaps(r.sentAt, at) {
		return false
	}
	r.disconnectedAt = at // the client no longer waits
	c.checkLost(r, at, fmt.Sprintf("connection ended %v after the request was sent", at.Sub(r.sentAt)))
	return true
}

// checkUnanswered checks the requests without a response at the end of the run.
func (c *checker) checkUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.requests {
		if !r.finished() && !r.excused {
			due := r.sentAt.Add(r.wait + responseSlack)
			c.checkLost(r, due, fmt.Sprintf("no response %v after the request was sent", now.Sub(r.sentAt)))
		}
	}
}

// checkLost records a request without a timely response as lost, unless a fault excuses it or this process stalled;
// c.mu must be held.
func (c *checker) checkLost(r *request, at time.Time, detail string) {
	if r.gateway.lossExcuses.overlaps(r.sentAt, at) {
		r.excused = true
		c.counts.Excused++
		return
	}
	if c.stalled(r.sentAt, at) {
		return
	}
	c.recordRequestViolation(r, LostRequest, "class %s, wait %v, %d attempts: %s", r.class, r.wait, r.attempts, detail)
}

// stalled reports whether this process stalled in a period, so that events in it can't be checked; c.mu must be held.
func (c *checker) stalled(from, to time.Time) bool {
	if c.stalls.overlaps(from, to) {
		c.counts.NotChecked++
		return true
	}
	return false
}

// attemptReceived checks an attempt that a worker has received.
func (c *checker) attemptReceived(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	r := c.requests[a.id]
	if r == nil {
		return // no well-behaved client sent a request with this ID
	}
	r.attempts++
	if c.stalled(a.receivedAt.Add(-checkerSlack), a.receivedAt) {
		return
	}
	if r.class != a.class || r.body != a.body || r.idempotencyKey != a.idempotencyKey {
		c.recordRequestViolation(r, AlteredRequest, "sent with class %q, body %q, key %q; received with %q, %q, %q",
			r.class, r.body, r.idempotencyKey, a.class, a.body, a.idempotencyKey)
	}
	// Requests pass through a proxy in this process on their way to the gateway. If this process stalled meanwhile, the
	// gateway received the request late and can't determine when it was sent.
	if !a.readLate && !r.gateway.networkDelays.overlaps(r.sentAt, a.receivedAt) && !c.stalled(r.sentAt, a.receivedAt) {
		c.checkAttemptTimes(r, a)
	}
	if a.drainingSince.IsZero() || a.readLate {
		return
	}
	if late := a.receivedAt.Sub(r.gateway.notifiedAt(a.drainingSince)); late > drainSlack {
		c.recordRequestViolation(r, SentToDraining, "worker %s, %v after the gateway was considered notified of the drain",
			a.worker, late)
	}
}

// loadRequestReceived checks a load request that a worker received at the given time; the worker's drain was published
// at drainingSince.
func (c *checker) loadRequestReceived(gateway *gatewayProcess, worker string, drainingSince, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled(at.Add(-checkerSlack), at) {
		return
	}
	if late := at.Sub(gateway.notifiedAt(drainingSince)); late > drainSlack {
		c.recordViolationLocked(LoadedOnDraining, gateway.name, "",
			"worker %s, %v after the gateway was considered notified of the drain", worker, late)
	}
}

// servedShare counts the requests sent in a period, and those of them that were served. Requests whose clients
// disconnected are left out.
func (c *checker) servedShare(from, to time.Time) (share ServedShare) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) || !r.disconnectedAt.IsZero() {
			continue
		}
		share.Requests++
		if r.served {
			share.Served++
		}
	}
	return share
}

// checkAttemptTimes compares an attempt with its client's disconnect and deadline. Neither the request nor the attempt
// may have been delayed by a fault. c.mu must be held.
func (c *checker) checkAttemptTimes(r *request, a attempt) {
	age := a.receivedAt.Sub(r.sentAt)
	if late := a.receivedAt.Sub(r.disconnectedAt); !r.disconnectedAt.IsZero() && late > disconnectSlack {
		c.recordRequestViolation(r, SentAfterDisconnect, "%v after its client disconnected, %v after the request was sent",
			late, age)
	}
	if left := r.wait - age; a.statedTimeLeft > max(left, 0)+deadlineSlack {
		c.recordRequestViolation(r, OverstatedDeadline, "attempt states %v left, the client has %v of %v left",
			a.statedTimeLeft, left, r.wait)
	}
}

// executionStarted checks that a request may be executed: at-most-once requests only once.
func (c *checker) executionStarted(id, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.executions++
	if r.executions > 1 && r.class == classAtMostOnce {
		c.recordRequestViolation(r, DuplicateExecution, "execution %d, at worker %s", r.executions, worker)
	}
}
