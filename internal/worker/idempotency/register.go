package idempotency

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"lupinpond/internal/base/durable"
	"lupinpond/internal/base/durableclock"
)

const (
	// registerFile is the name of a register's file in its folder.
	registerFile = "register.bolt"
	// formatVersion is the version of the file's format.
	formatVersion = 1
	// clockMarkKey is the key of the register's clock mark in durable.MetaBucket.
	clockMarkKey = "mark"
	// maxSweptEntries is the maximum number of expired entries that one transaction removes.
	maxSweptEntries = 1000
	// batchDelay is how long a change waits for others, so that one fsync covers all of them.
	batchDelay = time.Millisecond
)

// The buckets of a register's file.
var (
	entriesBucket  = []byte("keys") // maps a key to its Entry
	expiriesBucket = []byte("ends") // has a key from expiryKey for each entry, in the order of the windows' ends
)

// ErrFull is returned when a register already stores the maximum number of keys and none of their windows has ended.
var ErrFull = errors.New("the register is full")

// Register stores the claims of keys durably, so that they survive a crash of the process or the machine.
type Register struct {
	db      *bolt.DB
	maxKeys int
	now     func() time.Time // clock that continues across restarts; the system time affects it only after a reboot
}

// Open opens the register's file in a folder, creating it if it does not exist. It fails if another process has the
// file open. The register stores at most maxKeys keys; while the windows of that many have not ended, it grants no
// claims of other keys.
func Open(folder string, maxKeys int) (*Register, error) {
	path := filepath.Join(folder, registerFile)
	db, err := durable.Open(path, formatVersion, entriesBucket, expiriesBucket)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	db.MaxBatchDelay = batchDelay
	r := &Register{db: db, maxKeys: maxKeys}
	if err := r.continueClock(); err != nil {
		return nil, errors.Join(fmt.Errorf("register %s: %w", path, err), db.Close())
	}
	return r, nil
}

// continueClock sets r.now to a clock that continues from the mark stored in the file, and stores a new mark.
func (r *Register) continueClock() error {
	return r.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(durable.MetaBucket)
		var last durableclock.Mark
		if encoded := meta.Get([]byte(clockMarkKey)); encoded != nil {
			if err := cbor.Unmarshal(encoded, &last); err != nil {
				return fmt.Errorf("decode clock mark: %w", err)
			}
		}
		now, mark := durableclock.Continue(last)
		r.now = now
		encoded, err := durable.EncMode().Marshal(mark)
		if err != nil {
			return err
		}
		return meta.Put([]byte(clockMarkKey), encoded)
	})
}

// Close closes the file.
func (r *Register) Close() error { return r.db.Close() }

// Claim claims a key for window. It returns the register's vote and the key's entry after the vote. If err is nil,
// the entry is stored durably.
func (r *Register) Claim(key, claim string, window time.Duration) (vote Vote, entry Entry, err error) {
	err = r.db.Batch(func(tx *bolt.Tx) error {
		now := r.now()
		previous, known, err := getEntry(tx, key)
		if err != nil {
			return err
		}
		var changed bool
		entry, changed, vote = EvaluateClaim(now, previous, known, claim, window)
		if !changed {
			return nil
		}
		if !known {
			if err := r.makeSpace(tx, now); err != nil {
				return err
			}
			return addEntry(tx, key, entry)
		}
		return replaceEntry(tx, key, previous, entry)
	})
	return vote, entry, err
}

// makeSpace ensures that one more key can be stored. If the register is full, it removes expired keys.
func (r *Register) makeSpace(tx *bolt.Tx, now time.Time) error {
	if keyCount(tx) < r.maxKeys {
		return nil
	}
	swept, err := sweepExpired(tx, now)
	if err == nil && swept == 0 {
		return ErrFull
	}
	return err
}

// Complete records that the request of a claim was completed, and stores its response. It has no effect if the response
// is longer than MaxStoredResponse, or if the claim does not own the key or is already completed.
func (r *Register) Complete(key, claim string, response []byte) error {
	if len(response) > MaxStoredResponse {
		return nil
	}
	return r.db.Batch(func(tx *bolt.Tx) error {
		previous, open, err := getOpenEntry(tx, key, claim)
		if err != nil || !open {
			return err
		}
		completed := previous
		completed.Completed, completed.Response = true, response
		return replaceEntry(tx, key, previous, completed)
	})
}

