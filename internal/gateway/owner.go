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
	Scheduled    *scheduler.Request
	DuplicateKey string                  // what must not be in hand twice; empty where a second one does no harm
	Reply        func(a invoke.Response) // told the final answer, by the owner; must not wait
	Done         func()                  // called when nothing follows for the request; may be nil
	Body         []byte                  // as the client sent it
	Call         invoke.Call             // of a client of the invoke API

	submittedAt    time.Duration
	disconnectedAt atomic.Int64      // when its client left, by the owner's clock; 0: it waits
	attempts       int               // attempts
	inFlight       map[int]Canceller // those without an outcome
	responseBody   []byte            // the body of the answer
	checks         requestChecks
}

// Canceller is an attempt, an order or a probe under way at a worker.
type Canceller interface {
	Cancel() // gives it up; its outcome comes all the same, unless it was told before
}

// WorkerTransport is the way out of a front end: it carries attempts, orders and probes to the workers, and brings the list. What
// done functions tell may come at any time, also at once, from any goroutine; the first counts.
type WorkerTransport interface {
	// Each may give nil where nothing was sent, or nothing has to be given up. departure is asked when an attempt's bytes
	// are about to be written.
	Send(e *Request, launch int, worker string, departure *SendPermit, done func(o scheduler.Outcome, body []byte)) Canceller
	Load(o scheduler.LoadRequest, done func(copies int, r scheduler.Result)) Canceller
	Probe(worker string, done func(r scheduler.Result, l scheduler.LoadReport)) Canceller
	Subscribe() // for the list
}

// EventLoop owns the core of one front end: one goroutine takes facts from a mailbox, tells them to the core moment by
// moment, and carries out what the core says. Ways in put requests there, ways out what comes of them.
type EventLoop struct {
	epoch        time.Time // the core's clock is an hour at the start
	mailbox      mailbox
	started      chan struct{}
	stopped      chan struct{}
	core         *core.Core
	recorder     *replay.Recorder
	transport    WorkerTransport
	loadTimeout  time.Duration // a load request that is not answered by then is lost
	probeTimeout time.Duration // and a probe
	stall        stall.Detector
	monitor      *invariant.Monitor
	log          *slog.Logger
	stats        Stats
	loadChecks   loadChecks
	settings     core.Settings

	// the goroutine's
	requests         map[string]*Request
	duplicateKeys    map[string]bool
	counts           Counts
	wakeTimer        *time.Timer
	wakeTimes        []time.Time   // to come, the earliest last
	shutdownDeadline time.Duration // every request has its answer by then
}

// EventLoopOptions are what an Owner is made from.
type EventLoopOptions struct {
	Core         core.Settings
	Transport    WorkerTransport
	Record       io.Writer          // gets a recording of the core; nil: none
	LoadTimeout  time.Duration      // a load request that is not answered by then is lost
	ProbeTimeout time.Duration      // and a probe
	Monitor      *invariant.Monitor // is told of violated invariants; may be nil
	Log          *slog.Logger       // gets the life of every request at debug level; nil: nothing does
}

// NewEventLoop makes the owner of a core. Run runs it.
func NewEventLoop(from EventLoopOptions) *EventLoop {
	if from.Log == nil {
		from.Log = slog.New(slog.DiscardHandler)
	}
	o := &EventLoop{epoch: time.Now().Add(-time.Hour), transport: from.Transport, loadTimeout: from.LoadTimeout, probeTimeout: from.ProbeTimeout,
		requests: map[string]*Request{}, duplicateKeys: map[string]bool{}, started: make(chan struct{}), stopped: make(chan struct{}),
		shutdownDeadline: math.MaxInt64, monitor: from.Monitor, log: from.Log, settings: from.Core, loadChecks: newLoadChecks(from.Core.LoadPolicy)}
	o.mailbox.ready = make(chan struct{}, 1)
	if from.Record != nil {
		o.core, o.recorder = replay.Start(from.Core, o, from.Record)
	} else {
		o.core = core.New(from.Core, o)
	}
	return o
}

// Now is the core's clock. It runs on while the process is paused.
func (o *EventLoop) Now() time.Duration { return time.Since(o.epoch) }

// mailbox holds facts for the owner. What may be in it is bounded by the requests in hand and the calls to workers.
type mailbox struct {
	mu       sync.Mutex
	messages []func(now time.Duration)
	ready    chan struct{}
}

