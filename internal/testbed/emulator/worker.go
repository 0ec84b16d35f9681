// Package emulator has imitation workers: they speak the link protocol, take the time that a model of a worker would
// take, and misbehave when told. They run nothing. What they claim to have run is kept in a ledger, so that a rehearsal
// can count effects at the workers, apart from what any front end says.
package emulator

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/workerrpc"
)

// Function is what an imitation worker knows of a function.
type Function struct {
	Name        string
	MeanCPUTime time.Duration // mean time on a core of one event
	LoadTime    time.Duration // of a copy, from a store that is not crowded
	Memory      int64         // bytes of a copy
	Concurrency int
}

// Model is what a worker is like.
type Model struct {
	Cores              float64
	Memory             int64
	QueueLimit         int           // events that may wait; more are turned away as full
	ReplicaIdleTimeout time.Duration // an idle copy stays so long
	LoadOnMiss         bool
	InitialShare       float64       // part of its cores at the start
	WarmUpTime         time.Duration // all of them
	CrashMultiple      float64       // sent more than this multiple of its present cores
	CrashWindow        time.Duration // for so long, a cold worker falls over; 0: never
	MaxAttempts        int           // most outstanding a connection
}

// Worker is one imitation worker. Its methods may be called by any goroutine.
type Worker struct {
	name       string
	model      Model
	functions  map[string]Function
	store      *Store
	executions *ExecutionLog
	groups     map[string]*DedupGroup // by event type
	random     random.Source

	mu          sync.Mutex
	incarnation int // counts starts: what belongs to an earlier life is void
	started     time.Time
	replicas    map[string]*replicaSet
	memory      int64
	running     int
	waiting     int
	server      *workerrpc.Server
	cancel      context.CancelFunc
	stopped     chan struct{}
	addr        string
	faults      faultinject.Faults
	recentWork  []workSample // work that came lately, while cold
	crashes     int
	silencer    faultinject.Silencer
}

type workSample struct {
	at   time.Time
	work time.Duration
}

// replicaSet is the copies of one function.
type replicaSet struct {
	function  Function
	replicas  int
	loading   int
	busy      int
	idleSince time.Time
	queue     []*job
}

type job struct {
	attempt            *workerrpc.Attempt
	reply              func(*workerrpc.AttemptResult)
	incarnation        int
	replicaState       workerrpc.ReplicaState
	concurrentRequests int
	cpuTime            time.Duration
	timer              *time.Timer
	started            bool
	finished           bool
}

// NewWorker makes a worker that is not started; groups are those of keyed event types that it is in.
func NewWorker(name string, m Model, functions []Function, s *Store, l *ExecutionLog,
	groups map[string]*DedupGroup, seed uint64) *Worker {
	w := &Worker{name: name, model: m, functions: map[string]Function{}, store: s, executions: l, groups: groups,
		random: random.New(seed ^ random.Hash(name))}
	for _, f := range functions {
		w.functions[f.Name] = f
	}
	return w
}

// Start begins a life: cold, empty, at addr ("" the first time: any port of loopback). old says that the worker
// started long ago and is warm.
func (w *Worker) Start(addr string, old bool) (string, time.Time, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", time.Time{}, fmt.Errorf("imitation worker %s: %w", w.name, err)
	}
	ctx, end := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.started = time.Now()
	if old {
		w.started = w.started.Add(-24 * time.Hour)
	}
	w.replicas, w.memory, w.running, w.waiting, w.recentWork = map[string]*replicaSet{}, 0, 0, 0, nil
	w.addr, w.cancel, w.stopped = listener.Addr().String(), end, make(chan struct{})
	server := &workerrpc.Server{Handshake: workerrpc.Handshake{Name: w.name, Started: w.started, MaxAttempts: w.model.MaxAttempts},
		Handler: &life{w: w, n: w.incarnation}}
	w.server = server
	ended := w.stopped
	silent := w.silencer.Listener(listener)
	go func() {
		defer close(ended)
		_ = server.Serve(ctx, silent) // its end is the end of this life
	}()
	return w.addr, w.started, nil
}

