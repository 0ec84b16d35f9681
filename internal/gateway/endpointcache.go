package gateway

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/renameio/v2"

	"lupinpond/internal/registry"
)

// ReadEndpointCache reads an endpoint list written by WriteEndpointCache. The error wraps fs.ErrNotExist if the file
// does not exist yet.
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

// WriteEndpointCache writes an endpoint list to a file that the gateway reads at its next start. The file is replaced
// atomically: after a crash it holds either the old or the new list.
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
