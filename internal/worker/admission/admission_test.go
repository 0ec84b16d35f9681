package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/worker/admission"
)

const ms = time.Millisecond

// play is a worker in simulated time: runs and loads take what is drawn.
type play struct {
	*admission.Room
	now     time.Duration
	limits  admission.Limits
	fns     map[string]admission.Function
	copies  map[uint64]string // function by copy
	busy    map[uint64]int
	runs    map[uint64]uint64 // copy by call
	of      map[uint64]admission.Call
	ended   map[uint64]int
	begun   map[uint64]time.Duration
	order   map[uint64]bool // loaded by an order and unused
	idle    map[uint64]time.Duration
	loading map[uint64]bool
}

func newPlay(l admission.Limits, fns ...admission.Function) *play {
	p := &play{Room: admission.New(l), limits: l, fns: map[string]admission.Function{}, copies: map[uint64]string{}, busy: map[uint64]int{},
		runs: map[uint64]uint64{}, of: map[uint64]admission.Call{}, ended: map[uint64]int{}, begun: map[uint64]time.Duration{},
		order: map[uint64]bool{}, idle: map[uint64]time.Duration{}, loading: map[uint64]bool{}}
	for _, f := range fns {
		p.fns[f.Name] = f
		p.Publish(f)
	}
	return p
}

// due carries out what is due, and checks what must hold.
func (p *play) due(fail func(string, ...any)) admission.Steps {
	st := p.Due(p.now)
	for _, r := range st.Runs {
		f, is := p.copies[r.Copy]
		if !is || p.loading[r.Copy] || f != p.of[r.Call].Function || p.ended[r.Call] > 0 {
			fail("call %d runs on copy %d of %q", r.Call, r.Copy, f)
		}
		if p.busy[r.Copy]++; p.busy[r.Copy] > p.fns[f].Lanes {
			fail("copy %d has %d calls", r.Copy, p.busy[r.Copy])
		}
		p.runs[r.Call], p.begun[r.Call] = r.Copy, p.now
		delete(p.order, r.Copy)
	}
	for _, c := range st.Unloads {
		if p.busy[c] > 0 || p.loading[c] {
			fail("copy %d is unloaded while %d calls run, loading %v", c, p.busy[c], p.loading[c])
		}
	}
	for _, l := range st.Loads {
		p.copies[l.Copy], p.loading[l.Copy] = l.Function.Name, true
	}
	for _, o := range st.Over {
		p.ended[o.Call]++
	}
	if p.Reserved() > p.limits.Memory {
		fail("%d bytes reserved of %d", p.Reserved(), p.limits.Memory)
	}
	if len(p.runs) > p.limits.Running || len(p.loading) > p.limits.Loads {
		fail("%d run, %d load", len(p.runs), len(p.loading))
	}
	return st
}

func (p *play) unloaded(c uint64) {
	p.Unloaded(c)
	delete(p.copies, c)
	delete(p.busy, c)
	delete(p.idle, c)
}

func (p *play) end(call uint64) {
	p.busy[p.runs[call]]--
	delete(p.runs, call)
	p.ended[call]++
	p.Ended(p.now, call)
}

