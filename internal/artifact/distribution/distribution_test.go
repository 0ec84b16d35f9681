package distribution_test

import (
	"context"
	"errors"
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
	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testFleet is a store and workers' suppliers, each with a server of its own.
type testFleet struct {
	t            testing.TB
	store        *artifactstore.Store
	base         string
	chunkTimeout time.Duration
	workers      []*testWorker
	tamper       atomic.Pointer[func(http.ResponseWriter, *http.Request) bool] // of the store
}

type testWorker struct {
	*distribution.Distributor
	name    string
	folder  string
	server  *httptest.Server
	tamper  atomic.Pointer[func(http.ResponseWriter, *http.Request) bool]
	stopped atomic.Bool
	cache   *cache.Cache
}

func newFleet(t testing.TB, n int, c artifactstore.Capacity, patience time.Duration, rate float64, sees func(i, j int) bool) *testFleet {
	f := &testFleet{t: t, chunkTimeout: patience}
	var err error
	if f.store, err = artifactstore.Open(artifactstore.Options{Folder: t.TempDir(), Capacity: c, GracePeriod: time.Hour}); err != nil {
		t.Fatal(err)
	}
	handler := f.store.Handler(artifactstore.ReadWrite)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x := f.tamper.Load(); x != nil && (*x)(w, r) {
			return
		}
		handler.ServeHTTP(w, r)
	}))
	f.base = server.URL
	t.Cleanup(func() {
		for _, m := range f.workers {
			m.stop()
		}
		server.Close()
		f.store.Close()
	})
	for i := range n {
		m := &testWorker{name: fmt.Sprint("w", i), folder: t.TempDir()}
		m.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if x := m.tamper.Load(); x != nil && (*x)(w, r) {
				return
			}
			m.Handler().ServeHTTP(w, r)
		}))
		f.workers = append(f.workers, m)
	}
	for i, m := range f.workers {
		f.open(m, rate, func() []distribution.Peer {
			var all []distribution.Peer
			for j, x := range f.workers {
				if sees == nil || sees(i, j) {
					all = append(all, distribution.Peer{Name: x.name, Addr: x.server.Listener.Addr().String()})
				}
			}
			return all
		})
		m.server.Start()
	}
	return f
}

