// Package runner runs replicas of packages as child processes. A child uses the runtime interface, which is served over
// HTTP on the loopback interface: it polls for the next request and posts the response or an error (docs/runtime.md). A
// wasm package is run by a child process of this program, so that the operating system accounts for the memory of each
// replica and any replica can be killed.
package runner

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"lupinpond/internal/artifact/manifest"
)

// Environment variable that is set for a child, and headers of the runtime interface.
const (
	EnvRuntime        = "LUPINPOND_RUNTIME" // base URL of the runtime interface for this replica
	HeaderInvocation  = "Lupin-Invocation"  // ID of a request, used in the URL of its response
	HeaderTimeLeft    = "Lupin-Left-Ms"     // remaining time of a request in milliseconds
	HeaderCompileTime = "Lupin-Compiled-Us" // sent with a poll: compile time of the replica's code in microseconds
)

const (
	// readHeaderTimeout is the timeout for reading the headers of a request to the runtime interface.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request to the runtime interface.
	maxHeaderBytes = 16 << 10
	// maxReasonBytes is the length to which the text of an error posted by a replica is truncated.
	maxReasonBytes = 4096
	// outputWaitDelay is the maximum time to wait for the output of a child that has exited. A process that the child
	// started may keep the output open.
	outputWaitDelay = time.Second
)

// Errors of calls. After any of them except ErrNotStarted, the request may have run.
var (
	ErrFunctionFailed   = errors.New("the function failed")
	ErrReplicaExited    = errors.New("the copy ended while the event ran")
	ErrTimeLimit        = errors.New("the event ran longer than its package may")
	ErrMemoryLimit      = errors.New("the copy held more memory than its package may")
	ErrResponseTooLarge = errors.New("the response is longer than a response may be")
	ErrNotStarted       = errors.New("the copy had not taken the event")
)

// EndsReplica reports whether the error of a call means that its replica has exited or is being killed.
func EndsReplica(err error) bool {
	return errors.Is(err, ErrReplicaExited) || errors.Is(err, ErrTimeLimit) || errors.Is(err, ErrMemoryLimit) ||
		errors.Is(err, ErrResponseTooLarge)
}

// Options configure a Host.
type Options struct {
	// Executable is the path of the program that runs wasm packages, which is this program.
	Executable string
	// CompilationCache is the folder for compiled wasm code.
	CompilationCache string
	// StartTimeout is the time within which a started replica must poll for its first request.
	StartTimeout time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL when a replica is stopped.
	GracePeriod time.Duration
	// MaxResponseBytes is the maximum size of a response.
	MaxResponseBytes int64
	// WasmOverhead is the memory in bytes that a wasm replica needs in addition to its module's memory.
	WasmOverhead int64
	// Log receives the host's own log; if nil, it is discarded.
	Log *slog.Logger
	// ReplicaLog receives the standard output and error of replicas; if nil, they are discarded.
	ReplicaLog io.Writer
}

// Host starts replicas and serves the runtime interface to them.
type Host struct {
	options   Options
	listener  net.Listener
	server    *http.Server
	serveDone chan struct{} // closed when Serve has returned

	mu       sync.Mutex
	replicas map[string]*Replica // by token
}

// NewHost returns a Host that serves the runtime interface on a loopback port.
func NewHost(options Options) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("runtime interface: %w", err)
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	h := &Host{options: options, listener: listener, serveDone: make(chan struct{}), replicas: map[string]*Replica{}}
	h.server = &http.Server{
		Handler:           h.newHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
	}
	go func() {
		defer close(h.serveDone)
		_ = h.server.Serve(listener) // returns when Close is called
	}()
	return h, nil
}

// Close stops all replicas and waits for their exit, then stops the server of the runtime interface.
func (h *Host) Close() error {
	h.mu.Lock()
	var replicas []*Replica
	for _, r := range h.replicas {
		replicas = append(replicas, r)
	}
	h.mu.Unlock()
	for _, r := range replicas {
		r.Stop(nil)
	}
	for _, r := range replicas {
		<-r.exited
	}
	err := h.server.Close()
	<-h.serveDone
	return err
}

// MemoryLimit returns the maximum memory in bytes that a replica of a package may use. For a wasm package this is the
// package's own limit plus wasmOverhead.
func MemoryLimit(release manifest.Manifest, wasmOverhead int64) int64 {
	limit := int64(release.MemoryLimit)
	if release.Kind == manifest.Wasm {
		limit += wasmOverhead
	}
	return limit
}
