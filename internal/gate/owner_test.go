package gate_test

import (
	"context"
	"testing"
	"time"

	"lupinpond/choice"
	"lupinpond/internal/core"
	"lupinpond/internal/gate"
	"lupinpond/internal/invoke"
)

// nowhere is a way out that has no connection to any worker.
type nowhere struct {
	owner    *gate.Owner
	launched chan struct{}
}

func (n *nowhere) Launch(e *gate.Event, _ int, _ string, _ time.Duration, _ func(choice.Outcome, []byte)) gate.Launched {
	n.owner.Left(e.Fact.ID)
	n.launched <- struct{}{}
	return nil
}

func (n *nowhere) Order(choice.Order, func(int, choice.Result))       {}
func (n *nowhere) Probe(string, func(r choice.Result, l choice.Load)) {}
func (n *nowhere) Ask()                                               {}

// A client that leaves while its launch found no worker has nothing to give up.
func TestLeftWithoutLaunch(t *testing.T) {
	out := &nowhere{launched: make(chan struct{}, 1)}
	front := core.Front{Seed: 1, Peers: 1, Quantum: time.Millisecond, Launches: 1, Loading: core.Loading{OnMiss: true, Keep: time.Minute},
		Types: []choice.EventType{{Name: "call", Target: time.Second}}}
	out.owner = gate.NewOwner(front, out, nil, time.Second, time.Second)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- out.owner.Run(ctx) }()
	out.owner.Listed(true, []choice.Listing{{Worker: "w"}})
	out.owner.Take(&gate.Event{Fact: &choice.Event{ID: "e", Type: "call", Function: 9, Patience: 3 * time.Second, Lanes: 1},
		Reply: func(a invoke.Answer) { t.Error("an answer to nobody:", a) }})
	<-out.launched
	out.owner.Pause(0) // once it stands still for that, it has heard that the client left
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
