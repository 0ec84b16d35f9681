package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/worker/faultinject"
)

// The outcomes completed, rejected and failed have different responses; a failure states whether the request may have
// run.
func TestOutcomes(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "1", 2*time.Second, 200, " released")
	r.wantResponse("release-ravi", "0", 2*time.Second, 200, " released")
	r.injectFaults(func(x *faultinject.Faults) { x.FailRequests = true })
	r.wantResponse("gross-salary", "2", 2*time.Second, 502, `"may-have-run":true`)
	r.injectFaults(func(x *faultinject.Faults) { x.FailRequests, x.RejectTenant = false, "indus-textiles" })
	resp := r.wantResponse("gross-salary", "3", time.Second, 503, invoke.ProblemRejected)
	if resp.Header.Get("Retry-After") == "" || resp.Header.Get(invoke.HeaderRetryAfterMillis) == "" {
		t.Error("rejected without Retry-After headers")
	}
	r.injectFaults(func(x *faultinject.Faults) { x.RejectTenant, x.Hang = "", true })
	r.wantResponse("release-ravi", "4", 300*time.Millisecond, 502, `"may-have-run":true`)
	r.wantResponse("preview", "5", 300*time.Millisecond, 503, invoke.ProblemRejected)
	if n := r.executions("salary-release"); n != 3 { // the request that failed by an injected fault did not execute
		t.Errorf("%d executions at the workers, want 3", n)
	}
}

// Two requests with the same client ID, of a type that must not run twice: the second must not be accepted while the
// first is in flight.
func TestDuplicateRequestID(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "0", 2*time.Second, 200, " released") // loads the function
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = true })
	var both sync.WaitGroup
	both.Go(func() { r.wantResponse("gross-salary", "one", time.Second, 502, "dead-lettered") })
	r.waitFor("the first request executes", func() bool { return r.executions("salary-release") == 2 })
	r.wantResponse("gross-salary", "one", time.Second, 409, invoke.ProblemNotAccepted)
	both.Wait()
	if n := r.executions("salary-release"); n != 2 {
		t.Errorf("%d executions, want 2", n)
	}
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = false })
	r.wantResponse("gross-salary", "one", 4*time.Second, 200, " released") // no longer in flight
}

// A client disconnects while its at-most-once request runs: the core must be notified, and the request must run only
// once.
func TestClientDisconnectsWhileRunning(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "0", 2*time.Second, 200, " released") // loads the function
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = true })
	ctx, disconnect := context.WithCancel(context.Background())
	posted := make(chan error, 1)
	go func() {
		_, _, err := r.post(ctx, "gross-salary", "left", 500*time.Millisecond)
		posted <- err
	}()
	r.waitFor("the request executes", func() bool { return r.executions("salary-release") == 2 })
	disconnect()
	if err := <-posted; err == nil {
		t.Error("the disconnected client received a response")
	}
	r.waitFor("the disconnect is counted", func() bool {
		return r.gateway.Counts(context.Background()).ClientsDisconnected == 1
	})
	r.drain()
	<-r.done
	c := r.gateway.FinalCounts()
	if c.Accepted != 2 || c.Completed+c.Rejected+c.Failed != 1 || r.executions("salary-release") != 2 {
		t.Errorf("counts %+v, %d executions", c, r.executions("salary-release"))
	}
}

// While the endpoint list is empty, requests must be rejected with a Retry-After; they must be served again once
// workers are listed.
func TestEndpointListBecomesEmpty(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released")
	r.registry.RemoveAll()
	r.waitFor("rejected", func() bool {
		resp, _, err := r.post(context.Background(), "preview", "x", 200*time.Millisecond)
		return err == nil && resp.StatusCode == 503 && resp.Header.Get("Retry-After") != ""
	})
	for _, entry := range r.entries {
		r.registry.Set(entry)
	}
	r.waitFor("completed", func() bool {
		resp, _, err := r.post(context.Background(), "preview", "x", time.Second)
		return err == nil && resp.StatusCode == 200
	})
}

// After a pause a gateway must read the messages that arrived during the pause before it handles timeouts: here the
// result of an attempt whose deadline passed during the pause.
func TestPausedGateway(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "1", 2*time.Second, 200, " released") // loads the function
	r.waitFor("counted", func() bool { return r.gateway.Counts(context.Background()).Completed == 1 })
	var all sync.WaitGroup
	r.injectFaults(func(x *faultinject.Faults) { x.SlowFactor = 20 })
	before := r.executions("salary-release")
	all.Go(func() { r.wantResponse("gross-salary", "2", 900*time.Millisecond, 200, " released") })
	r.waitFor("the request executes", func() bool { return r.executions("salary-release") > before })
	r.gateway.Pause(1500 * time.Millisecond) // ends after the client's deadline; the result arrives during the pause
	all.Wait()
}

