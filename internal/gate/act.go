package gate

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"lupinpond/choice"
	"lupinpond/internal/capture"
	"lupinpond/internal/core"
	"lupinpond/internal/invoke"
	"lupinpond/internal/link"
	"lupinpond/internal/roster"
)

// The methods of core.Actor, called by the owner only.

// Launch sends a launch to a worker.
func (g *Gate) Launch(fact *choice.Event, launch int, worker string) {
	g.counts.Launches++
	e := g.events[fact.ID]
	e.sent++
	sent := time.Now()
	end := func(now time.Duration, o link.Outcome) {
		delete(e.out, launch)
		g.outcome(now, e, launch, worker, time.Since(sent), o)
	}
	g.peersMu.Lock()
	p := g.peers[worker]
	g.peersMu.Unlock()
	if p == nil {
		g.later = append(g.later, func(now time.Duration) { end(now, link.Outcome{Fate: link.Unsent}) })
		return
	}
	c := e.call
	window := time.Duration(0)
	if c.Key != "" {
		window = c.Type.Window.D()
	}
	left := fact.Patience - (g.now() - e.came)
	e.out[launch] = p.Launch(link.Launch{Event: fact.ID, Number: launch, Function: c.Function.Name, Type: c.Type.Name,
		Tenant: c.Tenant, Key: c.Key, Window: window, Client: c.Source + "\n" + c.ID, Body: c.Body}, left,
		func(o link.Outcome) { g.box.put(func(now time.Duration) { end(now, o) }) })
}

// outcome tells the core how a launch ended.
func (g *Gate) outcome(now time.Duration, e *event, launch int, worker string, took time.Duration, o link.Outcome) {
	out := choice.Outcome{Worker: worker, Took: took}
	switch o.Fate {
	case link.Unsent:
		out.Result = choice.Unreached
	case link.Broken:
		out.Result = choice.Broken
	case link.Recalled:
		out.Result = choice.Withdrawn
	case link.Answered:
		a := o.Answer
		out.Warmth, out.Load = choice.Warmth(a.Warmth), g.load(a.Report)
		switch a.Code {
		case link.Done:
			out.Result, e.body = choice.Handled, a.Body
		case link.Full:
			out.Result = choice.Full
		case link.Missing:
			out.Result = choice.Missing
		case link.NotStarted: // drained or withdrawn before its start
			out.Result = choice.Unreached
		case link.Withdrawn:
			out.Result = choice.Withdrawn
		default:
			out.Result = choice.Failed
		}
	}
	if !g.core.Outcome(now, e.fact.ID, launch, out) {
		g.counts.LateAnswers++
	}
}

// load tells of a report what the settings say that reports carry.
func (g *Gate) load(r *link.Report) choice.Load {
	if r == nil || g.o.File.Fleet.Workers.Reports == "none" {
		return choice.Load{}
	}
	return choice.Load{Told: true, Waiting: float64(r.Waiting)}
}

// Handle answers the client.
func (g *Gate) Handle(fact *choice.Event, launch int) {
	e := g.events[fact.ID]
	g.counts.Handled++
	e.reply <- invoke.Answer{Ending: invoke.Handled, Launches: launch + 1, Body: e.body}
}

// Defer answers the client that another try is harmless.
func (g *Gate) Defer(fact *choice.Event, back time.Duration, _ bool) {
	g.counts.Deferred++
	e := g.events[fact.ID]
	e.reply <- invoke.Answer{Ending: invoke.Deferred, Launches: e.sent, Back: back,
		Reason: "not handled in time; trying again does no harm"}
}

// DeadLetter answers the client that no other try was possible.
func (g *Gate) DeadLetter(fact *choice.Event, launches int, mayRun bool) {
	g.counts.DeadLettered++
	g.events[fact.ID].reply <- invoke.Answer{Ending: invoke.DeadLettered, Launches: launches, MayRun: mayRun,
		Reason: "not handled; its type allows no other try"}
}

// Withdraw gives a launch up; its outcome is a fact of a moment to come.
func (g *Gate) Withdraw(fact *choice.Event, launch int, _ string) {
	if c := g.events[fact.ID].out[launch]; c != nil {
		c.Recall(g.cancel)
	}
}

// Ended forgets an event; launches whose outcome was not waited for are given up.
func (g *Gate) Ended(fact *choice.Event, _ int, _ core.Ending) {
	e := g.events[fact.ID]
	for _, c := range e.out {
		c.Recall(g.cancel)
	}
	delete(g.twins, e.twin())
	delete(g.events, fact.ID)
}

