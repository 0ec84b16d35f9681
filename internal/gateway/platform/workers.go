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
	addr             string
	startedUnixMilli int64
	stoppedAt        atomic.Int64 // when nothing new may go there any more, by the clock of workers; 0: it may
}

// stop has nothing new go there.
func (b *backend) stop(now time.Duration) {
	b.stoppedAt.CompareAndSwap(0, int64(now))
	b.Stop()
}

// resume has new requests go there again.
func (b *backend) resume() {
	b.stoppedAt.Store(0)
	b.Resume()
}

// workerTransport is the way out: requests over RESP, with the list from the journal.
type workerTransport struct {
	pool        *resp.Pool
	canCancel   bool   // requests may be given up at workers
	reportField string // the field of load reports that tells events waiting; empty: none does
	lastTag     atomic.Uint64
	drainGrace  time.Duration // within which nothing new goes to a worker that drains or is gone
	monitor     *invariant.Monitor
	startedAt   time.Time

	mu     sync.Mutex
	listed map[string]*backend // as the journal has told it
	// as the core knows it: what the core decides is for the worker that it has in mind, not for one that has taken its name
	// since
	applied map[string]*backend
}

func (w *workerTransport) now() time.Duration { return time.Since(w.startedAt) + 1 }

// update follows one event of the journal, before the owner hears of it: what waits to be written must not leave after the
// grace, even where the owner stands still. adopt is to be called when the core has heard of the event.
func (w *workerTransport) update(e discovery.Event) (adopt func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	named, changed := map[string]bool{}, map[string]*backend{}
	for _, l := range e.Update.Endpoints {
		named[l.Name] = true
		w.updateEndpoint(l)
		changed[l.Name] = w.listed[l.Name]
	}
	for name, b := range w.listed {
		if e.Update.Complete && !named[name] {
			b.stop(w.now())
			delete(w.listed, name)
			changed[name] = nil
		}
	}
	return func() { w.apply(changed) }
}

// updateEndpoint follows one line of the list; the lock is held.
func (w *workerTransport) updateEndpoint(l discovery.Endpoint) {
	b := w.listed[l.Name]
	if b != nil && l.State != discovery.Removed && (b.addr != l.Addr || b.startedUnixMilli != l.StartedUnixMilli) { // another life, perhaps elsewhere
		b.stop(w.now())
		delete(w.listed, l.Name)
		b = nil
	}
	switch {
	case l.State == discovery.Up && b == nil:
		w.listed[l.Name] = &backend{Worker: w.pool.Worker(l.Addr), addr: l.Addr, startedUnixMilli: l.StartedUnixMilli}
	case l.State == discovery.Up:
		b.resume()
	case b != nil:
		b.stop(w.now())
		if l.State == discovery.Removed {
			delete(w.listed, l.Name)
		}
	}
}

// apply has what the core decides from now on go to these; nil: the worker is gone.
func (w *workerTransport) apply(changed map[string]*backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, b := range changed {
		if b == nil {
			delete(w.applied, name)
		} else {
			w.applied[name] = b
		}
	}
}

// lookup finds the worker that the core has in mind.
func (w *workerTransport) lookup(name string) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applied[name]
}

// checkIncarnation checks that the worker that was found for an attempt is the one that the core has in mind.
func (w *workerTransport) checkIncarnation(request, name string, b *backend) {
	w.mu.Lock()
	chosen := w.applied[name]
	w.mu.Unlock()
	if b != chosen {
		w.monitor.Violated(invariant.AttemptToOtherIncarnation, request, "worker", name, "address", b.addr, "born", b.startedUnixMilli)
	}
}

// checkDrained checks that an attempt that has left did not go to a worker that has drained for too long.
func (w *workerTransport) checkDrained(request, name string, b *backend) {
	if stopped := time.Duration(b.stoppedAt.Load()); stopped != 0 && w.now() > stopped+w.drainGrace {
		w.monitor.Violated(invariant.AttemptToDrainedWorker, request, "worker", name, "later", w.now()-stopped)
	}
}

// cancellableCall is what is under way at a worker, and the words that give it up there; none: an order stands, a probe is over.
type cancellableCall struct {
	*resp.Call
	cancelCommand []byte
}

// Cancel gives it up.
func (s cancellableCall) Cancel() { s.Call.Cancel(s.cancelCommand) }

// Send sends an attempt to a worker.
func (w *workerTransport) Send(e *gateway.Request, _ int, worker string, departure *gateway.SendPermit, done func(scheduler.Outcome, []byte)) gateway.Canceller {
	b := w.lookup(worker)
	if b == nil {
		done(scheduler.Outcome{Result: scheduler.Unreachable}, nil)
		return nil
	}
	id := e.Scheduled.ID
	w.checkIncarnation(id, worker, b)
	var kill []byte
	if w.canCancel {
		kill = resp.AppendArray(nil, "KILL", id)
	}
	message := resp.Message{WriteTimeout: maxWriteTime,
		Encode: func() []byte {
			left, leaves := departure.TimeLeft()
			if !leaves {
				return nil
			}
			return encodeRequest(e, left)
		},
		OnWritten: func() {
			departure.Written()
			w.checkDrained(id, worker, b)
		}}
	return cancellableCall{b.Call(id, message, true, func(a resp.Result) { done(w.parseOutcome(a)) }), kill}
}

