package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
)

// engine is the part of a gateway that does not depend on its clients: the event loop that owns the core, the
// connections to workers and the watcher of the endpoint list.
type engine struct {
	*gateway.EventLoop
	config     Config
	log        *slog.Logger
	transport  *workerTransport
	startTimes *gateway.StartTimes // used by the watcher's goroutine only
	monitor    *invariant.Monitor
	watcher    *discovery.Watcher
	workCtx    context.Context // ends when all work is done, at the earliest when the context of Run ends
	stopWork   context.CancelFunc

	// onApplied is called by the event loop once the core has applied a watch event. It may be nil.
	onApplied func(position int64, complete bool)
}

func newEngine(config Config, log *slog.Logger, record io.Writer) *engine {
	e := &engine{config: config, log: log.With("front", config.Name)}
	e.workCtx, e.stopWork = context.WithCancel(context.Background())
	e.monitor = invariant.NewMonitor(e.log)
	e.transport = newWorkerTransport(config, resp.NewPool(e.workCtx, config.poolLimits()), e.monitor)
	e.EventLoop = gateway.NewEventLoop(gateway.EventLoopOptions{
		Core:         config.core(),
		Transport:    e.transport,
		Record:       record,
		LoadTimeout:  config.Core.LoadPolicy.RequestTimeout,
		ProbeTimeout: config.dialTimeout(),
		Monitor:      e.monitor,
		Log:          e.log,
		OnStall:      func(since time.Time) { e.watcher.Stalled(since) },
	})
	e.startTimes = e.NewStartTimes()
	e.watcher = discovery.NewWatcher(config.DiscoveryAddr, config.discoveryLimits(), e.log, e.handleEvent)
	return e
}

// poolLimits returns the limits of the connections to workers.
func (c Config) poolLimits() resp.Limits {
	sockets := c.peerSockets()
	return resp.Limits{
		IOTimeout:       c.dialTimeout(),
		IdleTimeout:     c.connIdleTimeout(),
		MaxCallsPerConn: c.maxCallsPerConn(),
		SoftMaxConns:    sockets / workerSocketDivisor,
		MaxConns:        sockets/workerSocketDivisor + sockets/extraSocketDivisor,
		MaxElementBytes: maxElementBytes,
	}
}

// discoveryLimits returns the limits of the polls of the discovery service. A service that does not answer is polled
// again before the platform considers its events delivered.
func (c Config) discoveryLimits() discovery.Limits {
	dial := c.dialTimeout()
	// The list gets at most as old as two poll waits plus the time of two answers. It must not expire while the service
	// works normally.
	freshWait := (deliveryBound + time.Duration(listAgeGraceFraction*float64(c.drainGrace())) - 2*dial) / 2
	wait := max(min(pollWaitGraces*c.drainGrace(), freshWait, maxPollWait), dial)
	return discovery.Limits{
		PollWait:           wait,
		UsualResponse:      dial,
		MaxResponse:        max(dial, deliveryBound-2*wait-dial),
		MaxBytes:           c.Memory / discoveryMemoryDivisor,
		DeliveryBound:      deliveryBound,
		AnswerBound:        c.drainGrace(), // with slower answers drains come to be known too late in any case
		AddressChangeBound: addressChangeBound,
	}
}

// run runs the engine together with the goroutines that start adds to the group. It runs until one of them fails or
// calls stopWork, and returns the first error.
func (e *engine) run(start func(group *errgroup.Group, workCtx context.Context)) error {
	defer e.stopWork()
	group, workCtx := errgroup.WithContext(e.workCtx)
	e.watcher.OnLeaseChange(e.SetWatchLease)
	e.watcher.Apply(e.config.KnownEndpoints)
	group.Go(func() error { return e.EventLoop.Run(workCtx) })
	group.Go(func() error { return e.watcher.Run(workCtx) })
	start(group, workCtx)
	err := group.Wait()
	e.stopWork()
	e.transport.pool.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// Reload applies the part of a new configuration that may change while the gateway runs: the address of the discovery
// service.
func (e *engine) Reload(config Config) {
	e.log.Info("configuration reloaded", "discovery_address", config.DiscoveryAddr)
	e.watcher.SetAddress(config.DiscoveryAddr)
}
