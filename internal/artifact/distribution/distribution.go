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
	Name     string // of this worker
	Folder   string // its releases are kept there
	Store    artifactstore.Client
	Cache    *cache.Cache
	Peers    func() []Peer // listed workers that give chunks; this one may be among them. nil: none
	Capacity float64       // bytes a second of its network
	Part     float64       // of it that is given to others
	Slots    int           // chunks given at a time
	Patience time.Duration // for one chunk
	Parallel int           // chunks of a release looked for at a time
	Log      *slog.Logger
}

// Counts tell what a Supplier did in this life.
type Counts struct {
	FromDisk, FromPeers, FromStore int
	Bytes                          int64 // packed, from peers and the store
	CorruptPeers, CorruptStore     int   // chunks that were something else, and not used
	Given                          int   // to others
	Busy                           int   // turned away, as enough was given
	GivenUp                        int
	Hedged                         int // peers asked besides one that was late
}

// Supplier is one worker's. Its methods may be called by any goroutine.
type Supplier struct {
	o       Options
	started time.Time
	client  *http.Client
	ctx     context.Context // of fetches that others wait for
	stop    context.CancelFunc
	work    sync.WaitGroup

	mu       sync.Mutex
	busy     func() float64 // part of the worker's lanes that run
	guard    *fetch.Guard
	freed    chan struct{} // closed when a request to the store has ended
	peers    *fetch.Peers
	holders  *fetch.Holders
	uploads  *fetch.Uploads
	under    map[layer.Digest]*flight
	releases map[string]release // newest by name
	older    map[string]release // by name: the one before, until it is forgotten
	built    map[string]*built  // by the release's digest
	counts   Counts
}

type release struct {
	layer.Release
	manifest manifest.Manifest
	digest   string
}

type flight struct {
	done    chan struct{}
	content []byte
	packed  []byte
	err     error
}

const chunksRemembered = 10_000 // whose holders are told to others

// ErrUnknown says that no release of a package is known.
var ErrUnknown = errors.New("no such release is known")

// New makes a Supplier; it knows the releases that its folder has from an earlier life.
func New(o Options) (*Supplier, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	s := &Supplier{o: o, started: time.Now(), guard: fetch.NewGuard(), freed: make(chan struct{}), peers: fetch.NewPeers(),
		holders: fetch.NewHolders(chunksRemembered), uploads: fetch.NewUploads(o.Capacity, o.Part, o.Slots),
		under: map[layer.Digest]*flight{}, releases: map[string]release{}, older: map[string]release{}, built: map[string]*built{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxIdleConns: 256, IdleConnTimeout: 30 * time.Second}}}
	s.Follow(func() float64 { return 0 })
	s.ctx, s.stop = context.WithCancel(context.Background())
	if err := errors.Join(os.RemoveAll(s.builds()), os.MkdirAll(s.kept(), 0o755), os.MkdirAll(s.builds(), 0o755)); err != nil {
		return nil, fmt.Errorf("supply: %w", err)
	}
	files, err := filepath.Glob(filepath.Join(s.kept(), "*.release"))
	if err != nil {
		return nil, fmt.Errorf("supply: %w", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err == nil {
			err = s.learn(b)
		}
		if err != nil {
			o.Log.Warn("a kept release is not used", "file", f, "err", err)
		}
	}
	return s, nil
}

// Close ends what is under way.
func (s *Supplier) Close() {
	s.stop()
	s.work.Wait()
	s.client.CloseIdleConnections()
}

// Follow has what is given to others depend on how busy the worker is: busy is the part of its lanes that run.
func (s *Supplier) Follow(busy func() float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *Supplier) now() time.Duration { return time.Since(s.started) }

func (s *Supplier) kept() string { return filepath.Join(s.o.Folder, "releases") }

// Counts tells what it did.
func (s *Supplier) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// learn takes a release as the newest of its package.
func (s *Supplier) learn(encoded []byte) error {
	r, err := layer.Decode(encoded)
	if err != nil {
		return err
	}
	m, err := r.Package()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.releases[m.Name]
	s.releases[m.Name] = release{r, m, layer.Sum(encoded).String()}
	if _, is := s.older[m.Name]; known && !is { // the one that is in use; releases between it and the newest are skipped
		s.older[m.Name] = old
	}
	return nil
}

