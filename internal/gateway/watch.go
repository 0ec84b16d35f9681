package gateway

import (
	"context"
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

// workerClient is the client of a worker, together with the function that stops its goroutine.
type workerClient struct {
	*workerrpc.Client
	entry registry.Entry
	stop  context.CancelFunc
}

// watchRegistry watches the registry each time the core subscribes, until ctx is done.
func (g *Gateway) watchRegistry(ctx context.Context) error {
	client, closeIdle := g.registryHTTPClient()
	defer closeIdle()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.subscribeRequests:
		}
		err := registry.Watch(ctx, client, g.options.Config.Gateway.RegistryURL, g.options.Name, g.applyWatchEvent)
		if ctx.Err() != nil {
			return nil
		}
		g.log.Warn("registry watch disconnected", "list_age", g.listAge(), "err", err)
		g.WatchFailed()
	}
}

// listAge returns the time since the registry last sent an event, or 0 if it has sent none since the start.
func (g *Gateway) listAge() time.Duration {
	g.workerClientsMu.Lock()
	defer g.workerClientsMu.Unlock()
	if g.lastEventAt.IsZero() {
		return 0
	}
	return time.Since(g.lastEventAt)
}

// registryHTTPClient creates the HTTP client for the registry. The tap captures its connections.
func (g *Gateway) registryHTTPClient() (client *http.Client, closeIdle func()) {
	dialer := &net.Dialer{Timeout: g.options.Config.Gateway.WorkerRPC.Dial.Std()}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialNetwork := func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		}
		return g.options.Tap.Dialer(capture.EndpointList, "list", dialNetwork)(ctx, addr)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dial}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// applyWatchEvent handles an event of the registry. It stops the clients of draining and removed workers immediately,
// before the event loop handles the event: calls queued in those clients must not be sent after the drain grace, even
// if the event loop is stalled.
func (g *Gateway) applyWatchEvent(event registry.WatchEvent) {
	members, endpoints := g.applyEntries(event)
	if g.options.OnEndpoints != nil {
		g.options.OnEndpoints(endpoints)
	}
	g.UpdateMembership(event.Complete, members, nil)
}

// applyEntries updates the worker clients and the known endpoints. It returns the event's entries converted for the
// core, and the complete endpoint list.
func (g *Gateway) applyEntries(event registry.WatchEvent) (members []scheduler.Member, endpoints registry.WatchEvent) {
	g.workerClientsMu.Lock()
	defer g.workerClientsMu.Unlock()
	maxAge := UnboundedAge
	if !g.lastEventAt.IsZero() {
		maxAge = time.Since(g.lastEventAt)
	}
	g.lastEventAt = time.Now()
	listed := map[string]bool{}
	for _, entry := range event.Entries {
		listed[entry.Name] = true
		members = append(members, g.member(entry, maxAge))
		g.updateClient(entry)
	}
	if event.Complete {
		g.startTimes.Retain(listed)
		for name, client := range g.workerClients {
			if !listed[name] {
				client.Stop(g.stopGrace)
			}
		}
	}
	return members, g.mergeEndpoints(event, listed)
}

// member converts a registry entry for the core. maxAge bounds the age of a worker that is new in the list.
func (g *Gateway) member(entry registry.Entry, maxAge time.Duration) scheduler.Member {
	member := scheduler.Member{
		Worker:  entry.Name,
		Zone:    entry.Zone,
		Cell:    entry.Cell,
		Kind:    entry.Kind,
		Started: g.startTimes.Started(entry.Name, entry.Started, maxAge),
	}
	if g.options.Config.Fleet.Workers.Sizes == "cores" {
		member.Weight = entry.Cores
	}
	switch entry.State {
	case registry.Draining:
		member.Condition = scheduler.Draining
	case registry.Removed:
		member.Condition = scheduler.Removed
	}
	return member
}

// mergeEndpoints merges an event into the known endpoints and returns the complete list, sorted by name.
func (g *Gateway) mergeEndpoints(event registry.WatchEvent, listed map[string]bool) registry.WatchEvent {
	if event.Complete {
		maps.DeleteFunc(g.endpoints, func(name string, _ registry.Entry) bool { return !listed[name] })
	}
	for _, entry := range event.Entries {
		g.endpoints[entry.Name] = entry
	}
	all := registry.WatchEvent{Version: event.Version, Complete: true}
	for _, name := range slices.Sorted(maps.Keys(g.endpoints)) {
		all.Entries = append(all.Entries, g.endpoints[name])
	}
	return all
}

// updateClient starts, stops or resumes the client of an entry's worker.
func (g *Gateway) updateClient(entry registry.Entry) {
	client := g.workerClients[entry.Name]
	if client != nil && client.entry.Addr != entry.Addr { // the worker's address has changed
		client.stop()
		client = nil
	}
	if client == nil && entry.State != registry.InService {
		return
	}
	if client == nil {
		client = g.startClient(entry)
		g.workerClients[entry.Name] = client
	}
	client.entry = entry
	if entry.State == registry.InService {
		client.Resume()
	} else {
		client.Stop(g.stopGrace)
	}
}

// startClient creates the client of a worker and starts its goroutine.
func (g *Gateway) startClient(entry registry.Entry) *workerClient {
	config := g.options.Config.Gateway.WorkerRPC
	limits := workerrpc.Limits{
		DialTimeout:    config.Dial.Std(),
		QueueTimeout:   config.Queue.Std(),
		WriteTimeout:   config.Stall.Std(),
		MaxQueuedCalls: config.Calls,
		MaxQueuedBytes: int(config.Bytes),
	}
	var dialer net.Dialer
	dial := g.options.Tap.Dialer(capture.Worker, entry.Name, func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	})
	ctx, stop := context.WithCancel(g.abortCtx)
	client := &workerClient{Client: workerrpc.NewClient(g.options.Name, entry.Name, entry.Addr, limits, dial), stop: stop}
	client.OnHandshake = g.logHandshake
	g.background.Go(func() error { return client.Run(ctx) })
	return client
}

// logHandshake logs what a worker's handshake reports about the worker's previous incarnation: its warm-up time and the
// loads that were interrupted by a crash.
func (g *Gateway) logHandshake(handshake *workerrpc.Handshake) {
	if handshake.WarmUpTime > 0 {
		g.log.Info("worker warmed up in its previous incarnation", "worker", handshake.Name,
			"warm_up_time", handshake.WarmUpTime)
	}
	for _, load := range handshake.InterruptedLoads {
		g.log.Warn("worker crashed during a load", "worker", handshake.Name, "function", load.Function,
			"version", load.Version, "requests", load.Requests)
	}
}
