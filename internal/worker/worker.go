// Package worker implements the worker runtime. A worker receives attempts and load requests over the worker protocol,
// installs packages and runs requests on replicas. It reports its load, its memory usage and, after a crash, which
// requests of the previous incarnation may have run.
//
// Package admission decides which attempts are admitted, which replica runs them and which replica is evicted; this
// package carries out those decisions.
package worker

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/worker/runner"
	"lupinpond/internal/workerrpc"
)

// Names of files and folders in a worker's folder.
const (
	journalFile    = "journal"
	packagesFolder = "packages"
	compiledFolder = "compiled"
)

// Options configure a Worker.
type Options struct {
	// Name identifies the worker in the worker registry and in its handshake.
	Name string
	// Folder holds the worker's journal, packages and compiled code. No other worker may use it.
	Folder string
	// Artifacts fetches and installs packages.
	Artifacts *distribution.Distributor
	// Executable is the path of this program, which is started as a child process for each wasm replica.
	Executable string
	// Limits are the limits that admission enforces.
	Limits admission.Limits
	// MaxInFlight is the maximum number of unanswered attempts on one connection.
	MaxInFlight int
	// WasmOverhead is the memory in bytes that a wasm replica needs in addition to its module's memory.
	WasmOverhead int64
	// MaxResponseBytes is the maximum size of a function's response.
	MaxResponseBytes int64
	// StartTimeout is the timeout of fetching a package and, separately, of starting its replica. A load that exceeds
	// either of them fails. It is also the timeout of the poll for releases in New.
	StartTimeout time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL when a replica is stopped.
	GracePeriod time.Duration
	// MemorySampleInterval is the time between two samples of the replicas' memory.
	MemorySampleInterval time.Duration
	// ReleasePollInterval is the time between two polls for new releases; 0 disables polling.
	ReleasePollInterval time.Duration
	// FailPoint, if not nil, is called at each named step of a load. It is used by tests.
	FailPoint func(point string)
	// ReplicaLog receives the standard output and error of all replicas; if nil, both are closed in the replicas.
	ReplicaLog *os.File
	// MaxReplicaLogBytes is the size above which ReplicaLog is rotated to NAME.1; 0 disables rotation.
	MaxReplicaLogBytes int64
	// IdempotencyGroup is the group of registers through which several workers deduplicate each other's requests. If
	// nil, the worker deduplicates by its own journal, which covers only requests that this worker ran.
	IdempotencyGroup *idempotency.Group
	// Log receives the worker's own log; if nil, it is discarded.
	Log *slog.Logger
}

// claimStore records which requests with an idempotency key were started within their windows. It is implemented by
// the worker's journal and by a group of registers.
type claimStore interface {
	Claim(ctx context.Context, key string, window time.Duration) (
		claim string, decision idempotency.Decision, response []byte)
	Complete(key, claim string, response []byte)
	Release(key, claim string) // called if the claimed request was not run
}

// lifecycle is the phase of a worker. A worker never returns to an earlier phase.
type lifecycle int

const (
	serving lifecycle = iota
	draining
	closed
)

// Worker is one incarnation of a worker. State of earlier incarnations is read from the journal.
type Worker struct {
	options     Options
	started     time.Time
	journal     *journal
	claims      claimStore
	replicaHost *runner.Host
	silencer    faultinject.Silencer
	server      *workerrpc.Server
	wakeTimer   *time.Timer
	background  sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	state        lifecycle
	admission    *admission.Controller
	calls        callTable
	replicas     map[uint64]*replica
	releases     releaseSet
	loadRequests []*loadRequest
	coldStarts   coldStartTracker
	loadTimings  []LoadTimings
	memoryUsage  int64 // bytes used by the worker and its replicas at the last sample
	faults       faultinject.Faults
}

