package gateway

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/registry"
	"lupinpond/internal/workerrpc"
	"lupinpond/scheduler"
)

// links is the way out over the worker protocol, with the worker list from the registry.
type links struct{ *Gate }

// peer finds a worker's link; nil: none.
func (l links) peer(worker string) *peer {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.peers[worker]
}

// recaller gives a call up as the settings allow.
type recaller struct {
	*workerrpc.Call
	tell bool
}

// Recall gives the launch up.
func (r recaller) Recall() { r.Call.Recall(r.tell) }

// Send sends a launch to a worker.
func (l links) Send(e *Request, launch int, worker string, departure *Departure, done func(scheduler.Outcome, []byte)) Sent {
	left, leaves := departure.Left() // the link tells what is left of it when it writes
	if !leaves {
		done(scheduler.Outcome{Result: scheduler.Withheld}, nil)
		return nil
	}
	p := l.peer(worker)
	if p == nil {
		done(scheduler.Outcome{Result: scheduler.Unreachable}, nil)
		return nil
	}
	c := e.Call
	window := time.Duration(0)
	if c.Key != "" {
		window = c.Type.Window.D()
	}
	stillLeaves := func() bool {
		_, leaves := departure.Left()
		return leaves
	}
	return recaller{p.LaunchIf(workerrpc.Launch{Event: e.Fact.ID, Number: launch, Function: c.Function.Name, Type: c.Type.Name,
		Tenant: c.Tenant, Key: c.Key, Window: window, Client: c.Source + "\n" + c.ID, Body: e.Body}, left, stillLeaves,
		func(o workerrpc.Outcome) { done(l.outcome(o)) }), l.cancel}
}

// outcome is how a launch ended, and its answer.
func (l links) outcome(o workerrpc.Outcome) (out scheduler.Outcome, body []byte) {
	switch o.Fate {
	case workerrpc.Unsent:
		out.Result = scheduler.Unreachable
		if errors.Is(o.Err, workerrpc.ErrWithheld) {
			out.Result = scheduler.Withheld
		}
	case workerrpc.Broken:
		out.Result = scheduler.ConnectionLost
	case workerrpc.Recalled:
		out.Result = scheduler.Cancelled
	case workerrpc.Answered:
		a := o.Answer
		out.ReplicaState, out.Report = scheduler.ReplicaState(a.Warmth), l.load(a.Report)
		switch a.Code {
		case workerrpc.Done:
			out.Result, body = scheduler.Completed, a.Body
		case workerrpc.Full:
			out.Result = scheduler.Full
		case workerrpc.Missing:
			out.Result = scheduler.NotFound
		case workerrpc.NotStarted: // drained or withdrawn before its start
			out.Result = scheduler.Unreachable
		case workerrpc.Withdrawn:
			out.Result = scheduler.Cancelled
		default:
			out.Result = scheduler.Failed
		}
	}
	return out, body
}

// load tells of a report what the settings say that reports carry.
func (g *Gate) load(r *workerrpc.Report) scheduler.LoadReport {
	if r == nil || g.o.File.Fleet.Workers.Reports == "none" {
		return scheduler.LoadReport{}
	}
	return scheduler.LoadReport{Reported: true, QueueDepth: float64(r.Waiting)}
}

// Load sends a load order.
func (l links) Load(o scheduler.LoadRequest, done func(copies int, r scheduler.Result)) Sent {
	p := l.peer(o.Worker)
	if p == nil {
		done(o.Replicas, scheduler.Unreachable)
		return nil
	}
	p.Order(workerrpc.Order{Function: l.names[o.Function], Copies: o.Replicas}, func(out workerrpc.Outcome) {
		switch {
		case out.Fate == workerrpc.Unsent:
			done(o.Replicas, scheduler.Unreachable)
		case out.Ordered == nil:
			done(o.Replicas, scheduler.ConnectionLost)
		default:
			result := scheduler.Failed
			switch out.Ordered.Code {
			case workerrpc.Done:
				result = scheduler.Completed
			case workerrpc.Full, workerrpc.NotStarted:
				result = scheduler.Full
			}
			done(out.Ordered.Copies, result)
		}
	})
	return nil
}

// Probe asks a worker for a report.
func (l links) Probe(worker string, done func(r scheduler.Result, load scheduler.LoadReport)) Sent {
	p := l.peer(worker)
	if p == nil {
		done(scheduler.Unreachable, scheduler.LoadReport{})
		return nil
	}
	p.Probe(func(o workerrpc.Outcome) {
		switch {
		case o.Echo != nil:
			done(scheduler.Completed, l.load(o.Echo.Report))
		case o.Fate == workerrpc.Unsent:
			done(scheduler.Unreachable, scheduler.LoadReport{})
		default:
			done(scheduler.ConnectionLost, scheduler.LoadReport{})
		}
	})
	return nil
}