// Forget says that a package's release before the newest is not brought any more: the newest has taken its place.
func (s *Supplier) Forget(name string) error {
	s.mu.Lock()
	old, is := s.older[name]
	delete(s.older, name)
	b := s.built[old.digest]
	if !is || b == nil || old.digest == s.releases[name].digest {
		s.mu.Unlock()
		return nil
	}
	select {
	case <-b.done:
	default: // a load goes on with it; its files are removed at the next start
		s.mu.Unlock()
		return nil
	}
	delete(s.built, old.digest)
	base := filepath.Join(s.builds(), old.digest)
	gone := base + ".gone" // so that the same release can be built again while this is removed
	err := os.Rename(base, gone)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return os.RemoveAll(gone) // copies have links of their own
}

// Packages are the manifests of the newest known releases.
func (s *Supplier) Packages() []manifest.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []manifest.Manifest
	for _, r := range s.releases {
		all = append(all, r.manifest)
	}
	return all
}

// Refresh asks the store for new releases. What is known stays known when it does not answer; a release that can't be read
// is left out and told in the log.
func (s *Supplier) Refresh(ctx context.Context) error {
	all, err := s.o.Store.Packages(ctx)
	if err != nil {
		return err
	}
	for _, e := range all {
		s.mu.Lock()
		known := s.releases[e.Name].digest == e.Digest
		s.mu.Unlock()
		if known {
			continue
		}
		b, err := s.o.Store.Release(ctx, e.Name, e.Version)
		if err == nil && layer.Sum(b).String() != e.Digest {
			err = layer.ErrCorrupt
		}
		var refused *httpclient.Refused
		if errors.As(err, &refused) || ctx.Err() != nil {
			return fmt.Errorf("release %s of %s: %w", e.Version, e.Name, err)
		}
		if err == nil {
			if err = s.learn(b); err == nil {
				err = s.keep(e.Name, b)
			}
		}
		if err != nil {
			s.o.Log.Error("release left out", "package", e.Name, "version", e.Version, "err", err)
		}
	}
	return nil
}

func (s *Supplier) keep(name string, b []byte) error {
	path := filepath.Join(s.kept(), layer.Sum([]byte(name)).String()+".release") // a name may have any letters
	return renameio.WriteFile(path, b, 0o644)
}

// Bring puts a release of a package, the newest or the one before that is not forgotten, into a folder that does not exist
// yet. It is built once; further copies are links to the same files.
func (s *Supplier) Bring(ctx context.Context, name, version, folder string) (manifest.Package, error) {
	r, base, err := s.ready(ctx, name, version)
	if err != nil {
		return manifest.Package{}, err
	}
	if err := links(r.Release, base, folder); err != nil {
		return manifest.Package{}, errors.Join(fmt.Errorf("bring %s version %s: %w", name, version, err), os.RemoveAll(folder))
	}
	return manifest.Open(folder)
}

// Prepare has all of a release here, so that it can be brought whatever becomes of the store.
func (s *Supplier) Prepare(ctx context.Context, name, version string) error {
	_, _, err := s.ready(ctx, name, version)
	return err
}

