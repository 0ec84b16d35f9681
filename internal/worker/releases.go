package worker

import (
	"context"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/runner"
)

// releaseSet has the releases by function.
type releaseSet struct {
	active      map[string]manifest.Manifest // what is loaded from now on
	prefetching map[string]bool              // functions whose newest release is being fetched
}

// RefreshReleases polls for new functions and new releases. What is known stays known when the artifact store does
// not answer. A release of a function that has replicas here becomes active only once all of it has been fetched:
// until then, and if the store stops in between, the old release serves.
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

// prefetchRelease fetches a release, then activates it. If it can't be fetched, the next poll tries again.
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

// activateRelease makes a release the one that is loaded; replicas of the previous one finish what they run. The lock
// is held.
func (w *Worker) activateRelease(release manifest.Manifest) {
	w.releases.active[release.Name] = release
	w.admission.Publish(admission.Function{
		Name:        release.Name,
		Version:     release.Version,
		Concurrency: release.Concurrency,
		MemoryBytes: runner.MemoryLimit(release, w.options.WasmOverhead),
	})
	w.background.Go(func() { // it removes files, which is not for the lock
		if err := w.options.Artifacts.DropPrevious(release.Name); err != nil {
			w.options.Log.Warn("previous release removal failed", "package", release.Name, "err", err)
		}
	})
}

// pollReleases polls for releases at an interval until ctx ends.
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
