package distribution

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
)

// buildState is a running or completed build of a release.
type buildState struct {
	done chan struct{} // closed when the build has completed
	err  error         // result of the build, valid after done is closed
}

// Install installs the newest or the previous release of a package into folder, which must not exist yet. The release
// is built once; each installation has hard links to the built files.
func (d *Distributor) Install(ctx context.Context, name, version, folder string) (manifest.Package, error) {
	r, base, err := d.ensureBuilt(ctx, name, version)
	if err != nil {
		return manifest.Package{}, err
	}
	if err := linkFiles(r.Release, base, folder); err != nil {
		return manifest.Package{}, errors.Join(installError(name, version, err), os.RemoveAll(folder))
	}
	return manifest.Open(folder)
}

// Prefetch fetches and builds a release, so that it can be installed later even if the store is unreachable.
func (d *Distributor) Prefetch(ctx context.Context, name, version string) error {
	_, _, err := d.ensureBuilt(ctx, name, version)
	return err
}

func installError(name, version string, err error) error {
	return fmt.Errorf("install %s version %s: %w", name, version, err)
}

// findRelease returns the newest or the previous release of a package, whichever has the version.
func (d *Distributor) findRelease(name, version string) (release, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, releases := range []map[string]release{d.newest, d.previous} {
		if r, known := releases[name]; known && r.manifest.Version == version {
			return r, nil
		}
	}
	return release{}, fmt.Errorf("version %s of %s: %w", version, name, ErrUnknownRelease)
}

// ensureBuilt builds a release if necessary and returns it with the folder base that it is built in. Of several
// concurrent callers, one builds the release and the others wait. If the build fails, the waiting callers retry it one
// after the other, because the failure may be due to the first caller's context.
func (d *Distributor) ensureBuilt(ctx context.Context, name, version string) (r release, base string, err error) {
	r, err = d.findRelease(name, version)
	if err != nil {
		return r, "", err
	}
	base = filepath.Join(d.buildsDir(), r.digest)
	for {
		build, first := d.joinBuild(r.digest)
		if first {
			d.runBuild(ctx, build, r, base)
		}
		select {
		case <-build.done:
		case <-ctx.Done():
			return r, "", installError(name, version, context.Cause(ctx))
		}
		if build.err == nil {
			return r, base, nil
		}
		if first {
			return r, "", installError(name, version, build.err)
		}
	}
}

// joinBuild returns the build of a release. first reports whether the caller is the first one and must run the build.
func (d *Distributor) joinBuild(digest string) (build *buildState, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	build = d.builds[digest]
	if build == nil {
		build = &buildState{done: make(chan struct{})}
		d.builds[digest] = build
		return build, true
	}
	return build, false
}

func (d *Distributor) runBuild(ctx context.Context, build *buildState, r release, base string) {
	// The folder may exist: DropPrevious does not remove the files of a build that has not completed.
	if build.err = os.RemoveAll(base); build.err == nil {
		build.err = d.build(ctx, r, base)
	}
	if build.err != nil {
		d.mu.Lock()
		delete(d.builds, r.digest)
		d.mu.Unlock()
	}
	close(build.done)
}

// build fetches the chunks of a release and builds it in folder, which must not exist yet. It writes the files in order
// while later chunks are still being fetched.
func (d *Distributor) build(ctx context.Context, r release, folder string) error {
	chunks := r.Chunks()
	defer d.options.Cache.Pin(chunks)()
	contents := make(map[layer.Digest]chan []byte, len(chunks))
	for _, chunk := range chunks {
		contents[chunk.Digest] = make(chan []byte, 1)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, d.options.MaxParallelChunks) + 1) // plus the goroutine that writes the files
	group.Go(func() error {
		received := map[layer.Digest][]byte{} // a chunk may occur several times in a release
		_, err := layer.Build(r.Release, folder, func(chunk layer.ChunkRef) ([]byte, error) {
			if content, ok := received[chunk.Digest]; ok {
				return content, nil
			}
			select {
			case content := <-contents[chunk.Digest]:
				received[chunk.Digest] = content
				return content, nil
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			}
		})
		return err
	})
	for _, chunk := range chunks {
		group.Go(func() error {
			data, err := d.getChunk(ctx, chunk.Digest)
			if err == nil {
				contents[chunk.Digest] <- data.content
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return errors.Join(err, os.RemoveAll(folder))
	}
	return nil
}

// linkFiles creates folder with hard links to the files of a release that is built in base.
func linkFiles(r layer.Release, base, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	paths := []string{manifest.FileName}
	for _, l := range r.Layers {
		for _, file := range l.Files {
			paths = append(paths, filepath.FromSlash(file.Path))
		}
	}
	for _, path := range paths {
		if filepath.Dir(path) != "." {
			if err := os.MkdirAll(filepath.Dir(filepath.Join(folder, path)), 0o755); err != nil {
				return err
			}
		}
		if err := os.Link(filepath.Join(base, path), filepath.Join(folder, path)); err != nil {
			return err
		}
	}
	return nil
}
