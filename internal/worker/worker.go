// Package worker is the worker runtime: it takes launches over the link, loads packages, runs events on copies, and says
// the truth about its memory, its loads and what may have run. What it takes and which copy gives way is decided by
// internal/worker/admission; this package carries that out.
package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/worker/runner"
	"lupinpond/internal/workerrpc"
)

// Options are what a Worker is made from.
type Options struct {
	Name     string
	Folder   string                 // its own: journal, packages, compiled code
	Supply   *distribution.Supplier // brings packages
	Self     string                 // this program, for wasm copies
	Limits   admission.Limits
	Launches int                // most outstanding on one connection
	Overhead int64              // of a wasm copy beside its own memory
	Answer   int64              // most bytes of a response
	Ready    time.Duration      // a copy that is not ready by then has failed to load
	Grace    time.Duration      // between asking a copy to end and ending it
	Sample   time.Duration      // between two looks at the memory
	Refresh  time.Duration      // between two questions for new releases; 0: none are asked
	Fail     func(point string) // called at each named step of a load, for tests; may be nil
	Effects  *os.File           // gets the log of all copies; nil: nowhere
	MostLog  int64              // bytes: a longer Effects is moved to NAME.1 and begun anew; 0: never
	Group    *idempotency.Group // registers of the workers that drop each other's repeats; nil: it drops its own
	Log      *slog.Logger
}

// A worker has warmed up when of its last recent launches at most warmShare found no warm copy.
const (
	recent    = 32
	warmShare = 1.0 / 16
)

// claimShare of what is left of a keyed event's time is waited for registers.
const claimShare = 0.25

// Steps of a load, as fail points name them.
const (
	PointNoted    = "noted"    // written down, nothing begun
	PointFetched  = "fetched"  // its content is here
	PointVerified = "verified" // and what its manifest names
	PointStarted  = "started"  // its copy asks for events
	PointWarm     = "warm"     // written down as ended
)

// Loading is how long the steps of a load took.
type Loading struct{ Fetch, Verify, Compile, Start time.Duration }

// Worker is one life of a worker.
type Worker struct {
	o        Options
	host     *runner.Host
	journal  *journal
	keeper   keeper
	started  time.Time
	silencer faultinject.Silencer
	server   *workerrpc.Server

	mu        sync.Mutex
	room      *admission.Room
	next      uint64
	calls     map[uint64]*call
	copies    map[uint64]*loaded
	packages  map[string]manifest.Manifest
	orders    []*order
	preparing map[string]bool // packages whose newest release is being fetched
	wake      *time.Timer
	memory    int64 // at the last look
	draining  bool
	troubles  faultinject.Troubles
	loads     []Loading
	closed    bool
	found     [recent]bool // of the last launches: found no warm copy
	taken     int
	warmed    bool // told in the journal
	work      sync.WaitGroup
}

type call struct {
	id     uint64
	launch *workerrpc.Attempt
	reply  func(*workerrpc.AttemptResult)
	warmth workerrpc.ReplicaState
	others int // of its function here when it came
}

// keeper knows which keyed events were begun inside their windows: the worker's own journal, or registers of a group.
type keeper interface {
	Claim(ctx context.Context, key string, window time.Duration) (claim string, v idempotency.Verdict, body []byte)
	Handled(key, claim string, body []byte)
	Release(key, claim string) // it was not run after all
}

type loaded struct {
	copy *runner.Copy // nil while it loads
	gone bool         // told to unload, or dead
}

type order struct {
	function string
	copies   int
	reply    func(*workerrpc.LoadResult)
}

