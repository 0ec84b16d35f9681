package gateway

import (
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/stall"
	"lupinpond/scheduler"
)

// Request is a client request together with the data that the core does not need.
type Request struct {
	Scheduled    *scheduler.Request    // the request as the scheduler sees it
	DuplicateKey string                // requests with the same key must not be in flight together; empty for no check
	Reply        func(invoke.Response) // called by the event loop with the final response; must not block
	Done         func()                // called when the request is closed; may be nil
	Body         []byte                // request body, unchanged from the client
	ReadDelay    time.Duration         // time for which the request may have waited before it was handled
	Call         invoke.Call           // the call of the invoke API, if the request came through it

	submittedAt    time.Duration
	disconnectedAt atomic.Int64      // time on the core's clock at which the client disconnected; 0 if it has not
	accepted       atomic.Bool       // the event loop has taken the request from the mailbox
	attempts       int               // number of attempts sent
	inFlight       map[int]Canceller // attempts without an outcome, by attempt number
	responseBody   []byte            // response body of the completed attempt
	checks         requestChecks
}

// WasSent reports whether an attempt of the request was sent to a worker, or may have been. It must only be called by
// Done.
func (r *Request) WasSent() bool { return r.attempts > 0 }

// reject answers a request that is not accepted and releases it.
func (r *Request) reject(response invoke.Response) {
	r.Reply(response)
	r.done()
}

func (r *Request) done() {
	if r.Done != nil {
		r.Done()
	}
}

// Submit submits a request that has just been read from its connection. Its Reply is called exactly once, unless the
// client disconnects first.
func (l *EventLoop) Submit(request *Request) {
	now, readAt := time.Now(), l.Now()
	lag := l.stall.Lag(now)
	if lag == 0 {
		l.submit(request, readAt-max(request.ReadDelay, l.stall.Delay(now)))
		return
	}
	// The process was stalled: part of the client's time has already passed, and a disconnect of the client may not have
	// been read yet.
	l.stats.ReadAfterStall.Add(1)
	time.AfterFunc(stall.SettleTime, func() { l.submit(request, readAt-max(lag, request.ReadDelay)) })
}

func (l *EventLoop) submit(request *Request, sentAt time.Duration) {
	l.mailbox.put(func(now time.Duration) {
		// Subtract the time for which the request waited for the event loop: otherwise the response could come after the
		// client's deadline.
		scheduled := request.Scheduled
		scheduled.TimeLeft -= min(scheduled.TimeLeft, max(0, now-sentAt))
		l.accept(now, request)
	})
}

// accept passes a request to the core, unless the client has already disconnected.
func (l *EventLoop) accept(now time.Duration, request *Request) {
	id := request.Scheduled.ID
	request.accepted.Store(true)
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
	l.requests[id] = request // before core.Submit, which may call the Actor methods with this request
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

// ClientDisconnected records that the client of a request has disconnected and cancels the request's attempts. From now
// on no attempt of the request is sent, even if the event loop handles other messages first.
func (l *EventLoop) ClientDisconnected(request *Request) {
	request.disconnectedAt.CompareAndSwap(0, int64(l.Now()))
	if !request.accepted.Load() {
		return // accept has not looked at disconnectedAt yet
	}
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

// reply answers a request with its final response. A second response to the same request is dropped.
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