// Stop ends the life without a word; whatever ran is lost.
func (w *Worker) Stop() {
	w.mu.Lock()
	if w.cancel == nil {
		w.mu.Unlock()
		return
	}
	w.incarnation++ // no timer of this life answers any more
	for _, s := range w.replicas {
		for _, j := range s.queue {
			j.finished = true
		}
	}
	end, ended := w.cancel, w.stopped
	w.cancel = nil
	w.mu.Unlock()
	w.SetUnresponsive(false)
	end()
	<-ended
}

// Name is the worker's name.
func (w *Worker) Name() string { return w.name }

// Crashes is how often it fell over.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// InjectFault has the worker misbehave from now on.
func (w *Worker) InjectFault(change func(*faultinject.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Reset breaks its connections; the worker goes on.
func (w *Worker) Reset() {
	w.mu.Lock()
	s := w.server
	w.mu.Unlock()
	s.CloseConnections()
}

// Drain says on its connections that nothing new is started there.
func (w *Worker) Drain() {
	w.mu.Lock()
	s := w.server
	w.mu.Unlock()
	s.NotifyDraining("draining")
}

// Redeploy has every copy of a function out of date: what runs ends, the next event finds nothing loaded.
func (w *Worker) Redeploy(function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.replicas[function]; s != nil {
		idle := s.replicas - (s.busy+s.function.Concurrency-1)/s.function.Concurrency
		s.replicas -= idle
		w.memory -= int64(idle) * s.function.Memory
		if s.replicas == 0 && s.loading == 0 && len(s.queue) > 0 {
			w.load(s, nil)
		}
	}
}

// SetUnresponsive has it neither read nor write, with its connections left open.
func (w *Worker) SetUnresponsive(on bool) { w.silencer.Set(on) }

// life is a worker between a start and the next stop, as its connections see it.
type life struct {
	w *Worker
	n int
}

// LoadReport tells its load.
func (l *life) LoadReport() *workerrpc.LoadReport {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.w.loadReport()
}

func (w *Worker) loadReport() *workerrpc.LoadReport {
	waiting := float64(w.waiting)
	if w.faults.ReportFactor > 0 {
		waiting *= w.faults.ReportFactor
	}
	return &workerrpc.LoadReport{QueueDepth: int(waiting), Running: w.running, MemoryBytes: w.memory,
		CPUUtilization: min(1, float64(w.running)/w.model.Cores)}
}

// warmShare is the part of its cores that a worker has by now.
func (w *Worker) warmShare(now time.Time) float64 {
	warm := now.Sub(w.started)
	if w.model.WarmUpTime <= 0 || warm >= w.model.WarmUpTime {
		return 1
	}
	return w.model.InitialShare + (1-w.model.InitialShare)*float64(warm)/float64(w.model.WarmUpTime)
}

// HandleAttempt takes an event.
func (l *life) HandleAttempt(_ string, launch *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) (cancel func()) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != l.n {
		return nil
	}
	f, known := w.functions[launch.Function]
	t := w.faults
	// what came is work, whether it is taken or not; a cold worker that gets too much falls over
	work := time.Duration(float64(f.MeanCPUTime) * -math.Log(1-float64(w.random.IntN(9500))/10000))
	if w.crashIfOverloaded(work) {
		return nil
	}
	switch {
	case !known:
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeNotFound, Reason: "no such function", Report: w.loadReport()})
		return nil
	case t.Hang:
		w.executions.record(launch, w.name)
		return nil
	case t.FailRequests:
		w.executions.record(launch, w.name)
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeFailed, Reason: "error", Report: w.loadReport(), CPUTime: time.Microsecond})
		return nil
	case t.RejectTenant != "" && t.RejectTenant == launch.Tenant, w.waiting >= w.model.QueueLimit:
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeOverloaded, Reason: "full", Report: w.loadReport()})
		return nil
	}
	s := w.replicaSet(f)
	j := &job{attempt: launch, reply: reply, incarnation: w.incarnation, cpuTime: work, replicaState: workerrpc.ReplicaWarm,
		concurrentRequests: s.busy + len(s.queue)}
	if s.replicas == 0 {
		j.replicaState = workerrpc.ReplicaLoadAwaited
		if s.loading == 0 {
			if !w.model.LoadOnMiss {
				reply(&workerrpc.AttemptResult{Code: workerrpc.CodeNotFound, Reason: "not loaded", Report: w.loadReport()})
				return nil
			}
			j.replicaState = workerrpc.ReplicaLoadStarted
			if !w.load(s, nil) {
				reply(&workerrpc.AttemptResult{Code: workerrpc.CodeOverloaded, Reason: "no memory", Report: w.loadReport()})
				return nil
			}
		}
	}
	s.queue = append(s.queue, j)
	w.waiting++
	w.dispatch(s)
	return func() { w.cancelJob(s, j) }
}