// New opens a worker's folder and asks for the releases that the store has; without an answer it goes by those that it knew. Another worker that uses the folder is refused.
func New(o Options) (*Worker, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Fail == nil {
		o.Fail = func(string) {}
	}
	for _, dir := range []string{"packages", "compiled"} {
		// a fresh worker is really cold: nothing fetched, nothing compiled
		if err := os.RemoveAll(filepath.Join(o.Folder, dir)); err != nil {
			return nil, fmt.Errorf("worker: %w", err)
		}
		if err := os.MkdirAll(filepath.Join(o.Folder, dir), 0o755); err != nil {
			return nil, fmt.Errorf("worker: %w", err)
		}
	}
	w := &Worker{o: o, started: time.Now(), room: admission.New(o.Limits), calls: map[uint64]*call{}, copies: map[uint64]*loaded{},
		packages: map[string]manifest.Manifest{}, preparing: map[string]bool{}}
	ctx, stop := context.WithTimeout(context.Background(), o.Ready)
	err := w.Refresh(ctx)
	stop()
	if err != nil {
		w.o.Log.Warn("the store told no releases: those of the last life are used", "err", err)
	}
	if w.journal, err = openJournal(filepath.Join(o.Folder, "journal"), o.Log); err != nil {
		return nil, err
	}
	if w.keeper = w.journal; o.Group != nil {
		w.keeper = o.Group
	}
	ro := runner.Options{Self: o.Self, Cache: filepath.Join(o.Folder, "compiled"), Ready: o.Ready, Grace: o.Grace, Answer: o.Answer,
		Overhead: o.Overhead, Log: o.Log, Effects: o.Effects}
	if w.host, err = runner.NewHost(ro); err != nil {
		return nil, errors.Join(err, w.journal.close())
	}
	w.server = &workerrpc.Server{Handshake: workerrpc.Handshake{Name: o.Name, Started: w.started, MaxAttempts: o.Launches, InterruptedLoads: w.journal.cut,
		WarmUpTime: w.journal.warmUp}, Handler: w}
	w.wake = time.AfterFunc(time.Hour, w.step)
	o.Supply.Follow(w.Busy)
	return w, nil
}

// Refresh asks for new functions and new releases. What is known stays known when the store does not answer. A release of
// a function that has copies here takes their place only once all of it has been fetched: until then, and if the store stops
// in between, the old one serves.
func (w *Worker) Refresh(ctx context.Context) error {
	err := w.o.Supply.Refresh(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.o.Supply.Packages() {
		old, known := w.packages[p.Name]
		n := w.room.Of(p.Name)
		switch {
		case known && old.Version == p.Version, w.preparing[p.Name], w.closed:
		case known && n.Warm+n.Loading > 0:
			w.preparing[p.Name] = true
			w.work.Go(func() { w.prepare(p) })
		default:
			w.replace(p)
		}
	}
	return err
}

// prepare fetches a release, then has it take the place of the old one. If it can't be fetched, the next refresh tries again.
func (w *Worker) prepare(p manifest.Manifest) {
	ctx, stop := context.WithTimeout(context.Background(), w.o.Ready)
	defer stop()
	err := w.o.Supply.Prepare(ctx, p.Name, p.Version)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.preparing, p.Name)
	if err != nil {
		w.o.Log.Warn("a new release can't be fetched: the old one serves", "package", p.Name, "version", p.Version, "err", err)
		return
	}
	w.replace(p)
	w.due()
}

// replace has a release be the one that is loaded; the lock is held. Copies of the old one finish what they run.
func (w *Worker) replace(p manifest.Manifest) {
	w.packages[p.Name] = p
	w.room.Publish(admission.Function{Name: p.Name, Version: p.Version, Lanes: p.Lanes, Memory: w.reserve(p)})
	w.work.Go(func() { // it removes files
		if err := w.o.Supply.Forget(p.Name); err != nil {
			w.o.Log.Warn("an old release's files are left", "package", p.Name, "err", err)
		}
	})
}

// refresh does it every so often until ctx ends.
func (w *Worker) refresh(ctx context.Context) error {
	if w.o.Refresh <= 0 {
		return nil
	}
	return httpserver.Every(ctx, w.o.Refresh, func() error {
		if err := w.Refresh(ctx); err != nil && ctx.Err() == nil {
			w.o.Log.Warn("no new releases are known", "err", err)
		}
		return nil
	})
}

func (w *Worker) reserve(p manifest.Manifest) int64 {
	if p.Kind == manifest.Wasm {
		return int64(p.Memory) + w.o.Overhead
	}
	return int64(p.Memory)
}

