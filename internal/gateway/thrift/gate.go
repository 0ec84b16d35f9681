package thrift

import (
	"sync"
	"time"

	"lupinpond/internal/base/cputime"
	"lupinpond/scheduler/ingress"
)

// gate makes connections wait before they handle what they have read, as an ingress.Controller decides.
type gate struct {
	epoch   time.Time
	backlog func() time.Duration // age of the oldest message that waits for the handler's work; may be nil

	mu         sync.Mutex
	controller *ingress.Controller
	granted    map[*ingress.Flow]chan struct{} // closed when the turn of a waiting flow begins
	timer      *time.Timer                     // calls advance
	open       bool                            // nobody waits any more
	waits      int64
	longest    time.Duration
}

// GateState describes how connections have waited for their turns.
type GateState struct {
	Waiting int           // connections that wait
	Waits   int64         // number of waits since the start
	Longest time.Duration // longest wait since the start
}

func newGate(controller *ingress.Controller) *gate {
	return &gate{epoch: time.Now(), controller: controller, granted: map[*ingress.Flow]chan struct{}{}}
}

func (g *gate) now() time.Duration { return time.Since(g.epoch) }

// enter waits until a flow may be served, and returns the time that it waited. A flow that waited has a turn, which
// leave ends.
func (g *gate) enter(flow *ingress.Flow) (waited time.Duration) {
	g.mu.Lock()
	began := g.now()
	if g.open || g.controller.IsLight(began, flow) {
		g.mu.Unlock()
		return 0
	}
	granted := make(chan struct{})
	g.granted[flow] = granted
	g.controller.Wait(flow)
	g.advance()
	g.mu.Unlock()
	<-granted
	waited = g.now() - began
	g.mu.Lock()
	g.waits++
	g.longest = max(g.longest, waited)
	g.mu.Unlock()
	return waited
}

// leave ends the service of a flow and charges its cost.
func (g *gate) leave(flow *ingress.Flow, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Charge(g.now(), flow, cost)
	g.controller.Leave(flow)
	if len(g.granted) > 0 {
		g.advance()
	}
}

// advance begins the next turn if it is due, or sets the timer. The caller must hold g.mu.
func (g *gate) advance() {
	load := ingress.Load{Now: g.now(), CPUTime: cputime.Process()}
	if g.backlog != nil {
		load.Backlog = g.backlog()
	}
	flow, after := g.controller.Next(load)
	switch {
	case flow != nil:
		close(g.granted[flow])
		delete(g.granted, flow)
	case after > 0 && g.timer == nil:
		g.timer = time.AfterFunc(after, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.advance()
		})
	case after > 0:
		g.timer.Reset(after)
	}
}

// close lets all flows pass from now on.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = true
	for flow, granted := range g.granted {
		g.controller.Leave(flow)
		close(granted)
		delete(g.granted, flow)
	}
}

func (g *gate) state() GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GateState{Waiting: len(g.granted), Waits: g.waits, Longest: g.longest}
}
