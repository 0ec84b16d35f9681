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
	// IOTimeout is the maximum time for establishing a connection, for a write, and for receiving the rest of a response
	// whose beginning has been received.
	IOTimeout time.Duration

	// IdleTimeout is how long a connection stays open without a call.
	IdleTimeout time.Duration

	// MaxCallsPerConn is the maximum number of concurrent calls on a connection.
	MaxCallsPerConn int

	// SoftMaxConns is a soft limit on the number of connections to all workers. Once it is reached, only workers without
	// a connection get new ones.
	SoftMaxConns int

	// MaxConns is the maximum number of connections to all workers. Once it is reached, calls to workers without a
	// connection are not sent.
	MaxConns int

	// MaxElementBytes is the maximum size of an element of a response.
	MaxElementBytes int
}

// Pool holds the connections to all workers.
type Pool struct {
	limits    Limits
	openConns atomic.Int64
	ctx       context.Context
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	running   sync.WaitGroup // goroutines of connections
	unmatched atomic.Int64   // number of responses that matched no call

	mu    sync.Mutex // locked after a worker's mu, never before
	conns map[*conn]bool
}

// NewPool returns a Pool whose connections are closed when ctx ends.
func NewPool(ctx context.Context, limits Limits) *Pool {
	dialer := &net.Dialer{Timeout: limits.IOTimeout}
	return &Pool{limits: limits, ctx: ctx, dial: dialer.DialContext, conns: map[*conn]bool{}}
}

// Worker returns a client of the worker at an address. The client connects when it has a call to send.
func (p *Pool) Worker(addr string) *Worker { return &Worker{pool: p, addr: addr} }

// Wait waits until all connections have ended.
func (p *Pool) Wait() { p.running.Wait() }

// OpenConns returns the number of connections, including those being established.
func (p *Pool) OpenConns() int64 { return p.openConns.Load() }

// UnmatchedResponses returns the number of responses that matched no call.
func (p *Pool) UnmatchedResponses() int64 { return p.unmatched.Load() }

// closeLongestIdle closes the connection that has been idle longest, to make its descriptor available to a worker that
// has no connection.
func (p *Pool) closeLongestIdle() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	var longestIdle *conn
	var since time.Time
	for _, c := range conns {
		c.worker.mu.Lock()
		if c.isIdle() && (longestIdle == nil || c.lastUsed.Before(since)) {
			longestIdle, since = c, c.lastUsed
		}
		c.worker.mu.Unlock()
	}
	if longestIdle == nil {
		return
	}
	longestIdle.worker.mu.Lock()
	if longestIdle.isIdle() { // check again: a call may have been added since
		longestIdle.closing = true
		longestIdle.wake()
	}
	longestIdle.worker.mu.Unlock()
}

// reserve counts a new connection and returns true, unless the number of connections has reached the limit.
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
