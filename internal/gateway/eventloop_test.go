package gateway_test

import (
	"context"
	"testing"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/scheduler"
)

// unreachableTransport is a transport without a connection to any worker. It disconnects the client of a request while
// the request's first attempt is sent.
type unreachableTransport struct {
	loop      *gateway.EventLoop
	sent      chan struct{}
	cancelled chan struct{} // receives a value for each cancelled load request
}

func (u *unreachableTransport) Send(request *gateway.Request, _ int, _ string, _ *gateway.SendPermit,
	_ func(scheduler.Outcome, []byte)) gateway.Canceller {
	u.loop.ClientDisconnected(request)
	u.sent <- struct{}{}
	return nil
}

func (u *unreachableTransport) Load(scheduler.LoadRequest, *gateway.LoadPermit,
	func(int, scheduler.Result)) gateway.Canceller {
	return u
}

func (u *unreachableTransport) Probe(string, func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	return nil
}

func (u *unreachableTransport) Subscribe() {}

func (u *unreachableTransport) Cancel() { u.cancelled <- struct{}{} }

// instantTransport is a transport whose worker completes each request immediately.
type instantTransport struct {
	unreachableTransport
}

func (i *instantTransport) Send(_ *gateway.Request, _ int, _ string, _ *gateway.SendPermit,
	done func(scheduler.Outcome, []byte)) gateway.Canceller {
	i.sent <- struct{}{}
	done(scheduler.Outcome{Result: scheduler.Completed, ReplicaState: scheduler.ReplicaWarm}, nil)
	return nil
}

// With loadOnMiss, workers load a function on its first request; with loadRequests, the core also sends load requests.
var (
	loadOnMiss   = core.LoadPolicy{LoadOnMiss: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Second}
	loadRequests = core.LoadPolicy{RequestLoads: true, LoadOnMiss: true, ReplicaIdleTimeout: time.Minute,
		RequestTimeout: time.Second}
)

// newLoop creates the event loop of a single gateway for requests of type "call".
func newLoop(transport gateway.WorkerTransport, policy core.LoadPolicy) *gateway.EventLoop {
	return gateway.NewEventLoop(gateway.EventLoopOptions{
		Core: core.Settings{Seed: 1, Gateways: 1, MinTickInterval: time.Millisecond, MaxAttempts: 1, LoadPolicy: policy,
			Types: []scheduler.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}},
		Transport:    transport,
		LoadTimeout:  time.Millisecond,
		ProbeTimeout: time.Second,
	})
}

// newCall creates a request of type "call".
func newCall(id string, function uint64, timeLeft time.Duration, reply func(invoke.Response)) *gateway.Request {
	return &gateway.Request{
		Scheduled: &scheduler.Request{ID: id, Type: "call", Function: function, TimeLeft: timeLeft, Concurrency: 1},
		Reply:     reply,
	}
}

// runLoop runs an event loop until the test ends.
func runLoop(t *testing.T, loop *gateway.EventLoop) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// startUnreachable runs an event loop whose endpoint list has one worker, which is unreachable.
func startUnreachable(t *testing.T, policy core.LoadPolicy) *unreachableTransport {
	t.Helper()
	transport := &unreachableTransport{sent: make(chan struct{}, 1), cancelled: make(chan struct{}, 100)}
	transport.loop = newLoop(transport, policy)
	runLoop(t, transport.loop)
	transport.loop.UpdateMembership(true, []scheduler.Member{{Worker: "w"}}, nil)
	return transport
}

// A client disconnects before the event loop has accepted its request, for which a warm replica is available: no
// attempt must be sent, and the request must be closed.
func TestDisconnectBeforeAccept(t *testing.T) {
	transport := &instantTransport{unreachableTransport{sent: make(chan struct{}, 2)}}
	loop := newLoop(transport, loadOnMiss)
	transport.loop = loop
	loop.UpdateMembership(true, []scheduler.Member{{Worker: "w"}}, nil)
	closed := make(chan struct{})
	loop.Submit(newCall("first", 9, 3*time.Second, func(invoke.Response) {
		// The event loop calls this function, so it takes both messages below from the mailbox together.
		second := newCall("second", 9, 3*time.Second, func(r invoke.Response) {
			t.Error("response after the client disconnected:", r)
		})
		second.Done = func() { close(closed) }
		loop.Submit(second)
		loop.ClientDisconnected(second)
	}))
	runLoop(t, loop)
	<-closed
	if n := len(transport.sent); n != 1 {
		t.Error(n, "attempts sent, want 1: the second request's client had disconnected")
	}
}

// A client disconnects while its attempt is sent by a transport that returns no Canceller: the event loop must not try
// to cancel the attempt.
func TestDisconnectWithoutAttempt(t *testing.T) {
	transport := startUnreachable(t, loadOnMiss)
	transport.loop.Submit(newCall("r", 9, 3*time.Second, func(r invoke.Response) {
		t.Error("response after the client disconnected:", r)
	}))
	<-transport.sent
	transport.loop.Pause(0) // returns after the event loop has handled the disconnect
}

// A load request without a result within the load timeout must be cancelled: otherwise it would occupy its connection
// forever.
func TestLostLoadRequest(t *testing.T) {
	transport := startUnreachable(t, loadRequests)
	transport.loop.Submit(newCall("r", 9, time.Minute, func(invoke.Response) {}))
	<-transport.cancelled
}

// A request that is not accepted because a request with the same ID is in flight must be released like any other.
func TestRequestNotAcceptedIsReleased(t *testing.T) {
	transport := newManualTransport(10)
	loop := newLoop(transport, loadOnMiss)
	responses, closed := make(chan invoke.Response, 2), make(chan struct{}, 2)
	for range 2 {
		request := newCall("r", 9, 3*time.Second, func(r invoke.Response) { responses <- r })
		request.Done = func() { closed <- struct{}{} }
		loop.Submit(request)
	}
	runLoop(t, loop)
	if r := <-responses; r.Outcome != invoke.NotAccepted {
		t.Errorf("%+v", r)
	}
	for range 2 { // the accepted request is closed at its deadline
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Fatal("a request was not released")
		}
	}
}
