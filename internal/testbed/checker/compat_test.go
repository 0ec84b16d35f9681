package checker_test

import (
	"reflect"
	"testing"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/testbed/checker"
)

// TestStoredCapturesAreJudged guards against format changes: a folder of captures, settings and watch events that an
// earlier version saved must still be read and get the same verdict.
func TestStoredCapturesAreJudged(t *testing.T) {
	f, err := checker.Load("testdata/stored")
	if err != nil {
		t.Fatal(err)
	}
	if !f.ClockBase.Equal(base) || f.End != time.Minute || len(f.Deliveries) != 5 || len(f.Captures) != 2 {
		t.Fatalf("got clock base %v, end %v, %d watch events, %d captures; want %v, %v, 5, 2", f.ClockBase, f.End,
			len(f.Deliveries), len(f.Captures), base, time.Minute)
	}
	for i, want := range []struct {
		name    string
		records int
	}{{"f0", 40}, {"f1", 30}} {
		if got := f.Captures[i]; got.Name != want.name || got.Index != i || len(got.Records) != want.records || got.Torn {
			t.Errorf("capture %d: got name %q, index %d, %d records, torn %v; want %q, %d, %d, false", i, got.Name,
				got.Index, len(got.Records), got.Torn, want.name, i, want.records)
		}
	}
	got, err := checker.Check(f)
	want := checker.Verdict{Checked: [6]int{0, 16, 18, 20, 10, 2}, Requests: 16, Completed: 13, Rejected: 1, Failed: 1,
		Disconnected: 1, Attempts: 18, LoadRequests: 2, PeakSlowStartUse: got.PeakSlowStartUse}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	if got.PeakSlowStartUse < 0.13756966 || got.PeakSlowStartUse > 0.13756967 {
		t.Errorf("peak slow start use: got %v, want 0.13756966307", got.PeakSlowStartUse)
	}
	// Without the first response to a client rule 1 must be violated. This shows that the verdict depends on the stored
	// bytes.
	records := f.Captures[0].Records
	for i, r := range records {
		if r.Side == capture.Client && r.Kind == capture.Written {
			f.Captures[0].Records = append(records[:i:i], records[i+1:]...)
			break
		}
	}
	if got, err := checker.Check(f); err != nil || !reflect.DeepEqual(got.ViolatedRules(), []int{1}) {
		t.Errorf("without the first response: got violated rules %v, error %v, want [1]", got.ViolatedRules(), err)
	}
}
