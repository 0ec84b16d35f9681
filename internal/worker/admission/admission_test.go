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

// simulation is a worker in simulated time. The test decides when loads, runs and unloads end.
type simulation struct {
	*admission.Controller
	now       time.Duration
	limits    admission.Limits
	functions map[string]admission.Function
	replicas  map[uint64]string         // function name by replica ID
	busy      map[uint64]int            // number of running calls by replica ID
	runs      map[uint64]uint64         // replica ID by ID of the running call
	calls     map[uint64]admission.Call // all calls by ID
	ended     map[uint64]int            // number of times that a call ended, by call ID
	startedAt map[uint64]time.Duration  // start time by call ID
	loading   map[uint64]bool           // IDs of the replicas that are loading
}

func newSimulation(limits admission.Limits, functions ...admission.Function) *simulation {
	s := &simulation{
		Controller: admission.New(limits),
		limits:     limits,
		functions:  map[string]admission.Function{},
		replicas:   map[uint64]string{},
		busy:       map[uint64]int{},
		runs:       map[uint64]uint64{},
		calls:      map[uint64]admission.Call{},
		ended:      map[uint64]int{},
		startedAt:  map[uint64]time.Duration{},
		loading:    map[uint64]bool{},
	}
	for _, function := range functions {
		s.functions[function.Name] = function
		s.Publish(function)
	}
	return s
}

// advance carries out the actions of Controller.Advance and checks the invariants: runs only on loaded replicas of the
// call's function and within its concurrency, no busy or loading replica unloaded, and all limits observed.
func (s *simulation) advance(fail func(string, ...any)) admission.Actions {
	actions := s.Advance(s.now)
	for _, run := range actions.Runs {
		function, known := s.replicas[run.ReplicaID]
		if !known || s.loading[run.ReplicaID] || function != s.calls[run.CallID].Function || s.ended[run.CallID] > 0 {
			fail("call %d must not run on replica %d of %q", run.CallID, run.ReplicaID, function)
		}
		if s.busy[run.ReplicaID]++; s.busy[run.ReplicaID] > s.functions[function].Concurrency {
			fail("replica %d runs %d calls, above its concurrency", run.ReplicaID, s.busy[run.ReplicaID])
		}
		s.runs[run.CallID] = run.ReplicaID
		s.startedAt[run.CallID] = s.now
	}
	for _, id := range actions.Unloads {
		if s.busy[id] > 0 || s.loading[id] {
			fail("replica %d is unloaded while it runs %d calls (loading: %v)", id, s.busy[id], s.loading[id])
		}
	}
	for _, load := range actions.Loads {
		s.replicas[load.ReplicaID] = load.Function.Name
		s.loading[load.ReplicaID] = true
	}
	for _, dropped := range actions.Dropped {
		s.ended[dropped.CallID]++
	}
	if s.ReservedBytes() > s.limits.MemoryBytes {
		fail("%d bytes reserved, limit %d", s.ReservedBytes(), s.limits.MemoryBytes)
	}
	if len(s.runs) > s.limits.MaxRunning || len(s.loading) > s.limits.MaxLoads {
		fail("%d running calls or %d loads exceed the limits", len(s.runs), len(s.loading))
	}
	return actions
}

// completeLoad ends a load successfully.
func (s *simulation) completeLoad(id uint64) {
	delete(s.loading, id)
	s.LoadSucceeded(s.now, id)
}

// failLoad ends a load with a failure.
func (s *simulation) failLoad(id uint64) {
	delete(s.loading, id)
	delete(s.replicas, id)
	s.LoadFailed(id)
}

// completeUnload ends the unloading of a replica.
func (s *simulation) completeUnload(id uint64) {
	s.ReplicaUnloaded(id)
	delete(s.replicas, id)
	delete(s.busy, id)
}

// endCall ends a running call.
func (s *simulation) endCall(id uint64) {
	s.busy[s.runs[id]]--
	delete(s.runs, id)
	s.ended[id]++
	s.CallEnded(s.now, id)
}

