package fetch

import (
	"fmt"
	"testing"
	"time"
)

// When a peer is slow, hedged requests must go to the replicas first and then to the peers in the rendezvous order, to
// each peer once, never to the store, and not before the hedge delay has passed.
func TestHedge(t *testing.T) {
	usable := func(string) bool { return true }
	search := NewSearch("x", []string{"a", "b", "c", "d", "x"}, 0, 64*time.Second)
	slow := search.Next(0, usable, 0)
	if slow.Action != FetchFromPeer || slow.Peer != "a" {
		t.Fatalf("%+v", slow)
	}
	for _, c := range []struct {
		slow Step
		now  time.Duration
	}{
		{slow, 2999 * time.Millisecond}, // a home has 2 s to fetch the chunk, plus the hedge delay of 1 s
		{Step{Peer: "a", CachedOnly: true}, 999 * time.Millisecond},
	} {
		if _, ok, after := search.Hedge(c.now, c.slow, 0, usable); ok || after != time.Millisecond {
			t.Error("got a hedged request too early, or a wrong delay: ", ok, after)
		}
	}
	search.RecordPeerResponse(0, "b", Missing, []string{"d"}, 0)
	hedges := ""
	for range 2 {
		next, ok, _ := search.Hedge(3*time.Second, slow, 0, usable)
		if !ok {
			t.Fatal("no hedged request although untried peers are left; slow peer: ", slow.Peer)
		}
		hedges += fmt.Sprint(next.Peer, next.CachedOnly, " ")
		slow = next
	}
	if hedges != "dtrue cfalse " {
		t.Error(hedges)
	}
	if step, ok, _ := search.Hedge(time.Hour, slow, 0, usable); ok {
		t.Errorf("a peer was hedged a second time: %+v", step)
	}
}
