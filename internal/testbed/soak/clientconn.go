package soak

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// maxResponseBytes is the maximum size of a response.
const maxResponseBytes = 64 << 10

// clientConn is a client connection with its open requests.
type clientConn struct {
	net.Conn
	clients *clients

	mu       sync.Mutex
	seq      int32
	open     map[int32]*request
	ended    bool
	resent   map[string]bool // IDs of the requests that were sent before on a connection that has ended
	lastUsed time.Time
}

// state reports whether the connection has ended, has been idle for too long, and has capacity for another request.
func (c *clientConn) state() (ended, idle, hasCapacity bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle = len(c.open) == 0 && time.Since(c.lastUsed) > idleTimeout
	return c.ended, idle, len(c.open) < maxOpenRequests
}

// send sends a request for the first time.
func (c *clientConn) send(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clients.checker.requestSent(r)
	c.writeLocked(r)
}

// resend sends a request that was sent before, on a connection that has ended.
func (c *clientConn) resend(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resent[r.id] = true
	c.writeLocked(r)
}

// writeLocked writes a request; one that can't be written completely was not accepted. c.mu must be held.
func (c *clientConn) writeLocked(r *request) {
	c.seq++
	c.open[c.seq], c.lastUsed = r, time.Now()
	if _, err := c.Write(dispatchFrame(c.seq, r)); err != nil {
		delete(c.open, c.seq)
		c.clients.checker.clientDisconnected(r, time.Now()) // the gateway can't have received the whole request
	}
}

// dispatchFrame encodes the call that sends a request. The first hexadecimal digit of the request's ID determines its
// function; the 16 digits yield 10 functions.
func dispatchFrame(seq int32, r *request) []byte {
	w := thrift.NewWriter("dispatch", thrift.Call, seq)
	function := functionOf(r.id)
	fields := []string{
		"class", r.class,
		"id", r.id,
		"wait", strconv.FormatInt(r.wait.Milliseconds(), 10),
		"key", function,
		"facts", "memory_mb:64;lanes:4;load_ms:" + strconv.FormatInt(loadTime.Milliseconds(), 10),
	}
	if r.idempotencyKey != "" {
		fields = append(fields, "once", r.idempotencyKey)
	}
	w.StringMap(1, fields...)
	w.Binary(2, []byte(r.body))
	return w.Frame()
}

// functionOf returns the function that a request with an ID calls.
func functionOf(id string) string {
	return fmt.Sprintf("%016x", uint64(len(id))*1000+uint64(id[0])%functions)
}

// healthCheckFrame encodes the call that asks whether a gateway is ready.
func healthCheckFrame() []byte {
	w := thrift.NewWriter("alive", thrift.Call, 1)
	w.Bool(1, false)
	return w.Frame()
}

// cancel cancels a request.
func (c *clientConn) cancel(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, open := range c.open {
		if open != r {
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

// disconnect closes the connection while requests are open on it.
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

// read reads responses until the connection ends.
func (c *clientConn) read() {
	for {
		message, err := thrift.ReadMessage(c, maxResponseBytes)
		at := time.Now()
		if err != nil {
			c.handleDisconnect(at)
			return
		}
		r, resent := c.takeOpen(message.SeqID, at)
		if r == nil {
			continue // the response and the client's cancel crossed on the network
		}
		outcome, body := parseOutcome(message)
		if resent && outcome == exception {
			c.clients.checker.recordViolation(ResentRequestRejected, c.clients.gateway.name, r.id,
				"the gateway had read it before the connection was closed")
		}
		c.clients.checker.responseReceived(r, outcome, body, at)
	}
}

// takeOpen removes a request from the open ones and reports whether it was sent a second time.
func (c *clientConn) takeOpen(seq int32, at time.Time) (r *request, resent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = at
	r = c.open[seq]
	delete(c.open, seq)
	return r, r != nil && c.resent[r.id]
}

// handleDisconnect closes the connection. Open requests that crossed its close on the network are sent again, once.
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
			c.clients.readers.Go(func() { c.clients.resend(r) })
		}
	}
}

// parseOutcome returns the outcome of a request and the body of a served response.
func parseOutcome(message thrift.Message) (outcome outcome, body string) {
	field, args, err := message.Result()
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
