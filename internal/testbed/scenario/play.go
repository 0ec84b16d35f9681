package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/base/capture"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/checker"
	"lupinpond/internal/testbed/emulator"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/worker/idempotency"
)

// Result is how a day went.
type Result struct {
	Scenario            string `json:"Day"`
	Verdict             checker.Verdict
	Clients             ClientStats
	Gateways            gateway.Counts `json:"Gates"`   // of all lives of all front ends
	DuplicateExecutions []string       `json:"Doubles"` // at-most-once events that ran twice, counted at the workers
	WorkerCrashes       int            `json:"Falls"`   // workers that fell over
	Arrivals            int
	ServedInTimeShare   float64 `json:"ServiceOf"` // part of the events that were served in their target time
}

// Passed tells whether no rule was broken and no at-most-once event ran twice.
func (r Result) Passed() bool { return r.Verdict.Passed() && len(r.DuplicateExecutions) == 0 }

// Options of a played day.
type Options struct {
	Config                  fleetconfig.File
	OutputDir               string // folder for captures, list news, settings and core recordings; "": nothing is kept
	Log                     *slog.Logger
	Progress                func(part float64) // told now and then; may be nil
	DisablePeerDistribution bool               // with Payroll: workers give each other no chunks, as a baseline
	PayrollBinary           string             // the built example package payroll: workers are the worker runtime and run it; "": imitations
}

// gatewayInstance is one life of a front end.
type gatewayInstance struct {
	gateway     *gateway.Gateway
	capture     *checker.GatewayCapture
	mu          sync.Mutex
	drain       context.CancelFunc
	kill        context.CancelFunc
	tap         *capture.Tap
	done        chan error
	recording   *os.File
	finalCounts gateway.Counts
	stopped     bool
}

type run struct {
	scenario     Scenario
	options      Options
	startedAt    time.Time
	registry     *registry.Registry
	registryAddr string // its address
	workers      []localfleet.Worker
	dir          string // of the worker runtime's folders
	releases     *localfleet.Releases
	storeRate    float64 // bytes a second of the runtime's store
	executionLog *os.File
	claims       *idempotency.Group
	entries      []registry.Entry
	store        *emulator.Store
	executions   *emulator.ExecutionLog
	clients      *clientPool

	mu              sync.Mutex
	instances       []*gatewayInstance
	running         []*gatewayInstance          // by front end
	cachedEndpoints map[int]registry.WatchEvent // the list as each front end last kept it
	deliveries      []checker.Delivery
	captureDisabled bool // nothing is captured
	startRegistry   func() (io.Closer, error)
	registryServer  io.Closer
}

// Play plays a day and judges it. An error says that the day could not be played, not that it went badly.
func Play(ctx context.Context, day Scenario, o Options) (Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &run{scenario: day, options: o, startedAt: time.Now(), store: emulator.NewStore(day.StoreCapacity), executions: emulator.NewExecutionLog(),
		registryAddr: "127.0.0.1:0", cachedEndpoints: map[int]registry.WatchEvent{}}
	if o.OutputDir != "" {
		if err := os.MkdirAll(o.OutputDir, 0o755); err != nil {
			return Result{}, fmt.Errorf("rehearse %s: %w", day.Name, err)
		}
		if old, err := os.ReadDir(o.OutputDir); err != nil || len(old) > 0 {
			return Result{}, fmt.Errorf("rehearse %s: %s holds %d files already, an empty folder is needed (%v)",
				day.Name, o.OutputDir, len(old), err)
		}
	}
	res, err := s.play(ctx)
	if err != nil {
		return res, fmt.Errorf("rehearse %s: %w", day.Name, err)
	}
	return res, nil
}

