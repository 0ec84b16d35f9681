package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/worker"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/idempotency"
)

const (
	// maxInFlight is the maximum number of unanswered attempts on one connection of a gateway.
	maxInFlight = 256
	// wasmOverhead is the memory in bytes that a wasm replica uses in addition to the memory of its module.
	wasmOverhead = 96 << 20
	// maxResponseBytes is the maximum size of a function's response.
	maxResponseBytes = 12 << 20
	// startTimeout is the timeout of fetching a package and of starting a replica, each.
	startTimeout = time.Minute
	// gracePeriod is the time between SIGTERM and SIGKILL to a replica.
	gracePeriod = time.Second
	// memorySampleInterval is the interval at which the memory of the replicas is measured.
	memorySampleInterval = 50 * time.Millisecond
	// maxParallelChunks is the maximum number of chunks that are fetched in parallel.
	maxParallelChunks = 16
	// readHeaderTimeout is the timeout for reading the headers of an HTTP request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request for a chunk.
	maxHeaderBytes = 16 << 10
	// drainPollInterval is the interval at which a draining worker checks for attempts in flight.
	drainPollInterval = 20 * time.Millisecond
)

// serveCmd is the subcommand that runs the worker. A name tag gives the flag's name where it differs from the field's.
type serveCmd struct {
	Name   string `required:"" help:"Name of the worker in the registry."`
	Listen string `default:"127.0.0.1:0" help:"Address for gateways."`
	Folder string `required:"" type:"path" help:"Folder of this worker alone: journal, fetched packages, compiled code."`

	Store        string        `default:"http://127.0.0.1:8730" help:"Address of the artifact store."`
	Refresh      time.Duration `default:"2s" help:"Interval at which the store is polled for new releases."`
	Chunks       string        `default:"127.0.0.1:0" help:"Address from which other workers fetch chunks."`
	Cache        int64         `default:"1024" help:"Size of the chunk cache on disk in MiB."`
	Network      float64       `default:"1000" help:"Network bandwidth of the worker in MB per second."`
	UploadShare  float64       `name:"share" default:"0.25" help:"Maximum share of --network for uploads to workers."`
	ChunkTimeout time.Duration `name:"patience" default:"30s" help:"Timeout of fetching a chunk."`

	Registry string        `name:"list" default:"http://127.0.0.1:8710" help:"Address of the registry; empty: none."`
	Lease    time.Duration `default:"3s" help:"Time after which the registry drops the worker if it doesn't renew."`
	Zone     string        `default:"zone-0"`
	Cell     string        `default:"0"`
	Kind     string        `help:"Kind of machine, from fleet.workers.kinds of the settings; empty: unknown."`
	Cores    float64       `default:"2" help:"Number of cores in the worker's registry entry."`

	Memory      int64         `default:"2048" help:"Memory for all replicas together in MiB."`
	Running     int           `default:"8" help:"Maximum number of requests that run at a time."`
	Waiting     int           `default:"128" help:"Maximum number of requests that wait; more are rejected."`
	Loads       int           `default:"2" help:"Maximum number of replicas that load at a time."`
	IdleTimeout time.Duration `name:"keep" default:"8s" help:"Time after which an idle replica is unloaded."`
	Drain       time.Duration `default:"10s" help:"Time that running and waiting requests have to complete on SIGTERM."`
	LoadOnMiss  bool          `name:"on-miss" default:"true" negatable:"" help:"Load a replica if a request needs one."`

	Registers []string `help:"Idempotency registers, HOST:PORT,...; an odd number, the same in the whole group."`
	Control   string   `help:"Address of the control interface, which injects faults; off by default."`

	ReplicaLog     string `name:"effects" type:"path" help:"File for the logs of all replicas."`
	ReplicaLogSize int64  `name:"most-log" default:"256" help:"Size in MiB at which that file is rotated to NAME.1."`
}

// Run serves until a signal arrives, then drains the worker.
func (c *serveCmd) Run(ctx context.Context, log *slog.Logger) (err error) {
	if err := c.validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	options, err := c.workerOptions(log)
	if err != nil {
		return err
	}
	if c.ReplicaLog != "" {
		options.ReplicaLog, err = os.OpenFile(c.ReplicaLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, options.ReplicaLog.Close()) }()
	}
	if len(c.Registers) > 0 {
		if options.IdempotencyGroup, err = idempotency.NewGroup(c.Registers, c.Lease, log); err != nil {
			return err
		}
		defer options.IdempotencyGroup.Close()
	}
	peers := newPeerList()
	if options.Artifacts, err = c.newDistributor(peers, log); err != nil {
		return err
	}
	defer options.Artifacts.Close()
	w, err := worker.New(options)
	if err != nil {
		return err
	}
	for _, load := range w.InterruptedLoads() {
		log.Warn("previous incarnation crashed during a load",
			"function", load.Function, "version", load.Version, "requests", load.Requests)
	}
	return c.serve(ctx, w, options.Artifacts, peers, log)
}