func (f *testFleet) open(m *testWorker, rate float64, peers func() []distribution.Peer) {
	var err error
	if m.cache, err = cache.Open(m.folder, 1<<30, slog.New(slog.DiscardHandler)); err != nil {
		f.t.Fatal(err)
	}
	m.Distributor, err = distribution.New(distribution.Options{Name: m.name, Folder: m.folder, Store: artifactstore.Client{BaseURL: f.base, HTTPClient: &http.Client{}},
		Cache: m.cache, Peers: peers, NetworkBytesPerSecond: rate, UploadShare: 0.5, MaxUploads: 8, ChunkTimeout: f.chunkTimeout, MaxParallelChunks: 16})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (m *testWorker) stop() {
	if !m.stopped.Swap(true) {
		m.server.CloseClientConnections()
		m.Close()
		m.server.Close()
	}
}

// publish makes a package of random content, with every change-th KiB other than in version 0.
func (f *testFleet) publish(version string, size int, change int) artifactstore.PublishResult {
	f.t.Helper()
	folder := f.t.TempDir()
	content := make([]byte, size)
	src := rand.NewChaCha8([32]byte{1})
	_, _ = src.Read(content) // never fails
	if change > 0 {
		copy(content[size/2:], fmt.Sprintf("changed in %s %d", version, change))
	}
	if err := os.WriteFile(filepath.Join(folder, "entry"), content, 0o755); err != nil {
		f.t.Fatal(err)
	}
	if _, err := manifest.Write(folder, manifest.Manifest{Name: "f", Version: version, Type: "t", Kind: manifest.Process, Concurrency: 1, MemoryLimit: 1 << 20,
		Timeout: config.Duration(time.Second), EntryPoint: "entry"}); err != nil {
		f.t.Fatal(err)
	}
	sent, err := artifactstore.Client{BaseURL: f.base, HTTPClient: &http.Client{}}.Publish(context.Background(), folder)
	if err != nil {
		f.t.Fatal(err)
	}
	return sent
}

// refresh has every worker know the releases; the store counts none of it as a fetch of a chunk.
func (f *testFleet) refresh() {
	f.t.Helper()
	for _, m := range f.workers {
		for {
			err := m.Refresh(context.Background())
			if err == nil {
				break
			}
			if !strings.Contains(err.Error(), "429") {
				f.t.Fatal(err)
			}
		}
	}
}

// install has workers bring the package at once and answers how many have it, whole.
func (f *testFleet) install(version string, who ...*testWorker) int {
	var all sync.WaitGroup
	var n atomic.Int64
	for _, m := range who {
		all.Go(func() {
			p, err := m.Install(context.Background(), "f", version, filepath.Join(m.folder, "built-"+version))
			if err == nil {
				err = p.Verify()
			}
			if err == nil {
				n.Add(1)
			} else if !m.stopped.Load() {
				f.t.Errorf("%s: %v", m.name, err)
			}
		})
	}
	all.Wait()
	return int(n.Load())
}

var ampleCapacity = artifactstore.Capacity{MaxConcurrent: 64}

// Fifty workers start cold on the same package: every chunk leaves the store three times at the most, by its own count, and
// what peers give in place of a chunk is never used, every time counted.
func TestFiftyColdStarts(t *testing.T) {
	f := newFleet(t, 50, ampleCapacity, 10*time.Minute, 1e9, nil) // so long that a home is waited for as long as it may be
	f.publish("1", 2<<20, 0)
	f.refresh()
	var lies atomic.Int64
	lie := func(w http.ResponseWriter, r *http.Request) bool {
		if lies.Add(1)%2 == 0 {
			return false
		}
		_, _ = w.Write(layer.Compress([]byte("something else")))
		return true
	}
	for _, m := range f.workers[:10] {
		m.tamper.Store(&lie)
	}
	if n := f.install("1", f.workers...); n != 50 {
		t.Errorf("%d of 50 have the package", n)
	}
	c := f.store.Stats()
	if c.MaxFetchesPerChunk > 3 {
		t.Errorf("the worst chunk left the store %d times", c.MaxFetchesPerChunk)
	}
	caught := 0
	for _, m := range f.workers {
		caught += m.Stats().CorruptFromPeers
	}
	if told := int(lies.Load()+1) / 2; caught != told || told == 0 {
		t.Errorf("%d corrupt chunks were given, %d caught", told, caught)
	}
	t.Logf("store: %+v, %d lies caught", c, caught)
}

// A store that takes a tenth of what would come at once, and a fifth of the workers killed midway: all the others finish.
func TestOverloadedStoreAndCrashedWorkers(t *testing.T) {
	f := newFleet(t, 20, artifactstore.Capacity{MaxConcurrent: 2, BytesPerSecond: 8e6}, 60*time.Second, 1e9, nil)
	f.publish("1", 2<<20, 0)
	f.refresh()
	var all sync.WaitGroup
	all.Go(func() {
		for f.store.Stats().Served < 10 {
			time.Sleep(time.Millisecond)
		}
		for _, m := range f.workers[:4] {
			m.stop()
		}
	})
	n := f.install("1", f.workers...)
	all.Wait()
	if n < 16 {
		t.Errorf("%d have the package, 16 live", n)
	}
	t.Logf("store: %+v", f.store.Stats())
}

// While the store is stopped, what any worker holds is found; what nobody holds comes when the store is back. Corrupt files
// on disk are set aside and fetched again.
func TestStoppedStoreAndCorruptDisk(t *testing.T) {
	f := newFleet(t, 6, ampleCapacity, 30*time.Second, 1e9, nil)
	f.publish("1", 1<<20, 0)
	f.refresh()
	holder := f.workers[5]
	if f.install("1", holder) != 1 {
		t.Fatal("the first worker has no package")
	}
	served := f.store.Stats().Served
	var files []string
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // a chunk is used before it is on disk
		var err error
		if files, err = filepath.Glob(filepath.Join(holder.folder, "chunks-1", "?", "*")); err != nil {
			t.Fatal(err)
		}
		there := 0
		for _, name := range files {
			if d, err := layer.ParseDigest(filepath.Base(name)); err == nil && holder.cache.Has(d) {
				there++
			}
		}
		if there == f.store.Stats().DistinctChunks {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d chunks are on disk", there, f.store.Stats().DistinctChunks)
		}
	}
	for _, name := range files[:2] { // torn and flipped
		if err := os.WriteFile(name, []byte("torn"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	f.store.Stop(1500 * time.Millisecond)
	if n := f.install("1", f.workers[:5]...); n != 5 {
		t.Errorf("%d of 5 have the package", n)
	}
	if c := f.store.Stats(); c.Served-served > 4*Homes || c.Served == served {
		t.Errorf("%d chunks came from the store, two were held by nobody", c.Served-served)
	}
	again, err := distribution.New(distribution.Options{Name: holder.name, Folder: holder.folder, Store: artifactstore.Client{BaseURL: f.base, HTTPClient: &http.Client{}},
		Cache: holder.cache, ChunkTimeout: 30 * time.Second, MaxParallelChunks: 4}) // its next life builds anew
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if p, err := again.Install(context.Background(), "f", "1", filepath.Join(holder.folder, "again")); err != nil || p.Verify() != nil {
		t.Error("its holder can't build it any more: ", err)
	}
	if c := holder.cache.Stats(); c.Corrupt != 2 {
		t.Errorf("%+v: two files were corrupt", c)
	}
	aside, err := os.ReadDir(filepath.Join(holder.folder, "chunks-1", "aside"))
	if err != nil || len(aside) != 2 {
		t.Error(aside, err)
	}
}

// Homes is how many workers may go to the store for a chunk when nobody holds it.
const Homes = 3

// A peer that accepts and sends nothing, a store that gives corrupt chunks for a while, and lists that disagree about who
// exists: all get the package.
func TestSlowPeerCorruptStoreAndDivergentPeerLists(t *testing.T) {
	f := newFleet(t, 8, ampleCapacity, 8*time.Second, 1e9, func(i, j int) bool { return i%2 == j%2 || (i+j)%3 == 0 })
	f.publish("1", 1<<20, 0)
	f.refresh()
	hold := make(chan struct{})
	silent := func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(200)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-hold:
		case <-r.Context().Done():
		}
		return true
	}
	f.workers[3].tamper.Store(&silent)
	var bad atomic.Int64
	corrupt := func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.URL.Path, "/chunks/") || bad.Add(1) > 5 {
			return false
		}
		_, _ = w.Write([]byte("nonsense"))
		return true
	}
	f.tamper.Store(&corrupt)
	if n := f.install("1", f.workers...); n != 8 {
		t.Errorf("%d of 8 have the package", n)
	}
	close(hold)
	caught, hedged := 0, 0
	for _, m := range f.workers {
		caught += m.Stats().CorruptFromStore
		hedged += m.Stats().Hedged
	}
	if hedged == 0 {
		t.Error("nobody was asked besides the peer that never sends")
	}
	if caught != 5 {
		t.Errorf("%d corrupt chunks of the store caught, 5 were given", caught)
	}
}

