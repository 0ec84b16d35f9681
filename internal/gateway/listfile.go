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

// ReadList reads a list that WriteList kept; nil where there is none yet.
func ReadList(path string) (*registry.News, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("kept list: %w", err)
	}
	var n registry.News
	if err := json.Unmarshal(b, &n); err != nil {
		return nil, fmt.Errorf("kept list %s: %w", path, err)
	}
	if err := n.Check(); err != nil {
		return nil, fmt.Errorf("kept list %s: %w", path, err)
	}
	n.Whole = true
	return &n, nil
}

// WriteList keeps a list for the next start. A crash leaves the old one or the new one.
func WriteList(path string, n registry.News) error {
	b, err := json.Marshal(n)
	if err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	if err := renameio.WriteFile(path, b, 0o600); err != nil {
		return fmt.Errorf("keep list: %w", err)
	}
	return nil
}
