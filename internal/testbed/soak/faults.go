package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// fault is a kind of fault. inject returns once the fault has ended.
type fault struct {
	name   string
	weight int
	inject func(r *run, ctx context.Context, random *rand.Rand)
}

// faultKinds returns all kinds of faults.
func faultKinds() []fault {
	return []fault{
		{"stop", 3, atGateway((*run).stopGateway)},
		{"kill", 2, atGateway((*run).crashGateway)},
		{"pause", 4, atGateway((*run).pauseGateway)},
		{"stutter", 2, atGateway((*run).stutterGateway)},
		{"move the discovery service", 3, atGateway((*run).moveDiscovery)},
		{"stop under reloads", 2, atGateway((*run).stopUnderReloads)},
		{"discovery service", 4, atGateway((*run).disturbDiscovery)},
		{"replace a worker", 4, (*run).replaceWorker},
		{"replace many workers", 1, (*run).replaceMany},
		{"drain under a pause", 2, atGateway((*run).drainUnderPause)},
		{"take over an address", 3, (*run).takeOverAddress},
		{"worker misbehaves", 5, (*run).makeWorkerMisbehave},
		{"worker connections", 3, (*run).resetWorkerConnections},
		{"late connections", 3, (*run).delayWorkerConnections},
		{"client network", 3, atGateway((*run).disturbClientNetwork)},
		{"idle clients", 2, atGateway((*run).openIdleConnections)},
		{"bad clients", 3, atGateway((*run).runBadClients)},
		{"flood", 4, atGateway((*run).floodGateway)},
		{"slow readers", 2, atGateway((*run).slowClientReads)},
	}
}

// gatewayFault injects a fault at the given gateway.
type gatewayFault func(r *run, ctx context.Context, gateway *gatewayProcess, random *rand.Rand)

// atGateway returns a function that injects a fault at a random gateway that no other fault has claimed, if there is
// one.
func atGateway(inject gatewayFault) func(*run, context.Context, *rand.Rand) {
	return func(r *run, ctx context.Context, random *rand.Rand) {
		if gateway := r.claimGateway(random); gateway != nil {
			defer gateway.release()
			inject(r, ctx, gateway, random)
		}
	}
}

// claimGateway selects a random gateway that accepts requests and that no other fault has claimed, and claims it; nil:
// none was found.
func (r *run) claimGateway(random *rand.Rand) *gatewayProcess {
	for range len(r.gateways) {
		if gateway := r.gateways[random.IntN(len(r.gateways))]; gateway.isAccepting() && gateway.claim() {
			r.logf("  at %s", gateway.name)
			return gateway
		}
	}
	return nil
}

// randomDuration returns a random duration in [least, most).
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