// A request that is read after a pause, when its deadline has already passed, must be rejected without an attempt.
func TestRequestArrivesDuringPause(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released") // loads the function
	before := r.executions("pay-preview")
	r.gateway.Pause(2 * time.Second)
	r.wantResponse("preview", "2", 500*time.Millisecond, 503, invoke.ProblemRejected)
	if n := r.executions("pay-preview") - before; n != 0 {
		t.Errorf("%d executions after the client's deadline", n)
	}
}

// A draining gateway must answer the requests in flight, accept no new ones, and stop.
func TestDrain(t *testing.T) {
	r := startHarness(t, nil)
	r.injectFaults(func(x *faultinject.Faults) { x.SlowFactor = 100 })
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() { r.wantResponse("tax-slab", fmt.Sprint(i), 4*time.Second, 200, " released") })
	}
	r.waitFor("all requests are in flight", func() bool { return r.gateway.Counts(context.Background()).Accepted == 8 })
	r.drain()
	r.waitFor("the listener is closed", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	all.Wait()
	<-r.done
	if c := r.gateway.FinalCounts(); c.Completed != 8 {
		t.Errorf("%+v", c)
	}
}

// After a gateway was aborted, a hundred clients retry at its next incarnation: all of them must be served.
func TestRetryStormAfterAbort(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released")
	r.abort()
	<-r.done
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	g, err := gateway.New(gateway.Options{Name: "next", Config: r.config, Listener: listener, Seed: 2})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx, context.Background()) }()
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() { // together they exceed the tenant's quota: some are rejected, and retry after the stated time
			r.waitFor("completed", func() bool {
				resp, body, err := r.post(context.Background(), "preview", fmt.Sprint("s", i), 3*time.Second)
				if err != nil || resp.StatusCode != 200 && !strings.Contains(body, invoke.ProblemRejected) {
					t.Errorf("client %d: %v, %s", i, err, body)
				}
				if err == nil && resp.StatusCode != 200 {
					ms, err := strconv.Atoi(resp.Header.Get(invoke.HeaderRetryAfterMillis))
					if err != nil || ms > 1000 {
						t.Errorf("client %d: retry after %q ms", i, resp.Header.Get(invoke.HeaderRetryAfterMillis))
					}
					time.Sleep(time.Duration(ms) * time.Millisecond)
				}
				return err != nil || resp.StatusCode == 200
			})
		})
	}
	all.Wait()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c := g.FinalCounts(); c.Connections > len(r.workers) {
		t.Errorf("%d connections to %d workers", c.Connections, len(r.workers))
	}
}

// The resources that clients can occupy must be limited: the sizes of bodies and headers, the numbers of connections
// and requests in flight, and the time for sending a request.
func TestLimits(t *testing.T) {
	r := startHarness(t, func(f *fleetconfig.File) {
		f.Gateway.Limits.Body, f.Gateway.Limits.Header, f.Gateway.Limits.InFlight = 64, 4096, 1
		f.Gateway.Limits.Read, f.Gateway.Limits.Connections = config.Duration(300*time.Millisecond), 20
	})
	const path = "/v1/functions/preview/invocations"
	for _, c := range []struct {
		path, headers, body string
		want                int
	}{
		{path, "Content-Length: 65\r\n", strings.Repeat("x", 65), 413},
		{path, "Content-Length: 1\r\nX: " + strings.Repeat("x", 20000) + "\r\n", "x", 431},
		{path, "Content-Length: 10\r\n", "slow", 400},
		{path, "Content-Length: 1\r\nPrefer: respond-async\r\n", "x", 501},
		{path, "Content-Length: 1\r\nPrefer: wait=soon\r\n", "x", 400},
		{"/v1/functions/none/invocations", "Content-Length: 1\r\n", "x", 404},
		{"/v1/functions/tax-slab/invocations", "Content-Length: 1\r\n", "x", 400}, // without an idempotency key
		{path, "Content-Length: 1\r\nLupin-Tenant: ravi-foods\r\n", "x", 403},
	} {
		if got := r.rawStatus(c.path, c.headers, c.body); got != c.want {
			t.Errorf("%s %.40q: status %d, want %d", c.path, c.headers, got, c.want)
		}
	}
	r.wantResponse("gross-salary", "0", 2*time.Second, 200, " released") // loads the function
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = true })
	var one sync.WaitGroup
	one.Go(func() { r.wantResponse("gross-salary", "1", time.Second, 502, "dead-lettered") })
	r.waitFor("a request is in flight", func() bool { return r.executions("salary-release") == 2 })
	r.wantResponse("preview", "2", time.Second, 503, invoke.ProblemNotAccepted)
	one.Wait()
	// Connections over the limit are closed immediately, the others at the read timeout because they send nothing.
	if closed := r.closedIdleConnections(40); closed != 40 {
		t.Errorf("%d of 40 idle connections were closed", closed)
	}
	if c := r.gateway.Counts(context.Background()); c.Accepted != 2 || c.NotAccepted != 1 || c.InvalidRequests != 7 {
		t.Errorf("%+v", c)
	}
}
