package core

import (
	"container/heap"
	"errors"
	"math"
	"time"

	"lupinpond/scheduler"
)

// Core is the state machine of one gateway. It is not safe for concurrent use.
type Core struct {
	scheduler         *scheduler.Scheduler
	actor             Actor
	requests          map[string]*trackedRequest // by request ID
	lastSequence      uint64                     // sequence number of the latest request
	enforcesDeadlines bool                       // the core itself times out attempts
	deadlines         deadlineHeap               // open requests before their deadline, if enforcesDeadlines is set
	shutdownDeadline  time.Duration              // latest time for the final answer of any request
	timers            []time.Duration            // pending timers, the earliest last
	recorder          func(Input)                // called with every input; nil if not recording
	leaseObserver     func(scheduler.LeaseEvent) // called with every lease event; may be nil
}

// ErrDuplicate reports that a request with the same ID is still open. Its text is part of the answer to the client.
var ErrDuplicate = errors.New("an event of this id is in hand")

// New returns a core that acts through actor.
func New(settings Settings, actor Actor) *Core {
	return &Core{
		scheduler:         settings.newScheduler(),
		actor:             actor,
		requests:          map[string]*trackedRequest{},
		enforcesDeadlines: settings.EnforceDeadlines,
		shutdownDeadline:  math.MaxInt64,
	}
}

// OpenRequests returns the number of requests that have no final answer yet or have an attempt in flight.
func (c *Core) OpenRequests() int { return len(c.requests) }

// Members returns the workers listed by the registry, ordered by name.
func (c *Core) Members() []scheduler.Member { return c.scheduler.Members() }

// FleetState returns the scheduler's state of the fleet.
func (c *Core) FleetState() scheduler.FleetState { return c.scheduler.FleetState() }

// UpdateMembership applies changes of the worker registry.
func (c *Core) UpdateMembership(now time.Duration, changes []scheduler.Member) {
	c.record(Input{Op: OpUpdateMembership, Now: now, Members: changes})
	c.scheduler.UpdateMembership(now, changes)
}

// ReplaceMembership applies the complete content of the worker registry: workers that are not in members are removed.
func (c *Core) ReplaceMembership(now time.Duration, members []scheduler.Member) {
	c.record(Input{Op: OpUpdateMembership, Now: now, Complete: true, Members: members})
	c.scheduler.ReplaceMembership(now, members)
}

// WatchFailed records that subscribing to the worker registry failed, or that the subscription was lost.
func (c *Core) WatchFailed(now time.Duration) {
	c.record(Input{Op: OpWatchFailed, Now: now})
	c.scheduler.WatchFailed(now)
}

// SetWatchLease sets the time at which the registry watch's lease expires. While the lease is valid, the gateway
// receives all changes in time. From the expiry on, the gateway is considered notified of a change as soon as the
// change happens, even if it has not received it.
func (c *Core) SetWatchLease(now, expires time.Duration) {
	c.record(Input{Op: OpSetWatchLease, Now: now, Deadline: expires})
	c.scheduler.SetWatchLease(now, expires)
}

// ObserveLeases sets the function that is called with each subsequent lease event. A nil observer disables this.
func (c *Core) ObserveLeases(observer func(scheduler.LeaseEvent)) { c.leaseObserver = observer }

// Submit accepts a client's request. If a request with the same ID is open, it does nothing and returns ErrDuplicate.
func (c *Core) Submit(now time.Duration, request *scheduler.Request) error {
	if c.requests[request.ID] != nil {
		return ErrDuplicate
	}
	if c.recorder != nil {
		c.recorder(Input{Op: OpSubmit, Now: now, Request: requestInput(request)})
	}
	c.lastSequence++
	tracked := &trackedRequest{
		request:   request,
		sequence:  c.lastSequence,
		deadline:  min(now+request.TimeLeft, c.shutdownDeadline),
		heapIndex: -1,
	}
	c.requests[request.ID] = tracked
	if c.enforcesDeadlines {
		heap.Push(&c.deadlines, tracked)
	}
	decision := c.scheduler.Submit(now, request)
	c.scheduler.LimitDeadline(request, tracked.deadline)
	c.perform(now, tracked, decision)
	return nil
}

