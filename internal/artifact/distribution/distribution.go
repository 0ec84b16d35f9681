// Package distribution brings packages to a worker: chunks from its own disk, from other workers, from the store, as internal/artifact/fetch
// decides; and gives chunks to other workers.
package distribution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/httpclient"
)

// Peer is another worker that gives chunks.
type Peer struct{ Name, Addr string }

// Options of a Supplier.
type Options struct {
	Name                  string // of this worker
	Folder                string // its releases are kept there
	Store                 artifactstore.Client
	Cache                 *cache.Cache
	Peers                 func() []Peer // listed workers that give chunks; this one may be among them. nil: none
	NetworkBytesPerSecond float64       // bytes a second of its network
	UploadShare           float64       // of it that is given to others
	MaxUploads            int           // chunks given at a time
	ChunkTimeout          time.Duration // for one chunk
	MaxParallelChunks     int           // chunks of a release looked for at a time
	Log                   *slog.Logger
}

// Stats tell what a Supplier did in this life.
type Stats struct {
	FromDisk, FromPeers, FromStore     int
	FetchedBytes                       int64 // packed, from peers and the store
	CorruptFromPeers, CorruptFromStore int   // chunks that were something else, and not used
	Uploads                            int   // to others
	UploadsRejected                    int   // turned away, as enough was given
	TimedOut                           int
	Hedged                             int // peers asked besides one that was late
}

// Distributor is one worker's. Its methods may be called by any goroutine.
type Distributor struct {
	options   Options
	startedAt time.Time
	client    *http.Client
	ctx       context.Context // of fetches that others wait for
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu               sync.Mutex
	utilization      func() float64 // part of the worker's lanes that run
	storeGuard       *fetch.StoreGuard
	storeRequestDone chan struct{} // closed when a request to the store has ended
	peerHealth       *fetch.PeerHealth
	replicas         *fetch.ReplicaTracker
	uploads          *fetch.UploadLimiter
	inFlight         map[layer.Digest]*chunkFetch
	newest           map[string]release     // newest by name
	previous         map[string]release     // by name: the one before, until it is forgotten
	builds           map[string]*buildState // by the release's digest
	stats            Stats
}

type release struct {
	layer.Release
	manifest manifest.Manifest
	digest   string
}

type chunkFetch struct {
	done    chan struct{}
	content []byte
	packed  []byte
	err     error
}

const maxTrackedChunks = 10_000 // whose holders are told to others

// ErrUnknownRelease says that no release of a package is known.
var ErrUnknownRelease = errors.New("no such release is known")

// New makes a Supplier; it knows the releases that its folder has from an earlier life.
func New(o Options) (*Distributor, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	s := &Distributor{options: o, startedAt: time.Now(), storeGuard: fetch.NewStoreGuard(), storeRequestDone: make(chan struct{}), peerHealth: fetch.NewPeerHealth(),
		replicas: fetch.NewReplicaTracker(maxTrackedChunks), uploads: fetch.NewUploadLimiter(o.NetworkBytesPerSecond, o.UploadShare, o.MaxUploads),
		inFlight: map[layer.Digest]*chunkFetch{}, newest: map[string]release{}, previous: map[string]release{}, builds: map[string]*buildState{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxIdleConns: 256, IdleConnTimeout: 30 * time.Second}}}
	s.SetUtilization(func() float64 { return 0 })
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := errors.Join(os.RemoveAll(s.buildsDir()), os.MkdirAll(s.releasesDir(), 0o755), os.MkdirAll(s.buildsDir(), 0o755)); err != nil {
		return nil, fmt.Errorf("supply: %w", err)
	}
	files, err := filepath.Glob(filepath.Join(s.releasesDir(), "*.release"))
	if err != nil {
		return nil, fmt.Errorf("supply: %w", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err == nil {
			err = s.addRelease(b)
		}
		if err != nil {
			o.Log.Warn("a kept release is not used", "file", f, "err", err)
		}
	}
	return s, nil
}

// Close ends what is under way.
func (s *Distributor) Close() {
	s.cancel()
	s.tasks.Wait()
	s.client.CloseIdleConnections()
}

// SetUtilization has what is given to others depend on how busy the worker is: busy is the part of its lanes that run.
func (s *Distributor) SetUtilization(busy func() float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.utilization = busy
}