// keysOf returns the keys of a map.
func keysOf[V any](m map[uint64]V) (keys []uint64) {
	for key := range m {
		keys = append(keys, key)
	}
	return keys
}

// For random sequences of events, the reserved memory stays within the limit, no replica exceeds its concurrency, no
// busy replica is unloaded, and every admitted call ends exactly once.
func TestEveryCallEndsAndMemoryStaysInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(
			admission.Limits{
				MemoryBytes: rapid.Int64Range(3, 12).Draw(t, "memory"),
				MaxRunning:  rapid.IntRange(1, 5).Draw(t, "running"),
				MaxWaiting:  rapid.IntRange(1, 12).Draw(t, "waiting"),
				MaxLoads:    rapid.IntRange(1, 3).Draw(t, "loads"),
				IdleTimeout: 300 * ms,
				LoadOnMiss:  rapid.Bool().Draw(t, "on miss"),
			},
			admission.Function{Name: "a", Concurrency: 1, MemoryBytes: 1},
			admission.Function{Name: "b", Concurrency: 2, MemoryBytes: 2},
			admission.Function{Name: "c", Concurrency: 3, MemoryBytes: 3},
		)
		history := &randomHistory{simulation: s, t: t}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			history.step()
		}
		history.completeAll()
		for _, id := range history.admitted {
			if s.ended[id] != 1 {
				t.Fatalf("call %d ended %d times, want 1", id, s.ended[id])
			}
		}
		if s.ReservedBytes() != 0 || s.Waiting() != 0 || s.Running() != 0 {
			t.Fatalf("after all calls: %d bytes reserved, %d calls waiting, %d running",
				s.ReservedBytes(), s.Waiting(), s.Running())
		}
	})
}

// randomHistory is a simulation that receives randomly generated events.
type randomHistory struct {
	*simulation
	t        *rapid.T
	lastID   uint64
	admitted []uint64
	unloads  []uint64 // replicas whose unloading has not been completed
}

// step generates one random event and carries out the actions that follow from it.
func (h *randomHistory) step() {
	h.now += time.Duration(rapid.IntRange(0, 80).Draw(h.t, "pause")) * ms
	name := rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(h.t, "function")
	switch event := rapid.IntRange(0, 9).Draw(h.t, "what"); {
	case event < 4:
		h.admit(name)
	case event == 4 && len(h.runs) > 0:
		h.endCall(h.pick(keysOf(h.runs), "ended"))
	case event == 5 && len(h.loading) > 0:
		id := h.pick(keysOf(h.loading), "loaded")
		if rapid.Bool().Draw(h.t, "well") {
			h.completeLoad(id)
		} else {
			h.failLoad(id)
		}
	case event == 6 && len(h.unloads) > 0:
		h.completeUnload(h.unloads[0])
		h.unloads = h.unloads[1:]
	case event == 7:
		h.RequestReplicas(name, rapid.IntRange(0, 4).Draw(h.t, "replicas"))
	case event == 8 && h.lastID > 0:
		h.withdraw(uint64(rapid.IntRange(1, int(h.lastID)).Draw(h.t, "withdrawn")))
	case event == 9 && name != "none":
		function := h.functions[name]
		function.Version = fmt.Sprint(h.lastID)
		h.Publish(function)
	}
	h.unloads = append(h.unloads, h.advance(h.t.Fatalf).Unloads...)
}

// pick randomly selects one of the given IDs.
func (h *randomHistory) pick(ids []uint64, label string) uint64 {
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(h.t, label)
}

