package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"lupinpond/internal/testbed/flood"
)

const (
	// maxFastConnections is the maximum number of connections of a flood at full speed.
	maxFastConnections = 8
	// maxSlowConnections is the maximum number of connections of the other floods.
	maxSlowConnections = 80
	// maxFlood is the maximum length of a flood.
	maxFlood = 4 * time.Second
)

// floodedShare counts the requests of well-behaved clients at a gateway while it is flooded.
type floodedShare struct {
	Floods int
	ServedShare
}

// floodGateway floods a gateway with messages of a random kind.
func (r *run) floodGateway(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	fast := flood.FastKinds()
	slow := []flood.Kind{flood.SlowWriters, flood.HalfRequests, flood.ManyFields, flood.ClosedWithData,
		flood.MixedConnection}
	kind, connections := slow[random.IntN(len(slow))], 1+random.IntN(maxSlowConnections)
	if random.IntN(3) > 0 {
		kind, connections = fast[random.IntN(len(fast))], 1+random.IntN(maxFastConnections)
	}
	options := flood.Options{
		Addr:        gateway.listen,
		Kind:        kind,
		Connections: connections,
		Seed:        random.Uint64(),
		Class:       []string{classCall, classAtMostOnce}[random.IntN(2)],
		Wait:        maxWait,
	}
	if random.IntN(2) == 0 {
		options.Function = functionOf(fmt.Sprintf("%016x", random.Uint64()))
	}
	length := randomDuration(random, maxFlood/8, maxFlood)
	r.logf("  %s, %d connections, %v", kind, connections, length)
	began := time.Now()
	running := flood.Start(options)
	sleep(ctx, length/2)
	if random.IntN(2) == 0 {
		r.signalInFlood(ctx, gateway, random)
	}
	sleep(ctx, length/2)
	running.Stop()
	r.checker.floodEnded(gateway, string(kind), began, time.Now())
}

// signalInFlood restarts, kills or reconfigures a gateway that is flooded.
func (r *run) signalInFlood(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	faults := []gatewayFault{(*run).stopGateway, (*run).stopUnderReloads, (*run).crashGateway, (*run).moveDiscovery,
		(*run).pauseGateway}
	faults[random.IntN(len(faults))](r, ctx, gateway, random)
}

// flooded is a flood of a gateway.
type flooded struct {
	gateway  *gatewayProcess
	kind     string
	from, to time.Time
}

// floodEnded records a flood.
func (c *checker) floodEnded(gateway *gatewayProcess, kind string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floods = append(c.floods, flooded{gateway, kind, from, to})
}

// addFloods adds the shares of requests served during floods, by their kind, to the report.
func (c *checker) addFloods(report *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Floods = map[string]floodedShare{}
	for _, f := range c.floods {
		share := report.Floods[f.kind]
		share.Floods++
		for _, r := range c.requests {
			if r.gateway != f.gateway || r.sentAt.Before(f.from) || !r.sentAt.Before(f.to) || !r.disconnectedAt.IsZero() {
				continue
			}
			share.Requests++
			if r.served {
				share.Served++
			}
		}
		report.Floods[f.kind] = share
	}
}
