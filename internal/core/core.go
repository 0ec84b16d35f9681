// Package core keeps what one front end has in hand: events, launches, timers and the calls to choice. It does no
// I/O, reads no clock and starts no goroutine: facts are told to it with their time, and it acts through an Actor.
// The same facts at the same times give the same actions. The simulator's adapter, the gate, the tools and the
// replay drive this one core. It decides nothing about events, launches or loads; choice does.
package core

import (
	"cmp"
	"container/heap"
	"errors"
	"math"
	"slices"
	"time"

	"lupinpond/choice"
)

// Actor carries out what the core says. It is called while a fact is being told and must not call back into the core.
type Actor interface {
	Launch(e *choice.Event, launch int, worker string)      // launch is counted from 0
	Handle(e *choice.Event, launch int)                     // the answer of that launch is the event's
	Defer(e *choice.Event, back time.Duration, mayRun bool) // back 0: no time to come back is named
	DeadLetter(e *choice.Event, launches int, mayRun bool)  // mayRun: it may have run
	Withdraw(e *choice.Event, launch int, worker string)    // stop waiting for that launch
	Order(o choice.Order)                                   // a load order
	Probe(worker string)                                    //
	Ask()                                                   // subscribe to the list of workers
	Wake(after time.Duration)                               // call Woke so much later
	Ended(e *choice.Event, launches int, outcome Ending)    // bookkeeping: nothing follows for this event
}

// Ending is how the core let go of an event.
type Ending int

// The endings; Abandoned: the client left before.
const (
	Handled Ending = iota
	Deferred
	DeadLettered
	Abandoned
)

// Tenant is a tenant and its share: events a second at all front ends together.
type Tenant struct {
	Name  string  `cbor:"1,keyasint"`
	Quota float64 `cbor:"2,keyasint"`
}

// Kind is a kind of worker and the memory of one, in the unit of the events' memory.
type Kind struct {
	Name   string  `cbor:"1,keyasint"`
	Memory float64 `cbor:"2,keyasint"`
}

// Loading is how functions come to workers; see choice.Chooser.Loading.
type Loading struct {
	Orders bool          `cbor:"1,keyasint"`
	OnMiss bool          `cbor:"2,keyasint"` // workers load on a miss
	Keep   time.Duration `cbor:"3,keyasint"` // an idle copy stays so long
	Limit  time.Duration `cbor:"4,keyasint"` // an order unanswered by then is lost
	Within time.Duration `cbor:"5,keyasint"` // window of the ration of orders; 0: no ration
	Free   float64       `cbor:"6,keyasint"` // orders in the window in any case
	Share  float64       `cbor:"7,keyasint"` // and so many for each event
}

// ColdStarts is what a worker that has just started stands; see choice.Chooser.ColdStarts.
type ColdStarts struct {
	From      float64       `cbor:"1,keyasint"` // least part of its capacity at the start
	WarmAfter time.Duration `cbor:"2,keyasint"`
	Multiple  float64       `cbor:"3,keyasint"` // of its present capacity: more makes it fall; 0: cold starts do not matter
	Fall      time.Duration `cbor:"4,keyasint"` // when so much is sent for so long
}

// Front is all that a core is started with.
type Front struct {
	Seed       uint64             `cbor:"1,keyasint"`
	Self       int                `cbor:"2,keyasint"` // its number among the front ends, from 0
	Peers      int                `cbor:"3,keyasint"` // how many there are, itself included
	Quantum    time.Duration      `cbor:"4,keyasint"` // least time between two calls
	Types      []choice.EventType `cbor:"5,keyasint"`
	Tenants    []Tenant           `cbor:"6,keyasint"`
	Launches   int                `cbor:"7,keyasint"` // most launches of an event
	Cancel     bool               `cbor:"8,keyasint"`
	Probe      bool               `cbor:"9,keyasint"`
	MostBack   time.Duration      `cbor:"10,keyasint"` // longest time to come back that clients honour; 0: none is named
	Loading    Loading            `cbor:"11,keyasint"`
	ColdStarts ColdStarts         `cbor:"12,keyasint"`
	AskWithin  time.Duration      `cbor:"13,keyasint"` // the list must be asked for at least so often; 0: it comes unasked
	Kinds      []Kind             `cbor:"15,keyasint,omitempty"`
	Zone       string             `cbor:"16,keyasint,omitempty"` // its own, where launches to other zones cost something
	Deadlines  bool               `cbor:"14,keyasint"`           // the core itself times launches out when their client's time is up
}

