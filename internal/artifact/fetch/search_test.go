package fetch

import (
	"fmt"
	"testing"
	"time"
)

// A late peer is hedged by replicas first, then by the order, each once, never by the store and not before its time.
func TestHedge(t *testing.T) {
	usable := func(string) bool { return true }
	search := NewSearch("x", []string{"a", "b", "c", "d", "x"}, 0, 64*time.Second)
	late := search.Next(0, usable, 0)
	if late.Action != FetchFromPeer || late.Peer != "a" {
		t.Fatalf("%+v", late)
	}
	for _, c := range []struct {
		late Step
		now  time.Duration
	}{
		{late, 2999 * time.Millisecond}, // a home may wait 2 s
		{Step{Peer: "a", CachedOnly: true}, 999 * time.Millisecond},
	} {
		if _, ok, after := search.Hedge(c.now, c.late, 0, usable); ok || after != time.Millisecond {
			t.Error("hedged early: ", ok, after)
		}
	}
	search.RecordPeerResponse(0, "b", Missing, []string{"d"}, 0)
	hedges := ""
	for range 2 {
		next, ok, _ := search.Hedge(3*time.Second, late, 0, usable)
		if !ok {
			t.Fatal("nobody besides ", late.Peer)
		}
		hedges += fmt.Sprint(next.Peer, next.CachedOnly, " ")
		late = next
	}
	if hedges != "dtrue cfalse " {
		t.Error(hedges)
	}
	if step, ok, _ := search.Hedge(time.Hour, late, 0, usable); ok {
		t.Errorf("a second time: %+v", step)
	}
}
