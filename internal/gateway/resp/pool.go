package resp

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the connections to workers.
type Limits struct {
	// IOTimeout is the longest time for a connection, for a write, and for the rest of a response that has begun.
	IOTimeout time.Duration

	// IdleTimeout is how long a connection stays open without a call.
	IdleTimeout time.Duration

	// MaxCallsPerConn is the number of calls at a time on a connection.
	MaxCallsPerConn int

	// SoftMaxConns is the number of connections to all workers together past which a worker that has one gets no other.
	SoftMaxConns int

	// MaxConns is the number of connections past which calls to a worker without one are not sent.
	MaxConns int

	// MaxElementBytes is the longest element of a response.
	MaxElementBytes int
}

// Pool holds the connections to all workers.
type Pool struct {
	limits    Limits
	openConns atomic.Int64
	ctx       context.Context
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	running   sync.WaitGroup // goroutines of connections
	unmatched atomic.Int64   // responses that no call waited for

	mu    sync.Mutex // taken after a worker's mu, never before
	conns map[*conn]bool
}

// NewPool makes a Pool whose connections end with ctx.
func NewPool(ctx context.Context, limits Limits) *Pool {
	dialer := &net.Dialer{Timeout: limits.IOTimeout}
	return &Pool{limits: limits, ctx: ctx, dial: dialer.DialContext, conns: map[*conn]bool{}}
}

// Worker makes the client of the worker at an address. It connects when that is needed.
func (p *Pool) Worker(addr string) *Worker { return &Worker{pool: p, addr: addr} }

// Wait returns when every connection has ended.
func (p *Pool) Wait() { p.running.Wait() }

// OpenConns is the number of connections, with those that are being established.
func (p *Pool) OpenConns() int64 { return p.openConns.Load() }

// UnmatchedResponses is the number of responses that no call waited for.
func (p *Pool) UnmatchedResponses() int64 { return p.unmatched.Load() }

// closeIdlest closes the connection that has been without a call longest: a worker that has none needs its descriptor.
func (p *Pool) closeIdlest() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	var idlest *conn
	var since time.Time
	for _, c := range conns {
		c.worker.mu.Lock()
		if c.isIdle() && (idlest == nil || c.lastUsed.Before(since)) {
			idlest, since = c, c.lastUsed
		}
		c.worker.mu.Unlock()
	}
	if idlest == nil {
		return
	}
	idlest.worker.mu.Lock()
	if idlest.isIdle() { // still
		idlest.closing = true
		idlest.wake()
	}
	idlest.worker.mu.Unlock()
}

// reserve counts a new connection, unless there are as many as the limit already.
func (p *Pool) reserve(limit int) bool {
	if p.openConns.Add(1) > int64(limit) {
		p.openConns.Add(-1)
		return false
	}
	return true
}

func (p *Pool) add(c *conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
}

func (p *Pool) remove(c *conn) {
	p.openConns.Add(-1)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}
