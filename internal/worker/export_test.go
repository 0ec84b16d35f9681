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

// ShiftJournalClock rewrites a journal as if the system's clock had been off by so much all through the life that wrote it.
func ShiftJournalClock(t *testing.T, path string, by time.Duration) {
	in, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	out, err := os.Create(path + ".new")
	if err != nil {
		t.Fatal(err)
	}
	dec, enc := cbor.NewDecoder(bufio.NewReader(in)), durable.EncMode().NewEncoder(out)
	for {
		var x journalRecord
		if err := dec.Decode(&x); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if !x.ExpiresAt.IsZero() {
			x.ExpiresAt = x.ExpiresAt.Add(by)
		}
		if x.ClockMark != nil {
			x.ClockMark.Time = x.ClockMark.Time.Add(by)
		}
		if err := enc.Encode(x); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(out.Close(), os.Rename(path+".new", path)); err != nil {
		t.Fatal(err)
	}
}
