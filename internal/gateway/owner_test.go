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

// unreachableTransport is a way out that has no connection to any worker.
type unreachableTransport struct {
	loop      *gateway.EventLoop
	sent      chan struct{}
	cancelled chan struct{} // an order was given up
}

func (n *unreachableTransport) Send(e *gateway.Request, _ int, _ string, _ *gateway.SendPermit, _ func(scheduler.Outcome, []byte)) gateway.Canceller {
	n.loop.ClientDisconnected(e)
	n.sent <- struct{}{}
	return nil
}

func (n *unreachableTransport) Load(scheduler.LoadRequest, func(int, scheduler.Result)) gateway.Canceller {
	return n
}
func (n *unreachableTransport) Probe(string, func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	return nil
}
func (n *unreachableTransport) Subscribe() {}
func (n *unreachableTransport) Cancel()    { n.cancelled <- struct{}{} }

// startUnreachable starts an owner whose workers are nowhere, with one worker listed.
func startUnreachable(t *testing.T, orders bool) *unreachableTransport {
	out := &unreachableTransport{sent: make(chan struct{}, 1), cancelled: make(chan struct{}, 100)}
	out.loop = gateway.NewEventLoop(gateway.EventLoopOptions{Core: coreSettings(orders), Transport: out, LoadTimeout: time.Millisecond, ProbeTimeout: time.Second})
	runLoop(t, out.loop)
	out.loop.UpdateMembership(true, []scheduler.Member{{Worker: "w"}}, nil)
	return out
}

func coreSettings(orders bool) core.Settings {
	return core.Settings{Seed: 1, Gateways: 1, MinTickInterval: time.Millisecond, MaxAttempts: 1,
		LoadPolicy: core.LoadPolicy{RequestLoads: orders, LoadOnMiss: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Second},
		Types:      []scheduler.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}}
}

func runLoop(t *testing.T, o *gateway.EventLoop) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// instantTransport is a way out to a worker that handles each event at once.
type instantTransport struct {
	unreachableTransport
}

func (r *instantTransport) Send(e *gateway.Request, _ int, _ string, _ *gateway.SendPermit, done func(scheduler.Outcome, []byte)) gateway.Canceller {
	r.sent <- struct{}{}
	done(scheduler.Outcome{Result: scheduler.Completed, ReplicaState: scheduler.ReplicaWarm}, nil)
	return nil
}

// A client that leaves before the owner has heard of its event, which has a warm copy and could go at once: no attempt
// begins, and the event ends.
func TestDisconnectBeforeAccept(t *testing.T) {
	out, gone := &instantTransport{unreachableTransport{sent: make(chan struct{}, 2)}}, make(chan struct{})
	out.loop = gateway.NewEventLoop(gateway.EventLoopOptions{Core: coreSettings(false), Transport: out, LoadTimeout: time.Millisecond, ProbeTimeout: time.Second})
	event := func(id string, reply func(invoke.Response), gone func()) *gateway.Request {
		return &gateway.Request{Scheduled: &scheduler.Request{ID: id, Type: "call", Function: 9, TimeLeft: 3 * time.Second, Concurrency: 1}, Reply: reply, Done: gone}
	}
	out.loop.UpdateMembership(true, []scheduler.Member{{Worker: "w"}}, nil)
	out.loop.Submit(event("first", func(invoke.Response) { // the owner is here: it hears both of these together
		second := event("second", func(a invoke.Response) { t.Error("an answer to nobody:", a) }, func() { close(gone) })
		out.loop.Submit(second)
		out.loop.ClientDisconnected(second)
	}, nil))
	runLoop(t, out.loop)
	<-gone
	if n := len(out.sent); n != 1 {
		t.Error(n, "launches, one of them for nobody")
	}
}

// A client that leaves while its launch found no worker has nothing to give up.
func TestDisconnectWithoutAttempt(t *testing.T) {
	out := startUnreachable(t, false)
	out.loop.Submit(&gateway.Request{Scheduled: &scheduler.Request{ID: "e", Type: "call", Function: 9, TimeLeft: 3 * time.Second, Concurrency: 1},
		Reply: func(a invoke.Response) { t.Error("an answer to nobody:", a) }})
	<-out.sent
	out.loop.Pause(0) // once it stands still for that, it has heard that the client left
}

// An order that is not answered in time is given up: it would hold its connection for good.
func TestLostLoadRequest(t *testing.T) {
	out := startUnreachable(t, true)
	out.loop.Submit(&gateway.Request{Scheduled: &scheduler.Request{ID: "e", Type: "call", Function: 9, TimeLeft: time.Minute, Concurrency: 1},
		Reply: func(invoke.Response) {}})
	<-out.cancelled
}

// A request that is not taken, as one of its id is in hand, lets go of what was kept for it, as every other does.
func TestRequestNotAcceptedIsReleased(t *testing.T) {
	out := &manualTransport{attempts: make(chan pendingAttempt, 10), loadRequests: make(chan scheduler.LoadRequest, 10)}
	owner := gateway.NewEventLoop(gateway.EventLoopOptions{Core: coreSettings(false), Transport: out, LoadTimeout: time.Millisecond, ProbeTimeout: time.Second})
	answers, gone := make(chan invoke.Response, 2), make(chan struct{}, 2)
	for range 2 {
		owner.Submit(&gateway.Request{Scheduled: &scheduler.Request{ID: "e", Type: "call", Function: 9, TimeLeft: 3 * time.Second, Concurrency: 1},
			Reply: func(a invoke.Response) { answers <- a }, Done: func() { gone <- struct{}{} }})
	}
	runLoop(t, owner)
	if a := <-answers; a.Outcome != invoke.NotAccepted {
		t.Errorf("%+v", a)
	}
	for range 2 { // the one that was taken ends with its time
		select {
		case <-gone:
		case <-time.After(20 * time.Second):
			t.Fatal("one of them is kept for good")
		}
	}
}
