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
	Name   string
	Work   time.Duration // mean time on a core of one event
	Load   time.Duration // of a copy, from a store that is not crowded
	Memory int64         // bytes of a copy
	Lanes  int
}

// Model is what a worker is like.
type Model struct {
	Cores      float64
	Memory     int64
	Queue      int           // events that may wait; more are turned away as full
	Keep       time.Duration // an idle copy stays so long
	LoadOnMiss bool
	ColdFrom   float64       // part of its cores at the start
	WarmAfter  time.Duration // all of them
	Multiple   float64       // sent more than this multiple of its present cores
	Fall       time.Duration // for so long, a cold worker falls over; 0: never
	Launches   int           // most outstanding a connection
}

// Worker is one imitation worker. Its methods may be called by any goroutine.
type Worker struct {
	name      string
	model     Model
	functions map[string]Function
	store     *Store
	ledger    *Ledger
	groups    map[string]*Group // by event type
	chance    random.Source

	mu       sync.Mutex
	life     int // counts starts: what belongs to an earlier life is void
	started  time.Time
	copies   map[string]*set
	memory   int64
	running  int
	waiting  int
	server   *workerrpc.Server
	end      context.CancelFunc
	ended    chan struct{}
	addr     string
	troubles faultinject.Faults
	window   []arrival // work that came lately, while cold
	falls    int
	silencer faultinject.Silencer
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// set is the copies of one function.
type set struct {
	f       Function
	copies  int
	loading int
	busy    int
	idle    time.Time
	queue   []*job
}

type job struct {
	launch  *workerrpc.Attempt
	reply   func(*workerrpc.AttemptResult)
	life    int
	warmth  workerrpc.ReplicaState
	company int
	work    time.Duration
	timer   *time.Timer
	ran     bool
	over    bool
}

// NewWorker makes a worker that is not started; groups are those of keyed event types that it is in.
func NewWorker(name string, m Model, functions []Function, s *Store, l *Ledger,
	groups map[string]*Group, seed uint64) *Worker {
	w := &Worker{name: name, model: m, functions: map[string]Function{}, store: s, ledger: l, groups: groups,
		chance: random.New(seed ^ random.Hash(name))}
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
	w.life++
	w.started = time.Now()
	if old {
		w.started = w.started.Add(-24 * time.Hour)
	}
	w.copies, w.memory, w.running, w.waiting, w.window = map[string]*set{}, 0, 0, 0, nil
	w.addr, w.end, w.ended = listener.Addr().String(), end, make(chan struct{})
	server := &workerrpc.Server{Handshake: workerrpc.Handshake{Name: w.name, Started: w.started, MaxAttempts: w.model.Launches},
		Handler: &life{w: w, n: w.life}}
	w.server = server
	ended := w.ended
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
	if w.end == nil {
		w.mu.Unlock()
		return
	}
	w.life++ // no timer of this life answers any more
	for _, s := range w.copies {
		for _, j := range s.queue {
			j.over = true
		}
	}
	end, ended := w.end, w.ended
	w.end = nil
	w.mu.Unlock()
	w.Silence(false)
	end()
	<-ended
}

// Name is the worker's name.
func (w *Worker) Name() string { return w.name }

// Falls is how often it fell over.
func (w *Worker) Falls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.falls
}

// Trouble has the worker misbehave from now on.
func (w *Worker) Trouble(change func(*faultinject.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.troubles)
}

// Reset breaks its connections; the worker goes on.
func (w *Worker) Reset() {
	w.mu.Lock()
	s := w.server
	w.mu.Unlock()
	s.CloseConnections()
}

// Goodbye says on its connections that nothing new is started there.
func (w *Worker) Goodbye() {
	w.mu.Lock()
	s := w.server
	w.mu.Unlock()
	s.NotifyDraining("draining")
}

// Release has every copy of a function out of date: what runs ends, the next event finds nothing loaded.
func (w *Worker) Release(function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.copies[function]; s != nil {
		idle := s.copies - (s.busy+s.f.Lanes-1)/s.f.Lanes
		s.copies -= idle
		w.memory -= int64(idle) * s.f.Memory
		if s.copies == 0 && s.loading == 0 && len(s.queue) > 0 {
			w.load(s, nil)
		}
	}
}

// Silence has it neither read nor write, with its connections left open.
func (w *Worker) Silence(on bool) { w.silencer.Set(on) }

// life is a worker between a start and the next stop, as its connections see it.
type life struct {
	w *Worker
	n int
}

