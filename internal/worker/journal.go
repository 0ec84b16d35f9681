package worker

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lupinpond/internal/base/durable"
	"lupinpond/internal/base/durableclock"
	"lupinpond/internal/workerrpc"
)

// recordKind says what a journal record is about. The numbers are on disk: a new kind goes to the end.
type recordKind int

const (
	recordFormat       recordKind = iota + 1 // the first record
	recordLoadStarted                        // a load begins; durable before it does
	recordLoadEnded                          // it ended, successful or not
	recordAdmitted                           // a request was admitted that depends on a load
	recordStarted                            // such a request is handed to a replica; written before it is
	recordAnswered                           // such a request has its result
	recordKeyClaimed                         // a request with an idempotency key is handed to a replica
	recordKeyCompleted                       // and was completed
	recordWarmedUp                           // the worker has warmed up
)

// journalVersion is the format that this program reads and writes.
const journalVersion = 2

// journalRecord is one record. The numbers of its fields are on disk.
type journalRecord struct {
	Kind          recordKind         `cbor:"1,keyasint"`
	LoadID        uint64             `cbor:"2,keyasint,omitempty"`
	Function      string             `cbor:"3,keyasint,omitempty"`
	Version       string             `cbor:"4,keyasint,omitempty"`
	RequestID     string             `cbor:"5,keyasint,omitempty"`
	Key           string             `cbor:"6,keyasint,omitempty"`
	ExpiresAt     time.Time          `cbor:"7,keyasint,omitzero"` // of a key: the end of its window
	FormatVersion int                `cbor:"8,keyasint,omitempty"`
	Duration      time.Duration      `cbor:"11,keyasint,omitempty"` // of a warm-up
	ClockMark     *durableclock.Mark `cbor:"10,keyasint,omitempty"` // of the first record: what its times are by
	Response      []byte             `cbor:"9,keyasint,omitempty"`  // of a completed key
}

// journal is what a worker writes down so that its next incarnation can tell the truth about this one. Records that are
// appended survive the process; synced ones survive a crash of the machine too.
type journal struct {
	mu               sync.Mutex
	records          *recordLog
	keys             map[string]claimedKey
	responseBytes    int // of the responses stored in keys
	nextSweep        time.Time
	interruptedLoads []workerrpc.InterruptedLoad
	warmUpDuration   time.Duration // of the last incarnation that warmed up
	log              *slog.Logger
	now              func() time.Time // goes on over restarts, whatever happens to the system's time
	clockMark        durableclock.Mark
}

// openJournal replays what the last incarnation left and begins a new file with what still counts. A torn last record
// is what a kill leaves, and zeros at the end what a crash of the machine may leave; anything else that can't be read
// is an error, and the file stays as it is.
func openJournal(path string, log *slog.Logger) (*journal, error) {
	j := &journal{keys: map[string]claimedKey{}, log: log}
	j.now, j.clockMark = durableclock.Continue(durableclock.Mark{})
	if err := j.replay(path); err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	if err := j.rewrite(path); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return j, nil
}

// rewrite replaces the file by one with what still counts. Until the rename the old file stands.
func (j *journal) rewrite(path string) (err error) {
	temporary, err := os.CreateTemp(filepath.Dir(path), ".journal-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			temporary.Close()
			os.Remove(temporary.Name())
		}
	}()
	j.records = &recordLog{file: temporary}
	if err := j.appendState(); err != nil {
		return err
	}
	if err := temporary.Sync(); err != nil {
		return err
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return err
	}
	return durable.SyncDir(filepath.Dir(path)) // else a crash of the machine may bring the old file back
}

// appendState writes all that a new file begins with.
func (j *journal) appendState() error {
	first := journalRecord{Kind: recordFormat, FormatVersion: journalVersion, ClockMark: &j.clockMark}
	if err := j.records.append(first); err != nil {
		return err
	}
	for name, key := range j.keys {
		kind := recordKeyClaimed
		if key.completed {
			kind = recordKeyCompleted
		}
		if err := j.records.append(key.record(kind, name)); err != nil {
			return err
		}
	}
	if j.warmUpDuration > 0 {
		return j.records.append(journalRecord{Kind: recordWarmedUp, Duration: j.warmUpDuration})
	}
	return nil
}

// append adds a record that survives the process.
func (j *journal) append(record journalRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.records.append(record); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// appendSynced adds a record that survives a crash of the machine.
func (j *journal) appendSynced(record journalRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.records.append(record); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.records.sync(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// close closes the file.
func (j *journal) close() error { return j.records.close() }
