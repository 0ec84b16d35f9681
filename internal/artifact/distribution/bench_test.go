package distribution_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
)

// BenchmarkColdFleet is the time in which all live workers have a package of 4 MiB that none has, beside the ideal (the
// package once through the store) and the baseline in which each fetches from the store alone. Run it with -benchtime 1x.
func BenchmarkColdFleet(b *testing.B) {
	const size, rate = 4 << 20, 16e6
	for _, c := range []struct {
		name     string
		workers  int
		requests int
		killed   int
		alone    bool
	}{{"shared-50", 50, 64, 0, false}, {"alone-50", 50, 64, 0, true},
		{"shared-50-store-at-a-tenth", 50, 6, 0, false}, {"alone-50-store-at-a-tenth", 50, 6, 0, true},
		{"shared-50-ten-killed", 50, 64, 10, false}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				sees := func(i, j int) bool { return !c.alone }
				f := newFleet(b, c.workers, artifactstore.Capacity{MaxConcurrent: c.requests, BytesPerSecond: rate}, 5*time.Minute, 1e9, sees)
				sent := f.publish("1", size, 0)
				f.refresh()
				at := time.Now()
				done := make(chan struct{})
				go func() {
					defer close(done)
					for c.killed > 0 && f.store.Stats().Served < sent.Chunks/2 {
						time.Sleep(time.Millisecond)
					}
					for _, m := range f.workers[:c.killed] {
						m.stop()
					}
				}()
				n := f.install("1", f.workers...)
				took := time.Since(at)
				<-done
				if n < c.workers-c.killed {
					b.Fatalf("%d of %d have it", n, c.workers)
				}
				counts := f.store.Stats()
				b.ReportMetric(took.Seconds()/(size/rate), "of-ideal")
				b.ReportMetric(took.Seconds(), "s")
				b.ReportMetric(float64(counts.MaxFetchesPerChunk), "worst-chunk")
				b.ReportMetric(float64(counts.Bytes)/float64(sent.Bytes), "packages-from-store")
				b.ReportMetric(float64(counts.Rejected), "turned-away")
			}
		})
	}
}

// BenchmarkInstall is building a package of 16 MiB whose chunks are all on disk, beside copying the file.
func BenchmarkInstall(b *testing.B) {
	f := newFleet(b, 1, ampleCapacity, time.Minute, 1e9, nil)
	f.publish("1", 16<<20, 0)
	f.refresh()
	f.install("1", f.workers[0])
	b.SetBytes(16 << 20)
	for i := range b.N {
		if _, err := f.workers[0].Install(b.Context(), "f", "1", filepath.Join(f.workers[0].folder, fmt.Sprint("b", i))); err != nil {
			b.Fatal(err)
		}
	}
}
