package soak

import (
	"fmt"
	"sync"
	"time"
)

// Kind is a rule that the judge found broken.
type Kind string

// The rules, as the sockets show them.
const (
	LostRequest      Kind = "lost_request"         // no final answer, or one too late
	SecondAnswer     Kind = "second_answer"        // to a request that had one
	ForgedAnswer     Kind = "forged_answer"        // served, with what no worker made for it
	SentAfterLeaving Kind = "sent_after_leaving"   // an attempt after its client had left
	Overstated       Kind = "overstated_deadline"  // a worker was told more time than the client had left
	RanTwice         Kind = "ran_twice"            // a request that must not run twice
	SentToDrained    Kind = "sent_to_drained"      // an attempt after the drain grace
	ColdOverrun      Kind = "cold_overrun"         // a cold worker got more than it bears
	Changed          Kind = "changed"              // a request did not reach the worker as its client sent it
	NotReady         Kind = "not_ready"            // a front end was not ready in time after a start
	Crashed          Kind = "crashed"              // a front end ended by itself
	OwnInvariant     Kind = "front_end_invariant"  // a front end has logged one of its own
	RefusedWhileIdle Kind = "exception_for_resent" // a request sent again after a crossing was refused as known
)

// Violation is one broken rule.
type Violation struct {
	Kind   Kind
	Front  string
	ID     string
	Detail string
	After  time.Duration // since the begin of the run
}

// span is a time in which something was wrong.
type span struct {
	from, to time.Time
	why      string
}

// spans are those of one front end. A span that goes on has no end.
type spans []*span

func (s spans) meets(from, to time.Time) (why string, is bool) {
	for _, x := range s {
		if !x.from.After(to) && (x.to.IsZero() || !x.to.Before(from)) {
			return x.why, true
		}
	}
	return "", false
}

// request is what the judge knows of one request.
type request struct {
	id       string
	class    string
	front    *front
	sent     time.Time // its last byte was written
	wait     time.Duration
	left     time.Time // its client cancelled it or closed the connection; zero: it waits
	answered time.Time
	excused  string // why no answer is owed
	runs     int
	attempts int
	body     string
	mark     string
}

// ledger has all requests and violations of a run.
type ledger struct {
	began  time.Time
	stalls stalls

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	sums       Sums
}

// Sums count what was judged.
type Sums struct {
	Requests, Served, Rejected, Failed, Exceptions, Left, Excused, Attempts, Orders int
	NotJudged                                                                       int // as the judge itself was late
	Starts, Troubles, BadClients                                                    int
}

func newLedger() *ledger { return &ledger{began: time.Now(), requests: map[string]*request{}} }

// violated notes a broken rule; the lock is held.
func (l *ledger) violated(kind Kind, front, id, format string, args ...any) {
	l.violations = append(l.violations, Violation{kind, front, id, fmt.Sprintf(format, args...), time.Since(l.began)})
}

// Violated notes a broken rule.
func (l *ledger) Violated(kind Kind, front, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violated(kind, front, id, format, args...)
}

func (l *ledger) count(change func(*Sums)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.sums)
}

// begin notes a request whose last byte is about to be written.
func (l *ledger) begin(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = time.Now()
	l.requests[r.id] = r
	l.sums.Requests++
}

// leave notes that the client of a request has left.
func (l *ledger) leave(r *request, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.left.IsZero() && r.answered.IsZero() {
		r.left = at
		l.sums.Left++
	}
}

// The endings of a request as its client reads them.
const (
	served    = "served"
	rejected  = "rejected"
	failed    = "failed"
	exception = "exception"
)

