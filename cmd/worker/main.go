// Command worker is a worker.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/base/telemetry"
	"lupinpond/internal/registry"
	"lupinpond/internal/worker"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/worker/runner"
)

type cli struct {
	telemetry.Flags
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Load packages and run events."`
	Register registerCmd `cmd:"" help:"Keep the keys of keyed events for a group of workers."`
	Pack     packCmd     `cmd:"" help:"Write the manifest of a package whose content stands in a folder."`
	WasmCopy wasmCopyCmd `cmd:"" hidden:"" help:"Run one copy of a wasm package (started by the worker itself)."`
}

type serveCmd struct {
	Name      string        `required:"" help:"Name in the list of workers."`
	Listen    string        `default:"127.0.0.1:0" help:"Where front ends come."`
	Folder    string        `required:"" help:"This worker's own folder: journal, fetched packages, compiled code." type:"path"`
	Store     string        `default:"http://127.0.0.1:8730" help:"Address of the artifact store."`
	Refresh   time.Duration `default:"2s" help:"Between two questions for new releases."`
	Chunks    string        `default:"127.0.0.1:0" help:"Where it gives chunks to other workers of the list."`
	Cache     int64         `default:"1024" help:"MiB of chunks kept on disk."`
	Network   float64       `default:"1000" help:"MB a second that its network carries."`
	Share     float64       `default:"0.25" help:"Part of that given to other workers at the most."`
	Patience  time.Duration `default:"30s" help:"How long one chunk is looked for."`
	List      string        `default:"http://127.0.0.1:8710" help:"Address of the registry; empty: it is put on no list."`
	Lease     time.Duration `default:"3s" help:"Unless renewed for so long it is taken off the list."`
	Zone      string        `default:"zone-0"`
	Cell      string        `default:"0"`
	Kind      string        `help:"Kind of machine, as fleet.workers.kinds names it; empty: not told."`
	Cores     float64       `default:"2" help:"Cores, as the list tells them."`
	Memory    int64         `default:"2048" help:"MiB for all copies."`
	Running   int           `default:"8" help:"Events at a time."`
	Waiting   int           `default:"128" help:"Events that may wait; more are turned away as full."`
	Loads     int           `default:"2" help:"Loads at a time."`
	Keep      time.Duration `default:"8s" help:"An idle copy stays so long."`
	Drain     time.Duration `default:"10s" help:"On SIGTERM, what runs or waits has so long to end."`
	OnMiss    bool          `default:"true" negatable:"" help:"An event for a function without a copy has it loaded."`
	Registers []string      `help:"Registers of this worker's group, HOST:PORT,...; an odd number, the same for all of the group. None: it drops its own repeats only."`
	Control   string        `help:"Address of the control interface, which has the worker misbehave; off unless named."`
	Effects   string        `help:"File for the logs of all copies." type:"path"`
	MostLog   int64         `default:"256" help:"MiB of that file; beyond it is moved to NAME.1 and begun anew."`
}

