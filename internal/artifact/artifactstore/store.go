// Package artifactstore is the store of packages: chunks in files, releases in an embedded database, HTTP to fetch and publish, and
// a stated capacity past which fetches are turned away. A release is there whole or not at all, and no chunk that one names
// is ever collected.
package artifactstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"
	"golang.org/x/time/rate"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/durable"
	"lupinpond/internal/base/httpserver"
)

const formatVersion = 1

var (
	releasesBucket = []byte("releases") // NAME, 0, VERSION: the encoded release
	newestBucket   = []byte("newest")   // NAME: VERSION
)

// Options of a Store.
type Options struct {
	Folder      string
	Capacity    Capacity
	GracePeriod time.Duration // a chunk that no release names is collected after it
	Log         *slog.Logger
	FailPoint   func(point string) // called at each step of publishing, for tests; may be nil
}

// Steps of publishing, as fail points name them.
const (
	FailPointChunkWritten = "chunk"   // a chunk is written, not named yet
	FailPointChunkRenamed = "named"   // it has its name
	FailPointBeforeCommit = "release" // the release is about to be written
	FailPointAfterCommit  = "written" // it is
)

// Store is a store that is open.
type Store struct {
	options     Options
	db          *bolt.DB
	startedAt   time.Time
	rateLimiter *rate.Limiter

	mu             sync.Mutex
	admission      *AdmissionController
	fetchesByChunk map[layer.Digest]int // fetches that were served
	counters       Stats
	packageCache   []PackageInfo // the newest releases; nil: not read since one was published

	collectMu sync.RWMutex // held for writing while chunks are collected
}

// Stats tell what a store did in this life.
type Stats struct {
	Served               int   `json:"served"` // fetches of chunks
	Bytes                int64 `json:"bytes"`  // of them
	Rejected             int   `json:"turned-away"`
	RejectedWhileStopped int   `json:"stopped"` // fetches that found it stopped
	Stops                int   `json:"stops"`
	MaxFetchesPerChunk   int   `json:"most"` // fetches of the chunk that was fetched most
	DistinctChunks       int   `json:"chunks"`
}

// PackageInfo is a package as the list of packages tells it.
type PackageInfo struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Digest  string `json:"digest"` // of the release
}

// ErrMissingChunks says that a release names chunks that the store does not have.
var ErrMissingChunks = errors.New("the release names chunks that are not there")

// Open opens or makes a store's folder. Another process that has it open is an error.
func Open(o Options) (*Store, error) {
	if o.FailPoint == nil {
		o.FailPoint = func(string) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if err := os.MkdirAll(filepath.Join(o.Folder, "chunks"), 0o755); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db, err := durable.Open(filepath.Join(o.Folder, "releases.bolt"), formatVersion, releasesBucket, newestBucket)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{options: o, db: db, startedAt: time.Now(), admission: NewAdmissionController(o.Capacity), fetchesByChunk: map[layer.Digest]int{}}
	if o.Capacity.BytesPerSecond > 0 {
		s.rateLimiter = rate.NewLimiter(rate.Limit(o.Capacity.BytesPerSecond), layer.MaxCompressedSize)
	}
	return s, nil
}

// Close closes it.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) elapsed() time.Duration { return time.Since(s.startedAt) }

// Stop has it turn everything away for so long.
func (s *Store) Stop(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Stop(s.elapsed(), d)
}

// SetRate has it give so many bytes a second from now on; it does nothing to a store without a rate.
func (s *Store) SetRate(bytes float64) {
	if s.rateLimiter != nil && bytes > 0 {
		s.rateLimiter.SetLimit(rate.Limit(bytes))
	}
}

// Stats tells what it did.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Stops, c.DistinctChunks = s.admission.Stops(), len(s.fetchesByChunk)
	for _, n := range s.fetchesByChunk {
		c.MaxFetchesPerChunk = max(c.MaxFetchesPerChunk, n)
	}
	return c
}

func (s *Store) chunkPath(d layer.Digest) string {
	return filepath.Join(s.options.Folder, "chunks", d.String()[:2], d.String())
}

// PutChunk keeps a chunk; it is durable when it returns.
func (s *Store) PutChunk(d layer.Digest, packed []byte) error {
	if _, err := layer.Decompress(d, packed); err != nil {
		return err
	}
	s.collectMu.RLock()
	defer s.collectMu.RUnlock()
	path := s.chunkPath(d)
	if err := os.Chtimes(path, time.Time{}, time.Now()); err == nil {
		return nil // there, and not to be collected soon
	}
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	tmp, err := os.CreateTemp(dir, ".new-*")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = tmp.Write(packed)
	if err == nil {
		err = tmp.Sync()
	}
	s.options.FailPoint(FailPointChunkWritten)
	if err = errors.Join(err, tmp.Close()); err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("store: chunk %.12s: %w", d, err), os.Remove(tmp.Name()))
	}
	s.options.FailPoint(FailPointChunkRenamed)
	return durable.SyncDir(dir)
}

