// Package artifactstore is the store of function packages: chunks in files, releases in an embedded database, and an
// HTTP API to fetch and publish them. Fetches beyond a stated capacity are rejected with a Retry-After. A release
// becomes visible in one transaction, and no chunk that a release names is ever collected.
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

// formatVersion is the version of the database file.
const formatVersion = 1

var (
	releasesBucket = []byte("releases") // key NAME, zero byte, VERSION: the encoded release
	newestBucket   = []byte("newest")   // key NAME: VERSION
)

// FailPoint names a step of publishing at which a test can fail or kill the process.
type FailPoint string

// The fail points, in the order in which publishing passes them.
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
	GracePeriod time.Duration // how long a chunk that no release names is left before it is collected
	Log         *slog.Logger
	FailPoint   func(FailPoint) // called at each step of publishing, for tests; may be nil
}

// Store is an open artifact store. Its methods may be called by any goroutine.
type Store struct {
	options     Options
	db          *bolt.DB
	startedAt   time.Time
	rateLimiter *rate.Limiter // nil: no limit

	mu             sync.Mutex
	admission      *AdmissionController
	fetchesByChunk map[layer.Digest]int // fetches that were served
	counters       Stats                // those fields that are counted as requests come
	packageCache   []PackageInfo        // the newest releases; nil: not read since the last was published

	collectMu sync.RWMutex // held for writing while chunks are collected, for reading while they are stored or named
}

// ErrMissingChunks is returned for a release that names chunks that the store does not have. Its text is part of the
// HTTP API.
var ErrMissingChunks = errors.New("the release names chunks that are not there")

// Open opens a store's folder, or creates it. A folder that another process has open is an error.
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

// elapsed is the store's monotonic clock, as AdmissionController takes it.
func (s *Store) elapsed() time.Duration { return time.Since(s.startedAt) }

// Stop makes the store reject every fetch for a duration.
func (s *Store) Stop(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Stop(s.elapsed(), duration)
}

// SetRate changes the bytes a second that the store serves. It has no effect on a store that was opened without a
// limit.
func (s *Store) SetRate(bytesPerSecond float64) {
	if s.rateLimiter != nil && bytesPerSecond > 0 {
		s.rateLimiter.SetLimit(rate.Limit(bytesPerSecond))
	}
}