// encodeRequest spells a request with the time that its client has left.
func encodeRequest(e *gateway.Request, left time.Duration) []byte {
	fields := "class=" + e.Scheduled.Type + ",key=" + formatFunction(e.Scheduled.Function) + ",wait=" + strconv.FormatInt(max(1, left.Milliseconds()), 10)
	if e.Call.IdempotencyKey != "" {
		fields += ",once=" + e.Call.IdempotencyKey
	}
	return resp.AppendArray(make([]byte, 0, requestOverhead+len(e.Body)), "FN", e.Scheduled.ID, fields, string(e.Body))
}

// requestOverhead is room for all of a request but its body.
const requestOverhead = 160

// parseOutcome is how a launch ended, and its answer.
func (w *workerTransport) parseOutcome(a resp.Result) (o scheduler.Outcome, body []byte) {
	switch a.Outcome {
	case resp.NotSent:
		return scheduler.Outcome{Result: scheduler.Unreachable}, nil
	case resp.Withheld:
		return scheduler.Outcome{Result: scheduler.Withheld}, nil
	case resp.ConnectionLost:
		return scheduler.Outcome{Result: scheduler.ConnectionLost}, nil
	case resp.Cancelled:
		return scheduler.Outcome{Result: scheduler.Cancelled}, nil
	}
	if len(a.Elements) != 3 { // the request has run, and what came of it can't be told
		return scheduler.Outcome{Result: scheduler.ConnectionLost}, nil
	}
	fields := resp.ParsePairs(string(a.Elements[1]))
	o.Report = w.parseLoad(fields["stats"])
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
	switch string(a.Elements[0]) {
	case "ok":
		o.Result, body = scheduler.Completed, bytes.Clone(a.Elements[2])
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
func (w *workerTransport) Load(o scheduler.LoadRequest, done func(copies int, r scheduler.Result)) gateway.Canceller {
	b := w.lookup(o.Worker)
	if b == nil {
		done(o.Replicas, scheduler.Unreachable)
		return nil
	}
	tag := w.nextTag()
	frame := resp.AppendArray(nil, "SPAWN", tag, "key="+formatFunction(o.Function)+",n="+strconv.Itoa(o.Replicas))
	return cancellableCall{b.Call(tag, resp.FixedMessage(frame), false, func(a resp.Result) {
		switch {
		case a.Outcome == resp.NotSent:
			done(o.Replicas, scheduler.Unreachable)
			return
		case a.Outcome != resp.Answered || len(a.Elements) < 2:
			done(o.Replicas, scheduler.ConnectionLost)
			return
		}
		copies, err := strconv.Atoi(resp.ParsePairs(string(a.Elements[1]))["n"])
		result := scheduler.ConnectionLost
		switch string(a.Elements[0]) {
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
func (w *workerTransport) Probe(worker string, done func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	b := w.lookup(worker)
	if b == nil {
		done(scheduler.Unreachable, scheduler.LoadReport{})
		return nil
	}
	tag := w.nextTag()
	return cancellableCall{b.Call(tag, resp.FixedMessage(resp.AppendArray(nil, "TOP", tag)), false, func(a resp.Result) {
		switch {
		case a.Outcome == resp.NotSent:
			done(scheduler.Unreachable, scheduler.LoadReport{})
		case a.Outcome != resp.Answered || len(a.Elements) < 1:
			done(scheduler.ConnectionLost, scheduler.LoadReport{})
		case string(a.Elements[0]) == "yes":
			load := scheduler.LoadReport{}
			if len(a.Elements) > 1 {
				load = w.parseLoad(resp.ParsePairs(string(a.Elements[1]))["stats"])
			}
			done(scheduler.Completed, load)
		case string(a.Elements[0]) == "no":
			done(scheduler.Full, scheduler.LoadReport{})
		default:
			done(scheduler.Failed, scheduler.LoadReport{})
		}
	}), nil}
}

// Subscribe is not needed: the journal is followed all the time.
func (w *workerTransport) Subscribe() {}

func (w *workerTransport) nextTag() string { return "t" + strconv.FormatUint(w.lastTag.Add(1), 10) }

func formatFunction(function uint64) string {
	return fmt.Sprintf("%016x", function)
}

// parseLoad reads a load report.
func (w *workerTransport) parseLoad(text string) scheduler.LoadReport {
	if text == "" || w.reportField == "" {
		return scheduler.LoadReport{}
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if name != w.reportField {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		return scheduler.LoadReport{Reported: err == nil, QueueDepth: n}
	}
	return scheduler.LoadReport{}
}