// validate checks that addresses are on loopback and that numbers are within their bounds.
func (c *serveCmd) validate() error {
	for _, address := range []string{c.Listen, c.Control, c.Chunks} {
		if address == "" {
			continue
		}
		if err := config.CheckLoopback(address); err != nil {
			return err
		}
	}
	positive := c.Memory >= 1 && c.Running >= 1 && c.Waiting >= 1 && c.Loads >= 1 && c.IdleTimeout > 0 && c.Cores > 0 &&
		c.Lease > 0 && c.Refresh > 0 && c.Cache >= 1 && c.Network > 0 && c.ChunkTimeout > 0
	if !positive || c.UploadShare <= 0 || c.UploadShare > 1 {
		return errors.New("--memory, --running, --waiting, --loads, --keep, --cores, --lease, --refresh, --cache, " +
			"--network and --patience must be above 0, --share above 0 and at most 1")
	}
	return nil
}

// workerOptions returns the worker's options without the ones that need an open file or connection.
func (c *serveCmd) workerOptions(log *slog.Logger) (worker.Options, error) {
	executable, err := os.Executable()
	if err != nil {
		return worker.Options{}, err
	}
	return worker.Options{
		Name:                 c.Name,
		Folder:               c.Folder,
		Executable:           executable,
		MaxInFlight:          maxInFlight,
		WasmOverhead:         wasmOverhead,
		MaxResponseBytes:     maxResponseBytes,
		StartTimeout:         startTimeout,
		GracePeriod:          gracePeriod,
		MemorySampleInterval: memorySampleInterval,
		ReleasePollInterval:  c.Refresh,
		MaxReplicaLogBytes:   c.ReplicaLogSize << 20,
		Log:                  log,
		Limits: admission.Limits{
			MemoryBytes: c.Memory << 20,
			MaxRunning:  c.Running,
			MaxWaiting:  c.Waiting,
			MaxLoads:    c.Loads,
			IdleTimeout: c.IdleTimeout,
			LoadOnMiss:  c.LoadOnMiss,
		},
	}, nil
}

// newDistributor opens the chunk cache and returns the distributor, which fetches packages and serves chunks.
func (c *serveCmd) newDistributor(peers *peerList, log *slog.Logger) (*distribution.Distributor, error) {
	chunks, err := cache.Open(c.Folder, c.Cache<<20, log)
	if err != nil {
		return nil, err
	}
	return distribution.New(distribution.Options{
		Name:                  c.Name,
		Folder:                c.Folder,
		Store:                 artifactstore.Client{BaseURL: c.Store, HTTPClient: &http.Client{}},
		Cache:                 chunks,
		Peers:                 peers.current,
		NetworkBytesPerSecond: c.Network * 1e6,
		UploadShare:           c.UploadShare,
		MaxUploads:            2 * c.Running,
		ChunkTimeout:          c.ChunkTimeout,
		MaxParallelChunks:     maxParallelChunks,
		Log:                   log,
	})
}

// serve serves gateways, other workers and the control interface until ctx ends, then drains the worker and stops all
// servers.
func (c *serveCmd) serve(
	ctx context.Context, w *worker.Worker, artifacts *distribution.Distributor, peers *peerList, log *slog.Logger,
) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	chunkListener, err := net.Listen("tcp", c.Chunks)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	var controlListener net.Listener
	if c.Control != "" {
		if controlListener, err = net.Listen("tcp", c.Control); err != nil {
			return errors.Join(err, listener.Close(), chunkListener.Close())
		}
	}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return w.Run(serving, listener) })
	chunkServer := &http.Server{
		Handler:           artifacts.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group.Go(func() error { return httpserver.Serve(serving, chunkServer, chunkListener, 0) })
	if controlListener != nil {
		controlServer := &http.Server{Handler: w.ControlHandler(), ReadHeaderTimeout: readHeaderTimeout}
		group.Go(func() error { return httpserver.Serve(serving, controlServer, controlListener, 0) })
	}
	entry := c.registryEntry(listener.Addr(), chunkListener.Addr())
	group.Go(func() error {
		defer stop()
		c.maintainRegistration(ctx, entry, peers, log)
		c.drain(w)
		return nil
	})
	log.Info("worker listening", "address", entry.Addr)
	return group.Wait()
}

// drain stops the admission of new requests and waits for those in flight to complete, at most c.Drain.
func (c *serveCmd) drain(w *worker.Worker) {
	w.Drain()
	for end := time.Now().Add(c.Drain); time.Now().Before(end) && w.InFlight() > 0; {
		time.Sleep(drainPollInterval)
	}
}
