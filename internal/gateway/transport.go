package gateway

import "lupinpond/scheduler"

// Canceller is an attempt, load request or probe that is in flight.
type Canceller interface {
	// Cancel abandons the call. Its outcome is still reported, unless it has already been.
	Cancel()
}

// WorkerTransport sends attempts, load requests and probes to workers and watches the endpoint list. It may call the
// done functions from any goroutine and at any time, even before the method returns; only the first call counts. A
// method may return nil if nothing was sent or there is nothing to cancel.
type WorkerTransport interface {
	// Send sends an attempt of a request; attempts are numbered from 0. The transport must consult permit when the bytes
	// are about to be written.
	Send(request *Request, attempt int, worker string, permit *SendPermit,
		done func(outcome scheduler.Outcome, body []byte)) Canceller
	// Load asks a worker to have a total number of replicas of a function loaded; done receives the number that it has
	// loaded. The transport must consult permit when the bytes are about to be written.
	Load(request scheduler.LoadRequest, permit *LoadPermit, done func(replicas int, result scheduler.Result)) Canceller
	// Probe asks a worker for a load report.
	Probe(worker string, done func(result scheduler.Result, report scheduler.LoadReport)) Canceller
	// Subscribe subscribes to the endpoint list, which is reported through EventLoop.UpdateMembership.
	Subscribe()
}
