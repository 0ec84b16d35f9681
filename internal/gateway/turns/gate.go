// Package turns makes client connections wait for their turns, as an ingress.Controller decides: when the processor is
// short, a client that sends at full speed must not delay the others.
package turns

import (
	"sync"
	"time"

	"lupinpond/internal/base/cputime"
	"lupinpond/scheduler/ingress"
)

// closedCheckInterval is the time between two checks whether the clients of waiting connections have gone.
const closedCheckInterval = 50 * time.Millisecond

// Gate makes connections wait before they handle what they have read, as an ingress.Controller decides.
type Gate struct {
	epoch   time.Time
	backlog func() time.Duration // age of the oldest message that waits for the handler's work; may be nil

	mu          sync.Mutex
	controller  *ingress.Controller
	waiters     map[*ingress.Flow]*waiter
	turnTimer   *time.Timer // calls advance
	closedTimer *time.Timer // calls releaseClosed, while there are waiters
	closed      bool        // nobody waits any more
	waits       int64
	longest     time.Duration
}

// waiter is a connection that waits for its turn.
type waiter struct {
	closedByClient func() bool   // reports whether the client has closed the connection
	released       chan struct{} // closed when the wait is over
	hasTurn        bool          // set before released is closed, if the turn has begun
}

// State describes how connections have waited for their turns.
type State struct {
	Waiting int           // connections that wait
	Waits   int64         // number of waits since the start
	Longest time.Duration // longest wait since the start
}

// NewGate returns a Gate for a process that may use a number of processor cores.
func NewGate(cores float64) *Gate {
	return &Gate{epoch: time.Now(), controller: ingress.New(cores), waiters: map[*ingress.Flow]*waiter{}}
}

// ObserveBacklog makes the gate call age for the age of the oldest piece of work that was passed on and is not done. It
// must be called before the first connection.
func (g *Gate) ObserveBacklog(age func() time.Duration) { g.backlog = age }

func (g *Gate) now() time.Duration { return time.Since(g.epoch) }

// Register adds a flow.
func (g *Gate) Register(flow *ingress.Flow) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Register(g.now(), flow)
}

// Enter waits until a flow may be served, and returns the time that it waited. sparse states that nothing of the flow
// waited before. Enter returns false if the client has gone meanwhile, as closedByClient reports. Otherwise Leave must
// be called after the service.
func (g *Gate) Enter(flow *ingress.Flow, sparse bool, closedByClient func() bool) (waited time.Duration, ok bool) {
	g.mu.Lock()
	began := g.now()
	if g.closed || g.controller.IsLight(began, flow, sparse) {
		g.mu.Unlock()
		return 0, true
	}
	w := &waiter{closedByClient: closedByClient, released: make(chan struct{})}
	g.waiters[flow] = w
	g.controller.Wait(flow)
	g.advance()
	if g.closedTimer == nil {
		g.closedTimer = time.AfterFunc(closedCheckInterval, g.releaseClosed)
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

// Leave ends the service of a flow and charges its cost.
func (g *Gate) Leave(flow *ingress.Flow, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Charge(g.now(), flow, cost)
	g.controller.Leave(flow)
	if len(g.waiters) > 0 {
		g.advance()
	}
}

// advance begins the next turn if it is due, or sets the timer. The caller must hold g.mu.
func (g *Gate) advance() {
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
func (g *Gate) release(flow *ingress.Flow, hasTurn bool) {
	w := g.waiters[flow]
	delete(g.waiters, flow)
	w.hasTurn = hasTurn
	close(w.released)
}

// releaseClosed ends the waits of the flows whose clients have gone.
func (g *Gate) releaseClosed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for flow, w := range g.waiters {
		if w.closedByClient() {
			g.controller.Leave(flow)
			g.release(flow, false)
		}
	}
	g.closedTimer = nil
	if len(g.waiters) > 0 {
		g.closedTimer = time.AfterFunc(closedCheckInterval, g.releaseClosed)
	}
}

// Close lets all flows pass from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for flow := range g.waiters {
		g.controller.Leave(flow)
		g.release(flow, true)
	}
}

// State returns how connections have waited.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Waiting: len(g.waiters), Waits: g.waits, Longest: g.longest}
}
