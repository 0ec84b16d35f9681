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

// journalReplay is what the records of the last incarnation say about its loads, while they are read.
type journalReplay struct {
	openLoads []openLoad
	admitted  map[string]string // function by the ID of a request without a result
	started   map[string]bool   // by the ID of a request
}

// openLoad is a load that has started and not ended.
type openLoad struct {
	id                uint64
	function, version string
}

// replay reads a journal from its first record; a file that does not exist has none.
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

// replayFormat checks the first record and goes on with its clock.
func (j *journal) replayFormat(record journalRecord) error {
	if record.Kind != recordFormat || record.FormatVersion != journalVersion {
		return fmt.Errorf("version %d, this program reads %d", record.FormatVersion, journalVersion)
	}
	if record.ClockMark != nil {
		j.now, j.clockMark = durableclock.Continue(*record.ClockMark)
	}
	return nil
}

// apply takes one record into account.
func (j *journal) apply(record journalRecord, state *journalReplay) {
	switch record.Kind {
	case recordLoadStarted:
		state.openLoads = append(state.openLoads, openLoad{record.LoadID, record.Function, record.Version})
	case recordLoadEnded:
		state.openLoads = slices.DeleteFunc(state.openLoads, func(l openLoad) bool { return l.id == record.LoadID })
	case recordAdmitted:
		state.admitted[record.RequestID] = record.Function // before its load begins, or while it goes on
	case recordStarted:
		state.started[record.RequestID] = true
	case recordAnswered:
		delete(state.admitted, record.RequestID)
	case recordWarmedUp:
		j.warmUpDuration = record.Duration
	case recordKeyClaimed, recordKeyCompleted:
		delete(j.keys, record.Key) // a released key is recorded with a window that is over
		if record.ExpiresAt.After(j.now()) {
			j.keys[record.Key] = claimedKey{
				expiresAt: record.ExpiresAt,
				completed: record.Kind == recordKeyCompleted,
				response:  record.Response,
			}
		}
	}
}

// interruptedLoads lists the loads without an end, each with the requests that depended on it.
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
