package platform

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/choice"
	"lupinpond/internal/feed"
	"lupinpond/internal/gate"
	"lupinpond/internal/resp"
)

// backend is a worker of the list.
type backend struct {
	*resp.Worker
	addr string
	born int64
}

// workers is the way out: requests over RESP, with the list from the journal.
type workers struct {
	pool   *resp.Pool
	cancel bool   // requests may be given up at workers
	report string // the field of load reports that tells events waiting; empty: none does
	tags   atomic.Uint64

	mu   sync.Mutex
	list map[string]*backend
}

// news follows one event of the journal, before the owner hears of it: what waits to be written must not leave after the
// grace, even where the owner stands still.
func (w *workers) news(e feed.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	named := map[string]bool{}
	for _, l := range e.List.Workers {
		named[l.Name] = true
		b := w.list[l.Name]
		if b != nil && l.State != feed.Removed && (b.addr != l.Addr || b.born != l.Born) { // another life, perhaps elsewhere
			b.Stop()
			b = nil
		}
		switch {
		case l.State == feed.Up && b == nil:
			w.list[l.Name] = &backend{Worker: w.pool.Worker(l.Addr), addr: l.Addr, born: l.Born}
		case l.State == feed.Up:
			b.Resume()
		case b != nil:
			b.Stop()
			if l.State == feed.Removed {
				delete(w.list, l.Name)
			}
		}
	}
	for name, b := range w.list {
		if e.List.Whole && !named[name] {
			b.Stop()
			delete(w.list, name)
		}
	}
}

func (w *workers) find(name string) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list[name]
}

// sent is what is under way at a worker, and the words that give it up there; none: an order stands, a probe is over.
type sent struct {
	*resp.Call
	kill []byte
}

// Recall gives it up.
func (s sent) Recall() { s.Call.Recall(s.kill) }

// Send sends a launch to a worker.
func (w *workers) Send(e *gate.Request, _ int, worker string, left time.Duration, done func(choice.Outcome, []byte)) gate.Sent {
	b := w.find(worker)
	if b == nil {
		done(choice.Outcome{Result: choice.Unreached}, nil)
		return nil
	}
	id := e.Fact.ID
	fields := "class=" + e.Fact.Type + ",key=" + spell(e.Fact.Function) + ",wait=" + strconv.FormatInt(max(1, left.Milliseconds()), 10)
	if e.Call.Key != "" {
		fields += ",once=" + e.Call.Key
	}
	var kill []byte
	if w.cancel {
		kill = resp.Append(nil, "KILL", id)
	}
	frame := resp.Append(make([]byte, 0, 160+len(e.Body)), "FN", id, fields, string(e.Body))
	return sent{b.Call(id, frame, true, func(a resp.Answer) { done(w.outcome(a)) }), kill}
}

// outcome is how a launch ended, and its answer.
func (w *workers) outcome(a resp.Answer) (o choice.Outcome, body []byte) {
	switch a.Fate {
	case resp.Unsent:
		return choice.Outcome{Result: choice.Unreached}, nil
	case resp.Broken:
		return choice.Outcome{Result: choice.Broken}, nil
	case resp.GivenUp:
		return choice.Outcome{Result: choice.Cancelled}, nil
	}
	if len(a.Words) != 3 { // the request has run, and what came of it can't be told
		return choice.Outcome{Result: choice.Broken}, nil
	}
	fields := pairs(string(a.Words[1]))
	o.Load = w.load(fields["stats"])
	switch fields["how"] {
	case "ready":
		o.Warmth = choice.FoundWarm
	case "loaded":
		o.Warmth = choice.BeganLoad
	case "queued":
		o.Warmth = choice.AwaitedLoad
	case "no_image":
		o.Warmth = choice.LoadFailed
	}
	switch string(a.Words[0]) {
	case "ok":
		o.Result, body = choice.Completed, bytes.Clone(a.Words[2])
	case "nothing":
		o.Result = choice.Missing
	case "refused":
		o.Result = choice.Full
	case "stale":
		o.Result = choice.TooLate
	case "error":
		o.Result = choice.Failed
	default:
		o.Result = choice.Broken
	}
	return o, body
}

// Load sends a load order.
func (w *workers) Load(o choice.LoadRequest, done func(copies int, r choice.Result)) gate.Sent {
	b := w.find(o.Worker)
	if b == nil {
		done(o.Replicas, choice.Unreached)
		return nil
	}
	tag := w.tag()
	frame := resp.Append(nil, "SPAWN", tag, "key="+spell(o.Function)+",n="+strconv.Itoa(o.Replicas))
	return sent{b.Call(tag, frame, false, func(a resp.Answer) {
		switch {
		case a.Fate == resp.Unsent:
			done(o.Replicas, choice.Unreached)
			return
		case a.Fate != resp.Answered || len(a.Words) < 2:
			done(o.Replicas, choice.Broken)
			return
		}
		copies, err := strconv.Atoi(pairs(string(a.Words[1]))["n"])
		result := choice.Broken
		switch string(a.Words[0]) {
		case "ok":
			result = choice.Completed
			if err != nil {
				copies = o.Replicas
			}
		case "refused":
			result = choice.Full
		case "error":
			result = choice.Failed
		}
		done(max(0, copies), result)
	}), nil}
}

// Probe asks a worker for a report.
func (w *workers) Probe(worker string, done func(choice.Result, choice.Load)) gate.Sent {
	b := w.find(worker)
	if b == nil {
		done(choice.Unreached, choice.Load{})
		return nil
	}
	tag := w.tag()
	return sent{b.Call(tag, resp.Append(nil, "TOP", tag), false, func(a resp.Answer) {
		switch {
		case a.Fate == resp.Unsent:
			done(choice.Unreached, choice.Load{})
		case a.Fate != resp.Answered || len(a.Words) < 1:
			done(choice.Broken, choice.Load{})
		case string(a.Words[0]) == "yes":
			load := choice.Load{}
			if len(a.Words) > 1 {
				load = w.load(pairs(string(a.Words[1]))["stats"])
			}
			done(choice.Completed, load)
		case string(a.Words[0]) == "no":
			done(choice.Full, choice.Load{})
		default:
			done(choice.Failed, choice.Load{})
		}
	}), nil}
}

// Subscribe is not needed: the journal is followed all the time.
func (w *workers) Subscribe() {}

func (w *workers) tag() string { return "t" + strconv.FormatUint(w.tags.Add(1), 10) }

func spell(function uint64) string {
	return fmt.Sprintf("%016x", function)
}

// load reads a load report.
func (w *workers) load(text string) choice.Load {
	if text == "" || w.report == "" {
		return choice.Load{}
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if name != w.report {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		return choice.Load{Reported: err == nil, QueueDepth: n}
	}
	return choice.Load{}
}

// pairs reads name=value pairs; the wire writes none as a dash.
func pairs(text string) map[string]string {
	m := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		if name, value, found := strings.Cut(part, "="); found {
			m[name] = value
		}
	}
	return m
}
