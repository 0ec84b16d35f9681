package runner

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"lupinpond/internal/artifact/manifest"
)

// Replica is one loaded replica: a child process and the calls on it.
type Replica struct {
	host    *Host
	pkg     manifest.Package
	token   string // names the replica in the runtime interface
	cmd     *exec.Cmd
	pending chan *call    // calls that wait for the child to poll
	exited  chan struct{} // closed when the child has exited

	readyOnce   sync.Once
	ready       chan struct{} // closed when the child polls for the first time
	compileTime time.Duration // as the child says, before ready is closed

	mu         sync.Mutex
	calls      map[string]*call
	lastCallID int
	stopCause  error // what its calls fail with when it exits; nil: ErrReplicaExited
	stopping   bool  // it is handed no call any more
}

// Start starts a replica and returns once it polls for its first request. ctx bounds the start only.
func (h *Host) Start(ctx context.Context, pkg manifest.Package) (*Replica, error) {
	r := &Replica{
		host:    h,
		pkg:     pkg,
		token:   rand.Text(),
		pending: make(chan *call),
		exited:  make(chan struct{}),
		ready:   make(chan struct{}),
		calls:   map[string]*call{},
	}
	r.cmd = h.command(pkg, r.token)
	h.mu.Lock()
	h.replicas[r.token] = r
	h.mu.Unlock()
	started := make(chan error, 1)
	go r.run(started)
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", pkg.Name, err)
	}
	if err := r.awaitReady(ctx); err != nil {
		r.Stop(err)
		<-r.exited
		return nil, fmt.Errorf("start %s: %w", pkg.Name, err)
	}
	return r, nil
}

// command is the child of a replica.
func (h *Host) command(pkg manifest.Package, token string) *exec.Cmd {
	entryPoint := filepath.Join(pkg.Folder, pkg.EntryPoint)
	var cmd *exec.Cmd
	switch pkg.Kind {
	case manifest.Wasm:
		cmd = exec.Command(h.options.Executable, "wasm-copy",
			"--lanes", strconv.Itoa(pkg.Concurrency),
			"--memory", strconv.FormatInt(int64(pkg.MemoryLimit), 10),
			"--cache", h.options.CompilationCache,
			entryPoint)
	default:
		cmd = exec.Command(entryPoint)
	}
	cmd.Dir = pkg.Folder
	cmd.Env = []string{
		fmt.Sprintf("%s=http://%s/v1/%s", EnvRuntime, h.listener.Addr(), token),
		"PATH=/usr/bin:/bin",
		"GOMAXPROCS=" + strconv.Itoa(pkg.Concurrency+1), // a call that spins leaves the others theirs
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if h.options.ReplicaLog != nil { // the child itself writes there: no line is lost with the worker
		cmd.Stdout, cmd.Stderr = h.options.ReplicaLog, h.options.ReplicaLog
	}
	cmd.WaitDelay = outputWaitDelay
	return cmd
}

// awaitReady waits for the child's first poll.
func (r *Replica) awaitReady(ctx context.Context) error {
	timer := time.NewTimer(r.host.options.StartTimeout)
	defer timer.Stop()
	select {
	case <-r.ready:
		return nil
	case <-r.exited:
		return ErrReplicaExited
	case <-timer.C:
		return fmt.Errorf("not ready after %v", r.host.options.StartTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run starts the child, waits for its exit and ends what it left. The death signal of a child comes when the thread
// that started it ends, so this goroutine keeps its thread.
func (r *Replica) run(started chan<- error) {
	runtime.LockOSThread()
	if err := r.cmd.Start(); err != nil {
		r.unregister()
		close(r.exited)
		started <- err
		return
	}
	started <- nil
	err := r.cmd.Wait()
	r.forceStop() // children of the child
	r.unregister()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) && !errors.Is(err, exec.ErrWaitDelay) && !errors.Is(err, os.ErrProcessDone) {
		r.host.options.Log.Warn("replica wait failed", "package", r.pkg.Name, "err", err)
	}
	close(r.exited)
	r.failCalls()
}

// unregister takes the replica from the runtime interface.
func (r *Replica) unregister() {
	r.host.mu.Lock()
	delete(r.host.replicas, r.token)
	r.host.mu.Unlock()
}

// Stop has the replica exit: by SIGTERM first, by SIGKILL after the grace period. A cause is what its calls fail
// with, and means that it has misbehaved and is not asked; nil: it is to exit in order, and its calls fail with
// ErrReplicaExited.
func (r *Replica) Stop(cause error) {
	r.mu.Lock()
	if r.stopCause == nil {
		r.stopCause = cause
	}
	r.stopping = true
	r.mu.Unlock()
	if r.cmd.Process == nil {
		return
	}
	if cause != nil {
		r.forceStop()
		return
	}
	_ = syscall.Kill(-r.cmd.Process.Pid, syscall.SIGTERM) // it may have exited
	time.AfterFunc(r.host.options.GracePeriod, func() {
		select {
		case <-r.exited:
		default:
			r.forceStop()
		}
	})
}

// forceStop kills the child and its children.
func (r *Replica) forceStop() { _ = syscall.Kill(-r.cmd.Process.Pid, syscall.SIGKILL) } // they may have exited

// Done is closed when the replica has exited, for whatever reason.
func (r *Replica) Done() <-chan struct{} { return r.exited }

// Memory is what the operating system says that the replica holds: its part of shared pages included.
func (r *Replica) Memory() (int64, error) { return ProcessMemory(r.cmd.Process.Pid) }

// MemoryLimit is the memory that the replica may hold.
func (r *Replica) MemoryLimit() int64 {
	return MemoryLimit(r.pkg.Manifest, r.host.options.WasmOverhead)
}

// CompileTime is how long the replica says that it compiled its code.
func (r *Replica) CompileTime() time.Duration { return r.compileTime }

// Folder is where the replica's package is installed.
func (r *Replica) Folder() string { return r.pkg.Folder }

// ProcessMemory is what the operating system says that a process holds.
func ProcessMemory(pid int) (int64, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	memory, err := process.ProcSMapsRollup()
	if err != nil {
		return 0, err
	}
	return int64(memory.Pss), nil
}