// New creates a worker that uses options.Folder and polls once for releases. If the artifact store does not answer, the
// worker uses the releases that are already known. The folder must not be in use by another worker; packages and
// compiled code of earlier incarnations in it are removed.
func New(options Options) (*Worker, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.FailPoint == nil {
		options.FailPoint = func(string) {}
	}
	if err := clearInstalled(options.Folder); err != nil {
		return nil, fmt.Errorf("worker: %w", err)
	}
	w := &Worker{
		options:   options,
		started:   time.Now(),
		admission: admission.New(options.Limits),
		calls:     callTable{byID: map[uint64]*call{}},
		replicas:  map[uint64]*replica{},
		releases:  releaseSet{active: map[string]manifest.Manifest{}, prefetching: map[string]bool{}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.StartTimeout)
	err := w.RefreshReleases(ctx)
	cancel()
	if err != nil {
		options.Log.Warn("release poll at start failed", "err", err)
	}
	if w.journal, err = openJournal(filepath.Join(options.Folder, journalFile), options.Log); err != nil {
		return nil, err
	}
	if w.claims = w.journal; options.IdempotencyGroup != nil {
		w.claims = options.IdempotencyGroup
	}
	w.replicaHost, err = runner.NewHost(runner.Options{
		Executable:       options.Executable,
		CompilationCache: filepath.Join(options.Folder, compiledFolder),
		StartTimeout:     options.StartTimeout,
		GracePeriod:      options.GracePeriod,
		MaxResponseBytes: options.MaxResponseBytes,
		WasmOverhead:     options.WasmOverhead,
		Log:              options.Log,
		ReplicaLog:       options.ReplicaLog,
	})
	if err != nil {
		return nil, errors.Join(err, w.journal.close())
	}
	w.server = &workerrpc.Server{
		Handshake: workerrpc.Handshake{
			Name:             options.Name,
			Started:          w.started,
			MaxAttempts:      options.MaxInFlight,
			InterruptedLoads: w.journal.interruptedLoads,
			WarmUpTime:       w.journal.warmUpDuration,
		},
		Handler: w,
	}
	w.wakeTimer = time.AfterFunc(time.Hour, w.onWake)
	options.Artifacts.SetUtilization(w.Utilization)
	return w, nil
}

// clearInstalled removes the packages and compiled code of earlier incarnations: a new incarnation starts cold.
func clearInstalled(folder string) error {
	for _, name := range []string{packagesFolder, compiledFolder} {
		path := filepath.Join(folder, name)
		if err := os.RemoveAll(path); err != nil {
			return err
		}
		if err := os.MkdirAll(path, 0o755); err != nil {
			return err
		}
	}
	return nil
}

// Run serves gateways until ctx is done, then stops all replicas.
func (w *Worker) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.server.Serve(ctx, w.silencer.Listener(listener)) })
	group.Go(func() error { return w.sampleMemory(ctx) })
	group.Go(func() error { return w.pollReleases(ctx) })
	err := group.Wait()
	w.mu.Lock()
	w.state = closed
	w.wakeTimer.Stop()
	w.mu.Unlock()
	err = errors.Join(err, w.replicaHost.Close())
	w.background.Wait()
	return errors.Join(err, w.journal.close())
}

// Drain starts draining: the worker rejects new work and completes the calls that are waiting or running.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.state = max(w.state, draining)
	w.mu.Unlock()
	w.server.NotifyDraining(reasonDraining)
}

// Reset closes all connections to gateways; the worker continues to serve.
func (w *Worker) Reset() { w.server.CloseConnections() }

// Utilization returns the number of running calls divided by Limits.MaxRunning.
func (w *Worker) Utilization() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.admission.Running()) / float64(w.options.Limits.MaxRunning)
}

// InFlight returns the number of calls that are waiting or running.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls.byID)
}

// InterruptedLoads returns the loads that the previous incarnation started and did not complete.
func (w *Worker) InterruptedLoads() []workerrpc.InterruptedLoad { return w.journal.interruptedLoads }

// now returns the time since the worker started, which is the clock of package admission.
func (w *Worker) now() time.Duration { return time.Since(w.started) }
