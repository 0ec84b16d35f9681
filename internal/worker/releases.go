package worker

import (
	"context"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/runner"
)

// releaseSet holds the releases of functions. The keys of its maps are function names.
type releaseSet struct {
	active      map[string]manifest.Manifest // releases used for new replicas
	prefetching map[string]bool              // functions whose newest release is being fetched
}

// RefreshReleases polls for new functions and new releases. If the artifact store does not answer, the known releases
// remain in use. If a function has replicas on this worker, its new release becomes active only after it has been
// fetched completely: until then, and if the store becomes unreachable during the fetch, the old release serves
// requests.
func (w *Worker) RefreshReleases(ctx context.Context) error {
	err := w.options.Artifacts.Refresh(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, release := range w.options.Artifacts.Packages() {
		active, known := w.releases.active[release.Name]
		counts := w.admission.Counts(release.Name)
		switch {
		case known && active.Version == release.Version, w.releases.prefetching[release.Name], w.state == closed:
		case known && counts.Warm+counts.Loading > 0:
			w.releases.prefetching[release.Name] = true
			w.background.Go(func() { w.prefetchRelease(release) })
		default:
			w.activateRelease(release)
		}
	}
	return err
}

// prefetchRelease fetches a release, then activates it. If the fetch fails, the next poll retries it.
func (w *Worker) prefetchRelease(release manifest.Manifest) {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.StartTimeout)
	defer cancel()
	err := w.options.Artifacts.Prefetch(ctx, release.Name, release.Version)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.releases.prefetching, release.Name)
	if err != nil {
		w.options.Log.Warn("release prefetch failed, previous release stays active",
			"package", release.Name, "version", release.Version, "err", err)
		return
	}
	w.activateRelease(release)
	w.advance()
}

// activateRelease makes a release the one that new replicas run. Replicas of the previous release complete their
// running calls. The lock must be held.
func (w *Worker) activateRelease(release manifest.Manifest) {
	w.releases.active[release.Name] = release
	w.admission.Publish(admission.Function{
		Name:        release.Name,
		Version:     release.Version,
		Concurrency: release.Concurrency,
		MemoryBytes: runner.MemoryLimit(release, w.options.WasmOverhead),
	})
	w.background.Go(func() { // removes files, which must not happen while the lock is held
		if err := w.options.Artifacts.DropPrevious(release.Name); err != nil {
			w.options.Log.Warn("previous release removal failed", "package", release.Name, "err", err)
		}
	})
}

// pollReleases polls for releases every ReleasePollInterval until ctx is done.
func (w *Worker) pollReleases(ctx context.Context) error {
	if w.options.ReleasePollInterval <= 0 {
		return nil
	}
	return httpserver.RunPeriodically(ctx, w.options.ReleasePollInterval, func() error {
		if err := w.RefreshReleases(ctx); err != nil && ctx.Err() == nil {
			w.options.Log.Warn("release poll failed", "err", err)
		}
		return nil
	})
}
