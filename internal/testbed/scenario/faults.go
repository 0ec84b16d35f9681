package scenario

import (
	"context"
	"errors"
	"time"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker/faultinject"
)

// playFault injects a fault at its time and ends it after its duration, or earlier if the run fails.
func (r *run) playFault(ctx context.Context, start time.Time, fault Fault) error {
	begin := start.Add(fault.At.Std())
	if err := httpserver.Sleep(ctx, time.Until(begin)); err != nil {
		return err
	}
	r.options.Log.Info("fault injected", "scenario", r.scenario.Name, "fault", fault.Kind, "workers", fault.Workers,
		"gateways", fault.Gateways)
	end, err := r.injectFault(fault)
	if err != nil || end == nil {
		return err
	}
	err = httpserver.Sleep(ctx, time.Until(begin.Add(fault.Duration.Std())))
	return errors.Join(err, end())
}

// injectFault starts a fault and returns the function that ends it, or nil if the fault has no end.
func (r *run) injectFault(fault Fault) (end func() error, err error) {
	switch fault.Kind {
	case WorkerHang, WorkerSlow, WorkerErrors, WorkerFailLoads, WorkerFalseReports, WorkerRejectTenant:
		return r.injectWorkerFault(fault)
	case WorkerReset, WorkerSilence, WorkerCrash, WorkerDrain:
		return r.disconnectWorkers(fault)
	case StoreSlow:
		r.setStoreSlowdown(fault.Factor)
		return func() error { r.setStoreSlowdown(1); return nil }, nil
	case StoreStop:
		return r.stopStore(fault.Duration.Std()), nil
	case ClientDisconnect:
		r.clients.setDisconnectAfter(fault.Tenant, fault.DisconnectAfter.Std())
		return func() error { r.clients.setDisconnectAfter(fault.Tenant, 0); return nil }, nil
	case FunctionRelease:
		return nil, r.releaseFunction(fault.Function)
	case RegistryDelay, RegistryEmpty, RegistryDown:
		return r.injectRegistryFault(fault)
	case GatewayPause:
		for _, i := range fault.Gateways {
			r.instance(i).gateway.Pause(fault.Duration.Std())
		}
		return endNothing, nil
	case GatewayCrash:
		return r.restartGateways(fault.Gateways)
	}
	return nil, errors.New("unknown fault " + string(fault.Kind))
}

// endNothing is the end of a fault that ends by itself.
func endNothing() error { return nil }

// injectWorkerFault injects a fault from package faultinject into workers.
func (r *run) injectWorkerFault(fault Fault) (end func() error, err error) {
	set, undo, err := faultinject.ByName(string(fault.Kind), fault.Tenant, fault.Factor)
	if err != nil {
		return nil, err
	}
	workers := r.workersAt(fault.Workers)
	for _, worker := range workers {
		worker.InjectFault(set)
	}
	return func() error {
		for _, worker := range workers {
			worker.InjectFault(undo)
		}
		return nil
	}, nil
}

// disconnectWorkers resets the connections of workers, or makes workers unresponsive, crashes or drains them. All but
// the reset end with a restart of the workers.
func (r *run) disconnectWorkers(fault Fault) (end func() error, err error) {
	for _, i := range fault.Workers {
		worker := r.workers[i]
		switch fault.Kind {
		case WorkerReset:
			worker.Reset()
		case WorkerSilence:
			worker.SetUnresponsive(true)
		case WorkerCrash:
			worker.Stop()
		case WorkerDrain:
			r.registry.SetState(worker.Name(), registry.Draining)
			worker.Drain()
		}
	}
	if fault.Kind == WorkerReset {
		return nil, nil
	}
	return func() error { return r.restartWorkers(fault.Workers) }, nil
}

func (r *run) workersAt(indexes []int) (workers []localfleet.Worker) {
	for _, i := range indexes {
		workers = append(workers, r.workers[i])
	}
	return workers
}

// setStoreSlowdown multiplies the duration of every fetch from the store by factor.
func (r *run) setStoreSlowdown(factor float64) {
	if r.runtime != nil {
		r.runtime.releases.Store().SetRate(r.runtime.storeRate / factor)
	}
	r.store.SetSlowdown(factor)
}

// stopStore makes the store reject every fetch for a duration.
func (r *run) stopStore(duration time.Duration) (end func() error) {
	if r.runtime != nil {
		r.runtime.releases.Store().Stop(duration)
	}
	r.store.SetUnavailable(true)
	return func() error { r.store.SetUnavailable(false); return nil }
}

// releaseFunction publishes a new release of a function.
func (r *run) releaseFunction(function string) error {
	if r.runtime != nil {
		if err := r.runtime.releases.Publish(function); err != nil {
			return err
		}
	}
	for _, worker := range r.workers {
		worker.Redeploy(function)
	}
	return nil
}

// injectRegistryFault delays the registry's events, removes all workers from the registry or stops its server.
func (r *run) injectRegistryFault(fault Fault) (end func() error, err error) {
	switch fault.Kind {
	case RegistryDelay:
		r.registry.SetDelay(fault.Duration.Std())
		return func() error { r.registry.SetDelay(0); return nil }, nil
	case RegistryEmpty:
		r.registry.RemoveAll()
		return func() error {
			for _, entry := range r.registeredEntries() {
				r.registry.Set(entry)
			}
			return nil
		}, nil
	}
	return r.startRegistry, r.registryServer.Close()
}

// restartGateways crashes gateways. The returned function starts them again at their previous addresses.
func (r *run) restartGateways(indexes []int) (end func() error, err error) {
	for _, i := range indexes {
		if err := r.instance(i).crash(); err != nil {
			return nil, err
		}
	}
	return func() error {
		for _, i := range indexes {
			if _, err := r.startGateway(i, r.clients.addrs[i]); err != nil {
				return err
			}
		}
		return nil
	}, nil
}
