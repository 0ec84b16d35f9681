package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/turns"
	"lupinpond/scheduler"
)

// newServer creates the HTTP server of the invoke API. ctx is the base context of its requests.
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

// handler returns the HTTP handler of the invoke API.
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

// setWriteDeadline sets the deadline for writing the response, which disconnects a client that does not read it. An
// error is ignored: a response is short enough to be written without blocking.
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

// serveInvocation handles one invocation, from reading the HTTP request to writing the response.
func (g *Gateway) serveInvocation(w http.ResponseWriter, r *http.Request) {
	call, problem := g.catalogue.ReadRequest(w, r)
	if problem != nil {
		g.rejectInvalid(w, problem)
		return
	}
	// The request has been read completely. The read deadline must not end the connection while the request runs; the
	// only event still expected from the client is its disconnect.
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
		// Returning would send an empty 200 response, which a client that is still reading would mistake for a success.
		panic(http.ErrAbortHandler)
	}
}

// newRequest creates the Request of a call, with a unique ID.
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

// duplicateKey returns the key by which duplicates of a call in flight are detected. It is empty if the client did not
// send an ID, if the call has no request type, or if duplicates are harmless because the type is redeliverable.
func duplicateKey(call invoke.Call) string {
	if call.ClientID == "" || call.Type.Name == "" || call.Type.Effect == "redeliverable" {
		return ""
	}
	return call.Tenant + "\n" + call.Source + "\n" + call.ClientID
}

// newListener returns the listener for clients: it limits the number of connections and makes them wait for turns.
func (g *Gateway) newListener() net.Listener {
	gate := turns.NewGate(float64(runtime.GOMAXPROCS(0)))
	gate.ObserveBacklog(func() time.Duration { return g.MailboxState().Age })
	return &limitedListener{Listener: g.options.Tap.Listener(turns.Listen(g.options.Listener, gate)),
		open: &g.openConnections, limit: int64(g.options.Config.Gateway.Limits.Connections)}
}

// limitedListener limits the number of open connections: it closes a connection over the limit right after accepting
// it.
type limitedListener struct {
	net.Listener
	open  *atomic.Int64
	limit int64
}

// Accept waits for the next connection within the limit and returns it.
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

// countedConn is a connection that is counted in open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and decrements the counter of open connections once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
