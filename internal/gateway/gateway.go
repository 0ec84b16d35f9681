// Package gateway is a front end on real sockets: clients over HTTP on one side, workers over the link on the other, the
// worker list from the registry, and one goroutine that owns the core. Sockets have goroutines of their own; they put facts into a
// mailbox, and the owner tells them to the core, moment by moment, and carries out what it says. The gate decides
// nothing about events, launches or loads.
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
	"lupinpond/internal/workerrpc"
	"lupinpond/scheduler"
)

// Options are what a Gate is made from. File and Listener are needed; the rest has a zero value that works.
type Options struct {
	Name                string // of this life of the front end; events' ids begin with it
	Index, GatewayCount int    // its number among the front ends, and how many there are
	Seed                uint64
	Config              fleetconfig.File
	Listener            net.Listener
	Tap                 *capture.Tap              // sees every socket; nil: none
	Record              io.Writer                 // gets a recording of the core; nil: none
	CachedEndpoints     *registry.WatchEvent      // the list as last known before the start, perhaps out of date; nil: none
	OnEndpoints         func(registry.WatchEvent) // told the whole list, after every change, to be kept for the next start; may be nil
	Log                 *slog.Logger
}

// Counts are a Gate's numbers since its start.
type Counts struct {
	Accepted            int `json:"Taken"`
	Completed           int
	Rejected            int
	Failed              int
	ClientsDisconnected int `json:"ClientsLeft"`
	NotAccepted         int `json:"NotTaken"` // turned down by limits or while draining
	InvalidRequests     int `json:"Refused"`
	Attempts            int
	LoadRequests        int
	Probes              int
	LateOutcomes        int `json:"LateAnswers"` // of attempts that had an outcome already
	UnmatchedResponses  int `json:"Stray"`       // of no pending call
	Connections         int // to workers
}

// Gateway is one front end whose clients come over HTTP and whose workers speak the link.
type Gateway struct {
	*EventLoop
	options        Options
	catalogue      *invoke.Catalogue
	log            *slog.Logger
	stopGrace      time.Duration
	cancelAttempts bool

	lastRequestNumber atomic.Uint64
	inFlight          atomic.Int64
	draining          atomic.Bool
	openConnections   atomic.Int64
	notAccepted       atomic.Int64
	invalidRequests   atomic.Int64
	functionNames     map[uint64]string // functions

	workerClientsMu sync.Mutex
	workerClients   map[string]*workerClient
	endpoints       map[string]registry.Entry // the list as it was told
	startTimes      *StartTimes
	// when the list was last told
	lastEventAt       time.Time
	background        *errgroup.Group // of links and the list
	killCtx           context.Context // ends when the gate is gone
	subscribeRequests chan struct{}
}

// workerClient is a worker's link and how to end it.
type workerClient struct {
	*workerrpc.Client
	entry registry.Entry
	stop  context.CancelFunc
}

