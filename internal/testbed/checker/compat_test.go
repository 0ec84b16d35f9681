package checker_test

import (
	"reflect"
	"testing"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/testbed/checker"
)

// A folder of captures, settings and list news that an earlier version kept is read and judged as it was then.
func TestStoredCapturesAreJudged(t *testing.T) {
	f, err := checker.Load("testdata/stored")
	if err != nil {
		t.Fatal(err)
	}
	if !f.ClockBase.Equal(base) || f.End != time.Minute || len(f.Deliveries) != 5 || len(f.Captures) != 2 {
		t.Fatalf("got base %v, end %v, %d messages of list news, %d front ends; want %v, %v, 5, 2", f.ClockBase, f.End, len(f.Deliveries), len(f.Captures),
			base, time.Minute)
	}
	for i, want := range []struct {
		name    string
		records int
	}{{"f0", 40}, {"f1", 30}} {
		if got := f.Captures[i]; got.Name != want.name || got.Index != i || len(got.Records) != want.records || got.Torn {
			t.Errorf("front end %d: got name %q, index %d, %d records, torn %v; want %q, %d, %d, false", i, got.Name, got.Index,
				len(got.Records), got.Torn, want.name, i, want.records)
		}
	}
	got, err := checker.Check(f)
	want := checker.Verdict{Checked: [6]int{0, 16, 18, 20, 10, 2}, Requests: 16, Completed: 13, Rejected: 1, Failed: 1, Disconnected: 1, Attempts: 18, LoadRequests: 2,
		PeakSlowStartUse: got.PeakSlowStartUse}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	if got.PeakSlowStartUse < 0.13756966 || got.PeakSlowStartUse > 0.13756967 {
		t.Errorf("tightest cold budget: got %v, want 0.13756966307", got.PeakSlowStartUse)
	}
	// Without the first answer to a client the verdict differs: it comes from the stored bytes.
	records := f.Captures[0].Records
	for i, r := range records {
		if r.Side == capture.Client && r.Kind == capture.Written {
			f.Captures[0].Records = append(records[:i:i], records[i+1:]...)
			break
		}
	}
	if got, err := checker.Check(f); err != nil || !reflect.DeepEqual(got.ViolatedRules(), []int{1}) {
		t.Errorf("without the first answer: got rules %v broken, error %v, want [1]", got.ViolatedRules(), err)
	}
}
