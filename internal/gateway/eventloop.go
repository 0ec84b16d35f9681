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
	"lupinpond/internal/gateway/replay"
	"lupinpond/internal/gateway/stall"
	"lupinpond/scheduler"
)

// pauseSettle is the time for which sockets are read after a pause of the process before the core handles timeouts.
const pauseSettle = stall.SettleTime

// EventLoop owns the core of one gateway. A single goroutine takes messages from a mailbox, passes them to the core and
// executes the core's decisions. Servers submit client requests to the event loop; a WorkerTransport sends attempts to
// workers.
type EventLoop struct {
	epoch        time.Time // zero point of the core's clock
	mailbox      mailbox
	started      chan struct{} // closed when Run has started
	stopped      chan struct{} // closed when Run returns
	core         *core.Core
	recorder     *replay.Recorder
	transport    WorkerTransport
	loadTimeout  time.Duration
	probeTimeout time.Duration
	stall        stall.Detector
	monitor      *invariant.Monitor
	log          *slog.Logger
	stats        Stats
	loadChecks   loadChecks
	settings     core.Settings
	onStall      func(since time.Time)
	watchLease   atomic.Int64 // latest expiry of the watch's lease, on the core's clock

	// The fields below are only accessed by the event loop's goroutine.
	requests         map[string]*Request // requests in flight, by ID
	duplicateKeys    map[string]bool     // duplicate keys of the requests in flight
	counts           Counts
	timer            *time.Timer
	timerTimes       []time.Time   // times at which pending timers fire, in descending order
	latestStall      time.Time     // beginning of the latest stall that onStall was called for
	shutdownDeadline time.Duration // time by which every request must be answered, on the core's clock
}

// EventLoopOptions configures an EventLoop.
type EventLoopOptions struct {
	Core         core.Settings
	Transport    WorkerTransport
	Record       io.Writer          // receives a recording of the core's inputs and actions; nil disables recording
	LoadTimeout  time.Duration      // after this time a load request without a result counts as timed out
	ProbeTimeout time.Duration      // after this time a probe without a reply counts as timed out
	Monitor      *invariant.Monitor // counts violated invariants; may be nil
	Log          *slog.Logger       // receives each step of each request at debug level; nil disables logging

	// OnStall is called after a stall of the process, before the core makes any decision; may be nil. If it calls
	// SetWatchLease, that has already taken effect at the core's next decision.
	OnStall func(since time.Time)
}

// NewEventLoop creates an EventLoop. The caller must call Run to start it.
func NewEventLoop(options EventLoopOptions) *EventLoop {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	l := &EventLoop{
		epoch:            time.Now().Add(-time.Hour),
		mailbox:          mailbox{ready: make(chan struct{}, 1)},
		started:          make(chan struct{}),
		stopped:          make(chan struct{}),
		transport:        options.Transport,
		loadTimeout:      options.LoadTimeout,
		probeTimeout:     options.ProbeTimeout,
		monitor:          options.Monitor,
		log:              options.Log,
		loadChecks:       newLoadChecks(options.Core.LoadPolicy),
		settings:         options.Core,
		onStall:          options.OnStall,
		requests:         map[string]*Request{},
		duplicateKeys:    map[string]bool{},
		shutdownDeadline: math.MaxInt64,
	}
	if options.Record != nil {
		l.core, l.recorder = replay.Start(options.Core, l, options.Record)
	} else {
		l.core = core.New(options.Core, l)
	}
	l.core.ObserveLeases(l.logLease)
	return l
}

// Now returns the time on the core's clock, which keeps running while the process is paused.
func (l *EventLoop) Now() time.Duration { return time.Since(l.epoch) }

// Run runs the event loop until ctx is done.
func (l *EventLoop) Run(ctx context.Context) error {
	defer close(l.stopped)
	detectorCtx, stopDetector := context.WithCancel(ctx)
	var detector sync.WaitGroup
	detector.Go(func() { _ = l.stall.Run(detectorCtx) }) // the detector never returns an error
	defer detector.Wait()
	defer stopDetector()
	l.timer = time.NewTimer(0)
	l.timerTimes = append(l.timerTimes, time.Now())
	defer l.timer.Stop()
	close(l.started)
	for {
		timerFired := false
		select {
		case <-ctx.Done():
			return nil
		case <-l.mailbox.ready:
		case <-l.timer.C:
			timerFired = true
			l.dropFiredTimers()
		}
		l.handleStall()
		if l.stall.Lag(time.Now()) > 0 {
			// The process was paused: wait until the messages that arrived during the pause have been read from the
			// sockets, before the core handles timeouts.
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pauseSettle):
			}
		}
		now := l.Now()
		for _, message := range l.mailbox.take() {
			message(now)
		}
		if timerFired {
			l.core.TimerFired(now)
		}
		l.core.ProcessDue(now)
	}
}