// Release removes a key whose request was not run. It has no effect if the claim does not own the key or is completed.
func (r *Register) Release(key, claim string) error {
	return r.db.Batch(func(tx *bolt.Tx) error {
		entry, open, err := getOpenEntry(tx, key, claim)
		if err != nil || !open {
			return err
		}
		if err := tx.Bucket(expiriesBucket).Delete(expiryKey(entry, key)); err != nil {
			return err
		}
		if err := addToKeyCount(tx, -1); err != nil {
			return err
		}
		return tx.Bucket(entriesBucket).Delete([]byte(key))
	})
}

// Sweep removes up to maxSweptEntries keys whose windows have ended and returns their number.
func (r *Register) Sweep() (swept int, err error) {
	err = r.db.Batch(func(tx *bolt.Tx) error {
		swept, err = sweepExpired(tx, r.now())
		return err
	})
	return swept, err
}

// getEntry returns the entry of a key. known is false if there is none.
func getEntry(tx *bolt.Tx, key string) (entry Entry, known bool, err error) {
	encoded := tx.Bucket(entriesBucket).Get([]byte(key))
	if encoded == nil {
		return entry, false, nil
	}
	if err := cbor.Unmarshal(encoded, &entry); err != nil {
		return entry, false, fmt.Errorf("register: entry of %q: %w", key, err)
	}
	return entry, true, nil
}

// getOpenEntry returns the entry of a key. open reports whether claim owns the key and is not completed.
func getOpenEntry(tx *bolt.Tx, key, claim string) (entry Entry, open bool, err error) {
	entry, known, err := getEntry(tx, key)
	return entry, err == nil && known && entry.Claim == claim && !entry.Completed, err
}

// addEntry stores the first entry of a key.
func addEntry(tx *bolt.Tx, key string, entry Entry) error {
	if err := addToKeyCount(tx, 1); err != nil {
		return err
	}
	return putEntry(tx, key, entry)
}

// replaceEntry replaces the entry of a key.
func replaceEntry(tx *bolt.Tx, key string, previous, entry Entry) error {
	if err := tx.Bucket(expiriesBucket).Delete(expiryKey(previous, key)); err != nil {
		return err
	}
	return putEntry(tx, key, entry)
}

// putEntry writes an entry and its key in expiriesBucket.
func putEntry(tx *bolt.Tx, key string, entry Entry) error {
	encoded, err := durable.EncMode().Marshal(entry)
	if err != nil {
		return err
	}
	if err := tx.Bucket(expiriesBucket).Put(expiryKey(entry, key), nil); err != nil {
		return err
	}
	return tx.Bucket(entriesBucket).Put([]byte(key), encoded)
}

// keyCount returns the number of keys. It is kept in the sequence number of a bucket, because bbolt can count keys only
// by visiting all of them.
func keyCount(tx *bolt.Tx) int { return int(tx.Bucket(durable.MetaBucket).Sequence()) }

// addToKeyCount adds change to the number of keys.
func addToKeyCount(tx *bolt.Tx, change int) error {
	return tx.Bucket(durable.MetaBucket).SetSequence(uint64(keyCount(tx) + change))
}

// expiryKey returns the key of an entry in expiriesBucket: the end of the window in big-endian Unix nanoseconds, by
// which the bucket is ordered, followed by the key.
func expiryKey(entry Entry, key string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(entry.ExpiresAt.UnixNano())), key...)
}

// sweepExpired removes up to maxSweptEntries keys whose windows have ended, in the order of their ends.
func sweepExpired(tx *bolt.Tx, now time.Time) (swept int, err error) {
	entries := tx.Bucket(entriesBucket)
	cursor := tx.Bucket(expiriesBucket).Cursor()
	for swept < maxSweptEntries {
		expiry, _ := cursor.First()
		if expiry == nil || int64(binary.BigEndian.Uint64(expiry)) > now.UnixNano() {
			break
		}
		key := bytes.Clone(expiry[8:])
		if err := cursor.Delete(); err != nil {
			return swept, err
		}
		if err := entries.Delete(key); err != nil {
			return swept, err
		}
		swept++
	}
	if swept == 0 {
		return 0, nil
	}
	return swept, addToKeyCount(tx, -swept)
}
