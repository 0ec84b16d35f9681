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
	Send(e *scheduler.Request, launch int, worker string)         // attempt is counted from 0
	Complete(e *scheduler.Request, launch int)                    // the answer of that attempt is the request's
	Reject(e *scheduler.Request, back time.Duration, mayRun bool) // back 0: no time to come back is named
	Fail(e *scheduler.Request, launches int, mayRun bool)         // mayRun: it may have run
	Cancel(e *scheduler.Request, launch int, worker string)       // stop waiting for that attempt
	Load(o scheduler.LoadRequest)                                 // a load request
	Probe(worker string)                                          //
	Subscribe()                                                   // subscribe to the list of workers
	Wake(after time.Duration)                                     // call Woke so much later
	Ended(e *scheduler.Request, launches int, outcome Ending)     // bookkeeping: nothing follows for this request
}

// Ending is how the core let go of a request.
type Ending int

// The endings; Abandoned: the client left before.
const (
	Completed Ending = iota
	Rejected
	Failed
	Abandoned
)

// Tenant is a tenant and its share: requests a second at all front ends together.
type Tenant struct {
	Name  string  `cbor:"1,keyasint"`
	Quota float64 `cbor:"2,keyasint"`
}

// Kind is a kind of worker and the memory of one, in the unit of the requests' memory.
type Kind struct {
	Name   string  `cbor:"1,keyasint"`
	Memory float64 `cbor:"2,keyasint"`
}

// Loading is how functions come to workers; see scheduler.Scheduler.Loading.
type Loading struct {
	Requests bool          `cbor:"1,keyasint"`
	OnMiss   bool          `cbor:"2,keyasint"` // workers load on a miss
	Keep     time.Duration `cbor:"3,keyasint"` // an idle replica stays so long
	Limit    time.Duration `cbor:"4,keyasint"` // an order unanswered by then is lost
	Within   time.Duration `cbor:"5,keyasint"` // window of the rate limit of orders; 0: no rate limit
	Free     float64       `cbor:"6,keyasint"` // orders in the window in any case
	Share    float64       `cbor:"7,keyasint"` // and so many for each request
}

// SlowStart is what a worker that has just started stands; see scheduler.Scheduler.ColdStarts.
type SlowStart struct {
	From      float64       `cbor:"1,keyasint"` // least part of its capacity at the start
	WarmAfter time.Duration `cbor:"2,keyasint"`
	Multiple  float64       `cbor:"3,keyasint"` // of its present capacity: more makes it fall; 0: cold starts do not matter
	Fall      time.Duration `cbor:"4,keyasint"` // when so much is sent for so long
}

// Settings is all that a core is started with.
type Settings struct {
	Seed            uint64                  `cbor:"1,keyasint"`
	Self            int                     `cbor:"2,keyasint"` // its number among the front ends, from 0
	FrontEnds       int                     `cbor:"3,keyasint"` // how many there are, itself included
	Quantum         time.Duration           `cbor:"4,keyasint"` // least time between two calls
	Types           []scheduler.RequestType `cbor:"5,keyasint"`
	Tenants         []Tenant                `cbor:"6,keyasint"`
	MaxAttempts     int                     `cbor:"7,keyasint"` // most attempts of a request
	Cancel          bool                    `cbor:"8,keyasint"`
	Probe           bool                    `cbor:"9,keyasint"`
	MaxRetryAfter   time.Duration           `cbor:"10,keyasint"` // longest time to come back that clients honour; 0: none is named
	Loading         Loading                 `cbor:"11,keyasint"`
	SlowStart       SlowStart               `cbor:"12,keyasint"`
	SubscribeWithin time.Duration           `cbor:"13,keyasint"` // the list must be asked for at least so often; 0: it comes unasked
	Kinds           []Kind                  `cbor:"15,keyasint,omitempty"`
	Zone            string                  `cbor:"16,keyasint,omitempty"` // its own, where attempts to other zones cost something
	Deadlines       bool                    `cbor:"14,keyasint"`           // the core itself times attempts out when their client's time is up
}

// tracked is one request in hand.
type tracked struct {
	request    *scheduler.Request
	number     uint64 // in the order of arrival, so that equal deadlines keep an order
	attempts   int
	worker     string        // of the last attempt
	sentAt     time.Duration // when the last attempt was decided
	deadline   time.Duration // the client's time is up
	at         int           // place in the deadlines, -1: none
	clientGone bool          // the client has left
	mayRun     bool          // an attempt ended such that it may have run
}

// Core is one front end's state. It is not safe for use by several goroutines.
type Core struct {
	scheduler *scheduler.Scheduler
	actor     Actor
	own       bool // it keeps the deadlines
	requests  map[string]*tracked
	ends      deadlines
	number    uint64
	endBy     time.Duration   // every request has ended by then
	wakes     []time.Duration // timers set and still to come, the earliest last
	note      func(Entry)
}

