package gateway

import (
	"context"
	"io"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/replay"
	"lupinpond/internal/gateway/stall"
	"lupinpond/scheduler"
)

// Request is one request in hand, as the front end knows it beside the core.
type Request struct {
	Fact  *scheduler.Request
	Twin  string                // what must not be in hand twice; empty where a second one does no harm
	Reply func(a invoke.Answer) // told the final answer, by the owner; must not wait
	Gone  func()                // called when nothing follows for the request; may be nil
	Body  []byte                // as the client sent it
	Call  invoke.Call           // of a client of the invoke API

	submittedAt time.Duration
	clientGone  atomic.Int64 // when its client left, by the owner's clock; 0: it waits
	sent        int          // attempts
	inFlight    map[int]Sent // those without an outcome
	answer      []byte       // the body of the answer
	checks      requestChecks
}

// Sent is an attempt, an order or a probe under way at a worker.
type Sent interface {
	Recall() // gives it up; its outcome comes all the same, unless it was told before
}

// Workers is the way out of a front end: it carries attempts, orders and probes to the workers, and brings the list. What
// done functions tell may come at any time, also at once, from any goroutine; the first counts.
type Workers interface {
	// Each may give nil where nothing was sent, or nothing has to be given up. departure is asked when an attempt's bytes
	// are about to be written.
	Send(e *Request, launch int, worker string, departure *Departure, done func(o scheduler.Outcome, body []byte)) Sent
	Load(o scheduler.LoadRequest, done func(copies int, r scheduler.Result)) Sent
	Probe(worker string, done func(r scheduler.Result, l scheduler.LoadReport)) Sent
	Subscribe() // for the list
}

// Owner owns the core of one front end: one goroutine takes facts from a mailbox, tells them to the core moment by
// moment, and carries out what the core says. Ways in put requests there, ways out what comes of them.
type Owner struct {
	base        time.Time // the core's clock is an hour at the start
	box         mailbox
	started     chan struct{}
	gone        chan struct{}
	core        *core.Core
	recorder    *replay.Recorder
	workers     Workers
	loadTimeout time.Duration // a load request that is not answered by then is lost
	probeLimit  time.Duration // and a probe
	stall       stall.Watcher
	monitor     *invariant.Monitor
	log         *slog.Logger
	stats       Stats
	loads       loadChecks
	front       core.Settings

	// the goroutine's
	requests map[string]*Request
	twins    map[string]bool
	counts   Counts
	wake     *time.Timer
	wakes    []time.Time   // to come, the earliest last
	endBy    time.Duration // every request has its answer by then
}

// OwnerOptions are what an Owner is made from.
type OwnerOptions struct {
	Core        core.Settings
	Workers     Workers
	Record      io.Writer          // gets a recording of the core; nil: none
	LoadTimeout time.Duration      // a load request that is not answered by then is lost
	ProbeLimit  time.Duration      // and a probe
	Monitor     *invariant.Monitor // is told of violated invariants; may be nil
	Log         *slog.Logger       // gets the life of every request at debug level; nil: nothing does
}

// NewOwner makes the owner of a core. Run runs it.
func NewOwner(from OwnerOptions) *Owner {
	if from.Log == nil {
		from.Log = slog.New(slog.DiscardHandler)
	}
	o := &Owner{base: time.Now().Add(-time.Hour), workers: from.Workers, loadTimeout: from.LoadTimeout, probeLimit: from.ProbeLimit,
		requests: map[string]*Request{}, twins: map[string]bool{}, started: make(chan struct{}), gone: make(chan struct{}),
		endBy: math.MaxInt64, monitor: from.Monitor, log: from.Log, front: from.Core, loads: newLoadChecks(from.Core.LoadPolicy)}
	o.box.kick = make(chan struct{}, 1)
	if from.Record != nil {
		o.core, o.recorder = replay.Start(from.Core, o, from.Record)
	} else {
		o.core = core.New(from.Core, o)
	}
	return o
}

// Now is the core's clock. It runs on while the process is paused.
func (o *Owner) Now() time.Duration { return time.Since(o.base) }

