package durableclock_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/base/durable"
	"lupinpond/internal/base/durableclock"
)

// TestStoredMarkIsRead guards against an incompatible change of the stored encoding: a mark that an earlier version
// wrote is decoded, encoded to the same bytes, and the clock continues from it. The mark is of another boot and far
// ahead of the system time, so the clock must start exactly at it.
func TestStoredMarkIsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/mark.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var got durableclock.Mark
	if err := cbor.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	at := time.Date(2200, 1, 1, 0, 0, 0, 123456789, time.UTC)
	if want := 90*time.Minute + 5; got.BootID != "stored" || got.Uptime != want || !got.Time.Equal(at) {
		t.Errorf("got %+v, want boot %q, up %v, at %v", got, "stored", want, at)
	}
	again, err := durable.EncMode().Marshal(got)
	if err != nil || !bytes.Equal(again, stored) {
		t.Errorf("encoded again: got %x, error %v, want %x", again, err, stored)
	}
	now, mark := durableclock.Continue(got)
	if !mark.Time.Equal(at) {
		t.Errorf("the clock continues from %v, want %v", mark.Time, at)
	}
	if got := now(); got.Before(at) {
		t.Errorf("clock: got %v, want %v or later", got, at)
	}
}
