package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// fault is one kind of fault. Its injection returns once it is over.
type fault struct {
	name   string
	weight int
	inject func(r *run, ctx context.Context, random *rand.Rand)
}

// faultKinds are all kinds.
func faultKinds() []fault {
	return []fault{
		{"stop", 3, atGateway((*run).stopGateway)},
		{"kill", 2, atGateway((*run).crashGateway)},
		{"pause", 4, atGateway((*run).pauseGateway)},
		{"stutter", 2, atGateway((*run).stutterGateway)},
		{"move the discovery service", 3, atGateway((*run).moveDiscovery)},
		{"stop under reloads", 2, atGateway((*run).stopUnderReloads)},
		{"discovery service", 4, atGateway((*run).discoveryFault)},
		{"replace a worker", 4, (*run).replaceWorker},
		{"replace many workers", 1, (*run).replaceMany},
		{"drain under a pause", 2, atGateway((*run).drainUnderPause)},
		{"worker misbehaves", 5, (*run).misbehavingWorker},
		{"worker connections", 3, (*run).workerConnections},
		{"late connections", 3, (*run).lateConnections},
		{"client network", 3, atGateway((*run).clientNetwork)},
		{"idle clients", 2, atGateway((*run).idleClients)},
		{"bad clients", 3, atGateway((*run).badClients)},
		{"slow readers", 2, atGateway((*run).slowReaders)},
	}
}

// gatewayFault injects a fault at a gateway.
type gatewayFault func(r *run, ctx context.Context, gateway *gatewayProcess, random *rand.Rand)

// atGateway injects a fault at a gateway that no other fault holds, if there is one.
func atGateway(inject gatewayFault) func(*run, context.Context, *rand.Rand) {
	return func(r *run, ctx context.Context, random *rand.Rand) {
		if gateway := r.claimGateway(random); gateway != nil {
			defer gateway.release()
			inject(r, ctx, gateway, random)
		}
	}
}

// claimGateway draws a gateway that no other fault holds, and claims it; nil: there is none.
func (r *run) claimGateway(random *rand.Rand) *gatewayProcess {
	for range len(r.gateways) {
		if gateway := r.gateways[random.IntN(len(r.gateways))]; gateway.isAccepting() && gateway.claim() {
			r.logf("  at %s", gateway.name)
			return gateway
		}
	}
	return nil
}

// drawDuration draws a duration.
func drawDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
