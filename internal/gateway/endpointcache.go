package gateway

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/renameio/v2"

	"lupinpond/internal/registry"
)

// ReadEndpointCache reads the endpoint list that WriteEndpointCache wrote; fs.ErrNotExist where there is none yet.
func ReadEndpointCache(path string) (*registry.WatchEvent, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read endpoint cache: %w", err)
	}
	var event registry.WatchEvent
	if err := json.Unmarshal(content, &event); err != nil {
		return nil, fmt.Errorf("read endpoint cache %s: %w", path, err)
	}
	if err := event.Validate(); err != nil {
		return nil, fmt.Errorf("read endpoint cache %s: %w", path, err)
	}
	event.Complete = true
	return &event, nil
}

// WriteEndpointCache writes an endpoint list for the next start. A crash leaves the old file or the new one.
func WriteEndpointCache(path string, event registry.WatchEvent) error {
	content, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("write endpoint cache: %w", err)
	}
	if err := renameio.WriteFile(path, content, 0o600); err != nil {
		return fmt.Errorf("write endpoint cache: %w", err)
	}
	return nil
}
