// Package localfleet starts and stops workers inside one process, for rehearsed days and for tests of front ends: imitation
// ones and the worker runtime, behind one interface, and the packages that the runtime ones load.
package localfleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/worker"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/worker/idempotency"
)

// Worker is a worker as a day plays it: an imitation one (emulator.Worker), or the worker runtime (Runtime).
type Worker interface {
	Name() string
	Start(addr string, old bool) (at string, started time.Time, err error)
	Stop()
	Crashes() int
	InjectFault(func(*faultinject.Faults))
	SetUnresponsive(on bool)
	Reset()
	Drain()
	Redeploy(function string)
}

// AlternateDeployment makes f the settings of a deployment of the other shape (docs/migration.md), whose front ends stand in zone.
func AlternateDeployment(f *fleetconfig.File, zone string) {
	f.Fleet.Tenants = nil
	for i := range f.Functions {
		f.Functions[i].Tenant = ""
	}
	f.Fleet.LoadPolicy.OnMiss, f.Fleet.Policy.MaxAttempts = "miss", 3
	f.Fleet.Workers = fleetconfig.Workers{Sizes: "cores", Reports: "none"}
	f.Fleet.CrossZoneCost, f.Gateway.Zone = true, zone
}

// Releases is the packages of a store: every function of a catalogue, as the example program payroll.
type Releases struct {
	store       *Store
	mu          sync.Mutex
	folder      string
	binary      string
	config      fleetconfig.File
	lastVersion int
}

// NewReleases opens a store in a folder and publishes every function of f; binary is the payroll program.
func NewReleases(folder, binary string, f fleetconfig.File, c artifactstore.Capacity) (*Releases, error) {
	s, err := OpenStore(filepath.Join(folder, "store"), c)
	if err != nil {
		return nil, err
	}
	r := &Releases{store: s, folder: folder, binary: binary, config: f}
	for _, fn := range f.Functions {
		if err := r.Publish(fn.Name); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return r, nil
}

// Close closes the store.
func (r *Releases) Close() error { return r.store.Close() }

// Store is the store, to have it stop or to read its counts.
func (r *Releases) Store() *Store { return r.store }

const uniqueContentBytes = 512 << 10 // bytes in which a release differs from all others

// Publish publishes a function anew.
func (r *Releases) Publish(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastVersion++
	for _, fn := range r.config.Functions {
		if fn.Name != name {
			continue
		}
		version := fmt.Sprintf("%06d", r.lastVersion)
		tmp := filepath.Join(r.folder, "packages", name)
		if err := os.MkdirAll(tmp, 0o755); err != nil {
			return err
		}
		b, err := os.ReadFile(r.binary)
		if err != nil {
			return fmt.Errorf("package of %s: %w", name, err)
		}
		// what stands behind a program is not read by it: each release has some content of its own
		own := make([]byte, uniqueContentBytes)
		_, _ = rand.NewChaCha8([32]byte{byte(r.lastVersion), byte(r.lastVersion >> 8)}).Read(own) // never fails
		if err := os.WriteFile(filepath.Join(tmp, "entry"), append(b, own...), 0o755); err != nil {
			return err
		}
		if _, err := manifest.Write(tmp, manifest.Manifest{Name: name, Version: version, Type: fn.Type, Kind: manifest.Process, Concurrency: fn.Concurrency,
			MemoryLimit: 64 << 20, Timeout: config.Duration(30 * time.Second), EntryPoint: "entry"}); err != nil {
			return err
		}
		_, err = r.store.Client.Publish(context.Background(), tmp)
		return err
	}
	return fmt.Errorf("no function %q", name)
}

// RuntimeOptions are what a Runtime is made from.
type RuntimeOptions struct {
	Name         string
	Folder       string // its own
	Releases     *Releases
	Limits       admission.Limits
	ExecutionLog *os.File                   // gets the log of all copies
	Claims       *idempotency.Group         // see worker.Options
	Peers        func() []distribution.Peer // that give chunks; nil: none
}

// Runtime is the worker runtime, started and stopped within this process.
type Runtime struct {
	options     RuntimeOptions
	mu          sync.Mutex
	worker      *worker.Worker
	chunkServer *ChunkServer
	cancel      context.CancelFunc
	stopped     chan error
}

// NewRuntime makes one that is not started.
func NewRuntime(o RuntimeOptions) *Runtime { return &Runtime{options: o} }

// Name is the worker's name.
func (r *Runtime) Name() string { return r.options.Name }

// Start begins a life on addr; empty: any port. old has it say that it started long ago.
func (r *Runtime) Start(addr string, old bool) (string, time.Time, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	giver, err := NewChunkServer(r.options.Name, r.options.Folder, r.options.Releases.store.Client.BaseURL, 5*time.Second, r.options.Peers, nil)
	if err != nil {
		return "", time.Time{}, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		giver.Close()
		return "", time.Time{}, err
	}
	w, err := worker.New(worker.Options{Name: r.options.Name, Folder: r.options.Folder, Artifacts: giver.Distributor, MaxInFlight: 256, MaxResponseBytes: 1 << 20,
		StartTimeout: 20 * time.Second, GracePeriod: time.Second, MemorySampleInterval: 500 * time.Millisecond, ReleasePollInterval: 500 * time.Millisecond, ReplicaLog: r.options.ExecutionLog,
		IdempotencyGroup: r.options.Claims, Limits: r.options.Limits})
	if err != nil {
		giver.Close()
		return "", time.Time{}, errors.Join(err, listener.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	r.worker, r.cancel, r.stopped, r.chunkServer = w, stop, make(chan error, 1), giver
	ended := r.stopped
	go func() { ended <- w.Run(ctx, listener) }()
	started := time.Now()
	if old { // the day begins with workers that the list has had for long
		started = started.Add(-24 * time.Hour)
	}
	return listener.Addr().String(), started, nil
}

// Stop ends the life; what ran is lost.
func (r *Runtime) Stop() {
	r.mu.Lock()
	stop, ended, w, giver := r.cancel, r.stopped, r.worker, r.chunkServer
	r.cancel = nil
	r.mu.Unlock()
	if stop == nil {
		return
	}
	w.Silence(false)
	stop()
	giver.Close()
	<-ended
}

// ChunkAddr is where it gives chunks to others; empty while it is stopped.
func (r *Runtime) ChunkAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel == nil {
		return ""
	}
	return r.chunkServer.Addr
}

// Crashes is 0: they are not played by the runtime: it is as cold as it is.
func (r *Runtime) Crashes() int { return 0 }

// InjectFault has it misbehave from now on.
func (r *Runtime) InjectFault(change func(*faultinject.Faults)) { r.current().UpdateFaults(change) }

func (r *Runtime) current() *worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker
}

// SetUnresponsive has it neither read nor write.
func (r *Runtime) SetUnresponsive(on bool) { r.current().Silence(on) }

// Reset breaks its connections.
func (r *Runtime) Reset() { r.current().Reset() }

// Drain drains it.
func (r *Runtime) Drain() { r.current().Drain() }

// Redeploy is done in the store for all workers; each reads it anew.
func (r *Runtime) Redeploy(string) { _ = r.current().RefreshReleases(context.Background()) } // a store that can't be read is as before

// CountExecutions counts what ran at the workers, from the logs that the packages write.
func CountExecutions(path string) (map[string]int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	runs := map[string]int{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, is := strings.CutPrefix(lines.Text(), "effect "); is {
			runs[name]++
		}
	}
	return runs, lines.Err()
}
