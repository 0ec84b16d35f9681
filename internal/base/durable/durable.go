// Package durable opens the files in which registers and the artifact store keep what survives them, and encodes what
// is in them.
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
	// lockTimeout is how long a file that another process has open is waited for.
	lockTimeout = time.Second
	// initialPages is how many pages a new file is made with, in one write, before anything can be stored in it.
	initialPages = 4
	// formatKey is where MetaBucket has the file's format.
	formatKey = "format"
)

// MetaBucket is the bucket in which a file has its format, and whatever else its owner puts there.
var MetaBucket = []byte("meta")

// Open opens or makes a file of a format, with MetaBucket and these buckets. A file of another format, and one that
// another process has open, are errors.
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

// openOrRecreate opens a file, and makes one anew that was never made in full.
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

// incomplete reports whether a file was never made in full, as when the disk was full then: nothing was ever stored
// in it.
func incomplete(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() < initialPages*int64(os.Getpagesize())
}

// prepare makes the buckets that are missing and checks the format.
func prepare(db *bolt.DB, format byte, buckets [][]byte) error {
	return db.Update(func(tx *bolt.Tx) error {
		for _, name := range append(buckets, MetaBucket) {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(MetaBucket)
		if stored := meta.Get([]byte(formatKey)); stored != nil && !bytes.Equal(stored, []byte{format}) {
			return fmt.Errorf("format %v, this program reads %d", stored, format)
		}
		return meta.Put([]byte(formatKey), []byte{format})
	})
}

// SyncDir makes the names in a folder durable.
func SyncDir(folder string) error {
	directory, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// EncMode is how stored values are encoded: CBOR whose times have their nanoseconds.
var EncMode = sync.OnceValue(func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // these options are valid
	}
	return mode
})