func (s *Distributor) elapsed() time.Duration { return time.Since(s.startedAt) }

func (s *Distributor) releasesDir() string { return filepath.Join(s.options.Folder, "releases") }

// Stats tells what it did.
func (s *Distributor) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// addRelease takes a release as the newest of its package.
func (s *Distributor) addRelease(encoded []byte) error {
	r, err := layer.Decode(encoded)
	if err != nil {
		return err
	}
	m, err := r.ParseManifest()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.newest[m.Name]
	s.newest[m.Name] = release{r, m, layer.Sum(encoded).String()}
	if _, is := s.previous[m.Name]; known && !is { // the one that is in use; releases between it and the newest are skipped
		s.previous[m.Name] = old
	}
	return nil
}

// DropPrevious says that a package's release before the newest is not brought any more: the newest has taken its place.
func (s *Distributor) DropPrevious(name string) error {
	s.mu.Lock()
	old, is := s.previous[name]
	delete(s.previous, name)
	b := s.builds[old.digest]
	if !is || b == nil || old.digest == s.newest[name].digest {
		s.mu.Unlock()
		return nil
	}
	select {
	case <-b.done:
	default: // a load goes on with it; its files are removed at the next start
		s.mu.Unlock()
		return nil
	}
	delete(s.builds, old.digest)
	base := filepath.Join(s.buildsDir(), old.digest)
	gone := base + ".gone" // so that the same release can be built again while this is removed
	err := os.Rename(base, gone)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return os.RemoveAll(gone) // copies have links of their own
}

// Packages are the manifests of the newest known releases.
func (s *Distributor) Packages() []manifest.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []manifest.Manifest
	for _, r := range s.newest {
		all = append(all, r.manifest)
	}
	return all
}

// Refresh asks the store for new releases. What is known stays known when it does not answer; a release that can't be read
// is left out and told in the log.
func (s *Distributor) Refresh(ctx context.Context) error {
	all, err := s.options.Store.Packages(ctx)
	if err != nil {
		return err
	}
	for _, e := range all {
		s.mu.Lock()
		known := s.newest[e.Name].digest == e.Digest
		s.mu.Unlock()
		if known {
			continue
		}
		b, err := s.options.Store.Release(ctx, e.Name, e.Version)
		if err == nil && layer.Sum(b).String() != e.Digest {
			err = layer.ErrCorrupt
		}
		var refused *httpclient.StatusError
		if errors.As(err, &refused) || ctx.Err() != nil {
			return fmt.Errorf("release %s of %s: %w", e.Version, e.Name, err)
		}
		if err == nil {
			if err = s.addRelease(b); err == nil {
				err = s.persistRelease(e.Name, b)
			}
		}
		if err != nil {
			s.options.Log.Error("release left out", "package", e.Name, "version", e.Version, "err", err)
		}
	}
	return nil
}

func (s *Distributor) persistRelease(name string, b []byte) error {
	path := filepath.Join(s.releasesDir(), layer.Sum([]byte(name)).String()+".release") // a name may have any letters
	return renameio.WriteFile(path, b, 0o644)
}

// Install puts a release of a package, the newest or the one before that is not forgotten, into a folder that does not exist
// yet. It is built once; further copies are links to the same files.
func (s *Distributor) Install(ctx context.Context, name, version, folder string) (manifest.Package, error) {
	r, base, err := s.ensureBuilt(ctx, name, version)
	if err != nil {
		return manifest.Package{}, err
	}
	if err := linkFiles(r.Release, base, folder); err != nil {
		return manifest.Package{}, errors.Join(fmt.Errorf("bring %s version %s: %w", name, version, err), os.RemoveAll(folder))
	}
	return manifest.Open(folder)
}

// Prefetch has all of a release here, so that it can be brought whatever becomes of the store.
func (s *Distributor) Prefetch(ctx context.Context, name, version string) error {
	_, _, err := s.ensureBuilt(ctx, name, version)
	return err
}

