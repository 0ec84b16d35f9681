package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"lupinpond/internal/gateway/thrift"
)

const (
	functions             = 12
	maxClientConns        = 4 // of a front end's usual clients
	dialTimeout           = time.Second
	maxResponseBytes      = 64 << 10
	idleTimeout           = 4 * time.Second // an idle connection is closed by its client then
	cancelProbability     = 0.05
	disconnectProbability = 0.01
	maxDisconnectDelay    = 300 * time.Millisecond
)

// clients are the usual clients of one front end.
type clients struct {
	gateway *gatewayProcess
	checker *checker
	random  *rand.Rand
	done    sync.WaitGroup

	mu    sync.Mutex
	conns []*clientConn
}

// clientConn is one connection with what is open on it.
type clientConn struct {
	net.Conn
	clients *clients

	mu     sync.Mutex
	seq    int32
	open   map[int32]*request
	ended  bool
	resent map[string]bool // requests that were sent before, on a connection that has ended
	used   time.Time
}

// run sends requests at a rate until ctx ends, and waits for what is open.
func (c *clients) run(ctx context.Context, rate float64) {
	for next := time.Now(); ctx.Err() == nil; {
		c.mu.Lock()
		next = next.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			if c.gateway.isAccepting() {
				c.send(c.newRequest(), false)
			}
		}
	}
	end := time.Now().Add(maxWait + 2*responseSlack)
	for c.openRequests() > 0 && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
	c.mu.Lock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.done.Wait()
}

// newRequest draws a request.
func (c *clients) newRequest() *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &request{id: fmt.Sprintf("%016x", c.random.Uint64()), gateway: c.gateway, class: classCall,
		wait: 200*time.Millisecond + time.Duration(c.random.Int64N(int64(maxWait-200*time.Millisecond))), body: fmt.Sprintf("body %x", c.random.Uint64())}
	switch c.random.IntN(10) {
	case 0, 1:
		r.class = classAtMostOnce
	case 2:
		r.class, r.idempotencyKey = classKeyed, fmt.Sprintf("m%x", c.random.Uint64())
	}
	r.wait = r.wait.Truncate(time.Millisecond)
	return r
}

// send sends a request on a connection that has room, or on a new one.
func (c *clients) send(r *request, again bool) {
	conn := c.pick(again)
	if conn == nil {
		return // nobody listens
	}
	conn.send(r, again)
	if again {
		return
	}
	c.mu.Lock()
	chance, after := c.random.Float64(), time.Duration(c.random.Int64N(int64(maxDisconnectDelay)))
	c.mu.Unlock()
	switch {
	case chance < cancelProbability:
		time.AfterFunc(after, func() { conn.cancel(r) })
	case chance < cancelProbability+disconnectProbability:
		time.AfterFunc(after, conn.disconnect)
	}
}

// pick finds a connection with room, or makes one; fresh asks for a new one.
func (c *clients) pick(fresh bool) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.conns[:0]
	var found *clientConn
	for _, conn := range c.conns {
		conn.mu.Lock()
		idle := len(conn.open) == 0 && time.Since(conn.used) > idleTimeout
		ended, room := conn.ended, len(conn.open) < maxOpenRequests
		conn.mu.Unlock()
		switch {
		case ended:
			continue
		case idle:
			conn.Close()
			continue
		case room && (found == nil || c.random.IntN(2) == 0):
			found = conn
		}
		kept = append(kept, conn)
	}
	c.conns = kept
	if found != nil && !fresh && (len(c.conns) >= maxClientConns || c.random.IntN(4) > 0) {
		return found
	}
	nc, err := net.DialTimeout("tcp", c.gateway.clientProxy.Addr(), dialTimeout)
	if err != nil {
		return nil
	}
	conn := &clientConn{Conn: nc, clients: c, open: map[int32]*request{}, resent: map[string]bool{}, used: time.Now()}
	c.conns = append(c.conns, conn)
	c.done.Go(conn.read)
	return conn
}

