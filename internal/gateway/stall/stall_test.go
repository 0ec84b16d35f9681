package stall

import (
	"runtime"
	"testing"
	"time"
)

// Data that arrived during a stall must not be treated as if it had just arrived. A gap between two ticks therefore
// counts as a stall from the first of them until SettleTime after it is detected, by the next tick or by a call of Lag.
func TestLag(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d Detector
	expectLag := func(ms int, want time.Duration, what string) {
		t.Helper()
		if lag := d.Lag(at(ms)); lag != want {
			t.Errorf("%s: got lag %v, want %v", what, lag, want)
		}
	}
	expectLag(500, 0, "before the first tick")
	d.observe(at(0))
	d.observe(at(50))
	expectLag(140, 0, "a gap shorter than minStall")
	expectLag(950, 900*time.Millisecond, "stall detected by Lag")
	d.observe(at(951))
	expectLag(960, 910*time.Millisecond, "right after the stall")
	expectLag(980, 0, "after the settle time")
	d.observe(at(1001))
	expectLag(1040, 0, "running again")
	d.observe(at(2000))
	expectLag(2001, time.Second, "stall detected by the tick")
	if !d.EndedAfter(at(1990), at(2001)) || d.EndedAfter(at(2010), at(2011)) {
		t.Error("EndedAfter is wrong for a stall that ended at 2000 ms")
	}
}

// TestBusyProcessHasNotStalled guards against stalls of a process that ran all the time, or for most of the time as with
// a quota of processor time, but whose goroutines had to wait for each other.
func TestBusyProcessHasNotStalled(t *testing.T) {
	for _, test := range []struct {
		name      string
		gap, used time.Duration
		stalled   bool
	}{
		{"busy all the time", time.Second, time.Second, false},
		{"a quota, stopped for 60 ms", 150 * time.Millisecond, 90 * time.Millisecond, false},
		{"a quota, stopped for 80 ms", 120 * time.Millisecond, 40 * time.Millisecond, false},
		{"stopped", 150 * time.Millisecond, 0, true},
		{"busy, then stopped for 120 ms", 200 * time.Millisecond, 80 * time.Millisecond, true},
	} {
		used, start := time.Duration(0), time.Now()
		d := Detector{processorTime: func() time.Duration { return used }}
		d.observe(start)
		used += test.used * time.Duration(runtime.GOMAXPROCS(0))
		if stalled := d.Lag(start.Add(test.gap)) > 0; stalled != test.stalled {
			t.Errorf("%s: stalled %v, want %v", test.name, stalled, test.stalled)
		}
		if delay := d.Delay(start.Add(test.gap)); delay != test.gap {
			t.Errorf("%s: data may have waited for %v, want %v", test.name, delay, test.gap)
		}
		d.observe(start.Add(test.gap))
		if stalled := !d.StalledSince(start.Add(test.gap)).IsZero(); stalled != test.stalled {
			t.Errorf("%s: stalled at the tick %v, want %v", test.name, stalled, test.stalled)
		}
	}
}