func (w *Worker) replicaSet(f Function) *replicaSet {
	s := w.replicas[f.Name]
	if s == nil {
		s = &replicaSet{function: f}
		w.replicas[f.Name] = s
	}
	return s
}

// crashIfOverloaded counts work that comes to a cold worker and falls over when it is too much.
func (w *Worker) crashIfOverloaded(work time.Duration) bool {
	now := time.Now()
	share := w.warmShare(now)
	if w.model.CrashMultiple <= 0 || share >= 1 {
		return false
	}
	w.recentWork = append(w.recentWork, workSample{now, work})
	sum := time.Duration(0)
	kept := w.recentWork[:0]
	for _, a := range w.recentWork {
		if now.Sub(a.at) < w.model.CrashWindow {
			kept = append(kept, a)
			sum += a.work
		}
	}
	w.recentWork = kept
	budget := w.model.CrashMultiple * share * w.model.Cores * float64(w.model.CrashWindow)
	if float64(sum) <= budget+3*math.Sqrt(budget*float64(max(work, time.Millisecond))) {
		return false
	}
	w.crashes++
	w.incarnation++ // all that it holds is lost; its connections break
	server := w.server
	go server.CloseConnections()
	return true
}

// load begins a load; done, if given, hears how it ended. It returns false where there is no room.
func (w *Worker) load(s *replicaSet, done func(workerrpc.Code)) bool {
	if !w.evictIdle(s.function.Memory) {
		return false
	}
	w.memory += s.function.Memory
	s.loading++
	n := w.incarnation
	took, failed := w.store.BeginFetch(s.function.LoadTime)
	failed = failed || w.faults.FailLoads
	time.AfterFunc(took, func() {
		w.store.EndFetch()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != n {
			return
		}
		s.loading--
		code := workerrpc.CodeOK
		if failed {
			code = workerrpc.CodeFailed
			w.memory -= s.function.Memory
			if s.replicas == 0 && s.loading == 0 {
				for _, j := range s.queue {
					j.replicaState = workerrpc.ReplicaLoadFailed
					w.complete(j, workerrpc.CodeFailed, "load failed")
				}
				w.waiting -= len(s.queue)
				s.queue = nil
			}
		} else {
			s.replicas++
			s.idleSince = time.Now()
			w.dispatch(s)
		}
		if done != nil {
			done(code)
		}
	})
	return true
}

// evictIdle drops idle copies: those past their keep time, then the longest idle ones.
func (w *Worker) evictIdle(need int64) bool {
	for w.memory+need > w.model.Memory {
		var oldest *replicaSet
		for _, s := range w.replicas {
			if s.replicas*s.function.Concurrency-s.busy >= s.function.Concurrency && len(s.queue) == 0 &&
				(oldest == nil || s.idleSince.Before(oldest.idleSince)) {
				oldest = s
			}
		}
		if oldest == nil {
			return false
		}
		oldest.replicas--
		w.memory -= oldest.function.Memory
	}
	return true
}

