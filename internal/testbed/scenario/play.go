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
	Day       string
	Verdict   checker.Verdict
	Clients   Clientele
	Gates     gateway.Counts // of all lives of all front ends
	Doubles   []string       // at-most-once events that ran twice, counted at the workers
	Falls     int            // workers that fell over
	Arrivals  int
	ServiceOf float64 // part of the events that were served in their target time
}

// Kept tells whether no rule was broken and no at-most-once event ran twice.
func (r Result) Kept() bool { return r.Verdict.Kept() && len(r.Doubles) == 0 }

// Options of a played day.
type Options struct {
	File     fleetconfig.File
	Keep     string // folder for captures, list news, settings and core recordings; "": nothing is kept
	Log      *slog.Logger
	Progress func(part float64) // told now and then; may be nil
	Alone    bool               // with Payroll: workers give each other no chunks, as a baseline
	Payroll  string             // the built example package payroll: workers are the worker runtime and run it; "": imitations
}

// life is one life of a front end.
type life struct {
	gate    *gateway.Gateway
	front   *checker.Front
	mu      sync.Mutex
	drain   context.CancelFunc
	kill    context.CancelFunc
	tap     *capture.Tap
	done    chan error
	file    *os.File
	counts  gateway.Counts
	stopped bool
}

type stage struct {
	day      Day
	o        Options
	base     time.Time
	roster   *registry.Registry
	list     string // its address
	workers  []localfleet.Worker
	dir      string // of the worker runtime's folders
	releases *localfleet.Releases
	rate     float64 // bytes a second of the runtime's store
	effects  *os.File
	keys     *idempotency.Group
	entries  []registry.Entry
	store    *emulator.Store
	ledger   *emulator.Ledger
	clients  *clients

	mu     sync.Mutex
	lives  []*life
	now    []*life                     // by front end
	known  map[int]registry.WatchEvent // the list as each front end last kept it
	news   []checker.Told
	bare   bool // nothing is captured
	listen func() (io.Closer, error)
	server io.Closer
}

// Play plays a day and judges it. An error says that the day could not be played, not that it went badly.
func Play(ctx context.Context, day Day, o Options) (Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &stage{day: day, o: o, base: time.Now(), store: emulator.NewStore(day.Store), ledger: emulator.NewLedger(),
		list: "127.0.0.1:0", known: map[int]registry.WatchEvent{}}
	if o.Keep != "" {
		if err := os.MkdirAll(o.Keep, 0o755); err != nil {
			return Result{}, fmt.Errorf("rehearse %s: %w", day.Name, err)
		}
		if old, err := os.ReadDir(o.Keep); err != nil || len(old) > 0 {
			return Result{}, fmt.Errorf("rehearse %s: %s holds %d files already, an empty folder is needed (%v)",
				day.Name, o.Keep, len(old), err)
		}
	}
	res, err := s.play(ctx)
	if err != nil {
		return res, fmt.Errorf("rehearse %s: %w", day.Name, err)
	}
	return res, nil
}

