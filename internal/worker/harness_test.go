package worker_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/runner"
	"lupinpond/internal/workerrpc"
)

// Functions that the tests call, and an input of modelFunction.
const (
	faultyFunction = "misbehave-process" // its input selects a fault, such as exit, spin or allocate
	modelFunction  = "preview-process"
	modelInput     = `{"features":[1,2,3]}`
)

// Environment variables of a worker process that kills itself at a fail point.
const (
	envFailPoint  = "LP_TEST_KILL"
	envFolder     = "LP_TEST_FOLDER"
	envStore      = "LP_TEST_STORE"
	envReplicaLog = "LP_TEST_EFFECTS"
)

var (
	packagesDir string // folder of the packages of both kinds, which are built once
	storeURL    string // address of the artifact store that serves these packages
)

// TestMain runs the tests. The test binary also serves as the program of wasm replicas and of workers that kill
// themselves.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "wasm-copy" {
		runWasmReplica(os.Args[2:])
	}
	if point := os.Getenv(envFailPoint); point != "" {
		runUntilFailPoint(point)
	}
	folder, err := os.MkdirTemp("", "packages")
	if err == nil {
		packagesDir, err = folder, buildPackages(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	store, err := localfleet.OpenStore(filepath.Join(folder, ".store"), localfleet.AmpleCapacity)
	if err == nil {
		err = store.PublishAll(context.Background(), folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	storeURL = store.Client.BaseURL
	code := m.Run()
	store.Close()
	os.RemoveAll(folder)
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// runWasmReplica runs a wasm replica. Its arguments are --lanes N --memory BYTES --cache FOLDER FILE.
func runWasmReplica(args []string) {
	concurrency, _ := strconv.Atoi(args[1])
	memory, _ := strconv.ParseInt(args[3], 10, 64)
	err := runner.RunWasm(context.Background(), runner.WasmOptions{
		File:             args[6],
		Concurrency:      concurrency,
		MemoryBytes:      memory,
		CompilationCache: args[5],
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// buildPackages builds each example package twice: as a process and as wasm.
func buildPackages(folder string) error {
	for _, name := range []string{"misbehave", "preview"} {
		for _, kind := range []string{manifest.Process, manifest.Wasm} {
			function := name + "-" + kind
			pkg := filepath.Join(folder, function, "1")
			if err := localfleet.Build(filepath.Join(pkg, "entry"), "lupinpond/examples/"+name, kind); err != nil {
				return err
			}
			_, err := manifest.Write(pkg, manifest.Manifest{
				Name:        function,
				Version:     "1",
				Type:        "t",
				Kind:        kind,
				Concurrency: 2,
				MemoryLimit: 96 << 20,
				Timeout:     config.Duration(2 * time.Second),
				EntryPoint:  "entry",
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// newOptions returns the options of a worker that uses folder and the artifact store at url. done closes the resources
// with which the worker fetches packages.
func newOptions(folder, url string) (options worker.Options, done func()) {
	executable, err := os.Executable()
	if err != nil {
		panic(err)
	}
	source, err := localfleet.NewChunkServer("w", folder, url, 2*time.Second, nil, nil)
	if err != nil {
		panic(err)
	}
	return worker.Options{
		Name:                 "w",
		Folder:               folder,
		Artifacts:            source.Distributor,
		Executable:           executable,
		MaxInFlight:          100,
		WasmOverhead:         512 << 20,
		MaxResponseBytes:     1 << 20,
		StartTimeout:         60 * time.Second,
		GracePeriod:          time.Second,
		MemorySampleInterval: 20 * time.Millisecond,
		Limits: admission.Limits{
			MemoryBytes: 8 << 30,
			MaxRunning:  8,
			MaxWaiting:  100,
			MaxLoads:    4,
			IdleTimeout: time.Minute,
			LoadOnMiss:  true,
		},
	}, source.Close
}

// harness is a worker with one gateway connected to it.
type harness struct {
	*worker.Worker
	t          *testing.T
	gateway    *workerrpc.Client
	replicaLog string
	addr       string
}

// startWorker starts a worker in a temporary folder, with the packages in the store at storeURL.
func startWorker(t *testing.T, change func(*worker.Options)) *harness {
	t.Helper()
	return startWorkerIn(t, t.TempDir(), storeURL, change)
}

// startWorkerIn starts a worker in the given folder, with the packages in the store at url.
func startWorkerIn(t *testing.T, folder, url string, change func(*worker.Options)) *harness {
	t.Helper()
	options, done := newOptions(folder, url)
	t.Cleanup(done)
	h := &harness{t: t, replicaLog: filepath.Join(t.TempDir(), "effects")}
	var err error
	if options.ReplicaLog, err = os.OpenFile(h.replicaLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&options)
	}
	if h.Worker, err = worker.New(options); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h.addr = listener.Addr().String()
	h.gateway = newGateway("front", h.addr)
	ended := make(chan error, 2)
	go func() { ended <- h.Run(ctx, listener) }()
	go func() { ended <- h.gateway.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := errors.Join(<-ended, <-ended, options.ReplicaLog.Close()); err != nil {
			t.Error(err)
		}
	})
	return h
}

// newGateway returns a gateway's client of a worker. The caller runs it.
func newGateway(name, addr string) *workerrpc.Client {
	limits := workerrpc.Limits{
		DialTimeout:    10 * time.Second,
		QueueTimeout:   30 * time.Second,
		WriteTimeout:   10 * time.Second,
		MaxQueuedCalls: 1000,
		MaxQueuedBytes: 1 << 24,
	}
	return workerrpc.NewClient(name, "w", addr, limits, func(ctx context.Context, addr string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", addr)
	})
}

// send sends an attempt and returns a channel that receives its outcome.
func (h *harness) send(attempt workerrpc.Attempt) <-chan workerrpc.Outcome {
	got := make(chan workerrpc.Outcome, 1)
	h.gateway.Send(attempt, 60*time.Second, func(outcome workerrpc.Outcome) { got <- outcome })
	return got
}

// request sends a request without an idempotency key and waits for its outcome.
func (h *harness) request(function, body string) workerrpc.Outcome {
	return <-h.send(workerrpc.Attempt{RequestID: body, Function: function, Body: []byte(body)})
}

// keyedRequest sends a request with an idempotency key and waits for its result.
func (h *harness) keyedRequest(tenant, body, key string, window time.Duration) *workerrpc.AttemptResult {
	h.t.Helper()
	outcome := <-h.send(workerrpc.Attempt{
		RequestID:      body,
		Function:       faultyFunction,
		Type:           "t",
		Tenant:         tenant,
		IdempotencyKey: key,
		DedupWindow:    window,
		Body:           []byte(body),
	})
	if outcome.AttemptResult == nil {
		h.t.Fatalf("request %q with key %q has no result: %+v", body, key, outcome)
	}
	return outcome.AttemptResult
}

// waitFor waits until a condition holds. It fails the test after 20 s.
func (h *harness) waitFor(what string, condition func() bool) {
	h.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatal("timed out waiting for: ", what)
		}
	}
}

// expectAnswer sends a request and checks the code of its result and a substring of the body or reason.
func (h *harness) expectAnswer(function, body string, code workerrpc.Code, part string) *workerrpc.AttemptResult {
	h.t.Helper()
	outcome := h.request(function, body)
	for outcome.AttemptResult != nil && outcome.AttemptResult.Code == workerrpc.CodeNotStarted {
		outcome = h.request(function, body) // the replica was exiting; a gateway would retry on another worker
	}
	result := outcome.AttemptResult
	if result == nil {
		h.t.Fatalf("%s %q has no result: %+v", function, body, outcome)
	}
	if result.Code != code || !strings.Contains(string(result.Body)+result.Reason, part) {
		h.t.Errorf("%s %q: got code %d, body %.80q, reason %q; want code %d, text %s",
			function, body, result.Code, result.Body, result.Reason, code, part)
	}
	return result
}

// readReplicaLog returns the content of the replica log.
func (h *harness) readReplicaLog() string {
	h.t.Helper()
	log, err := os.ReadFile(h.replicaLog)
	if err != nil {
		h.t.Fatal(err)
	}
	return string(log)
}
