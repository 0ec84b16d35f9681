package worker_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"lupinpond/examples/preview/score"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker"
	"lupinpond/internal/workerrpc"
)

// benchmarkWorker is a worker with one gateway connected to it.
type benchmarkWorker struct {
	*worker.Worker
	b       *testing.B
	gateway *workerrpc.Client
	stop    func()
}

// startBenchmarkWorker starts a worker with the packages in the store at url. The caller must call stop.
func startBenchmarkWorker(b *testing.B, url string) *benchmarkWorker {
	b.Helper()
	options, done := newOptions(b.TempDir(), url)
	options.Limits.MemoryBytes = 1 << 40
	w, err := worker.New(options)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	gateway := newGateway("front", listener.Addr().String())
	ended := make(chan error, 2)
	go func() { ended <- w.Run(ctx, listener) }()
	go func() { ended <- gateway.Run(ctx) }()
	stop := func() {
		cancel()
		<-ended
		<-ended
		done()
	}
	return &benchmarkWorker{Worker: w, b: b, gateway: gateway, stop: stop}
}

// call sends a request and waits for its result.
func (w *benchmarkWorker) call(function, body string) *workerrpc.AttemptResult {
	got := make(chan workerrpc.Outcome, 1)
	attempt := workerrpc.Attempt{RequestID: "e", Function: function, Body: []byte(body)}
	w.gateway.Send(attempt, time.Minute, func(outcome workerrpc.Outcome) { got <- outcome })
	outcome := <-got
	if outcome.AttemptResult == nil {
		w.b.Fatal(outcome.Err)
	}
	return outcome.AttemptResult
}

// mustCall sends a request and fails the benchmark if it does not succeed.
func (w *benchmarkWorker) mustCall(function, body string) {
	if result := w.call(function, body); result.Code != workerrpc.CodeOK {
		w.b.Fatal(result.Reason)
	}
}

// BenchmarkWarmCall measures a call of the model on a warm replica over the worker protocol, for both kinds of
// packages. The sub-benchmark direct calls the same function in this process.
func BenchmarkWarmCall(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		for range b.N {
			if _, err := score.Score([]byte(modelInput)); err != nil {
				b.Fatal(err)
			}
		}
	})
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		b.Run(kind, func(b *testing.B) {
			w := startBenchmarkWorker(b, storeURL)
			defer w.stop()
			w.call("preview-"+kind, modelInput)
			b.ResetTimer()
			for range b.N {
				w.mustCall("preview-"+kind, modelInput)
			}
		})
	}
}

// BenchmarkConcurrentCalls measures requests per second on warm replicas with about 16 requests in flight, for both
// kinds of packages.
func BenchmarkConcurrentCalls(b *testing.B) {
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		b.Run(kind, func(b *testing.B) {
			w := startBenchmarkWorker(b, storeURL)
			defer w.stop()
			w.call("preview-"+kind, modelInput)
			b.SetParallelism(max(1, 16/runtime.GOMAXPROCS(0)))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if result := w.call("preview-"+kind, modelInput); result.Code != workerrpc.CodeOK {
						b.Error(result.Reason)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// BenchmarkColdLoad measures the steps of a first load (fetch, verify, compile for wasm only, start) for both kinds of
// packages.
func BenchmarkColdLoad(b *testing.B) {
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		b.Run(kind, func(b *testing.B) {
			var sum worker.LoadTimings
			for range b.N {
				w := startBenchmarkWorker(b, storeURL)
				w.call("preview-"+kind, modelInput)
				timings := w.LoadTimings()[0]
				sum.Fetch += timings.Fetch
				sum.Verify += timings.Verify
				sum.Compile += timings.Compile
				sum.Start += timings.Start
				w.stop()
			}
			for name, total := range map[string]time.Duration{
				"fetch":   sum.Fetch,
				"verify":  sum.Verify,
				"compile": sum.Compile,
				"start":   sum.Start,
			} {
				b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), name+"-ms")
			}
		})
	}
}

// BenchmarkNoisyNeighbour measures the p99 latency of a function, first alone and then while another function
// repeatedly spins, allocates, exits and floods its output. It reports both and their ratio. Run it with -benchtime 1x.
func BenchmarkNoisyNeighbour(b *testing.B) {
	for range b.N {
		w := startBenchmarkWorker(b, storeURL)
		w.call(modelFunction, modelInput)
		baseline := w.latencyP99()
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					w.call(faultyFunction, []string{"spin", "allocate", "exit", "flood"}[i%4])
				}
			}
		}()
		contended := w.latencyP99()
		close(stop)
		<-stopped
		w.stop()
		b.ReportMetric(float64(baseline.Microseconds()), "alone-p99-us")
		b.ReportMetric(float64(contended.Microseconds()), "beside-p99-us")
		b.ReportMetric(float64(contended)/float64(baseline), "ratio")
	}
}

// latencyP99 measures the 99th percentile of the model's latency.
func (w *benchmarkWorker) latencyP99() time.Duration {
	var latencies []time.Duration
	for range 1500 {
		start := time.Now()
		w.mustCall(modelFunction, modelInput)
		latencies = append(latencies, time.Since(start))
		time.Sleep(2 * time.Millisecond)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// BenchmarkIdleReplicas measures the memory per replica of 1, 10 and 100 idle replicas, as the worker reports it.
func BenchmarkIdleReplicas(b *testing.B) {
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		for _, count := range []int{1, 10, 100} {
			b.Run(fmt.Sprint(kind, "-", count), func(b *testing.B) {
				for range b.N {
					measureIdleReplicas(b, kind, count)
				}
			})
		}
	}
}

// measureIdleReplicas loads one replica of each of count functions and reports memory and time per replica.
func measureIdleReplicas(b *testing.B, kind string, count int) {
	b.Helper()
	packages := b.TempDir()
	for i := range count {
		copyModel(b, kind, packages, fmt.Sprint("f", i))
	}
	store, err := localfleet.OpenStore(b.TempDir(), localfleet.AmpleCapacity)
	if err == nil {
		err = store.PublishAll(b.Context(), packages)
	}
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	w := startBenchmarkWorker(b, store.Client.BaseURL)
	defer w.stop()
	time.Sleep(50 * time.Millisecond)
	before := w.LoadReport().MemoryBytes
	start := time.Now()
	for i := range count {
		w.call(fmt.Sprint("f", i), "{}")
	}
	elapsed := time.Since(start)
	time.Sleep(100 * time.Millisecond)
	used := w.LoadReport().MemoryBytes - before
	b.ReportMetric(float64(used)/float64(count)/(1<<20), "MiB/copy")
	b.ReportMetric(float64(elapsed.Milliseconds())/float64(count), "ms/load")
}

// copyModel creates a copy of the model's package under another function name.
func copyModel(b *testing.B, kind, packages, name string) {
	b.Helper()
	folder := filepath.Join(packages, name, "1")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(packagesDir, "preview-"+kind, "1"))); err != nil {
		b.Fatal(err)
	}
	if err := os.Chmod(filepath.Join(folder, "entry"), 0o755); err != nil {
		b.Fatal(err)
	}
	_, err := manifest.Write(folder, manifest.Manifest{
		Name:        name,
		Version:     "1",
		Type:        "t",
		Kind:        kind,
		Concurrency: 1,
		MemoryLimit: 64 << 20,
		Timeout:     config.Duration(time.Second),
		EntryPoint:  "entry",
	})
	if err != nil {
		b.Fatal(err)
	}
}