// admit submits a new call with a random tenant and deadline.
func (h *randomHistory) admit(function string) {
	h.lastID++
	call := admission.Call{
		ID:       h.lastID,
		Function: function,
		Tenant:   rapid.SampledFrom([]string{"x", "y"}).Draw(h.t, "tenant"),
		Deadline: h.now + time.Duration(rapid.IntRange(1, 2000).Draw(h.t, "left"))*ms,
	}
	h.calls[call.ID] = call
	if decision := h.Admit(h.now, call); decision == admission.Admitted {
		h.admitted = append(h.admitted, call.ID)
	} else if function == "none" && decision != admission.Missing {
		h.t.Fatal("a call of an unknown function must be rejected as Missing, got decision ", decision)
	}
}

// withdraw withdraws a call if it is waiting.
func (h *randomHistory) withdraw(id uint64) {
	if !h.Withdraw(h.calls[id].Function, id) {
		return
	}
	if _, runs := h.runs[id]; runs {
		h.t.Fatal("Withdraw reported that a running call was waiting")
	}
	h.ended[id]++
}

// completeAll ends all calls, loads and unloads and lets idle replicas reach their timeout.
func (h *randomHistory) completeAll() {
	for range 100 {
		h.now += 100 * ms
		for _, id := range keysOf(h.runs) {
			h.endCall(id)
		}
		for _, id := range keysOf(h.loading) {
			h.completeLoad(id)
		}
		for _, id := range h.unloads {
			h.completeUnload(id)
		}
		h.unloads = h.advance(h.t.Fatalf).Unloads
	}
}

// run advances the simulated time to until. Loads take loadTime, runs take runTime, and unloads complete immediately.
// arrive is called at each step to submit calls.
func (s *simulation) run(t *testing.T, until, loadTime, runTime time.Duration, arrive func()) {
	t.Helper()
	loadEnds := map[uint64]time.Duration{}
	for ; s.now < until; s.now += ms {
		arrive()
		for id, at := range loadEnds {
			if s.now >= at {
				delete(loadEnds, id)
				s.completeLoad(id)
			}
		}
		for id, at := range s.startedAt {
			if _, runs := s.runs[id]; runs && s.now >= at+runTime {
				s.endCall(id)
			}
		}
		for {
			actions := s.advance(t.Fatalf)
			for _, load := range actions.Loads {
				loadEnds[load.ReplicaID] = s.now + loadTime
			}
			for _, id := range actions.Unloads {
				s.completeUnload(id)
			}
			if len(actions.Unloads) == 0 {
				break
			}
		}
	}
}

// A function with a constant backlog of calls uses all memory. A call of another function must still be started within
// 1.5 s: busy replicas are drained to make space for it.
func TestNoFunctionStarves(t *testing.T) {
	s := newSimulation(
		admission.Limits{
			MemoryBytes: 4,
			MaxRunning:  8,
			MaxWaiting:  200,
			MaxLoads:    2,
			IdleTimeout: time.Minute,
			LoadOnMiss:  true,
		},
		admission.Function{Name: "busy", Concurrency: 1, MemoryBytes: 1},
		admission.Function{Name: "rare", Concurrency: 1, MemoryBytes: 2},
	)
	lastID := uint64(0)
	add := func(function, tenant string) uint64 {
		lastID++
		deadline := s.now + 10*time.Second
		s.calls[lastID] = admission.Call{ID: lastID, Function: function, Tenant: tenant, Deadline: deadline}
		s.Admit(s.now, s.calls[lastID])
		return lastID
	}
	var rare uint64
	s.run(t, 6*time.Second, 100*ms, 20*ms, func() {
		for s.Counts("busy").Waiting < 20 {
			add("busy", "x")
		}
		if s.now == 2*time.Second {
			rare = add("rare", "y")
		}
	})
	if at, ran := s.startedAt[rare]; !ran || at > 2*time.Second+1500*ms {
		t.Errorf("the call submitted at 2s started at %v (started: %v), want at most 3.5s", at, ran)
	}
	if counts := s.Counts("busy"); counts.Warm == 0 {
		t.Errorf("the busy function has no warm replica left: %+v", counts)
	}
}

