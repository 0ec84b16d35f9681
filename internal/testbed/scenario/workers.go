package scenario

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/checker"
	"lupinpond/internal/testbed/emulator"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker/admission"
)

const (
	// maxOpenAttempts is the maximum number of open attempts per connection of an emulated worker.
	maxOpenAttempts = 256
	// runtimeMemoryBytes is the memory for replicas at a worker of the worker runtime. It holds 16 replicas of the
	// example package at their memory limit of 64 MiB.
	runtimeMemoryBytes = 16 * 64 << 20
	// runtimeMaxLoads is the maximum number of concurrent loads at a worker of the worker runtime.
	runtimeMaxLoads = 2
)

// startFleet starts the registry and the workers and registers the workers.
func (r *run) startFleet(ctx context.Context) error {
	r.registry = registry.New(r.recordDelivery)
	if err := r.startRegistry(); err != nil {
		return err
	}
	model, functions, groups := r.workerModel(), r.emulatedFunctions(), newDedupGroups(r.options.Config.Fleet.Types)
	for i := range r.scenario.Workers.Count {
		name, zone := fmt.Sprint("w", i), fmt.Sprint("zone-", i%r.scenario.Workers.Zones)
		var worker localfleet.Worker
		if r.runtime != nil {
			worker = r.newRuntimeWorker(name)
		} else {
			worker = emulator.NewWorker(name, model, functions, r.store, r.executions, groups.forZone(zone), r.scenario.Seed)
		}
		addr, started, err := worker.Start("", localfleet.LongUptime)
		if err != nil {
			return err
		}
		entry := registry.Entry{
			Name:    worker.Name(),
			Addr:    addr,
			Zone:    zone,
			Cell:    "0",
			Cores:   r.scenario.Workers.Cores,
			State:   registry.InService,
			Started: started,
		}
		r.mu.Lock()
		r.workers, r.entries = append(r.workers, worker), append(r.entries, entry)
		r.mu.Unlock()
		r.registry.Set(entry)
	}
	return ctx.Err()
}

// stopFleet stops the registry and the workers that were started.
func (r *run) stopFleet() {
	if r.registryServer != nil {
		_ = r.registryServer.Close() // no watch stream is cut off: the gateways have already stopped
	}
	for _, worker := range r.workers {
		worker.Stop()
	}
}

// startRegistry starts the registry's server. A restart uses the same address as before.
func (r *run) startRegistry() error {
	server, err := httpserver.StartLoopback(r.registryAddr, r.registry.Handler())
	if err != nil {
		return err
	}
	r.registryAddr, r.registryServer = server.Addr, server
	return nil
}

// recordDelivery records a watch event that the registry sent to a gateway.
func (r *run) recordDelivery(gateway string, at time.Time, event registry.WatchEvent) {
	if r.captureDisabled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliveries = append(r.deliveries, checker.Delivery{Gateway: gateway, At: at.Sub(r.startedAt), Event: event})
}

// restartWorkers restarts workers as cold workers at their previous addresses and registers them again.
func (r *run) restartWorkers(indexes []int) error {
	for _, i := range indexes {
		worker, entry := r.workers[i], r.registeredEntries()[i]
		worker.Stop()
		_, started, err := worker.Start(entry.Addr, 0)
		if err != nil {
			return err
		}
		entry.Started, entry.State = started, registry.InService
		r.mu.Lock()
		r.entries[i] = entry
		r.mu.Unlock()
		r.registry.Set(entry)
	}
	return nil
}

// registeredEntries returns a copy of the last registered entry of each worker.
func (r *run) registeredEntries() []registry.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// workerModel returns the model of the emulated workers according to the settings and the scenario.
func (r *run) workerModel() emulator.Model {
	fleet, workers := r.options.Config.Fleet, r.scenario.Workers
	return emulator.Model{
		Cores:              workers.Cores,
		Memory:             int64(workers.Memory),
		QueueLimit:         workers.Queue,
		ReplicaIdleTimeout: fleet.LoadPolicy.ReplicaIdleTimeout.Std(),
		LoadOnMiss:         fleet.LoadPolicy.OnMiss == "load",
		InitialShare:       fleet.SlowStart.InitialShare,
		WarmUpTime:         fleet.SlowStart.WarmUpTime.Std(),
		CrashMultiple:      fleet.SlowStart.CrashMultiple,
		CrashWindow:        fleet.SlowStart.CrashWindow.Std(),
		MaxAttempts:        maxOpenAttempts,
	}
}

func (r *run) emulatedFunctions() (functions []emulator.Function) {
	for _, function := range r.options.Config.Functions {
		functions = append(functions, emulator.Function{
			Name:        function.Name,
			MeanCPUTime: r.scenario.Work[function.Name].Std(),
			LoadTime:    function.LoadTime.Std(),
			Memory:      int64(function.Memory),
			Concurrency: function.Concurrency,
		})
	}
	return functions
}

// newRuntimeWorker returns a stopped worker of the worker runtime.
func (r *run) newRuntimeWorker(name string) *localfleet.Runtime {
	policy, workers := r.options.Config.Fleet.LoadPolicy, r.scenario.Workers
	return localfleet.NewRuntime(localfleet.RuntimeOptions{
		Name:         name,
		Folder:       filepath.Join(r.runtime.dir, name),
		Releases:     r.runtime.releases,
		ExecutionLog: r.runtime.executionLog,
		Claims:       r.runtime.claims,
		Peers:        r.chunkPeers,
		Limits: admission.Limits{
			MemoryBytes: runtimeMemoryBytes,
			MaxRunning:  max(1, int(2*workers.Cores)),
			MaxWaiting:  workers.Queue,
			MaxLoads:    runtimeMaxLoads,
			IdleTimeout: policy.ReplicaIdleTimeout.Std(),
			LoadOnMiss:  policy.OnMiss == "load",
		},
	})
}

// chunkPeers returns the running workers of the worker runtime that serve chunks to other workers.
func (r *run) chunkPeers() (peers []distribution.Peer) {
	if r.options.DisablePeerDistribution {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range r.workers {
		runtime, ok := worker.(*localfleet.Runtime)
		if !ok {
			continue
		}
		if addr := runtime.ChunkAddr(); addr != "" {
			peers = append(peers, distribution.Peer{Name: runtime.Name(), Addr: addr})
		}
	}
	return peers
}
