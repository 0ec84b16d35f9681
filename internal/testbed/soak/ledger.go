package soak

import (
	"fmt"
	"sync"
	"time"
)

// Rule is a rule that the judge found broken.
type Rule string

// The rules, as the sockets show them.
const (
	LostRequest           Rule = "lost_request"         // no final answer, or one too late
	DuplicateResponse     Rule = "second_answer"        // to a request that had one
	CorruptResponse       Rule = "forged_answer"        // served, with what no worker made for it
	SentAfterDisconnect   Rule = "sent_after_leaving"   // an attempt after its client had left
	OverstatedDeadline    Rule = "overstated_deadline"  // a worker was told more time than the client had left
	DuplicateExecution    Rule = "ran_twice"            // a request that must not run twice
	SentToDraining        Rule = "sent_to_drained"      // an attempt after the drain grace
	SlowStartOverrun      Rule = "cold_overrun"         // a cold worker got more than it bears
	AlteredRequest        Rule = "changed"              // a request did not reach the worker as its client sent it
	NotReady              Rule = "not_ready"            // a front end was not ready in time after a start
	Crashed               Rule = "crashed"              // a front end ended by itself
	InvariantViolated     Rule = "front_end_invariant"  // a front end has logged one of its own
	ResentRequestRejected Rule = "exception_for_resent" // a request sent again after a crossing was refused as known
)

// Violation is one broken rule.
type Violation struct {
	Rule      Rule
	Gateway   string
	RequestID string
	Detail    string
	Elapsed   time.Duration // since the begin of the run
}

// span is a time in which something was wrong.
type span struct {
	from, to time.Time
	reason   string
}

// spans are those of one front end. A span that goes on has no end.
type spans []*span

func (s spans) overlaps(from, to time.Time) (why string, is bool) {
	for _, x := range s {
		if !x.from.After(to) && (x.to.IsZero() || !x.to.Before(from)) {
			return x.reason, true
		}
	}
	return "", false
}

// request is what the judge knows of one request.
type request struct {
	id             string
	class          string
	gateway        *gatewayProcess
	sentAt         time.Time // its last byte was written
	wait           time.Duration
	disconnectedAt time.Time // its client cancelled it or closed the connection; zero: it waits
	answeredAt     time.Time
	excuse         string // why no answer is owed
	runs           int
	attempts       int
	body           string
	idempotencyKey string
}

// checker has all requests and violations of a run.
type checker struct {
	startedAt time.Time
	stalls    stalls

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	counts     Counts
}

// Counts count what was judged.
type Counts struct {
	Requests, Served, Rejected, Failed, Exceptions, Disconnected, Excused, Attempts, LoadRequests int
	NotChecked                                                                                    int // as the judge itself was late
	Starts, Faults, BadClients                                                                    int
}

func newChecker() *checker { return &checker{startedAt: time.Now(), requests: map[string]*request{}} }

// violatedLocked notes a broken rule; the lock is held.
func (l *checker) violatedLocked(kind Rule, front, id, format string, args ...any) {
	l.violations = append(l.violations, Violation{kind, front, id, fmt.Sprintf(format, args...), time.Since(l.startedAt)})
}

// Violated notes a broken rule.
func (l *checker) Violated(kind Rule, front, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violatedLocked(kind, front, id, format, args...)
}

func (l *checker) count(change func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// requestSent notes a request whose last byte is about to be written.
func (l *checker) requestSent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sentAt = time.Now()
	l.requests[r.id] = r
	l.counts.Requests++
}

// clientDisconnected notes that the client of a request has left.
func (l *checker) clientDisconnected(r *request, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.disconnectedAt.IsZero() && r.answeredAt.IsZero() {
		r.disconnectedAt = at
		l.counts.Disconnected++
	}
}

// The endings of a request as its client reads them.
const (
	served    = "served"
	rejected  = "rejected"
	failed    = "failed"
	exception = "exception"
)

// responseReceived judges a final answer.
func (l *checker) responseReceived(r *request, ending, body string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !r.answeredAt.IsZero():
		l.violatedLocked(DuplicateResponse, r.gateway.name, r.id, "%s after an answer %v before", ending, at.Sub(r.answeredAt))
		return
	case !r.disconnectedAt.IsZero():
		return // it crossed the client's leaving
	}
	r.answeredAt = at
	switch ending {
	case served:
		l.counts.Served++
		if body != expectedBody(r.id) {
			l.violatedLocked(CorruptResponse, r.gateway.name, r.id, "body %q", body)
		}
	case rejected:
		l.counts.Rejected++
	case failed:
		l.counts.Failed++
	default:
		l.counts.Exceptions++
	}
	if late := at.Sub(r.sentAt) - r.wait; late > responseSlack {
		l.checkLost(r, at, fmt.Sprintf("answered %s %v after its time", ending, late))
	}
}

