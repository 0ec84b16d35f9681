// Package simhost runs instances of the decision module on the simulator's wire: it decodes lines into
// calls, encodes answers into lines, and keeps the timers and the events in hand. It decides nothing.
package simhost

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"lupinpond/choice"
	"lupinpond/internal/simwire"
)

// instance is one front end.
type instance struct {
	name    string
	chooser *choice.Chooser
	events  map[string]*choice.Event
	wakes   []time.Duration // timers set and still to come, the earliest last
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
			h.steps(in)
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
		if e := in.events[line.Word("request")]; e != nil && line.Done() == nil {
			in.chooser.Left(e)
			in.drop(e, true)
		}
	case "ELAPSED":
		line.Whole("timer", false)
		for len(in.wakes) > 0 && in.wakes[len(in.wakes)-1] <= h.now {
			in.wakes = in.wakes[:len(in.wakes)-1]
		}
	case "ECHO":
		worker := line.Word("worker")
		line.Time("time", true)
		result := outcome(line)
		report := load(line)
		if line.Done() == nil {
			in.chooser.Probed(h.now, worker, result, report)
		}
	case "LOAD_RESULT":
		order := choice.Order{Worker: line.Word("worker"), Function: line.Whole("function", false)}
		result := outcome(line)
		took := line.Time("time", true)
		order.Copies = int(line.Whole("copies", true))
		if line.Done() == nil {
			in.chooser.Loaded(h.now, order, result, took)
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
	c := choice.New(seed, int(set.Number("index", 0)), int(set.Number("instances", 1)), set.Time("quantum", 0))
	in := &instance{name: name, chooser: c, events: map[string]*choice.Event{}}
	for i := range int(set.Number("request_classes.count", 0)) {
		at := "request_classes." + strconv.Itoa(i) + "."
		age := set.Time(at+"give_up", 0)
		c.AddType(choice.EventType{Name: set[at+"name"], Effect: effect(set[at+"effect"]),
			Group: group(set[at+"dedup_scope"]), Window: set.Time(at+"window", 0),
			Target: set.Time(at+"aim", age)})
	}
	for i := range int(set.Number("orgs.count", 0)) {
		at := "orgs." + strconv.Itoa(i) + "."
		c.AddTenant(set[at+"name"], set.Number(at+"quota_per_s", 0))
	}
	back := time.Duration(0)
	if set.Flag("policy_limits.retry_after", false) {
		back = set.Time("policy_limits.max_retry_after", 0)
	}
	c.Allowed(int(set.Number("policy_limits.send_cap", 1)), set.Flag("policy_limits.cancel", false),
		set.Flag("policy_limits.probing", false), back)
	c.Loading(set.Flag("family_info.orders", false), set["family_info.miss_mode"] != "miss",
		set.Time("family_info.keep", 0), set.Time("family_info.order_limit", 0),
		set.Time("family_info.loads_within", 0), set.Number("family_info.loads_anyway", 0),
		set.Number("family_info.load_part", 0))
	c.ColdStarts(set.Number("rules.cold_from", 0), set.Time("rules.warm_after", 0),
		set.Number("rules.fall_multiple", 0), set.Time("rules.fall", 0))
	if set["registry_mode"] == "ask" {
		c.Asking(set.Time("rules.must_ask_in", 0))
	}
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
		line.Word("kind")
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
		line.Number("size", true)
		l.Started = line.Time("start", true)
		if err := line.Done(); err != nil {
			return err
		}
		news = append(news, l)
	}
	if kind == "broken" {
		in.chooser.ListFailed(h.now)
	} else {
		in.chooser.Listed(h.now, kind != "patch", news)
	}
	h.touch(in)
	return nil
}

func (h *Host) incoming(in *instance, line *simwire.Line) error {
	e := &choice.Event{ID: line.Word("request"), Type: line.Word("class"), Tenant: line.Maybe("tenant"),
		Function: line.Whole("function", false), Patience: line.Time("patience", false)}
	line.Number("cost", true)
	line.Number("memory", true)
	e.Lanes = int(line.Number("lanes", true))
	e.LoadTime = time.Duration(line.Number("load time", true) * float64(time.Millisecond))
	e.Repeat = line.Whole("flags", true)&2 != 0
	if err := line.Done(); err != nil {
		return err
	}
	in.events[e.ID] = e
	h.touch(in)
	h.answer(in, in.chooser.Place(h.now, e))
	return nil
}

func (h *Host) settled(in *instance, line *simwire.Line) error {
	e := in.events[line.Word("request")]
	o := choice.Outcome{Took: line.Time("time", true)}
	note := line.Whole("note", true)
	o.Worker = line.Word("worker")
	o.Final = line.Flag("finished")
	line.Whole("attempt", false)
	o.Result = outcome(line)
	o.Load = load(line)
	if err := line.Done(); err != nil {
		return err
	}
	if note&7 <= 4 {
		o.Warmth = choice.Warmth(note & 7)
	}
	h.touch(in)
	if e != nil {
		answer := in.chooser.After(h.now, e, o)
		in.drop(e, o.Final)
		h.answer(in, answer)
	}
	return nil
}

// load decodes a load report.
func load(line *simwire.Line) choice.Load {
	pairs := line.Pairs("load report")
	waiting, told := pairs["pending"]
	return choice.Load{Told: told, Waiting: waiting, Busy: pairs["cpu_share"]}
}

// drop forgets an event once it has ended and no launch is outstanding.
func (in *instance) drop(e *choice.Event, ended bool) {
	if ended && !e.Outstanding() {
		delete(in.events, e.ID)
	}
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

// answer encodes what is to be done with one event.
func (h *Host) answer(in *instance, a choice.Answer) {
	switch a.Verb {
	case choice.Launch:
		h.out.Line("SEND", in.name, a.Event.ID, a.Worker)
	case choice.Defer:
		h.out.Line("SAY_NO", in.name, a.Event.ID, a.Back)
		in.drop(a.Event, true)
	case choice.Withdraw:
		h.out.Line("WITHDRAW", in.name, a.Event.ID, a.Launch)
	case choice.DeadLetter:
		h.out.Line("SURRENDER", in.name, a.Event.ID)
		in.drop(a.Event, true)
	}
}

// steps does what is due and sets a timer where none comes early enough.
func (h *Host) steps(in *instance) {
	steps := in.chooser.Wait(h.now)
	if steps.Ask {
		h.out.Line("WATCH", in.name, 1)
	}
	for _, a := range steps.Answers {
		h.answer(in, a)
	}
	for _, worker := range steps.Probes {
		h.out.Line("TOUCH", in.name, worker)
	}
	for _, o := range steps.Orders {
		h.out.Line("BRING_UP", in.name, o.Worker, o.Function, o.Copies)
	}
	if steps.Next > 0 {
		at := h.now + steps.Next
		if n := len(in.wakes); n == 0 || at < in.wakes[n-1] {
			in.wakes = append(in.wakes, at)
			h.out.Line("SLEEP", in.name, 1, steps.Next)
		}
	}
}
