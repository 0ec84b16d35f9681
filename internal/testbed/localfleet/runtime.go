package localfleet

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/worker"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/worker/idempotency"
)

// How workers of the runtime are set up: patient where a loaded machine is slow, quick where a test waits.
const (
	maxInFlight          = 256
	maxResponseBytes     = 1 << 20
	startTimeout         = 20 * time.Second
	gracePeriod          = time.Second
	memorySampleInterval = 500 * time.Millisecond
	releasePollInterval  = 500 * time.Millisecond
	chunkTimeout         = 5 * time.Second
)

// RuntimeOptions are what a Runtime is made from.
type RuntimeOptions struct {
	Name         string
	Folder       string // its own
	Releases     *Releases
	Limits       admission.Limits
	ExecutionLog *os.File                   // gets the log of all replicas
	Claims       *idempotency.Group         // see worker.Options
	Peers        func() []distribution.Peer // that give chunks; nil: none
}

// Runtime is the worker runtime, started and stopped within this process.
type Runtime struct {
	options RuntimeOptions

	mu          sync.Mutex
	worker      *worker.Worker
	chunkServer *ChunkServer
	cancel      context.CancelFunc // of the incarnation; nil: stopped
	stopped     chan error
}

// NewRuntime makes a worker that is not started.
func NewRuntime(options RuntimeOptions) *Runtime { return &Runtime{options: options} }

// Name is the worker's name.
func (r *Runtime) Name() string { return r.options.Name }

// Start begins an incarnation.
func (r *Runtime) Start(addr string, uptime time.Duration) (listenAddr string, started time.Time, err error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	storeURL := r.options.Releases.store.Client.BaseURL
	chunks, err := NewChunkServer(r.options.Name, r.options.Folder, storeURL, chunkTimeout, r.options.Peers, nil)
	if err != nil {
		return "", time.Time{}, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		chunks.Close()
		return "", time.Time{}, err
	}
	w, err := worker.New(r.workerOptions(chunks.Distributor))
	if err != nil {
		chunks.Close()
		return "", time.Time{}, errors.Join(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	r.worker, r.chunkServer, r.cancel, r.stopped = w, chunks, cancel, stopped
	go func() { stopped <- w.Run(ctx, listener) }()
	return listener.Addr().String(), time.Now().Add(-uptime), nil
}

func (r *Runtime) workerOptions(artifacts *distribution.Distributor) worker.Options {
	return worker.Options{
		Name:                 r.options.Name,
		Folder:               r.options.Folder,
		Artifacts:            artifacts,
		MaxInFlight:          maxInFlight,
		MaxResponseBytes:     maxResponseBytes,
		StartTimeout:         startTimeout,
		GracePeriod:          gracePeriod,
		MemorySampleInterval: memorySampleInterval,
		ReleasePollInterval:  releasePollInterval,
		ReplicaLog:           r.options.ExecutionLog,
		IdempotencyGroup:     r.options.Claims,
		Limits:               r.options.Limits,
	}
}

// Stop ends the incarnation; what ran is lost.
func (r *Runtime) Stop() {
	r.mu.Lock()
	cancel, stopped, w, chunks := r.cancel, r.stopped, r.worker, r.chunkServer
	r.cancel = nil
	r.mu.Unlock()
	if cancel == nil {
		return
	}
	w.Silence(false)
	cancel()
	chunks.Close()
	<-stopped
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

// Crashes is 0: the runtime bears what it gets while warming up.
func (r *Runtime) Crashes() int { return 0 }

// InjectFault has it misbehave from now on.
func (r *Runtime) InjectFault(change func(*faultinject.Faults)) { r.current().UpdateFaults(change) }

// SetUnresponsive has it neither read nor write, or no more.
func (r *Runtime) SetUnresponsive(unresponsive bool) { r.current().Silence(unresponsive) }

// Reset breaks its connections.
func (r *Runtime) Reset() { r.current().Reset() }

// Drain drains it.
func (r *Runtime) Drain() { r.current().Drain() }

// Redeploy has it read the releases anew. The release itself is in the store, for all workers.
func (r *Runtime) Redeploy(string) {
	_ = r.current().RefreshReleases(context.Background()) // a store that can't be read leaves them as they are
}

func (r *Runtime) current() *worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker
}
