package distribution_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/layer"
)

// homes is the number of workers that may fetch a chunk from the store if no worker has it.
const homes = 3

// TestFiftyColdStarts guards against overloading the store when a fleet installs a new package, and against using
// corrupt chunks. Fifty workers install a package that no worker has: according to the store's counters, it must send
// each chunk at most three times. Ten workers answer every other request with a corrupt chunk: each must be detected
// and counted.
func TestFiftyColdStarts(t *testing.T) {
	// With this long timeout, a worker waits up to 18.75 s (timeout / 32) for a home that is fetching the chunk.
	f := newFleet(t, fleetOptions{workers: 50, capacity: ampleCapacity, chunkTimeout: 10 * time.Minute})
	f.publish("1", 2<<20, 0)
	f.refresh()
	var requests atomic.Int64
	for _, worker := range f.workers[:10] {
		worker.handler.intercept(func(w http.ResponseWriter, _ *http.Request) bool {
			if requests.Add(1)%2 == 0 {
				return false
			}
			_, _ = w.Write(layer.Compress([]byte("something else")))
			return true
		})
	}
	if installed := f.install("1", f.workers...); installed != 50 {
		t.Errorf("%d of 50 workers installed the package", installed)
	}
	stats := f.store.Stats()
	if stats.MaxFetchesPerChunk > homes {
		t.Errorf("the store sent a chunk %d times", stats.MaxFetchesPerChunk)
	}
	detected := 0
	for _, worker := range f.workers {
		detected += worker.Stats().CorruptFromPeers
	}
	if sent := int(requests.Load()+1) / 2; detected != sent || sent == 0 {
		t.Errorf("%d corrupt chunks were sent, but %d were detected", sent, detected)
	}
	t.Logf("store: %+v, %d corrupt chunks detected", stats, detected)
}

// TestOverloadedStoreAndCrashedWorkers guards against searches that fail when the store is overloaded and peers crash.
// The store has capacity for a tenth of the fetches that the workers would send at once, and a fifth of the workers
// crash during the installation: all other workers must complete it.
func TestOverloadedStoreAndCrashedWorkers(t *testing.T) {
	f := newFleet(t, fleetOptions{workers: 20, capacity: artifactstore.Capacity{MaxConcurrent: 2, BytesPerSecond: 8e6},
		chunkTimeout: 60 * time.Second})
	f.publish("1", 2<<20, 0)
	f.refresh()
	var crashes sync.WaitGroup
	crashes.Go(func() {
		for f.store.Stats().Served < 10 {
			time.Sleep(time.Millisecond)
		}
		for _, worker := range f.workers[:4] {
			worker.stop()
		}
	})
	installed := f.install("1", f.workers...)
	crashes.Wait()
	if installed < 16 {
		t.Errorf("%d workers installed the package, want the 16 live ones", installed)
	}
	t.Logf("store: %+v", f.store.Stats())
}

// cachedChunks waits until a worker has written all chunks that the store has served to disk, and returns their files.
// It must wait because a chunk is used before it is written.
func (f *testFleet) cachedChunks(worker *testWorker) []string {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		files, err := filepath.Glob(filepath.Join(worker.folder, "chunks-1", "?", "*"))
		if err != nil {
			f.t.Fatal(err)
		}
		cached := 0
		for _, file := range files {
			if digest, err := layer.ParseDigest(filepath.Base(file)); err == nil && worker.cache.Has(digest) {
				cached++
			}
		}
		want := f.store.Stats().DistinctChunks
		if cached == want {
			return files
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("only %d of %d chunks were written to disk", cached, want)
		}
	}
}

// While the store is stopped, workers must fetch the chunks that another worker has from that worker, and the remaining
// chunks once the store has started again. Corrupt files in the cache must be quarantined and their chunks fetched
// again.
func TestStoppedStoreAndCorruptDisk(t *testing.T) {
	f := newFleet(t, fleetOptions{workers: 6, capacity: ampleCapacity, chunkTimeout: 30 * time.Second})
	f.publish("1", 1<<20, 0)
	f.refresh()
	seeder := f.workers[5]
	if f.install("1", seeder) != 1 {
		t.Fatal("the first worker did not install the package")
	}
	served := f.store.Stats().Served
	for _, file := range f.cachedChunks(seeder)[:2] {
		if err := os.WriteFile(file, []byte("torn"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	f.store.Stop(1500 * time.Millisecond)
	if installed := f.install("1", f.workers[:5]...); installed != 5 {
		t.Errorf("%d of 5 workers installed the package", installed)
	}
	if stats := f.store.Stats(); stats.Served-served > 4*homes || stats.Served == served {
		t.Errorf("the store served %d chunks, but only two were missing from the workers' caches", stats.Served-served)
	}
	restarted, err := distribution.New(distribution.Options{Name: seeder.name, Folder: seeder.folder, Cache: seeder.cache,
		Store: f.storeClient(), ChunkTimeout: 30 * time.Second, MaxParallelChunks: 4}) // it builds the package again
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	p, err := restarted.Install(context.Background(), "f", "1", filepath.Join(seeder.folder, "again"))
	if err != nil || p.Verify() != nil {
		t.Error("the worker with the corrupt cache can't build the package again: ", err)
	}
	if stats := seeder.cache.Stats(); stats.Corrupt != 2 {
		t.Errorf("got cache counters %+v, want two corrupt chunks", stats)
	}
	quarantined, err := os.ReadDir(filepath.Join(seeder.folder, "chunks-1", "aside"))
	if err != nil || len(quarantined) != 2 {
		t.Error(quarantined, err)
	}
}

// All workers must install the package although one peer accepts requests and never sends a chunk, the store sends
// corrupt chunks at first, and the workers' endpoint lists differ.
func TestSlowPeerCorruptStoreAndDivergentPeerLists(t *testing.T) {
	f := newFleet(t, fleetOptions{workers: 8, capacity: ampleCapacity, chunkTimeout: 8 * time.Second,
		lists: func(i, j int) bool { return i%2 == j%2 || (i+j)%3 == 0 }})
	f.publish("1", 1<<20, 0)
	f.refresh()
	installed := make(chan struct{})
	f.workers[3].handler.intercept(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-installed:
		case <-r.Context().Done():
		}
		return true
	})
	var corrupt atomic.Int64
	f.storeHandler.intercept(func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.URL.Path, "/chunks/") || corrupt.Add(1) > 5 {
			return false
		}
		_, _ = w.Write([]byte("nonsense"))
		return true
	})
	if n := f.install("1", f.workers...); n != 8 {
		t.Errorf("%d of 8 workers installed the package", n)
	}
	close(installed)
	detected, hedged := 0, 0
	for _, worker := range f.workers {
		detected += worker.Stats().CorruptFromStore
		hedged += worker.Stats().Hedged
	}
	if hedged == 0 {
		t.Error("no hedged request was sent although a peer never sends a chunk")
	}
	if detected != 5 {
		t.Errorf("%d corrupt chunks of the store were detected, 5 were sent", detected)
	}
}

