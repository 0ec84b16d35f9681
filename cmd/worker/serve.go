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
	// maxInFlight is how many unanswered attempts one connection of a gateway may have.
	maxInFlight = 256
	// wasmOverhead is the memory in bytes of a wasm replica beside its module's own.
	wasmOverhead = 96 << 20
	// maxResponseBytes is the longest response of a function.
	maxResponseBytes = 12 << 20
	// startTimeout bounds a load.
	startTimeout = time.Minute
	// gracePeriod is the time between SIGTERM and SIGKILL to a replica.
	gracePeriod = time.Second
	// memorySampleInterval is the time between two samples of the replicas' memory.
	memorySampleInterval = 50 * time.Millisecond
	// maxParallelChunks is how many chunks are fetched at a time.
	maxParallelChunks = 16
	// readHeaderTimeout bounds the headers of a request to an HTTP interface.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the most that these headers may have.
	maxHeaderBytes = 16 << 10
	// drainPollInterval is the time between two looks at what is left to drain.
	drainPollInterval = 20 * time.Millisecond
)

// serveCmd is the subcommand that serves. Where a field's name is not the flag's, name has the flag's.
type serveCmd struct {
	Name   string `required:"" help:"Name in the worker registry."`
	Listen string `default:"127.0.0.1:0" help:"Address for gateways."`
	Folder string `required:"" type:"path" help:"This worker's own folder: journal, fetched packages, compiled code."`

	Store        string        `default:"http://127.0.0.1:8730" help:"Address of the artifact store."`
	Refresh      time.Duration `default:"2s" help:"Time between two polls for new releases."`
	Chunks       string        `default:"127.0.0.1:0" help:"Address at which other workers fetch chunks."`
	Cache        int64         `default:"1024" help:"MiB of chunks cached on disk."`
	Network      float64       `default:"1000" help:"MB a second that the worker's network carries."`
	UploadShare  float64       `name:"share" default:"0.25" help:"Most of that for uploads to other workers."`
	ChunkTimeout time.Duration `name:"patience" default:"30s" help:"Time after which a chunk is given up."`

	Registry string        `name:"list" default:"http://127.0.0.1:8710" help:"Address of the registry; empty: none."`
	Lease    time.Duration `default:"3s" help:"Time after which the registry drops the worker unless it renews."`
	Zone     string        `default:"zone-0"`
	Cell     string        `default:"0"`
	Kind     string        `help:"Kind of machine, as fleet.workers.kinds names it; empty: unknown."`
	Cores    float64       `default:"2" help:"Cores, as the registry lists them."`

	Memory      int64         `default:"2048" help:"MiB for all replicas."`
	Running     int           `default:"8" help:"Requests at a time."`
	Waiting     int           `default:"128" help:"Requests that may wait; more are rejected."`
	Loads       int           `default:"2" help:"Loads at a time."`
	IdleTimeout time.Duration `name:"keep" default:"8s" help:"Time after which an idle replica is unloaded."`
	Drain       time.Duration `default:"10s" help:"On SIGTERM, time for what runs or waits to end."`
	LoadOnMiss  bool          `name:"on-miss" default:"true" negatable:"" help:"A request without a replica loads one."`

	Registers []string `help:"Registers of the worker's group, HOST:PORT,...; an odd number, the same for all of it."`
	Control   string   `help:"Address of the control interface, which injects faults; off unless named."`

	ReplicaLog     string `name:"effects" type:"path" help:"File for the logs of all replicas."`
	ReplicaLogSize int64  `name:"most-log" default:"256" help:"MiB of that file; beyond it is rotated to NAME.1."`
}

// Run serves until a signal; then it drains.
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

// validate checks what the flags' types do not.
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
		return errors.New("memory, running, waiting, loads, keep, cores, lease, refresh, cache, network and patience " +
			"are more than 0, share is up to 1")
	}
	return nil
}

// workerOptions are the options that need nothing opened.
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

// newDistributor opens the chunk cache and makes what fetches packages.
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

// serve listens and serves until ctx ends, then drains the worker and ends all servers.
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

// drain has the worker admit nothing new, and waits for the end of what it has, for a time.
func (c *serveCmd) drain(w *worker.Worker) {
	w.Drain()
	for end := time.Now().Add(c.Drain); time.Now().Before(end) && w.InFlight() > 0; {
		time.Sleep(drainPollInterval)
	}
}
