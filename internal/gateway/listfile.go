package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"

	"lupinpond/internal/registry"
)

// ReadEndpointCache reads a list that WriteList kept; nil where there is none yet.
func ReadEndpointCache(path string) (*registry.WatchEvent, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("kept list: %w", err)
	}
	var n registry.WatchEvent
	if err := json.Unmarshal(b, &n); err != nil {
		return nil, fmt.Errorf("kept list %s: %w", path, err)
	}
	if err := n.Validate(); err != nil {
		return nil, fmt.Errorf("kept list %s: %w", path, err)
	}
	n.Complete = true
	return &n, nil
}

// WriteEndpointCache keeps a list for the next start. A crash leaves the old one or the new one.
func WriteEndpointCache(path string, n registry.WatchEvent) error {
	b, err := json.Marshal(n)
	if err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	if err := renameio.WriteFile(path, b, 0o600); err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	return nil
}
