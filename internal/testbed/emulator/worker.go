// Package emulator provides emulated workers. They speak the worker protocol, respond after the time that a model of a
// worker yields, and inject faults on request, but execute no functions. They record the emulated executions in an
// execution log, so that a scenario can count side effects at the workers, independently of what gateways report.
package emulator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/worker/faultinject"
	"lupinpond/internal/workerrpc"
)

// Worker is an emulated worker. Its methods are safe for concurrent use.
type Worker struct {
	name       string
	model      Model
	functions  map[string]Function
	store      *Store
	executions *ExecutionLog
	groups     map[string]*DedupGroup // by request type
	random     random.Source
	silencer   faultinject.Silencer

	mu          sync.Mutex
	incarnation int // incremented at each start, stop and crash; jobs of earlier incarnations are dropped
	started     time.Time
	replicas    map[string]*replicaSet
	memory      int64
	running     int
	waiting     int
	server      *workerrpc.Server
	cancel      context.CancelFunc // ends the current incarnation; nil: stopped
	stopped     chan struct{}      // closed when the server of the incarnation has ended
	faults      faultinject.Faults
	recentWork  []workSample // load received within the last CrashWindow while warming up
	crashes     int
}

// NewWorker returns a worker that hasn't been started. groups are its deduplication groups by keyed request type.
func NewWorker(name string, model Model, functions []Function, store *Store, executions *ExecutionLog,
	groups map[string]*DedupGroup, seed uint64) *Worker {
	w := &Worker{
		name:       name,
		model:      model,
		functions:  map[string]Function{},
		store:      store,
		executions: executions,
		groups:     groups,
		random:     random.New(seed ^ random.Hash(name)),
	}
	for _, function := range functions {
		w.functions[function.Name] = function
	}
	return w
}

// Start starts a new incarnation without replicas at addr (empty: a free port of loopback), and returns its address and
// start time. The start time is uptime ago, and the worker's slow start has progressed accordingly.
func (w *Worker) Start(addr string, uptime time.Duration) (string, time.Time, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", time.Time{}, fmt.Errorf("start emulated worker %s: %w", w.name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.started = time.Now().Add(-uptime)
	w.replicas, w.recentWork = map[string]*replicaSet{}, nil
	w.memory, w.running, w.waiting = 0, 0, 0
	server := &workerrpc.Server{
		Handshake: workerrpc.Handshake{Name: w.name, Started: w.started, MaxAttempts: w.model.MaxAttempts},
		Handler:   &session{worker: w, incarnation: w.incarnation},
	}
	stopped := make(chan struct{})
	w.server, w.cancel, w.stopped = server, cancel, stopped
	silenced := w.silencer.Listener(listener)
	go func() {
		defer close(stopped)
		_ = server.Serve(ctx, silenced) // it ends with this incarnation, whatever the error
	}()
	return listener.Addr().String(), w.started, nil
}

// Stop ends the incarnation immediately; running and queued requests are lost.
func (w *Worker) Stop() {
	w.mu.Lock()
	if w.cancel == nil {
		w.mu.Unlock()
		return
	}
	w.incarnation++ // timers of this incarnation no longer send answers
	for _, set := range w.replicas {
		for _, job := range set.queue {
			job.finished = true
		}
	}
	cancel, stopped := w.cancel, w.stopped
	w.cancel = nil
	w.mu.Unlock()
	w.SetUnresponsive(false)
	cancel()
	<-stopped
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.name }

// Crashes returns the number of crashes by overload while warming up.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// InjectFault changes the faults of the worker from now on.
func (w *Worker) InjectFault(change func(*faultinject.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// SetUnresponsive sets whether the worker neither reads from nor writes to its connections, which stay open.
func (w *Worker) SetUnresponsive(unresponsive bool) { w.silencer.Set(unresponsive) }

// Reset closes the worker's connections; the worker keeps running.
func (w *Worker) Reset() { w.currentServer().CloseConnections() }

// Drain notifies the gateways on all connections that the worker is draining.
func (w *Worker) Drain() { w.currentServer().NotifyDraining("draining") }

func (w *Worker) currentServer() *workerrpc.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server
}

// Redeploy unloads the idle replicas of a function, as after a new release. Busy replicas stay loaded. If no replica is
// left, the next request must wait for a load, which starts at once if requests are queued.
func (w *Worker) Redeploy(function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set := w.replicas[function]
	if set == nil {
		return
	}
	idle := set.replicas - (set.busy+set.function.Concurrency-1)/set.function.Concurrency
	w.unload(set, idle)
	if set.replicas == 0 && set.loading == 0 && len(set.queue) > 0 {
		w.startLoad(set, nil)
	}
}

// loadReport returns the load report of the worker, with a false queue depth if that fault is set; w.mu must be held.
func (w *Worker) loadReport() *workerrpc.LoadReport {
	queueDepth := float64(w.waiting)
	if w.faults.ReportFactor > 0 {
		queueDepth *= w.faults.ReportFactor
	}
	return &workerrpc.LoadReport{
		QueueDepth:     int(queueDepth),
		Running:        w.running,
		MemoryBytes:    w.memory,
		CPUUtilization: min(1, float64(w.running)/w.model.Cores),
	}
}
