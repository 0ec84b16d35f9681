package localfleet

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/base/httpserver"
)

// AmpleCapacity is the capacity of a store that limits nobody.
var AmpleCapacity = artifactstore.Capacity{MaxConcurrent: 256}

// Store is a store of packages inside this process, on loopback.
type Store struct {
	*artifactstore.Store
	Client artifactstore.Client // of it
	server *httpserver.LoopbackServer
}

// OpenStore opens a store in a folder.
func OpenStore(folder string, capacity artifactstore.Capacity) (*Store, error) {
	s, err := artifactstore.Open(artifactstore.Options{Folder: folder, Capacity: capacity, GracePeriod: time.Hour})
	if err != nil {
		return nil, err
	}
	server, err := httpserver.StartLoopback("127.0.0.1:0", s.Handler(true))
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	client := artifactstore.Client{
		BaseURL:    "http://" + server.Addr,
		HTTPClient: &http.Client{Transport: &http.Transport{}},
	}
	return &Store{Store: s, Client: client, server: server}, nil
}

// PublishAll publishes every package NAME/VERSION of a folder.
func (s *Store) PublishAll(ctx context.Context, root string) error {
	manifests, err := filepath.Glob(filepath.Join(root, "*", "*", "manifest.yaml"))
	if err != nil {
		return err
	}
	for _, manifest := range manifests {
		if _, err := s.Client.Publish(ctx, filepath.Dir(manifest)); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the store and its server.
func (s *Store) Close() error {
	err := s.server.Close()
	s.Client.HTTPClient.CloseIdleConnections()
	return errors.Join(err, s.Store.Close())
}
