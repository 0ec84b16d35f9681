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
	noteFormat = iota + 1 // the first record
	noteLoad              // a load begins; durable before it does
	noteLoaded            // it ended, well or not
	noteTaken             // an event was taken while its function loads
	noteRun               // an event is handed to a copy; written before it is
	noteOver              // an event has its answer
	noteKey               // a keyed event is handed to a copy
	noteKept              // and was handled
	noteWarm              // the worker has warmed up
)

const journalVersion = 2

// note is one record.
type note struct {
	Kind     int                `cbor:"1,keyasint"`
	Load     uint64             `cbor:"2,keyasint,omitempty"`
	Function string             `cbor:"3,keyasint,omitempty"`
	Version  string             `cbor:"4,keyasint,omitempty"`
	Event    string             `cbor:"5,keyasint,omitempty"`
	Key      string             `cbor:"6,keyasint,omitempty"`
	Until    time.Time          `cbor:"7,keyasint,omitzero"` // of a key: the end of its window
	Format   int                `cbor:"8,keyasint,omitempty"`
	Took     time.Duration      `cbor:"11,keyasint,omitempty"` // of a warm-up
	Mark     *durableclock.Mark `cbor:"10,keyasint,omitempty"` // of the first record: what its times are by
	Body     []byte             `cbor:"9,keyasint,omitempty"`  // of a key that was handled: its answer
}

// key is a keyed event inside its window.
type key struct {
	until   time.Time
	handled bool // else it may have run
	body    []byte
}

// journal is what a worker writes down so that its next life can tell the truth about this one. Records that are written
// survive the process; loads are synced, and so survive the machine.
type journal struct {
	mu     sync.Mutex
	file   *recordLog
	keys   map[string]key
	cut    []workerrpc.InterruptedLoad
	warmUp time.Duration // of the last life, or the one before if that never was warm
	sweep  time.Time
	bodies int // bytes of answers kept in keys
	log    *slog.Logger
	now    func() time.Time // goes on over restarts, whatever happens to the system's time
	mark   durableclock.Mark
}

// openJournal reads what the last life left and begins a new file with what still counts. A torn last record is what
// a kill leaves, and zeros at the end what a machine that fails may leave; anything else that can't be read is an error, and
// the file stays as it is.
func openJournal(path string, log *slog.Logger) (_ *journal, err error) {
	j := &journal{keys: map[string]key{}, log: log}
	j.now, j.mark = durableclock.Continue(durableclock.Mark{})
	if err := j.read(path); err != nil {
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
	j.file = &recordLog{file: tmp}
	if err = j.file.append(note{Kind: noteFormat, Format: journalVersion, Mark: &j.mark}); err != nil {
		return nil, err
	}
	for name, k := range j.keys {
		kind := noteKey
		if k.handled {
			kind = noteKept
		}
		if err = j.file.append(note{Kind: kind, Key: name, Until: k.until, Body: k.body}); err != nil {
			return nil, err
		}
	}
	if j.warmUp > 0 {
		if err = j.file.append(note{Kind: noteWarm, Took: j.warmUp}); err != nil {
			return nil, err
		}
	}
	if err = tmp.Sync(); err != nil {
		return nil, err
	}
	if err = os.Rename(tmp.Name(), path); err != nil {
		return nil, err
	}
	if err = durable.SyncFolder(filepath.Dir(path)); err != nil { // else a machine that fails may come back with the old file
		return nil, err
	}
	return j, nil
}

func (j *journal) read(path string) error {
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
		var x note
		err := records.next(&x)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", n, err)
		}
		if n == 1 && (x.Kind != noteFormat || x.Format != journalVersion) {
			return fmt.Errorf("record 1: version %d, this program reads %d", x.Format, journalVersion)
		}
		if n == 1 && x.Mark != nil {
			j.now, j.mark = durableclock.Continue(*x.Mark)
		}
		switch x.Kind {
		case noteLoad:
			open = append(open, &load{workerrpc.InterruptedLoad{Function: x.Function, Version: x.Version}, x.Load})
		case noteLoaded:
			open = slices.DeleteFunc(open, func(l *load) bool { return l.id == x.Load })
		case noteTaken:
			taken[x.Event] = x.Function // before its load begins, or while it goes on
		case noteRun:
			ran[x.Event] = true
		case noteOver:
			delete(taken, x.Event)
		case noteWarm:
			j.warmUp = x.Took
		case noteKey, noteKept:
			delete(j.keys, x.Key) // one that never ran is written with a time that is over
			if x.Until.After(j.now()) {
				j.keys[x.Key] = key{x.Until, x.Kind == noteKept, x.Body}
			}
		}
	}
	for _, k := range j.keys {
		j.bodies += len(k.body)
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
		j.cut = append(j.cut, l.InterruptedLoad)
	}
	return nil
}

// write adds a record; sync has it survive the machine too.
func (j *journal) write(n note, sync bool) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.file.append(n); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if sync {
		if err := j.file.sync(); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	return nil
}

// own is the claim of every event at the worker's own journal: an event handed over twice at a time is none of its cases.
const own = "own"

// mostBodies is how many bytes of answers the journal keeps in all; beyond it repeats are told only that it was handled.
const mostBodies = 64 << 20

// Claim notes that a keyed event is handed to a copy, unless it is a repeat inside the window of the first.
func (j *journal) Claim(_ context.Context, name string, window time.Duration) (string, idempotency.Verdict, []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.After(j.sweep) {
		j.sweep = now.Add(time.Second)
		for other, k := range j.keys {
			if now.After(k.until) {
				j.bodies -= len(k.body)
				delete(j.keys, other)
			}
		}
	}
	if k, is := j.keys[name]; is && now.Before(k.until) {
		if k.handled {
			return "", idempotency.Handled, k.body
		}
		return "", idempotency.Repeat, nil
	}
	k := key{until: now.Add(window)}
	if j.note(noteKey, name, k) != nil {
		return "", idempotency.Unknown, nil
	}
	j.bodies -= len(j.keys[name].body) // of one whose window is over
	j.keys[name] = k
	return own, idempotency.Run, nil
}

// Handled notes that a keyed event was handled.
func (j *journal) Handled(name, _ string, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if k, is := j.keys[name]; is { // else its window is over
		k.handled = true
		if len(body) <= idempotency.MostBody && j.bodies+len(body) <= mostBodies {
			k.body = body
			j.bodies += len(body)
		}
		j.keys[name] = k
		_ = j.note(noteKept, name, k) // unwritten, its repeats count as may have run after a restart
	}
}

// Release takes a key back: its event was given to no copy after all.
func (j *journal) Release(name, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.keys, name)
	_ = j.note(noteKey, name, key{until: time.Unix(1, 0)}) // unwritten, its repeats count as may have run after a restart
}

// note writes a key; the lock is held.
func (j *journal) note(kind int, name string, k key) error {
	err := j.file.append(note{Kind: kind, Key: name, Until: k.until, Body: k.body})
	if err != nil {
		j.log.Error("journal: a key is not written down", "err", err)
	}
	return err
}

func (j *journal) close() error { return j.file.close() }
