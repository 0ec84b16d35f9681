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

// rpcTransport is the way out over the worker protocol, with the worker list from the registry.
type rpcTransport struct{ *Gateway }

// clientOf finds a worker's link; nil: none.
func (l rpcTransport) clientOf(worker string) *workerClient {
	l.workerClientsMu.Lock()
	defer l.workerClientsMu.Unlock()
	return l.workerClients[worker]
}

// cancellableCall gives a call up as the settings allow.
type cancellableCall struct {
	*workerrpc.Call
	notifyWorker bool
}

// Cancel gives the launch up.
func (r cancellableCall) Cancel() { r.Call.Cancel(r.notifyWorker) }

// Send sends a launch to a worker.
func (l rpcTransport) Send(e *Request, launch int, worker string, departure *SendPermit, done func(scheduler.Outcome, []byte)) Canceller {
	left, leaves := departure.TimeLeft() // the link tells what is left of it when it writes
	if !leaves {
		done(scheduler.Outcome{Result: scheduler.Withheld}, nil)
		return nil
	}
	p := l.clientOf(worker)
	if p == nil {
		done(scheduler.Outcome{Result: scheduler.Unreachable}, nil)
		return nil
	}
	c := e.Call
	window := time.Duration(0)
	if c.IdempotencyKey != "" {
		window = c.Type.DedupWindow.Std()
	}
	stillLeaves := func() bool {
		_, leaves := departure.TimeLeft()
		return leaves
	}
	return cancellableCall{p.SendIf(workerrpc.Attempt{RequestID: e.Scheduled.ID, Number: launch, Function: c.Function.Name, Type: c.Type.Name,
		Tenant: c.Tenant, IdempotencyKey: c.IdempotencyKey, IdempotencyWindow: window, ClientRequestID: c.Source + "\n" + c.ClientID, Body: e.Body}, left, stillLeaves,
		func(o workerrpc.Outcome) { done(l.outcome(o)) }), l.cancelAttempts}
}

// outcome is how a launch ended, and its answer.
func (l rpcTransport) outcome(o workerrpc.Outcome) (out scheduler.Outcome, body []byte) {
	switch o.Status {
	case workerrpc.StatusUnsent:
		out.Result = scheduler.Unreachable
		if errors.Is(o.Err, workerrpc.ErrWithheld) {
			out.Result = scheduler.Withheld
		}
	case workerrpc.StatusConnectionLost:
		out.Result = scheduler.ConnectionLost
	case workerrpc.StatusCancelled:
		out.Result = scheduler.Cancelled
	case workerrpc.StatusAnswered:
		a := o.AttemptResult
		out.ReplicaState, out.Report = scheduler.ReplicaState(a.ReplicaState), l.schedulerLoad(a.Report)
		switch a.Code {
		case workerrpc.CodeOK:
			out.Result, body = scheduler.Completed, a.Body
		case workerrpc.CodeOverloaded:
			out.Result = scheduler.Full
		case workerrpc.CodeNotFound:
			out.Result = scheduler.NotFound
		case workerrpc.CodeNotStarted: // drained or withdrawn before its start
			out.Result = scheduler.Unreachable
		case workerrpc.CodeCancelled:
			out.Result = scheduler.Cancelled
		default:
			out.Result = scheduler.Failed
		}
	}
	return out, body
}

// schedulerLoad tells of a report what the settings say that reports carry.
func (g *Gateway) schedulerLoad(r *workerrpc.LoadReport) scheduler.LoadReport {
	if r == nil || g.options.Config.Fleet.Workers.Reports == "none" {
		return scheduler.LoadReport{}
	}
	return scheduler.LoadReport{Reported: true, QueueDepth: float64(r.QueueDepth)}
}

// Load sends a load order.
func (l rpcTransport) Load(o scheduler.LoadRequest, done func(copies int, r scheduler.Result)) Canceller {
	p := l.clientOf(o.Worker)
	if p == nil {
		done(o.Replicas, scheduler.Unreachable)
		return nil
	}
	p.Load(workerrpc.LoadRequest{Function: l.functionNames[o.Function], Replicas: o.Replicas}, func(out workerrpc.Outcome) {
		switch {
		case out.Status == workerrpc.StatusUnsent:
			done(o.Replicas, scheduler.Unreachable)
		case out.LoadResult == nil:
			done(o.Replicas, scheduler.ConnectionLost)
		default:
			result := scheduler.Failed
			switch out.LoadResult.Code {
			case workerrpc.CodeOK:
				result = scheduler.Completed
			case workerrpc.CodeOverloaded, workerrpc.CodeNotStarted:
				result = scheduler.Full
			}
			done(out.LoadResult.Replicas, result)
		}
	})
	return nil
}

// Probe asks a worker for a report.
func (l rpcTransport) Probe(worker string, done func(r scheduler.Result, load scheduler.LoadReport)) Canceller {
	p := l.clientOf(worker)
	if p == nil {
		done(scheduler.Unreachable, scheduler.LoadReport{})
		return nil
	}
	p.Probe(func(o workerrpc.Outcome) {
		switch {
		case o.ProbeReply != nil:
			done(scheduler.Completed, l.schedulerLoad(o.ProbeReply.Report))
		case o.Status == workerrpc.StatusUnsent:
			done(scheduler.Unreachable, scheduler.LoadReport{})
		default:
			done(scheduler.ConnectionLost, scheduler.LoadReport{})
		}
	})
	return nil
}

