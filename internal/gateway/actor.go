package gateway

import (
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/scheduler"
)

var _ core.Actor = (*EventLoop)(nil)

// The methods of core.Actor execute the core's decisions. The core calls them, always on the event loop's goroutine.

// Send sends an attempt to a worker. If the client has disconnected since the core's decision, the attempt is withheld.
func (l *EventLoop) Send(scheduled *scheduler.Request, attempt int, worker string) {
	request := l.requests[scheduled.ID]
	if request.disconnectedAt.Load() != 0 {
		l.mailbox.put(func(now time.Duration) {
			withheld := scheduler.Outcome{Worker: worker, Result: scheduler.Withheld}
			l.core.CompleteAttempt(now, scheduled.ID, attempt, withheld)
		})
		return
	}
	l.checkAttempt(request, attempt, worker)
	l.counts.Attempts++
	if request.attempts++; request.attempts > 1 {
		l.stats.Retries.Add(1)
	}
	l.logRequest("attempt sent", request, "attempt", attempt, "worker", worker)
	sentAt := time.Now()
	permit := &SendPermit{loop: l, request: request, decidedAt: l.Now(),
		deadline: min(request.submittedAt+scheduled.TimeLeft, l.shutdownDeadline), sendBy: scheduled.SendBy(),
		retryBy: scheduled.RetryBy(), windowEnd: l.windowEnd(request)}
	inFlight := l.transport.Send(request, attempt, worker, permit, func(outcome scheduler.Outcome, body []byte) {
		l.mailbox.put(func(now time.Duration) {
			outcome.Worker, outcome.Duration = worker, time.Since(sentAt)
			l.completeAttempt(now, request, attempt, outcome, body)
		})
	})
	if inFlight != nil {
		request.inFlight[attempt] = inFlight
	}
}

func (l *EventLoop) completeAttempt(now time.Duration, request *Request, attempt int, outcome scheduler.Outcome,
	body []byte) {
	delete(request.inFlight, attempt)
	request.checks.attemptEnded(attempt, outcome.Result)
	l.logRequest("attempt completed", request, "attempt", attempt, "worker", outcome.Worker,
		"result", outcome.Result.String(), "duration", outcome.Duration)
	if outcome.Result == scheduler.Completed {
		request.responseBody = body
	}
	if !l.core.CompleteAttempt(now, request.Scheduled.ID, attempt, outcome) {
		l.counts.LateOutcomes++
	}
}

// Complete answers a request with the response body of a completed attempt.
func (l *EventLoop) Complete(scheduled *scheduler.Request, attempt int) {
	l.counts.Completed++
	request := l.requests[scheduled.ID]
	l.reply(request, invoke.Response{Outcome: invoke.Completed, Attempts: attempt + 1, Body: request.responseBody})
}

// Reject answers a request with a rejection: the client may safely retry it.
func (l *EventLoop) Reject(scheduled *scheduler.Request, retryAfter time.Duration, _ bool) {
	l.counts.Rejected++
	request := l.requests[scheduled.ID]
	l.reply(request, invoke.Response{Outcome: invoke.Rejected, Attempts: request.attempts, RetryAfter: retryAfter,
		Reason: "not handled in time; trying again does no harm"})
}

// Fail answers a request with a failure: its type does not allow another attempt.
func (l *EventLoop) Fail(scheduled *scheduler.Request, attempts int, mayHaveRun bool) {
	l.counts.Failed++
	l.reply(l.requests[scheduled.ID], invoke.Response{Outcome: invoke.Failed, Attempts: attempts, MayHaveRun: mayHaveRun,
		Reason: "not handled; its type allows no other try"})
}

// Cancel cancels an attempt. Its outcome is still reported through CompleteAttempt.
func (l *EventLoop) Cancel(scheduled *scheduler.Request, attempt int, _ string) {
	if inFlight := l.requests[scheduled.ID].inFlight[attempt]; inFlight != nil {
		inFlight.Cancel()
	}
}

// Closed removes the state of a closed request and cancels its attempts in flight.
func (l *EventLoop) Closed(scheduled *scheduler.Request, _ int, _ core.CloseReason) {
	request := l.requests[scheduled.ID]
	l.checkClosed(request)
	for _, attempt := range request.inFlight {
		attempt.Cancel()
	}
	delete(l.duplicateKeys, request.DuplicateKey)
	delete(l.requests, scheduled.ID)
	request.done()
}

// RequestLoad sends a load request. If there is no result within the load timeout, RequestLoad reports it as timed out
// and cancels it.
func (l *EventLoop) RequestLoad(load scheduler.LoadRequest) {
	switch load.Purpose {
	case scheduler.VerifyWorker:
		l.stats.Verifications.Add(1)
	case scheduler.QueryReplicas:
		l.stats.ReplicaQueries.Add(1)
	default:
		l.counts.LoadRequests++
	}
	l.checkLoad(load)
	permit := &LoadPermit{loop: l, decidedAt: l.Now(), sendBy: load.SendBy}
	sentAt, completed := time.Now(), false
	complete := func(replicas int, result scheduler.Result) {
		l.mailbox.put(func(now time.Duration) {
			if completed {
				return
			}
			completed = true
			load.Replicas = replicas
			l.core.LoadCompleted(now, load, result, time.Since(sentAt))
		})
	}
	requested := load.Replicas
	inFlight := l.transport.Load(load, permit, complete)
	time.AfterFunc(l.loadTimeout, func() {
		complete(requested, scheduler.TimedOut)
		cancel(inFlight)
	})
}

// Probe asks a worker for a load report. If there is no reply within the probe timeout, Probe reports the probe as
// timed out and cancels it.
func (l *EventLoop) Probe(worker string) {
	l.counts.Probes++
	sentAt, completed := time.Now(), false
	complete := func(result scheduler.Result, report scheduler.LoadReport) {
		l.mailbox.put(func(now time.Duration) {
			if completed {
				return
			}
			completed = true
			l.core.ProbeCompleted(now, worker, result, report, time.Since(sentAt))
		})
	}
	inFlight := l.transport.Probe(worker, complete)
	time.AfterFunc(l.probeTimeout, func() {
		complete(scheduler.TimedOut, scheduler.LoadReport{})
		cancel(inFlight)
	})
}

// cancel cancels a call in flight, if there is one. A call that is never answered would otherwise occupy its connection
// forever.
func cancel(inFlight Canceller) {
	if inFlight != nil {
		inFlight.Cancel()
	}
}

// Subscribe subscribes to the endpoint list through the transport.
func (l *EventLoop) Subscribe() { l.transport.Subscribe() }

// SetTimer schedules a call of the core's TimerFired after a delay. The core only sets a timer that fires before all
// pending ones, so timerTimes stays sorted.
func (l *EventLoop) SetTimer(after time.Duration) {
	l.timerTimes = append(l.timerTimes, time.Now().Add(after))
	l.timer.Reset(after)
}