func (s *run) play(ctx context.Context) (res Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if s.options.PayrollBinary != "" {
		end, err := s.startRuntime()
		if err != nil {
			return res, err
		}
		defer end()
	}
	if err := s.startFleet(ctx); err != nil {
		return res, err
	}
	defer func() {
		for _, w := range s.workers {
			w.Stop()
		}
	}()
	defer func() { _ = s.registryServer.Close() }() // its streams end with the front ends
	var addrs []string
	for i := range s.scenario.Gateways {
		addr, err := s.startGateway(i, "127.0.0.1:0")
		if err != nil {
			return res, err
		}
		addrs = append(addrs, addr)
	}
	defer func() {
		for _, l := range s.running {
			s.stopGateway(l, false)
		}
	}()
	s.clients = &clientPool{scenario: s.scenario, addrs: addrs, slack: s.options.Config.Fleet.AnswerSlack.Std(), idle: map[string][]*clientConn{},
		disconnectAfter: map[string]time.Duration{}}
	defer s.clients.close()
	time.Sleep(100 * time.Millisecond) // the fronts hear of the list: the day begins with it known

	arrivals := s.scenario.drawArrivals(s.options.Config)
	start := time.Now()
	g, gctx := errgroup.WithContext(ctx)
	for _, t := range s.scenario.Faults {
		g.Go(func() error { return s.injectFault(gctx, start, t) })
	}
	g.Go(func() error {
		for i, a := range arrivals {
			if err := httpserver.Sleep(gctx, time.Until(start.Add(a.at))); err != nil {
				return err
			}
			t, _ := s.options.Config.RequestType(a.function.Type)
			g.Go(func() error {
				s.clients.runRequest(gctx, a, t.Objective.Std(), t.MaxAge.Std(), t.Effect, t.DedupScope)
				return nil
			})
			if s.options.Progress != nil && i%16 == 0 {
				s.options.Progress(float64(a.at) / float64(s.scenario.Duration))
			}
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return res, err
	}
	s.clients.close()
	for _, l := range s.running { // drained: everything in hand is answered
		if err := s.stopGateway(l, true); err != nil {
			return res, err
		}
	}
	res = Result{Scenario: s.scenario.Name, Clients: s.clients.stats, Arrivals: len(arrivals)}
	for _, l := range s.instances {
		res.Gateways = addCounts(res.Gateways, l.finalCounts)
	}
	for _, w := range s.workers {
		res.WorkerCrashes += w.Crashes()
	}
	if res.DuplicateExecutions, err = s.duplicateExecutions(arrivals); err != nil {
		return res, err
	}
	res.ServedInTimeShare = float64(res.Clients.InTime) / float64(max(1, res.Clients.Requests))
	facts := checker.Input{Config: s.options.Config, Deliveries: s.deliveries, ClockBase: s.startedAt, End: time.Since(s.startedAt)}
	for _, l := range s.instances {
		facts.Captures = append(facts.Captures, *l.capture)
	}
	if res.Verdict, err = checker.Check(facts); err != nil {
		return res, err
	}
	if s.options.OutputDir != "" {
		return res, checker.Save(s.options.OutputDir, facts)
	}
	return res, nil
}

// startRuntime makes what the worker runtime needs: the store, folders, the log of all copies.
func (s *run) startRuntime() (end func(), err error) {
	if s.dir, err = os.MkdirTemp(scratchDir(), "lupinpond-rehearse-"); err != nil {
		return nil, err
	}
	st, err := os.Stat(s.options.PayrollBinary)
	if err != nil {
		return nil, fmt.Errorf("the example package: %w", err)
	}
	// so many fetches of a whole package at full speed, each in the time that a load usually takes
	usual := time.Second
	for _, fn := range s.options.Config.Functions {
		if fn.LoadTime > 0 {
			usual = fn.LoadTime.Std()
			break
		}
	}
	s.storeRate = float64(s.scenario.StoreCapacity) * float64(st.Size()) / usual.Seconds()
	if s.releases, err = localfleet.NewReleases(filepath.Join(s.dir, "store"), s.options.PayrollBinary, s.options.Config, artifactstore.Capacity{BytesPerSecond: s.storeRate,
		MaxConcurrent: 8 * s.scenario.StoreCapacity}); err == nil {
		s.executionLog, err = os.OpenFile(filepath.Join(s.dir, "effects"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	}
	var registers func()
	if err == nil {
		registers, err = s.startClaimServers()
	}
	if err != nil {
		os.RemoveAll(s.dir)
		return nil, err
	}
	return func() {
		s.claims.Close()
		registers()
		_ = s.releases.Close() // its folder goes next
		s.executionLog.Close()
		os.RemoveAll(s.dir)
	}, nil
}

const (
	memoryDir      = "/dev/shm"
	minMemoryBytes = 4 << 30 // bytes that a few days at a time may take
)

// scratchDir is where the folders of many workers stand. Their syncs would all wait for the one disk of this machine, where a
// fleet has a disk for each: memory in its place, if there is enough of it and programs may be run from it.
func scratchDir() string {
	var st unix.Statfs_t
	if unix.Statfs(memoryDir, &st) == nil && st.Flags&unix.ST_NOEXEC == 0 && int64(st.Bavail)*st.Bsize >= minMemoryBytes {
		return memoryDir
	}
	return "" // the system's own
}

// startClaimServers starts three registers for all workers: those of a zone are then in one group as well.
func (s *run) startClaimServers() (end func(), err error) {
	var ends []func()
	end = func() {
		for _, f := range slices.Backward(ends) { // servers before their files
			f()
		}
	}
	defer func() {
		if err != nil {
			end()
		}
	}()
	var at []string
	for i := range 3 {
		folder := filepath.Join(s.dir, fmt.Sprint("register-", i))
		if err := os.Mkdir(folder, 0o755); err != nil {
			return nil, err
		}
		r, err := idempotency.Open(folder, 1<<20)
		if err != nil {
			return nil, err
		}
		ends = append(ends, func() { r.Close() })
		server, err := httpserver.StartLoopback("127.0.0.1:0", r.Handler())
		if err != nil {
			return nil, err
		}
		ends = append(ends, func() { server.Close() })
		at = append(at, server.Addr)
	}
	s.claims, err = idempotency.NewGroup(at, time.Second, s.options.Log)
	return end, err
}

// chunkPeers are the workers that give chunks to each other.
func (s *run) chunkPeers() (all []distribution.Peer) {
	if s.options.DisablePeerDistribution {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if r, is := w.(*localfleet.Runtime); is {
			if at := r.ChunkAddr(); at != "" {
				all = append(all, distribution.Peer{Name: r.Name(), Addr: at})
			}
		}
	}
	return all
}

// duplicateExecutions lists at-most-once and keyed events that ran more than once, counted at the workers.
func (s *run) duplicateExecutions(arrivals []arrival) (twice []string, err error) {
	if s.releases == nil {
		for _, t := range s.options.Config.Fleet.Types {
			if t.Effect == "at-most-once" {
				twice = append(twice, s.executions.Duplicates(t.Name)...)
			}
		}
		return twice, nil
	}
	runs, err := localfleet.CountExecutions(filepath.Join(s.dir, "effects"))
	if err != nil {
		return nil, err
	}
	for _, a := range arrivals {
		t, _ := s.options.Config.RequestType(a.function.Type)
		inside := t.Effect == "keyed" && t.MaxAge.Std() <= t.DedupWindow.Std() // all of its launches are inside its window
		if (inside || t.Effect == "at-most-once") && runs[a.name] > 1 {
			twice = append(twice, a.name)
		}
	}
	return twice, nil
}

func addCounts(a, b gateway.Counts) gateway.Counts {
	a.Accepted, a.Completed, a.Rejected = a.Accepted+b.Accepted, a.Completed+b.Completed, a.Rejected+b.Rejected
	a.Failed, a.ClientsDisconnected = a.Failed+b.Failed, a.ClientsDisconnected+b.ClientsDisconnected
	a.NotAccepted, a.InvalidRequests = a.NotAccepted+b.NotAccepted, a.InvalidRequests+b.InvalidRequests
	a.Attempts, a.LoadRequests, a.Probes = a.Attempts+b.Attempts, a.LoadRequests+b.LoadRequests, a.Probes+b.Probes
	a.LateOutcomes, a.UnmatchedResponses, a.Connections = a.LateOutcomes+b.LateOutcomes, a.UnmatchedResponses+b.UnmatchedResponses, a.Connections+b.Connections
	return a
}

// startFleet starts the list and the workers.
func (s *run) startFleet(ctx context.Context) error {
	s.registry = registry.New(func(front string, at time.Time, n registry.WatchEvent) {
		if s.captureDisabled {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.deliveries = append(s.deliveries, checker.Delivery{Gateway: front, At: at.Sub(s.startedAt), Event: n})
	})
	s.startRegistry = func() (io.Closer, error) {
		server, err := httpserver.StartLoopback(s.registryAddr, s.registry.Handler())
		if err != nil {
			return nil, err
		}
		s.registryAddr = server.Addr
		return server, nil
	}
	var err error
	if s.registryServer, err = s.startRegistry(); err != nil {
		return err
	}
	f := s.options.Config
	var functions []emulator.Function
	for _, fn := range f.Functions {
		functions = append(functions, emulator.Function{Name: fn.Name, MeanCPUTime: s.scenario.Work[fn.Name].Std(), LoadTime: fn.LoadTime.Std(),
			Memory: int64(fn.Memory), Concurrency: fn.Concurrency})
	}
	w := s.scenario.Workers
	model := emulator.Model{Cores: w.Cores, Memory: int64(w.Memory), QueueLimit: w.Queue, ReplicaIdleTimeout: f.Fleet.LoadPolicy.ReplicaIdleTimeout.Std(),
		LoadOnMiss: f.Fleet.LoadPolicy.OnMiss == "load", InitialShare: f.Fleet.SlowStart.InitialShare, WarmUpTime: f.Fleet.SlowStart.WarmUpTime.Std(),
		CrashMultiple: f.Fleet.SlowStart.CrashMultiple, CrashWindow: f.Fleet.SlowStart.CrashWindow.Std(), MaxAttempts: 256}
	shared := map[string]*emulator.DedupGroup{}
	for i := range w.Count {
		zone := fmt.Sprint("zone-", i%w.Zones)
		groups := map[string]*emulator.DedupGroup{}
		for _, t := range f.Fleet.Types {
			if t.Effect != "keyed" {
				continue
			}
			scope := t.Name
			if t.DedupScope != "all" {
				scope += zone
			}
			if shared[scope] == nil {
				shared[scope] = emulator.NewDedupGroup()
			}
			groups[t.Name] = shared[scope]
		}
		var worker localfleet.Worker = emulator.NewWorker(fmt.Sprint("w", i), model, functions, s.store, s.executions, groups, s.scenario.Seed)
		if s.releases != nil {
			name := fmt.Sprint("w", i)
			worker = localfleet.NewRuntime(localfleet.RuntimeOptions{Name: name, Folder: filepath.Join(s.dir, name), Releases: s.releases,
				ExecutionLog: s.executionLog, Claims: s.claims, Peers: s.chunkPeers, Limits: admission.Limits{MemoryBytes: 16 * 64 << 20, MaxRunning: max(1, int(2*w.Cores)),
					MaxWaiting: w.Queue, MaxLoads: 2, IdleTimeout: f.Fleet.LoadPolicy.ReplicaIdleTimeout.Std(), LoadOnMiss: f.Fleet.LoadPolicy.OnMiss == "load"}})
		}
		addr, started, err := worker.Start("", true)
		if err != nil {
			return err
		}
		e := registry.Entry{Name: worker.Name(), Addr: addr, Zone: zone, Cell: "0", Cores: w.Cores, State: registry.InService,
			Started: started}
		s.mu.Lock()
		s.workers, s.entries = append(s.workers, worker), append(s.entries, e)
		s.mu.Unlock()
		s.registry.Set(e)
	}
	return ctx.Err()
}

// startGateway starts a life of a front end.
func (s *run) startGateway(i int, addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	name := fmt.Sprintf("front-%d.%d", i, len(s.instances))
	var stale *registry.WatchEvent
	if n, is := s.cachedEndpoints[i]; is {
		stale = &n
		s.deliveries = append(s.deliveries, checker.Delivery{Gateway: name, At: time.Since(s.startedAt), Event: n})
	}
	s.mu.Unlock()
	l := &gatewayInstance{capture: &checker.GatewayCapture{Name: name, Index: i}, done: make(chan error, 1)}
	if !s.captureDisabled {
		l.tap = capture.NewTap(s.startedAt, func(r capture.Record) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.capture.Records = append(l.capture.Records, r)
		})
	}
	file := s.options.Config
	file.Gateway.RegistryURL = "http://" + s.registryAddr
	options := gateway.Options{Name: name, Index: i, GatewayCount: s.scenario.Gateways, Seed: s.scenario.Seed + uint64(i), Config: file,
		Listener: listener, Tap: l.tap, Log: s.options.Log, CachedEndpoints: stale, OnEndpoints: func(n registry.WatchEvent) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cachedEndpoints[i] = n
		}}
	if s.options.OutputDir != "" {
		if l.recording, err = os.Create(filepath.Join(s.options.OutputDir, name+".core")); err != nil {
			return "", err
		}
		options.Record = l.recording
	}
	if l.gateway, err = gateway.New(options); err != nil {
		return "", err
	}
	ctx, drain := context.WithCancel(context.Background())
	killed, kill := context.WithCancel(context.Background())
	l.drain, l.kill = drain, kill
	go func() { l.done <- l.gateway.Run(ctx, killed) }()
	s.mu.Lock()
	s.instances = append(s.instances, l)
	for len(s.running) <= i {
		s.running = append(s.running, nil)
	}
	s.running[i] = l
	s.mu.Unlock()
	return listener.Addr().String(), nil
}

// stopGateway ends a life: in order, or at once without a word.
func (s *run) stopGateway(l *gatewayInstance, inOrder bool) error {
	if l.stopped {
		return nil
	}
	l.stopped = true
	if inOrder {
		l.drain()
	} else {
		l.finalCounts = l.gateway.Counts(context.Background())
		l.tap.Crashed()
		l.kill()
	}
	err := <-l.done
	if inOrder {
		l.finalCounts = l.gateway.FinalCounts()
	}
	l.drain()
	l.kill()
	if l.recording != nil {
		if cerr := l.recording.Close(); err == nil {
			err = cerr
		}
	}
	return err
}

// injectFault plays one entry of the time line and undoes it.
func (s *run) injectFault(ctx context.Context, start time.Time, t Fault) error {
	if err := httpserver.Sleep(ctx, time.Until(start.Add(t.At.Std()))); err != nil {
		return err
	}
	s.options.Log.Info("trouble", "day", s.scenario.Name, "what", t.Kind, "workers", t.Workers, "fronts", t.Gateways)
	until := func() error { return httpserver.Sleep(ctx, time.Until(start.Add(t.At.Std()+t.Duration.Std()))) }
	var workers []localfleet.Worker
	for _, i := range t.Workers {
		workers = append(workers, s.workers[i])
	}
	switch t.Kind {
	case "hang", "slow", "errors", "fail-loads", "false-reports", "refuse":
		set, undo, err := faultinject.ByName(t.Kind, t.Tenant, t.Factor)
		if err != nil {
			return err
		}
		for _, w := range workers {
			w.InjectFault(set)
			defer w.InjectFault(undo)
		}
	case "reset":
		for _, w := range workers {
			w.Reset()
		}
	case "silence":
		for _, w := range workers {
			w.SetUnresponsive(true)
		}
		if err := until(); err != nil {
			return err
		}
		return s.restartWorkers(t.Workers)
	case "crash":
		for _, i := range t.Workers {
			s.workers[i].Stop()
		}
		if err := until(); err != nil {
			return err
		}
		return s.restartWorkers(t.Workers)
	case "drain":
		for _, i := range t.Workers {
			s.registry.SetState(s.entries[i].Name, registry.Draining)
			s.workers[i].Drain()
		}
		if err := until(); err != nil {
			return err
		}
		return s.restartWorkers(t.Workers)
	case "slow-store":
		if s.releases != nil {
			s.releases.Store().SetRate(s.storeRate / t.Factor)
			defer s.releases.Store().SetRate(s.storeRate)
		}
		s.store.SetSlowdown(t.Factor)
		defer s.store.SetSlowdown(1)
	case "stop-store":
		if s.releases != nil {
			s.releases.Store().Stop(t.Duration.Std())
		}
		s.store.SetUnavailable(true)
		defer s.store.SetUnavailable(false)
	case "give-up":
		s.clients.setDisconnectAfter(t.Tenant, t.DisconnectAfter.Std())
		defer s.clients.setDisconnectAfter(t.Tenant, 0)
	case "release":
		if s.releases != nil {
			if err := s.releases.Publish(t.Function); err != nil {
				return err
			}
		}
		for _, w := range s.workers {
			w.Redeploy(t.Function)
		}
	case "late-list":
		s.registry.SetDelay(t.Duration.Std())
		defer s.registry.SetDelay(0)
	case "empty-list":
		s.registry.RemoveAll()
		if err := until(); err != nil {
			return err
		}
		for _, e := range s.entries {
			s.registry.Set(e)
		}
	case "list-down":
		if err := s.registryServer.Close(); err != nil {
			return err
		}
		if err := until(); err != nil {
			return err
		}
		server, err := s.startRegistry()
		if err != nil {
			return err
		}
		s.registryServer = server
	case "pause-front":
		for _, i := range t.Gateways {
			s.running[i].gateway.Pause(t.Duration.Std())
		}
	case "kill-front":
		for _, i := range t.Gateways {
			if err := s.stopGateway(s.running[i], false); err != nil {
				return err
			}
		}
		if err := until(); err != nil {
			return err
		}
		for _, i := range t.Gateways {
			if _, err := s.startGateway(i, s.clients.addrs[i]); err != nil {
				return err
			}
		}
	}
	if t.Duration > 0 {
		return until()
	}
	return nil
}

// restartWorkers has workers start anew, cold, and lists them.
func (s *run) restartWorkers(which []int) error {
	for _, i := range which {
		w := s.workers[i]
		w.Stop()
		_, started, err := w.Start(s.entries[i].Addr, false)
		if err != nil {
			return err
		}
		s.entries[i].Started, s.entries[i].State = started, registry.InService
		s.registry.Set(s.entries[i])
	}
	return nil
}

func (c *clientPool) setDisconnectAfter(tenant string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > 0 {
		c.disconnectAfter[tenant] = after
	} else {
		delete(c.disconnectAfter, tenant)
	}
}

// Percentile of the times of those served; 0 where there are none.
func (c ClientStats) Percentile(p float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	took := slices.Sorted(slices.Values(c.Latencies))
	return took[min(len(took)-1, int(p*float64(len(took))))]
}
