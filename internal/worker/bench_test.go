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

// startBenchmarkWorker starts a worker and a link to it.
func startBenchmarkWorker(b *testing.B, base string) (*worker.Worker, func(function, body string) *workerrpc.AttemptResult, func()) {
	o, done := options(b.TempDir(), base)
	o.Limits.MemoryBytes = 1 << 40
	w, err := worker.New(o)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := newPeer(ctx, listener.Addr().String())
	ended := make(chan error, 2)
	go func() { ended <- w.Run(ctx, listener) }()
	go func() { ended <- p.Run(ctx) }()
	call := func(function, body string) *workerrpc.AttemptResult {
		got := make(chan workerrpc.Outcome, 1)
		p.Send(workerrpc.Attempt{RequestID: "e", Function: function, Body: []byte(body)}, time.Minute, func(o workerrpc.Outcome) { got <- o })
		o := <-got
		if o.AttemptResult == nil {
			b.Fatal(o.Err)
		}
		return o.AttemptResult
	}
	return w, call, func() {
		stop()
		<-ended
		<-ended
		done()
	}
}

// BenchmarkWarmCall is a call of the model on a copy that stands, of both kinds, over the link; direct is the same
// function called in this process.
func BenchmarkWarmCall(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		for range b.N {
			if _, err := score.Score([]byte(`{"features":[1,2,3]}`)); err != nil {
				b.Fatal(err)
			}
		}
	})
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		b.Run(kind, func(b *testing.B) {
			_, call, end := startBenchmarkWorker(b, storeURL)
			defer end()
			call("preview-"+kind, `{"features":[1,2,3]}`)
			b.ResetTimer()
			for range b.N {
				if a := call("preview-"+kind, `{"features":[1,2,3]}`); a.Code != workerrpc.CodeOK {
					b.Fatal(a.Reason)
				}
			}
		})
	}
}

// BenchmarkConcurrentCalls is events a second of warm copies with 16 in hand at a time, of both kinds.
func BenchmarkConcurrentCalls(b *testing.B) {
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		b.Run(kind, func(b *testing.B) {
			_, call, end := startBenchmarkWorker(b, storeURL)
			defer end()
			call("preview-"+kind, `{"features":[1,2,3]}`)
			b.SetParallelism(max(1, 16/runtime.GOMAXPROCS(0)))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if a := call("preview-"+kind, `{"features":[1,2,3]}`); a.Code != workerrpc.CodeOK {
						b.Error(a.Reason)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// BenchmarkColdLoad splits a first load into fetch, verify, compile (wasm alone) and start, of both kinds.
func BenchmarkColdLoad(b *testing.B) {
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		b.Run(kind, func(b *testing.B) {
			var sum worker.LoadTimings
			for range b.N {
				w, call, end := startBenchmarkWorker(b, storeURL)
				call("preview-"+kind, `{"features":[1,2,3]}`)
				l := w.LoadTimings()[0]
				sum.Fetch, sum.Verify, sum.Start = sum.Fetch+l.Fetch, sum.Verify+l.Verify, sum.Start+l.Start
				sum.Compile += l.Compile
				end()
			}
			for name, d := range map[string]time.Duration{"fetch": sum.Fetch, "verify": sum.Verify, "compile": sum.Compile,
				"start": sum.Start} {
				b.ReportMetric(float64(d.Microseconds())/1000/float64(b.N), name+"-ms")
			}
		})
	}
}

// BenchmarkNoisyNeighbour is the p99 of a well-behaved function while another one spins, allocates, exits and floods without
// end, over that without it. Run it with -benchtime 1x.
func BenchmarkNoisyNeighbour(b *testing.B) {
	for range b.N {
		_, call, end := startBenchmarkWorker(b, storeURL)
		call("preview-process", `{"features":[1,2,3]}`)
		p99 := func() time.Duration {
			var took []time.Duration
			for range 1500 {
				at := time.Now()
				if a := call("preview-process", `{"features":[1,2,3]}`); a.Code != workerrpc.CodeOK {
					b.Fatal(a.Reason)
				}
				took = append(took, time.Since(at))
				time.Sleep(2 * time.Millisecond)
			}
			slices.Sort(took)
			return took[len(took)*99/100]
		}
		alone := p99()
		stop, gone := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(gone)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					call("misbehave-process", []string{"spin", "allocate", "exit", "flood"}[i%4])
				}
			}
		}()
		beside := p99()
		close(stop)
		<-gone
		end()
		b.ReportMetric(float64(alone.Microseconds()), "alone-p99-us")
		b.ReportMetric(float64(beside.Microseconds()), "beside-p99-us")
		b.ReportMetric(float64(beside)/float64(alone), "ratio")
	}
}

// BenchmarkIdleReplicas is the memory of 1, 10 and 100 idle copies, by the worker's own report.
func BenchmarkIdleReplicas(b *testing.B) {
	for _, kind := range []string{manifest.Process, manifest.Wasm} {
		for _, n := range []int{1, 10, 100} {
			b.Run(fmt.Sprint(kind, "-", n), func(b *testing.B) {
				for range b.N {
					many := b.TempDir()
					for i := range n {
						from, name := filepath.Join(packagesDir, "preview-"+kind, "1"), fmt.Sprint("f", i)
						to := filepath.Join(many, name, "1")
						if err := os.CopyFS(to, os.DirFS(from)); err != nil {
							b.Fatal(err)
						}
						if err := os.Chmod(filepath.Join(to, "entry"), 0o755); err != nil {
							b.Fatal(err)
						}
						if _, err := manifest.Write(to, manifest.Manifest{Name: name, Version: "1", Type: "t", Kind: kind, Concurrency: 1, MemoryLimit: 64 << 20,
							Timeout: config.Duration(time.Second), EntryPoint: "entry"}); err != nil {
							b.Fatal(err)
						}
					}
					own, err := localfleet.OpenStore(b.TempDir(), localfleet.AmpleCapacity)
					if err == nil {
						err = own.PublishAll(b.Context(), many)
					}
					if err != nil {
						b.Fatal(err)
					}
					w, call, end := startBenchmarkWorker(b, own.Client.BaseURL)
					time.Sleep(50 * time.Millisecond)
					before := w.LoadReport().MemoryBytes
					at := time.Now()
					for i := range n {
						call(fmt.Sprint("f", i), "{}")
					}
					took := time.Since(at)
					time.Sleep(100 * time.Millisecond)
					b.ReportMetric(float64(w.LoadReport().MemoryBytes-before)/float64(n)/(1<<20), "MiB/copy")
					b.ReportMetric(float64(took.Milliseconds())/float64(n), "ms/load")
					end()
					own.Close()
				}
			})
		}
	}
}
