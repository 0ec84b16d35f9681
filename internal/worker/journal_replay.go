package worker

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"lupinpond/internal/base/durableclock"
	"lupinpond/internal/workerrpc"
)

// journalReplay is the state of the last incarnation's loads and requests, reconstructed from its records.
type journalReplay struct {
	openLoads []openLoad
	admitted  map[string]string // maps the ID of each unanswered request to its function
	started   map[string]bool   // IDs of the requests that were passed to a replica
}

// openLoad is a load that was started and has not ended.
type openLoad struct {
	id                uint64
	function, version string
}

// replay reads all records of a journal file and rebuilds the journal's state. A file that does not exist has no
// records.
func (j *journal) replay(path string) error {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	state := journalReplay{admitted: map[string]string{}, started: map[string]bool{}}
	reader := newRecordReader(file)
	for number := 1; ; number++ {
		var record journalRecord
		err := reader.next(&record)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", number, err)
		}
		if number == 1 {
			if err := j.replayFormat(record); err != nil {
				return fmt.Errorf("record 1: %w", err)
			}
		}
		j.apply(record, &state)
	}
	for _, key := range j.keys {
		j.responseBytes += len(key.response)
	}
	j.interruptedLoads = state.interruptedLoads()
	return nil
}

// replayFormat checks the format version in the first record and continues the clock from its mark.
func (j *journal) replayFormat(record journalRecord) error {
	if record.Kind != recordFormat || record.FormatVersion != journalVersion {
		return fmt.Errorf("format version %d, this program reads version %d", record.FormatVersion, journalVersion)
	}
	if record.ClockMark != nil {
		j.now, j.clockMark = durableclock.Continue(*record.ClockMark)
	}
	return nil
}

// apply updates the journal and the replay state with one record.
func (j *journal) apply(record journalRecord, state *journalReplay) {
	switch record.Kind {
	case recordLoadStarted:
		state.openLoads = append(state.openLoads, openLoad{record.LoadID, record.Function, record.Version})
	case recordLoadEnded:
		state.openLoads = slices.DeleteFunc(state.openLoads, func(l openLoad) bool { return l.id == record.LoadID })
	case recordAdmitted:
		state.admitted[record.RequestID] = record.Function // written before its load starts or while the load runs
	case recordStarted:
		state.started[record.RequestID] = true
	case recordAnswered:
		delete(state.admitted, record.RequestID)
	case recordWarmedUp:
		j.warmUpDuration = record.Duration
	case recordKeyClaimed, recordKeyCompleted:
		delete(j.keys, record.Key) // a released key is recorded with an ExpiresAt in the past
		if record.ExpiresAt.After(j.now()) {
			j.keys[record.Key] = claimedKey{
				expiresAt: record.ExpiresAt,
				completed: record.Kind == recordKeyCompleted,
				response:  record.Response,
			}
		}
	}
}

// interruptedLoads returns the loads that have not ended, each with the unanswered requests that depended on it.
func (r *journalReplay) interruptedLoads() []workerrpc.InterruptedLoad {
	var loads []workerrpc.InterruptedLoad
	for _, open := range r.openLoads {
		load := workerrpc.InterruptedLoad{Function: open.function, Version: open.version}
		for id, function := range r.admitted {
			if function == open.function {
				request := workerrpc.InterruptedRequest{RequestID: id, MayHaveRun: r.started[id]}
				load.Requests = append(load.Requests, request)
			}
		}
		slices.SortFunc(load.Requests, func(a, b workerrpc.InterruptedRequest) int {
			return cmp.Compare(a.RequestID, b.RequestID)
		})
		loads = append(loads, load)
	}
	return loads
}
