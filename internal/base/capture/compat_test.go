package capture_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"lupinpond/internal/base/capture"
)

// TestStoredCaptureIsRead guards against an incompatible change of the file format: a capture file that an earlier
// version wrote is read completely, with its header, its records by kind and side, and their data.
func TestStoredCaptureIsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/f0.cap")
	if err != nil {
		t.Fatal(err)
	}
	h, records, torn, err := capture.ReadAll(bytes.NewReader(stored))
	if err != nil || torn {
		t.Fatalf("got torn %v, error %v, want false and none", torn, err)
	}
	base := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	if h.Incarnation != "f0" || h.GatewayIndex != 0 || h.Version != 1 || !h.Base.Equal(base) {
		t.Errorf("header: got %+v, want incarnation f0, index 0, version 1, base %v", h, base)
	}
	type kindAndSide struct {
		kind capture.Kind
		side capture.Side
	}
	got, size := map[kindAndSide]int{}, 0
	for _, r := range records {
		got[kindAndSide{r.Kind, r.Side}]++
		size += len(r.Data)
	}
	want := map[kindAndSide]int{{capture.Read, capture.Client}: 8, {capture.Written, capture.Client}: 8,
		{capture.Written, capture.Worker}: 13, {capture.Read, capture.Worker}: 11}
	for k, n := range want {
		if got[k] != n {
			t.Errorf("records of kind %d, side %d: got %d, want %d", k.kind, k.side, got[k], n)
		}
	}
	if len(records) != 40 || size != 2203 {
		t.Errorf("got %d records of %d bytes, want 40 of 2203", len(records), size)
	}
	if r := records[0]; r.At != 100*time.Millisecond ||
		!bytes.HasPrefix(r.Data, []byte("POST /v1/functions/gross-salary/invocations ")) {
		t.Errorf("first record: got at %v, %q, want at 100ms, a POST to gross-salary", r.At, r.Data)
	}
	if r := records[1]; r.Peer != "a" || r.At != 101*time.Millisecond {
		t.Errorf("second record: got peer %q at %v, want a at 101ms", r.Peer, r.At)
	}
}
