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
	Name                 string
	Folder               string                    // its own: journal, packages, compiled code
	Artifacts            *distribution.Distributor // brings packages
	Executable           string                    // this program, for wasm copies
	Limits               admission.Limits
	MaxInFlight          int                // most outstanding on one connection
	WasmOverhead         int64              // of a wasm copy beside its own memory
	MaxResponseBytes     int64              // most bytes of a response
	StartTimeout         time.Duration      // a copy that is not ready by then has failed to load
	GracePeriod          time.Duration      // between asking a copy to end and ending it
	MemorySampleInterval time.Duration      // between two looks at the memory
	ReleasePollInterval  time.Duration      // between two questions for new releases; 0: none are asked
	FailPoint            func(point string) // called at each named step of a load, for tests; may be nil
	ReplicaLog           *os.File           // gets the log of all copies; nil: nowhere
	MaxReplicaLogBytes   int64              // bytes: a longer Effects is moved to NAME.1 and begun anew; 0: never
	IdempotencyGroup     *idempotency.Group // registers of the workers that drop each other's repeats; nil: it drops its own
	Log                  *slog.Logger
}

// A worker has warmed up when of its last recent launches at most warmShare found no warm copy.
const (
	coldStartWindow   = 32
	warmedUpColdRatio = 1.0 / 16
)

// claimTimeoutShare of what is left of a keyed event's time is waited for registers.
const claimTimeoutShare = 0.25

// Steps of a load, as fail points name them.
const (
	PointJournaled = "noted"    // written down, nothing begun
	PointFetched   = "fetched"  // its content is here
	PointVerified  = "verified" // and what its manifest names
	PointStarted   = "started"  // its copy asks for events
	PointCompleted = "warm"     // written down as ended
)

// LoadTimings is how long the steps of a load took.
type LoadTimings struct{ Fetch, Verify, Compile, Start time.Duration }

// Worker is one life of a worker.
type Worker struct {
	options     Options
	replicaHost *runner.Host
	journal     *journal
	claims      claimStore
	started     time.Time
	silencer    faultinject.Silencer
	server      *workerrpc.Server

	mu           sync.Mutex
	admission    *admission.Controller
	lastCallID   uint64
	calls        map[uint64]*call
	replicas     map[uint64]*replica
	releases     map[string]manifest.Manifest
	loadRequests []*loadRequest
	prefetching  map[string]bool // packages whose newest release is being fetched
	wakeTimer    *time.Timer
	memoryUsage  int64 // at the last look
	draining     bool
	faults       faultinject.Faults
	loadTimings  []LoadTimings
	closed       bool
	coldStarts   [coldStartWindow]bool // of the last launches: found no warm copy
	admitted     int
	warmedUp     bool // told in the journal
	background   sync.WaitGroup
}

type call struct {
	id              uint64
	attempt         *workerrpc.Attempt
	reply           func(*workerrpc.AttemptResult)
	replicaState    workerrpc.ReplicaState
	concurrentCalls int // of its function here when it came
}

// claimStore knows which keyed events were begun inside their windows: the worker's own journal, or registers of a group.
type claimStore interface {
	Claim(ctx context.Context, key string, window time.Duration) (claim string, v idempotency.Decision, body []byte)
	Complete(key, claim string, body []byte)
	Release(key, claim string) // it was not run after all
}

type replica struct {
	process   *runner.Replica // nil while it loads
	unloading bool            // told to unload, or dead
}

type loadRequest struct {
	function string
	replicas int
	reply    func(*workerrpc.LoadResult)
}

