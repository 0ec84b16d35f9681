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

// clients send events over connections of their own: net/http's client would resend some requests by itself.
type clients struct {
	day   Day
	addrs []string
	slack time.Duration

	mu      sync.Mutex
	idle    map[string][]*line
	giveUp  map[string]time.Duration // by tenant: leaves so early and repeats at once
	results Clientele
}

// line is a kept connection.
type line struct {
	conn net.Conn
	read *bufio.Reader
}

// Clientele is how events ended for their clients.
type Clientele struct {
	Events, Served, InTime, Dead, GaveUp, Unanswered, Tries int
	Took                                                    []time.Duration // of those served, from the first try
}

// ending of a try.
type ending int

const (
	served ending = iota
	deferred
	dead
	refused     // not taken
	unreachable // no connection
	broken      // the connection broke: it may have been taken
	unanswered  // the time and the slack are over
	left        // the client did not wait
)

// send makes one try; repeat marks it as one of an event that a front end had before.
func (c *clients) send(ctx context.Context, addr string, a arrival, try int, repeat bool, patience, leave time.Duration,
) (ending, time.Duration) {
	l, err := c.line(addr)
	if err != nil {
		return unreachable, 0
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
		return broken, 0
	}
	resp, err := http.ReadResponse(l.read, nil)
	if err != nil {
		l.conn.Close()
		if slow, is := err.(net.Error); is && slow.Timeout() {
			if leave > 0 {
				return left, 0
			}
			return unanswered, 0
		}
		return broken, 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		l.conn.Close()
		return broken, 0
	}
	back := time.Duration(0)
	if ms, err := strconv.Atoi(resp.Header.Get(invoke.HeaderRetryAfterMillis)); err == nil {
		back = time.Duration(ms) * time.Millisecond
	}
	if resp.Close {
		l.conn.Close()
	} else {
		c.keep(addr, l)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return served, 0
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(invoke.HeaderRequestID) != "":
		return deferred, back
	case resp.StatusCode == http.StatusBadGateway:
		return dead, 0
	}
	return refused, back
}

func (c *clients) line(addr string) (l *line, err error) {
	c.mu.Lock()
	if n := len(c.idle[addr]); n > 0 {
		l = c.idle[addr][n-1]
		c.idle[addr] = c.idle[addr][:n-1]
		c.mu.Unlock()
		// a connection that the front end closed meanwhile shows it at once
		_ = l.conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		_, err := l.read.Peek(1)
		if slow, is := err.(net.Error); is && slow.Timeout() {
			return &line{conn: l.conn, read: bufio.NewReader(l.conn)}, nil
		}
		l.conn.Close()
		return c.line(addr)
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &line{conn: conn, read: bufio.NewReader(conn)}, nil
}

func (c *clients) keep(addr string, l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= 64 {
		l.conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], l)
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lines := range c.idle {
		for _, l := range lines {
			l.conn.Close()
		}
	}
	c.idle = map[string][]*line{}
}

// event plays one event from its first try to its end.
func (c *clients) event(ctx context.Context, a arrival, target, maxAge time.Duration, effect, group string) {
	began := time.Now()
	front := a.front
	end, tries, reached := unreachable, 0, false
	for tries < c.day.Clients.Tries && ctx.Err() == nil {
		remains := maxAge - time.Since(began)
		if remains < 50*time.Millisecond {
			break
		}
		c.mu.Lock()
		leave := c.giveUp[a.function.Tenant]
		c.mu.Unlock()
		if effect != "redeliverable" {
			leave = 0 // repeats at once would be the client's own doubles
		}
		var back time.Duration
		end, back = c.send(ctx, c.addrs[front], a, tries, reached, min(a.patience, remains), leave)
		tries++
		reached = reached || end != unreachable && end != refused
		again := false
		switch end {
		case deferred, refused, unreachable:
			again = true
		case dead, broken:
			again = effect == "redeliverable" || effect == "keyed" && group == "all"
		case unanswered, left:
			again = effect == "redeliverable"
		}
		if !again {
			break
		}
		if end == unreachable || end == broken || end == refused {
			front = (front + 1) % len(c.addrs)
		}
		if end != left { // one that did not wait repeats at once
			select {
			case <-ctx.Done():
			case <-time.After(max(back, c.day.Clients.Pause.Std())):
			}
		}
	}
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.results
	r.Events++
	r.Tries += tries
	switch end {
	case served:
		r.Served++
		r.Took = append(r.Took, took)
		if took <= target {
			r.InTime++
		}
	case dead:
		r.Dead++
	case unanswered:
		r.Unanswered++
	default:
		r.GaveUp++
	}
}