// ready builds a release, unless that is done, and says where.
func (s *Supplier) ready(ctx context.Context, name, version string) (r release, base string, err error) {
	s.mu.Lock()
	r, known := s.releases[name]
	if !known || r.manifest.Version != version {
		r, known = s.older[name]
	}
	s.mu.Unlock()
	if !known || r.manifest.Version != version {
		return r, "", fmt.Errorf("version %s of %s: %w", version, name, ErrUnknown)
	}
	base = filepath.Join(s.builds(), r.digest)
	for {
		s.mu.Lock()
		b := s.built[r.digest]
		first := b == nil
		if first {
			b = &built{done: make(chan struct{})}
			s.built[r.digest] = b
		}
		s.mu.Unlock()
		if first {
			if b.err = os.RemoveAll(base); b.err == nil { // what a refresh has left
				b.err = s.build(ctx, r, base)
			}
			s.mu.Lock()
			if b.err != nil {
				delete(s.built, r.digest)
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

// built is a release that is built, or is being built.
type built struct {
	done chan struct{}
	err  error
}

func (s *Supplier) builds() string { return filepath.Join(s.o.Folder, "built") }

// links makes folder from the files of base.
func links(r layer.Release, base, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	names := []string{manifest.File}
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
func (s *Supplier) build(ctx context.Context, r release, folder string) error {
	chunks := r.Chunks()
	defer s.o.Cache.Pin(chunks)()
	contents := make(map[layer.Digest]chan []byte, len(chunks))
	for _, c := range chunks {
		contents[c.Digest] = make(chan []byte, 1)
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, s.o.Parallel) + 1)
	g.Go(func() error { // files are written in order while later chunks still come
		last := map[layer.Digest][]byte{}
		_, err := layer.Build(r.Release, folder, func(ref layer.Ref) ([]byte, error) {
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
			b, _, err := s.chunk(gctx, c.Digest)
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

// chunk gives a chunk's content and packed form, verified; whoever wants the same one at a time shares the search.
func (s *Supplier) chunk(ctx context.Context, d layer.Digest) (content, packed []byte, err error) {
	if content, packed, ok := s.o.Cache.Get(d); ok {
		s.mu.Lock()
		s.counts.FromDisk++
		s.mu.Unlock()
		return content, packed, nil
	}
	f := s.begin(d)
	select {
	case <-f.done:
		return f.content, f.packed, f.err
	case <-ctx.Done():
		return nil, nil, context.Cause(ctx)
	}
}

// begin has a chunk looked for, unless it is already.
func (s *Supplier) begin(d layer.Digest) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.under[d]; f != nil {
		return f
	}
	f := &flight{done: make(chan struct{})}
	if s.ctx.Err() != nil {
		f.err = s.ctx.Err()
		close(f.done)
		return f
	}
	s.under[d] = f
	s.work.Go(func() {
		rare := false
		f.content, f.packed, rare, f.err = s.look(d)
		close(f.done) // whoever waits goes on while it is written to disk
		if f.err == nil {
			s.o.Cache.Put(d, f.packed, rare)
		}
		s.mu.Lock()
		delete(s.under, d)
		s.mu.Unlock()
	})
	return f
}

// look carries out what a want decides until the chunk is here; rare says that it came from the store.
func (s *Supplier) look(d layer.Digest) (content, packed []byte, rare bool, err error) {
	order, at := s.order(d)
	s.mu.Lock()
	s.peers.Keep(func(name string) bool { return at[name] != "" })
	s.mu.Unlock()
	want := fetch.NewWant(s.o.Name, order, s.now(), s.o.Patience)
	last := errors.New("nobody was asked")
	for repeat := false; ; {
		if s.ctx.Err() != nil { // what ends with it says nothing about those that were asked
			return nil, nil, false, s.ctx.Err()
		}
		now := s.now()
		s.mu.Lock()
		step := want.Next(now, func(p string) bool { return s.peers.Trusted(now, p) }, rand.Float64())
		s.mu.Unlock()
		switch step.Do {
		case fetch.GiveUp:
			s.mu.Lock()
			s.counts.GivenUp++
			s.mu.Unlock()
			return nil, nil, false, fmt.Errorf("chunk %.12s: given up after %v: %w", d, s.o.Patience, last)
		case fetch.Pause:
			if !s.sleep(step.Wait, nil) {
				return nil, nil, false, s.ctx.Err()
			}
		case fetch.AskPeer:
			content, packed, err = s.askPeers(want, at, step, d)
			if err == nil {
				return content, packed, false, nil
			}
			last = err
		case fetch.AskStore:
			s.mu.Lock()
			ok, after := s.guard.Ask(now, repeat)
			freed := s.freed
			s.mu.Unlock()
			switch {
			case !ok && after > 0:
				want.Store(now, after)
			case !ok:
				if !s.sleep(s.o.Patience/64, freed) {
					return nil, nil, false, s.ctx.Err()
				}
			default:
				content, packed, err = s.askStore(want, d)
				if err == nil {
					return content, packed, true, nil
				}
				last, repeat = err, true
			}
		}
	}
}

// order is a chunk's order of this worker and the listed ones, and where the listed ones are.
func (s *Supplier) order(d layer.Digest) (names []string, at map[string]string) {
	at = map[string]string{}
	names = []string{s.o.Name}
	for _, p := range s.o.Peers() {
		if p.Name != s.o.Name {
			at[p.Name] = p.Addr
			names = append(names, p.Name)
		}
	}
	return fetch.Order(d[:], names), at
}

// sleep waits for d, or until wake is closed; false if the supplier ends.
func (s *Supplier) sleep(d time.Duration, wake <-chan struct{}) bool {
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

func (s *Supplier) askStore(want *fetch.Want, d layer.Digest) (content, packed []byte, err error) {
	began := s.now()
	ctx, stop := context.WithTimeout(s.ctx, s.o.Patience/4)
	packed, err = s.o.Store.Chunk(ctx, d)
	stop()
	outcome, after := fetch.Good, time.Duration(0)
	var refused *httpclient.Refused
	switch {
	case err == nil:
		if content, err = layer.Unpack(d, packed); err != nil {
			after = time.Second // the store's copy may be mended
		}
	case errors.As(err, &refused) && refused.Status == http.StatusNotFound:
		after = s.o.Patience / 8 // others may have it
	case errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests:
		outcome, after = fetch.TurnedAway, refused.After
	case errors.As(err, &refused):
		outcome, after = fetch.Broken, refused.After
	default:
		outcome = fetch.Broken
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Ended(s.now(), began, outcome, after, rand.Float64())
	close(s.freed)
	s.freed = make(chan struct{})
	if err != nil {
		if errors.Is(err, layer.ErrCorrupt) {
			s.counts.CorruptStore++
			s.o.Log.Error("the store gave a corrupt chunk", "chunk", d, "err", err)
		}
		want.Store(s.now(), after)
		return nil, nil, err
	}
	s.counts.FromStore++
	s.counts.Bytes += int64(len(packed))
	return content, packed, nil
}

// askPeers asks a peer and, when it is late, others besides. The first chunk that is what it should be ends it.
func (s *Supplier) askPeers(want *fetch.Want, at map[string]string, first fetch.Step, d layer.Digest) (content, packed []byte, err error) {
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
		late, since = step, s.now()
		s.work.Go(func() {
			c, p, err := s.askPeer(ctx, want, at[step.Peer], step, d)
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
			now := s.now()
			s.mu.Lock()
			step, ok, after := want.Hedge(now, late, since, func(p string) bool { return s.peers.Trusted(now, p) })
			if ok {
				s.counts.Hedged++
				s.peers.Heard(now, late.Peer, fetch.Failed) // others are better asked elsewhere for a while
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

func (s *Supplier) askPeer(ctx context.Context, want *fetch.Want, addr string, step fetch.Step, d layer.Digest) (content, packed []byte, err error) {
	limit, stop := context.WithTimeout(ctx, step.Wait+step.Send)
	defer stop()
	said, packed, more, err := askChunk(limit, s.client, addr, s.o.Name, d, step)
	if said == fetch.Gave {
		if content, err = layer.Unpack(d, packed); err != nil {
			said = fetch.Corrupt
		}
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil && said == fetch.Failed {
		return nil, nil, ctx.Err() // another one was faster
	}
	s.peers.Heard(now, step.Peer, said)
	if said == fetch.Gave {
		s.counts.FromPeers++
		s.counts.Bytes += int64(len(packed))
		return content, packed, nil
	}
	if said == fetch.Corrupt {
		s.counts.CorruptPeers++
		s.o.Log.Error("a peer gave a corrupt chunk", "peer", step.Peer, "chunk", d, "err", err)
	}
	want.Heard(now, step.Peer, said, more.Holders, more.after())
	if err == nil {
		err = fmt.Errorf("%s says %s", step.Peer, more.Said)
	}
	return nil, nil, err
}

// askChunk asks a peer for a chunk.
func askChunk(ctx context.Context, client *http.Client, addr, self string, d layer.Digest, step fetch.Step) (fetch.Said, []byte, word, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/chunks/"+d.String(), nil)
	if err != nil {
		return fetch.Failed, nil, word{}, err
	}
	req.Header.Set(headerAsker, self)
	if step.Held {
		req.Header.Set(headerHeld, "1")
	} else {
		req.Header.Set(headerWait, min(step.Wait, mostWait).String()) // a longer one would be refused
	}
	resp, err := client.Do(req)
	if err != nil {
		return fetch.Failed, nil, word{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, layer.MaxPacked+1))
	if err != nil {
		return fetch.Failed, nil, word{}, err
	}
	if resp.StatusCode == http.StatusOK {
		return fetch.Gave, b, word{}, nil
	}
	w, said, err := readWord(b)
	if err != nil {
		return fetch.Failed, nil, w, fmt.Errorf("status %s: %w", resp.Status, err)
	}
	return said, nil, w, nil
}