// ErrDuplicate reports that a request with the same id is in flight already.
var ErrDuplicate = errors.New("an event of this id is in hand")

// New starts a core that acts through actor.
func New(f Settings, actor Actor) *Core {
	c := scheduler.New(f.Seed, f.Self, f.FrontEnds, f.Quantum)
	for _, t := range f.Types {
		c.AddType(t)
	}
	for _, t := range f.Tenants {
		c.AddTenant(t.Name, t.Quota)
	}
	for _, k := range f.Kinds {
		c.AddKind(k.Name, k.Memory)
	}
	c.Crossing(f.Zone)
	c.Allowed(f.MaxAttempts, f.Cancel, f.Probe, f.MaxRetryAfter)
	l := f.Loading
	c.Loading(l.Requests, l.OnMiss, l.Keep, l.Limit, l.Within, l.Free, l.Share)
	c.SlowStart(f.SlowStart.From, f.SlowStart.WarmAfter, f.SlowStart.Multiple, f.SlowStart.Fall)
	if f.SubscribeWithin > 0 {
		c.SubscribeWithin(f.SubscribeWithin)
	}
	return &Core{scheduler: c, actor: actor, own: f.Deadlines, requests: map[string]*tracked{}, endBy: math.MaxInt64}
}

// InHand is the number of requests without an ending or with an attempt in flight.
func (c *Core) InHand() int { return len(c.requests) }

// Members is the list of workers as the module knows it, in the order of their names.
func (c *Core) Members() []scheduler.Member { return c.scheduler.Members() }

// FleetState is what the scheduler makes of its fleet.
func (c *Core) FleetState() scheduler.FleetState { return c.scheduler.FleetState() }

// UpdateMembership tells news of the list; where it is whole, workers that it does not name are gone.
func (c *Core) UpdateMembership(now time.Duration, whole bool, news []scheduler.Member) {
	c.record(Entry{Op: OpListed, Now: now, Flag: whole, News: news})
	c.scheduler.UpdateMembership(now, whole, news)
}

// WatchFailed tells that asking for the list failed or that a subscription broke.
func (c *Core) WatchFailed(now time.Duration) {
	c.record(Entry{Op: OpListFailed, Now: now})
	c.scheduler.WatchFailed(now)
}

// Submit tells of a request that a client sent. Its id must be new; ErrInHand otherwise, and nothing is done.
func (c *Core) Submit(now time.Duration, e *scheduler.Request) error {
	if c.requests[e.ID] != nil {
		return ErrDuplicate
	}
	if c.note != nil {
		c.note(Entry{Op: OpCame, Now: now, Event: facts(e)})
	}
	c.number++
	h := &tracked{request: e, number: c.number, deadline: min(now+e.TimeLeft, c.endBy), at: -1}
	c.requests[e.ID] = h
	if c.own {
		heap.Push(&c.ends, h)
	}
	answer := c.scheduler.Submit(now, e)
	c.scheduler.EndBy(e, h.deadline)
	c.act(now, h, answer)
	return nil
}

// EndBy tells that the front end is told to end: what is in hand, and what comes yet, has its final answer by then. What
// is left unanswered when the process is killed would be lost (rule 1).
func (c *Core) EndBy(now, by time.Duration) {
	c.record(Entry{Op: OpEndBy, Now: now, By: by})
	c.endBy = by
	for _, h := range c.requests {
		h.deadline = min(h.deadline, by)
		c.scheduler.EndBy(h.request, h.deadline)
	}
	heap.Init(&c.ends)
}

// Outcome tells how an attempt of a request ended. It is for the attempt that is in flight; any other, late or
// doubled or of a request never in hand, is not told to the module, and false is returned.
func (c *Core) Outcome(now time.Duration, id string, launch int, o scheduler.Outcome) bool {
	c.record(Entry{Op: OpOutcome, Now: now, ID: id, Launch: launch, Outcome: o})
	h := c.requests[id]
	if h == nil || launch != h.attempts-1 || !h.request.InFlight() {
		return false
	}
	c.outcome(now, h, o)
	return true
}

func (c *Core) outcome(now time.Duration, h *tracked, o scheduler.Outcome) {
	handled := o.Result == scheduler.Completed && !h.clientGone
	o.Final = o.Final || o.Result == scheduler.Completed || h.clientGone
	switch o.Result {
	case scheduler.Failed, scheduler.TimedOut, scheduler.Broken, scheduler.Cancelled, scheduler.Completed:
		h.mayRun = true
	}
	launch := h.attempts - 1
	answer := c.scheduler.Complete(now, h.request, o)
	if handled {
		c.actor.Complete(h.request, launch)
		c.drop(h, Completed)
	} else if o.Final {
		c.drop(h, Abandoned)
	}
	c.act(now, h, answer)
}

