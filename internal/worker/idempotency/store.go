package idempotency

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"lupinpond/internal/base/durable"
	"lupinpond/internal/base/durableclock"
)

const (
	formatVersion   = 1
	maxKeyBytes     = 2048 // bytes
	maxClaimBytes   = 64
	maxWindow       = 24 * time.Hour
	maxMessageBytes = 96 << 10 // a message with an answer that is kept
	maxSweptEntries = 1000     // entries in one transaction
)

var (
	entriesBucket  = []byte("keys") // Entry by key
	expiriesBucket = []byte("ends") // end of the window, then the key
)

// ErrFull says that a register has as many keys inside their windows as it may keep.
var ErrFull = errors.New("the register is full")

// Register is one register: entries that survive the process and the machine, and the HTTP interface to them.
type Register struct {
	db      *bolt.DB
	maxKeys int
	now     func() time.Time // goes on over restarts, whatever happens to the system's time
}

// claimMessage is the body of every request to a register.
type claimMessage struct {
	Key      string `json:"key"`
	Claim    string `json:"claim"`
	WindowMS int64  `json:"window-ms,omitempty"`
	Response []byte `json:"body,omitempty"` // of the answer, when it was handled
}

// claimAnswer is the body of the answer to a claim.
type claimAnswer struct {
	Vote     string `json:"said"` // granted, held, done
	Owner    string `json:"holder,omitempty"`
	Response []byte `json:"body,omitempty"`
}

// Open opens or makes a register's file in a folder. Another process that has it open is an error. It keeps at most most
// keys; while as many are inside their windows it grants nothing.
func Open(folder string, most int) (*Register, error) {
	path := filepath.Join(folder, "register.bolt")
	db, err := durable.Open(path, formatVersion, entriesBucket, expiriesBucket)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	db.MaxBatchDelay = time.Millisecond // claims that come together are synced together
	r := &Register{db: db, maxKeys: most}
	err = db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(durable.MetaBucket)
		var last durableclock.Mark
		if v := meta.Get([]byte("mark")); v != nil {
			if err := cbor.Unmarshal(v, &last); err != nil {
				return fmt.Errorf("mark: %w", err)
			}
		}
		now, mark := durableclock.Continue(last)
		r.now = now
		v, err := durable.EncMode().Marshal(mark)
		if err != nil {
			return err
		}
		return meta.Put([]byte("mark"), v)
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("register %s: %w", path, err), db.Close())
	}
	return r, nil
}

// Close closes the file.
func (r *Register) Close() error { return r.db.Close() }

// Claim claims a key; the answer, and the entry that stands now, are durable.
func (r *Register) Claim(key, claim string, window time.Duration) (said Vote, have Entry, err error) {
	err = r.db.Batch(func(tx *bolt.Tx) error {
		now := r.now()
		old, known, err := getEntry(tx, key)
		if err != nil {
			return err
		}
		keep, changed, s := EvaluateClaim(now, old, known, claim, window)
		said, have = s, keep
		if !changed {
			return nil
		}
		if !known && addToKeyCount(tx, 0) >= r.maxKeys {
			if n, err := sweepExpired(tx, now); err != nil {
				return err
			} else if n == 0 {
				return ErrFull
			}
		}
		return putEntry(tx, key, old, known, keep)
	})
	return said, have, err
}

// Complete notes that the event of a claim was handled, with its answer; of another claim it changes nothing.
func (r *Register) Complete(key, claim string, body []byte) error {
	return r.db.Batch(func(tx *bolt.Tx) error {
		have, known, err := getEntry(tx, key)
		if err != nil || !known || have.Claim != claim || have.Completed {
			return err
		}
		keep := have
		keep.Completed = true
		if len(body) <= MaxStoredResponse {
			keep.Response = body
		}
		return putEntry(tx, key, have, known, keep)
	})
}

// Release gives a key back whose event was not run; of another claim it changes nothing.
func (r *Register) Release(key, claim string) error {
	return r.db.Batch(func(tx *bolt.Tx) error {
		have, known, err := getEntry(tx, key)
		if err != nil || !known || have.Claim != claim || have.Completed {
			return err
		}
		if err := tx.Bucket(expiriesBucket).Delete(expiryKey(have, key)); err != nil {
			return err
		}
		addToKeyCount(tx, -1)
		return tx.Bucket(entriesBucket).Delete([]byte(key))
	})
}

// Sweep forgets keys whose windows are over and answers how many.
func (r *Register) Sweep() (n int, err error) {
	err = r.db.Batch(func(tx *bolt.Tx) error {
		n, err = sweepExpired(tx, r.now())
		return err
	})
	return n, err
}

