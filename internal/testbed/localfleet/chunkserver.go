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

// Settings of a worker's distributor. They are high enough not to limit transfers over loopback.
const (
	cacheBytes            = 1 << 30
	networkBytesPerSecond = 1e9
	uploadShare           = 0.5
	maxUploads            = 16
	maxParallelChunks     = 16
)

// ChunkServer is a worker's distributor with an HTTP server that serves its chunks to other workers.
type ChunkServer struct {
	*distribution.Distributor
	Addr   string
	client *http.Client
	server *httpserver.LoopbackServer
}

// NewChunkServer starts the chunk server of the worker name. It keeps its files in folder and fetches chunks from peers
// and from the store at storeURL. If peers is nil, it uses only the store; if log is nil, nothing is logged.
func NewChunkServer(name, folder, storeURL string, chunkTimeout time.Duration, peers func() []distribution.Peer,
	log *slog.Logger) (*ChunkServer, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	folder = filepath.Join(folder, "cache")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("create chunk cache of %s: %w", name, err)
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

// Close stops the server and the distributor and aborts the transfers in progress.
func (s *ChunkServer) Close() {
	var distributor sync.WaitGroup
	distributor.Go(s.Distributor.Close)
	_ = s.server.Close() // an error doesn't matter: unfinished uploads are aborted
	distributor.Wait()
	s.client.CloseIdleConnections()
}