// ensureBuilt builds a release, unless that is done, and says where.
func (s *Distributor) ensureBuilt(ctx context.Context, name, version string) (r release, base string, err error) {
	s.mu.Lock()
	r, known := s.newest[name]
	if !known || r.manifest.Version != version {
		r, known = s.previous[name]
	}
	s.mu.Unlock()
	if !known || r.manifest.Version != version {
		return r, "", fmt.Errorf("version %s of %s: %w", version, name, ErrUnknownRelease)
	}
	base = filepath.Join(s.buildsDir(), r.digest)
	for {
		s.mu.Lock()
		b := s.builds[r.digest]
		first := b == nil
		if first {
			b = &buildState{done: make(chan struct{})}
			s.builds[r.digest] = b
		}
		s.mu.Unlock()
		if first {
			if b.err = os.RemoveAll(base); b.err == nil { // what a refresh has left
				b.err = s.build(ctx, r, base)
			}
			s.mu.Lock()
			if b.err != nil {
				delete(s.builds, r.digest)
			}
			s.mu.Unlock()
			close(b.done)
		}
		select {
		case <-b.done:
		case <-ctx.Done():
			return r, "", fmt.Errorf("bring %s version %s: %w", name, version, context.Cause(ctx))
		}
		if b.err == nil {
			return r, base, nil
		}
		if first {
			return r, "", fmt.Errorf("bring %s version %s: %w", name, version, b.err)
		}
		// it failed for another load, whose time may just have been up
	}
}

// buildState is a release that is built, or is being built.
type buildState struct {
	done chan struct{}
	err  error
}

func (s *Distributor) buildsDir() string { return filepath.Join(s.options.Folder, "built") }

// linkFiles makes folder from the files of base.
func linkFiles(r layer.Release, base, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	names := []string{manifest.FileName}
	for _, l := range r.Layers {
		for _, f := range l.Files {
			names = append(names, f.Path)
		}
	}
	for _, n := range names {
		n = filepath.FromSlash(n)
		if filepath.Dir(n) != "." {
			if err := os.MkdirAll(filepath.Dir(filepath.Join(folder, n)), 0o755); err != nil {
				return err
			}
		}
		if err := os.Link(filepath.Join(base, n), filepath.Join(folder, n)); err != nil {
			return err
		}
	}
	return nil
}