func getEntry(tx *bolt.Tx, key string) (e Entry, known bool, err error) {
	v := tx.Bucket(entriesBucket).Get([]byte(key))
	if v == nil {
		return e, false, nil
	}
	if err := cbor.Unmarshal(v, &e); err != nil {
		return e, false, fmt.Errorf("register: entry of %q: %w", key, err)
	}
	return e, true, nil
}

func putEntry(tx *bolt.Tx, key string, have Entry, known bool, keep Entry) error {
	v, err := durable.EncMode().Marshal(keep)
	if err != nil {
		return err
	}
	ends := tx.Bucket(expiriesBucket)
	if !known {
		addToKeyCount(tx, 1)
	} else {
		if err := ends.Delete(expiryKey(have, key)); err != nil {
			return err
		}
	}
	if err := ends.Put(expiryKey(keep, key), nil); err != nil {
		return err
	}
	return tx.Bucket(entriesBucket).Put([]byte(key), v)
}

// addToKeyCount is the number of keys, changed by so many; bbolt would walk all of them to tell.
func addToKeyCount(tx *bolt.Tx, by int) int {
	n := int(tx.Bucket(durable.MetaBucket).Sequence()) + by
	if by != 0 {
		_ = tx.Bucket(durable.MetaBucket).SetSequence(uint64(n)) // fails only where the transaction can't be written
	}
	return n
}

func expiryKey(e Entry, key string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(e.ExpiresAt.UnixNano())), key...)
}

func sweepExpired(tx *bolt.Tx, now time.Time) (n int, err error) {
	ends, all := tx.Bucket(expiriesBucket), tx.Bucket(entriesBucket)
	c := ends.Cursor()
	for k, _ := c.First(); k != nil && n < maxSweptEntries && int64(binary.BigEndian.Uint64(k)) <= now.UnixNano(); k, _ = c.First() {
		key := bytes.Clone(k[8:])
		if err := c.Delete(); err != nil {
			return n, err
		}
		if err := all.Delete(key); err != nil {
			return n, err
		}
		n++
	}
	addToKeyCount(tx, -n)
	return n, nil
}

// Handler is the HTTP interface: POST /v1/claim, /v1/handled and /v1/release with {"key", "claim", "window-ms"}.
func (r *Register) Handler() http.Handler {
	mux := http.NewServeMux()
	with := func(f func(w http.ResponseWriter, m claimMessage)) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			m, err := decodeMessage(http.MaxBytesReader(w, req.Body, maxMessageBytes))
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			f(w, m)
		}
	}
	ended := func(w http.ResponseWriter, err error) {
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
	mux.HandleFunc("POST /v1/claim", with(func(w http.ResponseWriter, m claimMessage) {
		window := time.Duration(m.WindowMS) * time.Millisecond
		if m.WindowMS < 1 || m.WindowMS > int64(maxWindow/time.Millisecond) {
			http.Error(w, fmt.Sprintf("window-ms %d is not between 1 and %d", m.WindowMS, maxWindow/time.Millisecond), http.StatusBadRequest)
			return
		}
		said, have, err := r.Claim(m.Key, m.Claim, window)
		switch {
		case errors.Is(err, ErrFull):
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case err != nil:
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(claimAnswer{voteNames[said], have.Claim, have.Response}) // a worker that is gone does not run it
		}
	}))
	mux.HandleFunc("POST /v1/handled", with(func(w http.ResponseWriter, m claimMessage) { ended(w, r.Complete(m.Key, m.Claim, m.Response)) }))
	mux.HandleFunc("POST /v1/release", with(func(w http.ResponseWriter, m claimMessage) { ended(w, r.Release(m.Key, m.Claim)) }))
	return mux
}

var voteNames = map[Vote]string{VoteGranted: "granted", VoteClaimed: "held", VoteCompleted: "done"}

// decodeMessage reads a request's body.
func decodeMessage(in io.Reader) (m claimMessage, err error) {
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return m, fmt.Errorf("body: %w", err)
	}
	switch {
	case dec.More():
		return m, errors.New("body: more than one value")
	case m.Key == "" || len(m.Key) > maxKeyBytes:
		return m, fmt.Errorf("key of %d bytes, 1 to %d are taken", len(m.Key), maxKeyBytes)
	case m.Claim == "" || len(m.Claim) > maxClaimBytes:
		return m, fmt.Errorf("claim of %d bytes, 1 to %d are taken", len(m.Claim), maxClaimBytes)
	}
	return m, nil
}
