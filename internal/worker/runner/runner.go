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
	EnvRuntime       = "LUPINPOND_RUNTIME" // base address of the runtime interface for this copy
	HeaderInvocation = "Lupin-Invocation"  // id of an event for the response
	HeaderLeft       = "Lupin-Left-Ms"     // what is left of its time
	HeaderCompiled   = "Lupin-Compiled-Us" // of a question: how long the copy compiled its code
)

// Options of a Host.
type Options struct {
	Self     string        // program that runs wasm packages: this one
	Cache    string        // folder for compiled wasm; a fresh worker has an empty one
	Ready    time.Duration // a copy that has not asked for its first event by then has failed
	Grace    time.Duration // between asking a child to end and ending it
	Answer   int64         // most bytes of a response
	Overhead int64         // of a wasm copy beside its own memory
	Log      *slog.Logger
	Effects  io.Writer // gets what copies write as their log, a line at a time; nil: nowhere
}

// Host serves the runtime interface to its copies.
type Host struct {
	o        Options
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	copies   map[string]*Copy // by token
}

// Errors of calls. Each may have run, but for ErrNotBegun.
var (
	ErrFailed   = errors.New("the function failed")
	ErrGone     = errors.New("the copy ended while the event ran")
	ErrTime     = errors.New("the event ran longer than its package may")
	ErrMemory   = errors.New("the copy held more memory than its package may")
	ErrAnswer   = errors.New("the response is longer than a response may be")
	ErrNotBegun = errors.New("the copy had not taken the event")
)

// Result is how a call ended.
type Result struct {
	Body []byte
	Took time.Duration
	Err  error
}

// Copy is one loaded copy.
type Copy struct {
	host   *Host
	pkg    manifest.Package
	token  string
	cmd    *exec.Cmd
	ready  chan struct{}
	once   sync.Once
	next   chan *call
	dead   chan struct{}
	mu     sync.Mutex
	calls  map[string]*call
	why    error // it was ended for
	ending bool  // it takes no event any more
	number int

	compiled time.Duration // told by the child before it is ready
}

type call struct {
	id    string
	body  []byte
	until time.Time
	taken time.Time
	timer *time.Timer
	done  chan Result // holds one
	over  bool
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
	h := &Host{o: o, listener: listener, copies: map[string]*Copy{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{token}/next", h.with(h.nextEvent))
	mux.HandleFunc("POST /v1/{token}/invocations/{id}/response", h.with(h.response))
	mux.HandleFunc("POST /v1/{token}/invocations/{id}/error", h.with(h.failure))
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
	var all []*Copy
	for _, c := range h.copies {
		all = append(all, c)
	}
	h.mu.Unlock()
	for _, c := range all {
		c.End(nil)
	}
	for _, c := range all {
		<-c.dead
	}
	return h.server.Close()
}

func (h *Host) with(f func(http.ResponseWriter, *http.Request, *Copy)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		c := h.copies[r.PathValue("token")]
		h.mu.Unlock()
		if c == nil {
			http.Error(w, "this copy is not known", http.StatusGone)
			return
		}
		f(w, r, c)
	}
}

func (h *Host) nextEvent(w http.ResponseWriter, r *http.Request, c *Copy) {
	c.once.Do(func() {
		if us, err := strconv.ParseInt(r.Header.Get(HeaderCompiled), 10, 64); err == nil && us > 0 {
			c.compiled = time.Duration(min(us, int64(h.o.Ready/time.Microsecond))) * time.Microsecond
		}
		close(c.ready)
	})
	select {
	case <-r.Context().Done():
	case <-c.dead:
		http.Error(w, "this copy ends", http.StatusGone)
	case x := <-c.next:
		if !c.take(x) {
			c.finish(x.id, Result{Err: ErrNotBegun})
			http.Error(w, "the event is over", http.StatusConflict) // the child asks again
			return
		}
		w.Header().Set(HeaderInvocation, x.id)
		w.Header().Set(HeaderLeft, strconv.FormatInt(max(1, time.Until(x.until).Milliseconds()), 10))
		_, _ = w.Write(x.body) // a child that is gone is seen by its end
	}
}

func (h *Host) response(w http.ResponseWriter, r *http.Request, c *Copy) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.o.Answer))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		c.finish(r.PathValue("id"), Result{Err: ErrAnswer})
		c.End(ErrAnswer) // what goes on writing does not stop by being asked
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

