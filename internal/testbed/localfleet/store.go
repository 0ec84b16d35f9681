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

// AmpleCapacity is a store capacity that limits neither rate nor, in practice, the number of concurrent fetches.
var AmpleCapacity = artifactstore.Capacity{MaxConcurrent: 256}

// Store is an artifact store within the current process, served on a loopback port.
type Store struct {
	*artifactstore.Store
	Client artifactstore.Client // client of this store
	server *httpserver.LoopbackServer
}

// OpenStore opens a store in a folder and starts its server.
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

// PublishAll publishes the packages in all folders NAME/VERSION under root.
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
