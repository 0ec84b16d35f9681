// Package core keeps what one front end has in hand: requests, attempts, timers and the calls to the scheduler. It does no
// I/O, reads no clock and starts no goroutine: facts are told to it with their time, and it acts through an Actor.
// The same facts at the same times give the same actions. The simulator's adapter, the gate, the tools and the
// replay drive this one core. It decides nothing about requests, attempts or loads; the scheduler does.
package core

import (
	"cmp"
	"container/heap"
	"errors"
	"math"
	"slices"
	"time"

	"lupinpond/scheduler"
)

// Actor carries out what the core says. It is called while a fact is being told and must not call back into the core.
type Actor interface {
	Send(e *scheduler.Request, launch int, worker string)           // attempt is counted from 0
	Complete(e *scheduler.Request, launch int)                      // the answer of that attempt is the request's
	Reject(e *scheduler.Request, back time.Duration, mayRun bool)   // back 0: no time to come back is named
	Fail(e *scheduler.Request, launches int, mayRun bool)           // mayRun: it may have run
	Cancel(e *scheduler.Request, launch int, worker string)         // stop waiting for that attempt
	RequestLoad(o scheduler.LoadRequest)                            // a load request
	Probe(worker string)                                            //
	Subscribe()                                                     // subscribe to the list of workers
	SetTimer(after time.Duration)                                   // call Woke so much later
	Closed(e *scheduler.Request, launches int, outcome CloseReason) // bookkeeping: nothing follows for this request
}

// CloseReason is how the core let go of a request.
type CloseReason int

// The endings; Abandoned: the client left before.
const (
	Completed CloseReason = iota
	Rejected
	Failed
	Abandoned
)

// Tenant is a tenant and its share: requests a second at all front ends together.
type Tenant struct {
	Name  string  `cbor:"1,keyasint"`
	Quota float64 `cbor:"2,keyasint"`
}

// WorkerKind is a kind of worker and the memory of one, in the unit of the requests' memory.
type WorkerKind struct {
	Name   string  `cbor:"1,keyasint"`
	Memory float64 `cbor:"2,keyasint"`
}

// LoadPolicy and SlowStart are the scheduler's: recordings hold them as a part of the settings.
type (
	LoadPolicy = scheduler.LoadPolicy
	SlowStart  = scheduler.SlowStart
)

// Settings is all that a core is started with.
type Settings struct {
	Seed              uint64                  `cbor:"1,keyasint"`
	Index             int                     `cbor:"2,keyasint"` // its number among the front ends, from 0
	Gateways          int                     `cbor:"3,keyasint"` // how many there are, itself included
	MinTickInterval   time.Duration           `cbor:"4,keyasint"` // least time between two calls
	Types             []scheduler.RequestType `cbor:"5,keyasint"`
	Tenants           []Tenant                `cbor:"6,keyasint"`
	MaxAttempts       int                     `cbor:"7,keyasint"` // most attempts of a request
	Cancel            bool                    `cbor:"8,keyasint"`
	Probe             bool                    `cbor:"9,keyasint"`
	MaxRetryAfter     time.Duration           `cbor:"10,keyasint"` // longest time to come back that clients honour; 0: none is named
	LoadPolicy        LoadPolicy              `cbor:"11,keyasint"`
	SlowStart         SlowStart               `cbor:"12,keyasint"`
	SubscribeInterval time.Duration           `cbor:"13,keyasint"` // the list must be asked for at least so often; 0: it comes unasked
	WorkerKinds       []WorkerKind            `cbor:"15,keyasint,omitempty"`
	Zone              string                  `cbor:"16,keyasint,omitempty"` // its own, where attempts to other zones cost something
	EnforceDeadlines  bool                    `cbor:"14,keyasint"`           // the core itself times attempts out when their client's time is up
}

// trackedRequest is one request in hand.
type trackedRequest struct {
	request            *scheduler.Request
	number             uint64 // in the order of arrival, so that equal deadlines keep an order
	attempts           int
	worker             string        // of the last attempt
	sentAt             time.Duration // when the last attempt was decided
	deadline           time.Duration // the client's time is up
	heapIndex          int           // place in the deadlines, -1: none
	clientDisconnected bool          // the client has left
	mayHaveRun         bool          // an attempt ended such that it may have run
}

// Core is one front end's state. It is not safe for use by several goroutines.
type Core struct {
	scheduler        *scheduler.Scheduler
	actor            Actor
	ownsDeadlines    bool // it keeps the deadlines
	requests         map[string]*trackedRequest
	deadlines        deadlineHeap
	lastNumber       uint64
	shutdownDeadline time.Duration   // every request has ended by then
	timers           []time.Duration // timers set and still to come, the earliest last
	recorder         func(Input)
}

// ErrDuplicate reports that a request with the same id is in flight already.
var ErrDuplicate = errors.New("an event of this id is in hand")

