package artifactstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/durable"
)

func (s *Store) chunkPath(digest layer.Digest) string {
	return filepath.Join(s.options.Folder, "chunks", digest.String()[:2], digest.String())
}

// touchChunk restarts the grace period of a stored chunk. It returns an error if the chunk is not stored.
func (s *Store) touchChunk(digest layer.Digest) error {
	return os.Chtimes(s.chunkPath(digest), time.Time{}, time.Now())
}

// PutChunk verifies a compressed chunk and stores it durably.
func (s *Store) PutChunk(digest layer.Digest, compressed []byte) error {
	if _, err := layer.Decompress(digest, compressed); err != nil {
		return err
	}
	s.collectMu.RLock()
	defer s.collectMu.RUnlock()
	if s.touchChunk(digest) == nil {
		return nil // the chunk is already stored
	}
	path := s.chunkPath(digest)
	folder := filepath.Dir(path)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	temporary, err := os.CreateTemp(folder, ".new-*")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = temporary.Write(compressed)
	if err == nil {
		err = temporary.Sync()
	}
	s.options.FailPoint(FailPointChunkWritten)
	if err = errors.Join(err, temporary.Close()); err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("store: chunk %.12s: %w", digest, err), os.Remove(temporary.Name()))
	}
	s.options.FailPoint(FailPointChunkRenamed)
	return durable.SyncDir(folder)
}

// MissingChunks returns the digests of the given chunks that the store does not have. It restarts the grace period of
// the other chunks, so that they are not collected before the release that references them is published.
func (s *Store) MissingChunks(digests []layer.Digest) (missing []layer.Digest) {
	s.collectMu.RLock()
	defer s.collectMu.RUnlock()
	for _, digest := range digests {
		if s.touchChunk(digest) != nil {
			missing = append(missing, digest)
		}
	}
	return missing
}
