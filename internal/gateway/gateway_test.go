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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/faultinject"
)

var payroll string // the program of all packages, built once

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

// harness is one front end, the list and two workers of the worker runtime.
type harness struct {
	t        *testing.T
	config   fleetconfig.File
	gateway  *gateway.Gateway
	addr     string
	registry *registry.Registry
	workers  []localfleet.Worker
	entries  []registry.Entry
	effects  string // what ran, written by the copies
	record   bytes.Buffer
	drain    context.CancelFunc
	kill     context.CancelFunc
	done     chan struct{}
}

func startHarness(t *testing.T, change func(*fleetconfig.File)) *harness {
	file, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&file)
	}
	r := &harness{t: t, config: file, registry: registry.New(nil), done: make(chan struct{})}
	list := httptest.NewServer(r.registry.Handler())
	t.Cleanup(list.Close)
	dir := t.TempDir()
	releases, err := localfleet.NewReleases(filepath.Join(dir, "store"), payroll, file, localfleet.AmpleCapacity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { releases.Close() })
	r.effects = filepath.Join(dir, "effects")
	effects, err := os.OpenFile(r.effects, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { effects.Close() })
	for i := range 2 {
		name := fmt.Sprint("w", i)
		w := localfleet.NewRuntime(localfleet.RuntimeOptions{Name: name, Folder: filepath.Join(dir, name), Releases: releases, ExecutionLog: effects,
			Limits: admission.Limits{MemoryBytes: 16 * 64 << 20, MaxRunning: 8, MaxWaiting: 100, MaxLoads: 4, IdleTimeout: time.Minute,
				LoadOnMiss: file.Fleet.LoadPolicy.OnMiss == "load"}})
		addr, started, err := w.Start("", localfleet.LongUptime)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Stop)
		e := registry.Entry{Name: w.Name(), Addr: addr, Zone: "z", Kind: "box", Cores: 4, State: registry.InService, Started: started}
		r.workers, r.entries = append(r.workers, w), append(r.entries, e)
		r.registry.Set(e)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = listener.Addr().String()
	r.config.Gateway.RegistryURL = list.URL
	r.gateway, err = gateway.New(gateway.Options{Name: "f", Config: r.config, Listener: listener, Seed: 1, Record: &r.record})
	if err != nil {
		t.Fatal(err)
	}
	ctx, drain := context.WithCancel(context.Background())
	killed, kill := context.WithCancel(context.Background())
	r.drain, r.kill = drain, kill
	go func() {
		defer close(r.done)
		if err := r.gateway.Run(ctx, killed); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		kill()
		<-r.done
		drain()
	})
	return r
}

// post sends an event; the client's own name of it is id.
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

// wantResponse posts and compares the status and a part of the answer.
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

// waitFor waits for a condition.
func (r *harness) waitFor(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("never came: ", what)
		}
	}
}

func (r *harness) injectFaults(change func(*faultinject.Faults)) {
	for _, w := range r.workers {
		w.InjectFault(change)
	}
}

func (r *harness) executions(kind string) int {
	runs, err := localfleet.CountExecutions(r.effects)
	if err != nil {
		r.t.Fatal(err)
	}
	n := 0
	for name, times := range runs {
		function, _, _ := strings.Cut(name, "/")
		for _, fn := range r.config.Functions {
			if fn.Name == function && fn.Type == kind {
				n += times
			}
		}
	}
	return n
}

// Handled, deferred and dead-lettered are told apart, and the last says whether the event may have run.
func TestOutcomes(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "1", 2*time.Second, 200, " released")
	r.wantResponse("release-ravi", "0", 2*time.Second, 200, " released")
	r.injectFaults(func(x *faultinject.Faults) { x.FailRequests = true })
	r.wantResponse("gross-salary", "2", 2*time.Second, 502, `"may-have-run":true`)
	r.injectFaults(func(x *faultinject.Faults) { x.FailRequests, x.RejectTenant = false, "indus-textiles" })
	resp := r.wantResponse("gross-salary", "3", time.Second, 503, invoke.ProblemRejected)
	if resp.Header.Get("Retry-After") == "" || resp.Header.Get(invoke.HeaderRetryAfterMillis) == "" {
		t.Error("deferred without a time to come back")
	}
	r.injectFaults(func(x *faultinject.Faults) { x.RejectTenant, x.Hang = "", true })
	r.wantResponse("release-ravi", "4", 300*time.Millisecond, 502, `"may-have-run":true`)
	r.wantResponse("preview", "5", 300*time.Millisecond, 503, invoke.ProblemRejected)
	if n := r.executions("salary-release"); n != 3 { // none of the one that was told to fail
		t.Errorf("%d runs at the workers, want 3", n)
	}
}