// New opens a worker's folder and asks for the releases that the store has; without an answer it goes by those that it knew. Another worker that uses the folder is refused.
func New(o Options) (*Worker, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.FailPoint == nil {
		o.FailPoint = func(string) {}
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
	w := &Worker{options: o, started: time.Now(), admission: admission.New(o.Limits), calls: map[uint64]*call{}, replicas: map[uint64]*replica{},
		releases: map[string]manifest.Manifest{}, prefetching: map[string]bool{}}
	ctx, stop := context.WithTimeout(context.Background(), o.StartTimeout)
	err := w.RefreshReleases(ctx)
	stop()
	if err != nil {
		w.options.Log.Warn("the store told no releases: those of the last life are used", "err", err)
	}
	if w.journal, err = openJournal(filepath.Join(o.Folder, "journal"), o.Log); err != nil {
		return nil, err
	}
	if w.claims = w.journal; o.IdempotencyGroup != nil {
		w.claims = o.IdempotencyGroup
	}
	ro := runner.Options{Executable: o.Executable, CompilationCache: filepath.Join(o.Folder, "compiled"), StartTimeout: o.StartTimeout, GracePeriod: o.GracePeriod, MaxResponseBytes: o.MaxResponseBytes,
		WasmOverhead: o.WasmOverhead, Log: o.Log, ReplicaLog: o.ReplicaLog}
	if w.replicaHost, err = runner.NewHost(ro); err != nil {
		return nil, errors.Join(err, w.journal.close())
	}
	w.server = &workerrpc.Server{Handshake: workerrpc.Handshake{Name: o.Name, Started: w.started, MaxAttempts: o.MaxInFlight, InterruptedLoads: w.journal.interruptedLoads,
		WarmUpTime: w.journal.warmUpDuration}, Handler: w}
	w.wakeTimer = time.AfterFunc(time.Hour, w.onWake)
	o.Artifacts.SetUtilization(w.Utilization)
	return w, nil
}

// RefreshReleases asks for new functions and new releases. What is known stays known when the store does not answer. A release of
// a function that has copies here takes their place only once all of it has been fetched: until then, and if the store stops
// in between, the old one serves.
func (w *Worker) RefreshReleases(ctx context.Context) error {
	err := w.options.Artifacts.Refresh(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.options.Artifacts.Packages() {
		old, known := w.releases[p.Name]
		n := w.admission.Counts(p.Name)
		switch {
		case known && old.Version == p.Version, w.prefetching[p.Name], w.closed:
		case known && n.Warm+n.Loading > 0:
			w.prefetching[p.Name] = true
			w.background.Go(func() { w.prefetchRelease(p) })
		default:
			w.activateRelease(p)
		}
	}
	return err
}

// prefetchRelease fetches a release, then has it take the place of the old one. If it can't be fetched, the next refresh tries again.
func (w *Worker) prefetchRelease(p manifest.Manifest) {
	ctx, stop := context.WithTimeout(context.Background(), w.options.StartTimeout)
	defer stop()
	err := w.options.Artifacts.Prefetch(ctx, p.Name, p.Version)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.prefetching, p.Name)
	if err != nil {
		w.options.Log.Warn("a new release can't be fetched: the old one serves", "package", p.Name, "version", p.Version, "err", err)
		return
	}
	w.activateRelease(p)
	w.advance()
}

// activateRelease has a release be the one that is loaded; the lock is held. Copies of the old one finish what they run.
func (w *Worker) activateRelease(p manifest.Manifest) {
	w.releases[p.Name] = p
	w.admission.Publish(admission.Function{Name: p.Name, Version: p.Version, Concurrency: p.Concurrency, MemoryBytes: w.replicaMemory(p)})
	w.background.Go(func() { // it removes files
		if err := w.options.Artifacts.DropPrevious(p.Name); err != nil {
			w.options.Log.Warn("an old release's files are left", "package", p.Name, "err", err)
		}
	})
}

// pollReleases does it every so often until ctx ends.
func (w *Worker) pollReleases(ctx context.Context) error {
	if w.options.ReleasePollInterval <= 0 {
		return nil
	}
	return httpserver.RunPeriodically(ctx, w.options.ReleasePollInterval, func() error {
		if err := w.RefreshReleases(ctx); err != nil && ctx.Err() == nil {
			w.options.Log.Warn("no new releases are known", "err", err)
		}
		return nil
	})
}

func (w *Worker) replicaMemory(p manifest.Manifest) int64 {
	if p.Kind == manifest.Wasm {
		return int64(p.MemoryLimit) + w.options.WasmOverhead
	}
	return int64(p.MemoryLimit)
}

// Run serves front ends until ctx ends, then ends all copies.
func (w *Worker) Run(ctx context.Context, listener net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.server.Serve(ctx, w.silencer.Listener(listener)) })
	g.Go(func() error { return w.sampleMemory(ctx) })
	g.Go(func() error { return w.pollReleases(ctx) })
	err := g.Wait()
	w.mu.Lock()
	w.closed = true
	w.wakeTimer.Stop()
	w.mu.Unlock()
	err = errors.Join(err, w.replicaHost.Close())
	w.background.Wait()
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

