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

// CollectGarbage removes chunks that no release names and that nobody has written or asked about within the grace
// period, and temporary files that a killed process has left. It returns how many files it removed.
func (s *Store) CollectGarbage() (removed int, err error) {
	s.collectMu.Lock()
	defer s.collectMu.Unlock()
	named, err := s.namedChunks()
	if err != nil {
		return 0, fmt.Errorf("collect garbage: %w", err)
	}
	cutoff := time.Now().Add(-s.options.GracePeriod)
	chunks := filepath.Join(s.options.Folder, "chunks")
	err = filepath.WalkDir(chunks, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || named[entry.Name()] {
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

// namedChunks returns the file names of the chunks that a release names. A release that cannot be read is an error:
// nothing may be collected then.
func (s *Store) namedChunks() (map[string]bool, error) {
	named := map[string]bool{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(releasesBucket).ForEach(func(key, encoded []byte) error {
			release, err := layer.Decode(encoded)
			if err != nil {
				return fmt.Errorf("%q: %w", key, err)
			}
			for _, chunk := range release.Chunks() {
				named[chunk.Digest.String()] = true
			}
			return nil
		})
	})
	return named, err
}

// RunGarbageCollector collects garbage periodically until ctx is done. A failed collection is logged and tried again.
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
