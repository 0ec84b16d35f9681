// Package gateway accepts requests from clients and runs them on workers. Its EventLoop owns the core, the request
// state machine that makes every decision. Sockets are served by their own goroutines, which put messages into a
// mailbox; the event loop passes the messages to the core one by one and executes the core's decisions. Gateway serves
// clients through the invoke API over HTTP, talks to workers in the worker protocol and reads the endpoint list from
// the registry; package platform implements a gateway for the platform's own protocols. Neither of the two decides
// anything about requests, attempts or loads.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/registry"
)

// Options configures a Gateway. Config and Listener are required; the zero values of the other fields are usable.
type Options struct {
	Name            string // name of this incarnation of the gateway, used as the prefix of request IDs
	Index           int    // index of this gateway in the fleet, starting at 0
	GatewayCount    int    // number of gateways in the fleet, including this one
	Seed            uint64
	Config          fleetconfig.File
	Listener        net.Listener
	Tap             *capture.Tap              // captures the traffic of every socket; nil disables capturing
	Record          io.Writer                 // receives a recording of the core; nil disables recording
	CachedEndpoints *registry.WatchEvent      // endpoint list cached by an earlier run, possibly outdated; may be nil
	OnEndpoints     func(registry.WatchEvent) // called with the complete endpoint list after every change; may be nil
	Log             *slog.Logger
}

// Gateway is a gateway with clients that use HTTP and workers that use the worker protocol.
type Gateway struct {
	*EventLoop
	options        Options
	catalogue      *invoke.Catalogue
	log            *slog.Logger
	stopGrace      time.Duration     // time for which a write to a worker may continue after its client is stopped
	cancelAttempts bool              // whether workers are notified of cancelled attempts
	functionNames  map[uint64]string // function names by function ID

	lastRequestNumber atomic.Uint64
	inFlight          atomic.Int64
	draining          atomic.Bool
	openConnections   atomic.Int64
	notAccepted       atomic.Int64
	invalidRequests   atomic.Int64

	workerClientsMu sync.Mutex // guards the fields up to lastEventAt
	workerClients   map[string]*workerClient
	endpoints       map[string]registry.Entry
	startTimes      *StartTimes
	lastEventAt     time.Time // time of the registry's last event; zero if there was none since the start

	background        *errgroup.Group // goroutines of the event loop, the registry watch and the worker clients
	abortCtx          context.Context // stops the goroutines of background
	subscribeRequests chan struct{}   // holds a token after the core has requested a subscription
}

// New creates a Gateway. The caller must call Run to start it.
func New(options Options) (*Gateway, error) {
	if options.Listener == nil {
		return nil, errors.New("gateway: no listener")
	}
	if err := config.CheckLoopback(options.Listener.Addr().String()); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Name == "" {
		options.Name = fmt.Sprintf("front-%d-%x", options.Index, time.Now().UnixNano())
	}
	fleet := options.Config.Fleet
	g := &Gateway{
		options:           options,
		catalogue:         invoke.NewCatalogue(options.Config),
		log:               options.Log.With("gateway", options.Name),
		stopGrace:         fleet.DrainGrace.Std() / 2,
		cancelAttempts:    fleet.Policy.Cancel,
		functionNames:     map[uint64]string{},
		workerClients:     map[string]*workerClient{},
		endpoints:         map[string]registry.Entry{},
		subscribeRequests: make(chan struct{}, 1),
	}
	for _, function := range options.Config.Functions {
		if other, ok := g.functionNames[function.ID()]; ok {
			return nil, fmt.Errorf("gateway: functions %q and %q have the same id", function.Name, other)
		}
		g.functionNames[function.ID()] = function.Name
	}
	g.EventLoop = NewEventLoop(EventLoopOptions{
		Core:         options.Config.Core(options.Seed, options.Index, max(1, options.GatewayCount)),
		Transport:    rpcTransport{g},
		Record:       options.Record,
		LoadTimeout:  fleet.LoadPolicy.RequestTimeout.Std(),
		ProbeTimeout: options.Config.Gateway.WorkerRPC.Dial.Std(),
		Monitor:      invariant.NewMonitor(g.log),
		Log:          g.log,
	})
	g.startTimes = g.NewStartTimes()
	return g, nil
}

