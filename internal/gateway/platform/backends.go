package platform

import (
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
	"lupinpond/scheduler"
)

// backend is the client of one incarnation of a worker on the endpoint list.
type backend struct {
	*resp.Worker
	addr             string
	startedUnixMilli int64
	stoppedAt        atomic.Int64 // transport time at which new work was stopped; 0: the worker may be sent new work
}

// stop prevents new work from being sent to the worker and records when that began.
func (b *backend) stop(now time.Duration) {
	b.stoppedAt.CompareAndSwap(0, int64(now))
	b.Stop()
}

// resume allows new work to be sent to the worker again.
func (b *backend) resume() {
	b.stoppedAt.Store(0)
	b.Resume()
}

// isIncarnation reports whether the endpoint is this incarnation of the worker, at the same address.
func (b *backend) isIncarnation(endpoint discovery.Endpoint) bool {
	return b.addr == endpoint.Addr && b.startedUnixMilli == endpoint.StartedUnixMilli
}

// update applies an update of the endpoint list to the connections, before the event loop applies it to the core: work
// that waits to be written to a draining worker must not be sent after the drain grace, even if the event loop stalls.
// The caller must call commit once the core has applied the update.
func (t *workerTransport) update(update discovery.Update) (commit func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present, changed := map[string]bool{}, map[string]*backend{}
	for _, endpoint := range update.Endpoints {
		present[endpoint.Name] = true
		t.updateEndpoint(endpoint)
		changed[endpoint.Name] = t.listed[endpoint.Name]
	}
	for name, listed := range t.listed {
		if update.Complete && !present[name] {
			listed.stop(t.now())
			delete(t.listed, name)
			changed[name] = nil
		}
	}
	return func() { t.commit(changed) }
}

// updateEndpoint applies one endpoint of an update. The caller must hold t.mu.
func (t *workerTransport) updateEndpoint(endpoint discovery.Endpoint) {
	listed := t.listed[endpoint.Name]
	if listed != nil && endpoint.State != discovery.Removed && !listed.isIncarnation(endpoint) {
		listed.stop(t.now())
		delete(t.listed, endpoint.Name)
		listed = nil
	}
	switch {
	case endpoint.State == discovery.Up && listed == nil:
		t.listed[endpoint.Name] = &backend{
			Worker:           t.pool.Worker(endpoint.Addr),
			addr:             endpoint.Addr,
			startedUnixMilli: endpoint.StartedUnixMilli,
		}
	case endpoint.State == discovery.Up:
		listed.resume()
	case listed != nil:
		listed.stop(t.now())
		if endpoint.State == discovery.Removed {
			delete(t.listed, endpoint.Name)
		}
	}
}

// commit makes lookup return the changed backends, so that the core's later decisions are carried out on them. A nil
// backend means that the worker is removed.
func (t *workerTransport) commit(changed map[string]*backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, b := range changed {
		if b == nil {
			delete(t.applied, name)
		} else {
			t.applied[name] = b
		}
	}
}

// lookup returns the backend that has the given worker name in the core's view of the endpoint list, or nil.
func (t *workerTransport) lookup(name string) *backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applied[name]
}

// checkIncarnation reports an invariant violation if the backend chosen for an attempt is not the worker's incarnation
// in the core's view of the endpoint list.
func (t *workerTransport) checkIncarnation(request, name string, found *backend) {
	if expected := t.lookup(name); found != expected {
		t.monitor.Violated(invariant.AttemptToOtherIncarnation, request,
			"worker", name, "address", found.addr, "started_unix_milli", found.startedUnixMilli)
	}
}

// checkLoadDrained reports an invariant violation if a load request that asks for replicas was sent to a worker after
// its drain grace.
func (t *workerTransport) checkLoadDrained(request scheduler.LoadRequest, b *backend) {
	if stopped := time.Duration(b.stoppedAt.Load()); request.Replicas > 0 && stopped != 0 &&
		t.now() > stopped+t.drainGrace {
		t.monitor.Violated(invariant.LoadOnDrainedWorker, "", "worker", request.Worker, "late_by", t.now()-stopped)
	}
}

// checkDrained reports an invariant violation if an attempt was sent to a worker after its drain grace.
func (t *workerTransport) checkDrained(request, name string, b *backend) {
	if stopped := time.Duration(b.stoppedAt.Load()); stopped != 0 && t.now() > stopped+t.drainGrace {
		t.monitor.Violated(invariant.AttemptToDrainedWorker, request, "worker", name, "late_by", t.now()-stopped)
	}
}
