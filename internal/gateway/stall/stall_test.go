package stall

import (
	"testing"
	"time"
)

// A gap between two ticks is a stall from the first one on, whoever notices it first, until what came meanwhile is read.
func TestBehind(t *testing.T) {
	base := time.Now()
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	var w Watcher
	if d := w.Behind(at(500)); d != 0 {
		t.Error("before it runs:", d)
	}
	w.note(at(0))
	w.note(at(50))
	if d := w.Behind(at(140)); d != 0 {
		t.Error("a late tick:", d)
	}
	if d := w.Behind(at(950)); d != 900*time.Millisecond {
		t.Error("noticed by the reader:", d)
	}
	w.note(at(951))
	if d := w.Behind(at(960)); d != 910*time.Millisecond {
		t.Error("right after it:", d)
	}
	if d := w.Behind(at(980)); d != 0 {
		t.Error("once what came meanwhile is read:", d)
	}
	w.note(at(1001))
	if d := w.Behind(at(1040)); d != 0 {
		t.Error("it runs again:", d)
	}
	w.note(at(2000))
	if d := w.Behind(at(2001)); d != time.Second {
		t.Error("noticed by the tick:", d)
	}
	if !w.EndedAfter(at(1990), at(2001)) || w.EndedAfter(at(2010), at(2011)) {
		t.Error("a stall that ended at 2000")
	}
}
