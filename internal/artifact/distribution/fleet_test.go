package distribution_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ampleCapacity is more store capacity than any test uses.
var ampleCapacity = artifactstore.Capacity{MaxConcurrent: 64}

// interceptor may answer a request in place of a handler. It returns true if it has answered.
type interceptor func(http.ResponseWriter, *http.Request) bool

// intercepted is a handler with an optional interceptor.
type intercepted struct {
	interceptor atomic.Pointer[interceptor]
	handler     http.Handler
}

func (h *intercepted) intercept(i interceptor) { h.interceptor.Store(&i) }

func (h *intercepted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i := h.interceptor.Load(); i != nil && (*i)(w, r) {
		return
	}
	h.handler.ServeHTTP(w, r)
}

// testFleet is a store and several workers, each with its own HTTP server.
type testFleet struct {
	t            testing.TB
	options      fleetOptions
	store        *artifactstore.Store
	storeHandler *intercepted
	storeURL     string
	workers      []*testWorker
}

// testWorker is the part of a worker that fetches and serves packages.
type testWorker struct {
	*distribution.Distributor
	name    string
	folder  string
	server  *httptest.Server
	handler *intercepted
	stopped atomic.Bool
	cache   *cache.Cache
}

// fleetOptions configures a testFleet.
type fleetOptions struct {
	workers      int
	capacity     artifactstore.Capacity
	chunkTimeout time.Duration
	lists        func(worker, peer int) bool // reports whether a worker's endpoint list contains a peer; nil: always
}

func newFleet(t testing.TB, options fleetOptions) *testFleet {
	t.Helper()
	f := &testFleet{t: t, options: options}
	var err error
	if f.store, err = artifactstore.Open(artifactstore.Options{Folder: t.TempDir(), Capacity: options.capacity,
		GracePeriod: time.Hour}); err != nil {
		t.Fatal(err)
	}
	f.storeHandler = &intercepted{handler: f.store.Handler(artifactstore.ReadWrite)}
	server := httptest.NewServer(f.storeHandler)
	f.storeURL = server.URL
	t.Cleanup(func() {
		for _, worker := range f.workers {
			worker.stop()
		}
		server.Close()
		f.store.Close()
	})
	// All servers must have an address before the first worker reads its endpoint list.
	for i := range options.workers {
		worker := &testWorker{name: fmt.Sprint("w", i), folder: t.TempDir(), handler: &intercepted{}}
		worker.server = httptest.NewUnstartedServer(worker.handler)
		f.workers = append(f.workers, worker)
	}
	for i, worker := range f.workers {
		f.open(worker, func() []distribution.Peer { return f.peers(i) })
		worker.handler.handler = worker.Handler()
		worker.server.Start()
	}
	return f
}

// peers returns the endpoint list of a worker.
func (f *testFleet) peers(worker int) (peers []distribution.Peer) {
	for i, peer := range f.workers {
		if f.options.lists == nil || f.options.lists(worker, i) {
			peers = append(peers, distribution.Peer{Name: peer.name, Addr: peer.server.Listener.Addr().String()})
		}
	}
	return peers
}

func (f *testFleet) open(worker *testWorker, peers func() []distribution.Peer) {
	f.t.Helper()
	var err error
	if worker.cache, err = cache.Open(worker.folder, 1<<30, slog.New(slog.DiscardHandler)); err != nil {
		f.t.Fatal(err)
	}
	worker.Distributor, err = distribution.New(distribution.Options{Name: worker.name, Folder: worker.folder,
		Store: f.storeClient(), Cache: worker.cache, Peers: peers, NetworkBytesPerSecond: 1e9, UploadShare: 0.5,
		MaxUploads: 8, ChunkTimeout: f.options.chunkTimeout, MaxParallelChunks: 16})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) storeClient() artifactstore.Client {
	return artifactstore.Client{BaseURL: f.storeURL, HTTPClient: &http.Client{}}
}

// stop closes a worker's connections and server abruptly, as in a crash.
func (w *testWorker) stop() {
	if !w.stopped.Swap(true) {
		w.server.CloseClientConnections()
		w.Close()
		w.server.Close()
	}
}

// publish publishes a version of a package with random content. If change is not 0, a few bytes in the middle of the
// content differ.
func (f *testFleet) publish(version string, size int, change int) artifactstore.PublishResult {
	f.t.Helper()
	folder := f.t.TempDir()
	content := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(content) // never fails
	if change > 0 {
		copy(content[size/2:], fmt.Sprintf("changed in %s %d", version, change))
	}
	if err := os.WriteFile(filepath.Join(folder, "entry"), content, 0o755); err != nil {
		f.t.Fatal(err)
	}
	if _, err := manifest.Write(folder, manifest.Manifest{Name: "f", Version: version, Type: "t", Kind: manifest.Process,
		Concurrency: 1, MemoryLimit: 1 << 20, Timeout: config.Duration(time.Second), EntryPoint: "entry"}); err != nil {
		f.t.Fatal(err)
	}
	published, err := f.storeClient().Publish(context.Background(), folder)
	if err != nil {
		f.t.Fatal(err)
	}
	return published
}

// refresh makes every worker load the list of releases. The store does not count these requests as chunk fetches.
func (f *testFleet) refresh() {
	f.t.Helper()
	for _, worker := range f.workers {
		for {
			err := worker.Refresh(context.Background())
			if err == nil {
				break
			}
			if !strings.Contains(err.Error(), "429") {
				f.t.Fatal(err)
			}
		}
	}
}

// install makes workers install the package concurrently. It returns the number of complete installations.
func (f *testFleet) install(version string, workers ...*testWorker) int {
	var group sync.WaitGroup
	var installed atomic.Int64
	for _, worker := range workers {
		group.Go(func() {
			p, err := worker.Install(context.Background(), "f", version, filepath.Join(worker.folder, "built-"+version))
			if err == nil {
				err = p.Verify()
			}
			if err == nil {
				installed.Add(1)
			} else if !worker.stopped.Load() {
				f.t.Errorf("%s: %v", worker.name, err)
			}
		})
	}
	group.Wait()
	return int(installed.Load())
}