// Utilization is the part of its lanes that run.
func (w *Worker) Utilization() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.admission.Running()) / float64(w.options.Limits.MaxRunning)
}

// InFlight is the number of events that wait or run.
func (w *Worker) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// UpdateFaults has it misbehave from now on; Silence has it neither read nor write.
func (w *Worker) UpdateFaults(change func(*faultinject.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Silence has it neither read nor write, with its connections left open.
func (w *Worker) Silence(on bool) { w.silencer.Set(on) }

// InterruptedLoads tells the loads that the last life did not end.
func (w *Worker) InterruptedLoads() []workerrpc.InterruptedLoad { return w.journal.interruptedLoads }

// LoadTimings tells how long the steps of the loads of this life took.
func (w *Worker) LoadTimings() []LoadTimings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]LoadTimings(nil), w.loadTimings...)
}

func (w *Worker) now() time.Duration { return time.Since(w.started) }

// LoadReport tells its load; the memory is what the operating system said at the last look.
func (w *Worker) LoadReport() *workerrpc.LoadReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report()
}

func (w *Worker) report() *workerrpc.LoadReport {
	waiting := float64(w.admission.Waiting())
	if w.faults.ReportFactor > 0 {
		waiting *= w.faults.ReportFactor
	}
	return &workerrpc.LoadReport{QueueDepth: int(waiting), Running: w.admission.Running(), MemoryBytes: w.memoryUsage, ColdStartRate: w.coldStartRatio(),
		CPUUtilization: min(1, float64(w.admission.Running())/float64(runtime.NumCPU()))}
}

// coldStartRatio is the part of the last launches that found no warm copy.
func (w *Worker) coldStartRatio() float64 {
	n := min(coldStartWindow, w.admitted)
	if n == 0 {
		return 1
	}
	cold := 0
	for _, x := range w.coldStarts[:n] {
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
	if w.faults.Hang {
		reply = func(*workerrpc.AttemptResult) {}
	}
	refuse := func(code workerrpc.Code, why string) func() {
		reply(&workerrpc.AttemptResult{Code: code, Reason: why, Report: w.report()})
		return nil
	}
	switch {
	case w.closed || w.draining:
		return refuse(workerrpc.CodeNotStarted, "draining")
	case w.faults.FailRequests:
		return refuse(workerrpc.CodeFailed, "told to fail")
	case w.faults.RejectTenant != "" && w.faults.RejectTenant == l.Tenant:
		return refuse(workerrpc.CodeOverloaded, "full")
	}
	have := w.admission.Counts(l.Function)
	w.lastCallID++
	c := &call{id: w.lastCallID, attempt: l, reply: reply, replicaState: workerrpc.ReplicaWarm, concurrentCalls: have.Waiting + have.Busy}
	if have.Warm == 0 {
		c.replicaState = workerrpc.ReplicaLoadAwaited
		if have.Loading == 0 {
			c.replicaState = workerrpc.ReplicaLoadStarted
		}
	}
	switch w.admission.Admit(w.now(), admission.Call{ID: c.id, Function: l.Function, Tenant: l.Tenant, Deadline: w.now() + l.TimeLeft}) {
	case admission.Full:
		return refuse(workerrpc.CodeOverloaded, "full")
	case admission.Missing:
		return refuse(workerrpc.CodeNotFound, "not here")
	case admission.TooLarge:
		return refuse(workerrpc.CodeNotFound, "its package needs more memory than this worker has")
	}
	w.calls[c.id] = c
	w.coldStarts[w.admitted%coldStartWindow] = c.replicaState != workerrpc.ReplicaWarm
	w.admitted++
	if !w.warmedUp && w.admitted >= coldStartWindow && w.coldStartRatio() <= warmedUpColdRatio {
		w.warmedUp = true
		took := w.now()
		w.options.Log.Info("warmed up", "after", took)
		if err := w.journal.append(journalRecord{Kind: recordWarmedUp, Duration: took}, false); err != nil {
			w.options.Log.Error("the warm-up is not noted", "err", err) // the next life tells none
		}
	}
	if c.replicaState != workerrpc.ReplicaWarm {
		if err := w.journal.append(journalRecord{Kind: recordAdmitted, Function: l.Function, RequestID: l.RequestID}, false); err != nil {
			w.options.Log.Error("an event taken for a load is not noted", "err", err) // it is told to have run if the worker dies
		}
	}
	w.advance()
	return func() { w.cancel(c) }
}

func (w *Worker) cancel(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls[c.id] == nil {
		return
	}
	if w.admission.Withdraw(c.attempt.Function, c.id) {
		w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "withdrawn before its start"})
		return
	}
	// it runs: what was begun is not stopped, but its answer is not waited for
	w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeCancelled, Reason: "withdrawn"})
}

