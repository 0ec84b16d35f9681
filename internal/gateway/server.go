package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/invoke"
	"lupinpond/scheduler"
)

// newServer creates the HTTP server of the invoke API; its requests end with ctx.
func (g *Gateway) newServer(ctx context.Context) *http.Server {
	limits := g.options.Config.Gateway.Limits
	server := &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: limits.Read.Std(),
		ReadTimeout:       limits.Read.Std(),
		IdleTimeout:       limits.Idle.Std(),
		MaxHeaderBytes:    int(limits.Header),
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

// handler serves the invoke API.
func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/functions/{name}/invocations", g.serveInvocation)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.rejectInvalid(w, &invoke.Problem{
			Type:   invoke.ProblemInvalidRequest,
			Title:  http.StatusText(http.StatusNotFound),
			Status: http.StatusNotFound,
			Detail: r.Method + " " + r.URL.Path,
		})
	})
	return mux
}

// setWriteDeadline cuts off a client that does not read its response. Where it can't be set, the response is short.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	deadline := time.Now().Add(g.options.Config.Gateway.Limits.Write.Std())
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}

// rejectInvalid answers an invalid request.
func (g *Gateway) rejectInvalid(w http.ResponseWriter, problem *invoke.Problem) {
	g.invalidRequests.Add(1)
	g.setWriteDeadline(w)
	problem.Write(w)
}

// serveInvocation runs one request, from its HTTP request to its response.
func (g *Gateway) serveInvocation(w http.ResponseWriter, r *http.Request) {
	call, problem := g.catalogue.ReadRequest(w, r)
	if problem != nil {
		g.rejectInvalid(w, problem)
		return
	}
	// The request is read; all that follows on the connection is the client's disconnect.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if g.inFlight.Add(1) > int64(g.options.Config.Gateway.Limits.InFlight) || g.draining.Load() {
		g.inFlight.Add(-1)
		g.notAccepted.Add(1)
		g.setWriteDeadline(w)
		invoke.WriteResponse(w, invoke.Response{Outcome: invoke.NotAccepted, Reason: "this front end takes no event now"})
		return
	}
	defer g.inFlight.Add(-1)
	responses := make(chan invoke.Response, 1)
	request := g.newRequest(call, func(response invoke.Response) { responses <- response })
	g.Submit(request)
	select {
	case response := <-responses:
		response.RequestID = request.Scheduled.ID
		g.setWriteDeadline(w)
		invoke.WriteResponse(w, response)
	case <-r.Context().Done():
		g.ClientDisconnected(request)
		// Returning would send an empty 200, which a client that still reads would take for a success.
		panic(http.ErrAbortHandler)
	}
}

// newRequest creates the request of a call, with an id of its own.
func (g *Gateway) newRequest(call invoke.Call, reply func(invoke.Response)) *Request {
	return &Request{
		Call:         call,
		DuplicateKey: duplicateKey(call),
		Body:         call.Body,
		Reply:        reply,
		Scheduled: &scheduler.Request{
			ID:          fmt.Sprintf("%s-%d", g.options.Name, g.lastRequestNumber.Add(1)),
			Type:        call.Type.Name,
			Tenant:      call.Tenant,
			Function:    call.Function.ID(),
			TimeLeft:    call.TimeLeft,
			Concurrency: call.Function.Concurrency,
			Memory:      float64(call.Function.Memory),
			LoadTime:    call.Function.LoadTime.Std(),
			Retry:       call.Retry,
		},
	}
}

// duplicateKey is what must not be in flight twice; empty where a duplicate does no harm.
func duplicateKey(call invoke.Call) string {
	if call.ClientID == "" || call.Type.Name == "" || call.Type.Effect == "redeliverable" {
		return ""
	}
	return call.Tenant + "\n" + call.Source + "\n" + call.ClientID
}

// limitedListener closes connections over a limit as soon as it accepts them.
type limitedListener struct {
	net.Listener
	open  *atomic.Int64
	limit int64
}

// Accept waits for a connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			conn.Close()
			continue
		}
		return &countedConn{Conn: conn, open: l.open}, nil
	}
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
