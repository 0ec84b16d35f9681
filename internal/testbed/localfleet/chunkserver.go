package localfleet

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/base/httpserver"
)

// What a worker's distributor is set up with: loopback limits nothing.
const (
	cacheBytes            = 1 << 30
	networkBytesPerSecond = 1e9
	uploadShare           = 0.5
	maxUploads            = 16
	maxParallelChunks     = 16
)

// ChunkServer is a worker's distributor and the server on which it gives chunks to other workers.
type ChunkServer struct {
	*distribution.Distributor
	Addr   string
	client *http.Client
	server *httpserver.LoopbackServer
}

// NewChunkServer makes a distributor in a worker's folder, of the store at a URL, and serves it. Peers and log may be
// nil.
func NewChunkServer(name, folder, storeURL string, chunkTimeout time.Duration, peers func() []distribution.Peer,
	log *slog.Logger) (*ChunkServer, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	folder = filepath.Join(folder, "cache")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("make chunk cache of %s: %w", name, err)
	}
	chunks, err := cache.Open(folder, cacheBytes, log)
	if err != nil {
		return nil, err
	}
	s := &ChunkServer{client: &http.Client{Transport: &http.Transport{}}}
	if s.Distributor, err = distribution.New(distribution.Options{
		Name:                  name,
		Folder:                folder,
		Store:                 artifactstore.Client{BaseURL: storeURL, HTTPClient: s.client},
		Cache:                 chunks,
		Peers:                 peers,
		NetworkBytesPerSecond: networkBytesPerSecond,
		UploadShare:           uploadShare,
		MaxUploads:            maxUploads,
		ChunkTimeout:          chunkTimeout,
		MaxParallelChunks:     maxParallelChunks,
		Log:                   log,
	}); err != nil {
		return nil, err
	}
	if s.server, err = httpserver.StartLoopback("127.0.0.1:0", s.Handler()); err != nil {
		s.Distributor.Close()
		return nil, err
	}
	s.Addr = s.server.Addr
	return s, nil
}

// Close ends it, and what is under way.
func (s *ChunkServer) Close() {
	var distributor sync.WaitGroup
	distributor.Go(s.Distributor.Close)
	_ = s.server.Close() // what was being given is lost with it
	distributor.Wait()
	s.client.CloseIdleConnections()
}