// Whatever comes: reserved memory within the budget, no copy above its lanes, no busy copy unloaded, and every call
// that was taken has one end.
func TestNoCallIsLostAndMemoryHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := admission.Limits{Memory: rapid.Int64Range(3, 12).Draw(t, "memory"), Running: rapid.IntRange(1, 5).Draw(t, "running"),
			Waiting: rapid.IntRange(1, 12).Draw(t, "waiting"), Loads: rapid.IntRange(1, 3).Draw(t, "loads"), Keep: 300 * ms,
			OnMiss: rapid.Bool().Draw(t, "on miss")}
		p := newPlay(l, admission.Function{Name: "a", Lanes: 1, Memory: 1}, admission.Function{Name: "b", Lanes: 2, Memory: 2},
			admission.Function{Name: "c", Lanes: 3, Memory: 3})
		var taken []uint64
		var unloads []uint64
		next := uint64(0)
		pick := func(keys []uint64, what string) uint64 {
			slices.Sort(keys)
			return rapid.SampledFrom(keys).Draw(t, what)
		}
		keys := func(m map[uint64]uint64) (k []uint64) {
			for x := range m {
				k = append(k, x)
			}
			return k
		}
		loads := func() (k []uint64) {
			for x := range p.loading {
				k = append(k, x)
			}
			return k
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			p.now += time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * ms
			name := rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(t, "function")
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 4:
				next++
				c := admission.Call{ID: next, Function: name, Tenant: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"),
					Ends: p.now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "left"))*ms}
				p.of[next] = c
				if r := p.Take(p.now, c); r == admission.Taken {
					taken = append(taken, next)
				} else if name == "none" && r != admission.Missing {
					t.Fatal("an unknown function is refused as ", r)
				}
			case what == 4 && len(p.runs) > 0:
				p.end(pick(keys(p.runs), "ended"))
			case what == 5 && len(p.loading) > 0:
				c := pick(loads(), "loaded")
				delete(p.loading, c)
				well := rapid.Bool().Draw(t, "well")
				if !well {
					delete(p.copies, c)
				}
				p.Loaded(p.now, c, well)
			case what == 6 && len(unloads) > 0:
				p.unloaded(unloads[0])
				unloads = unloads[1:]
			case what == 7:
				p.Order(p.now, name, rapid.IntRange(0, 4).Draw(t, "copies"))
			case what == 8 && next > 0:
				id := uint64(rapid.IntRange(1, int(next)).Draw(t, "dropped"))
				if p.Dropped(p.of[id].Function, id) {
					if _, runs := p.runs[id]; runs {
						t.Fatal("a running call was dropped as waiting")
					}
					p.ended[id]++
				}
			case what == 9 && name != "none":
				f := p.fns[name]
				f.Version = fmt.Sprint(next)
				p.Publish(f)
			}
			unloads = append(unloads, p.due(t.Fatalf).Unloads...)
		}
		for range 100 { // everything comes to its end
			p.now += 100 * ms
			for _, call := range keys(p.runs) {
				p.end(call)
			}
			for _, c := range loads() {
				delete(p.loading, c)
				p.Loaded(p.now, c, true)
			}
			for _, c := range unloads {
				p.unloaded(c)
			}
			unloads = p.due(t.Fatalf).Unloads
		}
		for _, id := range taken {
			if p.ended[id] != 1 {
				t.Fatalf("call %d has %d ends", id, p.ended[id])
			}
		}
		if p.Reserved() != 0 || p.Waiting() != 0 || p.Running() != 0 {
			t.Fatalf("left over: %d bytes, %d waiting, %d running", p.Reserved(), p.Waiting(), p.Running())
		}
	})
}

// settle plays simulated time: loads take load, runs take run, unloads nothing.
func (p *play) settle(t *testing.T, until, load, run time.Duration, arrive func()) {
	ends := map[uint64]time.Duration{}
	for ; p.now < until; p.now += ms {
		arrive()
		for c, at := range ends {
			if p.now >= at {
				delete(ends, c)
				delete(p.loading, c)
				p.Loaded(p.now, c, true)
			}
		}
		for call, at := range p.begun {
			if _, runs := p.runs[call]; runs && p.now >= at+run {
				p.end(call)
			}
		}
		for {
			st := p.due(t.Fatalf)
			for _, l := range st.Loads {
				ends[l.Copy] = p.now + load
			}
			for _, c := range st.Unloads {
				p.unloaded(c)
			}
			if len(st.Unloads) == 0 {
				break
			}
		}
	}
}

// A function whose calls never pause holds all memory; another one that comes is served all the same, in time.
func TestNoFunctionStarves(t *testing.T) {
	p := newPlay(admission.Limits{Memory: 4, Running: 8, Waiting: 200, Loads: 2, Keep: time.Minute, OnMiss: true},
		admission.Function{Name: "busy", Lanes: 1, Memory: 1}, admission.Function{Name: "rare", Lanes: 1, Memory: 2})
	id := uint64(0)
	add := func(f, tenant string) uint64 {
		id++
		p.of[id] = admission.Call{ID: id, Function: f, Tenant: tenant, Ends: p.now + 10*time.Second}
		p.Take(p.now, p.of[id])
		return id
	}
	var rare uint64
	p.settle(t, 6*time.Second, 100*ms, 20*ms, func() {
		for p.Of("busy").Waiting < 20 {
			add("busy", "x")
		}
		if p.now == 2*time.Second {
			rare = add("rare", "y")
		}
	})
	if at, ran := p.begun[rare]; !ran || at > 2*time.Second+1500*ms {
		t.Errorf("the rare call began at %v, ran %v; it came at 2s", at, ran)
	}
	if n := p.Of("busy"); n.Warm == 0 {
		t.Errorf("the busy function lost everything: %+v", n)
	}
}

