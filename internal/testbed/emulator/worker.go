// Package emulator has emulated workers: they speak the worker protocol, take the time that a model of a worker would
// take, and misbehave when told. They run nothing. What they claim to have run is kept in an execution log, so that a
// scenario can count effects at the workers, apart from what any gateway says.
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

// Worker is one emulated worker. Its methods may be called by any goroutine.
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
	incarnation int // counts starts: what belongs to an earlier one is void
	started     time.Time
	replicas    map[string]*replicaSet
	memory      int64
	running     int
	waiting     int
	server      *workerrpc.Server
	cancel      context.CancelFunc // of the incarnation; nil: stopped
	stopped     chan struct{}
	faults      faultinject.Faults
	recentWork  []workSample // that came lately, while warming up
	crashes     int
}

// NewWorker makes a worker that is not started; groups are those of keyed request types that it is in.
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

// Start begins an incarnation, without a replica, at addr ("": any port of loopback). The worker says that it started
// an uptime ago, and is as warm as that.
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
		_ = server.Serve(ctx, silenced) // its end is the end of this incarnation
	}()
	return listener.Addr().String(), w.started, nil
}

// Stop ends the incarnation at once; whatever ran is lost.
func (w *Worker) Stop() {
	w.mu.Lock()
	if w.cancel == nil {
		w.mu.Unlock()
		return
	}
	w.incarnation++ // no timer of this one answers any more
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

// Name is the worker's name.
func (w *Worker) Name() string { return w.name }

// Crashes is how often it crashed under too much load while warming up.
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

// SetUnresponsive has it neither read nor write, with its connections left open, or no more.
func (w *Worker) SetUnresponsive(unresponsive bool) { w.silencer.Set(unresponsive) }

// Reset breaks its connections; the worker goes on.
func (w *Worker) Reset() { w.currentServer().CloseConnections() }

// Drain says on its connections that nothing new is started there.
func (w *Worker) Drain() { w.currentServer().NotifyDraining("draining") }

func (w *Worker) currentServer() *workerrpc.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server
}

// Redeploy has every replica of a function out of date: what runs ends, the next request finds none loaded.
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
		w.load(set, nil)
	}
}

// loadReport is the worker's load as it tells it; the lock is held.
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