// dispatch starts what waits on free lanes. Running events share the cores as they stand at their start.
func (w *Worker) dispatch(s *replicaSet) {
	if s.replicas > 0 && s.busy == 0 && len(s.queue) == 0 && time.Since(s.idleSince) > w.model.ReplicaIdleTimeout {
		w.memory -= int64(s.replicas) * s.function.Memory
		s.replicas = 0
	}
	for len(s.queue) > 0 && s.busy < s.replicas*s.function.Concurrency {
		j := s.queue[0]
		s.queue = s.queue[1:]
		w.waiting--
		if g := w.groups[j.attempt.Type]; g != nil && g.duplicate(j.attempt) {
			w.complete(j, workerrpc.CodeOK, "repeat")
			continue
		}
		s.busy++
		w.running++
		j.started = true
		w.executions.record(j.attempt, w.name)
		cores := w.model.Cores * w.warmShare(time.Now())
		took := time.Duration(float64(j.cpuTime) * max(1, float64(w.running)/cores))
		if w.faults.SlowFactor > 0 {
			took = time.Duration(float64(took) * w.faults.SlowFactor)
		}
		j.timer = time.AfterFunc(took, func() { w.finish(s, j) })
	}
}

func (w *Worker) finish(s *replicaSet, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != j.incarnation || j.finished {
		return
	}
	s.busy--
	w.running--
	s.idleSince = time.Now()
	w.complete(j, workerrpc.CodeOK, "")
	w.dispatch(s)
}

func (w *Worker) complete(j *job, code workerrpc.Code, reason string) {
	j.finished = true
	a := &workerrpc.AttemptResult{Code: code, ReplicaState: j.replicaState, ConcurrentRequests: j.concurrentRequests, CPUTime: j.cpuTime, Report: w.loadReport(), Reason: reason}
	switch {
	case code != workerrpc.CodeOK:
	case reason == "repeat":
		a.Deduplicated, a.CPUTime = true, 0
	default:
		a.Body = fmt.Appendf(nil, "%s handled %s", w.name, j.attempt.ClientRequestID)
	}
	j.reply(a)
}

func (w *Worker) cancelJob(s *replicaSet, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != j.incarnation || j.finished {
		return
	}
	if j.started {
		j.timer.Stop()
		s.busy--
		w.running--
		w.complete(j, workerrpc.CodeCancelled, "withdrawn")
	} else {
		for i, x := range s.queue {
			if x == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				w.waiting--
				break
			}
		}
		w.complete(j, workerrpc.CodeNotStarted, "withdrawn before its start")
	}
	w.dispatch(s)
}

// HandleLoadRequest loads copies up to the count.
func (l *life) HandleLoadRequest(_ string, o *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != l.n || w.faults.Hang {
		return
	}
	f, known := w.functions[o.Function]
	if !known {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotFound, Reason: "no such function"})
		return
	}
	s := w.replicaSet(f)
	missing, failed := 0, false
	ended := func(code workerrpc.Code) { // the lock is held
		missing--
		failed = failed || code != workerrpc.CodeOK
		if missing == 0 {
			code = workerrpc.CodeOK
			if failed {
				code = workerrpc.CodeFailed
			}
			reply(&workerrpc.LoadResult{Code: code, Replicas: s.replicas})
		}
	}
	for s.replicas+s.loading < o.Replicas {
		missing++
		if !w.load(s, ended) {
			missing--
			if missing == 0 {
				reply(&workerrpc.LoadResult{Code: workerrpc.CodeOverloaded, Replicas: s.replicas, Reason: "no memory"})
				return
			}
			break
		}
	}
	if missing == 0 {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: s.replicas})
	}
}