// build fetches a release and builds it in a folder that does not exist yet.
func (s *Distributor) build(ctx context.Context, r release, folder string) error {
	chunks := r.Chunks()
	defer s.options.Cache.Pin(chunks)()
	contents := make(map[layer.Digest]chan []byte, len(chunks))
	for _, c := range chunks {
		contents[c.Digest] = make(chan []byte, 1)
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, s.options.MaxParallelChunks) + 1)
	g.Go(func() error { // files are written in order while later chunks still come
		last := map[layer.Digest][]byte{}
		_, err := layer.Build(r.Release, folder, func(ref layer.ChunkRef) ([]byte, error) {
			if b, is := last[ref.Digest]; is {
				return b, nil
			}
			select {
			case b := <-contents[ref.Digest]:
				last[ref.Digest] = b
				return b, nil
			case <-gctx.Done():
				return nil, context.Cause(gctx)
			}
		})
		return err
	})
	for _, c := range chunks {
		g.Go(func() error {
			b, _, err := s.getChunk(gctx, c.Digest)
			if err == nil {
				contents[c.Digest] <- b
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Join(err, os.RemoveAll(folder))
	}
	return nil
}

// getChunk gives a chunk's content and packed form, verified; whoever wants the same one at a time shares the search.
func (s *Distributor) getChunk(ctx context.Context, d layer.Digest) (content, packed []byte, err error) {
	if content, packed, ok := s.options.Cache.Get(d); ok {
		s.mu.Lock()
		s.stats.FromDisk++
		s.mu.Unlock()
		return content, packed, nil
	}
	f := s.startFetch(d)
	select {
	case <-f.done:
		return f.content, f.packed, f.err
	case <-ctx.Done():
		return nil, nil, context.Cause(ctx)
	}
}

// startFetch has a chunk looked for, unless it is already.
func (s *Distributor) startFetch(d layer.Digest) *chunkFetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.inFlight[d]; f != nil {
		return f
	}
	f := &chunkFetch{done: make(chan struct{})}
	if s.ctx.Err() != nil {
		f.err = s.ctx.Err()
		close(f.done)
		return f
	}
	s.inFlight[d] = f
	s.tasks.Go(func() {
		rare := false
		f.content, f.packed, rare, f.err = s.fetchChunk(d)
		close(f.done) // whoever waits goes on while it is written to disk
		if f.err == nil {
			s.options.Cache.Put(d, f.packed, cache.Rarity(rare))
		}
		s.mu.Lock()
		delete(s.inFlight, d)
		s.mu.Unlock()
	})
	return f
}

// fetchChunk carries out what a want decides until the chunk is here; rare says that it came from the store.
func (s *Distributor) fetchChunk(d layer.Digest) (content, packed []byte, rare bool, err error) {
	order, at := s.candidates(d)
	s.mu.Lock()
	s.peerHealth.Prune(func(name string) bool { return at[name] != "" })
	s.mu.Unlock()
	want := fetch.NewSearch(s.options.Name, order, s.elapsed(), s.options.ChunkTimeout)
	last := errors.New("nobody was asked")
	for attempt := fetch.FirstAttempt; ; {
		if s.ctx.Err() != nil { // what ends with it says nothing about those that were asked
			return nil, nil, false, s.ctx.Err()
		}
		now := s.elapsed()
		s.mu.Lock()
		step := want.Next(now, func(p string) bool { return s.peerHealth.Usable(now, p) }, rand.Float64())
		s.mu.Unlock()
		switch step.Action {
		case fetch.Abandon:
			s.mu.Lock()
			s.stats.TimedOut++
			s.mu.Unlock()
			return nil, nil, false, fmt.Errorf("chunk %.12s: given up after %v: %w", d, s.options.ChunkTimeout, last)
		case fetch.Pause:
			if !s.wait(step.Wait, nil) {
				return nil, nil, false, s.ctx.Err()
			}
		case fetch.FetchFromPeer:
			content, packed, err = s.fetchFromPeers(want, at, step, d)
			if err == nil {
				return content, packed, false, nil
			}
			last = err
		case fetch.FetchFromStore:
			s.mu.Lock()
			ok, after := s.storeGuard.Acquire(now, attempt)
			freed := s.storeRequestDone
			s.mu.Unlock()
			switch {
			case !ok && after > 0:
				want.RecordStoreFailure(now, after)
			case !ok:
				if !s.wait(s.options.ChunkTimeout/64, freed) {
					return nil, nil, false, s.ctx.Err()
				}
			default:
				content, packed, err = s.fetchFromStore(want, d)
				if err == nil {
					return content, packed, true, nil
				}
				last, attempt = err, fetch.Retry
			}
		}
	}
}

// candidates is a chunk's order of this worker and the listed ones, and where the listed ones are.
func (s *Distributor) candidates(d layer.Digest) (names []string, at map[string]string) {
	at = map[string]string{}
	names = []string{s.options.Name}
	for _, p := range s.options.Peers() {
		if p.Name != s.options.Name {
			at[p.Name] = p.Addr
			names = append(names, p.Name)
		}
	}
	return fetch.RendezvousOrder(d[:], names), at
}

// wait waits for d, or until wake is closed; false if the supplier ends.
func (s *Distributor) wait(d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-wake:
	case <-timer.C:
	}
	return true
}

