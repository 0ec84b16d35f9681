package fetch

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// choiceSequence has every choice of a run; the next run changes the last one that can be.
type choiceSequence struct {
	position int
	choices  []int
	sizes    []int
}

func (t *choiceSequence) choose(n int) int {
	if t.position == len(t.choices) {
		t.choices, t.sizes = append(t.choices, 0), append(t.sizes, n)
	}
	t.position++
	return t.choices[t.position-1]
}

func (t *choiceSequence) next() bool {
	for i := t.position - 1; i >= 0; i-- {
		if t.choices[i]+1 < t.sizes[i] {
			t.choices = append(t.choices[:i], t.choices[i]+1)
			t.sizes = t.sizes[:i+1]
			t.position = 0
			return true
		}
	}
	return false
}

// fleetModel is a small fleet that looks for one chunk.
type fleetModel struct {
	names          []string
	lists          map[string][]string // the list as each one has it
	searches       map[string]*Search
	cached         map[string]bool
	dead           map[string]bool
	now            time.Duration
	faultsLeft     int // that may still happen: a lost message, a corrupt chunk, a refusing store, a death
	storeAvailable bool
	storeFetches   int // fetches from the store that gave the chunk
	log            []string
}

func (w *fleetModel) startSearch(name string) {
	if w.searches[name] == nil && !w.cached[name] && !w.dead[name] {
		w.searches[name] = NewSearch(name, RendezvousOrder([]byte("c"), w.lists[name]), w.now, time.Hour)
	}
}

// step has one worker do what its want says; every fault that may happen is a choice.
func (w *fleetModel) step(t *choiceSequence, name string) (over bool) {
	want := w.searches[name]
	s := want.Next(w.now, func(string) bool { return true }, 0)
	fault := func() bool {
		if w.faultsLeft == 0 || t.choose(2) == 0 {
			return false
		}
		w.faultsLeft--
		return true
	}
	w.log = append(w.log, fmt.Sprintf("%v %s: %v", w.now, name, s))
	got := func() {
		w.cached[name] = true
		delete(w.searches, name)
	}
	switch s.Action {
	case Abandon:
		return true
	case Pause:
	case FetchFromStore:
		if !w.storeAvailable || fault() {
			want.RecordStoreFailure(w.now, time.Second)
			break
		}
		w.storeFetches++
		got()
	case FetchFromPeer:
		p := s.Peer
		if !w.dead[p] && w.faultsLeft > 0 && t.choose(2) == 1 { // it dies just now, with all it holds
			w.faultsLeft--
			w.dead[p] = true
			delete(w.searches, p)
			delete(w.cached, p)
		}
		if w.dead[p] || fault() {
			want.RecordPeerResponse(w.now, p, Failed, nil, 0)
			break
		}
		order := RendezvousOrder([]byte("c"), w.lists[p])
		said := ResponseFor(w.cached[p], slices.Index(order, p) < Homes, s.CachedOnly)
		if said == Delivered {
			if fault() {
				want.RecordPeerResponse(w.now, p, Corrupt, nil, 0)
				break
			}
			got()
			break
		}
		if said == Pending {
			w.startSearch(p)
		}
		want.RecordPeerResponse(w.now, p, said, nil, time.Second)
	}
	return false
}

func (w *fleetModel) state() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.faultsLeft, w.storeFetches)
	for _, n := range w.names {
		fmt.Fprint(&b, n, w.cached[n], w.dead[n])
		if x := w.searches[n]; x != nil {
			fmt.Fprintf(&b, "%+v", *x)
		}
	}
	return b.String()
}

