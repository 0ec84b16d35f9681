// Package simadapter runs front ends on the simulator's wire: it decodes lines into calls to a core for each, and
// encodes what the core does into lines. It decides nothing and keeps nothing else.
package simadapter

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/simadapter/simprotocol"
	"lupinpond/scheduler"
)

// gatewayInstance is one front end.
type gatewayInstance struct {
	*core.Core
	name     string
	out      *simprotocol.Writer
	weighted bool // the list tells sizes
	dirty    bool
}

// Adapter runs the instances of one process.
type Adapter struct {
	in       *simprotocol.Reader
	out      *simprotocol.Writer
	gateways map[string]*gatewayInstance
	dirty    []*gatewayInstance
	now      time.Duration
}

// New makes a Host that reads batches from in and writes replies to out.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{in: simprotocol.NewReader(in), out: simprotocol.NewWriter(out), gateways: map[string]*gatewayInstance{}}
}

// Run answers batches until the input ends.
func (h *Adapter) Run() error {
	for {
		line, err := h.in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(line); err != nil {
			return err
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

func (h *Adapter) handleBatch(line *simprotocol.Line) error {
	if line.Text("BATCH") != "BATCH" {
		line.Expected("BATCH with clock and number")
	}
	now := line.Duration("clock", false)
	number := line.Uint("batch number", false)
	if err := line.Finish(); err != nil {
		return err
	}
	h.now = now
	for {
		line, err := h.nextLine("an event or YOUR_TURN")
		if err != nil {
			return err
		}
		message := line.Text("message")
		if message == "YOUR_TURN" {
			if err := line.Finish(); err != nil {
				return err
			}
			break
		}
		if err := h.handleMessage(message, line); err != nil {
			return err
		}
	}
	for _, in := range h.dirty {
		in.dirty = false
		if h.gateways[in.name] == in {
			in.ProcessDue(h.now)
		}
	}
	h.dirty = h.dirty[:0]
	h.out.Line("OK", number)
	return nil
}

func (h *Adapter) nextLine(expected string) (*simprotocol.Line, error) {
	line, err := h.in.Next()
	if errors.Is(err, io.EOF) {
		return nil, h.in.UnexpectedEnd(expected)
	}
	return line, err
}

// handleMessage decodes one line into a call. The second value of every event is its instance.
func (h *Adapter) handleMessage(message string, line *simprotocol.Line) error {
	name := line.Text("instance")
	in := h.gateways[name]
	if message != "SPAWN" && in == nil {
		line.Expected("a running instance, got " + strconv.Quote(name))
		return line.Finish()
	}
	switch message {
	case "SPAWN":
		in = h.handleSpawn(name, line)
	case "EXIT":
		if line.Finish() == nil {
			delete(h.gateways, name)
		}
		return line.Finish()
	case "MEMBERSHIP":
		return h.handleMembership(in, line)
	case "INCOMING":
		return h.handleIncoming(in, line)
	case "SETTLED":
		return h.handleSettled(in, line)
	case "FIRST":
		line.Text("request")
		line.Uint("attempt", false)
		line.Duration("time", false)
		line.Text("worker")
	case "LAPSED":
		if id := line.Text("request"); line.Finish() == nil {
			in.ClientDisconnected(h.now, id)
		}
	case "ELAPSED":
		if line.Uint("timer", false); line.Finish() == nil {
			in.TimerFired(h.now)
		}
	case "ECHO":
		h.handleProbeResult(in, line)
	case "LOAD_RESULT":
		h.handleLoadResult(in, line)
	case "NEIGHBOUR_SAYS":
		line.Uint("peer", false)
		line.Text("bytes")
	default:
		line.Expected("a known event, got " + strconv.Quote(message))
	}
	if err := line.Finish(); err != nil {
		return err
	}
	h.markDirty(in)
	return nil
}

// handleProbeResult decodes the answer to a probe.
func (h *Adapter) handleProbeResult(in *gatewayInstance, line *simprotocol.Line) {
	worker := line.Text("worker")
	took := line.Duration("time", true)
	result := result(line)
	report := loadReport(line)
	if line.Finish() == nil {
		in.ProbeCompleted(h.now, worker, result, report, took)
	}
}

// handleLoadResult decodes the answer to a load request.
func (h *Adapter) handleLoadResult(in *gatewayInstance, line *simprotocol.Line) {
	request := scheduler.LoadRequest{Worker: line.Text("worker"), Function: line.Uint("function", false)}
	result := result(line)
	took := line.Duration("time", true)
	request.Replicas = int(line.Uint("copies", true))
	if line.Finish() == nil {
		in.LoadCompleted(h.now, request, result, took)
	}
}

func (h *Adapter) markDirty(in *gatewayInstance) {
	if !in.dirty {
		in.dirty = true
		h.dirty = append(h.dirty, in)
	}
}

func (h *Adapter) handleSpawn(name string, line *simprotocol.Line) *gatewayInstance {
	seed := line.Uint("seed", false)
	set := line.Settings("settings")
	in := &gatewayInstance{name: name, out: h.out, weighted: set.UsesWorkerSizes()}
	in.Core = core.New(set.Core(seed), in)
	if line.Finish() == nil {
		h.gateways[name] = in
	}
	return in
}

func (h *Adapter) handleMembership(in *gatewayInstance, line *simprotocol.Line) error {
	line.Uint("list version", false)
	kind := line.Text("kind of list")
	n := line.Uint("number of entries", kind == "broken")
	if kind != "patch" && kind != "whole" && kind != "stale_copy" && kind != "broken" {
		line.Expected("patch, whole, stale_copy or broken, got " + strconv.Quote(kind))
	}
	if err := line.Finish(); err != nil {
		return err
	}
	var news []scheduler.Member
	for range n {
		line, err := h.nextLine("ENTRY")
		if err != nil {
			return err
		}
		if line.Text("ENTRY") != "ENTRY" {
			line.Expected("ENTRY")
		}
		l := scheduler.Member{Worker: line.Text("worker"), Zone: line.OptionalText("zone")}
		l.Kind = line.OptionalText("kind")
		l.Cell = line.OptionalText("cell")
		switch word := line.Text("condition"); word {
		case "IN":
		case "LAME":
			l.Condition = scheduler.Draining
		case "OUT":
			l.Condition = scheduler.Removed
		default:
			line.Expected("IN, LAME or OUT, got " + strconv.Quote(word))
		}
		if size := line.Float("size", true); in.weighted {
			l.Weight = size
		}
		l.Started = line.Duration("start", true)
		if err := line.Finish(); err != nil {
			return err
		}
		news = append(news, l)
	}
	switch kind {
	case "broken":
		in.WatchFailed(h.now)
	case "patch":
		in.UpdateMembership(h.now, news)
	default:
		in.ReplaceMembership(h.now, news)
	}
	h.markDirty(in)
	return nil
}

func (h *Adapter) handleIncoming(in *gatewayInstance, line *simprotocol.Line) error {
	e := &scheduler.Request{ID: line.Text("request"), Type: line.Text("class"), Tenant: line.OptionalText("tenant"),
		Function: line.Uint("function", false), TimeLeft: line.Duration("patience", false)}
	line.Float("cost", true)
	e.Memory = line.Float("memory", true)
	e.Concurrency = int(line.Float("lanes", true))
	e.LoadTime = time.Duration(line.Float("load time", true) * float64(time.Millisecond))
	e.Retry = line.Uint("flags", true)&2 != 0
	if err := line.Finish(); err != nil {
		return err
	}
	h.markDirty(in)
	if err := in.Submit(h.now, e); err != nil {
		return fmt.Errorf("request %s: %w", e.ID, err)
	}
	return nil
}

func (h *Adapter) handleSettled(in *gatewayInstance, line *simprotocol.Line) error {
	id := line.Text("request")
	o := scheduler.Outcome{Duration: line.Duration("time", true)}
	note := line.Uint("note", true)
	o.Worker = line.Text("worker")
	o.Final = line.Bool("finished")
	launch := int(line.Uint("attempt", false))
	o.Result = result(line)
	o.Report = loadReport(line)
	if err := line.Finish(); err != nil {
		return err
	}
	if note&7 <= 4 {
		o.ReplicaState = scheduler.ReplicaState(note & 7)
	}
	h.markDirty(in)
	in.CompleteAttempt(h.now, id, launch, o)
	return nil
}

// loadReport decodes a load report.
func loadReport(line *simprotocol.Line) scheduler.LoadReport {
	pairs := line.Pairs("load report")
	waiting, told := pairs["pending"]
	return scheduler.LoadReport{Reported: told, QueueDepth: waiting}
}

// result decodes a code; they stand in the order of the scheduler's outcomes.
func result(line *simprotocol.Line) scheduler.Result {
	outcomes := []string{"OK", "INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED",
		"CANCELLED", "TOO_LATE", "NOT_FOUND"}
	got := line.Text("outcome")
	if i := slices.Index(outcomes, got); i >= 0 {
		return scheduler.Result(i)
	}
	line.Expected("an outcome code, got " + strconv.Quote(got))
	return scheduler.Failed
}

// Send encodes a launch.
func (in *gatewayInstance) Send(e *scheduler.Request, _ int, worker string) {
	in.out.Line("SEND", in.name, e.ID, worker)
}

// Complete has nothing to encode: the simulator conveys an answer itself.
func (in *gatewayInstance) Complete(*scheduler.Request, int) {}

// Reject encodes a refusal.
func (in *gatewayInstance) Reject(e *scheduler.Request, back time.Duration, _ bool) {
	in.out.Line("SAY_NO", in.name, e.ID, back)
}

// Fail encodes a failure.
func (in *gatewayInstance) Fail(e *scheduler.Request, _ int, _ bool) {
	in.out.Line("SURRENDER", in.name, e.ID)
}

// Cancel encodes the end of the wait for a launch.
func (in *gatewayInstance) Cancel(e *scheduler.Request, launch int, _ string) {
	in.out.Line("WITHDRAW", in.name, e.ID, launch)
}

// RequestLoad encodes a load order.
func (in *gatewayInstance) RequestLoad(o scheduler.LoadRequest) {
	in.out.Line("BRING_UP", in.name, o.Worker, o.Function, o.Replicas)
}

// Probe encodes a probe.
func (in *gatewayInstance) Probe(worker string) { in.out.Line("TOUCH", in.name, worker) }

// Subscribe encodes a subscription.
func (in *gatewayInstance) Subscribe() { in.out.Line("WATCH", in.name, 1) }

// SetTimer encodes a timer.
func (in *gatewayInstance) SetTimer(after time.Duration) { in.out.Line("SLEEP", in.name, 1, after) }

// Closed has nothing to encode.
func (in *gatewayInstance) Closed(*scheduler.Request, int, core.CloseReason) {}
