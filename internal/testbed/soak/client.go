package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// functions is the upper limit of the number of functions that clients call, see dispatchFrame.
	functions = 12
	// minClientWait is the shortest time limit of a request.
	minClientWait = 200 * time.Millisecond
	// maxClientConns is the number of connections up to which the clients of a gateway may open new ones while an open one
	// still has capacity.
	maxClientConns = 4
	// dialTimeout is the timeout of a dial.
	dialTimeout = time.Second
	// idleTimeout is the time after which a client closes an idle connection.
	idleTimeout = 4 * time.Second
	// cancelProbability is the probability that the client cancels a request.
	cancelProbability = 0.05
	// disconnectProbability is the probability that the client closes the connection while a request is open.
	disconnectProbability = 0.01
	// maxDisconnectDelay is the maximum delay between a request and its cancel or the close of its connection.
	maxDisconnectDelay = 300 * time.Millisecond
	// openPollInterval is the interval of the checks whether requests are still open at the end of a run.
	openPollInterval = 20 * time.Millisecond
)

// clients are the well-behaved clients of one gateway.
type clients struct {
	gateway        *gatewayProcess
	checker        *checker
	readers        sync.WaitGroup // read the responses on the connections
	rateMultiplier *rateMultiplier

	mu     sync.Mutex
	random *rand.Rand
	conns  []*clientConn
}

// run sends requests at a rate (per second) until ctx ends, and waits for the open ones.
func (c *clients) run(ctx context.Context, rate float64) {
	for next := time.Now(); ctx.Err() == nil; {
		next = next.Add(c.randomInterval(rate * c.rateMultiplier.factor()))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			c.sendNext()
		}
	}
	end := time.Now().Add(c.gateway.options.maxWait() + 2*responseSlack)
	for c.openRequests() > 0 && time.Now().Before(end) {
		time.Sleep(openPollInterval)
	}
	c.closeConns()
	c.readers.Wait()
}

// sendNext sends a new request on a connection that the gateway's send mode allows, if any.
func (c *clients) sendNext() {
	switch c.gateway.currentSendMode() {
	case sendOnAnyConn:
		c.send(c.newRequest())
	case sendOnOpenConns:
		c.mu.Lock()
		conn := c.pruneLocked()
		c.mu.Unlock()
		if conn != nil {
			conn.send(c.newRequest())
		}
	}
}

func (c *clients) randomInterval(rate float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
}

// newRequest generates a random request.
func (c *clients) newRequest() *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &request{
		id:      fmt.Sprintf("%016x", c.random.Uint64()),
		gateway: c.gateway,
		class:   classCall,
		wait:    minClientWait + time.Duration(c.random.Int64N(int64(c.gateway.options.maxWait()-minClientWait))),
		body:    fmt.Sprintf("body %x", c.random.Uint64()),
	}
	switch c.random.IntN(10) {
	case 0, 1:
		r.class = classAtMostOnce
	case 2:
		r.class, r.idempotencyKey = classKeyed, fmt.Sprintf("m%x", c.random.Uint64())
	}
	r.wait = r.wait.Truncate(time.Millisecond)
	return r
}

// send sends a request on a connection that has capacity, or on a new one. Some requests are cancelled, or their
// connection closed, before the response.
func (c *clients) send(r *request) {
	conn := c.pickConn()
	if conn == nil {
		return // the gateway doesn't listen
	}
	conn.send(r)
	c.mu.Lock()
	chance, delay := c.random.Float64(), time.Duration(c.random.Int64N(int64(maxDisconnectDelay)))
	c.mu.Unlock()
	switch {
	case chance < cancelProbability:
		time.AfterFunc(delay, func() { conn.cancel(r) })
	case chance < cancelProbability+disconnectProbability:
		time.AfterFunc(delay, conn.disconnect)
	}
}

// resend sends a request again on a new connection after the request and the close of its connection crossed. While a
// gateway is being stopped, the platform routes new connections to other gateways: the request then no longer belongs
// to this gateway and is recorded as disconnected.
func (c *clients) resend(r *request) {
	if c.gateway.currentSendMode() != sendOnAnyConn {
		c.checker.clientDisconnected(r, time.Now())
		return
	}
	c.mu.Lock()
	c.pruneLocked()
	conn := c.dialLocked()
	c.mu.Unlock()
	if conn != nil {
		conn.resend(r)
	}
}

// pickConn returns a connection with capacity, or a new one; nil: the gateway doesn't listen.
func (c *clients) pickConn() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.pruneLocked()
	if found != nil && (len(c.conns) >= maxClientConns || c.random.IntN(4) > 0) {
		return found
	}
	return c.dialLocked()
}

// pruneLocked drops connections that have ended or been idle for too long, and returns a random one with capacity from
// the others; nil: there is none. c.mu must be held.
func (c *clients) pruneLocked() (found *clientConn) {
	remaining := c.conns[:0]
	for _, conn := range c.conns {
		ended, idle, hasCapacity := conn.state()
		switch {
		case ended:
			continue
		case idle:
			conn.Close()
			continue
		case hasCapacity && (found == nil || c.random.IntN(2) == 0):
			found = conn
		}
		remaining = append(remaining, conn)
	}
	c.conns = remaining
	return found
}

func (c *clients) dialLocked() *clientConn {
	netConn, err := net.DialTimeout("tcp", c.gateway.clientProxy.Addr(), dialTimeout)
	if err != nil {
		return nil
	}
	conn := &clientConn{
		Conn:     netConn,
		clients:  c,
		open:     map[int32]*request{},
		resent:   map[string]bool{},
		lastUsed: time.Now(),
	}
	c.conns = append(c.conns, conn)
	c.readers.Go(conn.read)
	return conn
}

// openRequests returns the number of open requests.
func (c *clients) openRequests() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.mu.Lock()
		count += len(conn.open)
		conn.mu.Unlock()
	}
	return count
}

func (c *clients) closeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
