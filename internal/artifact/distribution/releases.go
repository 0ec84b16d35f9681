package distribution

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/httpclient"
)

// ErrUnknownRelease is returned for a release that is neither the newest of its package nor the one before.
var ErrUnknownRelease = errors.New("no such release is known")

type release struct {
	layer.Release
	manifest manifest.Manifest
	digest   string
}

// Packages returns the manifests of the newest known releases.
func (d *Distributor) Packages() []manifest.Manifest {
	d.mu.Lock()
	defer d.mu.Unlock()
	var manifests []manifest.Manifest
	for _, r := range d.newest {
		manifests = append(manifests, r.manifest)
	}
	return manifests
}

// Refresh asks the store for new releases. Known releases stay known if it does not answer; a release that can't be
// read is skipped and logged.
func (d *Distributor) Refresh(ctx context.Context) error {
	packages, err := d.options.Store.Packages(ctx)
	if err != nil {
		return err
	}
	for _, info := range packages {
		d.mu.Lock()
		known := d.newest[info.Name].digest == info.Digest
		d.mu.Unlock()
		if known {
			continue
		}
		encoded, err := d.downloadRelease(ctx, info)
		var rejection *httpclient.StatusError
		if errors.As(err, &rejection) || ctx.Err() != nil {
			return fmt.Errorf("release %s of %s: %w", info.Version, info.Name, errors.Join(err, ctx.Err()))
		}
		if err == nil {
			err = d.addRelease(encoded)
		}
		if err == nil {
			err = d.persistRelease(info.Name, encoded)
		}
		if err != nil {
			d.options.Log.Error("release skipped", "package", info.Name, "version", info.Version, "err", err)
		}
	}
	return nil
}

// downloadRelease fetches an encoded release from the store and verifies it.
func (d *Distributor) downloadRelease(ctx context.Context, info artifactstore.PackageInfo) ([]byte, error) {
	encoded, err := d.options.Store.Release(ctx, info.Name, info.Version)
	if err == nil && layer.Sum(encoded).String() != info.Digest {
		err = layer.ErrCorrupt
	}
	return encoded, err
}

// addRelease makes a release the newest of its package.
func (d *Distributor) addRelease(encoded []byte) error {
	decoded, err := layer.Decode(encoded)
	if err != nil {
		return err
	}
	m, err := decoded.ParseManifest()
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.newest[m.Name]
	d.newest[m.Name] = release{decoded, m, layer.Sum(encoded).String()}
	// the previous release is the one in use: those between it and the newest are skipped
	if _, inUse := d.previous[m.Name]; known && !inUse {
		d.previous[m.Name] = old
	}
	return nil
}

// persistRelease stores a release for the next process.
func (d *Distributor) persistRelease(name string, encoded []byte) error {
	// a package's name may have any letters, a digest has none that a file name could not have
	path := filepath.Join(d.releasesDir(), layer.Sum([]byte(name)).String()+".release")
	return renameio.WriteFile(path, encoded, 0o644)
}

// loadReleases adds the releases that an earlier process stored.
func (d *Distributor) loadReleases() error {
	files, err := filepath.Glob(filepath.Join(d.releasesDir(), "*.release"))
	if err != nil {
		return err
	}
	for _, file := range files {
		encoded, err := os.ReadFile(file)
		if err == nil {
			err = d.addRelease(encoded)
		}
		if err != nil {
			d.options.Log.Warn("stored release ignored", "file", file, "err", err)
		}
	}
	return nil
}

// DropPrevious forgets a package's release before the newest, which has taken its place, and removes its files.
func (d *Distributor) DropPrevious(name string) error {
	removed, err := d.detachPrevious(name)
	if removed == "" || err != nil {
		return err
	}
	return os.RemoveAll(removed) // packages that were installed have links of their own
}

// detachPrevious forgets a package's previous release and renames its folder, so that the same release can be built
// again while this one is removed. It returns the folder to remove; "" is none.
func (d *Distributor) detachPrevious(name string) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.previous[name]
	delete(d.previous, name)
	build := d.builds[old.digest]
	if !known || build == nil || old.digest == d.newest[name].digest {
		return "", nil
	}
	select {
	case <-build.done:
	default:
		return "", nil // an installation goes on with it; the files are removed at the next start
	}
	delete(d.builds, old.digest)
	base := filepath.Join(d.buildsDir(), old.digest)
	removed := base + ".gone"
	return removed, os.Rename(base, removed)
}