func (s *Distributor) fetchFromStore(want *fetch.Search, d layer.Digest) (content, packed []byte, err error) {
	began := s.elapsed()
	ctx, stop := context.WithTimeout(s.ctx, s.options.ChunkTimeout/4)
	packed, err = s.options.Store.Chunk(ctx, d)
	stop()
	outcome, after := fetch.StoreSucceeded, time.Duration(0)
	var refused *httpclient.StatusError
	switch {
	case err == nil:
		if content, err = layer.Decompress(d, packed); err != nil {
			after = time.Second // the store's copy may be mended
		}
	case errors.As(err, &refused) && refused.StatusCode == http.StatusNotFound:
		after = s.options.ChunkTimeout / 8 // others may have it
	case errors.As(err, &refused) && refused.StatusCode == http.StatusTooManyRequests:
		outcome, after = fetch.StoreRejected, refused.RetryAfter
	case errors.As(err, &refused):
		outcome, after = fetch.StoreFailed, refused.RetryAfter
	default:
		outcome = fetch.StoreFailed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeGuard.Release(s.elapsed(), fetch.StoreResult{StartedAt: began, Outcome: outcome, RetryAfter: after}, rand.Float64())
	close(s.storeRequestDone)
	s.storeRequestDone = make(chan struct{})
	if err != nil {
		if errors.Is(err, layer.ErrCorrupt) {
			s.stats.CorruptFromStore++
			s.options.Log.Error("the store gave a corrupt chunk", "chunk", d, "err", err)
		}
		want.RecordStoreFailure(s.elapsed(), after)
		return nil, nil, err
	}
	s.stats.FromStore++
	s.stats.FetchedBytes += int64(len(packed))
	return content, packed, nil
}

// fetchFromPeers asks a peer and, when it is late, others besides. The first chunk that is what it should be ends it.
func (s *Distributor) fetchFromPeers(want *fetch.Search, at map[string]string, first fetch.Step, d layer.Digest) (content, packed []byte, err error) {
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	type answer struct {
		peer            string
		content, packed []byte
		err             error
	}
	answers := make(chan answer, len(at)) // none waits for it to be read
	under, late, since := 0, fetch.Step{}, time.Duration(0)
	send := func(step fetch.Step) {
		under++
		late, since = step, s.elapsed()
		s.tasks.Go(func() {
			c, p, err := s.fetchFromPeer(ctx, want, at[step.Peer], step, d)
			answers <- answer{step.Peer, c, p, err}
		})
	}
	send(first)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			if under--; a.err == nil {
				return a.content, a.packed, nil
			}
			if err = a.err; under == 0 {
				return nil, nil, err
			}
		case <-timer.C:
			now := s.elapsed()
			s.mu.Lock()
			step, ok, after := want.Hedge(now, late, since, func(p string) bool { return s.peerHealth.Usable(now, p) })
			if ok {
				s.stats.Hedged++
				s.peerHealth.Record(now, late.Peer, fetch.Failed) // others are better asked elsewhere for a while
			}
			s.mu.Unlock()
			if ok {
				send(step)
				after = time.Millisecond
			}
			timer.Reset(after)
		}
	}
}

func (s *Distributor) fetchFromPeer(ctx context.Context, want *fetch.Search, addr string, step fetch.Step, d layer.Digest) (content, packed []byte, err error) {
	limit, stop := context.WithTimeout(ctx, step.Wait+step.TransferTimeout)
	defer stop()
	said, packed, more, err := requestChunk(limit, s.client, addr, s.options.Name, d, step)
	if said == fetch.Delivered {
		if content, err = layer.Decompress(d, packed); err != nil {
			said = fetch.Corrupt
		}
	}
	now := s.elapsed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil && said == fetch.Failed {
		return nil, nil, ctx.Err() // another one was faster
	}
	s.peerHealth.Record(now, step.Peer, said)
	if said == fetch.Delivered {
		s.stats.FromPeers++
		s.stats.FetchedBytes += int64(len(packed))
		return content, packed, nil
	}
	if said == fetch.Corrupt {
		s.stats.CorruptFromPeers++
		s.options.Log.Error("a peer gave a corrupt chunk", "peer", step.Peer, "chunk", d, "err", err)
	}
	want.RecordPeerResponse(now, step.Peer, said, more.Replicas, more.retryAfter())
	if err == nil {
		err = fmt.Errorf("%s says %s", step.Peer, more.Status)
	}
	return nil, nil, err
}

// requestChunk asks a peer for a chunk.
func requestChunk(ctx context.Context, client *http.Client, addr, self string, d layer.Digest, step fetch.Step) (fetch.PeerResponse, []byte, peerReply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/chunks/"+d.String(), nil)
	if err != nil {
		return fetch.Failed, nil, peerReply{}, err
	}
	req.Header.Set(headerWorker, self)
	if step.CachedOnly {
		req.Header.Set(headerCachedOnly, "1")
	} else {
		req.Header.Set(headerWait, min(step.Wait, maxWait).String()) // a longer one would be refused
	}
	resp, err := client.Do(req)
	if err != nil {
		return fetch.Failed, nil, peerReply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, layer.MaxCompressedSize+1))
	if err != nil {
		return fetch.Failed, nil, peerReply{}, err
	}
	if resp.StatusCode == http.StatusOK {
		return fetch.Delivered, b, peerReply{}, nil
	}
	w, said, err := parsePeerReply(b)
	if err != nil {
		return fetch.Failed, nil, w, fmt.Errorf("status %s: %w", resp.Status, err)
	}
	return said, nil, w, nil
}