// hand is one event in hand.
type hand struct {
	event    *choice.Event
	number   uint64 // in the order of arrival, so that equal deadlines keep an order
	launches int
	worker   string        // of the last launch
	sent     time.Duration // when the last launch was decided
	ends     time.Duration // the client's time is up
	at       int           // place in the deadlines, -1: none
	left     bool          // the client has left
	mayRun   bool          // a launch ended such that it may have run
}

// Core is one front end's state. It is not safe for use by several goroutines.
type Core struct {
	chooser *choice.Chooser
	actor   Actor
	own     bool // it keeps the deadlines
	hands   map[string]*hand
	ends    deadlines
	number  uint64
	endBy   time.Duration   // every event has ended by then
	wakes   []time.Duration // timers set and still to come, the earliest last
	note    func(Entry)
}

// ErrInHand says that an event of that id is in hand already.
var ErrInHand = errors.New("an event of this id is in hand")

// New starts a core that acts through actor.
func New(f Front, actor Actor) *Core {
	c := choice.New(f.Seed, f.Self, f.Peers, f.Quantum)
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
	c.Allowed(f.Launches, f.Cancel, f.Probe, f.MostBack)
	l := f.Loading
	c.Loading(l.Orders, l.OnMiss, l.Keep, l.Limit, l.Within, l.Free, l.Share)
	c.ColdStarts(f.ColdStarts.From, f.ColdStarts.WarmAfter, f.ColdStarts.Multiple, f.ColdStarts.Fall)
	if f.AskWithin > 0 {
		c.Asking(f.AskWithin)
	}
	return &Core{chooser: c, actor: actor, own: f.Deadlines, hands: map[string]*hand{}, endBy: math.MaxInt64}
}

// InHand is the number of events without an ending or with a launch outstanding.
func (c *Core) InHand() int { return len(c.hands) }

// Members is the list of workers as the module knows it, in the order of their names.
func (c *Core) Members() []choice.Listing { return c.chooser.Members() }

// Listed tells news of the list; where it is whole, workers that it does not name are gone.
func (c *Core) Listed(now time.Duration, whole bool, news []choice.Listing) {
	c.record(Entry{Op: OpListed, Now: now, Flag: whole, News: news})
	c.chooser.Listed(now, whole, news)
}

// ListFailed tells that asking for the list failed or that a subscription broke.
func (c *Core) ListFailed(now time.Duration) {
	c.record(Entry{Op: OpListFailed, Now: now})
	c.chooser.ListFailed(now)
}

// Came tells of an event that a client sent. Its id must be new; ErrInHand otherwise, and nothing is done.
func (c *Core) Came(now time.Duration, e *choice.Event) error {
	if c.hands[e.ID] != nil {
		return ErrInHand
	}
	if c.note != nil {
		c.note(Entry{Op: OpCame, Now: now, Event: facts(e)})
	}
	c.number++
	h := &hand{event: e, number: c.number, ends: min(now+e.Patience, c.endBy), at: -1}
	c.hands[e.ID] = h
	if c.own {
		heap.Push(&c.ends, h)
	}
	answer := c.chooser.Place(now, e)
	c.chooser.EndBy(e, h.ends)
	c.act(now, h, answer)
	return nil
}

// EndBy tells that the front end is told to end: what is in hand, and what comes yet, has its final answer by then. What
// is left unanswered when the process is killed would be lost (rule 1).
func (c *Core) EndBy(now, by time.Duration) {
	c.record(Entry{Op: OpEndBy, Now: now, By: by})
	c.endBy = by
	for _, h := range c.hands {
		h.ends = min(h.ends, by)
		c.chooser.EndBy(h.event, h.ends)
	}
	heap.Init(&c.ends)
}

// Outcome tells how a launch of an event ended. It is for the launch that is outstanding; any other, late or
// doubled or of an event never in hand, is not told to the module, and false is returned.
func (c *Core) Outcome(now time.Duration, id string, launch int, o choice.Outcome) bool {
	c.record(Entry{Op: OpOutcome, Now: now, ID: id, Launch: launch, Outcome: o})
	h := c.hands[id]
	if h == nil || launch != h.launches-1 || !h.event.Outstanding() {
		return false
	}
	c.outcome(now, h, o)
	return true
}

