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
	// formatVersion is the format of that file.
	formatVersion = 1
	// clockMarkKey is where durable.MetaBucket has the mark of the register's clock.
	clockMarkKey = "mark"
	// maxSweptEntries is how many entries one transaction removes.
	maxSweptEntries = 1000
	// batchDelay is how long a claim waits for others, to be synced together with them.
	batchDelay = time.Millisecond
)

// The buckets of a register's file.
var (
	entriesBucket  = []byte("keys") // Entry by key
	expiriesBucket = []byte("ends") // end of the window, then the key
)

// ErrFull says that a register has as many keys inside their windows as it may store.
var ErrFull = errors.New("the register is full")

// Register is one register: entries that survive the process and a crash of the machine.
type Register struct {
	db      *bolt.DB
	maxKeys int
	now     func() time.Time // goes on over restarts, whatever happens to the system's time
}

// Open opens or makes a register's file in a folder. A file that another process has open is an error. The register
// stores at most maxKeys keys; while as many are inside their windows it grants nothing.
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

// continueClock goes on with the clock of the file's last user, and stores its new mark.
func (r *Register) continueClock() error {
	return r.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(durable.MetaBucket)
		var last durableclock.Mark
		if encoded := meta.Get([]byte(clockMarkKey)); encoded != nil {
			if err := cbor.Unmarshal(encoded, &last); err != nil {
				return fmt.Errorf("mark: %w", err)
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

// Claim claims a key. The vote, and the entry that stands now, are durable.
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

// makeSpace makes sure that one more key can be stored.
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

// Complete stores that the request of a claim was completed, with its response; of another claim it changes nothing.
func (r *Register) Complete(key, claim string, response []byte) error {
	return r.db.Batch(func(tx *bolt.Tx) error {
		previous, open, err := getOpenEntry(tx, key, claim)
		if err != nil || !open {
			return err
		}
		completed := previous
		completed.Completed = true
		if len(response) <= MaxStoredResponse {
			completed.Response = response
		}
		return replaceEntry(tx, key, previous, completed)
	})
}

// Release gives a key back whose request was not run; of another claim it changes nothing.
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

// Sweep removes keys whose windows are over, a bounded number of them, and returns how many.
func (r *Register) Sweep() (swept int, err error) {
	err = r.db.Batch(func(tx *bolt.Tx) error {
		swept, err = sweepExpired(tx, r.now())
		return err
	})
	return swept, err
}

// getEntry is the entry of a key.
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

// getOpenEntry is the entry of a key; open says that it is the claim's and not completed.
func getOpenEntry(tx *bolt.Tx, key, claim string) (entry Entry, open bool, err error) {
	entry, known, err := getEntry(tx, key)
	return entry, err == nil && known && entry.Claim == claim && !entry.Completed, err
}

// addEntry stores the entry of a key that had none.
func addEntry(tx *bolt.Tx, key string, entry Entry) error {
	if err := addToKeyCount(tx, 1); err != nil {
		return err
	}
	return putEntry(tx, key, entry)
}

// replaceEntry stores another entry of a key.
func replaceEntry(tx *bolt.Tx, key string, previous, entry Entry) error {
	if err := tx.Bucket(expiriesBucket).Delete(expiryKey(previous, key)); err != nil {
		return err
	}
	return putEntry(tx, key, entry)
}

// putEntry writes an entry and its expiry.
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

// keyCount is the number of keys. It is stored as the sequence of a bucket, as bbolt would walk all keys to count them.
func keyCount(tx *bolt.Tx) int { return int(tx.Bucket(durable.MetaBucket).Sequence()) }

// addToKeyCount changes the number of keys.
func addToKeyCount(tx *bolt.Tx, change int) error {
	return tx.Bucket(durable.MetaBucket).SetSequence(uint64(keyCount(tx) + change))
}

// expiryKey is a key of expiriesBucket, which is ordered by the end of the window.
func expiryKey(entry Entry, key string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(entry.ExpiresAt.UnixNano())), key...)
}

// sweepExpired removes keys whose windows are over, the earliest first.
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