func (h *Host) failure(w http.ResponseWriter, r *http.Request, c *Copy) {
	reason, err := io.ReadAll(io.LimitReader(r.Body, 4096))
	if err != nil {
		return
	}
	if !c.finish(r.PathValue("id"), Result{Err: fmt.Errorf("%w: %s", ErrFailed, reason)}) {
		http.Error(w, "this event is over", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Start begins a copy and returns once it asks for its first event. ctx bounds the start only.
func (h *Host) Start(ctx context.Context, p manifest.Package) (*Copy, error) {
	c := &Copy{host: h, pkg: p, token: rand.Text(), ready: make(chan struct{}), next: make(chan *call), dead: make(chan struct{}),
		calls: map[string]*call{}}
	entry := filepath.Join(p.Folder, p.Entry)
	switch p.Kind {
	case manifest.Wasm:
		c.cmd = exec.Command(h.o.Self, "wasm-copy", "--lanes", strconv.Itoa(p.Lanes), "--memory",
			strconv.FormatInt(int64(p.Memory), 10), "--cache", h.o.Cache, entry)
	default:
		c.cmd = exec.Command(entry)
	}
	c.cmd.Dir = p.Folder
	c.cmd.Env = []string{fmt.Sprintf("%s=http://%s/v1/%s", EnvRuntime, h.listener.Addr(), c.token), "PATH=/usr/bin:/bin",
		"GOMAXPROCS=" + strconv.Itoa(p.Lanes+1)} // a lane that spins leaves the others theirs
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if h.o.Effects != nil { // the child itself writes there: no line is lost with the worker
		c.cmd.Stdout, c.cmd.Stderr = h.o.Effects, h.o.Effects
	}
	c.cmd.WaitDelay = time.Second // a grandchild that holds its output open
	h.mu.Lock()
	h.copies[c.token] = c
	h.mu.Unlock()
	started := make(chan error, 1)
	go func() { // its parent is a thread: the death signal comes when that one ends, so it stays
		c.run(started)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", p.Name, err)
	}
	timer := time.NewTimer(h.o.Ready)
	defer timer.Stop()
	var err error
	select {
	case <-c.ready:
		return c, nil
	case <-c.dead:
		err = ErrGone
	case <-timer.C:
		err = fmt.Errorf("not ready after %v", h.o.Ready)
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.End(err)
	<-c.dead
	return nil, fmt.Errorf("start %s: %w", p.Name, err)
}

// End has the copy end: asked first, ended after the grace. why is what its calls are told; nil: the copy is gone.
func (c *Copy) End(why error) {
	c.mu.Lock()
	if c.why == nil {
		c.why = why
	}
	c.ending = true
	c.mu.Unlock()
	if c.cmd.Process == nil {
		return
	}
	if why != nil { // it has misbehaved: it is not asked
		c.kill()
		return
	}
	_ = syscall.Kill(-c.cmd.Process.Pid, syscall.SIGTERM) // it may be gone
	time.AfterFunc(c.host.o.Grace, func() {
		select {
		case <-c.dead:
		default:
			c.kill()
		}
	})
}

func (c *Copy) kill() { _ = syscall.Kill(-c.cmd.Process.Pid, syscall.SIGKILL) } // it may be gone

// Dead is closed when the copy has ended, however.
func (c *Copy) Dead() <-chan struct{} { return c.dead }

// Memory is what the operating system says that the copy holds: its part of shared pages included.
func (c *Copy) Memory() (int64, error) { return Memory(c.cmd.Process.Pid) }

// Compiled is how long the copy says that it compiled its code; it is known once Start has returned.
func (c *Copy) Compiled() time.Duration { return c.compiled }

// Folder is where its content stands.
func (c *Copy) Folder() string { return c.pkg.Folder }

// Limit is the memory that the copy may hold.
func (c *Copy) Limit() int64 {
	if c.pkg.Kind == manifest.Wasm {
		return int64(c.pkg.Memory) + c.host.o.Overhead
	}
	return int64(c.pkg.Memory)
}

// Memory is what the operating system says that a process holds.
func Memory(pid int) (int64, error) {
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
func (c *Copy) Call(body []byte, within time.Duration, done func(Result)) {
	within = min(within, c.pkg.Time.Std())
	c.mu.Lock()
	c.number++
	x := &call{id: strconv.Itoa(c.number), body: body, until: time.Now().Add(within), done: make(chan Result, 1)}
	c.calls[x.id] = x
	x.timer = time.AfterFunc(within, func() { c.late(x) })
	c.mu.Unlock()
	go func() {
		select {
		case c.next <- x:
		case <-c.dead:
			c.finish(x.id, Result{Err: ErrNotBegun})
		case r := <-x.done: // late before it was taken
			done(r)
			return
		}
		done(<-x.done)
	}()
}

// take marks a call as handed to the child.
func (c *Copy) take(x *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.over || c.ending {
		return false
	}
	x.taken = time.Now()
	return true
}

// late ends a call that ran too long, and the copy with it: a lane that does not come back can't be had otherwise.
func (c *Copy) late(x *call) {
	c.mu.Lock()
	taken := !x.taken.IsZero()
	over := x.over
	c.mu.Unlock()
	switch {
	case over:
	case taken:
		c.finish(x.id, Result{Err: ErrTime})
		c.End(ErrTime)
	default:
		c.finish(x.id, Result{Err: ErrNotBegun})
	}
}

// finish gives a call its result; false if it had one.
func (c *Copy) finish(id string, r Result) bool {
	c.mu.Lock()
	x := c.calls[id]
	if x == nil || x.over {
		c.mu.Unlock()
		return false
	}
	x.over = true
	delete(c.calls, id)
	x.timer.Stop()
	if !x.taken.IsZero() {
		r.Took = time.Since(x.taken)
	}
	c.mu.Unlock()
	x.done <- r
	return true
}

// run waits for the child and ends what it left.
func (c *Copy) run(started chan<- error) {
	lockThread()
	if err := c.cmd.Start(); err != nil {
		c.forget()
		close(c.dead)
		started <- err
		return
	}
	started <- nil
	err := c.cmd.Wait()
	c.kill() // what it may have started
	c.forget()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) && !errors.Is(err, exec.ErrWaitDelay) && !errors.Is(err, os.ErrProcessDone) {
		c.host.o.Log.Warn("copy", "package", c.pkg.Name, "err", err)
	}
	close(c.dead)
	c.mu.Lock()
	why := c.why
	if why == nil {
		why = ErrGone
	}
	var left []*call
	for _, x := range c.calls {
		left = append(left, x)
	}
	c.mu.Unlock()
	for _, x := range left {
		if x.taken.IsZero() {
			c.finish(x.id, Result{Err: ErrNotBegun})
		} else {
			c.finish(x.id, Result{Err: why})
		}
	}
}

func (c *Copy) forget() {
	c.host.mu.Lock()
	delete(c.host.copies, c.token)
	c.host.mu.Unlock()
}
