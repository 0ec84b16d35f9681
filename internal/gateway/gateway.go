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
	Name        string // of this life of the front end; events' ids begin with it
	Self, Peers int    // its number among the front ends, and how many there are
	Seed        uint64
	File        fleetconfig.File
	Listener    net.Listener
	Tap         *capture.Tap        // sees every socket; nil: none
	Record      io.Writer           // gets a recording of the core; nil: none
	Stale       *registry.News      // the list as last known before the start, perhaps out of date; nil: none
	Known       func(registry.News) // told the whole list, after every change, to be kept for the next start; may be nil
	Log         *slog.Logger
}

// Counts are a Gate's numbers since its start.
type Counts struct {
	Taken, Completed, Rejected, Failed, ClientsLeft int
	NotTaken, Refused                               int // turned away by limits or while draining; bad requests
	Attempts, LoadRequests, Probes                  int
	LateAnswers                                     int // outcomes of launches that had one before
	Stray                                           int // answers that no call asked for
	Connections                                     int // to workers
}

// Gate is one front end whose clients come over HTTP and whose workers speak the link.
type Gate struct {
	*Owner
	o         Options
	catalogue *invoke.Catalogue
	log       *slog.Logger
	grace     time.Duration
	cancel    bool

	number   atomic.Uint64
	inHand   atomic.Int64
	draining atomic.Bool
	clients  atomic.Int64
	notTaken atomic.Int64
	refused  atomic.Int64
	names    map[uint64]string // functions

	peersMu sync.Mutex
	peers   map[string]*peer
	known   map[string]registry.Entry // the list as it was told
	births  *Births
	// when the list was last told
	listedAt time.Time
	group    *errgroup.Group // of links and the list
	hard     context.Context // ends when the gate is gone
	asked    chan struct{}
}

// peer is a worker's link and how to end it.
type peer struct {
	*workerrpc.Peer
	entry registry.Entry
	stop  context.CancelFunc
}

// New makes a Gate; Run serves it.
func New(o Options) (*Gate, error) {
	if o.Listener == nil {
		return nil, errors.New("gate: no listener")
	}
	if err := config.Loopback(o.Listener.Addr().String()); err != nil {
		return nil, fmt.Errorf("gate: %w", err)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Name == "" {
		o.Name = fmt.Sprintf("front-%d-%x", o.Self, time.Now().UnixNano())
	}
	g := &Gate{o: o, catalogue: invoke.NewCatalogue(o.File), log: o.Log.With("front", o.Name),
		grace:  o.File.Fleet.StopSendingWithin.D() / 2,
		cancel: o.File.Fleet.Allowed.Cancel, names: map[uint64]string{},
		peers: map[string]*peer{}, known: map[string]registry.Entry{}, asked: make(chan struct{}, 1)}
	for _, f := range o.File.Functions {
		if other, twice := g.names[f.ID()]; twice {
			return nil, fmt.Errorf("gate: functions %q and %q have the same number", f.Name, other)
		}
		g.names[f.ID()] = f.Name
	}
	g.Owner = NewOwner(OwnerOptions{Core: o.File.Core(o.Seed, o.Self, max(1, o.Peers)), Workers: links{g}, Record: o.Record,
		LoadTimeout: o.File.Fleet.Loading.OrderLimit.D(), ProbeLimit: o.File.Front.Link.Dial.D(),
		Monitor: invariant.NewMonitor(g.log), Log: g.log})
	g.births = g.NewBirths()
	return g, nil
}

// Run serves until ctx ends; then it takes no new events, answers every event in hand, says goodbye to the workers and
// returns, at the latest after the longest max age and the answer slack. kill, if it ends, ends all at once instead,
// without a word to anybody.
func (g *Gate) Run(ctx, kill context.Context) error {
	hard, end := context.WithCancel(kill)
	defer end()
	links, hardLinks := errgroup.WithContext(hard)
	g.group, g.hard = links, hardLinks
	defer g.recorded()

	server := g.server(hardLinks)
	limited := &limitedListener{Listener: g.o.Tap.Listener(g.o.Listener), open: &g.clients,
		most: int64(g.o.File.Front.Limits.Connections)}

	if g.o.Stale != nil {
		g.news(*g.o.Stale)
		g.listedAt = time.Time{} // it tells nothing of when the workers of the next one came
	}
	links.Go(func() error { return g.Owner.Run(hardLinks) })
	links.Go(func() error { return g.list(hardLinks) })
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	g.log.Info("front end listens", "address", g.o.Listener.Addr().String())

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
	for g.clients.Load() > 0 || g.inHand.Load() > 0 { // handlers whose answer came with the end
		time.Sleep(time.Millisecond)
	}
	return err
}

// server is the server of the invoke API; its requests end with hard.
func (g *Gate) server(hard context.Context) *http.Server {
	server := &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: g.o.File.Front.Limits.Read.D(),
		ReadTimeout:       g.o.File.Front.Limits.Read.D(),
		IdleTimeout:       g.o.File.Front.Limits.Idle.D(),
		MaxHeaderBytes:    int(g.o.File.Front.Limits.Header),
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return hard },
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

// drain has every request in hand answered, and then tells the workers that nothing more comes.
func (g *Gate) drain(hard context.Context, server *http.Server) error {
	g.draining.Store(true)
	g.log.Info("draining", "in hand", g.inHand.Load())
	longest := g.o.File.Fleet.AnswerSlack.D()
	for _, t := range g.o.File.Fleet.Types {
		longest = max(longest, t.MaxAge.D()+g.o.File.Fleet.AnswerSlack.D())
	}
	drain, stop := context.WithTimeout(hard, longest)
	defer stop()
	err := server.Shutdown(drain)
	if err != nil {
		err = fmt.Errorf("drain: %w", err)
	}
	g.goodbye()
	return err
}

// goodbye tells the workers that nothing more comes; one that does not take it in a moment does without.
func (g *Gate) goodbye() {
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	by := time.Now().Add(g.grace)
	for _, p := range g.peers {
		p.Goodbye()
	}
	for _, p := range g.peers {
		p.Left(time.Until(by))
	}
}

func (g *Gate) recorded() {
	if g.recorder != nil && g.recorder.Err() != nil {
		g.log.Error("recording of the core broke off", "err", g.recorder.Err())
	}
}

// limitedListener closes connections past a limit at once.
type limitedListener struct {
	net.Listener
	open *atomic.Int64
	most int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.most {
			l.open.Add(-1)
			conn.Close()
			continue
		}
		return &counted{Conn: conn, open: l.open}, nil
	}
}