// MissingChunks are those of the chunks that the store does not have. Those that it has are not collected within the grace.
func (s *Store) MissingChunks(all []layer.Digest) (missing []layer.Digest) {
	s.collectMu.RLock()
	defer s.collectMu.RUnlock()
	for _, d := range all {
		if os.Chtimes(s.chunkPath(d), time.Time{}, time.Now()) != nil {
			missing = append(missing, d)
		}
	}
	return missing
}

func releaseKey(name, version string) []byte { return []byte(name + "\x00" + version) }

// Publish makes a release the newest of its package, in one transaction. A version that is there already may only be
// published again as it is.
func (s *Store) Publish(encoded []byte) (PackageInfo, error) {
	r, err := layer.Decode(encoded)
	if err != nil {
		return PackageInfo{}, err
	}
	m, err := r.ParseManifest()
	if err != nil {
		return PackageInfo{}, err
	}
	s.collectMu.RLock()
	defer s.collectMu.RUnlock()
	var refs []layer.Digest
	for _, c := range r.Chunks() {
		refs = append(refs, c.Digest)
	}
	for _, d := range refs {
		if _, err := os.Stat(s.chunkPath(d)); err != nil {
			return PackageInfo{}, fmt.Errorf("%w: chunk %.12s: %w", ErrMissingChunks, d, err)
		}
	}
	if strings.ContainsRune(m.Name+m.Version, 0) {
		return PackageInfo{}, errors.New("store: a name or version with a zero byte")
	}
	s.options.FailPoint(FailPointBeforeCommit)
	err = s.db.Update(func(tx *bolt.Tx) error {
		key := releaseKey(m.Name, m.Version)
		if old := tx.Bucket(releasesBucket).Get(key); old != nil && !bytes.Equal(old, encoded) {
			return fmt.Errorf("version %s of %s is published already with other content", m.Version, m.Name)
		}
		if err := tx.Bucket(releasesBucket).Put(key, encoded); err != nil {
			return err
		}
		return tx.Bucket(newestBucket).Put([]byte(m.Name), []byte(m.Version))
	})
	if err != nil {
		return PackageInfo{}, fmt.Errorf("store: %w", err)
	}
	s.mu.Lock()
	s.packageCache = nil
	s.mu.Unlock()
	s.options.FailPoint(FailPointAfterCommit)
	return PackageInfo{m.Name, m.Version, layer.Sum(encoded).String()}, nil
}

// Withdraw takes a version away. The newest can't be.
func (s *Store) Withdraw(name, version string) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		if string(tx.Bucket(newestBucket).Get([]byte(name))) == version {
			return fmt.Errorf("store: %s is the newest version of %s: publish another one first", version, name)
		}
		if tx.Bucket(releasesBucket).Get(releaseKey(name, version)) == nil {
			return fmt.Errorf("store: no version %s of %s: %w", version, name, fs.ErrNotExist)
		}
		return tx.Bucket(releasesBucket).Delete(releaseKey(name, version))
	})
}

// Release is an encoded release; version "" is the newest. fs.ErrNotExist: there is none.
func (s *Store) Release(name, version string) (encoded []byte, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if version == "" {
			version = string(tx.Bucket(newestBucket).Get([]byte(name)))
		}
		v := tx.Bucket(releasesBucket).Get(releaseKey(name, version))
		if v == nil {
			return fmt.Errorf("store: no release %q of %q: %w", version, name, fs.ErrNotExist)
		}
		encoded = bytes.Clone(v)
		return nil
	})
	return encoded, err
}

// Packages are the newest releases. Every worker asks for them again and again: they are read once for each that is published.
func (s *Store) Packages() ([]PackageInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packageCache != nil {
		return s.packageCache, nil
	}
	all := []PackageInfo{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(newestBucket).ForEach(func(name, version []byte) error {
			v := tx.Bucket(releasesBucket).Get(releaseKey(string(name), string(version)))
			all = append(all, PackageInfo{string(name), string(version), layer.Sum(v).String()})
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	s.packageCache = all
	return all, nil
}

// CollectGarbage removes chunks that no release names and that nobody has written or asked about within the grace, and what a kill
// has left half written. It answers how many.
func (s *Store) CollectGarbage() (n int, err error) {
	s.collectMu.Lock()
	defer s.collectMu.Unlock()
	named := map[string]bool{}
	err = s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(releasesBucket).ForEach(func(k, v []byte) error {
			r, err := layer.Decode(v)
			if err != nil {
				return fmt.Errorf("%q: %w", k, err) // nothing is collected while a release can't be read
			}
			for _, c := range r.Chunks() {
				named[c.Digest.String()] = true
			}
			return nil
		})
	})
	if err != nil {
		return 0, fmt.Errorf("store: collect: %w", err)
	}
	old := time.Now().Add(-s.options.GracePeriod)
	err = filepath.WalkDir(filepath.Join(s.options.Folder, "chunks"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || named[d.Name()] {
			return err
		}
		st, err := d.Info()
		if err != nil || st.ModTime().After(old) {
			return err
		}
		n++
		return os.Remove(path)
	})
	return n, err
}

// Handler serves fetches under /v1/: packages, packages/NAME, packages/NAME/VERSION, chunks/DIGEST, counts; and, if publish
// is on, what publishing needs.
func (s *Store) Handler(publish bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/packages", s.withAdmission(func(w http.ResponseWriter, r *http.Request) {
		all, err := s.Packages()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		body, err := json.Marshal(all)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		serveContent(w, r, layer.Sum(body), body)
	}))
	release := s.withAdmission(func(w http.ResponseWriter, r *http.Request) {
		b, err := s.Release(r.PathValue("name"), r.PathValue("version"))
		if errors.Is(err, fs.ErrNotExist) {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		serveContent(w, r, layer.Sum(b), b)
	})
	mux.HandleFunc("GET /v1/packages/{name}", release)
	mux.HandleFunc("GET /v1/packages/{name}/{version}", release)
	mux.HandleFunc("GET /v1/chunks/{digest}", s.withAdmission(s.serveChunk))
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	if publish {
		s.registerPublishRoutes(mux)
	}
	return mux
}