// explore plays every run of a fleet and answers how many there were and the most fetches from the store.
func explore(t *testing.T, start func() *fleetModel) (runs, mostAsked int) {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	for choices := (&choiceSequence{}); ; {
		w := start()
		for steps := 0; len(w.searches) > 0; steps++ {
			if steps > 400 {
				t.Fatalf("it goes on for ever:\n%s", strings.Join(w.log, "\n"))
			}
			soon := time.Duration(-1)
			var ready []string
			for _, n := range w.names {
				x := w.searches[n]
				if x == nil {
					continue
				}
				at := max(w.now, x.resumeAt)
				if soon < 0 || at < soon {
					soon, ready = at, nil
				}
				if at == soon {
					ready = append(ready, n)
				}
			}
			w.now = soon
			who := ready[0]
			if len(ready) > 1 {
				who = ready[choices.choose(len(ready))]
			}
			if w.step(choices, who) {
				t.Fatalf("%s gives up though the store or a live holder can give the chunk:\n%s", who, strings.Join(w.log, "\n"))
			}
			if choices.position == len(choices.choices) { // new ground: seen before by another way?
				h := maphash.String(seed, w.state())
				if seen[h] {
					break
				}
				seen[h] = true
			}
		}
		runs++
		mostAsked = max(mostAsked, w.storeFetches)
		if !choices.next() {
			return runs, mostAsked
		}
	}
}

// Every order of steps and every two faults of a fleet of three, whose lists agree or not, with the store there, and with
// the chunk at one worker and no store: nobody gives up, nothing goes on for ever, and the store is asked at most once for
// each fault and once more where lists agree.
func TestEveryRunOfSmallFleets(t *testing.T) {
	abc := []string{"a", "b", "c"}
	same := map[string][]string{"a": abc, "b": abc, "c": abc}
	split := map[string][]string{"a": {"a", "b"}, "b": {"b", "c"}, "c": {"a", "c"}}
	far := map[string][]string{"d": {"a", "b", "c", "d", "e"}, "e": {"a", "b", "c", "d", "e"}}
	for n := range same {
		far[n] = far["d"]
	}
	for _, c := range []struct {
		name   string
		names  []string
		lists  map[string][]string
		holder string
		store  bool
		faults int
		asked  int
	}{
		{"lists agree", abc, same, "", true, 2, 3},
		{"lists disagree", abc, split, "", true, 1, 3},
		{"no store, one holds it", abc, same, "b", false, 0, 0},
		{"no store, one that is no home holds it", far["d"], far, RendezvousOrder([]byte("c"), far["d"])[4], false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs, asked := explore(t, func() *fleetModel {
				w := &fleetModel{names: c.names, lists: c.lists, searches: map[string]*Search{}, cached: map[string]bool{}, dead: map[string]bool{},
					faultsLeft: c.faults, storeAvailable: c.store}
				if c.holder != "" {
					w.cached[c.holder] = true
				}
				for _, n := range c.names {
					w.startSearch(n)
				}
				return w
			})
			if asked > c.asked {
				t.Errorf("the store gave the chunk %d times, at most %d are right", asked, c.asked)
			}
			t.Logf("%d runs, at most %d fetches from the store", runs, asked)
		})
	}
}

// A hundred workers have one order for a chunk, and homes are spread over them.
func TestRendezvousOrderSpreadsHomes(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("w", i))
	}
	first := map[string]int{}
	for i := range 2000 {
		o := RendezvousOrder(fmt.Append(nil, i), names)
		first[o[0]]++
		slices.Reverse(names)
		if again := RendezvousOrder(fmt.Append(nil, i), names); !slices.Equal(o, again) {
			t.Fatal("the order depends on that of the list")
		}
	}
	for n, c := range first {
		if c > 60 {
			t.Errorf("%s is first for %d of 2000 chunks", n, c)
		}
	}
	if len(first) < 95 {
		t.Errorf("only %d workers are ever first", len(first))
	}
}