// A tenant that sends ten times as much gets its half of the lanes, and the other one all that it asks for.
func TestNoTenantStarves(t *testing.T) {
	p := newPlay(admission.Limits{Memory: 8, Running: 4, Waiting: 40, Loads: 2, Keep: time.Minute, OnMiss: true},
		admission.Function{Name: "f", Lanes: 8, Memory: 1}, admission.Function{Name: "g", Lanes: 8, Memory: 1})
	sent, refused := map[string]int{}, map[string]int{}
	id := uint64(0)
	p.settle(t, 5*time.Second, 50*ms, 20*ms, func() {
		for _, who := range []string{"much", "little"} {
			n := 1
			if who == "much" {
				n = 10
			} else if p.now%(20*ms) != 0 {
				continue
			}
			for range n {
				id++
				fn := map[string]string{"much": "f", "little": "g"}[who]
				p.of[id] = admission.Call{ID: id, Function: fn, Tenant: who, Ends: p.now + time.Second}
				sent[who]++
				if p.Take(p.now, p.of[id]) != admission.Taken {
					refused[who]++
				}
			}
		}
	})
	begun := map[string]int{}
	for call := range p.begun {
		begun[p.of[call].Tenant]++
	}
	if refused["little"] > sent["little"]/50 || begun["little"] < sent["little"]*9/10 {
		t.Errorf("little: sent %d, refused %d, begun %d", sent["little"], refused["little"], begun["little"])
	}
	if begun["much"] < 500 {
		t.Errorf("much: begun %d", begun["much"])
	}
}

// Room is made by copies that an order brought and nobody used, then by the longest idle; never by a busy one; and an
// order displaces nothing that calls have used.
func Example_whoGivesWay() {
	p := newPlay(admission.Limits{Memory: 3, Running: 4, Waiting: 9, Loads: 4, Keep: time.Minute, OnMiss: true},
		admission.Function{Name: "busy", Lanes: 1, Memory: 1}, admission.Function{Name: "idle", Lanes: 1, Memory: 1},
		admission.Function{Name: "held", Lanes: 1, Memory: 1}, admission.Function{Name: "new", Lanes: 1, Memory: 1})
	fail := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	step := func(what string) admission.Steps {
		p.now += 10 * ms
		st := p.due(fail)
		fmt.Printf("%s: runs %v, loads %d, unloads %v\n", what, st.Runs, len(st.Loads), st.Unloads)
		return st
	}
	take := func(id uint64, f string) {
		p.of[id] = admission.Call{ID: id, Function: f, Ends: time.Hour}
		p.Take(p.now, p.of[id])
	}
	take(1, "busy")
	take(2, "idle")
	p.Order(p.now, "held", 1)
	for _, l := range step("first").Loads {
		delete(p.loading, l.Copy)
		p.Loaded(p.now, l.Copy, true)
	}
	step("loaded")
	p.end(2)
	fmt.Println(p.Order(p.now, "new", 1))
	step("an order")
	p.unloaded(3)
	step("its room")
	p.Loaded(p.now, 4, true)
	delete(p.loading, 4)
	take(3, "held")
	step("a call")
	p.unloaded(4)
	step("its room")
	// Output:
	// first: runs [], loads 3, unloads []
	// loaded: runs [{1 1} {2 2}], loads 0, unloads []
	// 1 0
	// an order: runs [], loads 0, unloads [3]
	// its room: runs [], loads 1, unloads []
	// a call: runs [], loads 0, unloads [4]
	// its room: runs [], loads 1, unloads []
}