// Run serves front ends until ctx ends, then ends all copies.
func (w *Worker) Run(ctx context.Context, listener net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.server.Serve(ctx, w.silencer.Listener(listener)) })
	g.Go(func() error { return w.sample(ctx) })
	g.Go(func() error { return w.refresh(ctx) })
	err := g.Wait()
	w.mu.Lock()
	w.closed = true
	w.wake.Stop()
	w.mu.Unlock()
	err = errors.Join(err, w.host.Close())
	w.work.Wait()
	return errors.Join(err, w.journal.close())
}

// Drain has it take nothing new; what runs or waits is finished.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.server.NotifyDraining("draining")
}

// Reset breaks its connections; it goes on.
func (w *Worker) Reset() { w.server.CloseConnections() }

// Busy is the part of its lanes that run.
func (w *Worker) Busy() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.room.Running()) / float64(w.o.Limits.Running)
}

// Holds is the number of events that wait or run.
func (w *Worker) Holds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// Trouble has it misbehave from now on; Silence has it neither read nor write.
func (w *Worker) Trouble(change func(*faultinject.Troubles)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.troubles)
}

// Silence has it neither read nor write, with its connections left open.
func (w *Worker) Silence(on bool) { w.silencer.Set(on) }

// Cut tells the loads that the last life did not end.
func (w *Worker) Cut() []workerrpc.InterruptedLoad { return w.journal.cut }

// Loads tells how long the steps of the loads of this life took.
func (w *Worker) Loads() []Loading {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Loading(nil), w.loads...)
}

func (w *Worker) now() time.Duration { return time.Since(w.started) }

// LoadReport tells its load; the memory is what the operating system said at the last look.
func (w *Worker) LoadReport() *workerrpc.LoadReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report()
}

func (w *Worker) report() *workerrpc.LoadReport {
	waiting := float64(w.room.Waiting())
	if w.troubles.Reports > 0 {
		waiting *= w.troubles.Reports
	}
	return &workerrpc.LoadReport{QueueDepth: int(waiting), Running: w.room.Running(), MemoryBytes: w.memory, ColdStartRate: w.cold(),
		CPUUtilization: min(1, float64(w.room.Running())/float64(runtime.NumCPU()))}
}

// cold is the part of the last launches that found no warm copy.
func (w *Worker) cold() float64 {
	n := min(recent, w.taken)
	if n == 0 {
		return 1
	}
	cold := 0
	for _, x := range w.found[:n] {
		if x {
			cold++
		}
	}
	return float64(cold) / float64(n)
}

// HandleAttempt takes an event.
func (w *Worker) HandleAttempt(_ string, l *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) (cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.troubles.Hang {
		reply = func(*workerrpc.AttemptResult) {}
	}
	refuse := func(code workerrpc.Code, why string) func() {
		reply(&workerrpc.AttemptResult{Code: code, Reason: why, Report: w.report()})
		return nil
	}
	switch {
	case w.closed || w.draining:
		return refuse(workerrpc.CodeNotStarted, "draining")
	case w.troubles.Errors:
		return refuse(workerrpc.CodeFailed, "told to fail")
	case w.troubles.Refuse != "" && w.troubles.Refuse == l.Tenant:
		return refuse(workerrpc.CodeOverloaded, "full")
	}
	have := w.room.Of(l.Function)
	w.next++
	c := &call{id: w.next, launch: l, reply: reply, warmth: workerrpc.ReplicaWarm, others: have.Waiting + have.Busy}
	if have.Warm == 0 {
		c.warmth = workerrpc.ReplicaLoadAwaited
		if have.Loading == 0 {
			c.warmth = workerrpc.ReplicaLoadStarted
		}
	}
	switch w.room.Take(w.now(), admission.Call{ID: c.id, Function: l.Function, Tenant: l.Tenant, Ends: w.now() + l.TimeLeft}) {
	case admission.Full:
		return refuse(workerrpc.CodeOverloaded, "full")
	case admission.Missing:
		return refuse(workerrpc.CodeNotFound, "not here")
	case admission.TooBig:
		return refuse(workerrpc.CodeNotFound, "its package needs more memory than this worker has")
	}
	w.calls[c.id] = c
	w.found[w.taken%recent] = c.warmth != workerrpc.ReplicaWarm
	w.taken++
	if !w.warmed && w.taken >= recent && w.cold() <= warmShare {
		w.warmed = true
		took := w.now()
		w.o.Log.Info("warmed up", "after", took)
		if err := w.journal.write(note{Kind: noteWarm, Took: took}, false); err != nil {
			w.o.Log.Error("the warm-up is not noted", "err", err) // the next life tells none
		}
	}
	if c.warmth != workerrpc.ReplicaWarm {
		if err := w.journal.write(note{Kind: noteTaken, Function: l.Function, Event: l.RequestID}, false); err != nil {
			w.o.Log.Error("an event taken for a load is not noted", "err", err) // it is told to have run if the worker dies
		}
	}
	w.due()
	return func() { w.cancel(c) }
}

