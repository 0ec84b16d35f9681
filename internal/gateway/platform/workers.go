package platform

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
	"lupinpond/scheduler"
)

// backend is one life of a worker of the list.
type backend struct {
	*resp.Worker
	addr    string
	born    int64
	stopped atomic.Int64 // when nothing new may go there any more, by the clock of workers; 0: it may
}

// stop has nothing new go there.
func (b *backend) stop(now time.Duration) {
	b.stopped.CompareAndSwap(0, int64(now))
	b.Stop()
}

// resume has new requests go there again.
func (b *backend) resume() {
	b.stopped.Store(0)
	b.Resume()
}

// workers is the way out: requests over RESP, with the list from the journal.
type workers struct {
	pool    *resp.Pool
	cancel  bool   // requests may be given up at workers
	report  string // the field of load reports that tells events waiting; empty: none does
	tags    atomic.Uint64
	grace   time.Duration // within which nothing new goes to a worker that drains or is gone
	monitor *invariant.Monitor
	started time.Time

	mu     sync.Mutex
	listed map[string]*backend // as the journal has told it
	// as the core knows it: what the core decides is for the worker that it has in mind, not for one that has taken its name
	// since
	adopted map[string]*backend
}

func (w *workers) now() time.Duration { return time.Since(w.started) + 1 }

// news follows one event of the journal, before the owner hears of it: what waits to be written must not leave after the
// grace, even where the owner stands still. adopt is to be called when the core has heard of the event.
func (w *workers) news(e discovery.Event) (adopt func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	named, changed := map[string]bool{}, map[string]*backend{}
	for _, l := range e.List.Workers {
		named[l.Name] = true
		w.follow(l)
		changed[l.Name] = w.listed[l.Name]
	}
	for name, b := range w.listed {
		if e.List.Whole && !named[name] {
			b.stop(w.now())
			delete(w.listed, name)
			changed[name] = nil
		}
	}
	return func() { w.adopt(changed) }
}

// follow follows one line of the list; the lock is held.
func (w *workers) follow(l discovery.Worker) {
	b := w.listed[l.Name]
	if b != nil && l.State != discovery.Removed && (b.addr != l.Addr || b.born != l.Born) { // another life, perhaps elsewhere
		b.stop(w.now())
		delete(w.listed, l.Name)
		b = nil
	}
	switch {
	case l.State == discovery.Up && b == nil:
		w.listed[l.Name] = &backend{Worker: w.pool.Worker(l.Addr), addr: l.Addr, born: l.Born}
	case l.State == discovery.Up:
		b.resume()
	case b != nil:
		b.stop(w.now())
		if l.State == discovery.Removed {
			delete(w.listed, l.Name)
		}
	}
}

// adopt has what the core decides from now on go to these; nil: the worker is gone.
func (w *workers) adopt(changed map[string]*backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, b := range changed {
		if b == nil {
			delete(w.adopted, name)
		} else {
			w.adopted[name] = b
		}
	}
}

// find finds the worker that the core has in mind.
func (w *workers) find(name string) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.adopted[name]
}

// checkLife checks that the worker that was found for an attempt is the one that the core has in mind.
func (w *workers) checkLife(request, name string, b *backend) {
	w.mu.Lock()
	chosen := w.adopted[name]
	w.mu.Unlock()
	if b != chosen {
		w.monitor.Violated(invariant.AttemptToOtherIncarnation, request, "worker", name, "address", b.addr, "born", b.born)
	}
}

// checkDrained checks that an attempt that has left did not go to a worker that has drained for too long.
func (w *workers) checkDrained(request, name string, b *backend) {
	if stopped := time.Duration(b.stopped.Load()); stopped != 0 && w.now() > stopped+w.grace {
		w.monitor.Violated(invariant.AttemptToDrainedWorker, request, "worker", name, "later", w.now()-stopped)
	}
}

// sent is what is under way at a worker, and the words that give it up there; none: an order stands, a probe is over.
type sent struct {
	*resp.Call
	kill []byte
}

// Cancel gives it up.
func (s sent) Cancel() { s.Call.Recall(s.kill) }

// Send sends an attempt to a worker.
func (w *workers) Send(e *gateway.Request, _ int, worker string, departure *gateway.SendPermit, done func(scheduler.Outcome, []byte)) gateway.Canceller {
	b := w.find(worker)
	if b == nil {
		done(scheduler.Outcome{Result: scheduler.Unreachable}, nil)
		return nil
	}
	id := e.Scheduled.ID
	w.checkLife(id, worker, b)
	var kill []byte
	if w.cancel {
		kill = resp.Append(nil, "KILL", id)
	}
	message := resp.Message{Within: mostWriting,
		Compose: func() []byte {
			left, leaves := departure.TimeLeft()
			if !leaves {
				return nil
			}
			return spellRequest(e, left)
		},
		Written: func() {
			departure.Written()
			w.checkDrained(id, worker, b)
		}}
	return sent{b.Call(id, message, true, func(a resp.Answer) { done(w.outcome(a)) }), kill}
}