// mailbox holds facts for the owner. What may be in it is bounded by the requests in hand and the calls to workers.
type mailbox struct {
	mu    sync.Mutex
	facts []func(now time.Duration)
	kick  chan struct{}
}

func (m *mailbox) put(f func(now time.Duration)) {
	m.mu.Lock()
	m.facts = append(m.facts, f)
	m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() []func(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	facts := m.facts
	m.facts = nil
	return facts
}

// Submit takes a request that was read just now. Just one final answer is given to its Reply, unless its client leaves.
func (o *Owner) Submit(e *Request) {
	read := o.Now()
	behind := o.stall.Behind(time.Now())
	if behind == 0 {
		o.submit(e, read)
		return
	}
	// the process did not run: the client's time went on meanwhile, and that it has left may not be read yet
	o.stats.Stalled.Add(1)
	time.AfterFunc(stall.Settle, func() { o.submit(e, read-behind) })
}

func (o *Owner) submit(e *Request, sent time.Duration) {
	o.box.put(func(now time.Duration) {
		// the client's time goes on while the owner stands still; else what came meanwhile is answered too late (rule 1)
		e.Fact.TimeLeft -= min(e.Fact.TimeLeft, max(0, now-sent))
		o.accept(now, e)
	})
}

// ClientGone tells that the client of a request is gone; nobody waits for what is out for it, which is given up. From now on no
// attempt of it leaves, however many facts the owner hears before this one.
func (o *Owner) ClientGone(e *Request) {
	e.clientGone.CompareAndSwap(0, int64(o.Now()))
	o.box.put(func(now time.Duration) {
		if o.requests[e.Fact.ID] != e {
			return
		}
		o.core.ClientDisconnected(now, e.Fact.ID)
		o.counts.ClientsLeft++
		o.trace("client left", e, "in_flight", len(e.inFlight))
		for _, l := range e.inFlight {
			l.Recall()
		}
	})
}

// EndBy has every request in hand, and those that come yet, answered by a time.
func (o *Owner) EndBy(t time.Time) {
	by := t.Sub(o.base)
	o.box.put(func(now time.Duration) {
		o.endBy = by
		o.core.ShutdownBy(now, by)
	})
}

// UpdateMembership tells news of the list of workers. adopted, which may be nil, is called in the same moment: until then the
// core's decisions are for the workers that it knew before.
func (o *Owner) UpdateMembership(whole bool, news []scheduler.Member, adopted func()) {
	o.box.put(func(now time.Duration) {
		o.core.UpdateMembership(now, whole, news)
		if adopted != nil {
			adopted()
		}
	})
}

// WatchFailed tells that the list broke off.
func (o *Owner) WatchFailed() {
	o.box.put(func(now time.Duration) { o.core.WatchFailed(now) })
}

// Run is the goroutine that owns the core.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.gone)
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go func() { _ = o.stall.Run(watching) }() // it ends without an error
	o.wake = time.NewTimer(0)
	o.wakes = append(o.wakes, time.Now())
	defer o.wake.Stop()
	close(o.started)
	for {
		var woke, late bool
		select {
		case <-ctx.Done():
			return nil
		case <-o.box.kick:
		case <-o.wake.C:
			woke = true
			late = time.Since(o.wakes[len(o.wakes)-1]) > pausedAfter
			for n := len(o.wakes); n > 0 && time.Since(o.wakes[n-1]) >= 0; n-- {
				o.wakes = o.wakes[:n-1]
			}
			if n := len(o.wakes); n > 0 {
				o.wake.Reset(time.Until(o.wakes[n-1]))
			}
		}
		if late || o.stall.Behind(time.Now()) > 0 { // paused: what was said meanwhile is heard before anything is judged late
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(listenFirst):
			}
		}
		now := o.Now()
		for _, fact := range o.box.take() {
			fact(now)
		}
		if woke {
			o.core.TimerFired(now)
		}
		o.core.ProcessDue(now)
	}
}

// A timer that comes so late tells of a pause of the process; then sockets are listened to for a moment first.
const (
	pausedAfter = 200 * time.Millisecond
	listenFirst = stall.Settle
)

