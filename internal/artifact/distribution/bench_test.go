package distribution_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
)

// BenchmarkColdFleet measures the time until all live workers have installed a package of 4 MiB that no worker has at
// first. It reports the time relative to the ideal, in which the store sends the package once. In the baseline "alone",
// each worker fetches only from the store. Run it with -benchtime 1x.
func BenchmarkColdFleet(b *testing.B) {
	const size, rate = 4 << 20, 16e6
	for _, c := range []struct {
		name          string
		maxConcurrent int  // maximum number of concurrent fetches at the store
		crashes       int  // number of workers that crash while they fetch
		alone         bool // endpoint lists are empty
	}{
		{"shared-50", 64, 0, false},
		{"alone-50", 64, 0, true},
		{"shared-50-store-at-a-tenth", 6, 0, false},
		{"alone-50-store-at-a-tenth", 6, 0, true},
		{"shared-50-ten-killed", 64, 10, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				f := newFleet(b, fleetOptions{workers: 50, chunkTimeout: 5 * time.Minute,
					capacity: artifactstore.Capacity{MaxConcurrent: c.maxConcurrent, BytesPerSecond: rate},
					lists:    func(int, int) bool { return !c.alone }})
				published := f.publish("1", size, 0)
				f.refresh()
				startedAt := time.Now()
				crashed := make(chan struct{})
				go func() {
					defer close(crashed)
					for c.crashes > 0 && f.store.Stats().Served < published.Chunks/2 {
						time.Sleep(time.Millisecond)
					}
					for _, worker := range f.workers[:c.crashes] {
						worker.stop()
					}
				}()
				installed := f.install("1", f.workers...)
				duration := time.Since(startedAt)
				<-crashed
				if installed < len(f.workers)-c.crashes {
					b.Fatalf("%d of %d workers installed the package", installed, len(f.workers))
				}
				stats := f.store.Stats()
				b.ReportMetric(duration.Seconds()/(size/rate), "of-ideal")
				b.ReportMetric(duration.Seconds(), "s")
				b.ReportMetric(float64(stats.MaxFetchesPerChunk), "worst-chunk")
				b.ReportMetric(float64(stats.Bytes)/float64(published.Bytes), "packages-from-store")
				b.ReportMetric(float64(stats.Rejected), "turned-away")
			}
		})
	}
}

// BenchmarkInstall measures the installation of a package of 16 MiB that is already built on disk. Its throughput can
// be compared with that of copying the file.
func BenchmarkInstall(b *testing.B) {
	f := newFleet(b, fleetOptions{workers: 1, capacity: ampleCapacity, chunkTimeout: time.Minute})
	f.publish("1", 16<<20, 0)
	f.refresh()
	worker := f.workers[0]
	f.install("1", worker)
	b.SetBytes(16 << 20)
	for i := range b.N {
		if _, err := worker.Install(b.Context(), "f", "1", filepath.Join(worker.folder, fmt.Sprint("b", i))); err != nil {
			b.Fatal(err)
		}
	}
}