// openRequests is the number of open requests.
func (c *clients) openRequests() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.mu.Lock()
		n += len(conn.open)
		conn.mu.Unlock()
	}
	return n
}

// send writes a request; one that can't be written whole was not taken.
func (c *clientConn) send(r *request, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	w := thrift.NewWriter("dispatch", thrift.Call, c.seq)
	key := fmt.Sprintf("%016x", uint64(len(r.id))*1000+uint64(r.id[0])%functions)
	fields := []string{"class", r.class, "id", r.id, "wait", strconv.FormatInt(r.wait.Milliseconds(), 10), "key", key,
		"facts", "memory_mb:64;lanes:4;load_ms:" + strconv.FormatInt(loadTime.Milliseconds(), 10)}
	if r.idempotencyKey != "" {
		fields = append(fields, "once", r.idempotencyKey)
	}
	w.StringMap(1, fields...)
	w.Binary(2, []byte(r.body))
	c.open[c.seq], c.used = r, time.Now()
	if again {
		c.resent[r.id] = true
	} else {
		c.clients.checker.requestSent(r)
	}
	if _, err := c.Write(w.Frame()); err != nil {
		delete(c.open, c.seq)
		c.clients.checker.clientDisconnected(r, time.Now()) // its last byte was not written
	}
}

// cancel takes a request back.
func (c *clientConn) cancel(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, x := range c.open {
		if x != r {
			continue
		}
		w := thrift.NewWriter("cancelRequest", thrift.Oneway, seq)
		w.I32(1, seq)
		if _, err := c.Write(w.Frame()); err == nil {
			c.clients.checker.clientDisconnected(r, time.Now())
			delete(c.open, seq)
		}
		return
	}
}

// disconnect closes the connection under what is open.
func (c *clientConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.Close()
	for _, r := range c.open {
		c.clients.checker.clientDisconnected(r, time.Now())
	}
	clear(c.open)
}

// read takes answers until the connection ends.
func (c *clientConn) read() {
	for {
		m, err := thrift.ReadMessage(c, maxResponseBytes)
		at := time.Now()
		if err != nil {
			c.handleDisconnect(at)
			return
		}
		c.mu.Lock()
		r := c.open[m.SeqID]
		delete(c.open, m.SeqID)
		c.used = at
		resent := r != nil && c.resent[r.id]
		c.mu.Unlock()
		if r == nil {
			continue // it crossed a cancel
		}
		ending, body := parseOutcome(m)
		if resent && ending == exception {
			c.clients.checker.Violated(ResentRequestRejected, c.clients.gateway.name, r.id, "it was read before its connection was closed")
		}
		c.clients.checker.responseReceived(r, ending, body, at)
	}
}

// handleDisconnect ends the connection: what crossed the close is sent again, once.
func (c *clientConn) handleDisconnect(at time.Time) {
	c.Close()
	c.mu.Lock()
	c.ended = true
	open := make([]*request, 0, len(c.open))
	resent := map[string]bool{}
	for _, r := range c.open {
		open = append(open, r)
		resent[r.id] = c.resent[r.id]
	}
	clear(c.open)
	c.mu.Unlock()
	for _, r := range open {
		if !c.clients.checker.connectionLost(r, at, resent[r.id]) {
			c.clients.done.Go(func() { c.clients.send(r, true) })
		}
	}
}

// parseOutcome reads how a request ended, and the body of an answer.
func parseOutcome(m thrift.Message) (ending, body string) {
	field, args, err := m.Result()
	switch {
	case err != nil:
		return exception, ""
	case field == 1:
		return rejected, ""
	case field == 2:
		return failed, ""
	}
	return served, string(args.Binaries[1])
}

func healthCheckFrame() []byte {
	w := thrift.NewWriter("alive", thrift.Call, 1)
	w.Bool(1, false)
	return w.Frame()
}