// respond ends a call for its front end; the lock is held. Later results of it change nothing.
func (w *Worker) respond(c *call, a *workerrpc.AttemptResult) {
	if w.calls[c.id] == nil {
		return
	}
	delete(w.calls, c.id)
	a.ReplicaState, a.ConcurrentRequests, a.Report = c.replicaState, c.concurrentCalls, w.report()
	if a.Code == workerrpc.CodeNotFound && a.Reason == "load failed" {
		a.ReplicaState = workerrpc.ReplicaLoadFailed
	}
	if c.replicaState != workerrpc.ReplicaWarm {
		if err := w.journal.append(journalRecord{Kind: recordAnswered, RequestID: c.attempt.RequestID}, false); err != nil {
			w.options.Log.Error("an answer is not noted", "err", err)
		}
	}
	c.reply(a)
}

// HandleLoadRequest has copies loaded.
func (w *Worker) HandleLoadRequest(_ string, o *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Hang {
		reply = func(*workerrpc.LoadResult) {}
	}
	if w.closed || w.draining {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotStarted, Reason: "draining"})
		return
	}
	_, refused := w.admission.RequestReplicas(o.Function, o.Replicas)
	if refused != admission.Admitted {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotFound, Reason: "not here, or too big for this worker"})
		return
	}
	w.loadRequests = append(w.loadRequests, &loadRequest{o.Function, o.Replicas, reply})
	w.advance()
}

func (w *Worker) onWake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// advance carries out what is due; the lock is held.
func (w *Worker) advance() {
	if w.closed {
		return
	}
	st := w.admission.Advance(w.now())
	for _, o := range st.Dropped {
		c := w.calls[o.CallID]
		if c == nil {
			continue
		}
		if o.Reason == admission.LoadFailed {
			w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotFound, Reason: "load failed"})
		} else {
			w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "its time was up before it could begin"})
		}
	}
	for _, id := range st.Unloads {
		if l := w.replicas[id]; l != nil && l.process != nil {
			l.unloading = true
			l.process.Stop(nil)
		}
	}
	for _, l := range st.Loads {
		p := w.releases[l.Function.Name]
		w.replicas[l.ReplicaID] = &replica{}
		fail := w.faults.FailLoads
		w.background.Go(func() { w.loadReplica(l.ReplicaID, p, fail) })
	}
	for _, r := range st.Runs {
		w.startCall(r)
	}
	kept := w.loadRequests[:0]
	for _, o := range w.loadRequests {
		n := w.admission.Counts(o.function)
		switch {
		case n.Warm >= o.replicas:
			o.reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: n.Warm})
		case n.Loading+n.Requested == 0:
			o.reply(&workerrpc.LoadResult{Code: workerrpc.CodeOverloaded, Replicas: n.Warm, Reason: "no room, or a load failed"})
		default:
			kept = append(kept, o)
		}
	}
	w.loadRequests = kept
	if st.WakeAfter > 0 {
		w.wakeTimer.Reset(st.WakeAfter)
	}
}

