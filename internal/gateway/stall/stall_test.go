package stall

import (
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