// Two events with one id: while the first is in hand, an event that must not run twice is not taken.
func TestDuplicateRequestID(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "0", 2*time.Second, 200, " released") // loaded
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = true })
	var both sync.WaitGroup
	both.Go(func() { r.wantResponse("gross-salary", "one", time.Second, 502, "dead-lettered") })
	r.waitFor("the first runs", func() bool { return r.executions("salary-release") == 2 })
	r.wantResponse("gross-salary", "one", time.Second, 409, invoke.ProblemNotAccepted)
	both.Wait()
	if n := r.executions("salary-release"); n != 2 {
		t.Errorf("%d runs", n)
	}
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = false })
	r.wantResponse("gross-salary", "one", 4*time.Second, 200, " released") // no longer in hand
}

// A client that leaves while its at-most-once event runs is told to the module; the event runs once, whatever follows.
func TestClientDisconnectsWhileRunning(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "0", 2*time.Second, 200, " released") // loaded
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = true })
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, _, err := r.post(ctx, "gross-salary", "left", 500*time.Millisecond)
		gone <- err
	}()
	r.waitFor("it runs", func() bool { return r.executions("salary-release") == 2 })
	leave()
	if err := <-gone; err == nil {
		t.Error("the client got an answer")
	}
	r.waitFor("the module knows", func() bool { return r.gateway.Counts(context.Background()).ClientsDisconnected == 1 })
	r.drain()
	<-r.done
	if c := r.gateway.FinalCounts(); c.Accepted != 2 || c.Completed+c.Rejected+c.Failed != 1 || r.executions("salary-release") != 2 {
		t.Errorf("%+v, %d runs", c, r.executions("salary-release"))
	}
}

// A list that empties: events are deferred with a time to come back, and served again when workers are listed.
func TestEndpointListBecomesEmpty(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released")
	r.registry.RemoveAll()
	r.waitFor("deferred", func() bool {
		resp, _, err := r.post(context.Background(), "preview", "x", 200*time.Millisecond)
		return err == nil && resp.StatusCode == 503 && resp.Header.Get("Retry-After") != ""
	})
	for _, e := range r.entries {
		r.registry.Set(e)
	}
	r.waitFor("handled", func() bool {
		resp, _, err := r.post(context.Background(), "preview", "x", time.Second)
		return err == nil && resp.StatusCode == 200
	})
}

// A front end that was paused hears what was said meanwhile before it judges anything late.
func TestPausedGateway(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("gross-salary", "1", 2*time.Second, 200, " released") // loaded
	r.waitFor("known", func() bool { return r.gateway.Counts(context.Background()).Completed == 1 })
	var all sync.WaitGroup
	r.injectFaults(func(x *faultinject.Faults) { x.SlowFactor = 20 })
	before := r.executions("salary-release")
	all.Go(func() { r.wantResponse("gross-salary", "2", 900*time.Millisecond, 200, " released") })
	r.waitFor("it runs", func() bool { return r.executions("salary-release") > before })
	r.gateway.Pause(1500 * time.Millisecond) // past the client's time; the answer comes during the pause
	all.Wait()
}

// What a front end finds after a pause that outlasted the client's time is deferred; it is not launched for nobody.
func TestRequestArrivesDuringPause(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released") // loaded
	before := r.executions("pay-preview")
	r.gateway.Pause(2 * time.Second)
	r.wantResponse("preview", "2", 500*time.Millisecond, 503, invoke.ProblemRejected)
	if n := r.executions("pay-preview") - before; n != 0 {
		t.Errorf("%d runs for a client whose time was up", n)
	}
}

// On the signal to end: what is in hand is answered, nothing new is taken, and it ends.
func TestDrain(t *testing.T) {
	r := startHarness(t, nil)
	r.injectFaults(func(x *faultinject.Faults) { x.SlowFactor = 100 })
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() { r.wantResponse("tax-slab", fmt.Sprint(i), 4*time.Second, 200, " released") })
	}
	r.waitFor("all in hand", func() bool { return r.gateway.Counts(context.Background()).Accepted == 8 })
	r.drain()
	r.waitFor("the listener is closed", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	all.Wait()
	<-r.done
	if c := r.gateway.FinalCounts(); c.Completed != 8 {
		t.Errorf("%+v", c)
	}
}

// Killed, it ends at once; a hundred clients that were connected come back to the next life, and are served.
func TestRetryStormAfterKill(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released")
	r.kill()
	<-r.done
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	g, err := gateway.New(gateway.Options{Name: "next", Config: r.config, Listener: listener, Seed: 2})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx, context.Background()) }()
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() { // all at once are more than the tenant's share: some are deferred, and come back as told
			r.waitFor("handled", func() bool {
				resp, body, err := r.post(context.Background(), "preview", fmt.Sprint("s", i), 3*time.Second)
				if err != nil || resp.StatusCode != 200 && !strings.Contains(body, invoke.ProblemRejected) {
					t.Errorf("client %d: %v, %s", i, err, body)
				}
				if err == nil && resp.StatusCode != 200 {
					ms, err := strconv.Atoi(resp.Header.Get(invoke.HeaderRetryAfterMillis))
					if err != nil || ms > 1000 {
						t.Errorf("client %d: told to come back in %q ms", i, resp.Header.Get(invoke.HeaderRetryAfterMillis))
					}
					time.Sleep(time.Duration(ms) * time.Millisecond)
				}
				return err != nil || resp.StatusCode == 200
			})
		})
	}
	all.Wait()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c := g.FinalCounts(); c.Connections > len(r.workers) {
		t.Errorf("%d connections to %d workers", c.Connections, len(r.workers))
	}
}

