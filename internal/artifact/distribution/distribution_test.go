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

// fleet is a store and workers' suppliers, each with a server of its own.
type fleet struct {
	t       testing.TB
	store   *artifactstore.Store
	base    string
	patient time.Duration
	workers []*member
	tamper  atomic.Pointer[func(http.ResponseWriter, *http.Request) bool] // of the store
}

type member struct {
	*distribution.Supplier
	name   string
	folder string
	server *httptest.Server
	tamper atomic.Pointer[func(http.ResponseWriter, *http.Request) bool]
	down   atomic.Bool
	cache  *cache.Cache
}

func newFleet(t testing.TB, n int, c artifactstore.Capacity, patience time.Duration, rate float64, sees func(i, j int) bool) *fleet {
	f := &fleet{t: t, patient: patience}
	var err error
	if f.store, err = artifactstore.Open(artifactstore.Options{Folder: t.TempDir(), Capacity: c, Grace: time.Hour}); err != nil {
		t.Fatal(err)
	}
	handler := f.store.Handler(true)
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
		m := &member{name: fmt.Sprint("w", i), folder: t.TempDir()}
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

func (f *fleet) open(m *member, rate float64, peers func() []distribution.Peer) {
	var err error
	if m.cache, err = cache.Open(m.folder, 1<<30, slog.New(slog.DiscardHandler)); err != nil {
		f.t.Fatal(err)
	}
	m.Supplier, err = distribution.New(distribution.Options{Name: m.name, Folder: m.folder, Store: artifactstore.Client{Base: f.base, HTTP: &http.Client{}},
		Cache: m.cache, Peers: peers, Capacity: rate, Part: 0.5, Slots: 8, Patience: f.patient, Parallel: 16})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (m *member) stop() {
	if !m.down.Swap(true) {
		m.server.CloseClientConnections()
		m.Close()
		m.server.Close()
	}
}

// publish makes a package of random content, with every change-th KiB other than in version 0.
func (f *fleet) publish(version string, size int, change int) artifactstore.Sent {
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
	if _, err := manifest.Write(folder, manifest.Manifest{Name: "f", Version: version, Type: "t", Kind: manifest.Process, Lanes: 1, Memory: 1 << 20,
		Time: config.Duration(time.Second), Entry: "entry"}); err != nil {
		f.t.Fatal(err)
	}
	sent, err := artifactstore.Client{Base: f.base, HTTP: &http.Client{}}.Publish(context.Background(), folder)
	if err != nil {
		f.t.Fatal(err)
	}
	return sent
}

// refresh has every worker know the releases; the store counts none of it as a fetch of a chunk.
func (f *fleet) refresh() {
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

// bring has workers bring the package at once and answers how many have it, whole.
func (f *fleet) bring(version string, who ...*member) int {
	var all sync.WaitGroup
	var n atomic.Int64
	for _, m := range who {
		all.Go(func() {
			p, err := m.Bring(context.Background(), "f", version, filepath.Join(m.folder, "built-"+version))
			if err == nil {
				err = p.Verify()
			}
			if err == nil {
				n.Add(1)
			} else if !m.down.Load() {
				f.t.Errorf("%s: %v", m.name, err)
			}
		})
	}
	all.Wait()
	return int(n.Load())
}

var easy = artifactstore.Capacity{Requests: 64}

// Fifty workers start cold on the same package: every chunk leaves the store three times at the most, by its own count, and
// what peers give in place of a chunk is never used, every time counted.
func TestFiftyColdStarts(t *testing.T) {
	f := newFleet(t, 50, easy, 10*time.Minute, 1e9, nil) // so long that a home is waited for as long as it may be
	f.publish("1", 2<<20, 0)
	f.refresh()
	var lies atomic.Int64
	lie := func(w http.ResponseWriter, r *http.Request) bool {
		if lies.Add(1)%2 == 0 {
			return false
		}
		_, _ = w.Write(layer.Pack([]byte("something else")))
		return true
	}
	for _, m := range f.workers[:10] {
		m.tamper.Store(&lie)
	}
	if n := f.bring("1", f.workers...); n != 50 {
		t.Errorf("%d of 50 have the package", n)
	}
	c := f.store.Counts()
	if c.Most > 3 {
		t.Errorf("the worst chunk left the store %d times", c.Most)
	}
	caught := 0
	for _, m := range f.workers {
		caught += m.Counts().CorruptPeers
	}
	if told := int(lies.Load()+1) / 2; caught != told || told == 0 {
		t.Errorf("%d corrupt chunks were given, %d caught", told, caught)
	}
	t.Logf("store: %+v, %d lies caught", c, caught)
}

// A store that takes a tenth of what would come at once, and a fifth of the workers killed midway: all the others finish.
func TestCrowdedStoreAndDeaths(t *testing.T) {
	f := newFleet(t, 20, artifactstore.Capacity{Requests: 2, Rate: 8e6}, 60*time.Second, 1e9, nil)
	f.publish("1", 2<<20, 0)
	f.refresh()
	var all sync.WaitGroup
	all.Go(func() {
		for f.store.Counts().Served < 10 {
			time.Sleep(time.Millisecond)
		}
		for _, m := range f.workers[:4] {
			m.stop()
		}
	})
	n := f.bring("1", f.workers...)
	all.Wait()
	if n < 16 {
		t.Errorf("%d have the package, 16 live", n)
	}
	t.Logf("store: %+v", f.store.Counts())
}

// While the store is stopped, what any worker holds is found; what nobody holds comes when the store is back. Corrupt files
// on disk are set aside and fetched again.
func TestStoppedStoreAndCorruptDisk(t *testing.T) {
	f := newFleet(t, 6, easy, 30*time.Second, 1e9, nil)
	f.publish("1", 1<<20, 0)
	f.refresh()
	holder := f.workers[5]
	if f.bring("1", holder) != 1 {
		t.Fatal("the first worker has no package")
	}
	served := f.store.Counts().Served
	var files []string
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // a chunk is used before it is on disk
		var err error
		if files, err = filepath.Glob(filepath.Join(holder.folder, "chunks-1", "?", "*")); err != nil {
			t.Fatal(err)
		}
		there := 0
		for _, name := range files {
			if d, err := layer.Parse(filepath.Base(name)); err == nil && holder.cache.Has(d) {
				there++
			}
		}
		if there == f.store.Counts().Chunks {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d chunks are on disk", there, f.store.Counts().Chunks)
		}
	}
	for _, name := range files[:2] { // torn and flipped
		if err := os.WriteFile(name, []byte("torn"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	f.store.Stop(1500 * time.Millisecond)
	if n := f.bring("1", f.workers[:5]...); n != 5 {
		t.Errorf("%d of 5 have the package", n)
	}
	if c := f.store.Counts(); c.Served-served > 4*Homes || c.Served == served {
		t.Errorf("%d chunks came from the store, two were held by nobody", c.Served-served)
	}
	again, err := distribution.New(distribution.Options{Name: holder.name, Folder: holder.folder, Store: artifactstore.Client{Base: f.base, HTTP: &http.Client{}},
		Cache: holder.cache, Patience: 30 * time.Second, Parallel: 4}) // its next life builds anew
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if p, err := again.Bring(context.Background(), "f", "1", filepath.Join(holder.folder, "again")); err != nil || p.Verify() != nil {
		t.Error("its holder can't build it any more: ", err)
	}
	if c := holder.cache.Counts(); c.Corrupt != 2 {
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
func TestSlowPeerCorruptStoreAndTwoLists(t *testing.T) {
	f := newFleet(t, 8, easy, 8*time.Second, 1e9, func(i, j int) bool { return i%2 == j%2 || (i+j)%3 == 0 })
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
	if n := f.bring("1", f.workers...); n != 8 {
		t.Errorf("%d of 8 have the package", n)
	}
	close(hold)
	caught, hedged := 0, 0
	for _, m := range f.workers {
		caught += m.Counts().CorruptStore
		hedged += m.Counts().Hedged
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
	f := newFleet(t, 2, easy, 30*time.Second, 1e9, nil)
	first := f.publish("1", 4<<20, 0)
	f.refresh()
	var all sync.WaitGroup
	all.Go(func() { f.bring("1", f.workers[0]) })
	next := f.publish("2", 4<<20, 1)
	all.Wait()
	if next.New > 3 || next.NewBytes > first.Bytes/5 {
		t.Errorf("%d of %d chunks, %d of %d bytes are new after a small change", next.New, next.Chunks, next.NewBytes, first.Bytes)
	}
	if n := f.bring("1", f.workers[1]); n != 1 { // known as the newest still
		t.Error("the old release is gone while it is the newest that is known")
	}
	f.refresh()
	before := f.workers[0].Counts()
	if f.bring("2", f.workers[0]) != 1 {
		t.Error("no second release")
	}
	after := f.workers[0].Counts()
	if got := after.FromPeers + after.FromStore - before.FromPeers - before.FromStore; got != next.New {
		t.Errorf("%d chunks fetched, %d are new", got, next.New)
	}
	if p, err := f.workers[0].Bring(context.Background(), "f", "1", filepath.Join(f.workers[0].folder, "x")); err != nil || p.Version != "1" {
		t.Error("the version before is not there until it is forgotten: ", err)
	}
	if err := f.workers[0].Forget("f"); err != nil {
		t.Error(err)
	}
	if _, err := f.workers[0].Bring(context.Background(), "f", "1", filepath.Join(f.workers[0].folder, "y")); !errors.Is(err, distribution.ErrUnknown) {
		t.Error("a version that is forgotten was brought: ", err)
	}
	again, err := distribution.New(distribution.Options{Name: "w0", Folder: f.workers[0].folder, Store: artifactstore.Client{Base: "http://127.0.0.1:1", HTTP: &http.Client{}},
		Cache: f.workers[0].cache, Patience: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if err := again.Refresh(context.Background()); err == nil {
		t.Error("a store that is not there answers")
	}
	if p, err := again.Bring(context.Background(), "f", "2", filepath.Join(f.workers[0].folder, "again")); err != nil || p.Verify() != nil {
		t.Error("what was known and held is not there without the store: ", err)
	}
}

// A disk that keeps nothing costs the cache, not the load.
func TestNoRoom(t *testing.T) {
	f := newFleet(t, 1, easy, 30*time.Second, 1e9, nil)
	f.publish("1", 1<<20, 0)
	m := f.workers[0]
	small, err := cache.Open(t.TempDir(), 100_000, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s, err := distribution.New(distribution.Options{Name: m.name, Folder: t.TempDir(), Store: artifactstore.Client{Base: f.base, HTTP: &http.Client{}}, Cache: small,
		Patience: 10 * time.Second, Parallel: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if p, err := s.Bring(context.Background(), "f", "1", filepath.Join(t.TempDir(), "x")); err != nil || p.Verify() != nil {
		t.Fatal(err)
	}
	if c := small.Counts(); c.Unkept == 0 || small.Size() > 100_000 {
		t.Errorf("%+v, %d bytes", c, small.Size())
	}
}