// Subscribe subscribes to the list.
func (l rpcTransport) Subscribe() {
	select {
	case l.subscribeRequests <- struct{}{}:
	default:
	}
}

// watchRegistry subscribes whenever the core asks, and tells what comes.
func (g *Gateway) watchRegistry(ctx context.Context) error {
	dial := &net.Dialer{Timeout: g.options.Config.Gateway.WorkerRPC.Dial.Std()}
	transport := &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return g.options.Tap.Dialer(capture.EndpointList, "list", func(ctx context.Context, addr string) (net.Conn, error) {
				return dial.DialContext(ctx, network, addr)
			})(ctx, addr)
		}}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.subscribeRequests:
		}
		err := registry.Watch(ctx, client, g.options.Config.Gateway.RegistryURL, g.options.Name, func(n registry.WatchEvent) { g.applyWatchEvent(n) })
		if ctx.Err() != nil {
			return nil
		}
		g.log.Warn("the list broke off", "err", err)
		g.WatchFailed()
	}
}

// applyWatchEvent takes a message of the list. Links to drained and gone workers are stopped at once, before the owner gets to it:
// what waits in a write queue must not leave after the grace, even where the owner is stalled.
func (g *Gateway) applyWatchEvent(n registry.WatchEvent) {
	var listings []scheduler.Member
	named := map[string]bool{}
	g.workerClientsMu.Lock()
	within := UnboundedAge
	if !g.lastEventAt.IsZero() {
		within = time.Since(g.lastEventAt)
	}
	g.lastEventAt = time.Now()
	for _, e := range n.Entries {
		named[e.Name] = true
		l := scheduler.Member{Worker: e.Name, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, Started: g.startTimes.Started(e.Name, e.Started, within)}
		if g.options.Config.Fleet.Workers.Sizes == "cores" {
			l.Weight = e.Cores
		}
		switch e.State {
		case registry.Draining:
			l.Condition = scheduler.Draining
		case registry.Removed:
			l.Condition = scheduler.Removed
		}
		listings = append(listings, l)
		g.updateClient(e)
	}
	if n.Complete {
		g.startTimes.Retain(named)
		for name, p := range g.workerClients {
			if !named[name] {
				p.Stop(g.stopGrace)
			}
		}
	}
	whole := g.mergeEndpoints(n, named)
	g.workerClientsMu.Unlock()
	if g.options.OnEndpoints != nil {
		g.options.OnEndpoints(whole)
	}
	g.UpdateMembership(n.Complete, listings, nil)
}

// mergeEndpoints follows the list and gives the whole of it.
func (g *Gateway) mergeEndpoints(n registry.WatchEvent, named map[string]bool) registry.WatchEvent {
	if n.Complete {
		maps.DeleteFunc(g.endpoints, func(name string, _ registry.Entry) bool { return !named[name] })
	}
	for _, e := range n.Entries {
		g.endpoints[e.Name] = e
	}
	whole := registry.WatchEvent{Version: n.Version, Complete: true}
	for _, name := range slices.Sorted(maps.Keys(g.endpoints)) {
		whole.Entries = append(whole.Entries, g.endpoints[name])
	}
	return whole
}

// updateClient follows one entry of the list with the link to that worker.
func (g *Gateway) updateClient(e registry.Entry) {
	p := g.workerClients[e.Name]
	if p != nil && p.entry.Addr != e.Addr { // it listens elsewhere now
		p.stop()
		p = nil
	}
	if p == nil && e.State != registry.InService {
		return
	}
	if p == nil {
		l := g.options.Config.Gateway.WorkerRPC
		var dialer net.Dialer
		dial := g.options.Tap.Dialer(capture.Worker, e.Name, func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		})
		ctx, stop := context.WithCancel(g.killCtx)
		p = &workerClient{stop: stop, Client: workerrpc.NewClient(g.options.Name, e.Name, e.Addr, workerrpc.Limits{DialTimeout: l.Dial.Std(),
			QueueTimeout: l.Queue.Std(), WriteTimeout: l.Stall.Std(), MaxQueuedCalls: l.Calls, MaxQueuedBytes: int(l.Bytes)}, dial)}
		p.OnHandshake = func(h *workerrpc.Handshake) {
			if h.WarmUpTime > 0 {
				g.log.Info("a worker warmed up in its last life", "worker", h.Name, "warm-up", h.WarmUpTime)
			}
			for _, cut := range h.InterruptedLoads {
				g.log.Warn("a worker died during a load", "worker", h.Name, "function", cut.Function, "version", cut.Version,
					"events", cut.Requests)
			}
		}
		g.background.Go(func() error { return p.Run(ctx) })
		g.workerClients[e.Name] = p
	}
	p.entry = e
	if e.State == registry.InService {
		p.Resume()
	} else {
		p.Stop(g.stopGrace)
	}
}
