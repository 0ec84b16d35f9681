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

// instance is one front end.
type instance struct {
	*core.Core
	name    string
	out     *simprotocol.Writer
	sized   bool // the list tells sizes
	touched bool
}

// Host runs the instances of one process.
type Host struct {
	in        *simprotocol.Reader
	out       *simprotocol.Writer
	instances map[string]*instance
	touched   []*instance
	now       time.Duration
}

// New makes a Host that reads batches from in and writes replies to out.
func New(in io.Reader, out io.Writer) *Host {
	return &Host{in: simprotocol.NewReader(in), out: simprotocol.NewWriter(out), instances: map[string]*instance{}}
}

// Run answers batches until the input ends.
func (h *Host) Run() error {
	for {
		line, err := h.in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.batch(line); err != nil {
			return err
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

func (h *Host) batch(line *simprotocol.Line) error {
	if line.Word("BATCH") != "BATCH" {
		line.Complain("BATCH with clock and number")
	}
	now := line.Time("clock", false)
	number := line.Whole("batch number", false)
	if err := line.Done(); err != nil {
		return err
	}
	h.now = now
	for {
		line, err := h.next("an event or YOUR_TURN")
		if err != nil {
			return err
		}
		message := line.Word("message")
		if message == "YOUR_TURN" {
			if err := line.Done(); err != nil {
				return err
			}
			break
		}
		if err := h.event(message, line); err != nil {
			return err
		}
	}
	for _, in := range h.touched {
		in.touched = false
		if h.instances[in.name] == in {
			in.Settle(h.now)
		}
	}
	h.touched = h.touched[:0]
	h.out.Line("OK", number)
	return nil
}

func (h *Host) next(expected string) (*simprotocol.Line, error) {
	line, err := h.in.Next()
	if errors.Is(err, io.EOF) {
		return nil, h.in.Ended(expected)
	}
	return line, err
}

// event decodes one line into a call. The second value of every event is its instance.
func (h *Host) event(message string, line *simprotocol.Line) error {
	name := line.Word("instance")
	in := h.instances[name]
	if message != "SPAWN" && in == nil {
		line.Complain("a running instance, got " + strconv.Quote(name))
		return line.Done()
	}
	switch message {
	case "SPAWN":
		in = h.spawn(name, line)
	case "EXIT":
		if line.Done() == nil {
			delete(h.instances, name)
		}
		return line.Done()
	case "MEMBERSHIP":
		return h.membership(in, line)
	case "INCOMING":
		return h.incoming(in, line)
	case "SETTLED":
		return h.settled(in, line)
	case "FIRST":
		line.Word("request")
		line.Whole("attempt", false)
		line.Time("time", false)
		line.Word("worker")
	case "LAPSED":
		if id := line.Word("request"); line.Done() == nil {
			in.ClientGone(h.now, id)
		}
	case "ELAPSED":
		if line.Whole("timer", false); line.Done() == nil {
			in.Woke(h.now)
		}
	case "ECHO":
		h.probed(in, line)
	case "LOAD_RESULT":
		h.loaded(in, line)
	case "NEIGHBOUR_SAYS":
		line.Whole("peer", false)
		line.Word("bytes")
	default:
		line.Complain("a known event, got " + strconv.Quote(message))
	}
	if err := line.Done(); err != nil {
		return err
	}
	h.touch(in)
	return nil
}

// probed decodes the answer to a probe.
func (h *Host) probed(in *instance, line *simprotocol.Line) {
	worker := line.Word("worker")
	took := line.Time("time", true)
	result := outcome(line)
	report := load(line)
	if line.Done() == nil {
		in.Probed(h.now, worker, result, report, took)
	}
}

// loaded decodes the answer to a load request.
func (h *Host) loaded(in *instance, line *simprotocol.Line) {
	request := scheduler.LoadRequest{Worker: line.Word("worker"), Function: line.Whole("function", false)}
	result := outcome(line)
	took := line.Time("time", true)
	request.Replicas = int(line.Whole("copies", true))
	if line.Done() == nil {
		in.Loaded(h.now, request, result, took)
	}
}

func (h *Host) touch(in *instance) {
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, in)
	}
}

func (h *Host) spawn(name string, line *simprotocol.Line) *instance {
	seed := line.Whole("seed", false)
	set := line.Settings("settings")
	in := &instance{name: name, out: h.out, sized: set.Sized()}
	in.Core = core.New(set.Front(seed), in)
	if line.Done() == nil {
		h.instances[name] = in
	}
	return in
}

func (h *Host) membership(in *instance, line *simprotocol.Line) error {
	line.Whole("list version", false)
	kind := line.Word("kind of list")
	n := line.Whole("number of entries", kind == "broken")
	if kind != "patch" && kind != "whole" && kind != "stale_copy" && kind != "broken" {
		line.Complain("patch, whole, stale_copy or broken, got " + strconv.Quote(kind))
	}
	if err := line.Done(); err != nil {
		return err
	}
	var news []scheduler.Member
	for range n {
		line, err := h.next("ENTRY")
		if err != nil {
			return err
		}
		if line.Word("ENTRY") != "ENTRY" {
			line.Complain("ENTRY")
		}
		l := scheduler.Member{Worker: line.Word("worker"), Zone: line.Maybe("zone")}
		l.Kind = line.Maybe("kind")
		l.Cell = line.Maybe("cell")
		switch word := line.Word("condition"); word {
		case "IN":
		case "LAME":
			l.Condition = scheduler.Draining
		case "OUT":
			l.Condition = scheduler.Removed
		default:
			line.Complain("IN, LAME or OUT, got " + strconv.Quote(word))
		}
		if size := line.Number("size", true); in.sized {
			l.Size = size
		}
		l.Started = line.Time("start", true)
		if err := line.Done(); err != nil {
			return err
		}
		news = append(news, l)
	}
	if kind == "broken" {
		in.WatchFailed(h.now)
	} else {
		in.UpdateMembership(h.now, kind != "patch", news)
	}
	h.touch(in)
	return nil
}

func (h *Host) incoming(in *instance, line *simprotocol.Line) error {
	e := &scheduler.Request{ID: line.Word("request"), Type: line.Word("class"), Tenant: line.Maybe("tenant"),
		Function: line.Whole("function", false), TimeLeft: line.Time("patience", false)}
	line.Number("cost", true)
	e.Memory = line.Number("memory", true)
	e.Concurrency = int(line.Number("lanes", true))
	e.LoadTime = time.Duration(line.Number("load time", true) * float64(time.Millisecond))
	e.Retry = line.Whole("flags", true)&2 != 0
	if err := line.Done(); err != nil {
		return err
	}
	h.touch(in)
	if err := in.Submit(h.now, e); err != nil {
		return fmt.Errorf("request %s: %w", e.ID, err)
	}
	return nil
}

func (h *Host) settled(in *instance, line *simprotocol.Line) error {
	id := line.Word("request")
	o := scheduler.Outcome{Took: line.Time("time", true)}
	note := line.Whole("note", true)
	o.Worker = line.Word("worker")
	o.Final = line.Flag("finished")
	launch := int(line.Whole("attempt", false))
	o.Result = outcome(line)
	o.Load = load(line)
	if err := line.Done(); err != nil {
		return err
	}
	if note&7 <= 4 {
		o.Warmth = scheduler.Warmth(note & 7)
	}
	h.touch(in)
	in.Outcome(h.now, id, launch, o)
	return nil
}

// load decodes a load report.
func load(line *simprotocol.Line) scheduler.Load {
	pairs := line.Pairs("load report")
	waiting, told := pairs["pending"]
	return scheduler.Load{Reported: told, QueueDepth: waiting}
}

// outcome decodes a code; they stand in the order of the scheduler's outcomes.
func outcome(line *simprotocol.Line) scheduler.Result {
	outcomes := []string{"OK", "INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED",
		"CANCELLED", "TOO_LATE", "NOT_FOUND"}
	got := line.Word("outcome")
	if i := slices.Index(outcomes, got); i >= 0 {
		return scheduler.Result(i)
	}
	line.Complain("an outcome code, got " + strconv.Quote(got))
	return scheduler.Failed
}

// Send encodes a launch.
func (in *instance) Send(e *scheduler.Request, _ int, worker string) {
	in.out.Line("SEND", in.name, e.ID, worker)
}

// Complete has nothing to encode: the simulator conveys an answer itself.
func (in *instance) Complete(*scheduler.Request, int) {}

// Reject encodes a refusal.
func (in *instance) Reject(e *scheduler.Request, back time.Duration, _ bool) {
	in.out.Line("SAY_NO", in.name, e.ID, back)
}

// Fail encodes a failure.
func (in *instance) Fail(e *scheduler.Request, _ int, _ bool) {
	in.out.Line("SURRENDER", in.name, e.ID)
}

// Cancel encodes the end of the wait for a launch.
func (in *instance) Cancel(e *scheduler.Request, launch int, _ string) {
	in.out.Line("WITHDRAW", in.name, e.ID, launch)
}

// Load encodes a load order.
func (in *instance) Load(o scheduler.LoadRequest) {
	in.out.Line("BRING_UP", in.name, o.Worker, o.Function, o.Replicas)
}

// Probe encodes a probe.
func (in *instance) Probe(worker string) { in.out.Line("TOUCH", in.name, worker) }

// Subscribe encodes a subscription.
func (in *instance) Subscribe() { in.out.Line("WATCH", in.name, 1) }

// Wake encodes a timer.
func (in *instance) Wake(after time.Duration) { in.out.Line("SLEEP", in.name, 1, after) }

// Ended has nothing to encode.
func (in *instance) Ended(*scheduler.Request, int, core.Ending) {}
