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
	config  Config
	log     *slog.Logger
	workers *workers
	births  *gateway.StartTimes // used by the list's goroutine
	monitor *invariant.Monitor
	feed    *discovery.Feed
	hard    context.Context // ends when nothing is left to do
	stopped context.CancelFunc
	applied func(number int64, whole bool) // called by the owner when the core has taken an event of the list service; may be nil
}

func newEngine(c Config, log *slog.Logger, record io.Writer) *engine {
	e := &engine{config: c, log: log.With("front", c.Name)}
	e.hard, e.stopped = context.WithCancel(context.Background())
	dial, sockets := c.dial(), c.peerSockets()
	streams := max(1, int(c.Settings.Number("policy_limits.max_streams", 32)))
	e.monitor = invariant.NewMonitor(e.log)
	e.workers = &workers{cancel: c.Front.Cancel, monitor: e.monitor, started: time.Now(), listed: map[string]*backend{}, adopted: map[string]*backend{},
		pool: resp.NewPool(e.hard, resp.Limits{Dial: dial, Idle: c.idle() / 2, Streams: streams, Conns: sockets / workerSockets,
			Most: sockets/workerSockets + sockets/spareSockets, Word: mostAnswer})}
	if c.Settings["report.source"] != "off" {
		e.workers.report = "pending"
	}
	e.EventLoop = gateway.NewEventLoop(gateway.EventLoopOptions{Core: c.Front, Transport: e.workers, Record: record, LoadTimeout: c.Front.LoadPolicy.RequestTimeout,
		ProbeTimeout: dial, Monitor: e.monitor, Log: e.log})
	e.births = e.NewStartTimes()
	grace := c.Settings.Time("rules.stop_sending_within", 500*time.Millisecond)
	e.workers.grace = grace
	wait := min(max(dial, journalWaits*grace), mostWait)
	e.feed = discovery.New(c.Journal, discovery.Limits{Wait: wait, Answer: dial, Slow: max(dial, tellWithin-2*wait-dial),
		Bytes: c.Memory / feedMemory}, e.log, e.news)
	return e
}

// dial is how long a connection to a worker may take.
func (c Config) dial() time.Duration {
	return max(c.Settings.Time("policy_limits.dial_timeout", 250*time.Millisecond), time.Millisecond)
}

// idle is how long a connection may stand without a request.
func (c Config) idle() time.Duration {
	return c.Settings.Time("policy_limits.conn_idle", 15*time.Second)
}

// peerSockets is the number of descriptors for clients and workers.
func (c Config) peerSockets() int { return c.Sockets - ownSockets }

// run runs the engine, and what start adds to the group, until one of them ends it.
func (e *engine) run(start func(g *errgroup.Group, hard context.Context)) error {
	defer e.stopped()
	g, hard := errgroup.WithContext(e.hard)
	e.feed.Tell(e.config.Known)
	g.Go(func() error { return e.EventLoop.Run(hard) })
	g.Go(func() error { return e.feed.Run(hard) })
	start(g, hard)
	err := g.Wait()
	e.stopped()
	e.workers.pool.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// Reload takes what a new configuration changes while the front end runs: where the journal is.
func (e *engine) Reload(c Config) {
	e.log.Info("new configuration", "journal", c.Journal)
	e.feed.Move(c.Journal)
}

// news takes an event of the journal.
func (e *engine) news(event discovery.Event) {
	if event.List == nil {
		e.told(event)
		return
	}
	adopt := e.workers.news(event)
	within := gateway.UnboundedAge
	if event.Within > 0 {
		within = event.Within
	}
	named := map[string]bool{}
	var listings []scheduler.Member
	for _, w := range event.List.Workers {
		named[w.Name] = true
		l := scheduler.Member{Worker: w.Name, Zone: w.Zone, Kind: w.Kind, Cell: strconv.Itoa(w.Cell)}
		if e.config.Settings.Sized() {
			l.Weight = w.Size
		}
		born := time.Time{}
		if w.Born > 0 {
			born = time.UnixMilli(w.Born)
		}
		l.Started = e.births.Started(w.Name, born, within)
		switch w.State {
		case discovery.Draining:
			l.Condition = scheduler.Draining
		case discovery.Removed:
			l.Condition = scheduler.Removed
			e.births.Forget(w.Name)
		}
		listings = append(listings, l)
	}
	if event.List.Whole {
		e.births.Retain(named)
	}
	e.logList(event)
	e.UpdateMembership(event.List.Whole, listings, adopt)
	e.told(event)
}

// logList logs an event of the list with how many workers it tells in each state.
func (e *engine) logList(event discovery.Event) {
	states := map[string]int{}
	for _, w := range event.List.Workers {
		states[w.State]++
	}
	e.log.Info("list changed", "event", event.Number, "whole", event.List.Whole, "up", states[discovery.Up], "draining", states[discovery.Draining],
		"removed", states[discovery.Removed])
}

// told has the owner tell that the core has taken an event.
func (e *engine) told(event discovery.Event) {
	if e.applied != nil {
		e.Do(func() { e.applied(event.Number, event.List != nil && event.List.Whole) })
	}
}