// Subscribe subscribes to the list.
func (l links) Subscribe() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// list subscribes whenever the core asks, and tells what comes.
func (g *Gate) list(ctx context.Context) error {
	dial := &net.Dialer{Timeout: g.o.File.Front.Link.Dial.D()}
	transport := &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return g.o.Tap.Dialer(capture.List, "list", func(ctx context.Context, addr string) (net.Conn, error) {
				return dial.DialContext(ctx, network, addr)
			})(ctx, addr)
		}}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.asked:
		}
		err := registry.Watch(ctx, client, g.o.File.Front.List, g.o.Name, func(n registry.News) { g.news(n) })
		if ctx.Err() != nil {
			return nil
		}
		g.log.Warn("the list broke off", "err", err)
		g.WatchFailed()
	}
}

// news takes a message of the list. Links to drained and gone workers are stopped at once, before the owner gets to it:
// what waits in a write queue must not leave after the grace, even where the owner is stalled.
func (g *Gate) news(n registry.News) {
	var listings []scheduler.Member
	named := map[string]bool{}
	g.peersMu.Lock()
	within := Always
	if !g.listedAt.IsZero() {
		within = time.Since(g.listedAt)
	}
	g.listedAt = time.Now()
	for _, e := range n.Entries {
		named[e.Name] = true
		l := scheduler.Member{Worker: e.Name, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, Started: g.births.Started(e.Name, e.Started, within)}
		if g.o.File.Fleet.Workers.Sizes == "cores" {
			l.Weight = e.Cores
		}
		switch e.State {
		case registry.Draining:
			l.Condition = scheduler.Draining
		case registry.Gone:
			l.Condition = scheduler.Removed
		}
		listings = append(listings, l)
		g.link(e)
	}
	if n.Whole {
		g.births.Keep(named)
		for name, p := range g.peers {
			if !named[name] {
				p.Stop(g.grace)
			}
		}
	}
	whole := g.keep(n, named)
	g.peersMu.Unlock()
	if g.o.Known != nil {
		g.o.Known(whole)
	}
	g.UpdateMembership(n.Whole, listings, nil)
}

// keep follows the list and gives the whole of it.
func (g *Gate) keep(n registry.News, named map[string]bool) registry.News {
	if n.Whole {
		maps.DeleteFunc(g.known, func(name string, _ registry.Entry) bool { return !named[name] })
	}
	for _, e := range n.Entries {
		g.known[e.Name] = e
	}
	whole := registry.News{Version: n.Version, Whole: true}
	for _, name := range slices.Sorted(maps.Keys(g.known)) {
		whole.Entries = append(whole.Entries, g.known[name])
	}
	return whole
}

// link follows one entry of the list with the link to that worker.
func (g *Gate) link(e registry.Entry) {
	p := g.peers[e.Name]
	if p != nil && p.entry.Addr != e.Addr { // it listens elsewhere now
		p.stop()
		p = nil
	}
	if p == nil && e.State != registry.In {
		return
	}
	if p == nil {
		l := g.o.File.Front.Link
		var dialer net.Dialer
		dial := g.o.Tap.Dialer(capture.Worker, e.Name, func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		})
		ctx, stop := context.WithCancel(g.hard)
		p = &peer{stop: stop, Peer: workerrpc.NewPeer(g.o.Name, e.Name, e.Addr, workerrpc.Limits{Dial: l.Dial.D(),
			Queue: l.Queue.D(), Stall: l.Stall.D(), Calls: l.Calls, Bytes: int(l.Bytes)}, dial)}
		p.Greeted = func(h *workerrpc.Hello) {
			if h.WarmUp > 0 {
				g.log.Info("a worker warmed up in its last life", "worker", h.Name, "warm-up", h.WarmUp)
			}
			for _, cut := range h.Cut {
				g.log.Warn("a worker died during a load", "worker", h.Name, "function", cut.Function, "version", cut.Version,
					"events", cut.Events)
			}
		}
		g.group.Go(func() error { return p.Run(ctx) })
		g.peers[e.Name] = p
	}
	p.entry = e
	if e.State == registry.In {
		p.Resume()
	} else {
		p.Stop(g.grace)
	}
}
