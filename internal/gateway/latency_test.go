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

// instantHandler is a worker that answers every event at once, from a copy that stands.
type instantHandler struct{}

func (instantHandler) HandleAttempt(_ string, _ *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) func() {
	reply(&workerrpc.AttemptResult{Code: workerrpc.CodeOK, ReplicaState: workerrpc.ReplicaWarm, CPUTime: time.Microsecond, Report: &workerrpc.LoadReport{}, Body: []byte("ok")})
	return nil
}
func (instantHandler) HandleLoadRequest(_ string, o *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: o.Replicas})
}
func (instantHandler) LoadReport() *workerrpc.LoadReport { return &workerrpc.LoadReport{} }

// startBareGateway is a front end over so many workers that answer at once.
func startBareGateway(b *testing.B, workers int) (addr string, addrs []string, end func()) {
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	r := registry.New(nil)
	list := httptest.NewServer(r.Handler())
	for i := range workers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprint("w", i)
		s := &workerrpc.Server{Handshake: workerrpc.Handshake{Name: name, MaxAttempts: 1000}, Handler: instantHandler{}}
		all.Go(func() { _ = s.Serve(ctx, listener) })
		addrs = append(addrs, listener.Addr().String())
		r.Set(registry.Entry{Name: name, Addr: addrs[i], Zone: "z", Cores: 4, State: registry.InService})
	}
	file, err := fleetconfig.Default()
	if err != nil {
		b.Fatal(err)
	}
	file.Gateway.RegistryURL = list.URL
	file.Fleet.Tenants = nil // shares are not what is measured
	for i := range file.Functions {
		file.Functions[i].Tenant = ""
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g, err := gateway.New(gateway.Options{Name: "f", Config: file, Listener: listener, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	all.Go(func() {
		if err := g.Run(ctx, context.Background()); err != nil {
			b.Error(err)
		}
	})
	return listener.Addr().String(), addrs, func() {
		stop()
		all.Wait()
		list.Close()
	}
}

// openLoop calls once at each moment of a rate for d, whatever becomes of the calls, and measures each from the moment
// at which it was due.
func openLoop(rate float64, d time.Duration, once func() error) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	failed := 0
	start := time.Now()
	for i := range int(rate * d.Seconds()) {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if early := time.Until(due) - 2*time.Millisecond; early > 0 { // a sleep alone is a millisecond off here
			time.Sleep(early)
		}
		for time.Now().Before(due) {
			runtime.Gosched()
		}
		all.Go(func() {
			err := once()
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			_ = h.RecordValue(max(1, took.Microseconds())) // within a minute by the clients' time
		})
	}
	all.Wait()
	return h, failed
}

// connPool are kept connections of clients.
type connPool struct {
	addr string
	idle chan *bufferedConn
}

type bufferedConn struct {
	net.Conn
	read *bufio.Reader
}

func (l *connPool) roundTrip() error {
	var c *bufferedConn
	select {
	case c = <-l.idle:
	default:
		conn, err := net.Dial("tcp", l.addr)
		if err != nil {
			return err
		}
		c = &bufferedConn{conn, bufio.NewReader(conn)}
	}
	if _, err := io.WriteString(c, "POST /v1/functions/preview/invocations HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	select {
	case l.idle <- c:
	default:
		c.Close()
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (l *connPool) close() {
	for {
		select {
		case c := <-l.idle:
			c.Close()
		default:
			return
		}
	}
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // it has no reason to fail for the process itself
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkAddedLatency measures, at rates of an open loop, what a front end adds to a direct loop from client to
// worker over the link. Run it with -benchtime 1x; seconds of each rate: 4.
func BenchmarkAddedLatency(b *testing.B) {
	for _, rate := range []float64{100, 370, 770, 2000, 4000, 8000, 16000, 24000, 32000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			const lasts = 4 * time.Second
			for range b.N {
				addr, addrs, end := startBareGateway(b, 8)
				ctx, stop := context.WithCancel(context.Background())
				dial := func(ctx context.Context, addr string) (net.Conn, error) {
					var d net.Dialer
					return d.DialContext(ctx, "tcp", addr)
				}
				p := workerrpc.NewClient("direct", "w0", addrs[0], workerrpc.Limits{DialTimeout: time.Second, QueueTimeout: time.Second, WriteTimeout: time.Second,
					MaxQueuedCalls: 10000, MaxQueuedBytes: 1 << 24}, dial)
				gone := make(chan error, 1)
				go func() { gone <- p.Run(ctx) }()
				direct, failedDirect := openLoop(rate, lasts, func() error {
					got := make(chan workerrpc.Outcome, 1)
					p.Send(workerrpc.Attempt{RequestID: "e", Function: "preview", Body: []byte("x")}, time.Second, func(o workerrpc.Outcome) { got <- o })
					if o := <-got; o.Status != workerrpc.StatusAnswered {
						return o.Err
					}
					return nil
				})
				stop()
				<-gone
				l := &connPool{addr: addr, idle: make(chan *bufferedConn, 4096)}
				openLoop(min(rate, 500), time.Second, l.roundTrip) // copies loaded, connections made
				through, failed := openLoop(rate, lasts, l.roundTrip)
				l.close()
				end()
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

// BenchmarkCPU measures CPU and allocations of an event in a closed loop of eight clients, the clients' and the worker's
// own included, and the same for the direct loop.
func BenchmarkCPU(b *testing.B) {
	closed := func(b *testing.B, once func() error) {
		var all sync.WaitGroup
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		used := cpuTime()
		b.ResetTimer()
		for i := range 8 {
			all.Go(func() {
				for range (b.N + 7 - i) / 8 {
					if err := once(); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		all.Wait()
		b.StopTimer()
		used = cpuTime() - used
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(used.Nanoseconds())/1000/float64(b.N), "cpu-us/event")
		b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/event")
	}
	b.Run("through", func(b *testing.B) {
		addr, _, end := startBareGateway(b, 8)
		defer end()
		l := &connPool{addr: addr, idle: make(chan *bufferedConn, 64)}
		defer l.close()
		openLoop(200, time.Second, l.roundTrip)
		closed(b, l.roundTrip)
	})
	b.Run("direct", func(b *testing.B) {
		_, addrs, end := startBareGateway(b, 8)
		defer end()
		ctx, stop := context.WithCancel(context.Background())
		p := workerrpc.NewClient("direct", "w0", addrs[0], workerrpc.Limits{DialTimeout: time.Second, QueueTimeout: time.Second, WriteTimeout: time.Second, MaxQueuedCalls: 100,
			MaxQueuedBytes: 1 << 20}, func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		})
		gone := make(chan error, 1)
		go func() { gone <- p.Run(ctx) }()
		closed(b, func() error {
			got := make(chan workerrpc.Outcome, 1)
			p.Send(workerrpc.Attempt{RequestID: "e", Function: "preview", Body: []byte("x")}, time.Second, func(o workerrpc.Outcome) { got <- o })
			return (<-got).Err
		})
		stop()
		<-gone
	})
}

// BenchmarkMemory measures what 1,000 idle connections of clients and 70 workers hold, in bytes each.
func BenchmarkMemory(b *testing.B) {
	held := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for range b.N {
		addr, _, end := startBareGateway(b, 1)
		l := &connPool{addr: addr, idle: make(chan *bufferedConn, 4096)}
		openLoop(100, time.Second, l.roundTrip)
		before := held()
		var conns []net.Conn
		for range 1000 {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(conn, "POST /v1/functions/preview/invocations HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
			if _, err := conn.Read(make([]byte, 512)); err != nil {
				b.Fatal(err)
			}
			conns = append(conns, conn)
		}
		b.ReportMetric((held()-before)/1000, "B/idle-client")
		for _, c := range conns {
			c.Close()
		}
		l.close()
		end()
		of := func(workers int) float64 {
			addr, _, end := startBareGateway(b, workers)
			l := &connPool{addr: addr, idle: make(chan *bufferedConn, 4096)}
			openLoop(700, 2*time.Second, l.roundTrip)
			l.close()
			m := held()
			end()
			return m
		}
		of(1)
		one := of(1)
		b.ReportMetric((of(70)-one)/69, "B/worker")
		b.ReportMetric(0, "ns/op")
	}
}