func (w *Worker) cancel(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls[c.id] == nil {
		return
	}
	if w.room.Dropped(c.launch.Function, c.id) {
		w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "withdrawn before its start"})
		return
	}
	// it runs: what was begun is not stopped, but its answer is not waited for
	w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeCancelled, Reason: "withdrawn"})
}

// answer ends a call for its front end; the lock is held. Later results of it change nothing.
func (w *Worker) answer(c *call, a *workerrpc.AttemptResult) {
	if w.calls[c.id] == nil {
		return
	}
	delete(w.calls, c.id)
	a.ReplicaState, a.ConcurrentRequests, a.Report = c.warmth, c.others, w.report()
	if a.Code == workerrpc.CodeNotFound && a.Reason == "load failed" {
		a.ReplicaState = workerrpc.ReplicaLoadFailed
	}
	if c.warmth != workerrpc.ReplicaWarm {
		if err := w.journal.write(note{Kind: noteOver, Event: c.launch.RequestID}, false); err != nil {
			w.o.Log.Error("an answer is not noted", "err", err)
		}
	}
	c.reply(a)
}

// HandleLoadRequest has copies loaded.
func (w *Worker) HandleLoadRequest(_ string, o *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.troubles.Hang {
		reply = func(*workerrpc.LoadResult) {}
	}
	if w.closed || w.draining {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotStarted, Reason: "draining"})
		return
	}
	_, refused := w.room.Order(w.now(), o.Function, o.Replicas)
	if refused != admission.Taken {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotFound, Reason: "not here, or too big for this worker"})
		return
	}
	w.orders = append(w.orders, &order{o.Function, o.Replicas, reply})
	w.due()
}

func (w *Worker) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due()
}

// due carries out what is due; the lock is held.
func (w *Worker) due() {
	if w.closed {
		return
	}
	st := w.room.Due(w.now())
	for _, o := range st.Over {
		c := w.calls[o.Call]
		if c == nil {
			continue
		}
		if o.Why == admission.NoLoad {
			w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotFound, Reason: "load failed"})
		} else {
			w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "its time was up before it could begin"})
		}
	}
	for _, id := range st.Unloads {
		if l := w.copies[id]; l != nil && l.copy != nil {
			l.gone = true
			l.copy.End(nil)
		}
	}
	for _, l := range st.Loads {
		p := w.packages[l.Function.Name]
		w.copies[l.Copy] = &loaded{}
		fail := w.troubles.FailLoads
		w.work.Go(func() { w.load(l.Copy, p, fail) })
	}
	for _, r := range st.Runs {
		w.begin(r)
	}
	kept := w.orders[:0]
	for _, o := range w.orders {
		n := w.room.Of(o.function)
		switch {
		case n.Warm >= o.copies:
			o.reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: n.Warm})
		case n.Loading+n.Asked == 0:
			o.reply(&workerrpc.LoadResult{Code: workerrpc.CodeOverloaded, Replicas: n.Warm, Reason: "no room, or a load failed"})
		default:
			kept = append(kept, o)
		}
	}
	w.orders = kept
	if st.Next > 0 {
		w.wake.Reset(st.Next)
	}
}