// One tenant submits far more calls than the worker can run. The calls of the other tenant, which submits less than its
// share, must still be admitted and run.
func TestNoTenantStarves(t *testing.T) {
	s := newSimulation(
		admission.Limits{
			MemoryBytes: 8,
			MaxRunning:  4,
			MaxWaiting:  40,
			MaxLoads:    2,
			IdleTimeout: time.Minute,
			LoadOnMiss:  true,
		},
		admission.Function{Name: "f", Concurrency: 8, MemoryBytes: 1},
		admission.Function{Name: "g", Concurrency: 8, MemoryBytes: 1},
	)
	functions := map[string]string{"much": "f", "little": "g"}
	sent, rejected := map[string]int{}, map[string]int{}
	lastID := uint64(0)
	s.run(t, 5*time.Second, 50*ms, 20*ms, func() {
		for _, tenant := range []string{"much", "little"} {
			calls := 1
			if tenant == "much" {
				calls = 10
			} else if s.now%(20*ms) != 0 {
				continue
			}
			for range calls {
				lastID++
				s.calls[lastID] = admission.Call{
					ID:       lastID,
					Function: functions[tenant],
					Tenant:   tenant,
					Deadline: s.now + time.Second,
				}
				sent[tenant]++
				if s.Admit(s.now, s.calls[lastID]) != admission.Admitted {
					rejected[tenant]++
				}
			}
		}
	})
	started := map[string]int{}
	for id := range s.startedAt {
		started[s.calls[id].Tenant]++
	}
	if rejected["little"] > sent["little"]/50 || started["little"] < sent["little"]*9/10 {
		t.Errorf("tenant little: sent %d calls, rejected %d, started %d",
			sent["little"], rejected["little"], started["little"])
	}
	if started["much"] < 500 {
		t.Errorf("tenant much: started %d calls, want 500 or more", started["much"])
	}
}

// Order of eviction: replicas that were loaded by request and have not run a call, then those that have been idle the
// longest. A busy replica is never evicted, and a load request does not evict replicas that have run calls.
func Example_eviction() {
	s := newSimulation(
		admission.Limits{
			MemoryBytes: 3,
			MaxRunning:  4,
			MaxWaiting:  9,
			MaxLoads:    4,
			IdleTimeout: time.Minute,
			LoadOnMiss:  true,
		},
		admission.Function{Name: "busy", Concurrency: 1, MemoryBytes: 1},
		admission.Function{Name: "idle", Concurrency: 1, MemoryBytes: 1},
		admission.Function{Name: "requested", Concurrency: 1, MemoryBytes: 1},
		admission.Function{Name: "new", Concurrency: 1, MemoryBytes: 1},
	)
	fail := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	step := func(description string) admission.Actions {
		s.now += 10 * ms
		actions := s.advance(fail)
		fmt.Printf("%s: runs %v, loads %d, unloads %v\n", description, actions.Runs, len(actions.Loads), actions.Unloads)
		return actions
	}
	admit := func(id uint64, function string) {
		s.calls[id] = admission.Call{ID: id, Function: function, Deadline: time.Hour}
		s.Admit(s.now, s.calls[id])
	}
	admit(1, "busy")
	admit(2, "idle")
	s.RequestReplicas("requested", 1)
	for _, load := range step("first").Loads {
		s.completeLoad(load.ReplicaID)
	}
	step("loaded")
	s.endCall(2)
	fmt.Println(s.RequestReplicas("new", 1))
	step("a request")
	s.completeUnload(3)
	step("its memory")
	s.completeLoad(4)
	admit(3, "requested")
	step("a call")
	s.completeUnload(4)
	step("its memory")
	// Output:
	// first: runs [], loads 3, unloads []
	// loaded: runs [{1 1} {2 2}], loads 0, unloads []
	// 1 0
	// a request: runs [], loads 0, unloads [3]
	// its memory: runs [], loads 1, unloads []
	// a call: runs [], loads 0, unloads [4]
	// its memory: runs [], loads 1, unloads []
}
