package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lupinpond/internal/base/durable"
	"lupinpond/internal/base/durableclock"
	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/workerrpc"
)

// What a journal's records say.
const (
	recordFormat       = iota + 1 // the first record
	recordLoadStarted             // a load begins; durable before it does
	recordLoadEnded               // it ended, well or not
	recordAdmitted                // an event was taken while its function loads
	recordStarted                 // an event is handed to a copy; written before it is
	recordAnswered                // an event has its answer
	recordKeyClaimed              // a keyed event is handed to a copy
	recordKeyCompleted            // and was handled
	recordWarmedUp                // the worker has warmed up
)

const journalVersion = 2

// journalRecord is one record.
type journalRecord struct {
	Kind          int                `cbor:"1,keyasint"`
	LoadID        uint64             `cbor:"2,keyasint,omitempty"`
	Function      string             `cbor:"3,keyasint,omitempty"`
	Version       string             `cbor:"4,keyasint,omitempty"`
	RequestID     string             `cbor:"5,keyasint,omitempty"`
	Key           string             `cbor:"6,keyasint,omitempty"`
	ExpiresAt     time.Time          `cbor:"7,keyasint,omitzero"` // of a key: the end of its window
	FormatVersion int                `cbor:"8,keyasint,omitempty"`
	Duration      time.Duration      `cbor:"11,keyasint,omitempty"` // of a warm-up
	ClockMark     *durableclock.Mark `cbor:"10,keyasint,omitempty"` // of the first record: what its times are by
	Response      []byte             `cbor:"9,keyasint,omitempty"`  // of a key that was handled: its answer
}

// claimedKey is a keyed event inside its window.
type claimedKey struct {
	expiresAt time.Time
	completed bool // else it may have run
	response  []byte
}

// journal is what a worker writes down so that its next life can tell the truth about this one. Records that are written
// survive the process; loads are synced, and so survive the machine.
type journal struct {
	mu               sync.Mutex
	records          *recordLog
	keys             map[string]claimedKey
	interruptedLoads []workerrpc.InterruptedLoad
	warmUpDuration   time.Duration // of the last life, or the one before if that never was warm
	nextSweep        time.Time
	responseBytes    int // bytes of answers kept in keys
	log              *slog.Logger
	now              func() time.Time // goes on over restarts, whatever happens to the system's time
	clockMark        durableclock.Mark
}

// openJournal reads what the last life left and begins a new file with what still counts. A torn last record is what
// a kill leaves, and zeros at the end what a machine that fails may leave; anything else that can't be read is an error, and
// the file stays as it is.
func openJournal(path string, log *slog.Logger) (_ *journal, err error) {
	j := &journal{keys: map[string]claimedKey{}, log: log}
	j.now, j.clockMark = durableclock.Continue(durableclock.Mark{})
	if err := j.replay(path); err != nil {
		return nil, fmt.Errorf("journal %s: %w", path, err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".journal-*")
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer func() {
		if err != nil {
			tmp.Close()
			os.Remove(tmp.Name())
			err = fmt.Errorf("journal: %w", err)
		}
	}()
	j.records = &recordLog{file: tmp}
	if err = j.records.append(journalRecord{Kind: recordFormat, FormatVersion: journalVersion, ClockMark: &j.clockMark}); err != nil {
		return nil, err
	}
	for name, k := range j.keys {
		kind := recordKeyClaimed
		if k.completed {
			kind = recordKeyCompleted
		}
		if err = j.records.append(journalRecord{Kind: kind, Key: name, ExpiresAt: k.expiresAt, Response: k.response}); err != nil {
			return nil, err
		}
	}
	if j.warmUpDuration > 0 {
		if err = j.records.append(journalRecord{Kind: recordWarmedUp, Duration: j.warmUpDuration}); err != nil {
			return nil, err
		}
	}
	if err = tmp.Sync(); err != nil {
		return nil, err
	}
	if err = os.Rename(tmp.Name(), path); err != nil {
		return nil, err
	}
	if err = durable.SyncDir(filepath.Dir(path)); err != nil { // else a machine that fails may come back with the old file
		return nil, err
	}
	return j, nil
}

func (j *journal) replay(path string) error {
	in, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer in.Close()
	type load struct {
		workerrpc.InterruptedLoad
		id uint64
	}
	var open []*load
	taken := map[string]string{} // function by event
	ran := map[string]bool{}
	records := newRecordReader(in)
	for n := 1; ; n++ {
		var x journalRecord
		err := records.next(&x)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", n, err)
		}
		if n == 1 && (x.Kind != recordFormat || x.FormatVersion != journalVersion) {
			return fmt.Errorf("record 1: version %d, this program reads %d", x.FormatVersion, journalVersion)
		}
		if n == 1 && x.ClockMark != nil {
			j.now, j.clockMark = durableclock.Continue(*x.ClockMark)
		}
		switch x.Kind {
		case recordLoadStarted:
			open = append(open, &load{workerrpc.InterruptedLoad{Function: x.Function, Version: x.Version}, x.LoadID})
		case recordLoadEnded:
			open = slices.DeleteFunc(open, func(l *load) bool { return l.id == x.LoadID })
		case recordAdmitted:
			taken[x.RequestID] = x.Function // before its load begins, or while it goes on
		case recordStarted:
			ran[x.RequestID] = true
		case recordAnswered:
			delete(taken, x.RequestID)
		case recordWarmedUp:
			j.warmUpDuration = x.Duration
		case recordKeyClaimed, recordKeyCompleted:
			delete(j.keys, x.Key) // one that never ran is written with a time that is over
			if x.ExpiresAt.After(j.now()) {
				j.keys[x.Key] = claimedKey{x.ExpiresAt, x.Kind == recordKeyCompleted, x.Response}
			}
		}
	}
	for _, k := range j.keys {
		j.responseBytes += len(k.response)
	}
	for _, l := range open {
		for event, function := range taken {
			if function == l.Function {
				l.Requests = append(l.Requests, workerrpc.InterruptedRequest{RequestID: event, MayHaveRun: ran[event]})
			}
		}
		slices.SortFunc(l.Requests, func(a, b workerrpc.InterruptedRequest) int {
			if a.RequestID < b.RequestID {
				return -1
			}
			return 1
		})
		j.interruptedLoads = append(j.interruptedLoads, l.InterruptedLoad)
	}
	return nil
}