// What clients can take is bounded: bodies, headers, connections, events in hand, time to send a request.
func TestLimits(t *testing.T) {
	r := startHarness(t, func(f *fleetconfig.File) {
		f.Gateway.Limits.Body, f.Gateway.Limits.Header, f.Gateway.Limits.InFlight = 64, 4096, 1
		f.Gateway.Limits.Read, f.Gateway.Limits.Connections = config.Duration(300*time.Millisecond), 20
	})
	send := func(path, head, body string) int {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n%s", path, head, body)
		b, _ := io.ReadAll(conn)
		status := 0
		_, _ = fmt.Sscanf(string(b), "HTTP/1.1 %d", &status)
		return status
	}
	const path = "/v1/functions/preview/invocations"
	for _, c := range []struct {
		path, head, body string
		want             int
	}{
		{path, "Content-Length: 65\r\n", strings.Repeat("x", 65), 413},
		{path, "Content-Length: 1\r\nX: " + strings.Repeat("x", 20000) + "\r\n", "x", 431},
		{path, "Content-Length: 10\r\n", "slow", 400},
		{path, "Content-Length: 1\r\nPrefer: respond-async\r\n", "x", 501},
		{path, "Content-Length: 1\r\nPrefer: wait=soon\r\n", "x", 400},
		{"/v1/functions/none/invocations", "Content-Length: 1\r\n", "x", 404},
		{"/v1/functions/tax-slab/invocations", "Content-Length: 1\r\n", "x", 400}, // keyed without a key
		{path, "Content-Length: 1\r\nLupin-Tenant: ravi-foods\r\n", "x", 403},
	} {
		if got := send(c.path, c.head, c.body); got != c.want {
			t.Errorf("%s %.40q: status %d, want %d", c.path, c.head, got, c.want)
		}
	}
	r.wantResponse("gross-salary", "0", 2*time.Second, 200, " released") // loaded
	r.injectFaults(func(x *faultinject.Faults) { x.Hang = true })
	var one sync.WaitGroup
	one.Go(func() { r.wantResponse("gross-salary", "1", time.Second, 502, "dead-lettered") })
	r.waitFor("one in hand", func() bool { return r.executions("salary-release") == 2 })
	r.wantResponse("preview", "2", time.Second, 503, invoke.ProblemNotAccepted)
	one.Wait()
	var open []net.Conn
	closed := 0
	for range 40 {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
	}
	for _, conn := range open {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == io.EOF || err != nil {
			closed++ // past the limit at once, the others when they send nothing
		}
		conn.Close()
	}
	if closed != 40 {
		t.Errorf("%d of 40 idle connections were closed", closed)
	}
	if c := r.gateway.Counts(context.Background()); c.Accepted != 2 || c.NotAccepted != 1 || c.InvalidRequests != 7 {
		t.Errorf("%+v", c)
	}
}

func FuzzHead(f *testing.F) {
	file, err := fleetconfig.Default()
	if err != nil {
		f.Fatal(err)
	}
	catalogue := invoke.NewCatalogue(file)
	f.Add("preview", "Prefer: wait=2\r\nce-id: 1\r\n")
	f.Add("tax-slab", "Idempotency-Key: \"k\"\r\nPrefer: respond-async, wait=10;x=y\r\nLupin-Repeat: 1\r\n")
	f.Add("gross-salary", "Prefer: wait=1e309\r\nce-specversion: 0.3\r\nLupin-Tenant: nobody\r\n")
	f.Fuzz(func(t *testing.T, name, head string) {
		h := http.Header{}
		for line := range strings.SplitSeq(head, "\r\n") {
			if k, v, found := strings.Cut(line, ":"); found {
				h.Add(k, strings.TrimSpace(v))
			}
		}
		call, problem := catalogue.ReadHeader(name, h)
		if problem == nil && (call.TimeLeft <= 0 || call.TimeLeft > call.Type.MaxAge.Std() || call.Type.Effect == "keyed" && call.IdempotencyKey == "") {
			t.Errorf("%q %q was taken as %+v", name, head, call)
		}
		if problem != nil && (problem.Status < 400 || problem.Detail == "") {
			t.Errorf("problem without a reason: %+v", problem)
		}
		w := httptest.NewRecorder()
		if problem != nil {
			problem.Write(w)
			if !bytes.Contains(w.Body.Bytes(), []byte(problem.Type)) {
				t.Error("the problem's type is not told")
			}
		}
	})
}
