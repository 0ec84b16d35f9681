package gateway

import (
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/stall"
	"lupinpond/scheduler"
)

// Request is one client request with all that the core does not need to know of it.
type Request struct {
	Scheduled    *scheduler.Request    // what the scheduler decides by
	DuplicateKey string                // must not be in flight twice; empty where a duplicate does no harm
	Reply        func(invoke.Response) // called by the event loop with the final response; must not block
	Done         func()                // called once nothing follows for the request; may be nil
	Body         []byte                // as the client sent it
	Call         invoke.Call           // of a client of the invoke API

	submittedAt    time.Duration
	disconnectedAt atomic.Int64      // when its client disconnected, by the core's clock; 0: it has not
	attempts       int               // sent so far
	inFlight       map[int]Canceller // attempts without an outcome
	responseBody   []byte            // of the attempt that completed
	checks         requestChecks
}

// reject answers a request that is not accepted.
func (r *Request) reject(response invoke.Response) {
	r.Reply(response)
	r.done()
}

func (r *Request) done() {
	if r.Done != nil {
		r.Done()
	}
}

// Submit accepts a request that was read just now. Its Reply is called exactly once, unless its client disconnects
// first.
func (l *EventLoop) Submit(request *Request) {
	readAt := l.Now()
	lag := l.stall.Lag(time.Now())
	if lag == 0 {
		l.submit(request, readAt)
		return
	}
	// The process did not run: the client's time went on meanwhile, and its disconnect may not have been read yet.
	l.stats.ReadAfterStall.Add(1)
	time.AfterFunc(stall.SettleTime, func() { l.submit(request, readAt-lag) })
}

func (l *EventLoop) submit(request *Request, sentAt time.Duration) {
	l.mailbox.put(func(now time.Duration) {
		// The client's time goes on while the event loop is blocked; else the response would come too late.
		scheduled := request.Scheduled
		scheduled.TimeLeft -= min(scheduled.TimeLeft, max(0, now-sentAt))
		l.accept(now, request)
	})
}

// accept passes a request to the core, unless its client has disconnected already.
func (l *EventLoop) accept(now time.Duration, request *Request) {
	id := request.Scheduled.ID
	if request.disconnectedAt.Load() != 0 {
		l.counts.ClientsDisconnected++
		request.done()
		return
	}
	if request.DuplicateKey != "" && l.duplicateKeys[request.DuplicateKey] {
		request.reject(invoke.Response{Outcome: invoke.InFlight, Reason: "an event of this id is in hand"})
		return
	}
	request.submittedAt, request.inFlight = now, map[int]Canceller{}
	if l.requests[id] != nil {
		request.reject(invoke.Response{Outcome: invoke.NotAccepted, Reason: core.ErrDuplicate.Error()})
		return
	}
	if request.DuplicateKey != "" {
		l.duplicateKeys[request.DuplicateKey] = true
	}
	l.requests[id] = request // before Submit, in which the core may act on it
	l.counts.Accepted++
	l.logRequest("request accepted", request, "type", request.Scheduled.Type, "tenant", request.Scheduled.Tenant,
		"time_left", request.Scheduled.TimeLeft)
	l.loadChecks.submitted(now)
	if err := l.core.Submit(now, request.Scheduled); err != nil {
		delete(l.requests, id)
		delete(l.duplicateKeys, request.DuplicateKey)
		request.reject(invoke.Response{Outcome: invoke.NotAccepted, Reason: err.Error()})
	}
}

// ClientDisconnected reports that nobody waits for a request any more; its attempts are cancelled. No attempt of it
// is sent from now on, however many messages the event loop takes before this one.
func (l *EventLoop) ClientDisconnected(request *Request) {
	request.disconnectedAt.CompareAndSwap(0, int64(l.Now()))
	l.mailbox.put(func(now time.Duration) {
		if l.requests[request.Scheduled.ID] != request {
			return
		}
		l.core.ClientDisconnected(now, request.Scheduled.ID)
		l.counts.ClientsDisconnected++
		l.logRequest("client disconnected", request, "in_flight", len(request.inFlight))
		for _, attempt := range request.inFlight {
			attempt.Cancel()
		}
	})
}

// reply gives a request its final response; a second one is dropped.
func (l *EventLoop) reply(request *Request, response invoke.Response) {
	if !l.checkAnswer(request) {
		return
	}
	reason := request.Scheduled.Reason()
	if response.Outcome != invoke.Completed {
		l.stats.Unserved[reason].Add(1)
	}
	l.logRequest("request completed", request, "outcome", response.Outcome.String(), "reason", reason.String(),
		"attempts", request.attempts)
	request.Reply(response)
}