func (m *mailbox) put(f func(now time.Duration)) {
	m.mu.Lock()
	m.messages = append(m.messages, f)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() []func(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	facts := m.messages
	m.messages = nil
	return facts
}

// Submit takes a request that was read just now. Just one final answer is given to its Reply, unless its client leaves.
func (o *EventLoop) Submit(e *Request) {
	read := o.Now()
	behind := o.stall.Lag(time.Now())
	if behind == 0 {
		o.submit(e, read)
		return
	}
	// the process did not run: the client's time went on meanwhile, and that it has left may not be read yet
	o.stats.ReadAfterStall.Add(1)
	time.AfterFunc(stall.SettleTime, func() { o.submit(e, read-behind) })
}

func (o *EventLoop) submit(e *Request, sent time.Duration) {
	o.mailbox.put(func(now time.Duration) {
		// the client's time goes on while the owner stands still; else what came meanwhile is answered too late (rule 1)
		e.Scheduled.TimeLeft -= min(e.Scheduled.TimeLeft, max(0, now-sent))
		o.accept(now, e)
	})
}

// ClientDisconnected tells that the client of a request is gone; nobody waits for what is out for it, which is given up. From now on no
// attempt of it leaves, however many facts the owner hears before this one.
func (o *EventLoop) ClientDisconnected(e *Request) {
	e.disconnectedAt.CompareAndSwap(0, int64(o.Now()))
	o.mailbox.put(func(now time.Duration) {
		if o.requests[e.Scheduled.ID] != e {
			return
		}
		o.core.ClientDisconnected(now, e.Scheduled.ID)
		o.counts.ClientsDisconnected++
		o.logRequest("client left", e, "in_flight", len(e.inFlight))
		for _, l := range e.inFlight {
			l.Cancel()
		}
	})
}

// ShutdownBy has every request in hand, and those that come yet, answered by a time.
func (o *EventLoop) ShutdownBy(t time.Time) {
	by := t.Sub(o.epoch)
	o.mailbox.put(func(now time.Duration) {
		o.shutdownDeadline = by
		o.core.ShutdownBy(now, by)
	})
}

// UpdateMembership tells news of the list of workers. adopted, which may be nil, is called in the same moment: until then the
// core's decisions are for the workers that it knew before.
func (o *EventLoop) UpdateMembership(whole bool, news []scheduler.Member, adopted func()) {
	o.mailbox.put(func(now time.Duration) {
		if whole {
			o.core.ReplaceMembership(now, news)
		} else {
			o.core.UpdateMembership(now, news)
		}
		if adopted != nil {
			adopted()
		}
	})
}

// WatchFailed tells that the list broke off.
func (o *EventLoop) WatchFailed() {
	o.mailbox.put(func(now time.Duration) { o.core.WatchFailed(now) })
}

// Run is the goroutine that owns the core.
func (o *EventLoop) Run(ctx context.Context) error {
	defer close(o.stopped)
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go func() { _ = o.stall.Run(watching) }() // it ends without an error
	o.wakeTimer = time.NewTimer(0)
	o.wakeTimes = append(o.wakeTimes, time.Now())
	defer o.wakeTimer.Stop()
	close(o.started)
	for {
		var woke, late bool
		select {
		case <-ctx.Done():
			return nil
		case <-o.mailbox.ready:
		case <-o.wakeTimer.C:
			woke = true
			late = time.Since(o.wakeTimes[len(o.wakeTimes)-1]) > pauseThreshold
			for n := len(o.wakeTimes); n > 0 && time.Since(o.wakeTimes[n-1]) >= 0; n-- {
				o.wakeTimes = o.wakeTimes[:n-1]
			}
			if n := len(o.wakeTimes); n > 0 {
				o.wakeTimer.Reset(time.Until(o.wakeTimes[n-1]))
			}
		}
		if late || o.stall.Lag(time.Now()) > 0 { // paused: what was said meanwhile is heard before anything is judged late
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pauseSettle):
			}
		}
		now := o.Now()
		for _, fact := range o.mailbox.take() {
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
	pauseThreshold = 200 * time.Millisecond
	pauseSettle    = stall.SettleTime
)

// Pause stops the owner for a time, as a stopped process would, and returns when it stands still: for tests and
// rehearsed days.
func (o *EventLoop) Pause(d time.Duration) {
	<-o.started
	still := make(chan struct{})
	o.mailbox.put(func(time.Duration) {
		close(still)
		time.Sleep(d)
	})
	select {
	case <-still:
	case <-o.stopped:
	}
}

// Do has the goroutine that owns the core call f, after all that it was told before. f must not wait.
func (o *EventLoop) Do(f func()) {
	o.mailbox.put(func(time.Duration) { f() })
}

// Members asks for the workers that the core has on its list, in the order of their names; false once it has ended.
func (o *EventLoop) Members(ctx context.Context) (members []scheduler.Member, running bool) {
	running = o.query(ctx, func() { members = o.core.Members() })
	return members, running
}

// query has the goroutine call get; false once it has ended.
func (o *EventLoop) query(ctx context.Context, get func()) bool {
	<-o.started
	got := make(chan struct{})
	o.mailbox.put(func(time.Duration) {
		get()
		close(got)
	})
	select {
	case <-got:
		return true
	case <-ctx.Done():
	case <-o.stopped:
	}
	return false
}

// accept takes a request into hand, unless its client has left already.
func (o *EventLoop) accept(now time.Duration, e *Request) {
	if e.disconnectedAt.Load() != 0 {
		o.counts.ClientsDisconnected++
		e.done()
		return
	}
	if e.DuplicateKey != "" && o.duplicateKeys[e.DuplicateKey] { // the client's own name of it: two at once might both run
		e.reject(invoke.Response{Outcome: invoke.InFlight, Reason: "an event of this id is in hand"})
		return
	}
	e.submittedAt, e.inFlight = now, map[int]Canceller{}
	if o.requests[e.Scheduled.ID] != nil {
		e.reject(invoke.Response{Outcome: invoke.NotAccepted, Reason: core.ErrDuplicate.Error()})
		return
	}
	if e.DuplicateKey != "" {
		o.duplicateKeys[e.DuplicateKey] = true
	}
	o.requests[e.Scheduled.ID] = e // the core may act on it at once
	o.counts.Accepted++
	o.logRequest("request taken", e, "type", e.Scheduled.Type, "tenant", e.Scheduled.Tenant, "time_left", e.Scheduled.TimeLeft)
	o.loadChecks.submitted(now)
	if err := o.core.Submit(now, e.Scheduled); err != nil {
		delete(o.requests, e.Scheduled.ID)
		delete(o.duplicateKeys, e.DuplicateKey)
		e.reject(invoke.Response{Outcome: invoke.NotAccepted, Reason: err.Error()})
	}
}

// reject answers a request that is not taken into hand.
func (e *Request) reject(a invoke.Response) {
	e.Reply(a)
	e.done()
}

// done tells that nothing follows for the request.
func (e *Request) done() {
	if e.Done != nil {
		e.Done()
	}
}

// The methods of core.Actor, called by the goroutine only.

// Send sends an attempt to a worker, unless the client is gone by now: an attempt that begins later is a break.
func (o *EventLoop) Send(fact *scheduler.Request, launch int, worker string) {
	e := o.requests[fact.ID]
	if e.disconnectedAt.Load() != 0 {
		o.mailbox.put(func(now time.Duration) {
			o.core.CompleteAttempt(now, fact.ID, launch, scheduler.Outcome{Worker: worker, Result: scheduler.Withheld})
		})
		return
	}
	o.checkAttempt(e, launch, worker)
	o.counts.Attempts++
	if e.attempts++; e.attempts > 1 {
		o.stats.Retries.Add(1)
	}
	o.logRequest("attempt", e, "attempt", launch, "worker", worker)
	sent := time.Now()
	departure := &SendPermit{loop: o, request: e, decidedAt: o.Now(), deadline: min(e.submittedAt+fact.TimeLeft, o.shutdownDeadline)}
	l := o.transport.Send(e, launch, worker, departure, func(out scheduler.Outcome, body []byte) {
		o.mailbox.put(func(now time.Duration) {
			delete(e.inFlight, launch)
			out.Worker, out.Duration = worker, time.Since(sent)
			e.checks.attemptEnded(launch, out.Result)
			o.logRequest("attempt ended", e, "attempt", launch, "worker", worker, "result", out.Result.String(), "took", out.Duration)
			if out.Result == scheduler.Completed {
				e.responseBody = body
			}
			if !o.core.CompleteAttempt(now, fact.ID, launch, out) {
				o.counts.LateOutcomes++
			}
		})
	})
	if l != nil { // none where no worker was found: there is nothing to give up
		e.inFlight[launch] = l
	}
}

// Complete answers the client.
func (o *EventLoop) Complete(fact *scheduler.Request, launch int) {
	o.counts.Completed++
	e := o.requests[fact.ID]
	o.reply(e, invoke.Response{Outcome: invoke.Completed, Attempts: launch + 1, Body: e.responseBody})
}

// Reject answers the client that another try is harmless.
func (o *EventLoop) Reject(fact *scheduler.Request, back time.Duration, _ bool) {
	o.counts.Rejected++
	e := o.requests[fact.ID]
	o.reply(e, invoke.Response{Outcome: invoke.Rejected, Attempts: e.attempts, RetryAfter: back,
		Reason: "not handled in time; trying again does no harm"})
}

// Fail answers the client that no other try was possible.
func (o *EventLoop) Fail(fact *scheduler.Request, launches int, mayRun bool) {
	o.counts.Failed++
	o.reply(o.requests[fact.ID], invoke.Response{Outcome: invoke.Failed, Attempts: launches, MayHaveRun: mayRun,
		Reason: "not handled; its type allows no other try"})
}

// reply gives a request its final answer, the only one.
func (o *EventLoop) reply(e *Request, a invoke.Response) {
	if !o.checkAnswer(e) {
		return
	}
	reason := e.Scheduled.Reason()
	if a.Outcome != invoke.Completed {
		o.stats.Unserved[reason].Add(1)
	}
	o.logRequest("answered", e, "ending", a.Outcome.String(), "reason", reason.String(), "attempts", e.attempts)
	e.Reply(a)
}

// Cancel gives an attempt up; its outcome is a fact of a moment to come.
func (o *EventLoop) Cancel(fact *scheduler.Request, launch int, _ string) {
	if l := o.requests[fact.ID].inFlight[launch]; l != nil {
		l.Cancel()
	}
}

// Closed forgets a request; attempts whose outcome was not waited for are given up.
func (o *EventLoop) Closed(fact *scheduler.Request, _ int, _ core.CloseReason) {
	e := o.requests[fact.ID]
	o.checkEnd(e)
	for _, l := range e.inFlight {
		l.Cancel()
	}
	delete(o.duplicateKeys, e.DuplicateKey)
	delete(o.requests, fact.ID)
	e.done()
}

// RequestLoad sends a load request.
func (o *EventLoop) RequestLoad(order scheduler.LoadRequest) {
	o.counts.LoadRequests++
	o.checkLoad(order)
	sent, answered := time.Now(), false
	end := func(copies int, r scheduler.Result) {
		o.mailbox.put(func(now time.Duration) {
			if !answered {
				answered = true
				order.Replicas = copies
				o.core.LoadCompleted(now, order, r, time.Since(sent))
			}
		})
	}
	asked := order.Replicas
	s := o.transport.Load(order, end)
	time.AfterFunc(o.loadTimeout, func() {
		end(asked, scheduler.TimedOut)
		cancel(s)
	})
}

// Probe asks a worker for a report.
func (o *EventLoop) Probe(worker string) {
	o.counts.Probes++
	sent, answered := time.Now(), false
	end := func(r scheduler.Result, l scheduler.LoadReport) {
		o.mailbox.put(func(now time.Duration) {
			if !answered {
				answered = true
				o.core.ProbeCompleted(now, worker, r, l, time.Since(sent))
			}
		})
	}
	s := o.transport.Probe(worker, end)
	time.AfterFunc(o.probeTimeout, func() {
		end(scheduler.TimedOut, scheduler.LoadReport{})
		cancel(s)
	})
}

// cancel gives up what may never be answered; else its connection would be held for good.
func cancel(s Canceller) {
	if s != nil {
		s.Cancel()
	}
}

// Subscribe subscribes to the list.
func (o *EventLoop) Subscribe() { o.transport.Subscribe() }

// SetTimer sets the timer; the core asks only for one that comes before those it has asked for.
func (o *EventLoop) SetTimer(after time.Duration) {
	o.wakeTimes = append(o.wakeTimes, time.Now().Add(after))
	o.wakeTimer.Reset(after)
}
