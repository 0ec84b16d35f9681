// Package simhost runs front ends on the simulator's wire: it decodes lines into calls to a core for each, and
// encodes what the core does into lines. It decides nothing and keeps nothing else.
package simhost

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"lupinpond/choice"
	"lupinpond/internal/core"
	"lupinpond/internal/simwire"
)

// instance is one front end.
type instance struct {
	*core.Core
	name    string
	out     *simwire.Writer
	sized   bool // the list tells sizes
	touched bool
}

// Host runs the instances of one process.
type Host struct {
	in        *simwire.Reader
	out       *simwire.Writer
	instances map[string]*instance
	touched   []*instance
	now       time.Duration
}

// New makes a Host that reads batches from in and writes replies to out.
func New(in io.Reader, out io.Writer) *Host {
	return &Host{in: simwire.NewReader(in), out: simwire.NewWriter(out), instances: map[string]*instance{}}
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

func (h *Host) batch(line *simwire.Line) error {
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

func (h *Host) next(expected string) (*simwire.Line, error) {
	line, err := h.in.Next()
	if errors.Is(err, io.EOF) {
		return nil, h.in.Ended(expected)
	}
	return line, err
}

// event decodes one line into a call. The second value of every event is its instance.
func (h *Host) event(message string, line *simwire.Line) error {
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
			in.Left(h.now, id)
		}
	case "ELAPSED":
		if line.Whole("timer", false); line.Done() == nil {
			in.Woke(h.now)
		}
	case "ECHO":
		worker := line.Word("worker")
		took := line.Time("time", true)
		result := outcome(line)
		report := load(line)
		if line.Done() == nil {
			in.Probed(h.now, worker, result, report, took)
		}
	case "LOAD_RESULT":
		order := choice.Order{Worker: line.Word("worker"), Function: line.Whole("function", false)}
		result := outcome(line)
		took := line.Time("time", true)
		order.Copies = int(line.Whole("copies", true))
		if line.Done() == nil {
			in.Loaded(h.now, order, result, took)
		}
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

func (h *Host) touch(in *instance) {
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, in)
	}
}

func (h *Host) spawn(name string, line *simwire.Line) *instance {
	seed := line.Whole("seed", false)
	set := line.NewPaths("settings")
	f := core.Front{Seed: seed, Self: int(set.Number("index", 0)), Peers: int(set.Number("instances", 1)),
		Quantum: set.Time("quantum", 0)}
	for i := range int(set.Number("request_classes.count", 0)) {
		at := "request_classes." + strconv.Itoa(i) + "."
		age := set.Time(at+"give_up", 0)
		f.Types = append(f.Types, choice.EventType{Name: set[at+"name"], Effect: effect(set[at+"effect"]),
			Group: group(set[at+"dedup_scope"]), Window: set.Time(at+"window", 0),
			Target: set.Time(at+"aim", age)})
	}
	for i := range int(set.Number("orgs.count", 0)) {
		at := "orgs." + strconv.Itoa(i) + "."
		f.Tenants = append(f.Tenants, core.Tenant{Name: set[at+"name"], Quota: set.Number(at+"quota_per_s", 0)})
	}
	if set.Number("prices.cross_zone", 0) > 0 {
		f.Zone = set["locality"]
	}
	kinds, memory := strings.Split(set["kinds"], ","), strings.Split(set["family_info.machine_mb"], ",")
	for i := range min(len(kinds), len(memory)) {
		mb, _ := strconv.ParseFloat(memory[i], 64) // what is no number is not believed
		f.Kinds = append(f.Kinds, core.Kind{Name: kinds[i], Memory: mb})
	}
	if set.Flag("policy_limits.retry_after", false) {
		f.MostBack = set.Time("policy_limits.max_retry_after", 0)
	}
	f.Launches = int(set.Number("policy_limits.send_cap", 1))
	f.Cancel, f.Probe = set.Flag("policy_limits.cancel", false), set.Flag("policy_limits.probing", false)
	f.Loading = core.Loading{Orders: set.Flag("family_info.orders", false),
		OnMiss: set["family_info.miss_mode"] != "miss", Keep: set.Time("family_info.keep", 0),
		Limit: set.Time("family_info.order_limit", 0), Within: set.Time("family_info.loads_within", 0),
		Free: set.Number("family_info.loads_anyway", 0), Share: set.Number("family_info.load_part", 0)}
	f.ColdStarts = core.ColdStarts{From: set.Number("rules.cold_from", 0),
		WarmAfter: set.Time("rules.warm_after", 0), Multiple: set.Number("rules.fall_multiple", 0),
		Fall: set.Time("rules.fall", 0)}
	if set["registry_mode"] == "ask" {
		f.AskWithin = max(set.Time("rules.must_ask_in", 0), 1)
	}
	in := &instance{name: name, out: h.out,
		sized: set["weight_source"] == "nominal" || set["weight_source"] == "rough"}
	in.Core = core.New(f, in)
	if line.Done() == nil {
		h.instances[name] = in
	}
	return in
}