// begin hands an event to its copy; the lock is held.
func (w *Worker) begin(r admission.Run) {
	c, l := w.calls[r.Call], w.copies[r.Copy]
	if c == nil || l == nil || l.copy == nil { // withdrawn meanwhile, or its copy is gone
		w.room.Ended(w.now(), r.Call)
		w.wake.Reset(0)
		if c != nil {
			w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "its copy ended"})
		}
		return
	}
	if c.launch.IdempotencyKey == "" {
		w.run(r, c, l, "")
		return
	}
	w.work.Go(func() { w.claim(r, c) })
}

// claim asks whether a keyed event is a repeat before it is handed over.
func (w *Worker) claim(r admission.Run, c *call) {
	key := keyOf(c.launch)
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(claimShare*float64(c.launch.TimeLeft)))
	claim, v, body := w.keeper.Claim(ctx, key, c.launch.IdempotencyWindow)
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.copies[r.Copy]
	if v == idempotency.Run && w.calls[c.id] != nil && l != nil && l.copy != nil {
		w.run(r, c, l, claim)
		return
	}
	if v == idempotency.Run { // withdrawn meanwhile, or its copy is gone
		w.keeper.Release(key, claim)
	}
	w.room.Ended(w.now(), r.Call)
	switch v {
	case idempotency.Handled:
		w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeOK, Deduplicated: true, Body: body, Reason: "a repeat inside its window"})
	case idempotency.Repeat:
		w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeFailed, Deduplicated: true, Reason: "a repeat of one that may have run"})
	case idempotency.Run:
		w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "its copy ended"})
	default:
		w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "it is not known whether it is a repeat"})
	}
	w.due()
}

// keyOf is a key among those of all tenants and event types.
func keyOf(l *workerrpc.Attempt) string { return l.Type + "\n" + l.Tenant + "\n" + l.IdempotencyKey }

// run hands an event over; the lock is held.
func (w *Worker) run(r admission.Run, c *call, l *loaded, claim string) {
	e := c.launch
	if c.warmth != workerrpc.ReplicaWarm {
		if err := w.journal.write(note{Kind: noteRun, Event: e.RequestID}, false); err != nil {
			if claim != "" {
				w.keeper.Release(keyOf(e), claim)
			}
			w.room.Ended(w.now(), r.Call) // not written down as run: it must not run
			w.wake.Reset(0)
			w.answer(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: err.Error()})
			return
		}
	}
	slow := w.troubles.Slow
	w.work.Add(1)
	l.copy.Call(e.Body, e.TimeLeft, func(res runner.Result) {
		defer w.work.Done()
		if slow > 1 {
			time.Sleep(time.Duration(float64(res.Took) * (slow - 1)))
		}
		w.ended(r.Call, c, claim, res)
	})
}

func (w *Worker) ended(id uint64, c *call, claim string, res runner.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.room.Ended(w.now(), id)
	a := &workerrpc.AttemptResult{Code: workerrpc.CodeOK, Body: res.Body, CPUTime: res.Took}
	if res.Err != nil {
		a.Code, a.Reason = workerrpc.CodeFailed, res.Err.Error()
	}
	if errors.Is(res.Err, runner.ErrNotBegun) {
		a.Code = workerrpc.CodeNotStarted
	}
	if claim != "" {
		switch a.Code {
		case workerrpc.CodeOK:
			w.keeper.Handled(keyOf(c.launch), claim, a.Body)
		case workerrpc.CodeNotStarted:
			w.keeper.Release(keyOf(c.launch), claim)
		}
	}
	w.answer(c, a)
	w.due()
}

// load brings up a copy. It is written down, durably, before anything of it begins.
func (w *Worker) load(id uint64, p manifest.Manifest, fail bool) {
	took, copy, err := w.bring(id, p, fail)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.o.Log.Warn("load failed", "package", p.Name, "version", p.Version, "err", err)
		delete(w.copies, id)
		w.room.Loaded(w.now(), id, false)
		w.due()
		return
	}
	w.o.Log.Info("loaded", "package", p.Name, "version", p.Version, "fetch", took.Fetch, "verify", took.Verify, "compile", took.Compile,
		"start", took.Start)
	w.loads = append(w.loads[max(0, len(w.loads)-99):], took)
	w.copies[id].copy = copy
	w.room.Loaded(w.now(), id, true)
	w.work.Go(func() { w.watch(id, copy) })
	if w.closed {
		copy.End(nil)
	}
	w.due()
}

