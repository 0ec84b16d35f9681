package thrift

import (
	"sync"
	"time"

	"lupinpond/internal/base/cputime"
	"lupinpond/scheduler/ingress"
)

// goneCheckInterval is the time between two checks whether the clients of waiting connections have gone.
const goneCheckInterval = 50 * time.Millisecond

// gate makes connections wait before they handle what they have read, as an ingress.Controller decides.
type gate struct {
	epoch   time.Time
	backlog func() time.Duration // age of the oldest message that waits for the handler's work; may be nil

	mu         sync.Mutex
	controller *ingress.Controller
	waiters    map[*ingress.Flow]*waiter
	turnTimer  *time.Timer // calls advance
	goneTimer  *time.Timer // calls releaseGone, while there are waiters
	closed     bool        // nobody waits any more
	waits      int64
	longest    time.Duration
}

// waiter is a connection that waits for its turn.
type waiter struct {
	gone     func() bool   // reports whether the client has gone
	released chan struct{} // closed when the wait is over
	hasTurn  bool          // set before released is closed, if the turn has begun
}

// GateState describes how connections have waited for their turns.
type GateState struct {
	Waiting int           // connections that wait
	Waits   int64         // number of waits since the start
	Longest time.Duration // longest wait since the start
}

func newGate(controller *ingress.Controller) *gate {
	return &gate{epoch: time.Now(), controller: controller, waiters: map[*ingress.Flow]*waiter{}}
}

func (g *gate) now() time.Duration { return time.Since(g.epoch) }

// register adds a flow.
func (g *gate) register(flow *ingress.Flow) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Register(g.now(), flow)
}

// enter waits until a flow may be served, and returns the time that it waited. sparse states that nothing of the flow
// waited before. enter returns false if the client has gone meanwhile, as gone reports. Otherwise leave must be called
// after the service.
func (g *gate) enter(flow *ingress.Flow, sparse bool, gone func() bool) (waited time.Duration, ok bool) {
	g.mu.Lock()
	began := g.now()
	if g.closed || g.controller.IsLight(began, flow, sparse) {
		g.mu.Unlock()
		return 0, true
	}
	w := &waiter{gone: gone, released: make(chan struct{})}
	g.waiters[flow] = w
	g.controller.Wait(flow)
	g.advance()
	if g.goneTimer == nil {
		g.goneTimer = time.AfterFunc(goneCheckInterval, g.releaseGone)
	}
	g.mu.Unlock()
	<-w.released
	g.mu.Lock()
	defer g.mu.Unlock()
	waited = g.now() - began
	g.waits++
	g.longest = max(g.longest, waited)
	return waited, w.hasTurn
}

// leave ends the service of a flow and charges its cost.
func (g *gate) leave(flow *ingress.Flow, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Charge(g.now(), flow, cost)
	g.controller.Leave(flow)
	if len(g.waiters) > 0 {
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
		g.release(flow, true)
	case after > 0 && g.turnTimer == nil:
		g.turnTimer = time.AfterFunc(after, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.advance()
		})
	case after > 0:
		g.turnTimer.Reset(after)
	}
}

// release ends the wait of a flow. The caller must hold g.mu.
func (g *gate) release(flow *ingress.Flow, hasTurn bool) {
	w := g.waiters[flow]
	delete(g.waiters, flow)
	w.hasTurn = hasTurn
	close(w.released)
}

// releaseGone ends the waits of the flows whose clients have gone.
func (g *gate) releaseGone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for flow, w := range g.waiters {
		if w.gone() {
			g.controller.Leave(flow)
			g.release(flow, false)
		}
	}
	g.goneTimer = nil
	if len(g.waiters) > 0 {
		g.goneTimer = time.AfterFunc(goneCheckInterval, g.releaseGone)
	}
}

// close lets all flows pass from now on.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for flow := range g.waiters {
		g.controller.Leave(flow)
		g.release(flow, true)
	}
}

func (g *gate) state() GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GateState{Waiting: len(g.waiters), Waits: g.waits, Longest: g.longest}
}
