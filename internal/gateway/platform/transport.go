package platform

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
	"lupinpond/scheduler"
)

// workerTransport sends the core's attempts, load requests and probes to workers over RESP. It follows the endpoint
// list.
type workerTransport struct {
	pool        *resp.Pool
	canCancel   bool          // attempts may be cancelled at workers
	reportField string        // field of load reports that holds the queue depth; empty: reports are ignored
	lastTag     atomic.Uint64 // number of the last tag that nextTag returned
	drainGrace  time.Duration // time after which no new work may be sent to a draining or removed worker
	monitor     *invariant.Monitor
	startedAt   time.Time

	mu     sync.Mutex
	listed map[string]*backend // backends by worker name, according to the last update of the endpoint list
	// applied holds the backends by worker name according to the last update that the core has applied. The core's
	// decisions are meant for these incarnations, not for a later incarnation that has the same name.
	applied map[string]*backend
}

// newWorkerTransport returns a transport that uses the connections of a pool.
func newWorkerTransport(config Config, pool *resp.Pool, monitor *invariant.Monitor) *workerTransport {
	t := &workerTransport{
		pool:       pool,
		canCancel:  config.Core.Cancel,
		drainGrace: config.drainGrace(),
		monitor:    monitor,
		startedAt:  time.Now(),
		listed:     map[string]*backend{},
		applied:    map[string]*backend{},
	}
	if config.Settings["report.source"] != "off" {
		t.reportField = reportedQueueDepth
	}
	return t
}

// now returns the time since the transport was made. It is never 0.
func (t *workerTransport) now() time.Duration { return time.Since(t.startedAt) + 1 }

// cancellableCall is a call to a worker with the command that cancels it.
type cancellableCall struct {
	*resp.Call
	cancelCommand []byte // cancels the call at the worker; nil for load requests and probes, which are only abandoned
}

// Cancel cancels the call.
func (c cancellableCall) Cancel() { c.Call.Cancel(c.cancelCommand) }

// Send sends an attempt to a worker.
func (t *workerTransport) Send(request *gateway.Request, _ int, worker string, permit *gateway.SendPermit,
	done func(scheduler.Outcome, []byte)) gateway.Canceller {
	target := t.lookup(worker)
	if target == nil {
		done(scheduler.Outcome{Result: scheduler.Unreachable}, nil)
		return nil
	}
	id := request.Scheduled.ID
	t.checkIncarnation(id, worker, target)
	var cancelCommand []byte
	if t.canCancel {
		cancelCommand = resp.AppendArray(nil, commandCancel, id)
	}
	message := resp.Message{
		WriteTimeout: maxWriteTime,
		Encode: func() []byte {
			timeLeft, permitted := permit.TimeLeft()
			if !permitted {
				return nil
			}
			return encodeRequest(request, timeLeft)
		},
		OnWritten: func() {
			permit.Written()
			t.checkDrained(id, worker, target)
		},
	}
	call := target.Call(id, message, resp.Exclusive, func(result resp.Result) {
		if result.Outcome == resp.Withheld {
			done(scheduler.Outcome{Result: permit.WithheldResult()}, nil)
			return
		}
		done(t.parseOutcome(result))
	})
	return cancellableCall{call, cancelCommand}
}

// Load sends a load request to a worker.
func (t *workerTransport) Load(request scheduler.LoadRequest, permit *gateway.LoadPermit,
	done func(replicas int, result scheduler.Result)) gateway.Canceller {
	target := t.lookup(request.Worker)
	if target == nil {
		done(request.Replicas, scheduler.Unreachable)
		return nil
	}
	tag := t.nextTag()
	frame := encodeLoadRequest(tag, request)
	message := resp.Message{
		Encode: func() []byte {
			if !permit.MaySend() {
				return nil
			}
			return frame
		},
		OnWritten: func() { t.checkLoadDrained(request, target) },
		NoNewWork: request.Purpose == scheduler.QueryReplicas,
	}
	call := target.Call(tag, message, resp.Shared, func(result resp.Result) {
		done(parseLoadResult(request, result))
	})
	return cancellableCall{Call: call}
}

// Probe asks a worker for a load report.
func (t *workerTransport) Probe(worker string, done func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	target := t.lookup(worker)
	if target == nil {
		done(scheduler.Unreachable, scheduler.LoadReport{})
		return nil
	}
	tag := t.nextTag()
	frame := resp.AppendArray(nil, commandProbe, tag)
	call := target.Call(tag, resp.FixedMessage(frame), resp.Shared, func(result resp.Result) {
		done(t.parseProbeResult(result))
	})
	return cancellableCall{Call: call}
}

// Subscribe does nothing: the gateway always watches the discovery service.
func (t *workerTransport) Subscribe() {}

// nextTag returns a new ID for a load request or a probe.
func (t *workerTransport) nextTag() string { return "t" + strconv.FormatUint(t.lastTag.Add(1), 10) }
