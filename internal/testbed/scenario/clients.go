package scenario

import (
	"context"
	"sync"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

const (
	// minAttemptTime is the minimum time left until the request's max age for which a client makes another attempt.
	minAttemptTime = 50 * time.Millisecond
	// deadlineMargin is the additional time after the client's wait and the gateway's slack until an attempt without a
	// response counts as unanswered.
	deadlineMargin = time.Second
)

// clientPool sends the clients' requests. It manages its connections itself, because http.Client resends some requests
// on its own.
type clientPool struct {
	behavior ClientBehavior
	addrs    []string      // gateway addresses, by gateway index
	slack    time.Duration // time after the client's deadline that a gateway may take to respond

	mu              sync.Mutex
	idle            map[string][]*clientConn // idle connections by gateway address
	disconnectAfter map[string]time.Duration // by tenant: time after which its clients disconnect and retry at once
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

// setDisconnectAfter makes the clients of a tenant disconnect that long after each attempt; 0 makes them wait again.
func (p *clientPool) setDisconnectAfter(tenant string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after > 0 {
		p.disconnectAfter[tenant] = after
	} else {
		delete(p.disconnectAfter, tenant)
	}
}

// runRequest sends one request, with its retries, and counts its outcome.
func (p *clientPool) runRequest(ctx context.Context, request arrival, requestType fleetconfig.RequestType) {
	start := time.Now()
	target := request.gateway
	outcome, attempts, reached := outcomeUnreachable, 0, false
	for attempts < p.behavior.MaxAttempts && ctx.Err() == nil {
		remaining := requestType.MaxAge.Std() - time.Since(start)
		if remaining < minAttemptTime {
			break
		}
		next := clientAttempt{
			arrival:         request,
			number:          attempts,
			retry:           reached,
			maxWait:         min(request.maxWait, remaining),
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
			continue // a client that disconnects retries without a delay
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

// earlyDisconnect returns the time after which the client of a request disconnects, or 0 if it waits for the response.
// Only clients of redeliverable requests disconnect: they retry at once, and for other request types the client itself
// would cause a second execution.
func (p *clientPool) earlyDisconnect(request arrival, requestType fleetconfig.RequestType) time.Duration {
	if requestType.Effect != "redeliverable" {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disconnectAfter[request.function.Tenant]
}
