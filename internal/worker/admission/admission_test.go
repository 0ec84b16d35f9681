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

// simulation is a worker in simulated time: runs and loads take what is drawn.
type simulation struct {
	*admission.Controller
	now       time.Duration
	limits    admission.Limits
	functions map[string]admission.Function
	replicas  map[uint64]string // function by copy
	busy      map[uint64]int
	runs      map[uint64]uint64 // copy by call
	calls     map[uint64]admission.Call
	ended     map[uint64]int
	startedAt map[uint64]time.Duration
	preloaded map[uint64]bool // loaded by an order and unused
	idleSince map[uint64]time.Duration
	loading   map[uint64]bool
}

func newSimulation(l admission.Limits, fns ...admission.Function) *simulation {
	p := &simulation{Controller: admission.New(l), limits: l, functions: map[string]admission.Function{}, replicas: map[uint64]string{}, busy: map[uint64]int{},
		runs: map[uint64]uint64{}, calls: map[uint64]admission.Call{}, ended: map[uint64]int{}, startedAt: map[uint64]time.Duration{},
		preloaded: map[uint64]bool{}, idleSince: map[uint64]time.Duration{}, loading: map[uint64]bool{}}
	for _, f := range fns {
		p.functions[f.Name] = f
		p.Publish(f)
	}
	return p
}

// advance carries out what is due, and checks what must hold.
func (p *simulation) advance(fail func(string, ...any)) admission.Actions {
	st := p.Advance(p.now)
	for _, r := range st.Runs {
		f, is := p.replicas[r.ReplicaID]
		if !is || p.loading[r.ReplicaID] || f != p.calls[r.CallID].Function || p.ended[r.CallID] > 0 {
			fail("call %d runs on copy %d of %q", r.CallID, r.ReplicaID, f)
		}
		if p.busy[r.ReplicaID]++; p.busy[r.ReplicaID] > p.functions[f].Concurrency {
			fail("copy %d has %d calls", r.ReplicaID, p.busy[r.ReplicaID])
		}
		p.runs[r.CallID], p.startedAt[r.CallID] = r.ReplicaID, p.now
		delete(p.preloaded, r.ReplicaID)
	}
	for _, c := range st.Unloads {
		if p.busy[c] > 0 || p.loading[c] {
			fail("copy %d is unloaded while %d calls run, loading %v", c, p.busy[c], p.loading[c])
		}
	}
	for _, l := range st.Loads {
		p.replicas[l.ReplicaID], p.loading[l.ReplicaID] = l.Function.Name, true
	}
	for _, o := range st.Dropped {
		p.ended[o.CallID]++
	}
	if p.ReservedBytes() > p.limits.MemoryBytes {
		fail("%d bytes reserved of %d", p.ReservedBytes(), p.limits.MemoryBytes)
	}
	if len(p.runs) > p.limits.MaxRunning || len(p.loading) > p.limits.MaxLoads {
		fail("%d run, %d load", len(p.runs), len(p.loading))
	}
	return st
}

func (p *simulation) unloaded(c uint64) {
	p.ReplicaUnloaded(c)
	delete(p.replicas, c)
	delete(p.busy, c)
	delete(p.idleSince, c)
}

func (p *simulation) endCall(call uint64) {
	p.busy[p.runs[call]]--
	delete(p.runs, call)
	p.ended[call]++
	p.CallEnded(p.now, call)
}

// Whatever comes: reserved memory within the budget, no copy above its lanes, no busy copy unloaded, and every call
// that was taken has one end.
func TestEveryCallEndsAndMemoryStaysInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := admission.Limits{MemoryBytes: rapid.Int64Range(3, 12).Draw(t, "memory"), MaxRunning: rapid.IntRange(1, 5).Draw(t, "running"),
			MaxWaiting: rapid.IntRange(1, 12).Draw(t, "waiting"), MaxLoads: rapid.IntRange(1, 3).Draw(t, "loads"), IdleTimeout: 300 * ms,
			LoadOnMiss: rapid.Bool().Draw(t, "on miss")}
		p := newSimulation(l, admission.Function{Name: "a", Concurrency: 1, MemoryBytes: 1}, admission.Function{Name: "b", Concurrency: 2, MemoryBytes: 2},
			admission.Function{Name: "c", Concurrency: 3, MemoryBytes: 3})
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
					Deadline: p.now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "left"))*ms}
				p.calls[next] = c
				if r := p.Admit(p.now, c); r == admission.Admitted {
					taken = append(taken, next)
				} else if name == "none" && r != admission.Missing {
					t.Fatal("an unknown function is refused as ", r)
				}
			case what == 4 && len(p.runs) > 0:
				p.endCall(pick(keys(p.runs), "ended"))
			case what == 5 && len(p.loading) > 0:
				c := pick(loads(), "loaded")
				delete(p.loading, c)
				well := rapid.Bool().Draw(t, "well")
				if !well {
					delete(p.replicas, c)
				}
				p.LoadEnded(p.now, c, well)
			case what == 6 && len(unloads) > 0:
				p.unloaded(unloads[0])
				unloads = unloads[1:]
			case what == 7:
				p.RequestReplicas(p.now, name, rapid.IntRange(0, 4).Draw(t, "copies"))
			case what == 8 && next > 0:
				id := uint64(rapid.IntRange(1, int(next)).Draw(t, "dropped"))
				if p.Withdraw(p.calls[id].Function, id) {
					if _, runs := p.runs[id]; runs {
						t.Fatal("a running call was dropped as waiting")
					}
					p.ended[id]++
				}
			case what == 9 && name != "none":
				f := p.functions[name]
				f.Version = fmt.Sprint(next)
				p.Publish(f)
			}
			unloads = append(unloads, p.advance(t.Fatalf).Unloads...)
		}
		for range 100 { // everything comes to its end
			p.now += 100 * ms
			for _, call := range keys(p.runs) {
				p.endCall(call)
			}
			for _, c := range loads() {
				delete(p.loading, c)
				p.LoadEnded(p.now, c, true)
			}
			for _, c := range unloads {
				p.unloaded(c)
			}
			unloads = p.advance(t.Fatalf).Unloads
		}
		for _, id := range taken {
			if p.ended[id] != 1 {
				t.Fatalf("call %d has %d ends", id, p.ended[id])
			}
		}
		if p.ReservedBytes() != 0 || p.Waiting() != 0 || p.Running() != 0 {
			t.Fatalf("left over: %d bytes, %d waiting, %d running", p.ReservedBytes(), p.Waiting(), p.Running())
		}
	})
}