// serveContent answers b or a part of it, or that it has not changed.
func serveContent(w http.ResponseWriter, r *http.Request, d layer.Digest, b []byte) {
	w.Header().Set("ETag", `"`+d.String()+`"`)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(b))
}

// withAdmission lets a request in as far as the capacity goes.
func (s *Store) withAdmission(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		v, after := s.admission.Admit(s.elapsed())
		switch v {
		case Rejected:
			s.counters.Rejected++
		case Stopped:
			s.counters.RejectedWhileStopped++
		}
		s.mu.Unlock()
		if v != Admitted {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
			if v == Stopped {
				http.Error(w, "the store has stopped", http.StatusServiceUnavailable)
			} else {
				http.Error(w, "too many fetches at a time", http.StatusTooManyRequests)
			}
			return
		}
		defer func() {
			s.mu.Lock()
			s.admission.Done()
			s.mu.Unlock()
		}()
		f(w, r)
	}
}

func (s *Store) serveChunk(w http.ResponseWriter, r *http.Request) {
	d, err := layer.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := os.ReadFile(s.chunkPath(d))
	if err != nil {
		status := http.StatusInternalServerError
		if errors.Is(err, fs.ErrNotExist) {
			status = http.StatusNotFound
		}
		http.Error(w, fmt.Sprintf("chunk %s is not here", d), status)
		return
	}
	if s.rateLimiter != nil {
		if err := s.rateLimiter.WaitN(r.Context(), min(len(b), layer.MaxCompressedSize)); err != nil {
			return // the asker is gone
		}
	}
	s.mu.Lock()
	s.fetchesByChunk[d]++
	s.counters.Served++
	s.counters.Bytes += int64(len(b))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/zstd")
	serveContent(w, r, d, b)
}

func (s *Store) registerPublishRoutes(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/chunks/{digest}", func(w http.ResponseWriter, r *http.Request) {
		d, err := layer.ParseDigest(r.PathValue("digest"))
		var b []byte
		if err == nil {
			b, err = io.ReadAll(http.MaxBytesReader(w, r.Body, layer.MaxCompressedSize))
		}
		if err == nil {
			err = s.PutChunk(d, b)
		}
		writeStatus(w, err)
	})
	mux.HandleFunc("POST /v1/missing", func(w http.ResponseWriter, r *http.Request) {
		var names []string
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, layer.MaxReleaseSize)).Decode(&names)
		var all []layer.Digest
		for _, n := range names {
			d, perr := layer.ParseDigest(n)
			err = errors.Join(err, perr)
			all = append(all, d)
		}
		if err != nil {
			writeStatus(w, err)
			return
		}
		missing := []string{}
		for _, d := range s.MissingChunks(all) {
			missing = append(missing, d.String())
		}
		writeJSON(w, missing)
	})
	mux.HandleFunc("POST /v1/releases", func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, layer.MaxReleaseSize))
		var e PackageInfo
		if err == nil {
			e, err = s.Publish(b)
		}
		if err != nil {
			writeStatus(w, err)
			return
		}
		s.options.Log.Info("published", "package", e.Name, "version", e.Version, "digest", e.Digest)
		writeJSON(w, e)
	})
	mux.HandleFunc("DELETE /v1/packages/{name}/{version}", func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, s.Withdraw(r.PathValue("name"), r.PathValue("version")))
	})
	mux.HandleFunc("POST /v1/stop", func(w http.ResponseWriter, r *http.Request) {
		d, err := time.ParseDuration(r.URL.Query().Get("for"))
		if err == nil && d <= 0 {
			err = errors.New("for: a duration above 0")
		}
		if err == nil {
			s.Stop(d)
		}
		writeStatus(w, err)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the asker is gone
}

func writeStatus(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrMissingChunks):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, fs.ErrNotExist):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// RunGarbageCollector collects every so often until ctx ends.
func (s *Store) RunGarbageCollector(ctx context.Context, every time.Duration) error {
	return httpserver.RunPeriodically(ctx, every, func() error {
		if n, err := s.CollectGarbage(); err != nil {
			s.options.Log.Error("nothing collected", "err", err)
		} else if n > 0 {
			s.options.Log.Info("collected", "chunks", n)
		}
		return nil
	})
}