// Pause stops the owner for a time, as a stopped process would, and returns when it stands still: for tests and
// rehearsed days.
func (o *Owner) Pause(d time.Duration) {
	<-o.started
	still := make(chan struct{})
	o.box.put(func(time.Duration) {
		close(still)
		time.Sleep(d)
	})
	select {
	case <-still:
	case <-o.gone:
	}
}

// Do has the goroutine that owns the core call f, after all that it was told before. f must not wait.
func (o *Owner) Do(f func()) {
	o.box.put(func(time.Duration) { f() })
}

// Members asks for the workers that the core has on its list, in the order of their names; false once it has ended.
func (o *Owner) Members(ctx context.Context) (members []scheduler.Member, running bool) {
	running = o.ask(ctx, func() { members = o.core.Members() })
	return members, running
}

// ask has the goroutine call get; false once it has ended.
func (o *Owner) ask(ctx context.Context, get func()) bool {
	<-o.started
	got := make(chan struct{})
	o.box.put(func(time.Duration) {
		get()
		close(got)
	})
	select {
	case <-got:
		return true
	case <-ctx.Done():
	case <-o.gone:
	}
	return false
}

// accept takes a request into hand, unless its client has left already.
func (o *Owner) accept(now time.Duration, e *Request) {
	if e.clientGone.Load() != 0 {
		o.counts.ClientsLeft++
		e.gone()
		return
	}
	if e.Twin != "" && o.twins[e.Twin] { // the client's own name of it: two at once might both run
		e.refuse(invoke.Answer{Ending: invoke.InHand, Reason: "an event of this id is in hand"})
		return
	}
	e.submittedAt, e.inFlight = now, map[int]Sent{}
	if o.requests[e.Fact.ID] != nil {
		e.refuse(invoke.Answer{Ending: invoke.NotTaken, Reason: core.ErrDuplicate.Error()})
		return
	}
	if e.Twin != "" {
		o.twins[e.Twin] = true
	}
	o.requests[e.Fact.ID] = e // the core may act on it at once
	o.counts.Taken++
	o.trace("request taken", e, "type", e.Fact.Type, "tenant", e.Fact.Tenant, "time_left", e.Fact.TimeLeft)
	o.loads.submitted(now)
	if err := o.core.Submit(now, e.Fact); err != nil {
		delete(o.requests, e.Fact.ID)
		delete(o.twins, e.Twin)
		e.refuse(invoke.Answer{Ending: invoke.NotTaken, Reason: err.Error()})
	}
}

// refuse answers a request that is not taken into hand.
func (e *Request) refuse(a invoke.Answer) {
	e.Reply(a)
	e.gone()
}

// gone tells that nothing follows for the request.
func (e *Request) gone() {
	if e.Gone != nil {
		e.Gone()
	}
}

// The methods of core.Actor, called by the goroutine only.

// Send sends an attempt to a worker, unless the client is gone by now: an attempt that begins later is a break.
func (o *Owner) Send(fact *scheduler.Request, launch int, worker string) {
	e := o.requests[fact.ID]
	if e.clientGone.Load() != 0 {
		o.box.put(func(now time.Duration) {
			o.core.CompleteAttempt(now, fact.ID, launch, scheduler.Outcome{Worker: worker, Result: scheduler.Withheld})
		})
		return
	}
	o.checkAttempt(e, launch, worker)
	o.counts.Attempts++
	if e.sent++; e.sent > 1 {
		o.stats.Retries.Add(1)
	}
	o.trace("attempt", e, "attempt", launch, "worker", worker)
	sent := time.Now()
	departure := &Departure{owner: o, request: e, decided: o.Now(), by: min(e.submittedAt+fact.TimeLeft, o.endBy)}
	l := o.workers.Send(e, launch, worker, departure, func(out scheduler.Outcome, body []byte) {
		o.box.put(func(now time.Duration) {
			delete(e.inFlight, launch)
			out.Worker, out.Duration = worker, time.Since(sent)
			e.checks.ended(launch, out.Result)
			o.trace("attempt ended", e, "attempt", launch, "worker", worker, "result", out.Result.String(), "took", out.Duration)
			if out.Result == scheduler.Completed {
				e.answer = body
			}
			if !o.core.CompleteAttempt(now, fact.ID, launch, out) {
				o.counts.LateAnswers++
			}
		})
	})
	if l != nil { // none where no worker was found: there is nothing to give up
		e.inFlight[launch] = l
	}
}

