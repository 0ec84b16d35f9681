// Package gateway takes clients' requests and has workers run them. Its EventLoop owns the core, the request state
// machine that makes every decision: sockets have goroutines of their own, which put messages into a mailbox; the
// event loop passes them to the core, step by step, and carries out its decisions. Gateway is the gateway whose
// clients use the invoke API over HTTP and whose workers speak the worker protocol, with the endpoint list of the
// registry; package platform has the other, on the platform's protocols. Neither decides anything about requests,
// attempts or loads.
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

// Options configure a Gateway. Config and Listener are needed; the rest has a zero value that works.
type Options struct {
	Name            string // of this incarnation of the gateway; requests' ids begin with it
	Index           int    // its number among the gateways, from 0
	GatewayCount    int    // how many gateways there are, this one included
	Seed            uint64
	Config          fleetconfig.File
	Listener        net.Listener
	Tap             *capture.Tap              // sees every socket; nil: none
	Record          io.Writer                 // receives a recording of the core; nil: none is made
	CachedEndpoints *registry.WatchEvent      // the endpoint list before the start, perhaps out of date; nil: none
	OnEndpoints     func(registry.WatchEvent) // called with the complete endpoint list after every change; may be nil
	Log             *slog.Logger
}

// Gateway is one gateway whose clients use HTTP and whose workers speak the worker protocol.
type Gateway struct {
	*EventLoop
	options        Options
	catalogue      *invoke.Catalogue
	log            *slog.Logger
	stopGrace      time.Duration     // how long a write to a stopped worker may go on
	cancelAttempts bool              // workers are notified of cancelled attempts
	functionNames  map[uint64]string // by function id

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
	lastEventAt     time.Time // when the registry last sent an event; zero: not since the start

	background        *errgroup.Group // the event loop, the registry watch and the workers' clients
	abortCtx          context.Context // ends background
	subscribeRequests chan struct{}   // holds a token when the core has subscribed
}

// New creates a Gateway; Run serves it.
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

// Run serves until ctx ends. Then it shuts down gracefully: it accepts no new requests, answers every request in
// flight, notifies the workers and returns, at the latest after the longest max age and the answer slack. abort, if
// it ends, ends everything at once and notifies nobody.
func (g *Gateway) Run(ctx, abort context.Context) error {
	abortable, stop := context.WithCancel(abort)
	defer stop()
	g.background, g.abortCtx = errgroup.WithContext(abortable)
	defer g.logRecordingError()

	server := g.newServer(g.abortCtx)
	listener := &limitedListener{Listener: g.options.Tap.Listener(g.options.Listener), open: &g.openConnections,
		limit: int64(g.options.Config.Gateway.Limits.Connections)}
	if g.options.CachedEndpoints != nil {
		g.applyWatchEvent(*g.options.CachedEndpoints)
		g.lastEventAt = time.Time{} // a cache tells nothing about when the workers of the next event started
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

// awaitHandlers waits for HTTP handlers that still write a response; http.Server.Close does not.
func (g *Gateway) awaitHandlers() {
	for g.openConnections.Load() > 0 || g.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// drain waits until every request in flight is answered, and then notifies the workers.
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

// notifyDraining notifies the workers that no further requests follow, and waits for a moment until the notices are
// written.
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

// Counts returns the numbers of a running Gateway; zero once it has stopped.
func (g *Gateway) Counts(ctx context.Context) (counts Counts) {
	if !g.query(ctx, func() { counts = g.FinalCounts() }) {
		return Counts{}
	}
	return counts
}

// FinalCounts returns the numbers of a Gateway whose Run has returned.
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