// A release with a small change must cause few fetches. A release that is published during the installation of the
// previous one must not affect that installation. A worker that restarts while the store is unreachable must be able to
// install the releases that it had cached.
func TestNextRelease(t *testing.T) {
	f := newFleet(t, fleetOptions{workers: 2, capacity: ampleCapacity, chunkTimeout: 30 * time.Second})
	first := f.publish("1", 4<<20, 0)
	f.refresh()
	worker := f.workers[0]
	var group sync.WaitGroup
	group.Go(func() { f.install("1", worker) })
	next := f.publish("2", 4<<20, 1)
	group.Wait()
	if next.NewChunks > 3 || next.NewBytes > first.Bytes/5 {
		t.Errorf("%d of %d chunks, %d of %d bytes are new after a small change",
			next.NewChunks, next.Chunks, next.NewBytes, first.Bytes)
	}
	if n := f.install("1", f.workers[1]); n != 1 { // it has not refreshed: version 1 is its newest
		t.Error("a worker could not install the release that is the newest known to it")
	}
	f.refresh()
	before := worker.Stats()
	if f.install("2", worker) != 1 {
		t.Error("the second release was not installed")
	}
	after := worker.Stats()
	if fetched := after.FromPeers + after.FromStore - before.FromPeers - before.FromStore; fetched != next.NewChunks {
		t.Errorf("%d chunks were fetched, but %d are new", fetched, next.NewChunks)
	}
	ctx := context.Background()
	if p, err := worker.Install(ctx, "f", "1", filepath.Join(worker.folder, "x")); err != nil || p.Version != "1" {
		t.Error("the previous version could not be installed before it was dropped: ", err)
	}
	if err := worker.DropPrevious("f"); err != nil {
		t.Error(err)
	}
	_, err := worker.Install(ctx, "f", "1", filepath.Join(worker.folder, "y"))
	if !errors.Is(err, distribution.ErrUnknownRelease) {
		t.Error("installing a dropped version: want ErrUnknownRelease, got ", err)
	}
	restarted, err := distribution.New(distribution.Options{Name: "w0", Folder: worker.folder, Cache: worker.cache,
		Store: artifactstore.Client{BaseURL: "http://127.0.0.1:1", HTTPClient: &http.Client{}}, ChunkTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	if err := restarted.Refresh(ctx); err == nil {
		t.Error("refreshing from an unreachable store succeeded")
	}
	p, err := restarted.Install(ctx, "f", "2", filepath.Join(worker.folder, "again"))
	if err != nil || p.Verify() != nil {
		t.Error("a cached release could not be installed without the store: ", err)
	}
}

// A full cache must not make an installation fail: the chunks are used without being cached.
func TestFullCache(t *testing.T) {
	f := newFleet(t, fleetOptions{workers: 1, capacity: ampleCapacity, chunkTimeout: 30 * time.Second})
	f.publish("1", 1<<20, 0)
	small, err := cache.Open(t.TempDir(), 100_000, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d, err := distribution.New(distribution.Options{Name: f.workers[0].name, Folder: t.TempDir(), Store: f.storeClient(),
		Cache: small, ChunkTimeout: 10 * time.Second, MaxParallelChunks: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if err := d.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	p, err := d.Install(context.Background(), "f", "1", filepath.Join(t.TempDir(), "x"))
	if err != nil || p.Verify() != nil {
		t.Fatal(err)
	}
	if stats := small.Stats(); stats.NotStored == 0 || small.Size() > 100_000 {
		t.Errorf("got cache counters %+v and %d bytes, want chunks not stored and at most 100000 bytes",
			stats, small.Size())
	}
}
