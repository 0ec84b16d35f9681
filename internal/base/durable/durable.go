// Package durable opens the files in which registers and the store keep what survives them, and encodes what is kept.
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
	berrors "go.etcd.io/bbolt/errors"
)

// MetaBucket is the bucket in which a file has its format, and whatever else its owner puts there.
var MetaBucket = []byte("meta")

// Open opens or makes a file of a format, with Meta and these buckets. A file of another format, and one that another
// process has open, are errors.
func Open(path string, format byte, buckets ...[]byte) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second})
	if err != nil && !errors.Is(err, berrors.ErrTimeout) && incomplete(path) {
		if err := os.Remove(path); err != nil {
			return nil, err
		}
		db, err = bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second})
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range append(buckets, MetaBucket) {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(MetaBucket)
		if v := meta.Get([]byte("format")); v != nil && !bytes.Equal(v, []byte{format}) {
			return fmt.Errorf("format %v, this program reads %d", v, format)
		}
		return meta.Put([]byte("format"), []byte{format})
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return db, nil
}

// initialPages is how many pages a new file is made with, in one write, before anything can be kept in it.
const initialPages = 4

// incomplete tells whether a file was never made whole, as when the disk was full then: nothing was ever kept in it.
func incomplete(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Size() < initialPages*int64(os.Getpagesize())
}

// SyncDir makes the names in a folder durable.
func SyncDir(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// EncMode is how kept values are encoded: CBOR whose times have their nanoseconds.
var EncMode = sync.OnceValue(func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // no option of it is wrong
	}
	return mode
})
