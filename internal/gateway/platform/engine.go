package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
	"lupinpond/scheduler"
)

// engine is a front end without its clients: the owner of its core, the connections to workers, and the list.
type engine struct {
	*gateway.EventLoop
	config     Config
	log        *slog.Logger
	transport  *workerTransport
	startTimes *gateway.StartTimes // used by the list's goroutine
	monitor    *invariant.Monitor
	watcher    *discovery.Watcher
	workCtx    context.Context // ends when nothing is left to do
	stopWork   context.CancelFunc
	onApplied  func(number int64, whole bool) // called by the owner when the core has taken an event of the list service; may be nil
}

func newEngine(c Config, log *slog.Logger, record io.Writer) *engine {
	e := &engine{config: c, log: log.With("front", c.Name)}
	e.workCtx, e.stopWork = context.WithCancel(context.Background())
	dial, sockets := c.dialTimeout(), c.peerSockets()
	streams := max(1, int(c.Settings.Number("policy_limits.max_streams", 32)))
	e.monitor = invariant.NewMonitor(e.log)
	e.transport = &workerTransport{canCancel: c.Core.Cancel, monitor: e.monitor, startedAt: time.Now(), listed: map[string]*backend{}, applied: map[string]*backend{},
		pool: resp.NewPool(e.workCtx, resp.Limits{IOTimeout: dial, IdleTimeout: c.connIdleTimeout() / 2, MaxCallsPerConn: streams, SoftMaxConns: sockets / workerSocketDivisor,
			MaxConns: sockets/workerSocketDivisor + sockets/extraSocketDivisor, MaxElementBytes: maxElementBytes})}
	if c.Settings["report.source"] != "off" {
		e.transport.reportField = "pending"
	}
	e.EventLoop = gateway.NewEventLoop(gateway.EventLoopOptions{Core: c.Core, Transport: e.transport, Record: record, LoadTimeout: c.Core.LoadPolicy.RequestTimeout,
		ProbeTimeout: dial, Monitor: e.monitor, Log: e.log})
	e.startTimes = e.NewStartTimes()
	grace := c.Settings.Duration("rules.stop_sending_within", 500*time.Millisecond)
	e.transport.drainGrace = grace
	wait := min(max(dial, pollWaitGraces*grace), maxPollWait)
	e.watcher = discovery.NewWatcher(c.DiscoveryAddr, discovery.Limits{PollWait: wait, UsualResponse: dial, MaxResponse: max(dial, deliveryBound-2*wait-dial),
		MaxBytes: c.Memory / discoveryMemoryDivisor}, e.log, e.handleEvent)
	return e
}

// dialTimeout is how long a connection to a worker may take.
func (c Config) dialTimeout() time.Duration {
	return max(c.Settings.Duration("policy_limits.dial_timeout", 250*time.Millisecond), time.Millisecond)
}

// connIdleTimeout is how long a connection may stand without a request.
func (c Config) connIdleTimeout() time.Duration {
	return c.Settings.Duration("policy_limits.conn_idle", 15*time.Second)
}

// peerSockets is the number of descriptors for clients and workers.
func (c Config) peerSockets() int { return c.Sockets - reservedSockets }

// run runs the engine, and what start adds to the group, until one of them ends it.
func (e *engine) run(start func(g *errgroup.Group, hard context.Context)) error {
	defer e.stopWork()
	g, hard := errgroup.WithContext(e.workCtx)
	e.watcher.Apply(e.config.KnownEndpoints)
	g.Go(func() error { return e.EventLoop.Run(hard) })
	g.Go(func() error { return e.watcher.Run(hard) })
	start(g, hard)
	err := g.Wait()
	e.stopWork()
	e.transport.pool.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// Reload takes what a new configuration changes while the front end runs: where the journal is.
func (e *engine) Reload(c Config) {
	e.log.Info("new configuration", "journal", c.DiscoveryAddr)
	e.watcher.SetAddress(c.DiscoveryAddr)
}

// handleEvent takes an event of the journal.
func (e *engine) handleEvent(event discovery.Event) {
	if event.Update == nil {
		e.notifyApplied(event)
		return
	}
	adopt := e.transport.update(event)
	within := gateway.UnboundedAge
	if event.MaxAge > 0 {
		within = event.MaxAge
	}
	named := map[string]bool{}
	var listings []scheduler.Member
	for _, w := range event.Update.Endpoints {
		named[w.Name] = true
		l := scheduler.Member{Worker: w.Name, Zone: w.Zone, Kind: w.Kind, Cell: strconv.Itoa(w.Cell)}
		if e.config.Settings.UsesWorkerSizes() {
			l.Weight = w.Size
		}
		born := time.Time{}
		if w.StartedUnixMilli > 0 {
			born = time.UnixMilli(w.StartedUnixMilli)
		}
		l.Started = e.startTimes.Started(w.Name, born, within)
		switch w.State {
		case discovery.Draining:
			l.Condition = scheduler.Draining
		case discovery.Removed:
			l.Condition = scheduler.Removed
			e.startTimes.Forget(w.Name)
		}
		listings = append(listings, l)
	}
	if event.Update.Complete {
		e.startTimes.Retain(named)
	}
	e.logUpdate(event)
	e.UpdateMembership(event.Update.Complete, listings, adopt)
	e.notifyApplied(event)
}

// logUpdate logs an event of the list with how many workers it tells in each state.
func (e *engine) logUpdate(event discovery.Event) {
	states := map[string]int{}
	for _, w := range event.Update.Endpoints {
		states[w.State]++
	}
	e.log.Info("list changed", "event", event.Position, "whole", event.Update.Complete, "up", states[discovery.Up], "draining", states[discovery.Draining],
		"removed", states[discovery.Removed])
}

// notifyApplied has the owner tell that the core has taken an event.
func (e *engine) notifyApplied(event discovery.Event) {
	if e.onApplied != nil {
		e.Do(func() { e.onApplied(event.Position, event.Update != nil && event.Update.Complete) })
	}
}