// New makes a Gate; Run serves it.
func New(o Options) (*Gateway, error) {
	if o.Listener == nil {
		return nil, errors.New("gate: no listener")
	}
	if err := config.CheckLoopback(o.Listener.Addr().String()); err != nil {
		return nil, fmt.Errorf("gate: %w", err)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Name == "" {
		o.Name = fmt.Sprintf("front-%d-%x", o.Index, time.Now().UnixNano())
	}
	g := &Gateway{options: o, catalogue: invoke.NewCatalogue(o.Config), log: o.Log.With("front", o.Name),
		stopGrace:      o.Config.Fleet.DrainGrace.Std() / 2,
		cancelAttempts: o.Config.Fleet.Policy.Cancel, functionNames: map[uint64]string{},
		workerClients: map[string]*workerClient{}, endpoints: map[string]registry.Entry{}, subscribeRequests: make(chan struct{}, 1)}
	for _, f := range o.Config.Functions {
		if other, twice := g.functionNames[f.ID()]; twice {
			return nil, fmt.Errorf("gate: functions %q and %q have the same number", f.Name, other)
		}
		g.functionNames[f.ID()] = f.Name
	}
	g.EventLoop = NewEventLoop(EventLoopOptions{Core: o.Config.Core(o.Seed, o.Index, max(1, o.GatewayCount)), Transport: rpcTransport{g}, Record: o.Record,
		LoadTimeout: o.Config.Fleet.LoadPolicy.RequestTimeout.Std(), ProbeTimeout: o.Config.Gateway.WorkerRPC.Dial.Std(),
		Monitor: invariant.NewMonitor(g.log), Log: g.log})
	g.startTimes = g.NewStartTimes()
	return g, nil
}

// Run serves until ctx ends; then it takes no new events, answers every event in hand, says goodbye to the workers and
// returns, at the latest after the longest max age and the answer slack. kill, if it ends, ends all at once instead,
// without a word to anybody.
func (g *Gateway) Run(ctx, kill context.Context) error {
	hard, end := context.WithCancel(kill)
	defer end()
	links, hardLinks := errgroup.WithContext(hard)
	g.background, g.killCtx = links, hardLinks
	defer g.logRecordingError()

	server := g.server(hardLinks)
	limited := &limitedListener{Listener: g.options.Tap.Listener(g.options.Listener), open: &g.openConnections,
		limit: int64(g.options.Config.Gateway.Limits.Connections)}

	if g.options.CachedEndpoints != nil {
		g.applyWatchEvent(*g.options.CachedEndpoints)
		g.lastEventAt = time.Time{} // it tells nothing of when the workers of the next one came
	}
	links.Go(func() error { return g.EventLoop.Run(hardLinks) })
	links.Go(func() error { return g.watchRegistry(hardLinks) })
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	g.log.Info("front end listens", "address", g.options.Listener.Addr().String())

	var err error
	select {
	case <-ctx.Done():
		err = g.drain(hardLinks, server)
	case err = <-served:
		served <- err
	case <-hardLinks.Done():
	}
	if kill.Err() != nil {
		err = nil
	}
	end()
	if cerr := server.Close(); err == nil && cerr != nil && !errors.Is(cerr, net.ErrClosed) {
		err = cerr
	}
	if serr := <-served; err == nil && !errors.Is(serr, http.ErrServerClosed) {
		err = serr
	}
	if lerr := links.Wait(); err == nil && lerr != nil {
		err = lerr
	}
	for g.openConnections.Load() > 0 || g.inFlight.Load() > 0 { // handlers whose answer came with the end
		time.Sleep(time.Millisecond)
	}
	return err
}

// server is the server of the invoke API; its requests end with hard.
func (g *Gateway) server(hard context.Context) *http.Server {
	server := &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: g.options.Config.Gateway.Limits.Read.Std(),
		ReadTimeout:       g.options.Config.Gateway.Limits.Read.Std(),
		IdleTimeout:       g.options.Config.Gateway.Limits.Idle.Std(),
		MaxHeaderBytes:    int(g.options.Config.Gateway.Limits.Header),
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return hard },
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

// drain has every request in hand answered, and then tells the workers that nothing more comes.
func (g *Gateway) drain(hard context.Context, server *http.Server) error {
	g.draining.Store(true)
	g.log.Info("draining", "in hand", g.inFlight.Load())
	longest := g.options.Config.Fleet.AnswerSlack.Std()
	for _, t := range g.options.Config.Fleet.Types {
		longest = max(longest, t.MaxAge.Std()+g.options.Config.Fleet.AnswerSlack.Std())
	}
	drain, stop := context.WithTimeout(hard, longest)
	defer stop()
	err := server.Shutdown(drain)
	if err != nil {
		err = fmt.Errorf("drain: %w", err)
	}
	g.notifyDraining()
	return err
}

// notifyDraining tells the workers that nothing more comes; one that does not take it in a moment does without.
func (g *Gateway) notifyDraining() {
	g.workerClientsMu.Lock()
	defer g.workerClientsMu.Unlock()
	by := time.Now().Add(g.stopGrace)
	for _, p := range g.workerClients {
		p.NotifyDraining()
	}
	for _, p := range g.workerClients {
		p.AwaitDrainNotice(time.Until(by))
	}
}

func (g *Gateway) logRecordingError() {
	if g.recorder != nil && g.recorder.Err() != nil {
		g.log.Error("recording of the core broke off", "err", g.recorder.Err())
	}
}

// limitedListener closes connections past a limit at once.
type limitedListener struct {
	net.Listener
	open  *atomic.Int64
	limit int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			conn.Close()
			continue
		}
		return &countedConn{Conn: conn, open: l.open}, nil
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// handler serves the invoke API.
func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/functions/{name}/invocations", g.invoke)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.rejectInvalid(w, &invoke.Problem{Type: invoke.ProblemInvalidRequest, Title: http.StatusText(http.StatusNotFound),
			Status: http.StatusNotFound, Detail: r.Method + " " + r.URL.Path})
	})
	return mux
}

