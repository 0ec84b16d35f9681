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

// Settings of workers. Timeouts are long enough for a busy machine; intervals are short so that tests don't wait long.
const (
	maxInFlight          = 256
	maxResponseBytes     = 1 << 20
	startTimeout         = 20 * time.Second
	gracePeriod          = time.Second
	memorySampleInterval = 500 * time.Millisecond
	releasePollInterval  = 500 * time.Millisecond
	chunkTimeout         = 5 * time.Second
)

// RuntimeOptions configures a Runtime.
type RuntimeOptions struct {
	Name         string
	Folder       string // used by this worker alone
	Releases     *Releases
	Limits       admission.Limits
	ExecutionLog *os.File                   // receives the output of all replicas
	Claims       *idempotency.Group         // worker.Options.IdempotencyGroup
	Peers        func() []distribution.Peer // returns the workers that serve chunks; nil if there are none
}

// Runtime is a worker of the worker runtime within the current process.
type Runtime struct {
	options RuntimeOptions

	mu          sync.Mutex
	worker      *worker.Worker
	chunkServer *ChunkServer
	cancel      context.CancelFunc // stops the current incarnation; nil if there is none
	stopped     chan error         // receives the result of the worker's Run
}

// NewRuntime returns a worker that is not started.
func NewRuntime(options RuntimeOptions) *Runtime { return &Runtime{options: options} }

// Name returns the worker's name.
func (r *Runtime) Name() string { return r.options.Name }

// Start starts an incarnation, see Worker.Start.
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

// Stop stops the incarnation; running requests are lost.
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

// ChunkAddr returns the address at which the worker serves chunks to other workers, or "" while the worker is stopped.
func (r *Runtime) ChunkAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel == nil {
		return ""
	}
	return r.chunkServer.Addr
}

// Crashes returns 0: the worker runtime doesn't crash from overload while warming up.
func (r *Runtime) Crashes() int { return 0 }

// InjectFault changes the faults that are injected into the worker.
func (r *Runtime) InjectFault(change func(*faultinject.Faults)) { r.current().UpdateFaults(change) }

// SetUnresponsive stops the worker from reading and writing on its connections, or lets it continue.
func (r *Runtime) SetUnresponsive(unresponsive bool) { r.current().Silence(unresponsive) }

// Reset closes the worker's connections; the worker continues to accept new ones.
func (r *Runtime) Reset() { r.current().Reset() }

// Drain starts the drain of the worker: it rejects new work, finishes accepted work and announces the drain on its
// connections.
func (r *Runtime) Drain() { r.current().Drain() }

// Redeploy makes the worker read the current releases from the store, where the new release has been published for all
// workers.
func (r *Runtime) Redeploy(string) {
	_ = r.current().RefreshReleases(context.Background()) // if the store can't be read, the old releases stay active
}

func (r *Runtime) current() *worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker
}
