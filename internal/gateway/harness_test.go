package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
)

var payroll string // path of the example package, which TestMain builds once

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "payroll")
	if err == nil {
		payroll = filepath.Join(dir, "payroll")
		err = localfleet.Build(payroll, "lupinpond/examples/payroll", manifest.Process)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		os.RemoveAll(dir)
		os.Exit(code)
	}))
}

// harness runs a gateway, the registry and two workers with the real worker runtime.
type harness struct {
	t            *testing.T
	config       fleetconfig.File
	gateway      *gateway.Gateway
	addr         string
	registry     *registry.Registry
	workers      []localfleet.Worker
	entries      []registry.Entry
	executionLog string // path of the file in which the replicas log their executions
	recording    bytes.Buffer
	drain        context.CancelFunc
	abort        context.CancelFunc
	done         chan struct{} // closed when the gateway has stopped
}

// startHarness starts a harness that is stopped when the test ends. change, which may be nil, modifies the default
// settings.
func startHarness(t *testing.T, change func(*fleetconfig.File)) *harness {
	t.Helper()
	config, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&config)
	}
	r := &harness{t: t, config: config, registry: registry.New(nil), done: make(chan struct{})}
	registryServer := httptest.NewServer(r.registry.Handler())
	t.Cleanup(registryServer.Close)
	r.config.Gateway.RegistryURL = registryServer.URL
	r.startWorkers()
	r.startGateway()
	return r
}

// startWorkers starts two workers and registers them.
func (r *harness) startWorkers() {
	r.t.Helper()
	dir := r.t.TempDir()
	releases, err := localfleet.NewReleases(filepath.Join(dir, "store"), payroll, r.config, localfleet.AmpleCapacity)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { releases.Close() })
	r.executionLog = filepath.Join(dir, "effects")
	executionLog, err := os.OpenFile(r.executionLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { executionLog.Close() })
	limits := admission.Limits{MemoryBytes: 16 * 64 << 20, MaxRunning: 8, MaxWaiting: 100, MaxLoads: 4,
		IdleTimeout: time.Minute, LoadOnMiss: r.config.Fleet.LoadPolicy.OnMiss == "load"}
	for i := range 2 {
		name := fmt.Sprint("w", i)
		worker := localfleet.NewRuntime(localfleet.RuntimeOptions{Name: name, Folder: filepath.Join(dir, name),
			Releases: releases, ExecutionLog: executionLog, Limits: limits})
		addr, started, err := worker.Start("", localfleet.LongUptime)
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(worker.Stop)
		entry := registry.Entry{Name: worker.Name(), Addr: addr, Zone: "z", Kind: "box", Cores: 4, State: registry.InService,
			Started: started}
		r.workers, r.entries = append(r.workers, worker), append(r.entries, entry)
		r.registry.Set(entry)
	}
}

// startGateway starts the gateway with a recording of its core.
func (r *harness) startGateway() {
	r.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.addr = listener.Addr().String()
	options := gateway.Options{Name: "f", Config: r.config, Listener: listener, Seed: 1, Record: &r.recording}
	r.gateway, err = gateway.New(options)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, drain := context.WithCancel(context.Background())
	aborted, abort := context.WithCancel(context.Background())
	r.drain, r.abort = drain, abort
	go func() {
		defer close(r.done)
		if err := r.gateway.Run(ctx, aborted); err != nil {
			r.t.Error(err)
		}
	}()
	r.t.Cleanup(func() {
		abort()
		<-r.done
		drain()
	})
}

// post sends a request with a client ID and returns the response and its body.
func (r *harness) post(ctx context.Context, function, id string, wait time.Duration) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr+"/v1/functions/"+function+"/invocations",
		strings.NewReader(function+"/"+id+" 5ms"))
	if err != nil {
		r.t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set("ce-id", id)
	req.Header.Set("ce-source", "test")
	req.Header.Set("Prefer", fmt.Sprintf("wait=%.3f", wait.Seconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// wantResponse posts a request and checks that the response has the status and that its body contains part.
func (r *harness) wantResponse(function, id string, wait time.Duration, status int, part string) *http.Response {
	r.t.Helper()
	resp, body, err := r.post(context.Background(), function, id, wait)
	if err != nil {
		r.t.Fatal(err)
	}
	if resp.StatusCode != status || !strings.Contains(body, part) {
		r.t.Errorf("%s %s: status %d, %s; want %d, %s", function, id, resp.StatusCode, body, status, part)
	}
	return resp
}

// rawStatus posts the bytes of a request and returns the status of the response, or 0 if there is none.
func (r *harness) rawStatus(path, headers, body string) (status int) {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n%s", path, headers, body)
	response, _ := io.ReadAll(conn)
	_, _ = fmt.Sscanf(string(response), "HTTP/1.1 %d", &status)
	return status
}

// closedIdleConnections opens n connections that send nothing and returns the number of them that the gateway closes.
func (r *harness) closedIdleConnections(n int) (closed int) {
	r.t.Helper()
	var conns []net.Conn
	for range n {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			r.t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			closed++
		}
		conn.Close()
	}
	return closed
}

// waitFor waits until isTrue returns true. It fails the test after 20 seconds.
func (r *harness) waitFor(condition string, isTrue func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !isTrue(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatal("timed out waiting for condition: ", condition)
		}
	}
}

// injectFaults changes the injected faults of all workers.
func (r *harness) injectFaults(change func(*faultinject.Faults)) {
	for _, worker := range r.workers {
		worker.InjectFault(change)
	}
}

// executions returns the number of executions of requests of a type at the workers.
func (r *harness) executions(requestType string) int {
	r.t.Helper()
	runs, err := localfleet.CountExecutions(r.executionLog)
	if err != nil {
		r.t.Fatal(err)
	}
	n := 0
	for name, times := range runs {
		function, _, _ := strings.Cut(name, "/")
		for _, configured := range r.config.Functions {
			if configured.Name == function && configured.Type == requestType {
				n += times
			}
		}
	}
	return n
}