// run plays simulated time: loads take load, runs take run, unloads nothing.
func (p *simulation) run(t *testing.T, until, load, run time.Duration, arrive func()) {
	ends := map[uint64]time.Duration{}
	for ; p.now < until; p.now += ms {
		arrive()
		for c, at := range ends {
			if p.now >= at {
				delete(ends, c)
				delete(p.loading, c)
				p.LoadEnded(p.now, c, true)
			}
		}
		for call, at := range p.startedAt {
			if _, runs := p.runs[call]; runs && p.now >= at+run {
				p.endCall(call)
			}
		}
		for {
			st := p.advance(t.Fatalf)
			for _, l := range st.Loads {
				ends[l.ReplicaID] = p.now + load
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
	p := newSimulation(admission.Limits{MemoryBytes: 4, MaxRunning: 8, MaxWaiting: 200, MaxLoads: 2, IdleTimeout: time.Minute, LoadOnMiss: true},
		admission.Function{Name: "busy", Concurrency: 1, MemoryBytes: 1}, admission.Function{Name: "rare", Concurrency: 1, MemoryBytes: 2})
	id := uint64(0)
	add := func(f, tenant string) uint64 {
		id++
		p.calls[id] = admission.Call{ID: id, Function: f, Tenant: tenant, Deadline: p.now + 10*time.Second}
		p.Admit(p.now, p.calls[id])
		return id
	}
	var rare uint64
	p.run(t, 6*time.Second, 100*ms, 20*ms, func() {
		for p.Counts("busy").Waiting < 20 {
			add("busy", "x")
		}
		if p.now == 2*time.Second {
			rare = add("rare", "y")
		}
	})
	if at, ran := p.startedAt[rare]; !ran || at > 2*time.Second+1500*ms {
		t.Errorf("the rare call began at %v, ran %v; it came at 2s", at, ran)
	}
	if n := p.Counts("busy"); n.Warm == 0 {
		t.Errorf("the busy function lost everything: %+v", n)
	}
}

// A tenant that sends ten times as much gets its half of the lanes, and the other one all that it asks for.
func TestNoTenantStarves(t *testing.T) {
	p := newSimulation(admission.Limits{MemoryBytes: 8, MaxRunning: 4, MaxWaiting: 40, MaxLoads: 2, IdleTimeout: time.Minute, LoadOnMiss: true},
		admission.Function{Name: "f", Concurrency: 8, MemoryBytes: 1}, admission.Function{Name: "g", Concurrency: 8, MemoryBytes: 1})
	sent, refused := map[string]int{}, map[string]int{}
	id := uint64(0)
	p.run(t, 5*time.Second, 50*ms, 20*ms, func() {
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
				p.calls[id] = admission.Call{ID: id, Function: fn, Tenant: who, Deadline: p.now + time.Second}
				sent[who]++
				if p.Admit(p.now, p.calls[id]) != admission.Admitted {
					refused[who]++
				}
			}
		}
	})
	begun := map[string]int{}
	for call := range p.startedAt {
		begun[p.calls[call].Tenant]++
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
func Example_eviction() {
	p := newSimulation(admission.Limits{MemoryBytes: 3, MaxRunning: 4, MaxWaiting: 9, MaxLoads: 4, IdleTimeout: time.Minute, LoadOnMiss: true},
		admission.Function{Name: "busy", Concurrency: 1, MemoryBytes: 1}, admission.Function{Name: "idle", Concurrency: 1, MemoryBytes: 1},
		admission.Function{Name: "held", Concurrency: 1, MemoryBytes: 1}, admission.Function{Name: "new", Concurrency: 1, MemoryBytes: 1})
	fail := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	step := func(what string) admission.Actions {
		p.now += 10 * ms
		st := p.advance(fail)
		fmt.Printf("%s: runs %v, loads %d, unloads %v\n", what, st.Runs, len(st.Loads), st.Unloads)
		return st
	}
	take := func(id uint64, f string) {
		p.calls[id] = admission.Call{ID: id, Function: f, Deadline: time.Hour}
		p.Admit(p.now, p.calls[id])
	}
	take(1, "busy")
	take(2, "idle")
	p.RequestReplicas(p.now, "held", 1)
	for _, l := range step("first").Loads {
		delete(p.loading, l.ReplicaID)
		p.LoadEnded(p.now, l.ReplicaID, true)
	}
	step("loaded")
	p.endCall(2)
	fmt.Println(p.RequestReplicas(p.now, "new", 1))
	step("an order")
	p.unloaded(3)
	step("its room")
	p.LoadEnded(p.now, 4, true)
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
