package stall

import (
	"testing"
	"time"
)

// A gap between two ticks is a stall from the first one on, whoever notices it, until what came meanwhile has been
// read.
func TestLag(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d Detector
	expectLag := func(ms int, want time.Duration, what string) {
		t.Helper()
		if lag := d.Lag(at(ms)); lag != want {
			t.Errorf("%s: %v, want %v", what, lag, want)
		}
	}
	expectLag(500, 0, "before it runs")
	d.observe(at(0))
	d.observe(at(50))
	expectLag(140, 0, "a late tick")
	expectLag(950, 900*time.Millisecond, "noticed by the reader")
	d.observe(at(951))
	expectLag(960, 910*time.Millisecond, "right after it")
	expectLag(980, 0, "once what came meanwhile is read")
	d.observe(at(1001))
	expectLag(1040, 0, "it runs again")
	d.observe(at(2000))
	expectLag(2001, time.Second, "noticed by the tick")
	if !d.EndedAfter(at(1990), at(2001)) || d.EndedAfter(at(2010), at(2011)) {
		t.Error("a stall that ended at 2000")
	}
}