// spellRequest spells a request with the time that its client has left.
func spellRequest(e *gateway.Request, left time.Duration) []byte {
	fields := "class=" + e.Scheduled.Type + ",key=" + spell(e.Scheduled.Function) + ",wait=" + strconv.FormatInt(max(1, left.Milliseconds()), 10)
	if e.Call.IdempotencyKey != "" {
		fields += ",once=" + e.Call.IdempotencyKey
	}
	return resp.Append(make([]byte, 0, mostFields+len(e.Body)), "FN", e.Scheduled.ID, fields, string(e.Body))
}

// mostFields is room for all of a request but its body.
const mostFields = 160

// outcome is how a launch ended, and its answer.
func (w *workers) outcome(a resp.Answer) (o scheduler.Outcome, body []byte) {
	switch a.Fate {
	case resp.Unsent:
		return scheduler.Outcome{Result: scheduler.Unreachable}, nil
	case resp.Withheld:
		return scheduler.Outcome{Result: scheduler.Withheld}, nil
	case resp.Broken:
		return scheduler.Outcome{Result: scheduler.ConnectionLost}, nil
	case resp.GivenUp:
		return scheduler.Outcome{Result: scheduler.Cancelled}, nil
	}
	if len(a.Words) != 3 { // the request has run, and what came of it can't be told
		return scheduler.Outcome{Result: scheduler.ConnectionLost}, nil
	}
	fields := resp.Pairs(string(a.Words[1]))
	o.Report = w.load(fields["stats"])
	switch fields["how"] {
	case "ready":
		o.ReplicaState = scheduler.ReplicaWarm
	case "loaded":
		o.ReplicaState = scheduler.ReplicaLoadStarted
	case "queued":
		o.ReplicaState = scheduler.ReplicaLoadJoined
	case "no_image":
		o.ReplicaState = scheduler.ReplicaLoadFailed
	}
	switch string(a.Words[0]) {
	case "ok":
		o.Result, body = scheduler.Completed, bytes.Clone(a.Words[2])
	case "nothing":
		o.Result = scheduler.NotFound
	case "refused":
		o.Result = scheduler.Full
	case "stale":
		o.Result = scheduler.Withheld
	case "error":
		o.Result = scheduler.Failed
	default:
		o.Result = scheduler.ConnectionLost
	}
	return o, body
}

// Load sends a load order.
func (w *workers) Load(o scheduler.LoadRequest, done func(copies int, r scheduler.Result)) gateway.Canceller {
	b := w.find(o.Worker)
	if b == nil {
		done(o.Replicas, scheduler.Unreachable)
		return nil
	}
	tag := w.tag()
	frame := resp.Append(nil, "SPAWN", tag, "key="+spell(o.Function)+",n="+strconv.Itoa(o.Replicas))
	return sent{b.Call(tag, resp.Fixed(frame), false, func(a resp.Answer) {
		switch {
		case a.Fate == resp.Unsent:
			done(o.Replicas, scheduler.Unreachable)
			return
		case a.Fate != resp.Answered || len(a.Words) < 2:
			done(o.Replicas, scheduler.ConnectionLost)
			return
		}
		copies, err := strconv.Atoi(resp.Pairs(string(a.Words[1]))["n"])
		result := scheduler.ConnectionLost
		switch string(a.Words[0]) {
		case "ok":
			result = scheduler.Completed
			if err != nil {
				copies = o.Replicas
			}
		case "refused":
			result = scheduler.Full
		case "error":
			result = scheduler.Failed
		}
		done(max(0, copies), result)
	}), nil}
}

// Probe asks a worker for a report.
func (w *workers) Probe(worker string, done func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	b := w.find(worker)
	if b == nil {
		done(scheduler.Unreachable, scheduler.LoadReport{})
		return nil
	}
	tag := w.tag()
	return sent{b.Call(tag, resp.Fixed(resp.Append(nil, "TOP", tag)), false, func(a resp.Answer) {
		switch {
		case a.Fate == resp.Unsent:
			done(scheduler.Unreachable, scheduler.LoadReport{})
		case a.Fate != resp.Answered || len(a.Words) < 1:
			done(scheduler.ConnectionLost, scheduler.LoadReport{})
		case string(a.Words[0]) == "yes":
			load := scheduler.LoadReport{}
			if len(a.Words) > 1 {
				load = w.load(resp.Pairs(string(a.Words[1]))["stats"])
			}
			done(scheduler.Completed, load)
		case string(a.Words[0]) == "no":
			done(scheduler.Full, scheduler.LoadReport{})
		default:
			done(scheduler.Failed, scheduler.LoadReport{})
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
func (w *workers) load(text string) scheduler.LoadReport {
	if text == "" || w.report == "" {
		return scheduler.LoadReport{}
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if name != w.report {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		return scheduler.LoadReport{Reported: err == nil, QueueDepth: n}
	}
	return scheduler.LoadReport{}
}
