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

// Shift rewrites a journal as if the system's clock had been off by so much all through the life that wrote it.
func Shift(t *testing.T, path string, by time.Duration) {
	in, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	out, err := os.Create(path + ".new")
	if err != nil {
		t.Fatal(err)
	}
	dec, enc := cbor.NewDecoder(bufio.NewReader(in)), durable.Mode().NewEncoder(out)
	for {
		var x note
		if err := dec.Decode(&x); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if !x.Until.IsZero() {
			x.Until = x.Until.Add(by)
		}
		if x.Mark != nil {
			x.Mark.At = x.Mark.At.Add(by)
		}
		if err := enc.Encode(x); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(out.Close(), os.Rename(path+".new", path)); err != nil {
		t.Fatal(err)
	}
}
