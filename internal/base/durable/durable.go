// Package durable opens the database files in which registers and the artifact store keep data across restarts, and
// defines the encoding of the stored values.
package durable

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// lockTimeout is how long Open waits for a file that another process has open.
	lockTimeout = time.Second
	// initialPages is the number of pages of a new bbolt file. They are written at once, before any value is stored.
	initialPages = 4
	// formatKey is the key of the file's format in MetaBucket.
	formatKey = "format"
)

// MetaBucket is the bucket for the file's format. The owner of the file may store other keys in it.
var MetaBucket = []byte("meta")

// Open opens or creates a file of the given format and creates MetaBucket and those of the given buckets that are
// missing. It returns an error if the file has another format or another process has it open.
func Open(path string, format byte, buckets ...[]byte) (*bolt.DB, error) {
	db, err := openOrRecreate(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := prepare(db, format, buckets); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return db, nil
}

// openOrRecreate opens or creates a file. It replaces a file whose creation was never completed.
func openOrRecreate(path string) (*bolt.DB, error) {
	options := &bolt.Options{Timeout: lockTimeout}
	db, err := bolt.Open(path, 0o644, options)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) || !incomplete(path) {
		return db, err
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	return bolt.Open(path, 0o644, options)
}

// incomplete reports whether the creation of a file was never completed, for example because the disk was full. Nothing
// was ever stored in such a file.
func incomplete(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() < initialPages*int64(os.Getpagesize())
}

// prepare creates missing buckets and checks the format.
func prepare(db *bolt.DB, format byte, buckets [][]byte) error {
	return db.Update(func(tx *bolt.Tx) error {
		for _, name := range append(buckets, MetaBucket) {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(MetaBucket)
		if stored := meta.Get([]byte(formatKey)); stored != nil && !bytes.Equal(stored, []byte{format}) {
			return fmt.Errorf("file has format %v, this program reads %d", stored, format)
		}
		return meta.Put([]byte(formatKey), []byte{format})
	})
}

// SyncDir flushes the entries of a folder to disk, so that created and renamed files survive a crash.
func SyncDir(folder string) error {
	directory, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// EncMode returns the encoding of stored values: CBOR with times of nanosecond precision.
var EncMode = sync.OnceValue(func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // these options are valid
	}
	return mode
})