// handleStall calls onStall once for each stall, and passes the watch's lease to the core ahead of the messages that
// arrived during the stall.
func (l *EventLoop) handleStall() {
	if l.onStall == nil {
		return
	}
	since := l.stall.StalledSince(time.Now())
	if since.Equal(l.latestStall) {
		return
	}
	l.latestStall = since
	l.stats.Stalls.Add(1)
	before := l.watchLease.Load()
	l.onStall(since)
	if lease := l.watchLease.Load(); lease != before {
		l.core.SetWatchLease(l.Now(), time.Duration(lease))
	}
}

// dropFiredTimers removes the timers that are due and starts the next one.
func (l *EventLoop) dropFiredTimers() {
	pending := len(l.timerTimes)
	for ; pending > 0 && time.Since(l.timerTimes[pending-1]) >= 0; pending-- {
		l.timerTimes = l.timerTimes[:pending-1]
	}
	if pending > 0 {
		l.timer.Reset(time.Until(l.timerTimes[pending-1]))
	}
}

// ShutdownBy makes the core answer every request, in flight or submitted later, by a time at the latest.
func (l *EventLoop) ShutdownBy(t time.Time) {
	deadline := t.Sub(l.epoch)
	l.mailbox.put(func(now time.Duration) {
		l.shutdownDeadline = deadline
		l.core.ShutdownBy(now, deadline)
	})
}

// UpdateMembership passes a change of the endpoint list to the core; if complete is set, members replaces the whole
// list. applied, which may be nil, is called once the change has taken effect: all decisions of the core before that
// call are based on the previous list.
func (l *EventLoop) UpdateMembership(complete bool, members []scheduler.Member, applied func()) {
	l.mailbox.put(func(now time.Duration) {
		if complete {
			l.core.ReplaceMembership(now, members)
		} else {
			l.core.UpdateMembership(now, members)
		}
		if applied != nil {
			applied()
		}
	})
}

// WatchFailed notifies the core that the watch of the endpoint list was disconnected.
func (l *EventLoop) WatchFailed() {
	l.mailbox.put(func(now time.Duration) { l.core.WatchFailed(now) })
}

// SetWatchLease sets the time at which the lease of the endpoint list's watch expires. From then on the gateway is
// considered notified of changes that it has not received.
func (l *EventLoop) SetWatchLease(expires time.Time) {
	lease := expires.Sub(l.epoch)
	l.watchLease.Store(int64(lease))
	l.mailbox.put(func(now time.Duration) {
		// A later call may have shortened the lease.
		l.core.SetWatchLease(now, min(lease, time.Duration(l.watchLease.Load())))
	})
}

// Pause blocks the event loop for a time, as if the process were stopped, and returns as soon as it is blocked. It is
// used by tests and scenarios.
func (l *EventLoop) Pause(d time.Duration) {
	<-l.started
	paused := make(chan struct{})
	l.mailbox.put(func(time.Duration) {
		close(paused)
		time.Sleep(d)
	})
	select {
	case <-paused:
	case <-l.stopped:
	}
}

// Do calls f on the event loop's goroutine, after all messages submitted earlier. f must not block.
func (l *EventLoop) Do(f func()) {
	l.mailbox.put(func(time.Duration) { f() })
}

// Members returns the workers on the core's endpoint list, sorted by name. running is false if the event loop has
// stopped or ctx is done before it replies.
func (l *EventLoop) Members(ctx context.Context) (members []scheduler.Member, running bool) {
	running = l.query(ctx, func() { members = l.core.Members() })
	return members, running
}

// query calls get on the event loop's goroutine and waits for it to return. It returns false if the event loop has
// stopped or ctx is done first.
func (l *EventLoop) query(ctx context.Context, get func()) bool {
	<-l.started
	done := make(chan struct{})
	l.mailbox.put(func(time.Duration) {
		get()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-l.stopped:
	}
	return false
}
