package stall

import (
	"testing"
	"time"
)

// A gap between two ticks is a stall from the first one on, whoever notices it first, until what came meanwhile is read.
func TestLag(t *testing.T) {
	base := time.Now()
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	var w Detector
	if d := w.Lag(at(500)); d != 0 {
		t.Error("before it runs:", d)
	}
	w.observe(at(0))
	w.observe(at(50))
	if d := w.Lag(at(140)); d != 0 {
		t.Error("a late tick:", d)
	}
	if d := w.Lag(at(950)); d != 900*time.Millisecond {
		t.Error("noticed by the reader:", d)
	}
	w.observe(at(951))
	if d := w.Lag(at(960)); d != 910*time.Millisecond {
		t.Error("right after it:", d)
	}
	if d := w.Lag(at(980)); d != 0 {
		t.Error("once what came meanwhile is read:", d)
	}
	w.observe(at(1001))
	if d := w.Lag(at(1040)); d != 0 {
		t.Error("it runs again:", d)
	}
	w.observe(at(2000))
	if d := w.Lag(at(2001)); d != time.Second {
		t.Error("noticed by the tick:", d)
	}
	if !w.EndedAfter(at(1990), at(2001)) || w.EndedAfter(at(2010), at(2011)) {
		t.Error("a stall that ended at 2000")
	}
}