// The guard in front of the store: never more under way than its limit; nothing before the time that the store named; one
// request alone after it broke; and whatever happens, a request is let through in the end.
func TestStoreGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewStoreGuard()
		now := time.Duration(0)
		var under []time.Duration
		named := time.Duration(0)
		broken := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(under) > 0 && rapid.Bool().Draw(t, "ends") {
				o := StoreOutcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				after := time.Duration(0)
				if o == StoreRejected {
					after = time.Duration(rapid.IntRange(0, 1000).Draw(t, "after")) * time.Millisecond
					named = max(named, now+after)
				}
				g.Release(now, under[0], o, after, rapid.Float64Range(0, 1).Draw(t, "chance"))
				under = under[1:]
				if o == StoreFailed {
					broken++
				} else {
					broken = 0
				}
				continue
			}
			ok, _ := g.Acquire(now, rapid.Bool().Draw(t, "repeat"))
			switch {
			case ok && now < named:
				t.Fatalf("asked %v before the time that the store named", named-now)
			case ok && broken >= failuresToOpen && g.inFlight > 1 && len(under) == 0:
				t.Fatal("more than one request at a broken store")
			}
			if ok {
				under = append(under, now)
			}
			if len(under) > maxLimit {
				t.Fatalf("%d under way", len(under))
			}
		}
		for _, began := range under {
			g.Release(now, began, StoreFailed, 0, 1)
		}
		ok, after := g.Acquire(now, true)
		if !ok {
			if after <= 0 {
				t.Fatal("refused though nothing is under way, with no time to come back")
			}
			if ok, _ = g.Acquire(now+after, true); !ok {
				t.Fatal("never let through again")
			}
		}
	})
}

// What is given to others stays within the part of the network that is theirs, less while the worker is busy, and what is
// refused may come back when it is told to.
func TestUploadLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := NewUploadLimiter(100e6, 0.2, 4)
		busy := rapid.Float64Range(0, 1).Draw(t, "busy")
		now, given := time.Duration(0), 0.0
		for range 300 {
			size := rapid.IntRange(1, MaxUploadSize).Draw(t, "size")
			ok, after := u.Acquire(now, size, busy)
			if ok {
				given += float64(size)
				u.Release()
			} else if again, _ := u.Acquire(now+after, size, busy); !again {
				t.Fatal("not let through at the time that it was told")
			} else {
				now += after
				given += float64(size)
				u.Release()
			}
		}
		may := u.burstBytes() + 20e6*(1-0.5*busy)*now.Seconds() + 1
		if given > may*1.001 {
			t.Fatalf("%.0f bytes in %v, %.0f are its part", given, now, may)
		}
	})
}

// A peer that gives something else three times is never asked again; one that fails is asked again later.
func TestPeerHealth(t *testing.T) {
	p := NewPeerHealth()
	p.Record(0, "slow", Failed)
	if p.Usable(0, "slow") || !p.Usable(failureBackoff, "slow") {
		t.Error("a failure counts for its pause and no longer")
	}
	for i := range maxCorruptChunks {
		p.Record(0, "liar", Corrupt)
		if p.Usable(corruptionBackoff-1, "liar") {
			t.Error("trusted at once after lie ", i)
		}
	}
	p.Record(time.Hour, "liar", Missing)
	p.Prune(func(string) bool { return false })
	if p.Usable(1000*time.Hour, "liar") {
		t.Error("a liar is trusted again")
	}
}

// A late peer is hedged by holders first, then by the order, each once, never by the store and not before its time.
func TestHedge(t *testing.T) {
	all := func(string) bool { return true }
	w := NewSearch("x", []string{"a", "b", "c", "d", "x"}, 0, 64*time.Second)
	s := w.Next(0, all, 0)
	if s.Action != FetchFromPeer || s.Peer != "a" {
		t.Fatalf("%+v", s)
	}
	if _, ok, after := w.Hedge(2999*time.Millisecond, s, 0, all); ok || after != time.Millisecond { // a home may wait 2 s
		t.Error("hedged early: ", ok, after)
	}
	if _, ok, after := w.Hedge(999*time.Millisecond, Step{Peer: "a", CachedOnly: true}, 0, all); ok || after != time.Millisecond {
		t.Error("hedged early: ", ok, after)
	}
	w.RecordPeerResponse(0, "b", Missing, []string{"d"}, 0)
	got := ""
	for range 2 {
		next, ok, _ := w.Hedge(3*time.Second, s, 0, all)
		if !ok {
			t.Fatal("nobody besides ", s.Peer)
		}
		got += fmt.Sprint(next.Peer, next.CachedOnly, " ")
		s = next
	}
	if got != "dtrue cfalse " {
		t.Error(got)
	}
	if s, ok, _ := w.Hedge(time.Hour, s, 0, all); ok {
		t.Errorf("a second time: %+v", s)
	}
}