func (c *Core) outcome(now time.Duration, h *hand, o choice.Outcome) {
	handled := o.Result == choice.Handled && !h.left
	o.Final = o.Final || o.Result == choice.Handled || h.left
	switch o.Result {
	case choice.Failed, choice.TimedOut, choice.Broken, choice.Withdrawn, choice.Handled:
		h.mayRun = true
	}
	launch := h.launches - 1
	answer := c.chooser.After(now, h.event, o)
	if handled {
		c.actor.Handle(h.event, launch)
		c.drop(h, Handled)
	} else if o.Final {
		c.drop(h, Abandoned)
	}
	c.act(now, h, answer)
}

// Left tells that the client of an event is gone; false if the event is not in hand.
func (c *Core) Left(now time.Duration, id string) bool {
	c.record(Entry{Op: OpLeft, Now: now, ID: id})
	h := c.hands[id]
	if h == nil {
		return false
	}
	h.left = true
	c.chooser.Left(h.event)
	c.drop(h, Abandoned)
	return true
}

// Probed tells how a probe ended; took is the time from the probe to its answer.
func (c *Core) Probed(now time.Duration, worker string, r choice.Result, l choice.Load, took time.Duration) {
	c.record(Entry{Op: OpProbed, Now: now, Worker: worker, Outcome: choice.Outcome{Result: r, Load: l, Took: took}})
	c.chooser.Probed(now, worker, r, l, took)
}

// Loaded tells how a load order ended; took is the time from the order to its answer.
func (c *Core) Loaded(now time.Duration, o choice.Order, r choice.Result, took time.Duration) {
	c.record(Entry{Op: OpLoaded, Now: now, Order: o, Outcome: choice.Outcome{Result: r, Took: took}})
	c.chooser.Loaded(now, o, r, took)
}

// Woke tells that a timer came; Settle follows.
func (c *Core) Woke(now time.Duration) {
	c.record(Entry{Op: OpWoke, Now: now})
	for len(c.wakes) > 0 && c.wakes[len(c.wakes)-1] <= now {
		c.wakes = c.wakes[:len(c.wakes)-1]
	}
}

// Settle ends a moment: after all its facts are told, what is due is done, and a timer is set where none comes early
// enough. Launches whose client's time is up end as timed out, in the order of their deadlines.
func (c *Core) Settle(now time.Duration) {
	c.record(Entry{Op: OpSettle, Now: now})
	for len(c.ends) > 0 && c.ends[0].ends <= now {
		h := heap.Pop(&c.ends).(*hand)
		if h.event.Outstanding() {
			c.outcome(now, h, choice.Outcome{Worker: h.worker, Took: now - h.sent, Result: choice.TimedOut})
		}
	}
	steps := c.chooser.Wait(now)
	if steps.Ask {
		c.actor.Ask()
	}
	for _, a := range steps.Answers {
		if h := c.hands[a.Event.ID]; h != nil {
			c.act(now, h, a)
		}
	}
	for _, worker := range steps.Probes {
		c.actor.Probe(worker)
	}
	for _, o := range steps.Orders {
		c.actor.Order(o)
	}
	next := steps.Next
	if len(c.ends) > 0 {
		if d := max(1, c.ends[0].ends-now); next == 0 || d < next {
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
func (c *Core) act(now time.Duration, h *hand, a choice.Answer) {
	switch a.Verb {
	case choice.Launch:
		h.launches, h.worker, h.sent = h.launches+1, a.Worker, now
		c.actor.Launch(a.Event, h.launches-1, a.Worker)
	case choice.Defer:
		c.actor.Defer(a.Event, a.Back, h.mayRun)
		c.drop(h, Deferred)
	case choice.Withdraw:
		c.actor.Withdraw(a.Event, a.Launch, h.worker)
	case choice.DeadLetter:
		c.actor.DeadLetter(a.Event, h.launches, h.mayRun)
		c.drop(h, DeadLettered)
	}
}

// drop forgets an event that has ended once no launch of it is outstanding.
func (c *Core) drop(h *hand, how Ending) {
	if h.event.Outstanding() || c.hands[h.event.ID] != h {
		return
	}
	delete(c.hands, h.event.ID)
	if h.at >= 0 && c.own {
		heap.Remove(&c.ends, h.at)
	}
	c.actor.Ended(h.event, h.launches, how)
}

// deadlines is a heap of events by the end of their client's time.
type deadlines []*hand

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].ends, d[j].ends), cmp.Compare(d[i].number, d[j].number)) < 0
}
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].at, d[j].at = i, j
}

// Push adds a hand; for container/heap.
func (d *deadlines) Push(x any) {
	h := x.(*hand)
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
