// Package runner runs copies of packages as child processes that speak the runtime interface over loopback: a child
// asks for the next event and posts its response or its error (docs/runtime.md). A wasm package is run by a child of
// this program's own, so that each copy's memory is what the operating system says of a process, and its end is certain.
package runner

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"lupinpond/internal/artifact/manifest"
)

// Environment that a child finds, and headers of the runtime interface.
const (
	EnvRuntime        = "LUPINPOND_RUNTIME" // base address of the runtime interface for this copy
	HeaderInvocation  = "Lupin-Invocation"  // id of an event for the response
	HeaderTimeLeft    = "Lupin-Left-Ms"     // what is left of its time
	HeaderCompileTime = "Lupin-Compiled-Us" // of a question: how long the copy compiled its code
)

// Options of a Host.
type Options struct {
	Executable       string        // program that runs wasm packages: this one
	CompilationCache string        // folder for compiled wasm; a fresh worker has an empty one
	StartTimeout     time.Duration // a copy that has not asked for its first event by then has failed
	GracePeriod      time.Duration // between asking a child to end and ending it
	MaxResponseBytes int64         // most bytes of a response
	WasmOverhead     int64         // of a wasm copy beside its own memory
	Log              *slog.Logger
	ReplicaLog       io.Writer // gets what copies write as their log, a line at a time; nil: nowhere
}

// Host serves the runtime interface to its copies.
type Host struct {
	options  Options
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	replicas map[string]*Replica // by token
}

// Errors of calls. Each may have run, but for ErrNotBegun.
var (
	ErrFunctionFailed   = errors.New("the function failed")
	ErrReplicaExited    = errors.New("the copy ended while the event ran")
	ErrTimeLimit        = errors.New("the event ran longer than its package may")
	ErrMemoryLimit      = errors.New("the copy held more memory than its package may")
	ErrResponseTooLarge = errors.New("the response is longer than a response may be")
	ErrNotStarted       = errors.New("the copy had not taken the event")
)

// Result is how a call ended.
type Result struct {
	Body     []byte
	Duration time.Duration
	Err      error
}

// Replica is one loaded copy.
type Replica struct {
	host       *Host
	pkg        manifest.Package
	token      string
	cmd        *exec.Cmd
	ready      chan struct{}
	readyOnce  sync.Once
	pending    chan *call
	exited     chan struct{}
	mu         sync.Mutex
	calls      map[string]*call
	stopCause  error // it was ended for
	stopping   bool  // it takes no event any more
	lastCallID int

	compileTime time.Duration // told by the child before it is ready
}

type call struct {
	id        string
	body      []byte
	deadline  time.Time
	startedAt time.Time
	timer     *time.Timer
	done      chan Result // holds one
	finished  bool
}

// NewHost serves the runtime interface on a loopback port.
func NewHost(o Options) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("runtime interface: %w", err)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	h := &Host{options: o, listener: listener, replicas: map[string]*Replica{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{token}/next", h.withReplica(h.handleNext))
	mux.HandleFunc("POST /v1/{token}/invocations/{id}/response", h.withReplica(h.handleResponse))
	mux.HandleFunc("POST /v1/{token}/invocations/{id}/error", h.withReplica(h.handleError))
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug)}
	go func() { _ = h.server.Serve(listener) }() // ends with Close
	return h, nil
}

// ServeHTTP is the runtime interface.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.server.Handler.ServeHTTP(w, r) }

// Close ends all copies and the interface.
func (h *Host) Close() error {
	h.mu.Lock()
	var all []*Replica
	for _, c := range h.replicas {
		all = append(all, c)
	}
	h.mu.Unlock()
	for _, c := range all {
		c.Stop(nil)
	}
	for _, c := range all {
		<-c.exited
	}
	return h.server.Close()
}

func (h *Host) withReplica(f func(http.ResponseWriter, *http.Request, *Replica)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		c := h.replicas[r.PathValue("token")]
		h.mu.Unlock()
		if c == nil {
			http.Error(w, "this copy is not known", http.StatusGone)
			return
		}
		f(w, r, c)
	}
}

