package scenario

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invoke"
)

const (
	clientDialTimeout = time.Second
	// maxIdleConns is the maximum number of idle connections that are kept open to each gateway.
	maxIdleConns = 64
	// idleProbeTime is the read timeout of the check whether the gateway has closed an idle connection.
	idleProbeTime = 50 * time.Microsecond
)

// clientConn is a client's connection to a gateway.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// clientAttempt is one attempt of a client's request.
type clientAttempt struct {
	arrival
	number          int
	retry           bool // an earlier attempt may have been accepted by a gateway
	maxWait         time.Duration
	disconnectAfter time.Duration // time after which the client disconnects; 0 means that it waits for the response
}

// attemptOutcome is the outcome of a client's attempt.
type attemptOutcome int

const (
	outcomeServed attemptOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeNotAccepted
	outcomeUnreachable    // the connection to the gateway failed
	outcomeConnectionLost // the connection ended without a response; the gateway may have accepted the request
	outcomeUnanswered     // no response within the client's wait, the gateway's slack and deadlineMargin
	outcomeDisconnected   // the client disconnected before a response
)

// retryable reports whether a client retries after the outcome. It doesn't if the retry could make a request run twice
// that must run only once.
func (o attemptOutcome) retryable(requestType fleetconfig.RequestType) bool {
	redeliverable := requestType.Effect == "redeliverable"
	switch o {
	case outcomeRejected, outcomeNotAccepted, outcomeUnreachable:
		return true
	case outcomeFailed, outcomeConnectionLost:
		return redeliverable || requestType.Effect == "keyed" && requestType.DedupScope == "all"
	case outcomeUnanswered, outcomeDisconnected:
		return redeliverable
	}
	return false
}

// send sends one attempt to a gateway and returns its outcome and the response's Retry-After.
func (p *clientPool) send(ctx context.Context, addr string, attempt clientAttempt) (attemptOutcome, time.Duration) {
	conn, err := p.acquire(addr)
	if err != nil {
		return outcomeUnreachable, 0
	}
	deadline := time.Now().Add(attempt.maxWait + p.slack + deadlineMargin)
	if attempt.disconnectAfter > 0 {
		deadline = time.Now().Add(attempt.disconnectAfter)
	}
	stop := context.AfterFunc(ctx, func() { conn.conn.Close() })
	defer stop()
	_ = conn.conn.SetDeadline(deadline) // fails only on a closed connection, and then so does the write below
	if _, err := conn.conn.Write(attempt.message(addr)); err != nil {
		conn.conn.Close()
		return outcomeConnectionLost, 0
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.conn.Close()
		switch {
		case !isTimeout(err):
			return outcomeConnectionLost, 0
		case attempt.disconnectAfter > 0:
			return outcomeDisconnected, 0
		}
		return outcomeUnanswered, 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		conn.conn.Close()
		return outcomeConnectionLost, 0
	}
	if response.Close {
		conn.conn.Close()
	} else {
		p.release(addr, conn)
	}
	return responseOutcome(response)
}

// message returns the HTTP request of the attempt.
func (a clientAttempt) message(addr string) []byte {
	body := a.name + " " + a.work.String()
	message := fmt.Appendf(nil, "POST /v1/functions/%s/invocations HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n"+
		"ce-specversion: 1.0\r\nce-source: rehearsal\r\nce-id: %s.%d\r\nPrefer: wait=%.3f\r\n",
		a.function.Name, addr, len(body), a.name, a.number, a.maxWait.Seconds())
	if a.function.Tenant != "" {
		message = fmt.Appendf(message, "%s: %s\r\n", invoke.HeaderTenant, a.function.Tenant)
	}
	message = fmt.Appendf(message, "Idempotency-Key: %s\r\n", a.name)
	if a.retry {
		message = fmt.Appendf(message, "%s: 1\r\n", invoke.HeaderRetry)
	}
	return fmt.Appendf(message, "\r\n%s", body)
}

// responseOutcome returns the outcome that a response means and its Retry-After.
func responseOutcome(response *http.Response) (outcome attemptOutcome, retryAfter time.Duration) {
	if millis, err := strconv.Atoi(response.Header.Get(invoke.HeaderRetryAfterMillis)); err == nil {
		retryAfter = time.Duration(millis) * time.Millisecond
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return outcomeServed, 0
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(invoke.HeaderRequestID) != "":
		return outcomeRejected, retryAfter
	case response.StatusCode == http.StatusBadGateway:
		return outcomeFailed, 0
	}
	return outcomeNotAccepted, retryAfter
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// acquire returns an idle connection to a gateway, or a new one if there is none.
func (p *clientPool) acquire(addr string) (*clientConn, error) {
	for conn := p.takeIdle(addr); conn != nil; conn = p.takeIdle(addr) {
		// a short read detects a connection that the gateway has closed: it returns EOF instead of a timeout
		_ = conn.conn.SetReadDeadline(time.Now().Add(idleProbeTime))
		if _, err := conn.reader.Peek(1); err != nil && isTimeout(err) {
			return &clientConn{conn: conn.conn, reader: bufio.NewReader(conn.conn)}, nil
		}
		conn.conn.Close()
	}
	conn, err := net.DialTimeout("tcp", addr, clientDialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// takeIdle removes and returns the most recently used idle connection to a gateway, or nil if there is none.
func (p *clientPool) takeIdle(addr string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	p.idle[addr] = conns[:len(conns)-1]
	return conns[len(conns)-1]
}

// release returns a connection to the pool, or closes it if the pool is full.
func (p *clientPool) release(addr string, conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdleConns {
		conn.conn.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], conn)
}

// close closes all idle connections.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, conn := range conns {
			conn.conn.Close()
		}
	}
	clear(p.idle)
}
