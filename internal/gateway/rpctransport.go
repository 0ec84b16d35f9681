package gateway

import (
	"errors"
	"time"

	"lupinpond/internal/workerrpc"
	"lupinpond/scheduler"
)

// rpcTransport is the WorkerTransport that uses the worker protocol.
type rpcTransport struct{ *Gateway }

// clientOf returns the client of a worker, or nil if there is none.
func (t rpcTransport) clientOf(worker string) *workerClient {
	t.workerClientsMu.Lock()
	defer t.workerClientsMu.Unlock()
	return t.workerClients[worker]
}

// cancellableCall is a call in flight. Cancelling it notifies the worker only if the settings allow that.
type cancellableCall struct {
	*workerrpc.Call
	notifyWorker bool
}

// Cancel cancels the call, notifying the worker, or abandons it without a notice.
func (c cancellableCall) Cancel() {
	if c.notifyWorker {
		c.Call.Cancel()
	} else {
		c.Call.Abandon()
	}
}

// Send sends an attempt to a worker.
func (t rpcTransport) Send(request *Request, attempt int, worker string, permit *SendPermit,
	done func(scheduler.Outcome, []byte)) Canceller {
	timeLeft, ok := permit.TimeLeft() // the worker client subtracts the time until the attempt is written
	if !ok {
		done(scheduler.Outcome{Result: permit.WithheldResult()}, nil)
		return nil
	}
	client := t.clientOf(worker)
	if client == nil {
		done(scheduler.Outcome{Result: scheduler.Unreachable}, nil)
		return nil
	}
	call := request.Call
	var window time.Duration
	if call.IdempotencyKey != "" {
		window = call.Type.DedupWindow.Std()
	}
	message := workerrpc.Attempt{
		RequestID:       request.Scheduled.ID,
		Number:          attempt,
		Function:        call.Function.Name,
		Type:            call.Type.Name,
		Tenant:          call.Tenant,
		IdempotencyKey:  call.IdempotencyKey,
		DedupWindow:     window,
		ClientRequestID: call.Source + "\n" + call.ClientID,
		Body:            request.Body,
		StartWithin:     permit.StartWithin(),
	}
	maySend := func() bool {
		_, ok := permit.TimeLeft()
		return ok
	}
	inFlight := client.SendIf(message, timeLeft, maySend, func(outcome workerrpc.Outcome) {
		result, body := t.attemptOutcome(outcome)
		if result.Result == scheduler.Withheld {
			result.Result = permit.WithheldResult()
		}
		done(result, body)
	})
	return cancellableCall{inFlight, t.cancelAttempts}
}

// attemptOutcome converts the outcome of an attempt and returns the response body of a completed one.
func (t rpcTransport) attemptOutcome(rpc workerrpc.Outcome) (outcome scheduler.Outcome, body []byte) {
	switch rpc.Status {
	case workerrpc.StatusUnsent:
		outcome.Result = scheduler.Unreachable
		if errors.Is(rpc.Err, workerrpc.ErrWithheld) {
			outcome.Result = scheduler.Withheld
		}
	case workerrpc.StatusConnectionLost:
		outcome.Result = scheduler.ConnectionLost
	case workerrpc.StatusCancelled:
		outcome.Result = scheduler.Cancelled
	case workerrpc.StatusAnswered:
		result := rpc.AttemptResult
		outcome.ReplicaState = scheduler.ReplicaState(result.ReplicaState)
		outcome.Report = t.loadReport(result.Report)
		outcome.Result = attemptResult(result.Code)
		if result.Code == workerrpc.CodeOK {
			body = result.Body
		}
	}
	return outcome, body
}

// attemptResult converts the result code of an attempt.
func attemptResult(code workerrpc.Code) scheduler.Result {
	switch code {
	case workerrpc.CodeOK:
		return scheduler.Completed
	case workerrpc.CodeOverloaded:
		return scheduler.Rejected
	case workerrpc.CodeNotFound:
		return scheduler.NotFound
	case workerrpc.CodeNotStarted:
		return scheduler.Unreachable
	case workerrpc.CodeCancelled:
		return scheduler.Cancelled
	default:
		return scheduler.Failed
	}
}

// loadReport converts a worker's load report. It returns an empty report if the settings disable load reports.
func (g *Gateway) loadReport(report *workerrpc.LoadReport) scheduler.LoadReport {
	if report == nil || g.options.Config.Fleet.Workers.Reports == "none" {
		return scheduler.LoadReport{}
	}
	return scheduler.LoadReport{Reported: true, QueueDepth: float64(report.QueueDepth)}
}

// Load sends a load request to a worker.
func (t rpcTransport) Load(load scheduler.LoadRequest, permit *LoadPermit,
	done func(replicas int, result scheduler.Result)) Canceller {
	client := t.clientOf(load.Worker)
	if client == nil {
		done(load.Replicas, scheduler.Unreachable)
		return nil
	}
	message := workerrpc.LoadRequest{Function: t.functionNames[load.Function], Replicas: load.Replicas}
	client.LoadIf(message, permit.MaySend, func(outcome workerrpc.Outcome) {
		switch {
		case errors.Is(outcome.Err, workerrpc.ErrWithheld):
			done(load.Replicas, scheduler.Withheld)
		case outcome.Status == workerrpc.StatusUnsent:
			done(load.Replicas, scheduler.Unreachable)
		case outcome.LoadResult == nil:
			done(load.Replicas, scheduler.ConnectionLost)
		default:
			done(outcome.LoadResult.Replicas, loadResult(outcome.LoadResult.Code))
		}
	})
	return nil
}

// loadResult converts the result code of a load request.
func loadResult(code workerrpc.Code) scheduler.Result {
	switch code {
	case workerrpc.CodeOK:
		return scheduler.Completed
	case workerrpc.CodeOverloaded, workerrpc.CodeNotStarted:
		return scheduler.Rejected
	default:
		return scheduler.Failed
	}
}

// Probe asks a worker for a load report.
func (t rpcTransport) Probe(worker string, done func(scheduler.Result, scheduler.LoadReport)) Canceller {
	client := t.clientOf(worker)
	if client == nil {
		done(scheduler.Unreachable, scheduler.LoadReport{})
		return nil
	}
	client.Probe(func(outcome workerrpc.Outcome) {
		switch {
		case outcome.ProbeReply != nil:
			done(scheduler.Completed, t.loadReport(outcome.ProbeReply.Report))
		case outcome.Status == workerrpc.StatusUnsent:
			done(scheduler.Unreachable, scheduler.LoadReport{})
		default:
			done(scheduler.ConnectionLost, scheduler.LoadReport{})
		}
	})
	return nil
}

// Subscribe makes the gateway watch the registry.
func (t rpcTransport) Subscribe() {
	select {
	case t.subscribeRequests <- struct{}{}:
	default:
	}
}