// append adds a record; sync has it survive the machine too.
func (j *journal) append(n journalRecord, sync bool) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.records.append(n); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if sync {
		if err := j.records.sync(); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	return nil
}

// localClaim is the claim of every event at the worker's own journal: an event handed over twice at a time is none of its cases.
const localClaim = "own"

// maxStoredResponseBytes is how many bytes of answers the journal keeps in all; beyond it repeats are told only that it was handled.
const maxStoredResponseBytes = 64 << 20

// Claim notes that a keyed event is handed to a copy, unless it is a repeat inside the window of the first.
func (j *journal) Claim(_ context.Context, name string, window time.Duration) (string, idempotency.Decision, []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.After(j.nextSweep) {
		j.nextSweep = now.Add(time.Second)
		for other, k := range j.keys {
			if now.After(k.expiresAt) {
				j.responseBytes -= len(k.response)
				delete(j.keys, other)
			}
		}
	}
	if k, is := j.keys[name]; is && now.Before(k.expiresAt) {
		if k.completed {
			return "", idempotency.DecisionCompleted, k.response
		}
		return "", idempotency.DecisionDuplicate, nil
	}
	k := claimedKey{expiresAt: now.Add(window)}
	if j.appendKey(recordKeyClaimed, name, k) != nil {
		return "", idempotency.DecisionUnknown, nil
	}
	j.responseBytes -= len(j.keys[name].response) // of one whose window is over
	j.keys[name] = k
	return localClaim, idempotency.DecisionExecute, nil
}

// Complete notes that a keyed event was handled.
func (j *journal) Complete(name, _ string, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if k, is := j.keys[name]; is { // else its window is over
		k.completed = true
		if len(body) <= idempotency.MaxStoredResponse && j.responseBytes+len(body) <= maxStoredResponseBytes {
			k.response = body
			j.responseBytes += len(body)
		}
		j.keys[name] = k
		_ = j.appendKey(recordKeyCompleted, name, k) // unwritten, its repeats count as may have run after a restart
	}
}

// Release takes a key back: its event was given to no copy after all.
func (j *journal) Release(name, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.keys, name)
	_ = j.appendKey(recordKeyClaimed, name, claimedKey{expiresAt: time.Unix(1, 0)}) // unwritten, its repeats count as may have run after a restart
}

// appendKey writes a key; the lock is held.
func (j *journal) appendKey(kind int, name string, k claimedKey) error {
	err := j.records.append(journalRecord{Kind: kind, Key: name, ExpiresAt: k.expiresAt, Response: k.response})
	if err != nil {
		j.log.Error("journal: a key is not written down", "err", err)
	}
	return err
}

func (j *journal) close() error { return j.records.close() }
