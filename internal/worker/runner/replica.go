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

// Replica is a replica of a package: a child process and the calls on it.
type Replica struct {
	host    *Host
	pkg     manifest.Package
	token   string // identifies the replica in the URLs of the runtime interface
	cmd     *exec.Cmd
	pending chan *call    // unbuffered; passes calls to the handler of the child's polls
	exited  chan struct{} // closed when the child has exited

	readyOnce   sync.Once
	ready       chan struct{} // closed when the child polls for the first time
	compileTime time.Duration // compile time reported by the child; set before ready is closed

	mu         sync.Mutex
	calls      map[string]*call
	lastCallID int
	stopCause  error // error of the running calls when the replica exits; if nil, ErrReplicaExited
	stopping   bool  // whether Stop was called; no further calls are passed to the child
}

// Start starts a replica and returns once it polls for its first request. ctx applies only to the start: its end does
// not stop a replica that has started.
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

// command returns the command that runs the child of a replica. A wasm package is run by the subcommand wasm-copy of
// Options.Executable.
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
		"GOMAXPROCS=" + strconv.Itoa(pkg.Concurrency+1), // calls that spin do not block other calls or polling
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if h.options.ReplicaLog != nil { // the child writes to the file itself, so no line is lost if the worker crashes
		cmd.Stdout, cmd.Stderr = h.options.ReplicaLog, h.options.ReplicaLog
	}
	cmd.WaitDelay = outputWaitDelay
	return cmd
}

// awaitReady waits for the child's first poll, for at most Options.StartTimeout.
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

// run starts the child, waits for its exit and cleans up after it. The goroutine is locked to its thread because
// Pdeathsig is sent when the thread that started the child ends.
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
	r.kill() // kills processes that the child has left
	r.unregister()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) && !errors.Is(err, exec.ErrWaitDelay) && !errors.Is(err, os.ErrProcessDone) {
		r.host.options.Log.Warn("replica wait failed", "package", r.pkg.Name, "err", err)
	}
	close(r.exited)
	r.failCalls()
}

// unregister removes the replica from the runtime interface.
func (r *Replica) unregister() {
	r.host.mu.Lock()
	delete(r.host.replicas, r.token)
	r.host.mu.Unlock()
}

// Stop stops the replica. If cause is nil, the replica gets SIGTERM, and SIGKILL after the grace period; its running
// calls fail with ErrReplicaExited. If cause is not nil, because the replica has violated a limit or could not be
// started, it is killed immediately, and its running calls fail with cause.
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
		r.kill()
		return
	}
	_ = syscall.Kill(-r.cmd.Process.Pid, syscall.SIGTERM) // an error means that the replica has exited
	time.AfterFunc(r.host.options.GracePeriod, func() {
		select {
		case <-r.exited:
		default:
			r.kill()
		}
	})
}

// kill sends SIGKILL to the child's process group: the child and its children. An error means that they have exited.
func (r *Replica) kill() { _ = syscall.Kill(-r.cmd.Process.Pid, syscall.SIGKILL) }

// Done returns a channel that is closed when the replica has exited for any reason.
func (r *Replica) Done() <-chan struct{} { return r.exited }

// Memory returns the memory that the child process uses, including its share of shared pages.
func (r *Replica) Memory() (int64, error) { return ProcessMemory(r.cmd.Process.Pid) }

// MemoryLimit returns the maximum memory in bytes that the replica may use.
func (r *Replica) MemoryLimit() int64 {
	return MemoryLimit(r.pkg.Manifest, r.host.options.WasmOverhead)
}

// CompileTime returns the compile time of the replica's code as reported by the child.
func (r *Replica) CompileTime() time.Duration { return r.compileTime }

// Folder returns the folder in which the replica's package is installed.
func (r *Replica) Folder() string { return r.pkg.Folder }

// ProcessMemory returns the proportional set size of a process in bytes, as reported by the operating system.
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
