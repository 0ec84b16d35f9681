// Package worker is the worker runtime. It takes attempts and load requests over the worker protocol, installs
// packages, runs requests on replicas, and reports its load, its memory and what may have run before a crash.
//
// Which attempts are admitted, which replica runs them and which replica is evicted is decided by package admission;
// this package carries those decisions out.
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

// Names within a worker's folder.
const (
	journalFile    = "journal"
	packagesFolder = "packages"
	compiledFolder = "compiled"
)

// Options configure a Worker.
type Options struct {
	// Name identifies the worker in the worker registry and in its handshake.
	Name string
	// Folder belongs to this worker alone: journal, packages, compiled code.
	Folder string
	// Artifacts installs packages.
	Artifacts *distribution.Distributor
	// Executable is this program, which is started again for each wasm replica.
	Executable string
	// Limits bound what is admitted.
	Limits admission.Limits
	// MaxInFlight is how many unanswered attempts one connection may have.
	MaxInFlight int
	// WasmOverhead is the memory in bytes of a wasm replica beside its module's own.
	WasmOverhead int64
	// MaxResponseBytes is the longest response that a function may give.
	MaxResponseBytes int64
	// StartTimeout bounds a load: a replica that is not ready by then has failed to load.
	StartTimeout time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL to a replica.
	GracePeriod time.Duration
	// MemorySampleInterval is the time between two samples of the replicas' memory.
	MemorySampleInterval time.Duration
	// ReleasePollInterval is the time between two polls for new releases; 0: releases are not polled.
	ReleasePollInterval time.Duration
	// FailPoint is called at each named step of a load, for tests; may be nil.
	FailPoint func(point string)
	// ReplicaLog receives the standard output and error of all replicas; nil: they are discarded.
	ReplicaLog *os.File
	// MaxReplicaLogBytes is the size beyond which ReplicaLog is rotated to NAME.1; 0: never.
	MaxReplicaLogBytes int64
	// IdempotencyGroup has the registers of the workers that deduplicate each other's requests; nil: the worker's own
	// journal deduplicates only what this worker ran.
	IdempotencyGroup *idempotency.Group
	// Log receives the worker's own log; nil: it is discarded.
	Log *slog.Logger
}

// claimStore knows which requests with an idempotency key were started inside their windows: the worker's own
// journal, or the registers of a group.
type claimStore interface {
	Claim(ctx context.Context, key string, window time.Duration) (
		claim string, decision idempotency.Decision, response []byte)
	Complete(key, claim string, response []byte)
	Release(key, claim string) // the request was not run after all
}

// lifecycle is how far a worker is on its way from serving to closed. It only ever advances.
type lifecycle int

const (
	serving lifecycle = iota
	draining
	closed
)

// Worker is one incarnation of a worker: what it knows of earlier ones comes from the journal.
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

	mu           sync.Mutex // guards what follows
	state        lifecycle
	admission    *admission.Controller
	calls        callTable
	replicas     map[uint64]*replica
	releases     releaseSet
	loadRequests []*loadRequest
	coldStarts   coldStartTracker
	loadTimings  []LoadTimings
	memoryUsage  int64 // in bytes, at the last sample
	faults       faultinject.Faults
}

// New opens a worker's folder and polls for releases; while the artifact store does not answer, the releases known
// before are used. A folder that another worker uses is an error.
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

// clearInstalled removes what earlier incarnations installed and compiled: a new incarnation starts cold.
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

// Run serves gateways until ctx ends, then stops all replicas.
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

// Drain has the worker admit nothing new; what runs or waits is finished.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.state = max(w.state, draining)
	w.mu.Unlock()
	w.server.NotifyDraining(reasonDraining)
}

// Reset breaks all connections; the worker goes on serving.
func (w *Worker) Reset() { w.server.CloseConnections() }

// Utilization is the share of the calls that may run at a time that do run.
func (w *Worker) Utilization() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.admission.Running()) / float64(w.options.Limits.MaxRunning)
}

// InFlight is the number of calls that wait or run.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls.byID)
}

// InterruptedLoads lists the loads that the incarnation before did not end.
func (w *Worker) InterruptedLoads() []workerrpc.InterruptedLoad { return w.journal.interruptedLoads }

// now is the clock of admission.
func (w *Worker) now() time.Duration { return time.Since(w.started) }