// A release that changes a little of a large package costs a little; one that is published while the old one loads does not
// disturb that; a worker that starts with the store away knows what it knew.
func TestNextRelease(t *testing.T) {
	f := newFleet(t, 2, ampleCapacity, 30*time.Second, 1e9, nil)
	first := f.publish("1", 4<<20, 0)
	f.refresh()
	var all sync.WaitGroup
	all.Go(func() { f.install("1", f.workers[0]) })
	next := f.publish("2", 4<<20, 1)
	all.Wait()
	if next.NewChunks > 3 || next.NewBytes > first.Bytes/5 {
		t.Errorf("%d of %d chunks, %d of %d bytes are new after a small change", next.NewChunks, next.Chunks, next.NewBytes, first.Bytes)
	}
	if n := f.install("1", f.workers[1]); n != 1 { // known as the newest still
		t.Error("the old release is gone while it is the newest that is known")
	}
	f.refresh()
	before := f.workers[0].Stats()
	if f.install("2", f.workers[0]) != 1 {
		t.Error("no second release")
	}
	after := f.workers[0].Stats()
	if got := after.FromPeers + after.FromStore - before.FromPeers - before.FromStore; got != next.NewChunks {
		t.Errorf("%d chunks fetched, %d are new", got, next.NewChunks)
	}
	if p, err := f.workers[0].Install(context.Background(), "f", "1", filepath.Join(f.workers[0].folder, "x")); err != nil || p.Version != "1" {
		t.Error("the version before is not there until it is forgotten: ", err)
	}
	if err := f.workers[0].DropPrevious("f"); err != nil {
		t.Error(err)
	}
	if _, err := f.workers[0].Install(context.Background(), "f", "1", filepath.Join(f.workers[0].folder, "y")); !errors.Is(err, distribution.ErrUnknownRelease) {
		t.Error("a version that is forgotten was brought: ", err)
	}
	again, err := distribution.New(distribution.Options{Name: "w0", Folder: f.workers[0].folder, Store: artifactstore.Client{BaseURL: "http://127.0.0.1:1", HTTPClient: &http.Client{}},
		Cache: f.workers[0].cache, ChunkTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if err := again.Refresh(context.Background()); err == nil {
		t.Error("a store that is not there answers")
	}
	if p, err := again.Install(context.Background(), "f", "2", filepath.Join(f.workers[0].folder, "again")); err != nil || p.Verify() != nil {
		t.Error("what was known and held is not there without the store: ", err)
	}
}

// A disk that keeps nothing costs the cache, not the load.
func TestFullCache(t *testing.T) {
	f := newFleet(t, 1, ampleCapacity, 30*time.Second, 1e9, nil)
	f.publish("1", 1<<20, 0)
	m := f.workers[0]
	small, err := cache.Open(t.TempDir(), 100_000, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s, err := distribution.New(distribution.Options{Name: m.name, Folder: t.TempDir(), Store: artifactstore.Client{BaseURL: f.base, HTTPClient: &http.Client{}}, Cache: small,
		ChunkTimeout: 10 * time.Second, MaxParallelChunks: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if p, err := s.Install(context.Background(), "f", "1", filepath.Join(t.TempDir(), "x")); err != nil || p.Verify() != nil {
		t.Fatal(err)
	}
	if c := small.Stats(); c.NotStored == 0 || small.Size() > 100_000 {
		t.Errorf("%+v, %d bytes", c, small.Size())
	}
}