func (s *stage) play(ctx context.Context) (res Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if s.o.Payroll != "" {
		end, err := s.runtime()
		if err != nil {
			return res, err
		}
		defer end()
	}
	if err := s.fleet(ctx); err != nil {
		return res, err
	}
	defer func() {
		for _, w := range s.workers {
			w.Stop()
		}
	}()
	defer func() { _ = s.server.Close() }() // its streams end with the front ends
	var addrs []string
	for i := range s.day.Fronts {
		addr, err := s.front(i, "127.0.0.1:0")
		if err != nil {
			return res, err
		}
		addrs = append(addrs, addr)
	}
	defer func() {
		for _, l := range s.now {
			s.stop(l, false)
		}
	}()
	s.clients = &clients{day: s.day, addrs: addrs, slack: s.o.File.Fleet.AnswerSlack.Std(), idle: map[string][]*line{},
		giveUp: map[string]time.Duration{}}
	defer s.clients.close()
	time.Sleep(100 * time.Millisecond) // the fronts hear of the list: the day begins with it known

	arrivals := s.day.draw(s.o.File)
	start := time.Now()
	g, gctx := errgroup.WithContext(ctx)
	for _, t := range s.day.Troubles {
		g.Go(func() error { return s.trouble(gctx, start, t) })
	}
	g.Go(func() error {
		for i, a := range arrivals {
			if err := httpserver.Sleep(gctx, time.Until(start.Add(a.at))); err != nil {
				return err
			}
			t, _ := s.o.File.RequestType(a.function.Type)
			g.Go(func() error {
				s.clients.event(gctx, a, t.Objective.Std(), t.MaxAge.Std(), t.Effect, t.DedupScope)
				return nil
			})
			if s.o.Progress != nil && i%16 == 0 {
				s.o.Progress(float64(a.at) / float64(s.day.Lasts))
			}
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return res, err
	}
	s.clients.close()
	for _, l := range s.now { // drained: everything in hand is answered
		if err := s.stop(l, true); err != nil {
			return res, err
		}
	}
	res = Result{Day: s.day.Name, Clients: s.clients.results, Arrivals: len(arrivals)}
	for _, l := range s.lives {
		res.Gates = add(res.Gates, l.counts)
	}
	for _, w := range s.workers {
		res.Falls += w.Falls()
	}
	if res.Doubles, err = s.doubles(arrivals); err != nil {
		return res, err
	}
	res.ServiceOf = float64(res.Clients.InTime) / float64(max(1, res.Clients.Events))
	facts := checker.Facts{File: s.o.File, News: s.news, Base: s.base, End: time.Since(s.base)}
	for _, l := range s.lives {
		facts.Fronts = append(facts.Fronts, *l.front)
	}
	if res.Verdict, err = checker.Judge(facts); err != nil {
		return res, err
	}
	if s.o.Keep != "" {
		return res, checker.Keep(s.o.Keep, facts)
	}
	return res, nil
}

// runtime makes what the worker runtime needs: the store, folders, the log of all copies.
func (s *stage) runtime() (end func(), err error) {
	if s.dir, err = os.MkdirTemp(scratch(), "lupinpond-rehearse-"); err != nil {
		return nil, err
	}
	st, err := os.Stat(s.o.Payroll)
	if err != nil {
		return nil, fmt.Errorf("the example package: %w", err)
	}
	// so many fetches of a whole package at full speed, each in the time that a load usually takes
	usual := time.Second
	for _, fn := range s.o.File.Functions {
		if fn.LoadTime > 0 {
			usual = fn.LoadTime.Std()
			break
		}
	}
	s.rate = float64(s.day.Store) * float64(st.Size()) / usual.Seconds()
	if s.releases, err = localfleet.NewReleases(filepath.Join(s.dir, "store"), s.o.Payroll, s.o.File, artifactstore.Capacity{BytesPerSecond: s.rate,
		MaxConcurrent: 8 * s.day.Store}); err == nil {
		s.effects, err = os.OpenFile(filepath.Join(s.dir, "effects"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	}
	var registers func()
	if err == nil {
		registers, err = s.registers()
	}
	if err != nil {
		os.RemoveAll(s.dir)
		return nil, err
	}
	return func() {
		s.keys.Close()
		registers()
		_ = s.releases.Close() // its folder goes next
		s.effects.Close()
		os.RemoveAll(s.dir)
	}, nil
}

const (
	memory     = "/dev/shm"
	memoryMost = 4 << 30 // bytes that a few days at a time may take
)

// scratch is where the folders of many workers stand. Their syncs would all wait for the one disk of this machine, where a
// fleet has a disk for each: memory in its place, if there is enough of it and programs may be run from it.
func scratch() string {
	var st unix.Statfs_t
	if unix.Statfs(memory, &st) == nil && st.Flags&unix.ST_NOEXEC == 0 && int64(st.Bavail)*st.Bsize >= memoryMost {
		return memory
	}
	return "" // the system's own
}

// registers starts three registers for all workers: those of a zone are then in one group as well.
func (s *stage) registers() (end func(), err error) {
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
	s.keys, err = idempotency.NewGroup(at, time.Second, s.o.Log)
	return end, err
}

// givers are the workers that give chunks to each other.
func (s *stage) givers() (all []distribution.Peer) {
	if s.o.Alone {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if r, is := w.(*localfleet.Runtime); is {
			if at := r.Chunks(); at != "" {
				all = append(all, distribution.Peer{Name: r.Name(), Addr: at})
			}
		}
	}
	return all
}

// doubles lists at-most-once and keyed events that ran more than once, counted at the workers.
func (s *stage) doubles(arrivals []arrival) (twice []string, err error) {
	if s.releases == nil {
		for _, t := range s.o.File.Fleet.Types {
			if t.Effect == "at-most-once" {
				twice = append(twice, s.ledger.Twice(t.Name)...)
			}
		}
		return twice, nil
	}
	runs, err := localfleet.Effects(filepath.Join(s.dir, "effects"))
	if err != nil {
		return nil, err
	}
	for _, a := range arrivals {
		t, _ := s.o.File.RequestType(a.function.Type)
		inside := t.Effect == "keyed" && t.MaxAge.Std() <= t.DedupWindow.Std() // all of its launches are inside its window
		if (inside || t.Effect == "at-most-once") && runs[a.name] > 1 {
			twice = append(twice, a.name)
		}
	}
	return twice, nil
}

func add(a, b gateway.Counts) gateway.Counts {
	a.Accepted, a.Completed, a.Rejected = a.Accepted+b.Accepted, a.Completed+b.Completed, a.Rejected+b.Rejected
	a.Failed, a.ClientsDisconnected = a.Failed+b.Failed, a.ClientsDisconnected+b.ClientsDisconnected
	a.NotAccepted, a.InvalidRequests = a.NotAccepted+b.NotAccepted, a.InvalidRequests+b.InvalidRequests
	a.Attempts, a.LoadRequests, a.Probes = a.Attempts+b.Attempts, a.LoadRequests+b.LoadRequests, a.Probes+b.Probes
	a.LateOutcomes, a.UnmatchedResponses, a.Connections = a.LateOutcomes+b.LateOutcomes, a.UnmatchedResponses+b.UnmatchedResponses, a.Connections+b.Connections
	return a
}

// fleet starts the list and the workers.
func (s *stage) fleet(ctx context.Context) error {
	s.roster = registry.New(func(front string, at time.Time, n registry.WatchEvent) {
		if s.bare {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.news = append(s.news, checker.Told{Front: front, At: at.Sub(s.base), News: n})
	})
	s.listen = func() (io.Closer, error) {
		server, err := httpserver.StartLoopback(s.list, s.roster.Handler())
		if err != nil {
			return nil, err
		}
		s.list = server.Addr
		return server, nil
	}
	var err error
	if s.server, err = s.listen(); err != nil {
		return err
	}
	f := s.o.File
	var functions []emulator.Function
	for _, fn := range f.Functions {
		functions = append(functions, emulator.Function{Name: fn.Name, Work: s.day.Work[fn.Name].Std(), Load: fn.LoadTime.Std(),
			Memory: int64(fn.Memory), Lanes: fn.Concurrency})
	}
	w := s.day.Workers
	model := emulator.Model{Cores: w.Cores, Memory: int64(w.Memory), Queue: w.Queue, Keep: f.Fleet.LoadPolicy.ReplicaIdleTimeout.Std(),
		LoadOnMiss: f.Fleet.LoadPolicy.OnMiss == "load", ColdFrom: f.Fleet.SlowStart.InitialShare, WarmAfter: f.Fleet.SlowStart.WarmUpTime.Std(),
		Multiple: f.Fleet.SlowStart.CrashMultiple, Fall: f.Fleet.SlowStart.CrashWindow.Std(), Launches: 256}
	shared := map[string]*emulator.Group{}
	for i := range w.Count {
		zone := fmt.Sprint("zone-", i%w.Zones)
		groups := map[string]*emulator.Group{}
		for _, t := range f.Fleet.Types {
			if t.Effect != "keyed" {
				continue
			}
			scope := t.Name
			if t.DedupScope != "all" {
				scope += zone
			}
			if shared[scope] == nil {
				shared[scope] = emulator.NewGroup()
			}
			groups[t.Name] = shared[scope]
		}
		var worker localfleet.Worker = emulator.NewWorker(fmt.Sprint("w", i), model, functions, s.store, s.ledger, groups, s.day.Seed)
		if s.releases != nil {
			name := fmt.Sprint("w", i)
			worker = localfleet.NewRuntime(localfleet.RuntimeOptions{Name: name, Folder: filepath.Join(s.dir, name), Store: s.releases,
				Effects: s.effects, Group: s.keys, Peers: s.givers, Limits: admission.Limits{MemoryBytes: 16 * 64 << 20, MaxRunning: max(1, int(2*w.Cores)),
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
		s.roster.Set(e)
	}
	return ctx.Err()
}

// front starts a life of a front end.
func (s *stage) front(i int, addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	name := fmt.Sprintf("front-%d.%d", i, len(s.lives))
	var stale *registry.WatchEvent
	if n, is := s.known[i]; is {
		stale = &n
		s.news = append(s.news, checker.Told{Front: name, At: time.Since(s.base), News: n})
	}
	s.mu.Unlock()
	l := &life{front: &checker.Front{Name: name, Index: i}, done: make(chan error, 1)}
	if !s.bare {
		l.tap = capture.NewTap(s.base, func(r capture.Record) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.front.Records = append(l.front.Records, r)
		})
	}
	file := s.o.File
	file.Gateway.RegistryURL = "http://" + s.list
	options := gateway.Options{Name: name, Index: i, GatewayCount: s.day.Fronts, Seed: s.day.Seed + uint64(i), Config: file,
		Listener: listener, Tap: l.tap, Log: s.o.Log, CachedEndpoints: stale, OnEndpoints: func(n registry.WatchEvent) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.known[i] = n
		}}
	if s.o.Keep != "" {
		if l.file, err = os.Create(filepath.Join(s.o.Keep, name+".core")); err != nil {
			return "", err
		}
		options.Record = l.file
	}
	if l.gate, err = gateway.New(options); err != nil {
		return "", err
	}
	ctx, drain := context.WithCancel(context.Background())
	killed, kill := context.WithCancel(context.Background())
	l.drain, l.kill = drain, kill
	go func() { l.done <- l.gate.Run(ctx, killed) }()
	s.mu.Lock()
	s.lives = append(s.lives, l)
	for len(s.now) <= i {
		s.now = append(s.now, nil)
	}
	s.now[i] = l
	s.mu.Unlock()
	return listener.Addr().String(), nil
}

// stop ends a life: in order, or at once without a word.
func (s *stage) stop(l *life, inOrder bool) error {
	if l.stopped {
		return nil
	}
	l.stopped = true
	if inOrder {
		l.drain()
	} else {
		l.counts = l.gate.Counts(context.Background())
		l.tap.Crashed()
		l.kill()
	}
	err := <-l.done
	if inOrder {
		l.counts = l.gate.FinalCounts()
	}
	l.drain()
	l.kill()
	if l.file != nil {
		if cerr := l.file.Close(); err == nil {
			err = cerr
		}
	}
	return err
}

// trouble plays one entry of the time line and undoes it.
func (s *stage) trouble(ctx context.Context, start time.Time, t Trouble) error {
	if err := httpserver.Sleep(ctx, time.Until(start.Add(t.At.Std()))); err != nil {
		return err
	}
	s.o.Log.Info("trouble", "day", s.day.Name, "what", t.What, "workers", t.Workers, "fronts", t.Fronts)
	until := func() error { return httpserver.Sleep(ctx, time.Until(start.Add(t.At.Std()+t.For.Std()))) }
	var workers []localfleet.Worker
	for _, i := range t.Workers {
		workers = append(workers, s.workers[i])
	}
	switch t.What {
	case "hang", "slow", "errors", "fail-loads", "false-reports", "refuse":
		set, undo, err := faultinject.ByName(t.What, t.Tenant, t.Factor)
		if err != nil {
			return err
		}
		for _, w := range workers {
			w.Trouble(set)
			defer w.Trouble(undo)
		}
	case "reset":
		for _, w := range workers {
			w.Reset()
		}
	case "silence":
		for _, w := range workers {
			w.Silence(true)
		}
		if err := until(); err != nil {
			return err
		}
		return s.restart(t.Workers)
	case "crash":
		for _, i := range t.Workers {
			s.workers[i].Stop()
		}
		if err := until(); err != nil {
			return err
		}
		return s.restart(t.Workers)
	case "drain":
		for _, i := range t.Workers {
			s.roster.SetState(s.entries[i].Name, registry.Draining)
			s.workers[i].Goodbye()
		}
		if err := until(); err != nil {
			return err
		}
		return s.restart(t.Workers)
	case "slow-store":
		if s.releases != nil {
			s.releases.Store().SetRate(s.rate / t.Factor)
			defer s.releases.Store().SetRate(s.rate)
		}
		s.store.Slow(t.Factor)
		defer s.store.Slow(1)
	case "stop-store":
		if s.releases != nil {
			s.releases.Store().Stop(t.For.Std())
		}
		s.store.Stop(true)
		defer s.store.Stop(false)
	case "give-up":
		s.clients.leave(t.Tenant, t.Patience.Std())
		defer s.clients.leave(t.Tenant, 0)
	case "release":
		if s.releases != nil {
			if err := s.releases.Release(t.Function); err != nil {
				return err
			}
		}
		for _, w := range s.workers {
			w.Release(t.Function)
		}
	case "late-list":
		s.roster.SetDelay(t.For.Std())
		defer s.roster.SetDelay(0)
	case "empty-list":
		s.roster.RemoveAll()
		if err := until(); err != nil {
			return err
		}
		for _, e := range s.entries {
			s.roster.Set(e)
		}
	case "list-down":
		if err := s.server.Close(); err != nil {
			return err
		}
		if err := until(); err != nil {
			return err
		}
		server, err := s.listen()
		if err != nil {
			return err
		}
		s.server = server
	case "pause-front":
		for _, i := range t.Fronts {
			s.now[i].gate.Pause(t.For.Std())
		}
	case "kill-front":
		for _, i := range t.Fronts {
			if err := s.stop(s.now[i], false); err != nil {
				return err
			}
		}
		if err := until(); err != nil {
			return err
		}
		for _, i := range t.Fronts {
			if _, err := s.front(i, s.clients.addrs[i]); err != nil {
				return err
			}
		}
	}
	if t.For > 0 {
		return until()
	}
	return nil
}

// restart has workers start anew, cold, and lists them.
func (s *stage) restart(which []int) error {
	for _, i := range which {
		w := s.workers[i]
		w.Stop()
		_, started, err := w.Start(s.entries[i].Addr, false)
		if err != nil {
			return err
		}
		s.entries[i].Started, s.entries[i].State = started, registry.InService
		s.roster.Set(s.entries[i])
	}
	return nil
}

func (c *clients) leave(tenant string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > 0 {
		c.giveUp[tenant] = after
	} else {
		delete(c.giveUp, tenant)
	}
}

// Percentile of the times of those served; 0 where there are none.
func (c Clientele) Percentile(p float64) time.Duration {
	if len(c.Took) == 0 {
		return 0
	}
	took := slices.Sorted(slices.Values(c.Took))
	return took[min(len(took)-1, int(p*float64(len(took))))]
}
