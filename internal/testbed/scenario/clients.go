package scenario

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lupinpond/internal/gateway/invoke"
)

// clientPool send events over connections of their own: net/http's client would resend some requests by itself.
type clientPool struct {
	scenario Scenario
	addrs    []string
	slack    time.Duration

	mu              sync.Mutex
	idle            map[string][]*clientConn
	disconnectAfter map[string]time.Duration // by tenant: leaves so early and repeats at once
	stats           ClientStats
}

// clientConn is a kept connection.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// ClientStats is how events ended for their clients.
type ClientStats struct {
	Requests   int `json:"Events"`
	Served     int
	InTime     int
	Failed     int `json:"Dead"`
	Abandoned  int `json:"GaveUp"`
	Unanswered int
	Attempts   int             `json:"Tries"`
	Latencies  []time.Duration `json:"Took"` // of those served, from the first try
}

// attemptOutcome of a try.
type attemptOutcome int

const (
	outcomeServed attemptOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeNotAccepted    // not taken
	outcomeUnreachable    // no connection
	outcomeConnectionLost // the connection broke: it may have been taken
	outcomeUnanswered     // the time and the slack are over
	outcomeDisconnected   // the client did not wait
)

// send makes one try; repeat marks it as one of an event that a front end had before.
func (c *clientPool) send(ctx context.Context, addr string, a arrival, try int, repeat bool, patience, leave time.Duration,
) (attemptOutcome, time.Duration) {
	l, err := c.acquire(addr)
	if err != nil {
		return outcomeUnreachable, 0
	}
	deadline := time.Now().Add(patience + c.slack + time.Second)
	if leave > 0 {
		deadline = time.Now().Add(leave)
	}
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	body := a.name + " " + a.work.String()
	head := fmt.Sprintf("POST /v1/functions/%s/invocations HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n"+
		"ce-specversion: 1.0\r\nce-source: rehearsal\r\nce-id: %s.%d\r\nPrefer: wait=%.3f\r\n",
		a.function.Name, addr, len(body), a.name, try, patience.Seconds())
	if a.function.Tenant != "" {
		head += invoke.HeaderTenant + ": " + a.function.Tenant + "\r\n"
	}
	head += "Idempotency-Key: " + a.name + "\r\n"
	if repeat {
		head += invoke.HeaderRetry + ": 1\r\n"
	}
	_ = l.conn.SetDeadline(deadline)
	if _, err := l.conn.Write([]byte(head + "\r\n" + body)); err != nil {
		l.conn.Close()
		return outcomeConnectionLost, 0
	}
	resp, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		l.conn.Close()
		if slow, is := err.(net.Error); is && slow.Timeout() {
			if leave > 0 {
				return outcomeDisconnected, 0
			}
			return outcomeUnanswered, 0
		}
		return outcomeConnectionLost, 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		l.conn.Close()
		return outcomeConnectionLost, 0
	}
	back := time.Duration(0)
	if ms, err := strconv.Atoi(resp.Header.Get(invoke.HeaderRetryAfterMillis)); err == nil {
		back = time.Duration(ms) * time.Millisecond
	}
	if resp.Close {
		l.conn.Close()
	} else {
		c.release(addr, l)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return outcomeServed, 0
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(invoke.HeaderRequestID) != "":
		return outcomeRejected, back
	case resp.StatusCode == http.StatusBadGateway:
		return outcomeFailed, 0
	}
	return outcomeNotAccepted, back
}

func (c *clientPool) acquire(addr string) (l *clientConn, err error) {
	c.mu.Lock()
	if n := len(c.idle[addr]); n > 0 {
		l = c.idle[addr][n-1]
		c.idle[addr] = c.idle[addr][:n-1]
		c.mu.Unlock()
		// a connection that the front end closed meanwhile shows it at once
		_ = l.conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		_, err := l.reader.Peek(1)
		if slow, is := err.(net.Error); is && slow.Timeout() {
			return &clientConn{conn: l.conn, reader: bufio.NewReader(l.conn)}, nil
		}
		l.conn.Close()
		return c.acquire(addr)
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *clientPool) release(addr string, l *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= 64 {
		l.conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], l)
}

func (c *clientPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lines := range c.idle {
		for _, l := range lines {
			l.conn.Close()
		}
	}
	c.idle = map[string][]*clientConn{}
}

// runRequest plays one event from its first try to its end.
func (c *clientPool) runRequest(ctx context.Context, a arrival, target, maxAge time.Duration, effect, group string) {
	began := time.Now()
	front := a.gateway
	end, tries, reached := outcomeUnreachable, 0, false
	for tries < c.scenario.Clients.MaxAttempts && ctx.Err() == nil {
		remains := maxAge - time.Since(began)
		if remains < 50*time.Millisecond {
			break
		}
		c.mu.Lock()
		leave := c.disconnectAfter[a.function.Tenant]
		c.mu.Unlock()
		if effect != "redeliverable" {
			leave = 0 // repeats at once would be the client's own doubles
		}
		var back time.Duration
		end, back = c.send(ctx, c.addrs[front], a, tries, reached, min(a.maxWait, remains), leave)
		tries++
		reached = reached || end != outcomeUnreachable && end != outcomeNotAccepted
		again := false
		switch end {
		case outcomeRejected, outcomeNotAccepted, outcomeUnreachable:
			again = true
		case outcomeFailed, outcomeConnectionLost:
			again = effect == "redeliverable" || effect == "keyed" && group == "all"
		case outcomeUnanswered, outcomeDisconnected:
			again = effect == "redeliverable"
		}
		if !again {
			break
		}
		if end == outcomeUnreachable || end == outcomeConnectionLost || end == outcomeNotAccepted {
			front = (front + 1) % len(c.addrs)
		}
		if end != outcomeDisconnected { // one that did not wait repeats at once
			select {
			case <-ctx.Done():
			case <-time.After(max(back, c.scenario.Clients.RetryDelay.Std())):
			}
		}
	}
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.stats
	r.Requests++
	r.Attempts += tries
	switch end {
	case outcomeServed:
		r.Served++
		r.Latencies = append(r.Latencies, took)
		if took <= target {
			r.InTime++
		}
	case outcomeFailed:
		r.Failed++
	case outcomeUnanswered:
		r.Unanswered++
	default:
		r.Abandoned++
	}
}