func (h *Host) handleNext(w http.ResponseWriter, r *http.Request, c *Replica) {
	c.readyOnce.Do(func() {
		if us, err := strconv.ParseInt(r.Header.Get(HeaderCompileTime), 10, 64); err == nil && us > 0 {
			c.compileTime = time.Duration(min(us, int64(h.options.StartTimeout/time.Microsecond))) * time.Microsecond
		}
		close(c.ready)
	})
	select {
	case <-r.Context().Done():
	case <-c.exited:
		http.Error(w, "this copy ends", http.StatusGone)
	case x := <-c.pending:
		if !c.markStarted(x) {
			c.finish(x.id, Result{Err: ErrNotStarted})
			http.Error(w, "the event is over", http.StatusConflict) // the child asks again
			return
		}
		w.Header().Set(HeaderInvocation, x.id)
		w.Header().Set(HeaderTimeLeft, strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10))
		_, _ = w.Write(x.body) // a child that is gone is seen by its end
	}
}

func (h *Host) handleResponse(w http.ResponseWriter, r *http.Request, c *Replica) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.options.MaxResponseBytes))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		c.finish(r.PathValue("id"), Result{Err: ErrResponseTooLarge})
		c.Stop(ErrResponseTooLarge) // what goes on writing does not stop by being asked
		return
	case err != nil:
		return
	}
	if !c.finish(r.PathValue("id"), Result{Body: body}) {
		http.Error(w, "this event is over", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Host) handleError(w http.ResponseWriter, r *http.Request, c *Replica) {
	reason, err := io.ReadAll(io.LimitReader(r.Body, 4096))
	if err != nil {
		return
	}
	if !c.finish(r.PathValue("id"), Result{Err: fmt.Errorf("%w: %s", ErrFunctionFailed, reason)}) {
		http.Error(w, "this event is over", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Start begins a copy and returns once it asks for its first event. ctx bounds the start only.
func (h *Host) Start(ctx context.Context, p manifest.Package) (*Replica, error) {
	c := &Replica{host: h, pkg: p, token: rand.Text(), ready: make(chan struct{}), pending: make(chan *call), exited: make(chan struct{}),
		calls: map[string]*call{}}
	entry := filepath.Join(p.Folder, p.EntryPoint)
	switch p.Kind {
	case manifest.Wasm:
		c.cmd = exec.Command(h.options.Executable, "wasm-copy", "--lanes", strconv.Itoa(p.Concurrency), "--memory",
			strconv.FormatInt(int64(p.MemoryLimit), 10), "--cache", h.options.CompilationCache, entry)
	default:
		c.cmd = exec.Command(entry)
	}
	c.cmd.Dir = p.Folder
	c.cmd.Env = []string{fmt.Sprintf("%s=http://%s/v1/%s", EnvRuntime, h.listener.Addr(), c.token), "PATH=/usr/bin:/bin",
		"GOMAXPROCS=" + strconv.Itoa(p.Concurrency+1)} // a lane that spins leaves the others theirs
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if h.options.ReplicaLog != nil { // the child itself writes there: no line is lost with the worker
		c.cmd.Stdout, c.cmd.Stderr = h.options.ReplicaLog, h.options.ReplicaLog
	}
	c.cmd.WaitDelay = time.Second // a grandchild that holds its output open
	h.mu.Lock()
	h.replicas[c.token] = c
	h.mu.Unlock()
	started := make(chan error, 1)
	go func() { // its parent is a thread: the death signal comes when that one ends, so it stays
		c.run(started)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", p.Name, err)
	}
	timer := time.NewTimer(h.options.StartTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-c.ready:
		return c, nil
	case <-c.exited:
		err = ErrReplicaExited
	case <-timer.C:
		err = fmt.Errorf("not ready after %v", h.options.StartTimeout)
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.Stop(err)
	<-c.exited
	return nil, fmt.Errorf("start %s: %w", p.Name, err)
}

// Stop has the copy end: asked first, ended after the grace. why is what its calls are told; nil: the copy is gone.
func (c *Replica) Stop(why error) {
	c.mu.Lock()
	if c.stopCause == nil {
		c.stopCause = why
	}
	c.stopping = true
	c.mu.Unlock()
	if c.cmd.Process == nil {
		return
	}
	if why != nil { // it has misbehaved: it is not asked
		c.terminate()
		return
	}
	_ = syscall.Kill(-c.cmd.Process.Pid, syscall.SIGTERM) // it may be gone
	time.AfterFunc(c.host.options.GracePeriod, func() {
		select {
		case <-c.exited:
		default:
			c.terminate()
		}
	})
}

func (c *Replica) terminate() { _ = syscall.Kill(-c.cmd.Process.Pid, syscall.SIGKILL) } // it may be gone

// Done is closed when the copy has ended, however.
func (c *Replica) Done() <-chan struct{} { return c.exited }

// Memory is what the operating system says that the copy holds: its part of shared pages included.
func (c *Replica) Memory() (int64, error) { return ProcessMemory(c.cmd.Process.Pid) }

// CompileTime is how long the copy says that it compiled its code; it is known once Start has returned.
func (c *Replica) CompileTime() time.Duration { return c.compileTime }

// Folder is where its content stands.
func (c *Replica) Folder() string { return c.pkg.Folder }

// MemoryLimit is the memory that the copy may hold.
func (c *Replica) MemoryLimit() int64 {
	if c.pkg.Kind == manifest.Wasm {
		return int64(c.pkg.MemoryLimit) + c.host.options.WasmOverhead
	}
	return int64(c.pkg.MemoryLimit)
}

// ProcessMemory is what the operating system says that a process holds.
func ProcessMemory(pid int) (int64, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	m, err := p.ProcSMapsRollup()
	if err != nil {
		return 0, err
	}
	return int64(m.Pss), nil
}

// Call runs an event on the copy and hands out its result, once. within is what is left of its time.
func (c *Replica) Call(body []byte, within time.Duration, done func(Result)) {
	within = min(within, c.pkg.Timeout.Std())
	c.mu.Lock()
	c.lastCallID++
	x := &call{id: strconv.Itoa(c.lastCallID), body: body, deadline: time.Now().Add(within), done: make(chan Result, 1)}
	c.calls[x.id] = x
	x.timer = time.AfterFunc(within, func() { c.expire(x) })
	c.mu.Unlock()
	go func() {
		select {
		case c.pending <- x:
		case <-c.exited:
			c.finish(x.id, Result{Err: ErrNotStarted})
		case r := <-x.done: // late before it was taken
			done(r)
			return
		}
		done(<-x.done)
	}()
}

// markStarted marks a call as handed to the child.
func (c *Replica) markStarted(x *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.finished || c.stopping {
		return false
	}
	x.startedAt = time.Now()
	return true
}

// expire ends a call that ran too long, and the copy with it: a lane that does not come back can't be had otherwise.
func (c *Replica) expire(x *call) {
	c.mu.Lock()
	taken := !x.startedAt.IsZero()
	over := x.finished
	c.mu.Unlock()
	switch {
	case over:
	case taken:
		c.finish(x.id, Result{Err: ErrTimeLimit})
		c.Stop(ErrTimeLimit)
	default:
		c.finish(x.id, Result{Err: ErrNotStarted})
	}
}

// finish gives a call its result; false if it had one.
func (c *Replica) finish(id string, r Result) bool {
	c.mu.Lock()
	x := c.calls[id]
	if x == nil || x.finished {
		c.mu.Unlock()
		return false
	}
	x.finished = true
	delete(c.calls, id)
	x.timer.Stop()
	if !x.startedAt.IsZero() {
		r.Duration = time.Since(x.startedAt)
	}
	c.mu.Unlock()
	x.done <- r
	return true
}

// run waits for the child and ends what it left.
func (c *Replica) run(started chan<- error) {
	lockThread()
	if err := c.cmd.Start(); err != nil {
		c.unregister()
		close(c.exited)
		started <- err
		return
	}
	started <- nil
	err := c.cmd.Wait()
	c.terminate() // what it may have started
	c.unregister()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) && !errors.Is(err, exec.ErrWaitDelay) && !errors.Is(err, os.ErrProcessDone) {
		c.host.options.Log.Warn("copy", "package", c.pkg.Name, "err", err)
	}
	close(c.exited)
	c.mu.Lock()
	why := c.stopCause
	if why == nil {
		why = ErrReplicaExited
	}
	var left []*call
	for _, x := range c.calls {
		left = append(left, x)
	}
	c.mu.Unlock()
	for _, x := range left {
		if x.startedAt.IsZero() {
			c.finish(x.id, Result{Err: ErrNotStarted})
		} else {
			c.finish(x.id, Result{Err: why})
		}
	}
}

func (c *Replica) unregister() {
	c.host.mu.Lock()
	delete(c.host.replicas, c.token)
	c.host.mu.Unlock()
}