// ClientGone tells that the client of a request is gone; false if the request is not in hand.
func (c *Core) ClientGone(now time.Duration, id string) bool {
	c.record(Entry{Op: OpLeft, Now: now, ID: id})
	h := c.requests[id]
	if h == nil {
		return false
	}
	h.clientGone = true
	c.scheduler.ClientGone(h.request)
	c.drop(h, Abandoned)
	return true
}

// Probed tells how a probe ended; took is the time from the probe to its answer.
func (c *Core) Probed(now time.Duration, worker string, r scheduler.Result, l scheduler.Load, took time.Duration) {
	c.record(Entry{Op: OpProbed, Now: now, Worker: worker, Outcome: scheduler.Outcome{Result: r, Load: l, Took: took}})
	c.scheduler.Probed(now, worker, r, l, took)
}

// Loaded tells how a load request ended; took is the time from the order to its answer.
func (c *Core) Loaded(now time.Duration, o scheduler.LoadRequest, r scheduler.Result, took time.Duration) {
	c.record(Entry{Op: OpLoaded, Now: now, Order: o, Outcome: scheduler.Outcome{Result: r, Took: took}})
	c.scheduler.Loaded(now, o, r, took)
}

// Woke tells that a timer came; Settle follows.
func (c *Core) Woke(now time.Duration) {
	c.record(Entry{Op: OpWoke, Now: now})
	for len(c.wakes) > 0 && c.wakes[len(c.wakes)-1] <= now {
		c.wakes = c.wakes[:len(c.wakes)-1]
	}
}

// Settle ends a moment: after all its facts are told, what is due is done, and a timer is set where none comes early
// enough. Attempts whose client's time is up end as timed out, in the order of their deadlines.
func (c *Core) Settle(now time.Duration) {
	c.record(Entry{Op: OpSettle, Now: now})
	for len(c.ends) > 0 && c.ends[0].deadline <= now {
		h := heap.Pop(&c.ends).(*tracked)
		if h.request.InFlight() {
			c.outcome(now, h, scheduler.Outcome{Worker: h.worker, Took: now - h.sentAt, Result: scheduler.TimedOut})
		}
	}
	steps := c.scheduler.Tick(now)
	if steps.Subscribe {
		c.actor.Subscribe()
	}
	for _, a := range steps.Decisions {
		if h := c.requests[a.Request.ID]; h != nil {
			c.act(now, h, a)
		}
	}
	for _, worker := range steps.Probes {
		c.actor.Probe(worker)
	}
	for _, o := range steps.Loads {
		c.actor.Load(o)
	}
	next := steps.Next
	if len(c.ends) > 0 {
		if d := max(1, c.ends[0].deadline-now); next == 0 || d < next {
			next = d
		}
	}
	if next > 0 {
		at := now + next
		if n := len(c.wakes); n == 0 || at < c.wakes[n-1] {
			c.wakes = append(c.wakes, at)
			c.actor.Wake(next)
		}
	}
}

// act carries out one answer of the module.
func (c *Core) act(now time.Duration, h *tracked, a scheduler.Decision) {
	switch a.Verb {
	case scheduler.Send:
		h.attempts, h.worker, h.sentAt = h.attempts+1, a.Worker, now
		c.actor.Send(a.Request, h.attempts-1, a.Worker)
	case scheduler.Reject:
		c.actor.Reject(a.Request, a.RetryAfter, h.mayRun)
		c.drop(h, Rejected)
	case scheduler.Cancel:
		c.actor.Cancel(a.Request, a.Attempt, h.worker)
	case scheduler.Fail:
		c.actor.Fail(a.Request, h.attempts, h.mayRun)
		c.drop(h, Failed)
	}
}

// drop forgets a request that has ended once no attempt of it is in flight.
func (c *Core) drop(h *tracked, how Ending) {
	if h.request.InFlight() || c.requests[h.request.ID] != h {
		return
	}
	delete(c.requests, h.request.ID)
	if h.at >= 0 && c.own {
		heap.Remove(&c.ends, h.at)
	}
	c.actor.Ended(h.request, h.attempts, how)
}

// deadlines is a heap of requests by the end of their client's time.
type deadlines []*tracked

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].deadline, d[j].deadline), cmp.Compare(d[i].number, d[j].number)) < 0
}
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].at, d[j].at = i, j
}

// Push adds a hand; for container/heap.
func (d *deadlines) Push(x any) {
	h := x.(*tracked)
	h.at = len(*d)
	*d = append(*d, h)
}

// Pop takes the last hand; for container/heap.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	h := (*d)[last]
	h.at = -1
	(*d)[last] = nil
	*d = slices.Delete(*d, last, last+1)
	return h
}