type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// handler serves the invoke API.
func (g *Gate) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/functions/{name}/invocations", g.invoke)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.refuse(w, &invoke.Problem{Type: invoke.ProblemRequest, Title: http.StatusText(http.StatusNotFound),
			Status: http.StatusNotFound, Detail: r.Method + " " + r.URL.Path})
	})
	return mux
}

// bound cuts off a client that does not read its answer. Where that can't be set, the answer is short.
func (g *Gate) bound(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.o.File.Front.Limits.Write.D()))
}

func (g *Gate) refuse(w http.ResponseWriter, p *invoke.Problem) {
	g.refused.Add(1)
	g.bound(w)
	p.Write(w)
}

func (g *Gate) invoke(w http.ResponseWriter, r *http.Request) {
	call, problem := g.catalogue.Read(w, r)
	if problem != nil {
		g.refuse(w, problem)
		return
	}
	out := http.NewResponseController(w)
	_ = out.SetReadDeadline(time.Time{}) // the request is read; what comes now is the client's leaving
	if g.inHand.Add(1) > int64(g.o.File.Front.Limits.InHand) || g.draining.Load() {
		g.inHand.Add(-1)
		g.notTaken.Add(1)
		g.bound(w)
		invoke.Write(w, invoke.Answer{Ending: invoke.NotTaken, Reason: "this front end takes no event now"})
		return
	}
	defer g.inHand.Add(-1)
	id := fmt.Sprintf("%s-%d", g.o.Name, g.number.Add(1))
	reply := make(chan invoke.Answer, 1)
	e := &Request{Call: call, Twin: twin(call), Body: call.Body, Reply: func(a invoke.Answer) { reply <- a },
		Fact: &scheduler.Request{ID: id, Type: call.Type.Name, Tenant: call.Tenant, Function: call.Function.ID(),
			TimeLeft: call.Patience, Concurrency: call.Function.Lanes, Memory: float64(call.Function.Memory),
			LoadTime: call.Function.LoadTime.D(), Retry: call.Repeat}}
	g.Submit(e)
	select {
	case a := <-reply:
		a.Event = id
		g.bound(w)
		invoke.Write(w, a)
	case <-r.Context().Done():
		g.ClientGone(e)
		panic(http.ErrAbortHandler) // returning would send an empty 200: a client that still reads would take it for handled
	}
}

// twin is what must not be in hand twice; empty where a second one does no harm.
func twin(c invoke.Call) string {
	if c.ID == "" || c.Type.Name == "" || c.Type.Effect == "redeliverable" {
		return ""
	}
	return c.Tenant + "\n" + c.Source + "\n" + c.ID
}

// Counts asks the owner of a running Gate for the numbers; zero once it has ended.
func (g *Gate) Counts(ctx context.Context) (c Counts) {
	if !g.ask(ctx, func() { c = g.Last() }) {
		return Counts{}
	}
	return c
}

// Last is the numbers of a Gate whose Run has returned.
func (g *Gate) Last() Counts {
	c := g.counts
	c.NotTaken, c.Refused = int(g.notTaken.Load()), int(g.refused.Load())
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	for _, p := range g.peers {
		n := p.Counts()
		c.Stray, c.Connections = c.Stray+n.Stray, c.Connections+n.Connections
	}
	return c
}