// startCall hands an event to its copy; the lock is held.
func (w *Worker) startCall(r admission.Run) {
	c, l := w.calls[r.CallID], w.replicas[r.ReplicaID]
	if c == nil || l == nil || l.process == nil { // withdrawn meanwhile, or its copy is gone
		w.admission.CallEnded(w.now(), r.CallID)
		w.wakeTimer.Reset(0)
		if c != nil {
			w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "its copy ended"})
		}
		return
	}
	if c.attempt.IdempotencyKey == "" {
		w.execute(r, c, l, "")
		return
	}
	w.background.Go(func() { w.claimKey(r, c) })
}

// claimKey asks whether a keyed event is a repeat before it is handed over.
func (w *Worker) claimKey(r admission.Run, c *call) {
	key := scopedKey(c.attempt)
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(claimTimeoutShare*float64(c.attempt.TimeLeft)))
	claim, v, body := w.claims.Claim(ctx, key, c.attempt.IdempotencyWindow)
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.replicas[r.ReplicaID]
	if v == idempotency.DecisionExecute && w.calls[c.id] != nil && l != nil && l.process != nil {
		w.execute(r, c, l, claim)
		return
	}
	if v == idempotency.DecisionExecute { // withdrawn meanwhile, or its copy is gone
		w.claims.Release(key, claim)
	}
	w.admission.CallEnded(w.now(), r.CallID)
	switch v {
	case idempotency.DecisionCompleted:
		w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeOK, Deduplicated: true, Body: body, Reason: "a repeat inside its window"})
	case idempotency.DecisionDuplicate:
		w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeFailed, Deduplicated: true, Reason: "a repeat of one that may have run"})
	case idempotency.DecisionExecute:
		w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "its copy ended"})
	default:
		w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "it is not known whether it is a repeat"})
	}
	w.advance()
}

// scopedKey is a key among those of all tenants and event types.
func scopedKey(l *workerrpc.Attempt) string {
	return l.Type + "\n" + l.Tenant + "\n" + l.IdempotencyKey
}

// execute hands an event over; the lock is held.
func (w *Worker) execute(r admission.Run, c *call, l *replica, claim string) {
	e := c.attempt
	if c.replicaState != workerrpc.ReplicaWarm {
		if err := w.journal.append(journalRecord{Kind: recordStarted, RequestID: e.RequestID}, false); err != nil {
			if claim != "" {
				w.claims.Release(scopedKey(e), claim)
			}
			w.admission.CallEnded(w.now(), r.CallID) // not written down as run: it must not run
			w.wakeTimer.Reset(0)
			w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: err.Error()})
			return
		}
	}
	slow := w.faults.SlowFactor
	w.background.Add(1)
	l.process.Call(e.Body, e.TimeLeft, func(res runner.Result) {
		defer w.background.Done()
		if slow > 1 {
			time.Sleep(time.Duration(float64(res.Duration) * (slow - 1)))
		}
		w.completeCall(r.CallID, c, claim, res)
	})
}

func (w *Worker) completeCall(id uint64, c *call, claim string, res runner.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admission.CallEnded(w.now(), id)
	a := &workerrpc.AttemptResult{Code: workerrpc.CodeOK, Body: res.Body, CPUTime: res.Duration}
	if res.Err != nil {
		a.Code, a.Reason = workerrpc.CodeFailed, res.Err.Error()
	}
	if errors.Is(res.Err, runner.ErrNotStarted) {
		a.Code = workerrpc.CodeNotStarted
	}
	if claim != "" {
		switch a.Code {
		case workerrpc.CodeOK:
			w.claims.Complete(scopedKey(c.attempt), claim, a.Body)
		case workerrpc.CodeNotStarted:
			w.claims.Release(scopedKey(c.attempt), claim)
		}
	}
	w.respond(c, a)
	w.advance()
}

// loadReplica brings up a copy. It is written down, durably, before anything of it begins.
func (w *Worker) loadReplica(id uint64, p manifest.Manifest, fail bool) {
	took, copy, err := w.startReplica(id, p, fail)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.options.Log.Warn("load failed", "package", p.Name, "version", p.Version, "err", err)
		delete(w.replicas, id)
		w.admission.LoadFailed(id)
		w.advance()
		return
	}
	w.options.Log.Info("loaded", "package", p.Name, "version", p.Version, "fetch", took.Fetch, "verify", took.Verify, "compile", took.Compile,
		"start", took.Start)
	w.loadTimings = append(w.loadTimings[max(0, len(w.loadTimings)-99):], took)
	w.replicas[id].process = copy
	w.admission.LoadSucceeded(w.now(), id)
	w.background.Go(func() { w.watchReplica(id, copy) })
	if w.closed {
		copy.Stop(nil)
	}
	w.advance()
}

