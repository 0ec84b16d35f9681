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
	// maxAttempts is how many attempts a worker lets be open on a connection.
	maxAttempts = 256
	// runtimeMemoryBytes is the memory that a worker of the worker runtime admits replicas into: 16 of the package's.
	runtimeMemoryBytes = 16 * 64 << 20
	// runtimeMaxLoads is how many replicas such a worker loads at a time.
	runtimeMaxLoads = 2
)

// startFleet starts the registry and the workers, and registers them.
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
			worker = emulator.NewWorker(name, model, functions, r.store, r.executions, groups.ofZone(zone), r.scenario.Seed)
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

// stopFleet stops the registry and the workers, as far as they were started.
func (r *run) stopFleet() {
	if r.registryServer != nil {
		_ = r.registryServer.Close() // its watch streams have ended with the gateways
	}
	for _, worker := range r.workers {
		worker.Stop()
	}
}

// startRegistry serves the registry; after the first time, at the address that it had.
func (r *run) startRegistry() error {
	server, err := httpserver.StartLoopback(r.registryAddr, r.registry.Handler())
	if err != nil {
		return err
	}
	r.registryAddr, r.registryServer = server.Addr, server
	return nil
}

// recordDelivery notes what the registry has sent to a gateway.
func (r *run) recordDelivery(gateway string, at time.Time, event registry.WatchEvent) {
	if r.captureDisabled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliveries = append(r.deliveries, checker.Delivery{Gateway: gateway, At: at.Sub(r.startedAt), Event: event})
}

// restartWorkers has workers start anew, not warmed up, and registers them.
func (r *run) restartWorkers(indexes []int) error {
	for _, i := range indexes {
		worker, entry := r.workers[i], r.registered()[i]
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

// registered are the workers' entries as the registry was last given them.
func (r *run) registered() []registry.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// workerModel is what the settings say that workers are like.
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
		MaxAttempts:        maxAttempts,
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

// newRuntimeWorker makes a worker that is the worker runtime.
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

// chunkPeers are the workers that give chunks to each other.
func (r *run) chunkPeers() (peers []distribution.Peer) {
	if r.options.DisablePeerDistribution {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range r.workers {
		runtime, is := worker.(*localfleet.Runtime)
		if !is {
			continue
		}
		if addr := runtime.ChunkAddr(); addr != "" {
			peers = append(peers, distribution.Peer{Name: runtime.Name(), Addr: addr})
		}
	}
	return peers
}