// Run serves requests until ctx is done. It then shuts down gracefully: it accepts no new requests, waits until every
// request in flight is answered, at most for the longest max age of the request types plus the answer slack, notifies
// the workers and returns. When abort is done, Run stops immediately, without notifying clients or workers.
func (g *Gateway) Run(ctx, abort context.Context) error {
	abortable, stop := context.WithCancel(abort)
	defer stop()
	g.background, g.abortCtx = errgroup.WithContext(abortable)
	defer g.logRecordingError()

	server := g.newServer(g.abortCtx)
	listener := g.newListener()
	if g.options.CachedEndpoints != nil {
		g.applyWatchEvent(*g.options.CachedEndpoints)
		g.lastEventAt = time.Time{} // the cached list does not bound the age of workers that are new in the next event
	}
	g.background.Go(func() error { return g.EventLoop.Run(g.abortCtx) })
	g.background.Go(func() error { return g.watchRegistry(g.abortCtx) })
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	g.log.Info("gateway listening", "address", g.options.Listener.Addr().String())

	var err error
	select {
	case <-ctx.Done():
		err = g.drain(server)
	case err = <-served:
		served <- err
	case <-g.abortCtx.Done():
	}
	if abort.Err() != nil {
		err = nil
	}
	stop()
	if closeErr := server.Close(); err == nil && closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		err = closeErr
	}
	if serveErr := <-served; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
		err = serveErr
	}
	if backgroundErr := g.background.Wait(); err == nil && backgroundErr != nil {
		err = backgroundErr
	}
	g.awaitHandlers()
	return err
}

// awaitHandlers waits for HTTP handlers that are still writing a response. http.Server.Close does not wait for them.
func (g *Gateway) awaitHandlers() {
	for g.openConnections.Load() > 0 || g.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// drain waits until every request in flight is answered and then notifies the workers that the gateway is draining.
func (g *Gateway) drain(server *http.Server) error {
	g.draining.Store(true)
	g.log.Info("draining", "in_flight", g.inFlight.Load())
	fleet := g.options.Config.Fleet
	timeout := fleet.AnswerSlack.Std()
	for _, requestType := range fleet.Types {
		timeout = max(timeout, requestType.MaxAge.Std()+fleet.AnswerSlack.Std())
	}
	ctx, stop := context.WithTimeout(g.abortCtx, timeout)
	defer stop()
	err := server.Shutdown(ctx)
	if err != nil {
		err = fmt.Errorf("drain: %w", err)
	}
	g.notifyDraining()
	return err
}

// notifyDraining notifies the workers that no more requests follow. It returns once all notices are about to be
// written, or after stopGrace.
func (g *Gateway) notifyDraining() {
	g.workerClientsMu.Lock()
	defer g.workerClientsMu.Unlock()
	deadline := time.Now().Add(g.stopGrace)
	for _, client := range g.workerClients {
		client.NotifyDraining()
	}
	for _, client := range g.workerClients {
		client.AwaitDrainNotice(time.Until(deadline))
	}
}

func (g *Gateway) logRecordingError() {
	if g.recorder != nil && g.recorder.Err() != nil {
		g.log.Error("core recording failed", "err", g.recorder.Err())
	}
}

// Counts returns the counters of a running Gateway. It returns zeros if the Gateway has stopped or ctx is done before
// the event loop replies.
func (g *Gateway) Counts(ctx context.Context) (counts Counts) {
	if !g.query(ctx, func() { counts = g.FinalCounts() }) {
		return Counts{}
	}
	return counts
}

// FinalCounts returns the counters of a Gateway after Run has returned.
func (g *Gateway) FinalCounts() Counts {
	counts := g.counts
	counts.NotAccepted, counts.InvalidRequests = int(g.notAccepted.Load()), int(g.invalidRequests.Load())
	g.workerClientsMu.Lock()
	defer g.workerClientsMu.Unlock()
	for _, client := range g.workerClients {
		rpc := client.Client.Counts()
		counts.UnmatchedResponses += rpc.UnmatchedResponses
		counts.Connections += rpc.Connections
	}
	return counts
}