// checkLost judges a request that got no answer in time; the lock is held.
func (l *checker) checkLost(r *request, at time.Time, how string) {
	if why, is := r.gateway.lossExcuses.overlaps(r.sentAt, at); is {
		r.excuse = why
		l.counts.Excused++
		return
	}
	if l.checkerStalled(r.sentAt, at) {
		return
	}
	l.violatedLocked(LostRequest, r.gateway.name, r.id, "class %s, wait %v, %d attempts: %s", r.class, r.wait, r.attempts, how)
}

// checkerStalled tells whether the judge itself did not run in a time, which then can't be judged; the lock is held.
func (l *checker) checkerStalled(from, to time.Time) bool {
	if l.stalls.overlaps(from, to) {
		l.counts.NotChecked++
		return true
	}
	return false
}

// connectionLost judges a request on a connection that has ended without its answer; false: it is to be sent again on a new connection, as
// it crossed the close.
func (l *checker) connectionLost(r *request, at time.Time, resent bool) (over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.disconnectedAt.IsZero() || !r.answeredAt.IsZero() {
		return true
	}
	if !resent && at.Sub(r.sentAt) <= crossingWindow {
		if _, is := r.gateway.lossExcuses.overlaps(r.sentAt, at); !is {
			return false
		}
	}
	r.disconnectedAt = at // nobody waits any more
	l.checkLost(r, at, fmt.Sprintf("its connection ended after %v", at.Sub(r.sentAt)))
	return true
}

// attemptReceived judges a request as it came to a worker.
func (l *checker) attemptReceived(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Attempts++
	r := l.requests[a.id]
	if r == nil {
		return // of a bad client
	}
	r.attempts++
	if l.checkerStalled(a.receivedAt.Add(-checkerSlack), a.receivedAt) {
		return
	}
	if r.class != a.class || r.body != a.body || r.idempotencyKey != a.idempotencyKey {
		l.violatedLocked(AlteredRequest, r.gateway.name, r.id, "class %q, body %q, mark %q came as %q, %q, %q", r.class, r.body, r.idempotencyKey, a.class, a.body, a.idempotencyKey)
	}
	_, delayed := r.gateway.networkDelays.overlaps(r.sentAt, a.receivedAt)
	delayed = delayed || a.readLate
	if !delayed && !r.disconnectedAt.IsZero() && a.receivedAt.Sub(r.disconnectedAt) > disconnectSlack {
		l.violatedLocked(SentAfterDisconnect, r.gateway.name, r.id, "%v after its client had left, %v after it was sent", a.receivedAt.Sub(r.disconnectedAt), a.receivedAt.Sub(r.sentAt))
	}
	if left := r.wait - a.receivedAt.Sub(r.sentAt); !delayed && a.statedTimeLeft > max(left, 0)+deadlineSlack {
		l.violatedLocked(OverstatedDeadline, r.gateway.name, r.id, "told %v, the client has %v of %v left", a.statedTimeLeft, left, r.wait)
	}
	if a.drainedAt.IsZero() || a.readLate {
		return
	}
	if late := a.receivedAt.Sub(r.gateway.notifiedAt(a.drainedAt)); late > drainSlack {
		l.violatedLocked(SentToDraining, r.gateway.name, r.id, "worker %s, %v after it counts as told", a.worker, late)
	}
}

// executionStarted judges that a request runs.
func (l *checker) executionStarted(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return
	}
	if r.runs++; r.runs > 1 && r.class == classAtMostOnce {
		l.violatedLocked(DuplicateExecution, r.gateway.name, id, "run %d, at %s", r.runs, worker)
	}
}

// checkUnanswered judges what has no answer at the end.
func (l *checker) checkUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.requests {
		if r.answeredAt.IsZero() && r.disconnectedAt.IsZero() && r.excuse == "" {
			l.checkLost(r, r.sentAt.Add(r.wait+responseSlack), fmt.Sprintf("never answered, %v after it was sent", now.Sub(r.sentAt)))
		}
	}
}