func (w *Worker) bring(id uint64, p manifest.Manifest, fail bool) (took Loading, copy *runner.Copy, err error) {
	if err := w.journal.write(note{Kind: noteLoad, Load: id, Function: p.Name, Version: p.Version}, true); err != nil {
		return took, nil, err
	}
	defer func() { // well or not, this life knows its end
		err = errors.Join(err, w.journal.write(note{Kind: noteLoaded, Load: id}, false))
		if err != nil && copy != nil {
			copy.End(nil)
		} else if err == nil {
			w.o.Fail(PointWarm)
		}
	}()
	w.o.Fail(PointNoted)
	if fail {
		return took, nil, errors.New("told to fail")
	}
	at := time.Now()
	folder := filepath.Join(w.o.Folder, "packages", fmt.Sprintf("%s-%s-%d", p.Name, p.Version, id))
	ctx, stop := context.WithTimeout(context.Background(), w.o.Ready)
	here, err := w.o.Supply.Bring(ctx, p.Name, p.Version, folder)
	stop()
	if err != nil {
		return took, nil, err
	}
	took.Fetch = time.Since(at)
	w.o.Fail(PointFetched)
	at = time.Now()
	if err := here.Verify(); err != nil {
		return took, nil, errors.Join(err, os.RemoveAll(folder))
	}
	took.Verify = time.Since(at)
	w.o.Fail(PointVerified)
	at = time.Now()
	if copy, err = w.host.Start(context.Background(), here); err != nil { // bounded by Ready
		return took, nil, errors.Join(err, os.RemoveAll(folder))
	}
	took.Compile = copy.Compiled()
	took.Start = max(0, time.Since(at)-took.Compile)
	w.o.Fail(PointStarted)
	return took, copy, nil
}

// watch waits for a copy's end, wished or not. Its events have their results from the copy itself.
func (w *Worker) watch(id uint64, c *runner.Copy) {
	<-c.Dead()
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.copies[id]
	delete(w.copies, id)
	if l.gone {
		w.room.Unloaded(id)
	} else {
		w.room.Gone(w.now(), id)
	}
	_ = os.RemoveAll(c.Folder()) // what is left is removed at the next start
	w.due()
}

// sample looks at the memory of every copy and ends one that holds more than its package may.
func (w *Worker) sample(ctx context.Context) error {
	return httpserver.Every(ctx, w.o.Sample, func() error {
		w.mu.Lock()
		var all []*runner.Copy
		for _, l := range w.copies {
			if l.copy != nil {
				all = append(all, l.copy)
			}
		}
		w.mu.Unlock()
		sum, err := runner.Memory(os.Getpid())
		if err != nil {
			w.o.Log.Error("memory can't be read", "err", err)
		}
		for _, c := range all {
			m, err := c.Memory()
			if err != nil {
				continue // it has just ended
			}
			if sum += m; m > c.Limit() {
				c.End(runner.ErrMemory)
			}
		}
		w.mu.Lock()
		w.memory = sum
		w.mu.Unlock()
		if err := w.bound(); err != nil {
			w.o.Log.Error("the log of copies is not bounded", "err", err)
		}
		return nil
	})
}

// bound moves a log of copies that is too long aside. Copies write into the file themselves, so it is copied and cut; a line
// that is written in between is lost.
func (w *Worker) bound() error {
	if w.o.Effects == nil || w.o.MostLog <= 0 {
		return nil
	}
	if is, err := w.o.Effects.Stat(); err != nil || is.Size() <= w.o.MostLog {
		return err
	}
	name := w.o.Effects.Name()
	in, err := os.Open(name)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.Create(name + ".1")
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	if err = errors.Join(err, out.Close()); err != nil {
		return err
	}
	return os.Truncate(name, 0)
}