func (w *Worker) startReplica(id uint64, p manifest.Manifest, fail bool) (took LoadTimings, copy *runner.Replica, err error) {
	if err := w.journal.append(journalRecord{Kind: recordLoadStarted, LoadID: id, Function: p.Name, Version: p.Version}, true); err != nil {
		return took, nil, err
	}
	defer func() { // well or not, this life knows its end
		err = errors.Join(err, w.journal.append(journalRecord{Kind: recordLoadEnded, LoadID: id}, false))
		if err != nil && copy != nil {
			copy.Stop(nil)
		} else if err == nil {
			w.options.FailPoint(PointCompleted)
		}
	}()
	w.options.FailPoint(PointJournaled)
	if fail {
		return took, nil, errors.New("told to fail")
	}
	at := time.Now()
	folder := filepath.Join(w.options.Folder, "packages", fmt.Sprintf("%s-%s-%d", p.Name, p.Version, id))
	ctx, stop := context.WithTimeout(context.Background(), w.options.StartTimeout)
	here, err := w.options.Artifacts.Install(ctx, p.Name, p.Version, folder)
	stop()
	if err != nil {
		return took, nil, err
	}
	took.Fetch = time.Since(at)
	w.options.FailPoint(PointFetched)
	at = time.Now()
	if err := here.Verify(); err != nil {
		return took, nil, errors.Join(err, os.RemoveAll(folder))
	}
	took.Verify = time.Since(at)
	w.options.FailPoint(PointVerified)
	at = time.Now()
	if copy, err = w.replicaHost.Start(context.Background(), here); err != nil { // bounded by Ready
		return took, nil, errors.Join(err, os.RemoveAll(folder))
	}
	took.Compile = copy.CompileTime()
	took.Start = max(0, time.Since(at)-took.Compile)
	w.options.FailPoint(PointStarted)
	return took, copy, nil
}

// watchReplica waits for a copy's end, wished or not. Its events have their results from the copy itself.
func (w *Worker) watchReplica(id uint64, c *runner.Replica) {
	<-c.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.replicas[id]
	delete(w.replicas, id)
	if l.unloading {
		w.admission.ReplicaUnloaded(id)
	} else {
		w.admission.ReplicaExited(w.now(), id)
	}
	_ = os.RemoveAll(c.Folder()) // what is left is removed at the next start
	w.advance()
}

// sampleMemory looks at the memory of every copy and ends one that holds more than its package may.
func (w *Worker) sampleMemory(ctx context.Context) error {
	return httpserver.RunPeriodically(ctx, w.options.MemorySampleInterval, func() error {
		w.mu.Lock()
		var all []*runner.Replica
		for _, l := range w.replicas {
			if l.process != nil {
				all = append(all, l.process)
			}
		}
		w.mu.Unlock()
		sum, err := runner.ProcessMemory(os.Getpid())
		if err != nil {
			w.options.Log.Error("memory can't be read", "err", err)
		}
		for _, c := range all {
			m, err := c.Memory()
			if err != nil {
				continue // it has just ended
			}
			if sum += m; m > c.MemoryLimit() {
				c.Stop(runner.ErrMemoryLimit)
			}
		}
		w.mu.Lock()
		w.memoryUsage = sum
		w.mu.Unlock()
		if err := w.rotateReplicaLog(); err != nil {
			w.options.Log.Error("the log of copies is not bounded", "err", err)
		}
		return nil
	})
}

// rotateReplicaLog moves a log of copies that is too long aside. Copies write into the file themselves, so it is copied and cut; a line
// that is written in between is lost.
func (w *Worker) rotateReplicaLog() error {
	if w.options.ReplicaLog == nil || w.options.MaxReplicaLogBytes <= 0 {
		return nil
	}
	if is, err := w.options.ReplicaLog.Stat(); err != nil || is.Size() <= w.options.MaxReplicaLogBytes {
		return err
	}
	name := w.options.ReplicaLog.Name()
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
