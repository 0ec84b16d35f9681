// Package distribution brings packages to a worker and spreads their chunks between workers. A Distributor takes each
// chunk from its own disk, from another worker or from the artifact store, as internal/artifact/fetch decides, and
// serves chunks to other workers in turn.
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
	// maxTrackedChunks is for how many chunks a Distributor remembers which workers have it.
	maxTrackedChunks = 10_000

	// maxIdleConns and maxIdleConnsPerPeer bound the connections to other workers that are left open, idleConnTimeout
	// how long each is.
	maxIdleConns        = 256
	maxIdleConnsPerPeer = 4
	idleConnTimeout     = 30 * time.Second
)

// Peer is another worker that serves chunks.
type Peer struct{ Name, Addr string }

// Options configures a Distributor.
type Options struct {
	Name                  string // of this worker
	Folder                string // for releases and built packages
	Store                 artifactstore.Client
	Cache                 *cache.Cache
	Peers                 func() []Peer // listed workers that serve chunks; this one may be among them. nil: none
	NetworkBytesPerSecond float64       // that the worker's network carries
	UploadShare           float64       // of the network's capacity that is spent on other workers
	MaxUploads            int           // chunks sent to other workers at a time
	ChunkTimeout          time.Duration // how long one chunk is searched for
	MaxParallelChunks     int           // of a release that are searched for at a time
	Log                   *slog.Logger
}

// Distributor fetches, builds and serves one worker's packages. Its methods may be called by any goroutine.
type Distributor struct {
	options   Options
	startedAt time.Time
	client    *http.Client    // for other workers
	ctx       context.Context // of fetches, which several callers may wait for
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu               sync.Mutex
	utilization      func() float64 // between 0 and 1: how busy the worker's concurrency slots are
	storeGuard       *fetch.StoreGuard
	storeRequestDone chan struct{} // closed, and made anew, when a request to the store has completed
	peerHealth       *fetch.PeerHealth
	replicas         *fetch.ReplicaTracker
	uploads          *fetch.UploadLimiter
	inFlight         map[layer.Digest]*chunkFetch
	newest           map[string]release     // by package name
	previous         map[string]release     // by package name: the one in use until DropPrevious
	builds           map[string]*buildState // by the release's digest
	stats            Stats
}

// New returns a Distributor that knows the releases which an earlier process stored in its folder.
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
		os.RemoveAll(d.buildsDir()), // of an earlier process: nobody tells whether they are complete
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

// Close cancels fetches and waits until they have returned.
func (d *Distributor) Close() {
	d.cancel()
	d.tasks.Wait()
	d.client.CloseIdleConnections()
}

// SetUtilization makes what is spent on other workers depend on how busy this one is: utilization returns the share of
// its concurrency slots that are taken.
func (d *Distributor) SetUtilization(utilization func() float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.utilization = utilization
}

// elapsed is the distributor's monotonic clock, as the decisions of internal/artifact/fetch take it.
func (d *Distributor) elapsed() time.Duration { return time.Since(d.startedAt) }

func (d *Distributor) releasesDir() string { return filepath.Join(d.options.Folder, "releases") }

func (d *Distributor) buildsDir() string { return filepath.Join(d.options.Folder, "built") }