// ShutdownBy starts a graceful shutdown: open requests, and those submitted later, get their final answer by the
// deadline. A request that is still unanswered when the process is killed would be lost, which rule 1 forbids.
func (c *Core) ShutdownBy(now, deadline time.Duration) {
	c.record(Input{Op: OpShutdownBy, Now: now, Deadline: deadline})
	c.shutdownDeadline = deadline
	for _, tracked := range c.requests {
		tracked.deadline = min(tracked.deadline, deadline)
		c.scheduler.LimitDeadline(tracked.request, tracked.deadline)
	}
	heap.Init(&c.deadlines)
}

// CompleteAttempt handles the outcome of a request's attempt in flight. It ignores any other outcome (of an earlier
// attempt, a duplicate, or of a request that is not open): it does not pass it to the scheduler and returns false.
func (c *Core) CompleteAttempt(now time.Duration, id string, attempt int, outcome scheduler.Outcome) bool {
	c.record(Input{Op: OpCompleteAttempt, Now: now, ID: id, Attempt: attempt, Outcome: outcome})
	tracked := c.requests[id]
	if tracked == nil || attempt != tracked.attempts-1 || !tracked.request.InFlight() {
		return false
	}
	c.completeAttempt(now, tracked, outcome)
	return true
}

// completeAttempt passes the outcome of the attempt in flight to the scheduler and carries out its decision.
func (c *Core) completeAttempt(now time.Duration, tracked *trackedRequest, outcome scheduler.Outcome) {
	completed := outcome.Result == scheduler.Completed && !tracked.clientDisconnected
	outcome.Final = outcome.Final || outcome.Result == scheduler.Completed || tracked.clientDisconnected
	switch outcome.Result {
	case scheduler.Failed, scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Cancelled, scheduler.Completed:
		tracked.mayHaveRun = true
	}
	attempt := tracked.attempts - 1
	decision := c.scheduler.Complete(now, tracked.request, outcome)
	if completed {
		c.actor.Complete(tracked.request, attempt)
		c.closeRequest(tracked, Completed)
	} else if outcome.Final {
		c.closeRequest(tracked, Abandoned)
	}
	c.perform(now, tracked, decision)
}

// ClientDisconnected records that the client of a request has disconnected. It returns false if the request is not
// open.
func (c *Core) ClientDisconnected(now time.Duration, id string) bool {
	c.record(Input{Op: OpClientDisconnected, Now: now, ID: id})
	tracked := c.requests[id]
	if tracked == nil {
		return false
	}
	tracked.clientDisconnected = true
	c.scheduler.ClientDisconnected(tracked.request)
	c.closeRequest(tracked, Abandoned)
	return true
}

// ProbeCompleted handles the result, load report and round-trip time of a probe.
func (c *Core) ProbeCompleted(now time.Duration, worker string, result scheduler.Result, report scheduler.LoadReport,
	roundTrip time.Duration) {
	c.record(Input{Op: OpProbeCompleted, Now: now, Worker: worker,
		Outcome: scheduler.Outcome{Result: result, Report: report, Duration: roundTrip}})
	c.scheduler.ProbeCompleted(now, worker, result, report, roundTrip)
}

// LoadCompleted handles the result of a load request and the time from sending it to its result.
func (c *Core) LoadCompleted(now time.Duration, load scheduler.LoadRequest, result scheduler.Result,
	duration time.Duration) {
	c.record(Input{Op: OpLoadCompleted, Now: now, LoadRequest: load,
		Outcome: scheduler.Outcome{Result: result, Duration: duration}})
	c.scheduler.LoadCompleted(now, load, result, duration)
}

