package simadapter

import (
	"errors"
	"io"
	"strconv"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/simadapter/simprotocol"
)

// Adapter runs the simulated gateways of one process.
type Adapter struct {
	in       *simprotocol.Reader
	out      *simprotocol.Writer
	gateways map[string]*gatewayInstance // by name
	dirty    []*gatewayInstance          // gateways with inputs in the current batch, in order of their first input
	now      time.Duration               // clock of the current batch
}

// New returns an Adapter that reads batches from in and writes replies to out.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{
		in:       simprotocol.NewReader(in),
		out:      simprotocol.NewWriter(out),
		gateways: map[string]*gatewayInstance{},
	}
}

// Run processes batches and replies to each until the input ends. It returns the first error.
func (a *Adapter) Run() error {
	for {
		line, err := a.in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(line); err != nil {
			return err
		}
		if err := a.out.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch processes one batch, which holds all inputs of one point in time, and writes the reply.
func (a *Adapter) handleBatch(line *simprotocol.Line) error {
	if line.Text("BATCH") != "BATCH" {
		line.Expected("BATCH with clock and number")
	}
	now := line.Duration("clock")
	number := line.Uint("batch number")
	if err := line.Finish(); err != nil {
		return err
	}
	a.now = now
	if err := a.handleMessages(); err != nil {
		return err
	}
	for _, gateway := range a.dirty {
		gateway.dirty = false
		if a.gateways[gateway.name] == gateway { // it has not exited in this batch
			gateway.ProcessDue(a.now)
		}
	}
	a.dirty = a.dirty[:0]
	a.out.Line("OK", number)
	return nil
}

// handleMessages processes messages until the simulator requests the reply with YOUR_TURN.
func (a *Adapter) handleMessages() error {
	for {
		line, err := a.nextLine("an event or YOUR_TURN")
		if err != nil {
			return err
		}
		message := line.Text("message")
		if message == "YOUR_TURN" {
			return line.Finish()
		}
		if err := a.handleMessage(message, line); err != nil {
			return err
		}
	}
}

// nextLine returns the next line. The end of the input is an error here; expected says what should have followed.
func (a *Adapter) nextLine(expected string) (*simprotocol.Line, error) {
	line, err := a.in.Next()
	if errors.Is(err, io.EOF) {
		return nil, a.in.UnexpectedEnd(expected)
	}
	return line, err
}

// handleMessage decodes one message and passes it to the core of its gateway. The second value of every message names
// the gateway. FIRST and NEIGHBOUR_SAYS are not passed on: their values are only checked.
func (a *Adapter) handleMessage(message string, line *simprotocol.Line) error {
	name := line.Text("instance")
	if message == "SPAWN" {
		return a.handleSpawn(name, line)
	}
	gateway := a.gateways[name]
	if gateway == nil {
		line.Expected("a running instance, got " + strconv.Quote(name))
		return line.Finish()
	}
	switch message {
	case "EXIT":
		if err := line.Finish(); err != nil {
			return err
		}
		delete(a.gateways, name)
		return nil
	case "MEMBERSHIP":
		return a.handleMembership(gateway, line)
	case "INCOMING":
		return a.handleIncoming(gateway, line)
	case "SETTLED":
		return a.handleSettled(gateway, line)
	case "FIRST":
		line.Text("request")
		line.Uint("attempt")
		line.Duration("time")
		line.Text("worker")
	case "LAPSED":
		if id := line.Text("request"); line.Finish() == nil {
			gateway.ClientDisconnected(a.now, id)
		}
	case "ELAPSED":
		if line.Uint("timer"); line.Finish() == nil {
			gateway.TimerFired(a.now)
		}
	case "ECHO":
		a.handleProbeResult(gateway, line)
	case "LOAD_RESULT":
		a.handleLoadResult(gateway, line)
	case "NEIGHBOUR_SAYS":
		line.Uint("peer")
		line.Text("bytes")
	default:
		line.Expected("a known event, got " + strconv.Quote(message))
	}
	if err := line.Finish(); err != nil {
		return err
	}
	a.markDirty(gateway)
	return nil
}

// handleSpawn starts a gateway, replacing any gateway of the same name.
func (a *Adapter) handleSpawn(name string, line *simprotocol.Line) error {
	seed := line.Uint("seed")
	values := line.Settings("settings")
	if err := line.Finish(); err != nil {
		return err
	}
	gateway := &gatewayInstance{name: name, out: a.out, usesWeights: values.UsesWorkerSizes()}
	gateway.Core = core.New(values.Core(seed), gateway)
	a.gateways[name] = gateway
	a.markDirty(gateway)
	return nil
}

// markDirty schedules a call of the gateway's ProcessDue at the end of the batch.
func (a *Adapter) markDirty(gateway *gatewayInstance) {
	if !gateway.dirty {
		gateway.dirty = true
		a.dirty = append(a.dirty, gateway)
	}
}
