package simadapter

import (
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/simadapter/simprotocol"
	"lupinpond/scheduler"
)

// gatewayInstance is one simulated gateway. It is the Actor of its core and encodes each action into a line.
type gatewayInstance struct {
	*core.Core
	name        string
	out         *simprotocol.Writer
	usesWeights bool // worker sizes in membership updates are used as weights
	dirty       bool // it has inputs in the current batch
}

func (g *gatewayInstance) Send(request *scheduler.Request, _ int, worker string) {
	g.out.Line("SEND", g.name, request.ID, worker)
}

// Complete writes nothing: the simulator itself passes the response on to the client.
func (g *gatewayInstance) Complete(*scheduler.Request, int) {}

func (g *gatewayInstance) Reject(request *scheduler.Request, retryAfter time.Duration, _ bool) {
	g.out.Line("SAY_NO", g.name, request.ID, retryAfter)
}

func (g *gatewayInstance) Fail(request *scheduler.Request, _ int, _ bool) {
	g.out.Line("SURRENDER", g.name, request.ID)
}

func (g *gatewayInstance) Cancel(request *scheduler.Request, attempt int, _ string) {
	g.out.Line("WITHDRAW", g.name, request.ID, attempt)
}

func (g *gatewayInstance) RequestLoad(load scheduler.LoadRequest) {
	g.out.Line("BRING_UP", g.name, load.Worker, load.Function, load.Replicas)
}

func (g *gatewayInstance) Probe(worker string) { g.out.Line("TOUCH", g.name, worker) }

func (g *gatewayInstance) Subscribe() { g.out.Line("WATCH", g.name, 1) }

func (g *gatewayInstance) SetTimer(after time.Duration) { g.out.Line("SLEEP", g.name, 1, after) }

// Closed writes nothing: the protocol has no message for it.
func (g *gatewayInstance) Closed(*scheduler.Request, int, core.CloseReason) {}