// New starts a core that acts through actor.
func New(f Settings, actor Actor) *Core {
	c := scheduler.New(f.Seed, f.Index, f.Gateways, f.MinTickInterval)
	for _, t := range f.Types {
		c.AddType(t)
	}
	for _, t := range f.Tenants {
		c.AddTenant(t.Name, t.Quota)
	}
	for _, k := range f.WorkerKinds {
		c.AddWorkerKind(k.Name, k.Memory)
	}
	c.PreferZone(f.Zone)
	c.SetAttemptPolicy(scheduler.AttemptPolicy{
		MaxAttempts:   f.MaxAttempts,
		Cancel:        f.Cancel,
		Probe:         f.Probe,
		MaxRetryAfter: f.MaxRetryAfter,
	})
	c.SetLoadPolicy(f.LoadPolicy)
	c.SetSlowStart(f.SlowStart)
	if f.SubscribeInterval > 0 {
		c.SetSubscribeInterval(f.SubscribeInterval)
	}
	return &Core{scheduler: c, actor: actor, ownsDeadlines: f.EnforceDeadlines, requests: map[string]*trackedRequest{}, shutdownDeadline: math.MaxInt64}
}

// OpenRequests is the number of requests without an ending or with an attempt in flight.
func (c *Core) OpenRequests() int { return len(c.requests) }

// Members is the list of workers as the module knows it, in the order of their names.
func (c *Core) Members() []scheduler.Member { return c.scheduler.Members() }

// FleetState is what the scheduler makes of its fleet.
func (c *Core) FleetState() scheduler.FleetState { return c.scheduler.FleetState() }

// UpdateMembership takes changes of the worker registry.
func (c *Core) UpdateMembership(now time.Duration, changes []scheduler.Member) {
	c.record(Input{Op: OpUpdateMembership, Now: now, Members: changes})
	c.scheduler.UpdateMembership(now, changes)
}

// ReplaceMembership takes the complete worker registry: workers that it does not name are removed.
func (c *Core) ReplaceMembership(now time.Duration, members []scheduler.Member) {
	c.record(Input{Op: OpUpdateMembership, Now: now, Complete: true, Members: members})
	c.scheduler.ReplaceMembership(now, members)
}

// WatchFailed tells that asking for the list failed or that a subscription broke.
func (c *Core) WatchFailed(now time.Duration) {
	c.record(Input{Op: OpWatchFailed, Now: now})
	c.scheduler.WatchFailed(now)
}

// Submit tells of a request that a client sent. Its id must be new; ErrInHand otherwise, and nothing is done.
func (c *Core) Submit(now time.Duration, e *scheduler.Request) error {
	if c.requests[e.ID] != nil {
		return ErrDuplicate
	}
	if c.recorder != nil {
		c.recorder(Input{Op: OpSubmit, Now: now, Request: requestFacts(e)})
	}
	c.lastNumber++
	h := &trackedRequest{request: e, number: c.lastNumber, deadline: min(now+e.TimeLeft, c.shutdownDeadline), heapIndex: -1}
	c.requests[e.ID] = h
	if c.ownsDeadlines {
		heap.Push(&c.deadlines, h)
	}
	answer := c.scheduler.Submit(now, e)
	c.scheduler.LimitDeadline(e, h.deadline)
	c.perform(now, h, answer)
	return nil
}

// ShutdownBy tells that the front end is told to end: what is in hand, and what comes yet, has its final answer by then. What
// is left unanswered when the process is killed would be lost (rule 1).
func (c *Core) ShutdownBy(now, by time.Duration) {
	c.record(Input{Op: OpShutdownBy, Now: now, Deadline: by})
	c.shutdownDeadline = by
	for _, h := range c.requests {
		h.deadline = min(h.deadline, by)
		c.scheduler.LimitDeadline(h.request, h.deadline)
	}
	heap.Init(&c.deadlines)
}

// CompleteAttempt tells how an attempt of a request ended. It is for the attempt that is in flight; any other, late or
// doubled or of a request never in hand, is not told to the module, and false is returned.
func (c *Core) CompleteAttempt(now time.Duration, id string, launch int, o scheduler.Outcome) bool {
	c.record(Input{Op: OpCompleteAttempt, Now: now, ID: id, Attempt: launch, Outcome: o})
	h := c.requests[id]
	if h == nil || launch != h.attempts-1 || !h.request.InFlight() {
		return false
	}
	c.completeAttempt(now, h, o)
	return true
}

func (c *Core) completeAttempt(now time.Duration, h *trackedRequest, o scheduler.Outcome) {
	handled := o.Result == scheduler.Completed && !h.clientDisconnected
	o.Final = o.Final || o.Result == scheduler.Completed || h.clientDisconnected
	switch o.Result {
	case scheduler.Failed, scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Cancelled, scheduler.Completed:
		h.mayHaveRun = true
	}
	launch := h.attempts - 1
	answer := c.scheduler.Complete(now, h.request, o)
	if handled {
		c.actor.Complete(h.request, launch)
		c.closeRequest(h, Completed)
	} else if o.Final {
		c.closeRequest(h, Abandoned)
	}
	c.perform(now, h, answer)
}

