// Package artifactstore implements the store of function packages. It keeps chunks in files and releases in an embedded
// database, and provides an HTTP API to fetch and publish them. Fetches beyond the configured capacity are rejected
// with a Retry-After. A release becomes visible in one transaction, and garbage collection never removes a chunk that a
// release references.
package artifactstore

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"
	"golang.org/x/time/rate"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/durable"
)

// formatVersion is the format version of the database file.
const formatVersion = 1

var (
	releasesBucket = []byte("releases") // maps NAME, a zero byte and VERSION to the encoded release
	newestBucket   = []byte("newest")   // maps NAME to the VERSION of the newest release
)

// FailPoint identifies a step of publishing at which a test can make it fail or kill the process.
type FailPoint string

// The fail points, in the order in which publishing reaches them.
const (
	FailPointChunkWritten FailPoint = "chunk"   // a chunk's temporary file is written
	FailPointChunkRenamed FailPoint = "named"   // the chunk has its final name
	FailPointBeforeCommit FailPoint = "release" // the release's transaction is about to begin
	FailPointAfterCommit  FailPoint = "written" // the release's transaction is committed
)

// Options configures a Store.
type Options struct {
	Folder      string
	Capacity    Capacity
	GracePeriod time.Duration // time since its last upload or POST /v1/missing for which an unreferenced chunk is kept
	Log         *slog.Logger
	FailPoint   func(FailPoint) // for tests: called at each fail point; may be nil
}

// Store is an open artifact store. Its methods are safe for concurrent use.
type Store struct {
	options     Options
	db          *bolt.DB
	startedAt   time.Time
	rateLimiter *rate.Limiter // nil: no limit

	mu             sync.Mutex
	admission      *AdmissionController
	fetchesByChunk map[layer.Digest]int // number of fetches served for each chunk
	counters       Stats                // without the fields that Stats derives from other state
	packageCache   []PackageInfo        // newest release of each package; nil: not read since the last publish

	// collectMu is held for writing during garbage collection, and for reading while chunks are stored or a release that
	// references them is published.
	collectMu sync.RWMutex
}

// ErrMissingChunks is returned for a release that references chunks that the store does not have. Its text is part of
// the HTTP API.
var ErrMissingChunks = errors.New("the release names chunks that are not there")

// Open opens the store in options.Folder and creates the folder if necessary. It fails if another process has the store
// open.
func Open(options Options) (*Store, error) {
	if options.FailPoint == nil {
		options.FailPoint = func(FailPoint) {}
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if err := os.MkdirAll(filepath.Join(options.Folder, "chunks"), 0o755); err != nil {
		return nil, fmt.Errorf("open artifact store: %w", err)
	}
	path := filepath.Join(options.Folder, "releases.bolt")
	db, err := durable.Open(path, formatVersion, releasesBucket, newestBucket)
	if err != nil {
		return nil, fmt.Errorf("open artifact store: %w", err)
	}
	s := &Store{
		options:        options,
		db:             db,
		startedAt:      time.Now(),
		admission:      NewAdmissionController(options.Capacity),
		fetchesByChunk: map[layer.Digest]int{},
	}
	if perSecond := options.Capacity.BytesPerSecond; perSecond > 0 {
		s.rateLimiter = rate.NewLimiter(rate.Limit(perSecond), layer.MaxCompressedSize)
	}
	return s, nil
}

// Close closes the store's database.
func (s *Store) Close() error { return s.db.Close() }

// elapsed returns the monotonic time since the store was opened. It is the clock of the AdmissionController.
func (s *Store) elapsed() time.Duration { return time.Since(s.startedAt) }

// Stop makes the store reject all fetches for a duration.
func (s *Store) Stop(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Stop(s.elapsed(), duration)
}

// SetRate changes the maximum rate, in bytes per second, at which the store serves chunks. It has no effect on a store
// that was opened without a rate limit.
func (s *Store) SetRate(bytesPerSecond float64) {
	if s.rateLimiter != nil && bytesPerSecond > 0 {
		s.rateLimiter.SetLimit(rate.Limit(bytesPerSecond))
	}
}