// setWriteDeadline cuts off a client that does not read its answer. Where that can't be set, the answer is short.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.options.Config.Gateway.Limits.Write.Std()))
}

func (g *Gateway) rejectInvalid(w http.ResponseWriter, p *invoke.Problem) {
	g.invalidRequests.Add(1)
	g.setWriteDeadline(w)
	p.Write(w)
}

func (g *Gateway) invoke(w http.ResponseWriter, r *http.Request) {
	call, problem := g.catalogue.ReadRequest(w, r)
	if problem != nil {
		g.rejectInvalid(w, problem)
		return
	}
	out := http.NewResponseController(w)
	_ = out.SetReadDeadline(time.Time{}) // the request is read; what comes now is the client's leaving
	if g.inFlight.Add(1) > int64(g.options.Config.Gateway.Limits.InFlight) || g.draining.Load() {
		g.inFlight.Add(-1)
		g.notAccepted.Add(1)
		g.setWriteDeadline(w)
		invoke.WriteResponse(w, invoke.Response{Outcome: invoke.NotAccepted, Reason: "this front end takes no event now"})
		return
	}
	defer g.inFlight.Add(-1)
	id := fmt.Sprintf("%s-%d", g.options.Name, g.lastRequestNumber.Add(1))
	reply := make(chan invoke.Response, 1)
	e := &Request{Call: call, DuplicateKey: duplicateKey(call), Body: call.Body, Reply: func(a invoke.Response) { reply <- a },
		Scheduled: &scheduler.Request{ID: id, Type: call.Type.Name, Tenant: call.Tenant, Function: call.Function.ID(),
			TimeLeft: call.TimeLeft, Concurrency: call.Function.Concurrency, Memory: float64(call.Function.Memory),
			LoadTime: call.Function.LoadTime.Std(), Retry: call.Retry}}
	g.Submit(e)
	select {
	case a := <-reply:
		a.RequestID = id
		g.setWriteDeadline(w)
		invoke.WriteResponse(w, a)
	case <-r.Context().Done():
		g.ClientDisconnected(e)
		panic(http.ErrAbortHandler) // returning would send an empty 200: a client that still reads would take it for handled
	}
}

// duplicateKey is what must not be in hand twice; empty where a second one does no harm.
func duplicateKey(c invoke.Call) string {
	if c.ClientID == "" || c.Type.Name == "" || c.Type.Effect == "redeliverable" {
		return ""
	}
	return c.Tenant + "\n" + c.Source + "\n" + c.ClientID
}

// Counts asks the owner of a running Gate for the numbers; zero once it has ended.
func (g *Gateway) Counts(ctx context.Context) (c Counts) {
	if !g.query(ctx, func() { c = g.FinalCounts() }) {
		return Counts{}
	}
	return c
}

// FinalCounts is the numbers of a Gate whose Run has returned.
func (g *Gateway) FinalCounts() Counts {
	c := g.counts
	c.NotAccepted, c.InvalidRequests = int(g.notAccepted.Load()), int(g.invalidRequests.Load())
	g.workerClientsMu.Lock()
	defer g.workerClientsMu.Unlock()
	for _, p := range g.workerClients {
		n := p.Counts()
		c.UnmatchedResponses, c.Connections = c.UnmatchedResponses+n.UnmatchedResponses, c.Connections+n.Connections
	}
	return c
}
