package scenario

import (
	"context"
	"sync"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

const (
	// minAttemptTime is the time that has to be left for another attempt.
	minAttemptTime = 50 * time.Millisecond
	// deadlineMargin is how long a client waits beyond its time and the gateway's slack before it counts as unanswered.
	deadlineMargin = time.Second
)

// clientPool sends requests over connections of its own: net/http's client would resend some requests by itself.
type clientPool struct {
	behavior ClientBehavior
	addrs    []string      // of the gateways
	slack    time.Duration // that a gateway has beyond a client's time

	mu              sync.Mutex
	idle            map[string][]*clientConn // by gateway address
	disconnectAfter map[string]time.Duration // by tenant: its clients disconnect so early, and retry at once
	stats           ClientStats
}

func newClientPool(scenario Scenario, addrs []string, slack time.Duration) *clientPool {
	return &clientPool{
		behavior:        scenario.Clients,
		addrs:           addrs,
		slack:           slack,
		idle:            map[string][]*clientConn{},
		disconnectAfter: map[string]time.Duration{},
	}
}

// setDisconnectAfter has the clients of a tenant disconnect early; 0: no more.
func (p *clientPool) setDisconnectAfter(tenant string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after > 0 {
		p.disconnectAfter[tenant] = after
	} else {
		delete(p.disconnectAfter, tenant)
	}
}

// runRequest plays one request from its first attempt to its end.
func (p *clientPool) runRequest(ctx context.Context, request arrival, requestType fleetconfig.RequestType) {
	start := time.Now()
	target := request.gateway
	outcome, attempts, reached := outcomeUnreachable, 0, false
	for attempts < p.behavior.MaxAttempts && ctx.Err() == nil {
		remains := requestType.MaxAge.Std() - time.Since(start)
		if remains < minAttemptTime {
			break
		}
		next := clientAttempt{
			arrival:         request,
			number:          attempts,
			retry:           reached,
			maxWait:         min(request.maxWait, remains),
			disconnectAfter: p.earlyDisconnect(request, requestType),
		}
		var retryAfter time.Duration
		outcome, retryAfter = p.send(ctx, p.addrs[target], next)
		attempts++
		reached = reached || outcome != outcomeUnreachable && outcome != outcomeNotAccepted
		if !outcome.retryable(requestType) {
			break
		}
		if outcome == outcomeUnreachable || outcome == outcomeConnectionLost || outcome == outcomeNotAccepted {
			target = (target + 1) % len(p.addrs)
		}
		if outcome == outcomeDisconnected {
			continue // one that did not wait retries at once
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(retryAfter, p.behavior.RetryDelay.Std())):
		}
	}
	latency := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.add(outcome, attempts, latency, requestType.Objective.Std())
}

// earlyDisconnect is when a request's client disconnects; 0: it waits. A client that disconnects retries at once, which
// for a request that may not run twice would be the client's own duplicate.
func (p *clientPool) earlyDisconnect(request arrival, requestType fleetconfig.RequestType) time.Duration {
	if requestType.Effect != "redeliverable" {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disconnectAfter[request.function.Tenant]
}
