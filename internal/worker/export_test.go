package worker

import (
	"bufio"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/base/durable"
)

// ShiftJournalClock rewrites a journal as if the system clock had been wrong by offset during the whole incarnation
// that wrote it.
func ShiftJournalClock(t *testing.T, path string, offset time.Duration) {
	t.Helper()
	original, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close()
	shifted, err := os.Create(path + ".new")
	if err != nil {
		t.Fatal(err)
	}
	decoder := cbor.NewDecoder(bufio.NewReader(original))
	encoder := durable.EncMode().NewEncoder(shifted)
	for {
		var record journalRecord
		if err := decoder.Decode(&record); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if !record.ExpiresAt.IsZero() {
			record.ExpiresAt = record.ExpiresAt.Add(offset)
		}
		if record.ClockMark != nil {
			record.ClockMark.Time = record.ClockMark.Time.Add(offset)
		}
		if err := encoder.Encode(record); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(shifted.Close(), os.Rename(path+".new", path)); err != nil {
		t.Fatal(err)
	}
}