// ClientDisconnected tells that the client of a request is gone; false if the request is not in hand.
func (c *Core) ClientDisconnected(now time.Duration, id string) bool {
	c.record(Input{Op: OpClientDisconnected, Now: now, ID: id})
	h := c.requests[id]
	if h == nil {
		return false
	}
	h.clientDisconnected = true
	c.scheduler.ClientDisconnected(h.request)
	c.closeRequest(h, Abandoned)
	return true
}

// ProbeCompleted tells how a probe ended; took is the time from the probe to its answer.
func (c *Core) ProbeCompleted(now time.Duration, worker string, r scheduler.Result, l scheduler.LoadReport, took time.Duration) {
	c.record(Input{Op: OpProbeCompleted, Now: now, Worker: worker, Outcome: scheduler.Outcome{Result: r, Report: l, Duration: took}})
	c.scheduler.ProbeCompleted(now, worker, r, l, took)
}

// LoadCompleted tells how a load request ended; took is the time from the order to its answer.
func (c *Core) LoadCompleted(now time.Duration, o scheduler.LoadRequest, r scheduler.Result, took time.Duration) {
	c.record(Input{Op: OpLoadCompleted, Now: now, LoadRequest: o, Outcome: scheduler.Outcome{Result: r, Duration: took}})
	c.scheduler.LoadCompleted(now, o, r, took)
}

// TimerFired tells that a timer came; Settle follows.
func (c *Core) TimerFired(now time.Duration) {
	c.record(Input{Op: OpTimerFired, Now: now})
	for len(c.timers) > 0 && c.timers[len(c.timers)-1] <= now {
		c.timers = c.timers[:len(c.timers)-1]
	}
}

// ProcessDue ends a moment: after all its facts are told, what is due is done, and a timer is set where none comes early
// enough. Attempts whose client's time is up end as timed out, in the order of their deadlines.
func (c *Core) ProcessDue(now time.Duration) {
	c.record(Input{Op: OpProcessDue, Now: now})
	for len(c.deadlines) > 0 && c.deadlines[0].deadline <= now {
		h := heap.Pop(&c.deadlines).(*trackedRequest)
		if h.request.InFlight() {
			c.completeAttempt(now, h, scheduler.Outcome{Worker: h.worker, Duration: now - h.sentAt, Result: scheduler.TimedOut})
		}
	}
	steps := c.scheduler.Tick(now)
	if steps.Subscribe {
		c.actor.Subscribe()
	}
	for _, a := range steps.Decisions {
		if h := c.requests[a.Request.ID]; h != nil {
			c.perform(now, h, a)
		}
	}
	for _, worker := range steps.Probes {
		c.actor.Probe(worker)
	}
	for _, o := range steps.LoadRequests {
		c.actor.RequestLoad(o)
	}
	next := steps.Next
	if len(c.deadlines) > 0 {
		if d := max(1, c.deadlines[0].deadline-now); next == 0 || d < next {
			next = d
		}
	}
	if next > 0 {
		at := now + next
		if n := len(c.timers); n == 0 || at < c.timers[n-1] {
			c.timers = append(c.timers, at)
			c.actor.SetTimer(next)
		}
	}
}

// perform carries out one answer of the module.
func (c *Core) perform(now time.Duration, h *trackedRequest, a scheduler.Decision) {
	switch a.Action {
	case scheduler.Send:
		h.attempts, h.worker, h.sentAt = h.attempts+1, a.Worker, now
		c.actor.Send(a.Request, h.attempts-1, a.Worker)
	case scheduler.Reject:
		c.actor.Reject(a.Request, a.RetryAfter, h.mayHaveRun)
		c.closeRequest(h, Rejected)
	case scheduler.Cancel:
		c.actor.Cancel(a.Request, a.Attempt, h.worker)
	case scheduler.Fail:
		c.actor.Fail(a.Request, h.attempts, h.mayHaveRun)
		c.closeRequest(h, Failed)
	}
}

// closeRequest forgets a request that has ended once no attempt of it is in flight.
func (c *Core) closeRequest(h *trackedRequest, how CloseReason) {
	if h.request.InFlight() || c.requests[h.request.ID] != h {
		return
	}
	delete(c.requests, h.request.ID)
	if h.heapIndex >= 0 && c.ownsDeadlines {
		heap.Remove(&c.deadlines, h.heapIndex)
	}
	c.actor.Closed(h.request, h.attempts, how)
}

// deadlineHeap is a heap of requests by the end of their client's time.
type deadlineHeap []*trackedRequest

func (d deadlineHeap) Len() int { return len(d) }
func (d deadlineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].deadline, d[j].deadline), cmp.Compare(d[i].number, d[j].number)) < 0
}
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push adds a hand; for container/heap.
func (d *deadlineHeap) Push(x any) {
	h := x.(*trackedRequest)
	h.heapIndex = len(*d)
	*d = append(*d, h)
}

// Pop takes the last hand; for container/heap.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	h := (*d)[last]
	h.heapIndex = -1
	(*d)[last] = nil
	*d = slices.Delete(*d, last, last+1)
	return h
}
