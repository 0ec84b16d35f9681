package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
	"lupinpond/internal/workerrpc"
)

// instantHandler is a worker that answers every request immediately, from a warm replica.
type instantHandler struct{}

func (instantHandler) HandleAttempt(_ string, _ *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) func() {
	reply(&workerrpc.AttemptResult{Code: workerrpc.CodeOK, ReplicaState: workerrpc.ReplicaWarm, CPUTime: time.Microsecond,
		Report: &workerrpc.LoadReport{}, Body: []byte("ok")})
	return nil
}

func (instantHandler) HandleLoadRequest(_ string, load *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: load.Replicas})
}

func (instantHandler) LoadReport() *workerrpc.LoadReport { return &workerrpc.LoadReport{} }

// startBareGateway starts a gateway with a number of workers that answer immediately. It returns the addresses of the
// gateway and the workers.
func startBareGateway(b *testing.B, workers int) (addr string, workerAddrs []string, stop func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var servers sync.WaitGroup
	workerRegistry := registry.New(nil)
	registryServer := httptest.NewServer(workerRegistry.Handler())
	for i := range workers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprint("w", i)
		server := &workerrpc.Server{Handshake: workerrpc.Handshake{Name: name, MaxAttempts: 1000}, Handler: instantHandler{}}
		servers.Go(func() { _ = server.Serve(ctx, listener) })
		workerAddrs = append(workerAddrs, listener.Addr().String())
		workerRegistry.Set(registry.Entry{Name: name, Addr: workerAddrs[i], Zone: "z", Cores: 4, State: registry.InService})
	}
	config, err := fleetconfig.Default()
	if err != nil {
		b.Fatal(err)
	}
	config.Gateway.RegistryURL = registryServer.URL
	config.Fleet.Tenants = nil // without tenants, quotas do not affect the measurement
	for i := range config.Functions {
		config.Functions[i].Tenant = ""
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g, err := gateway.New(gateway.Options{Name: "f", Config: config, Listener: listener, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	servers.Go(func() {
		if err := g.Run(ctx, context.Background()); err != nil {
			b.Error(err)
		}
	})
	return listener.Addr().String(), workerAddrs, func() {
		cancel()
		servers.Wait()
		registryServer.Close()
	}
}

// startDirectClient starts a client that is connected directly to worker w0, without a gateway.
func startDirectClient(addr string, limits workerrpc.Limits) (client *workerrpc.Client, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client = workerrpc.NewClient("direct", "w0", addr, limits, func(ctx context.Context, addr string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", addr)
	})
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	return client, func() {
		cancel()
		<-ended
	}
}

// sendDirect sends one attempt and waits for its outcome.
func sendDirect(client *workerrpc.Client) workerrpc.Outcome {
	outcomes := make(chan workerrpc.Outcome, 1)
	attempt := workerrpc.Attempt{RequestID: "e", Function: "preview", Body: []byte("x")}
	client.Send(attempt, time.Second, func(outcome workerrpc.Outcome) { outcomes <- outcome })
	return <-outcomes
}

// openLoop starts calls at a constant rate for a duration, independently of how long they take, and measures the
// latency of each from its scheduled start.
func openLoop(rate float64, duration time.Duration, call func() error) (latencies *hdrhistogram.Histogram, failed int) {
	latencies = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for i := range int(rate * duration.Seconds()) {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if early := time.Until(due) - 2*time.Millisecond; early > 0 { // time.Sleep alone is off by up to a millisecond
			time.Sleep(early)
		}
		for time.Now().Before(due) {
			runtime.Gosched()
		}
		calls.Go(func() {
			err := call()
			latency := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			_ = latencies.RecordValue(max(1, latency.Microseconds())) // the clients' timeouts keep it below a minute
		})
	}
	calls.Wait()
	return latencies, failed
}

// invocation is a raw HTTP request of the invoke API.
const invocation = "POST /v1/functions/preview/invocations HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"

// connPool holds idle client connections to a gateway.
type connPool struct {
	addr string
	idle chan *bufferedConn
}

type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func newConnPool(addr string, maxIdle int) *connPool {
	return &connPool{addr: addr, idle: make(chan *bufferedConn, maxIdle)}
}

// roundTrip sends one request and reads its response.
func (p *connPool) roundTrip() error {
	conn, err := p.get()
	if err != nil {
		return err
	}
	if _, err := io.WriteString(conn, invocation); err != nil {
		return err
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	select {
	case p.idle <- conn:
	default:
		conn.Close()
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// get returns an idle connection, or a new one.
func (p *connPool) get() (*bufferedConn, error) {
	select {
	case conn := <-p.idle:
		return conn, nil
	default:
	}
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &bufferedConn{conn, bufio.NewReader(conn)}, nil
}

// close closes the idle connections.
func (p *connPool) close() {
	for {
		select {
		case conn := <-p.idle:
			conn.Close()
		default:
			return
		}
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // does not fail for the process itself
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the number of bytes of heap and stacks in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkAddedLatency measures, at several rates of an open loop, the latency that a gateway adds to calls sent
// directly from client to worker over the worker protocol. Run it with -benchtime 1x; each rate runs for 4 seconds.
func BenchmarkAddedLatency(b *testing.B) {
	const duration = 4 * time.Second
	limits := workerrpc.Limits{DialTimeout: time.Second, QueueTimeout: time.Second, WriteTimeout: time.Second,
		MaxQueuedCalls: 10000, MaxQueuedBytes: 1 << 24}
	for _, rate := range []float64{100, 370, 770, 2000, 4000, 8000, 16000, 24000, 32000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			for range b.N {
				addr, workerAddrs, stop := startBareGateway(b, 8)
				client, stopClient := startDirectClient(workerAddrs[0], limits)
				direct, failedDirect := openLoop(rate, duration, func() error {
					if outcome := sendDirect(client); outcome.Status != workerrpc.StatusAnswered {
						return outcome.Err
					}
					return nil
				})
				stopClient()
				pool := newConnPool(addr, 4096)
				openLoop(min(rate, 500), time.Second, pool.roundTrip) // warm up: load replicas and open connections
				through, failed := openLoop(rate, duration, pool.roundTrip)
				pool.close()
				stop()
				for _, q := range []float64{50, 99, 99.9} {
					b.ReportMetric(float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), fmt.Sprintf("added-p%v-us", q))
				}
				b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-us")
				b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
				b.ReportMetric(float64(failed+failedDirect), "failed")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// closedLoop makes b.N calls from eight clients and reports the CPU time and allocations of a call.
func closedLoop(b *testing.B, call func() error) {
	b.Helper()
	const clients = 8
	var calls sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := cpuTime()
	b.ResetTimer()
	for i := range clients {
		calls.Go(func() {
			for range (b.N + clients - 1 - i) / clients {
				if err := call(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	calls.Wait()
	b.StopTimer()
	used = cpuTime() - used
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(used.Nanoseconds())/1000/float64(b.N), "cpu-us/event")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/event")
}

// BenchmarkCPU measures the CPU time and allocations of a request in a closed loop of eight clients, and the same for
// calls without a gateway. The figures include those of the clients and the workers.
func BenchmarkCPU(b *testing.B) {
	b.Run("through", func(b *testing.B) {
		addr, _, stop := startBareGateway(b, 8)
		defer stop()
		pool := newConnPool(addr, 64)
		defer pool.close()
		openLoop(200, time.Second, pool.roundTrip)
		closedLoop(b, pool.roundTrip)
	})
	b.Run("direct", func(b *testing.B) {
		_, workerAddrs, stop := startBareGateway(b, 8)
		defer stop()
		client, stopClient := startDirectClient(workerAddrs[0], workerrpc.Limits{DialTimeout: time.Second,
			QueueTimeout: time.Second, WriteTimeout: time.Second, MaxQueuedCalls: 100, MaxQueuedBytes: 1 << 20})
		defer stopClient()
		closedLoop(b, func() error { return sendDirect(client).Err })
	})
}

// BenchmarkMemory measures the memory used by each of 1,000 idle client connections and by each of 70 workers, in
// bytes.
func BenchmarkMemory(b *testing.B) {
	withWorkers := func(workers int) float64 {
		addr, _, stop := startBareGateway(b, workers)
		pool := newConnPool(addr, 4096)
		openLoop(700, 2*time.Second, pool.roundTrip)
		pool.close()
		inUse := heapInUse()
		stop()
		return inUse
	}
	for range b.N {
		addr, _, stop := startBareGateway(b, 1)
		pool := newConnPool(addr, 4096)
		openLoop(100, time.Second, pool.roundTrip)
		before := heapInUse()
		var conns []net.Conn
		for range 1000 {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(conn, invocation)
			if _, err := conn.Read(make([]byte, 512)); err != nil {
				b.Fatal(err)
			}
			conns = append(conns, conn)
		}
		b.ReportMetric((heapInUse()-before)/1000, "B/idle-client")
		for _, conn := range conns {
			conn.Close()
		}
		pool.close()
		stop()
		withWorkers(1)
		one := withWorkers(1)
		b.ReportMetric((withWorkers(70)-one)/69, "B/worker")
		b.ReportMetric(0, "ns/op")
	}
}
