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

// recordKind is the type of a journal record. Its values are stored on disk: new kinds are appended to the list.
type recordKind int

const (
	recordFormat       recordKind = iota + 1 // first record of the file, with its format version
	recordLoadStarted                        // a load starts; synced to disk before the load starts
	recordLoadEnded                          // a load has succeeded or failed
	recordAdmitted                           // a request that depends on a load was admitted
	recordStarted                            // written before a request that depends on a load is passed to a replica
	recordAnswered                           // the result of a request that depends on a load was sent
	recordKeyClaimed                         // a request with an idempotency key is passed to a replica
	recordKeyCompleted                       // a request with an idempotency key was completed
	recordWarmedUp                           // the worker has warmed up
)

// journalVersion is the version of the journal format that this program reads and writes.
const journalVersion = 2

// journalRecord is one record of the journal. The numbers of its fields are stored on disk.
type journalRecord struct {
	Kind          recordKind         `cbor:"1,keyasint"`
	LoadID        uint64             `cbor:"2,keyasint,omitempty"`
	Function      string             `cbor:"3,keyasint,omitempty"`
	Version       string             `cbor:"4,keyasint,omitempty"`
	RequestID     string             `cbor:"5,keyasint,omitempty"`
	Key           string             `cbor:"6,keyasint,omitempty"`
	ExpiresAt     time.Time          `cbor:"7,keyasint,omitzero"` // end of an idempotency key's window
	FormatVersion int                `cbor:"8,keyasint,omitempty"`
	Duration      time.Duration      `cbor:"11,keyasint,omitempty"` // duration of a warm-up
	ClockMark     *durableclock.Mark `cbor:"10,keyasint,omitempty"` // in recordFormat: reference of all times in the file
	Response      []byte             `cbor:"9,keyasint,omitempty"`  // response stored for a completed idempotency key
}

// journal records the loads and requests of a worker, so that the next incarnation can report which of them a crash
// interrupted. Appended records survive a crash of the process; synced records also survive a crash of the machine.
type journal struct {
	mu               sync.Mutex
	records          *recordLog
	keys             map[string]claimedKey
	responseBytes    int // total size of the responses stored in keys
	nextSweep        time.Time
	interruptedLoads []workerrpc.InterruptedLoad
	warmUpDuration   time.Duration // warm-up time of the last incarnation that warmed up
	log              *slog.Logger
	now              func() time.Time // continues across restarts; the system time affects it only after a reboot
	clockMark        durableclock.Mark
}

// openJournal replays the journal of the last incarnation and starts a new file with the records that are still needed.
// It tolerates a torn last record, which a killed process leaves, and zeros at the end, which a crash of the machine
// may leave. Anything else that cannot be read is an error, and the file is left unchanged.
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

// rewrite replaces the file with one that contains only the records that are still needed. The old file remains in
// place until the new one is complete and renamed over it.
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
	return durable.SyncDir(filepath.Dir(path)) // otherwise a crash of the machine may undo the rename
}

// appendState writes the first records of a new file: format, idempotency keys and warm-up duration.
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

// append writes a record that survives a crash of the process.
func (j *journal) append(record journalRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.records.append(record); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// appendSynced writes a record that also survives a crash of the machine.
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

// close closes the journal's file.
func (j *journal) close() error { return j.records.close() }