// Complete answers the client.
func (o *Owner) Complete(fact *scheduler.Request, launch int) {
	o.counts.Completed++
	e := o.requests[fact.ID]
	o.reply(e, invoke.Answer{Ending: invoke.Completed, Launches: launch + 1, Body: e.answer})
}

// Reject answers the client that another try is harmless.
func (o *Owner) Reject(fact *scheduler.Request, back time.Duration, _ bool) {
	o.counts.Rejected++
	e := o.requests[fact.ID]
	o.reply(e, invoke.Answer{Ending: invoke.Rejected, Launches: e.sent, Back: back,
		Reason: "not handled in time; trying again does no harm"})
}

// Fail answers the client that no other try was possible.
func (o *Owner) Fail(fact *scheduler.Request, launches int, mayRun bool) {
	o.counts.Failed++
	o.reply(o.requests[fact.ID], invoke.Answer{Ending: invoke.Failed, Launches: launches, MayRun: mayRun,
		Reason: "not handled; its type allows no other try"})
}

// reply gives a request its final answer, the only one.
func (o *Owner) reply(e *Request, a invoke.Answer) {
	if !o.checkAnswer(e) {
		return
	}
	reason := e.Fact.Reason()
	if a.Ending != invoke.Completed {
		o.stats.GivenUp[reason].Add(1)
	}
	o.trace("answered", e, "ending", a.Ending.String(), "reason", reason.String(), "attempts", e.sent)
	e.Reply(a)
}

// Cancel gives an attempt up; its outcome is a fact of a moment to come.
func (o *Owner) Cancel(fact *scheduler.Request, launch int, _ string) {
	if l := o.requests[fact.ID].inFlight[launch]; l != nil {
		l.Recall()
	}
}

// Closed forgets a request; attempts whose outcome was not waited for are given up.
func (o *Owner) Closed(fact *scheduler.Request, _ int, _ core.CloseReason) {
	e := o.requests[fact.ID]
	o.checkEnd(e)
	for _, l := range e.inFlight {
		l.Recall()
	}
	delete(o.twins, e.Twin)
	delete(o.requests, fact.ID)
	e.gone()
}

// RequestLoad sends a load request.
func (o *Owner) RequestLoad(order scheduler.LoadRequest) {
	o.counts.LoadRequests++
	o.checkLoad(order)
	sent, answered := time.Now(), false
	end := func(copies int, r scheduler.Result) {
		o.box.put(func(now time.Duration) {
			if !answered {
				answered = true
				order.Replicas = copies
				o.core.LoadCompleted(now, order, r, time.Since(sent))
			}
		})
	}
	asked := order.Replicas
	s := o.workers.Load(order, end)
	time.AfterFunc(o.loadTimeout, func() {
		end(asked, scheduler.TimedOut)
		recall(s)
	})
}

// Probe asks a worker for a report.
func (o *Owner) Probe(worker string) {
	o.counts.Probes++
	sent, answered := time.Now(), false
	end := func(r scheduler.Result, l scheduler.LoadReport) {
		o.box.put(func(now time.Duration) {
			if !answered {
				answered = true
				o.core.ProbeCompleted(now, worker, r, l, time.Since(sent))
			}
		})
	}
	s := o.workers.Probe(worker, end)
	time.AfterFunc(o.probeLimit, func() {
		end(scheduler.TimedOut, scheduler.LoadReport{})
		recall(s)
	})
}

// recall gives up what may never be answered; else its connection would be held for good.
func recall(s Sent) {
	if s != nil {
		s.Recall()
	}
}

// Subscribe subscribes to the list.
func (o *Owner) Subscribe() { o.workers.Subscribe() }

// SetTimer sets the timer; the core asks only for one that comes before those it has asked for.
func (o *Owner) SetTimer(after time.Duration) {
	o.wakes = append(o.wakes, time.Now().Add(after))
	o.wake.Reset(after)
}
