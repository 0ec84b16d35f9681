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
	if !f.Base.Equal(base) || f.End != time.Minute || len(f.News) != 5 || len(f.Fronts) != 2 {
		t.Fatalf("got base %v, end %v, %d messages of list news, %d front ends; want %v, %v, 5, 2", f.Base, f.End, len(f.News), len(f.Fronts),
			base, time.Minute)
	}
	for i, want := range []struct {
		name    string
		records int
	}{{"f0", 40}, {"f1", 30}} {
		if got := f.Fronts[i]; got.Name != want.name || got.Index != i || len(got.Records) != want.records || got.Torn {
			t.Errorf("front end %d: got name %q, index %d, %d records, torn %v; want %q, %d, %d, false", i, got.Name, got.Index,
				len(got.Records), got.Torn, want.name, i, want.records)
		}
	}
	got, err := checker.Judge(f)
	want := checker.Verdict{Checked: [6]int{0, 16, 18, 20, 10, 2}, Tries: 16, Handled: 13, Deferred: 1, Dead: 1, Left: 1, Launches: 18, Orders: 2,
		Tightest: got.Tightest}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	if got.Tightest < 0.13756966 || got.Tightest > 0.13756967 {
		t.Errorf("tightest cold budget: got %v, want 0.13756966307", got.Tightest)
	}
	// Without the first answer to a client the verdict differs: it comes from the stored bytes.
	records := f.Fronts[0].Records
	for i, r := range records {
		if r.Side == capture.Client && r.Kind == capture.Written {
			f.Fronts[0].Records = append(records[:i:i], records[i+1:]...)
			break
		}
	}
	if got, err := checker.Judge(f); err != nil || !reflect.DeepEqual(got.Broken(), []int{1}) {
		t.Errorf("without the first answer: got rules %v broken, error %v, want [1]", got.Broken(), err)
	}
}
