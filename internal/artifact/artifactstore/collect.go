package artifactstore

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/httpserver"
)

// CollectGarbage removes unreferenced chunks whose grace period has passed: no release references them, and within the
// grace period no publisher uploaded them or asked whether they are missing. It also removes old temporary files of
// killed processes. It returns the number of files removed.
func (s *Store) CollectGarbage() (removed int, err error) {
	s.collectMu.Lock()
	defer s.collectMu.Unlock()
	referenced, err := s.referencedChunks()
	if err != nil {
		return 0, fmt.Errorf("collect garbage: %w", err)
	}
	cutoff := time.Now().Add(-s.options.GracePeriod)
	chunks := filepath.Join(s.options.Folder, "chunks")
	err = filepath.WalkDir(chunks, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || referenced[entry.Name()] {
			return err
		}
		info, err := entry.Info()
		if err != nil || info.ModTime().After(cutoff) {
			return err
		}
		removed++
		return os.Remove(path)
	})
	return removed, err
}

// referencedChunks returns the file names of all chunks that releases reference. It fails if a release cannot be
// decoded: without that release's references, no chunk may be collected.
func (s *Store) referencedChunks() (map[string]bool, error) {
	referenced := map[string]bool{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(releasesBucket).ForEach(func(key, encoded []byte) error {
			release, err := layer.Decode(encoded)
			if err != nil {
				return fmt.Errorf("%q: %w", key, err)
			}
			for _, chunk := range release.Chunks() {
				referenced[chunk.Digest.String()] = true
			}
			return nil
		})
	})
	return referenced, err
}

// RunGarbageCollector collects garbage periodically until ctx is done. It logs a failed collection and tries again
// after the next period.
func (s *Store) RunGarbageCollector(ctx context.Context, period time.Duration) error {
	return httpserver.RunPeriodically(ctx, period, func() error {
		removed, err := s.CollectGarbage()
		switch {
		case err != nil:
			s.options.Log.Error("garbage collection failed", "err", err)
		case removed > 0:
			s.options.Log.Info("garbage collected", "chunks", removed)
		}
		return nil
	})
}