// TimerFired records that a timer has fired. The caller must call ProcessDue afterwards.
func (c *Core) TimerFired(now time.Duration) {
	c.record(Input{Op: OpTimerFired, Now: now})
	for len(c.timers) > 0 && c.timers[len(c.timers)-1] <= now {
		c.timers = c.timers[:len(c.timers)-1]
	}
}

// ProcessDue must be called after all inputs of one point in time. It times out attempts, carries out the decisions,
// probes and load requests of the scheduler's tick, and sets a timer for the next tick or deadline unless a pending one
// fires by then.
func (c *Core) ProcessDue(now time.Duration) {
	c.record(Input{Op: OpProcessDue, Now: now})
	c.timeOutAttempts(now)
	due := c.scheduler.Tick(now)
	if c.leaseObserver != nil {
		for _, event := range due.LeaseEvents {
			c.leaseObserver(event)
		}
	}
	if due.Subscribe {
		c.actor.Subscribe()
	}
	for _, decision := range due.Decisions {
		if tracked := c.requests[decision.Request.ID]; tracked != nil {
			c.perform(now, tracked, decision)
		}
	}
	for _, worker := range due.Probes {
		c.actor.Probe(worker)
	}
	for _, load := range due.LoadRequests {
		c.actor.RequestLoad(load)
	}
	c.setTimer(now, due.Next)
}

// timeOutAttempts times out the attempts of requests whose deadline has passed, earliest deadline first.
func (c *Core) timeOutAttempts(now time.Duration) {
	for len(c.deadlines) > 0 && c.deadlines[0].deadline <= now {
		tracked := heap.Pop(&c.deadlines).(*trackedRequest)
		if tracked.request.InFlight() {
			c.completeAttempt(now, tracked, scheduler.Outcome{
				Worker:   tracked.worker,
				Duration: now - tracked.sentAt,
				Result:   scheduler.TimedOut,
			})
		}
	}
}

// setTimer sets a timer for the next deadline or, if it is due earlier, for the scheduler's next tick, unless a pending
// timer fires by then. next is the duration until the tick, or 0 if the scheduler has none scheduled.
func (c *Core) setTimer(now, next time.Duration) {
	if len(c.deadlines) > 0 {
		if untilDeadline := max(1, c.deadlines[0].deadline-now); next == 0 || untilDeadline < next {
			next = untilDeadline
		}
	}
	if next == 0 {
		return
	}
	at := now + next
	if n := len(c.timers); n == 0 || at < c.timers[n-1] {
		c.timers = append(c.timers, at)
		c.actor.SetTimer(next)
	}
}

// perform carries out a decision of the scheduler for a request.
func (c *Core) perform(now time.Duration, tracked *trackedRequest, decision scheduler.Decision) {
	switch decision.Action {
	case scheduler.Send:
		tracked.attempts++
		tracked.worker = decision.Worker
		tracked.sentAt = now
		c.actor.Send(decision.Request, tracked.attempts-1, decision.Worker)
	case scheduler.Reject:
		c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun)
		c.closeRequest(tracked, Rejected)
	case scheduler.Cancel:
		c.actor.Cancel(decision.Request, decision.Attempt, tracked.worker)
	case scheduler.Fail:
		c.actor.Fail(decision.Request, tracked.attempts, tracked.mayHaveRun)
		c.closeRequest(tracked, Failed)
	}
}

// closeRequest removes a request that has ended and reports it to the actor. It does nothing while an attempt of the
// request is in flight or if the request is already closed.
func (c *Core) closeRequest(tracked *trackedRequest, reason CloseReason) {
	if tracked.request.InFlight() || c.requests[tracked.request.ID] != tracked {
		return
	}
	delete(c.requests, tracked.request.ID)
	if tracked.heapIndex >= 0 && c.enforcesDeadlines {
		heap.Remove(&c.deadlines, tracked.heapIndex)
	}
	c.actor.Closed(tracked.request, tracked.attempts, reason)
}