// LoadReport tells its load.
func (l *life) LoadReport() *workerrpc.LoadReport {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.w.report()
}

func (w *Worker) report() *workerrpc.LoadReport {
	waiting := float64(w.waiting)
	if w.troubles.ReportFactor > 0 {
		waiting *= w.troubles.ReportFactor
	}
	return &workerrpc.LoadReport{QueueDepth: int(waiting), Running: w.running, MemoryBytes: w.memory,
		CPUUtilization: min(1, float64(w.running)/w.model.Cores)}
}

// share is the part of its cores that a worker has by now.
func (w *Worker) share(now time.Time) float64 {
	warm := now.Sub(w.started)
	if w.model.WarmAfter <= 0 || warm >= w.model.WarmAfter {
		return 1
	}
	return w.model.ColdFrom + (1-w.model.ColdFrom)*float64(warm)/float64(w.model.WarmAfter)
}

// HandleAttempt takes an event.
func (l *life) HandleAttempt(_ string, launch *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) (cancel func()) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l.n {
		return nil
	}
	f, known := w.functions[launch.Function]
	t := w.troubles
	// what came is work, whether it is taken or not; a cold worker that gets too much falls over
	work := time.Duration(float64(f.Work) * -math.Log(1-float64(w.chance.IntN(9500))/10000))
	if w.pushed(work) {
		return nil
	}
	switch {
	case !known:
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeNotFound, Reason: "no such function", Report: w.report()})
		return nil
	case t.Hang:
		w.ledger.ran(launch, w.name)
		return nil
	case t.FailRequests:
		w.ledger.ran(launch, w.name)
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeFailed, Reason: "error", Report: w.report(), CPUTime: time.Microsecond})
		return nil
	case t.RejectTenant != "" && t.RejectTenant == launch.Tenant, w.waiting >= w.model.Queue:
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeOverloaded, Reason: "full", Report: w.report()})
		return nil
	}
	s := w.set(f)
	j := &job{launch: launch, reply: reply, life: w.life, work: work, warmth: workerrpc.ReplicaWarm,
		company: s.busy + len(s.queue)}
	if s.copies == 0 {
		j.warmth = workerrpc.ReplicaLoadAwaited
		if s.loading == 0 {
			if !w.model.LoadOnMiss {
				reply(&workerrpc.AttemptResult{Code: workerrpc.CodeNotFound, Reason: "not loaded", Report: w.report()})
				return nil
			}
			j.warmth = workerrpc.ReplicaLoadStarted
			if !w.load(s, nil) {
				reply(&workerrpc.AttemptResult{Code: workerrpc.CodeOverloaded, Reason: "no memory", Report: w.report()})
				return nil
			}
		}
	}
	s.queue = append(s.queue, j)
	w.waiting++
	w.dispatch(s)
	return func() { w.cancel(s, j) }
}

func (w *Worker) set(f Function) *set {
	s := w.copies[f.Name]
	if s == nil {
		s = &set{f: f}
		w.copies[f.Name] = s
	}
	return s
}

// pushed counts work that comes to a cold worker and falls over when it is too much.
func (w *Worker) pushed(work time.Duration) bool {
	now := time.Now()
	share := w.share(now)
	if w.model.Multiple <= 0 || share >= 1 {
		return false
	}
	w.window = append(w.window, arrival{now, work})
	sum := time.Duration(0)
	kept := w.window[:0]
	for _, a := range w.window {
		if now.Sub(a.at) < w.model.Fall {
			kept = append(kept, a)
			sum += a.work
		}
	}
	w.window = kept
	budget := w.model.Multiple * share * w.model.Cores * float64(w.model.Fall)
	if float64(sum) <= budget+3*math.Sqrt(budget*float64(max(work, time.Millisecond))) {
		return false
	}
	w.falls++
	w.life++ // all that it holds is lost; its connections break
	server := w.server
	go server.CloseConnections()
	return true
}

// load begins a load; done, if given, hears how it ended. It returns false where there is no room.
func (w *Worker) load(s *set, done func(workerrpc.Code)) bool {
	if !w.makeRoom(s.f.Memory) {
		return false
	}
	w.memory += s.f.Memory
	s.loading++
	n := w.life
	took, failed := w.store.Fetch(s.f.Load)
	failed = failed || w.troubles.FailLoads
	time.AfterFunc(took, func() {
		w.store.Fetched()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != n {
			return
		}
		s.loading--
		code := workerrpc.CodeOK
		if failed {
			code = workerrpc.CodeFailed
			w.memory -= s.f.Memory
			if s.copies == 0 && s.loading == 0 {
				for _, j := range s.queue {
					j.warmth = workerrpc.ReplicaLoadFailed
					w.answer(j, workerrpc.CodeFailed, "load failed")
				}
				w.waiting -= len(s.queue)
				s.queue = nil
			}
		} else {
			s.copies++
			s.idle = time.Now()
			w.dispatch(s)
		}
		if done != nil {
			done(code)
		}
	})
	return true
}

