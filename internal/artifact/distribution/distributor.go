// Package distribution installs packages on a worker and distributes their chunks between workers. A Distributor reads
// each chunk from its disk cache, or fetches it from another worker or from the artifact store as decided by
// internal/artifact/fetch. It also serves chunks to other workers.
package distribution

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
)

const (
	// maxTrackedChunks is the maximum number of chunks for which a Distributor tracks the workers that have them.
	maxTrackedChunks = 10_000

	// maxIdleConns and maxIdleConnsPerPeer limit the idle connections to other workers. idleConnTimeout is the time after
	// which an idle connection is closed.
	maxIdleConns        = 256
	maxIdleConnsPerPeer = 4
	idleConnTimeout     = 30 * time.Second
)

// Peer is another worker that serves chunks.
type Peer struct{ Name, Addr string }

// Options configures a Distributor.
type Options struct {
	Name                  string // name of this worker
	Folder                string // folder for releases and built packages
	Store                 artifactstore.Client
	Cache                 *cache.Cache
	Peers                 func() []Peer // returns the listed workers that serve chunks, possibly with this one; nil: none
	NetworkBytesPerSecond float64       // capacity of the worker's network in bytes per second
	UploadShare           float64       // share of the network capacity that uploads to other workers may use
	MaxUploads            int           // maximum number of concurrent uploads to other workers
	ChunkTimeout          time.Duration // time after which the search for a chunk is abandoned
	MaxParallelChunks     int           // maximum number of chunks of a release that are searched for concurrently
	Log                   *slog.Logger
}

// Distributor fetches, builds and serves one worker's packages. Its methods are safe for concurrent use.
type Distributor struct {
	options   Options
	startedAt time.Time
	client    *http.Client    // client for requests to other workers
	ctx       context.Context // context of searches, which outlive the callers that wait for them
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu               sync.Mutex
	utilization      func() float64 // returns the share of the worker's concurrency slots in use, between 0 and 1
	storeGuard       *fetch.StoreGuard
	storeRequestDone chan struct{} // closed and replaced when a request to the store has completed
	peerHealth       *fetch.PeerHealth
	replicas         *fetch.ReplicaTracker
	uploads          *fetch.UploadLimiter
	inFlight         map[layer.Digest]*chunkFetch
	newest           map[string]release     // newest known release by package name
	previous         map[string]release     // release that stays installable until DropPrevious, by package name
	builds           map[string]*buildState // builds by release digest
	stats            Stats
}

// New returns a Distributor. It loads the releases that an earlier process stored in options.Folder.
func New(options Options) (*Distributor, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	d := &Distributor{
		options:   options,
		startedAt: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			MaxIdleConns: maxIdleConns, IdleConnTimeout: idleConnTimeout}},
		utilization:      func() float64 { return 0 },
		storeGuard:       fetch.NewStoreGuard(),
		storeRequestDone: make(chan struct{}),
		peerHealth:       fetch.NewPeerHealth(),
		replicas:         fetch.NewReplicaTracker(maxTrackedChunks),
		uploads:          fetch.NewUploadLimiter(options.NetworkBytesPerSecond, options.UploadShare, options.MaxUploads),
		inFlight:         map[layer.Digest]*chunkFetch{},
		newest:           map[string]release{},
		previous:         map[string]release{},
		builds:           map[string]*buildState{},
	}
	err := errors.Join(
		os.RemoveAll(d.buildsDir()), // builds of an earlier process may be incomplete
		os.MkdirAll(d.releasesDir(), 0o755),
		os.MkdirAll(d.buildsDir(), 0o755))
	if err != nil {
		return nil, fmt.Errorf("open distribution folder: %w", err)
	}
	if err := d.loadReleases(); err != nil {
		return nil, fmt.Errorf("open distribution folder: %w", err)
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d, nil
}

// Close cancels all fetches and waits until they have returned.
func (d *Distributor) Close() {
	d.cancel()
	d.tasks.Wait()
	d.client.CloseIdleConnections()
}

// SetUtilization sets the function that reports how busy this worker is; the busier it is, the less it uploads to other
// workers. utilization returns the share of the worker's concurrency slots in use, between 0 and 1.
func (d *Distributor) SetUtilization(utilization func() float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.utilization = utilization
}

// elapsed returns the monotonic time since the Distributor was created. It is the clock of internal/artifact/fetch.
func (d *Distributor) elapsed() time.Duration { return time.Since(d.startedAt) }

func (d *Distributor) releasesDir() string { return filepath.Join(d.options.Folder, "releases") }

func (d *Distributor) buildsDir() string { return filepath.Join(d.options.Folder, "built") }