// answer judges a final answer.
func (l *ledger) answer(r *request, ending, body string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !r.answered.IsZero():
		l.violated(SecondAnswer, r.front.name, r.id, "%s after an answer %v before", ending, at.Sub(r.answered))
		return
	case !r.left.IsZero():
		return // it crossed the client's leaving
	}
	r.answered = at
	switch ending {
	case served:
		l.sums.Served++
		if body != answerTo(r.id) {
			l.violated(ForgedAnswer, r.front.name, r.id, "body %q", body)
		}
	case rejected:
		l.sums.Rejected++
	case failed:
		l.sums.Failed++
	default:
		l.sums.Exceptions++
	}
	if late := at.Sub(r.sent) - r.wait; late > answerSlack {
		l.judgeLost(r, at, fmt.Sprintf("answered %s %v after its time", ending, late))
	}
}

// judgeLost judges a request that got no answer in time; the lock is held.
func (l *ledger) judgeLost(r *request, at time.Time, how string) {
	if why, is := r.front.excuses.meets(r.sent, at); is {
		r.excused = why
		l.sums.Excused++
		return
	}
	if l.lateJudge(r.sent, at) {
		return
	}
	l.violated(LostRequest, r.front.name, r.id, "class %s, wait %v, %d attempts: %s", r.class, r.wait, r.attempts, how)
}

// lateJudge tells whether the judge itself did not run in a time, which then can't be judged; the lock is held.
func (l *ledger) lateJudge(from, to time.Time) bool {
	if l.stalls.met(from, to) {
		l.sums.NotJudged++
		return true
	}
	return false
}

// broke judges a request on a connection that has ended without its answer; false: it is to be sent again on a new connection, as
// it crossed the close.
func (l *ledger) broke(r *request, at time.Time, resent bool) (over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.left.IsZero() || !r.answered.IsZero() {
		return true
	}
	if !resent && at.Sub(r.sent) <= crossingWithin {
		if _, is := r.front.excuses.meets(r.sent, at); !is {
			return false
		}
	}
	r.left = at // nobody waits any more
	l.judgeLost(r, at, fmt.Sprintf("its connection ended after %v", at.Sub(r.sent)))
	return true
}

// attempt judges a request as it came to a worker.
func (l *ledger) attempt(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sums.Attempts++
	r := l.requests[a.id]
	if r == nil {
		return // of a bad client
	}
	r.attempts++
	if l.lateJudge(a.came.Add(-judgeSlack), a.came) {
		return
	}
	if r.class != a.class || r.body != a.body || r.mark != a.mark {
		l.violated(Changed, r.front.name, r.id, "class %q, body %q, mark %q came as %q, %q, %q", r.class, r.body, r.mark, a.class, a.body, a.mark)
	}
	_, delayed := r.front.network.meets(r.sent, a.came)
	delayed = delayed || a.readLate
	if !delayed && !r.left.IsZero() && a.came.Sub(r.left) > leftSlack {
		l.violated(SentAfterLeaving, r.front.name, r.id, "%v after its client had left, %v after it was sent", a.came.Sub(r.left), a.came.Sub(r.sent))
	}
	if left := r.wait - a.came.Sub(r.sent); !delayed && a.told > max(left, 0)+deadlineSlack {
		l.violated(Overstated, r.front.name, r.id, "told %v, the client has %v of %v left", a.told, left, r.wait)
	}
	if a.drained.IsZero() || a.readLate {
		return
	}
	if late := a.came.Sub(r.front.toldAt(a.drained)); late > drainSlack {
		l.violated(SentToDrained, r.front.name, r.id, "worker %s, %v after it counts as told", a.worker, late)
	}
}

// ran judges that a request runs.
func (l *ledger) ran(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return
	}
	if r.runs++; r.runs > 1 && r.class == classOnce {
		l.violated(RanTwice, r.front.name, id, "run %d, at %s", r.runs, worker)
	}
}

// settle judges what has no answer at the end.
func (l *ledger) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.requests {
		if r.answered.IsZero() && r.left.IsZero() && r.excused == "" {
			l.judgeLost(r, r.sent.Add(r.wait+answerSlack), fmt.Sprintf("never answered, %v after it was sent", now.Sub(r.sent)))
		}
	}
}