// makeRoom drops idle copies: those past their keep time, then the longest idle ones.
func (w *Worker) makeRoom(need int64) bool {
	for w.memory+need > w.model.Memory {
		var oldest *set
		for _, s := range w.copies {
			if s.copies*s.f.Lanes-s.busy >= s.f.Lanes && len(s.queue) == 0 &&
				(oldest == nil || s.idle.Before(oldest.idle)) {
				oldest = s
			}
		}
		if oldest == nil {
			return false
		}
		oldest.copies--
		w.memory -= oldest.f.Memory
	}
	return true
}

// dispatch starts what waits on free lanes. Running events share the cores as they stand at their start.
func (w *Worker) dispatch(s *set) {
	if s.copies > 0 && s.busy == 0 && len(s.queue) == 0 && time.Since(s.idle) > w.model.Keep {
		w.memory -= int64(s.copies) * s.f.Memory
		s.copies = 0
	}
	for len(s.queue) > 0 && s.busy < s.copies*s.f.Lanes {
		j := s.queue[0]
		s.queue = s.queue[1:]
		w.waiting--
		if g := w.groups[j.launch.Type]; g != nil && g.repeat(j.launch) {
			w.answer(j, workerrpc.CodeOK, "repeat")
			continue
		}
		s.busy++
		w.running++
		j.ran = true
		w.ledger.ran(j.launch, w.name)
		cores := w.model.Cores * w.share(time.Now())
		took := time.Duration(float64(j.work) * max(1, float64(w.running)/cores))
		if w.troubles.SlowFactor > 0 {
			took = time.Duration(float64(took) * w.troubles.SlowFactor)
		}
		j.timer = time.AfterFunc(took, func() { w.finish(s, j) })
	}
}

func (w *Worker) finish(s *set, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != j.life || j.over {
		return
	}
	s.busy--
	w.running--
	s.idle = time.Now()
	w.answer(j, workerrpc.CodeOK, "")
	w.dispatch(s)
}

func (w *Worker) answer(j *job, code workerrpc.Code, reason string) {
	j.over = true
	a := &workerrpc.AttemptResult{Code: code, ReplicaState: j.warmth, ConcurrentRequests: j.company, CPUTime: j.work, Report: w.report(), Reason: reason}
	switch {
	case code != workerrpc.CodeOK:
	case reason == "repeat":
		a.Deduplicated, a.CPUTime = true, 0
	default:
		a.Body = fmt.Appendf(nil, "%s handled %s", w.name, j.launch.ClientRequestID)
	}
	j.reply(a)
}

func (w *Worker) cancel(s *set, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != j.life || j.over {
		return
	}
	if j.ran {
		j.timer.Stop()
		s.busy--
		w.running--
		w.answer(j, workerrpc.CodeCancelled, "withdrawn")
	} else {
		for i, x := range s.queue {
			if x == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				w.waiting--
				break
			}
		}
		w.answer(j, workerrpc.CodeNotStarted, "withdrawn before its start")
	}
	w.dispatch(s)
}

// HandleLoadRequest loads copies up to the count.
func (l *life) HandleLoadRequest(_ string, o *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l.n || w.troubles.Hang {
		return
	}
	f, known := w.functions[o.Function]
	if !known {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotFound, Reason: "no such function"})
		return
	}
	s := w.set(f)
	missing, failed := 0, false
	ended := func(code workerrpc.Code) { // the lock is held
		missing--
		failed = failed || code != workerrpc.CodeOK
		if missing == 0 {
			code = workerrpc.CodeOK
			if failed {
				code = workerrpc.CodeFailed
			}
			reply(&workerrpc.LoadResult{Code: code, Replicas: s.copies})
		}
	}
	for s.copies+s.loading < o.Replicas {
		missing++
		if !w.load(s, ended) {
			missing--
			if missing == 0 {
				reply(&workerrpc.LoadResult{Code: workerrpc.CodeOverloaded, Replicas: s.copies, Reason: "no memory"})
				return
			}
			break
		}
	}
	if missing == 0 {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: s.copies})
	}
}
