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

// nowhere is a way out that has no connection to any worker.
type nowhere struct {
	owner    *gateway.Owner
	launched chan struct{}
	recalled chan struct{} // an order was given up
}

func (n *nowhere) Send(e *gateway.Request, _ int, _ string, _ *gateway.Departure, _ func(scheduler.Outcome, []byte)) gateway.Sent {
	n.owner.ClientGone(e)
	n.launched <- struct{}{}
	return nil
}

func (n *nowhere) Load(scheduler.LoadRequest, func(int, scheduler.Result)) gateway.Sent { return n }
func (n *nowhere) Probe(string, func(scheduler.Result, scheduler.LoadReport)) gateway.Sent {
	return nil
}
func (n *nowhere) Subscribe() {}
func (n *nowhere) Recall()    { n.recalled <- struct{}{} }

// nowhereAt starts an owner whose workers are nowhere, with one worker listed.
func nowhereAt(t *testing.T, orders bool) *nowhere {
	out := &nowhere{launched: make(chan struct{}, 1), recalled: make(chan struct{}, 100)}
	out.owner = gateway.NewOwner(gateway.OwnerOptions{Core: front(orders), Workers: out, LoadTimeout: time.Millisecond, ProbeLimit: time.Second})
	run(t, out.owner)
	out.owner.UpdateMembership(true, []scheduler.Member{{Worker: "w"}}, nil)
	return out
}

func front(orders bool) core.Settings {
	return core.Settings{Seed: 1, Gateways: 1, MinTickInterval: time.Millisecond, MaxAttempts: 1,
		LoadPolicy: core.LoadPolicy{RequestLoads: orders, LoadOnMiss: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Second},
		Types:      []scheduler.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}}
}

func run(t *testing.T, o *gateway.Owner) {
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

// ready is a way out to a worker that handles each event at once.
type ready struct {
	nowhere
}

func (r *ready) Send(e *gateway.Request, _ int, _ string, _ *gateway.Departure, done func(scheduler.Outcome, []byte)) gateway.Sent {
	r.launched <- struct{}{}
	done(scheduler.Outcome{Result: scheduler.Completed, ReplicaState: scheduler.ReplicaWarm}, nil)
	return nil
}

// A client that leaves before the owner has heard of its event, which has a warm copy and could go at once: no attempt
// begins, and the event ends.
func TestLeftBeforeItIsHeard(t *testing.T) {
	out, gone := &ready{nowhere{launched: make(chan struct{}, 2)}}, make(chan struct{})
	out.owner = gateway.NewOwner(gateway.OwnerOptions{Core: front(false), Workers: out, LoadTimeout: time.Millisecond, ProbeLimit: time.Second})
	event := func(id string, reply func(invoke.Answer), gone func()) *gateway.Request {
		return &gateway.Request{Fact: &scheduler.Request{ID: id, Type: "call", Function: 9, TimeLeft: 3 * time.Second, Concurrency: 1}, Reply: reply, Gone: gone}
	}
	out.owner.UpdateMembership(true, []scheduler.Member{{Worker: "w"}}, nil)
	out.owner.Submit(event("first", func(invoke.Answer) { // the owner is here: it hears both of these together
		second := event("second", func(a invoke.Answer) { t.Error("an answer to nobody:", a) }, func() { close(gone) })
		out.owner.Submit(second)
		out.owner.ClientGone(second)
	}, nil))
	run(t, out.owner)
	<-gone
	if n := len(out.launched); n != 1 {
		t.Error(n, "launches, one of them for nobody")
	}
}

// A client that leaves while its launch found no worker has nothing to give up.
func TestLeftWithoutLaunch(t *testing.T) {
	out := nowhereAt(t, false)
	out.owner.Submit(&gateway.Request{Fact: &scheduler.Request{ID: "e", Type: "call", Function: 9, TimeLeft: 3 * time.Second, Concurrency: 1},
		Reply: func(a invoke.Answer) { t.Error("an answer to nobody:", a) }})
	<-out.launched
	out.owner.Pause(0) // once it stands still for that, it has heard that the client left
}

// An order that is not answered in time is given up: it would hold its connection for good.
func TestLostOrder(t *testing.T) {
	out := nowhereAt(t, true)
	out.owner.Submit(&gateway.Request{Fact: &scheduler.Request{ID: "e", Type: "call", Function: 9, TimeLeft: time.Minute, Concurrency: 1},
		Reply: func(invoke.Answer) {}})
	<-out.recalled
}

// A request that is not taken, as one of its id is in hand, lets go of what was kept for it, as every other does.
func TestRequestThatIsNotTakenIsLetGo(t *testing.T) {
	out := &manual{sent: make(chan sending, 10), loads: make(chan scheduler.LoadRequest, 10)}
	owner := gateway.NewOwner(gateway.OwnerOptions{Core: front(false), Workers: out, LoadTimeout: time.Millisecond, ProbeLimit: time.Second})
	answers, gone := make(chan invoke.Answer, 2), make(chan struct{}, 2)
	for range 2 {
		owner.Submit(&gateway.Request{Fact: &scheduler.Request{ID: "e", Type: "call", Function: 9, TimeLeft: 3 * time.Second, Concurrency: 1},
			Reply: func(a invoke.Answer) { answers <- a }, Gone: func() { gone <- struct{}{} }})
	}
	run(t, owner)
	if a := <-answers; a.Ending != invoke.NotTaken {
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
