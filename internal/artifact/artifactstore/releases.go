package artifactstore

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	bolt "go.etcd.io/bbolt"

	"lupinpond/internal/artifact/layer"
)

// PackageInfo identifies a release of a package.
type PackageInfo struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Digest  string `json:"digest"` // digest of the encoded release in hex
}

func releaseKey(name, version string) []byte { return []byte(name + "\x00" + version) }

// Publish stores a release and makes it the newest of its package, in one transaction. A version that is already
// published can only be published again with the same content. If chunks of the release are not stored, the error is
// ErrMissingChunks. The texts of its errors are part of the HTTP API.
func (s *Store) Publish(encoded []byte) (PackageInfo, error) {
	release, err := layer.Decode(encoded)
	if err != nil {
		return PackageInfo{}, err
	}
	manifest, err := release.ParseManifest()
	if err != nil {
		return PackageInfo{}, err
	}
	s.collectMu.RLock()
	defer s.collectMu.RUnlock()
	for _, chunk := range release.Chunks() {
		if _, err := os.Stat(s.chunkPath(chunk.Digest)); err != nil {
			return PackageInfo{}, fmt.Errorf("%w: chunk %.12s: %w", ErrMissingChunks, chunk.Digest, err)
		}
	}
	if strings.ContainsRune(manifest.Name+manifest.Version, 0) {
		return PackageInfo{}, errors.New("store: a name or version with a zero byte")
	}
	s.options.FailPoint(FailPointBeforeCommit)
	err = s.db.Update(func(tx *bolt.Tx) error {
		key := releaseKey(manifest.Name, manifest.Version)
		if old := tx.Bucket(releasesBucket).Get(key); old != nil && !bytes.Equal(old, encoded) {
			return fmt.Errorf("version %s of %s is published already with other content", manifest.Version, manifest.Name)
		}
		if err := tx.Bucket(releasesBucket).Put(key, encoded); err != nil {
			return err
		}
		return tx.Bucket(newestBucket).Put([]byte(manifest.Name), []byte(manifest.Version))
	})
	if err != nil {
		return PackageInfo{}, fmt.Errorf("store: %w", err)
	}
	s.mu.Lock()
	s.packageCache = nil
	s.mu.Unlock()
	s.options.FailPoint(FailPointAfterCommit)
	return PackageInfo{manifest.Name, manifest.Version, layer.Sum(encoded).String()}, nil
}

// Withdraw removes a version of a package. The newest version cannot be withdrawn. If the version does not exist, the
// error is fs.ErrNotExist. The texts of its errors are part of the HTTP API.
func (s *Store) Withdraw(name, version string) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		if string(tx.Bucket(newestBucket).Get([]byte(name))) == version {
			return fmt.Errorf("store: %s is the newest version of %s: publish another one first", version, name)
		}
		if tx.Bucket(releasesBucket).Get(releaseKey(name, version)) == nil {
			return fmt.Errorf("store: no version %s of %s: %w", version, name, fs.ErrNotExist)
		}
		return tx.Bucket(releasesBucket).Delete(releaseKey(name, version))
	})
}

// Release returns an encoded release. An empty version means the newest. If the release does not exist, the error is
// fs.ErrNotExist.
func (s *Store) Release(name, version string) (encoded []byte, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if version == "" {
			version = string(tx.Bucket(newestBucket).Get([]byte(name)))
		}
		stored := tx.Bucket(releasesBucket).Get(releaseKey(name, version))
		if stored == nil {
			return fmt.Errorf("store: no release %q of %q: %w", version, name, fs.ErrNotExist)
		}
		encoded = bytes.Clone(stored)
		return nil
	})
	return encoded, err
}

// Packages returns the newest release of each package. Because every worker polls this list, it is cached and read from
// the database only in the first call and after a release was published.
func (s *Store) Packages() ([]PackageInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packageCache != nil {
		return s.packageCache, nil
	}
	packages := []PackageInfo{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(newestBucket).ForEach(func(name, version []byte) error {
			encoded := tx.Bucket(releasesBucket).Get(releaseKey(string(name), string(version)))
			packages = append(packages, PackageInfo{string(name), string(version), layer.Sum(encoded).String()})
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	s.packageCache = packages
	return packages, nil
}