// Order sends a load order.
func (g *Gate) Order(o choice.Order) {
	g.counts.Orders++
	sent := time.Now()
	end := func(now time.Duration, out link.Outcome) {
		took := time.Since(sent)
		switch {
		case out.Fate == link.Unsent:
			g.core.Loaded(now, o, choice.Unreached, took)
		case out.Ordered == nil:
			g.core.Loaded(now, o, choice.Broken, took)
		default:
			o.Copies = out.Ordered.Copies
			result := choice.Failed
			switch out.Ordered.Code {
			case link.Done:
				result = choice.Handled
			case link.Full, link.NotStarted:
				result = choice.Full
			}
			g.core.Loaded(now, o, result, took)
		}
	}
	g.peersMu.Lock()
	p := g.peers[o.Worker]
	g.peersMu.Unlock()
	if p == nil {
		g.later = append(g.later, func(now time.Duration) { end(now, link.Outcome{Fate: link.Unsent}) })
		return
	}
	answered := false // the owner's
	p.Order(link.Order{Function: g.names[o.Function], Copies: o.Copies}, func(out link.Outcome) {
		g.box.put(func(now time.Duration) {
			if !answered {
				answered = true
				end(now, out)
			}
		})
	})
	limit := g.o.File.Fleet.Loading.OrderLimit.D()
	time.AfterFunc(limit, func() {
		g.box.put(func(now time.Duration) {
			if !answered {
				answered = true
				g.core.Loaded(now, o, choice.TimedOut, limit)
			}
		})
	})
}

// Probe asks a worker for a report.
func (g *Gate) Probe(worker string) {
	g.counts.Probes++
	g.peersMu.Lock()
	p := g.peers[worker]
	g.peersMu.Unlock()
	if p == nil {
		g.later = append(g.later, func(now time.Duration) {
			g.core.Probed(now, worker, choice.Unreached, choice.Load{}, 0)
		})
		return
	}
	answered, sent := false, time.Now()
	end := func(now time.Duration, r choice.Result, l choice.Load) {
		if !answered {
			answered = true
			g.core.Probed(now, worker, r, l, time.Since(sent))
		}
	}
	p.Probe(func(o link.Outcome) {
		g.box.put(func(now time.Duration) {
			switch {
			case o.Echo != nil:
				end(now, choice.Handled, g.load(o.Echo.Report))
			case o.Fate == link.Unsent:
				end(now, choice.Unreached, choice.Load{})
			default:
				end(now, choice.Broken, choice.Load{})
			}
		})
	})
	time.AfterFunc(g.o.File.Front.Link.Dial.D(), func() {
		g.box.put(func(now time.Duration) { end(now, choice.TimedOut, choice.Load{}) })
	})
}

// Ask subscribes to the list.
func (g *Gate) Ask() {
	select {
	case g.asked <- struct{}{}:
	default:
	}
}

// Wake sets the timer; the core asks only for one that comes before those it has asked for.
func (g *Gate) Wake(after time.Duration) {
	g.wakes = append(g.wakes, time.Now().Add(after))
	g.wake.Reset(after)
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
		err := roster.Watch(ctx, client, g.o.File.Front.List, g.o.Name, func(n roster.News) { g.news(n) })
		if ctx.Err() != nil {
			return nil
		}
		g.log.Warn("the list broke off", "err", err)
		g.box.put(func(now time.Duration) { g.core.ListFailed(now) })
	}
}

// news takes a message of the list. Links to drained and gone workers are stopped at once, before the owner gets to it:
// what waits in a write queue must not leave after the grace, even where the owner is stalled.
func (g *Gate) news(n roster.News) {
	var listings []choice.Listing
	named := map[string]bool{}
	g.peersMu.Lock()
	for _, e := range n.Entries {
		named[e.Name] = true
		l := choice.Listing{Worker: e.Name, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, Started: max(0, e.Started.Sub(g.base))}
		if g.o.File.Fleet.Workers.Sizes == "cores" {
			l.Size = e.Cores
		}
		switch e.State {
		case roster.Draining:
			l.Condition = choice.Draining
		case roster.Gone:
			l.Condition = choice.Gone
		}
		listings = append(listings, l)
		g.link(e)
	}
	if n.Whole {
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
	g.box.put(func(now time.Duration) { g.core.Listed(now, n.Whole, listings) })
}

// keep follows the list and gives the whole of it.
func (g *Gate) keep(n roster.News, named map[string]bool) roster.News {
	if n.Whole {
		maps.DeleteFunc(g.known, func(name string, _ roster.Entry) bool { return !named[name] })
	}
	for _, e := range n.Entries {
		g.known[e.Name] = e
	}
	whole := roster.News{Version: n.Version, Whole: true}
	for _, name := range slices.Sorted(maps.Keys(g.known)) {
		whole.Entries = append(whole.Entries, g.known[name])
	}
	return whole
}

// link follows one entry of the list with the link to that worker.
func (g *Gate) link(e roster.Entry) {
	p := g.peers[e.Name]
	if p != nil && p.entry.Addr != e.Addr { // it listens elsewhere now
		p.stop()
		p = nil
	}
	if p == nil && e.State != roster.In {
		return
	}
	if p == nil {
		l := g.o.File.Front.Link
		var dialer net.Dialer
		dial := g.o.Tap.Dialer(capture.Worker, e.Name, func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		})
		ctx, stop := context.WithCancel(g.hard)
		p = &peer{stop: stop, Peer: link.NewPeer(g.o.Name, e.Name, e.Addr, link.Limits{Dial: l.Dial.D(),
			Queue: l.Queue.D(), Stall: l.Stall.D(), Calls: l.Calls, Bytes: int(l.Bytes)}, dial)}
		p.Greeted = func(h *link.Hello) {
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
	if e.State == roster.In {
		p.Resume()
	} else {
		p.Stop(g.grace)
	}
}
