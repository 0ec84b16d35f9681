package localfleet

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
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/base/httpserver"
)

// Store is a store of packages inside this process, on loopback.
type Store struct {
	*artifactstore.Store
	Client artifactstore.Client // of it
	server *httpserver.LoopbackServer
}

// AmpleCapacity is the capacity of a store that is in nobody's way.
var AmpleCapacity = artifactstore.Capacity{MaxConcurrent: 256}

// OpenStore opens one in a folder.
func OpenStore(folder string, c artifactstore.Capacity) (*Store, error) {
	s, err := artifactstore.Open(artifactstore.Options{Folder: folder, Capacity: c, GracePeriod: time.Hour})
	if err != nil {
		return nil, err
	}
	server, err := httpserver.StartLoopback("127.0.0.1:0", s.Handler(true))
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	client := artifactstore.Client{BaseURL: "http://" + server.Addr, HTTPClient: &http.Client{Transport: &http.Transport{}}}
	return &Store{Store: s, Client: client, server: server}, nil
}

// PublishAll publishes every package NAME/VERSION of a folder.
func (s *Store) PublishAll(ctx context.Context, root string) error {
	folders, err := filepath.Glob(filepath.Join(root, "*", "*", "manifest.yaml"))
	if err != nil {
		return err
	}
	for _, f := range folders {
		if _, err := s.Client.Publish(ctx, filepath.Dir(f)); err != nil {
			return err
		}
	}
	return nil
}

// Close ends it.
func (s *Store) Close() error {
	err := s.server.Close()
	s.Client.HTTPClient.CloseIdleConnections()
	return errors.Join(err, s.Store.Close())
}

// ChunkServer is a worker's supplier and the server on which it gives chunks to others.
type ChunkServer struct {
	*distribution.Distributor
	Addr   string
	client *http.Client
	server *httpserver.LoopbackServer
}

// NewChunkServer makes a supplier in a worker's folder, of the store at base. peers may be nil.
func NewChunkServer(name, folder, base string, patience time.Duration, peers func() []distribution.Peer, log *slog.Logger) (*ChunkServer, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	folder = filepath.Join(folder, "cache")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("supplier of %s: %w", name, err)
	}
	c, err := cache.Open(folder, 1<<30, log)
	if err != nil {
		return nil, err
	}
	g := &ChunkServer{client: &http.Client{Transport: &http.Transport{}}}
	if g.Distributor, err = distribution.New(distribution.Options{Name: name, Folder: folder, Store: artifactstore.Client{BaseURL: base, HTTPClient: g.client}, Cache: c,
		Peers: peers, NetworkBytesPerSecond: 1e9, UploadShare: 0.5, MaxUploads: 16, ChunkTimeout: patience, MaxParallelChunks: 16, Log: log}); err != nil {
		return nil, err
	}
	if g.server, err = httpserver.StartLoopback("127.0.0.1:0", g.Handler()); err != nil {
		g.Distributor.Close()
		return nil, err
	}
	g.Addr = g.server.Addr
	return g, nil
}

// Close ends it, and what is under way.
func (g *ChunkServer) Close() {
	var both sync.WaitGroup
	both.Go(g.Distributor.Close)
	_ = g.server.Close() // what was given is lost with it
	both.Wait()
	g.client.CloseIdleConnections()
}
