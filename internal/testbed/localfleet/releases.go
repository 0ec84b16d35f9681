package localfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

const (
	// uniqueContentBytes is the number of bytes in a release that no other release contains.
	uniqueContentBytes = 512 << 10
	// packageMemoryLimit is the memory limit of a replica in bytes.
	packageMemoryLimit = 64 << 20
	// packageTimeout is the timeout of a request at a replica.
	packageTimeout = 30 * time.Second
)

// ErrUnknownFunction is returned by Publish for a function that is not in the settings.
var ErrUnknownFunction = errors.New("unknown function")

// Releases is a store with a package for each function of the settings. All packages contain the example program
// payroll.
type Releases struct {
	store  *Store
	folder string
	binary string // path of the payroll program
	config fleetconfig.File

	mu          sync.Mutex
	lastVersion int
}

// NewReleases opens a store in a folder and publishes a release of every function of the settings; binary is the path
// of the payroll program.
func NewReleases(folder, binary string, settings fleetconfig.File, capacity artifactstore.Capacity) (*Releases, error) {
	store, err := OpenStore(filepath.Join(folder, "store"), capacity)
	if err != nil {
		return nil, err
	}
	r := &Releases{store: store, folder: folder, binary: binary, config: settings}
	for _, function := range settings.Functions {
		if err := r.Publish(function.Name); err != nil {
			return nil, errors.Join(err, store.Close())
		}
	}
	return r, nil
}

// Close closes the store.
func (r *Releases) Close() error { return r.store.Close() }

// Store returns the store, so that callers can stop it or read its counts.
func (r *Releases) Store() *Store { return r.store }

// Publish publishes a new release of a function.
func (r *Releases) Publish(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, function := range r.config.Functions {
		if function.Name == name {
			if err := r.publish(function); err != nil {
				return fmt.Errorf("publish %s: %w", name, err)
			}
			return nil
		}
	}
	return fmt.Errorf("publish %s: %w", name, ErrUnknownFunction)
}

func (r *Releases) publish(function fleetconfig.Function) error {
	r.lastVersion++
	folder := filepath.Join(r.folder, "packages", function.Name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	program, err := os.ReadFile(r.binary)
	if err != nil {
		return err
	}
	// bytes appended to an executable don't change how it runs
	if err := os.WriteFile(filepath.Join(folder, "entry"), append(program, r.uniqueContent()...), 0o755); err != nil {
		return err
	}
	if _, err := manifest.Write(folder, manifest.Manifest{
		Name:        function.Name,
		Version:     fmt.Sprintf("%06d", r.lastVersion),
		Type:        function.Type,
		Kind:        manifest.Process,
		Concurrency: function.Concurrency,
		MemoryLimit: packageMemoryLimit,
		Timeout:     config.Duration(packageTimeout),
		EntryPoint:  "entry",
	}); err != nil {
		return err
	}
	_, err = r.store.Client.Publish(context.Background(), folder)
	return err
}

// uniqueContent returns random bytes that only the last version contains.
func (r *Releases) uniqueContent() []byte {
	content := make([]byte, uniqueContentBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(r.lastVersion), byte(r.lastVersion >> 8)}).Read(content) // never fails
	return content
}