func effect(word string) choice.Effect {
	switch word {
	case "pure":
		return choice.Redeliverable
	case "token":
		return choice.Keyed
	}
	return choice.AtMostOnce
}

func group(word string) choice.Group {
	switch word {
	case "all":
		return choice.GroupAll
	case "zone":
		return choice.GroupZone
	}
	return choice.GroupCell
}

func (h *Host) membership(in *instance, line *simwire.Line) error {
	line.Whole("list version", false)
	kind := line.Word("kind of list")
	n := line.Whole("number of entries", kind == "broken")
	if kind != "patch" && kind != "whole" && kind != "stale_copy" && kind != "broken" {
		line.Complain("patch, whole, stale_copy or broken, got " + strconv.Quote(kind))
	}
	if err := line.Done(); err != nil {
		return err
	}
	var news []choice.Listing
	for range n {
		line, err := h.next("ENTRY")
		if err != nil {
			return err
		}
		if line.Word("ENTRY") != "ENTRY" {
			line.Complain("ENTRY")
		}
		l := choice.Listing{Worker: line.Word("worker"), Zone: line.Maybe("zone")}
		l.Kind = line.Maybe("kind")
		l.Cell = line.Maybe("cell")
		switch word := line.Word("condition"); word {
		case "IN":
		case "LAME":
			l.Condition = choice.Draining
		case "OUT":
			l.Condition = choice.Gone
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
		in.ListFailed(h.now)
	} else {
		in.Listed(h.now, kind != "patch", news)
	}
	h.touch(in)
	return nil
}

func (h *Host) incoming(in *instance, line *simwire.Line) error {
	e := &choice.Event{ID: line.Word("request"), Type: line.Word("class"), Tenant: line.Maybe("tenant"),
		Function: line.Whole("function", false), Patience: line.Time("patience", false)}
	line.Number("cost", true)
	e.Memory = line.Number("memory", true)
	e.Lanes = int(line.Number("lanes", true))
	e.LoadTime = time.Duration(line.Number("load time", true) * float64(time.Millisecond))
	e.Repeat = line.Whole("flags", true)&2 != 0
	if err := line.Done(); err != nil {
		return err
	}
	h.touch(in)
	if err := in.Came(h.now, e); err != nil {
		return fmt.Errorf("request %s: %w", e.ID, err)
	}
	return nil
}

func (h *Host) settled(in *instance, line *simwire.Line) error {
	id := line.Word("request")
	o := choice.Outcome{Took: line.Time("time", true)}
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
		o.Warmth = choice.Warmth(note & 7)
	}
	h.touch(in)
	in.Outcome(h.now, id, launch, o)
	return nil
}

// load decodes a load report.
func load(line *simwire.Line) choice.Load {
	pairs := line.Pairs("load report")
	waiting, told := pairs["pending"]
	return choice.Load{Told: told, Waiting: waiting}
}

// outcome decodes a code; they stand in the order of choice's results.
func outcome(line *simwire.Line) choice.Result {
	outcomes := []string{"OK", "INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED",
		"CANCELLED", "TOO_LATE", "NOT_FOUND"}
	got := line.Word("outcome")
	if i := slices.Index(outcomes, got); i >= 0 {
		return choice.Result(i)
	}
	line.Complain("an outcome code, got " + strconv.Quote(got))
	return choice.Failed
}

// Launch encodes a launch.
func (in *instance) Launch(e *choice.Event, _ int, worker string) {
	in.out.Line("SEND", in.name, e.ID, worker)
}

// Handle has nothing to encode: the simulator conveys an answer itself.
func (in *instance) Handle(*choice.Event, int) {}

// Defer encodes a refusal.
func (in *instance) Defer(e *choice.Event, back time.Duration, _ bool) {
	in.out.Line("SAY_NO", in.name, e.ID, back)
}

// DeadLetter encodes a failure.
func (in *instance) DeadLetter(e *choice.Event, _ int, _ bool) {
	in.out.Line("SURRENDER", in.name, e.ID)
}

// Withdraw encodes the end of the wait for a launch.
func (in *instance) Withdraw(e *choice.Event, launch int, _ string) {
	in.out.Line("WITHDRAW", in.name, e.ID, launch)
}

// Order encodes a load order.
func (in *instance) Order(o choice.Order) {
	in.out.Line("BRING_UP", in.name, o.Worker, o.Function, o.Copies)
}

// Probe encodes a probe.
func (in *instance) Probe(worker string) { in.out.Line("TOUCH", in.name, worker) }

// Ask encodes a subscription.
func (in *instance) Ask() { in.out.Line("WATCH", in.name, 1) }

// Wake encodes a timer.
func (in *instance) Wake(after time.Duration) { in.out.Line("SLEEP", in.name, 1, after) }

// Ended has nothing to encode.
func (in *instance) Ended(*choice.Event, int, core.Ending) {}
