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

// ErrUnknownRelease is returned for a release that is neither the newest nor the previous one of its package.
var ErrUnknownRelease = errors.New("neither the newest nor the previous release")

// release is a decoded release with its manifest and the digest of its encoded form.
type release struct {
	layer.Release
	manifest manifest.Manifest
	digest   string
}

// Packages returns the manifest of the newest known release of each package.
func (d *Distributor) Packages() []manifest.Manifest {
	d.mu.Lock()
	defer d.mu.Unlock()
	var manifests []manifest.Manifest
	for _, r := range d.newest {
		manifests = append(manifests, r.manifest)
	}
	return manifests
}

// Refresh loads new releases from the store. If the store does not answer, the known releases are kept. An error status
// of the store ends Refresh with an error. A release that can't be downloaded otherwise or can't be decoded is logged
// and skipped. One that can't be written to disk is logged as well, but is used until the next restart.
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

// downloadRelease fetches an encoded release from the store and verifies its digest.
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
	// The previous release is the one in use. Releases between it and the newest are skipped.
	if _, inUse := d.previous[m.Name]; known && !inUse {
		d.previous[m.Name] = old
	}
	return nil
}

// persistRelease writes a release to disk, so that it is known after a restart.
func (d *Distributor) persistRelease(name string, encoded []byte) error {
	// A package name may contain characters that are not allowed in file names. Its digest does not.
	path := filepath.Join(d.releasesDir(), layer.Sum([]byte(name)).String()+".release")
	return renameio.WriteFile(path, encoded, 0o644)
}

// loadReleases adds the releases that an earlier process wrote to disk.
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

// DropPrevious removes the previous release of a package and its built files. It is called when the newest release has
// replaced it.
func (d *Distributor) DropPrevious(name string) error {
	removed, err := d.detachPrevious(name)
	if removed == "" || err != nil {
		return err
	}
	return os.RemoveAll(removed) // installed packages have their own links to the files
}

// detachPrevious removes the previous release of a package from the known releases and renames its folder, so that the
// same release can be built again while the old files are removed. It returns the folder to remove, or "" if there is
// none.
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
		return "", nil // the build is still running; its files are removed at the next start
	}
	delete(d.builds, old.digest)
	base := filepath.Join(d.buildsDir(), old.digest)
	removed := base + ".gone"
	return removed, os.Rename(base, removed)
}