// Run serves until a signal; then it finishes what it has.
func (c *serveCmd) Run(ctx context.Context, log *slog.Logger) (err error) {
	for _, addr := range []string{c.Listen, c.Control, c.Chunks} {
		if addr != "" {
			if err := config.CheckLoopback(addr); err != nil {
				return err
			}
		}
	}
	if c.Memory < 1 || c.Running < 1 || c.Waiting < 1 || c.Loads < 1 || c.Keep <= 0 || c.Cores <= 0 || c.Lease <= 0 ||
		c.Refresh <= 0 || c.Cache < 1 || c.Network <= 0 || c.Share <= 0 || c.Share > 1 || c.Patience <= 0 {
		return errors.New("memory, running, waiting, loads, keep, cores, lease, refresh, cache, network and patience are more than 0, " +
			"share is up to 1")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	o := worker.Options{Name: c.Name, Folder: c.Folder, ReleasePollInterval: c.Refresh, Executable: self, MaxInFlight: 256, WasmOverhead: 96 << 20, MaxResponseBytes: 12 << 20,
		StartTimeout: time.Minute, GracePeriod: time.Second, MemorySampleInterval: 50 * time.Millisecond, Log: log,
		MaxReplicaLogBytes: c.MostLog << 20,
		Limits:             admission.Limits{MemoryBytes: c.Memory << 20, MaxRunning: c.Running, MaxWaiting: c.Waiting, MaxLoads: c.Loads, IdleTimeout: c.Keep, LoadOnMiss: c.OnMiss}}
	if c.Effects != "" {
		if o.ReplicaLog, err = os.OpenFile(c.Effects, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, o.ReplicaLog.Close()) }()
	}
	if len(c.Registers) > 0 {
		if o.IdempotencyGroup, err = idempotency.NewGroup(c.Registers, c.Lease, log); err != nil {
			return err
		}
		defer o.IdempotencyGroup.Close()
	}
	var peers atomic.Pointer[[]distribution.Peer]
	peers.Store(&[]distribution.Peer{})
	chunks, err := cache.Open(c.Folder, c.Cache<<20, log)
	if err != nil {
		return err
	}
	o.Artifacts, err = distribution.New(distribution.Options{Name: c.Name, Folder: c.Folder, Store: artifactstore.Client{BaseURL: c.Store, HTTPClient: &http.Client{}},
		Cache: chunks, Peers: func() []distribution.Peer { return *peers.Load() }, NetworkBytesPerSecond: c.Network * 1e6, UploadShare: c.Share, MaxUploads: 2 * c.Running,
		ChunkTimeout: c.Patience, MaxParallelChunks: 16, Log: log})
	if err != nil {
		return err
	}
	defer o.Artifacts.Close()
	w, err := worker.New(o)
	if err != nil {
		return err
	}
	for _, cut := range w.InterruptedLoads() {
		log.Warn("the last life died during a load", "function", cut.Function, "version", cut.Version, "events", cut.Requests)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	gives, err := net.Listen("tcp", c.Chunks)
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return w.Run(serving, listener) })
	giver := &http.Server{Handler: o.Artifacts.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	g.Go(func() error { return httpserver.Serve(serving, giver, gives, 0) })
	if c.Control != "" {
		orders, err := net.Listen("tcp", c.Control)
		if err != nil {
			return err
		}
		control := &http.Server{Handler: w.ControlHandler(), ReadHeaderTimeout: 5 * time.Second}
		g.Go(func() error { return httpserver.Serve(serving, control, orders, 0) })
	}
	entry := registry.Entry{Name: c.Name, Addr: listener.Addr().String(), Zone: c.Zone, Cell: c.Cell, Kind: c.Kind, Cores: c.Cores, State: registry.InService,
		Started: time.Now(), ChunkAddr: gives.Addr().String()}
	g.Go(func() error {
		defer stop()
		if c.List == "" {
			<-ctx.Done()
		} else {
			c.maintainRegistration(ctx, entry, &peers, log)
		}
		w.Drain()
		for end := time.Now().Add(c.Drain); time.Now().Before(end) && w.InFlight() > 0; {
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	})
	log.Info("worker listens", "address", entry.Addr)
	return g.Wait()
}

// maintainRegistration keeps the worker on the list until ctx ends, then it is marked as draining; and learns who else gives chunks.
func (c *serveCmd) maintainRegistration(ctx context.Context, e registry.Entry, peers *atomic.Pointer[[]distribution.Peer], log *slog.Logger) {
	list := registry.Client{BaseURL: c.List, HTTP: &http.Client{Timeout: c.Lease}}
	put := func() {
		if err := list.Register(context.WithoutCancel(ctx), e, c.Lease); err != nil { // the last one says that it drains
			log.Warn("not put on the list", "err", err)
		}
		listed, err := list.Workers(context.WithoutCancel(ctx))
		if err != nil {
			return // those that it knows go on being asked
		}
		var all []distribution.Peer
		for _, x := range listed {
			if x.ChunkAddr != "" && x.State == registry.InService {
				all = append(all, distribution.Peer{Name: x.Name, Addr: x.ChunkAddr})
			}
		}
		peers.Store(&all)
	}
	tick := time.NewTicker(c.Lease / 3)
	defer tick.Stop()
	for put(); ; put() {
		select {
		case <-ctx.Done():
			e.State = registry.Draining
			put()
			return
		case <-tick.C:
		}
	}
}

type registerCmd struct {
	Listen string `default:"127.0.0.1:0" help:"Where workers ask."`
	Folder string `required:"" type:"path" help:"Where its file stands."`
	Most   int    `default:"1000000" help:"Keys inside their windows; beyond it nothing is granted."`
}

// Run serves until a signal.
func (c *registerCmd) Run(ctx context.Context, log *slog.Logger) (err error) {
	if err := config.CheckLoopback(c.Listen); err != nil {
		return err
	}
	if c.Most < 1 {
		return errors.New("most is more than 0")
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	r, err := idempotency.Open(c.Folder, c.Most)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return httpserver.Serve(ctx, server, listener, 10*time.Second) })
	g.Go(func() error {
		return httpserver.RunPeriodically(ctx, time.Second, func() error {
			_, err := r.Sweep()
			return err
		})
	})
	log.Info("register listens", "address", listener.Addr().String())
	return g.Wait()
}

type packCmd struct {
	Folder  string        `arg:"" type:"existingdir" help:"The package's folder, with its entry in it."`
	Name    string        `required:"" help:"The function's name."`
	Version string        `required:"" help:"The release."`
	Type    string        `required:"" help:"The event type."`
	Kind    string        `enum:"wasm,process" required:"" help:"wasm or process."`
	Entry   string        `required:"" help:"The file that is run."`
	Lanes   int           `default:"1"`
	Memory  int64         `default:"64" help:"MiB that a copy may hold."`
	Time    time.Duration `default:"10s" help:"Most time of one event."`
}

// Run writes the manifest.
func (c *packCmd) Run() error {
	p, err := manifest.Write(c.Folder, manifest.Manifest{Name: c.Name, Version: c.Version, Type: c.Type, Kind: c.Kind, EntryPoint: c.Entry,
		Concurrency: c.Lanes, MemoryLimit: config.ByteSize(c.Memory << 20), Timeout: config.Duration(c.Time)})
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s version %s, digest %.12s\n", filepath.Join(c.Folder, "manifest.yaml"), p.Name, p.Version, p.Digest)
	return nil
}

type wasmCopyCmd struct {
	File   string `arg:"" type:"existingfile"`
	Lanes  int    `default:"1"`
	Memory int64  `required:""`
	Cache  string `required:""`
}

// Run runs a copy until it is asked to end.
func (c *wasmCopyCmd) Run(ctx context.Context) error {
	return runner.RunWasm(ctx, runner.WasmOptions{
		File:             c.File,
		Concurrency:      c.Lanes,
		MemoryBytes:      c.Memory,
		CompilationCache: c.Cache,
	})
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("worker"), kong.Description("A worker of lupinpond: loads packages and runs events."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(telemetry.NewLogger(os.Stderr, c.Flags))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		stop()
		os.Exit(1)
	}
}
