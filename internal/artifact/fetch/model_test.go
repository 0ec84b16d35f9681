package fetch

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"
	"time"
)

// choiceSequence enumerates all runs of a model by depth-first search. It records the choices of a run; the next run
// takes another alternative for the last choice that has one left.
type choiceSequence struct {
	position int   // number of choices that the current run has made
	choices  []int // chosen alternative of each choice
	sizes    []int // number of alternatives of each choice
}

// choose returns the alternative to take, from 0 to alternatives-1.
func (c *choiceSequence) choose(alternatives int) int {
	if c.position == len(c.choices) {
		c.choices = append(c.choices, 0)
		c.sizes = append(c.sizes, alternatives)
	}
	c.position++
	return c.choices[c.position-1]
}

// next prepares the next run. It returns false if all runs have been made.
func (c *choiceSequence) next() bool {
	for i := c.position - 1; i >= 0; i-- {
		if c.choices[i]+1 < c.sizes[i] {
			c.choices = append(c.choices[:i], c.choices[i]+1)
			c.sizes = c.sizes[:i+1]
			c.position = 0
			return true
		}
	}
	return false
}

// fleetModel models a small fleet in which workers search for the same chunk.
type fleetModel struct {
	choices        *choiceSequence
	names          []string
	lists          map[string][]string // endpoint list of each worker
	searches       map[string]*Search
	cached         map[string]bool
	crashed        map[string]bool
	now            time.Duration
	faultsLeft     int // number of lost messages, corrupt chunks, store rejections and crashes that may still happen
	storeAvailable bool
	storeFetches   int // number of times that the store delivered the chunk
	log            []string
}

func (m *fleetModel) order(name string) []string { return RendezvousOrder([]byte("c"), m.lists[name]) }

func (m *fleetModel) startSearch(name string) {
	if m.searches[name] == nil && !m.cached[name] && !m.crashed[name] {
		m.searches[name] = NewSearch(name, m.order(name), m.now, time.Hour)
	}
}

func (m *fleetModel) delivered(name string) {
	m.cached[name] = true
	delete(m.searches, name)
}

// fault reports whether a fault happens now. While faults are left, both alternatives are explored.
func (m *fleetModel) fault() bool {
	if m.faultsLeft == 0 || m.choices.choose(2) == 0 {
		return false
	}
	m.faultsLeft--
	return true
}

// step executes the next step of a worker's search, with a choice for each fault that may happen. It reports whether
// the search was abandoned.
func (m *fleetModel) step(name string) (abandoned bool) {
	search := m.searches[name]
	step := search.Next(m.now, func(string) bool { return true }, 0)
	m.log = append(m.log, fmt.Sprintf("%v %s: %v", m.now, name, step))
	switch step.Action {
	case Abandon:
		return true
	case Pause:
	case FetchFromStore:
		if !m.storeAvailable || m.fault() {
			search.RecordStoreFailure(m.now, time.Second)
			break
		}
		m.storeFetches++
		m.delivered(name)
	case FetchFromPeer:
		m.fetchFromPeer(name, search, step)
	}
	return false
}

func (m *fleetModel) fetchFromPeer(name string, search *Search, step Step) {
	peer := step.Peer
	if !m.crashed[peer] && m.faultsLeft > 0 && m.choices.choose(2) == 1 { // the peer crashes and its cache is lost
		m.faultsLeft--
		m.crashed[peer] = true
		delete(m.searches, peer)
		delete(m.cached, peer)
	}
	if m.crashed[peer] || m.fault() {
		search.RecordPeerResponse(m.now, peer, Failed, nil, 0)
		return
	}
	response := ResponseFor(PeerRequest{
		Cached:     m.cached[peer],
		Home:       slices.Index(m.order(peer), peer) < HomesPerChunk,
		CachedOnly: step.CachedOnly,
	})
	if response == Delivered {
		if m.fault() {
			search.RecordPeerResponse(m.now, peer, Corrupt, nil, 0)
			return
		}
		m.delivered(name)
		return
	}
	if response == Pending {
		m.startSearch(peer)
	}
	search.RecordPeerResponse(m.now, peer, response, nil, time.Second)
}

// state returns a text with all state that determines the rest of a run.
func (m *fleetModel) state() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now, m.faultsLeft, m.storeFetches)
	for _, name := range m.names {
		fmt.Fprint(&b, name, m.cached[name], m.crashed[name])
		if search := m.searches[name]; search != nil {
			fmt.Fprintf(&b, "%+v", *search)
		}
	}
	return b.String()
}

// advance moves the clock to the time of the next step and returns the workers that may execute a step then.
func (m *fleetModel) advance() (ready []string) {
	earliest := time.Duration(-1)
	for _, name := range m.names {
		search := m.searches[name]
		if search == nil {
			continue
		}
		at := max(m.now, search.resumeAt)
		if earliest < 0 || at < earliest {
			earliest = at
			ready = nil
		}
		if at == earliest {
			ready = append(ready, name)
		}
	}
	m.now = earliest
	return ready
}

// run executes one run until all searches have ended, or until it reaches a state that an earlier run has reached.
func (m *fleetModel) run(t *testing.T, seen map[uint64]bool, seed maphash.Seed) {
	t.Helper()
	for steps := 0; len(m.searches) > 0; steps++ {
		if steps > 400 {
			t.Fatalf("the searches do not end:\n%s", strings.Join(m.log, "\n"))
		}
		ready := m.advance()
		next := ready[0]
		if len(ready) > 1 {
			next = ready[m.choices.choose(len(ready))]
		}
		if m.step(next) {
			t.Fatalf("%s abandons its search although the store or a live worker can deliver the chunk:\n%s",
				next, strings.Join(m.log, "\n"))
		}
		if m.choices.position == len(m.choices.choices) { // the run has left the prefix it shares with earlier runs
			state := maphash.String(seed, m.state())
			if seen[state] {
				return
			}
			seen[state] = true
		}
	}
}

// explore executes every run of a fleet. It returns the number of runs and the largest number of deliveries by the
// store in one run.
func explore(t *testing.T, start func(*choiceSequence) *fleetModel) (runs, maxStoreFetches int) {
	t.Helper()
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	choices := &choiceSequence{}
	for {
		m := start(choices)
		m.run(t, seen, seed)
		runs++
		maxStoreFetches = max(maxStoreFetches, m.storeFetches)
		if !choices.next() {
			return runs, maxStoreFetches
		}
	}
}

// TestAllInterleavingsOfSmallFleets guards against searches that never end or are abandoned although the chunk is
// available, and against needless load on the store. It explores every order of steps and up to two faults in a fleet
// of three whose endpoint lists agree or differ (one fault if they differ), and fleets without a store in which one
// worker has the chunk. If the lists agree, the store must deliver the chunk at most once, and once more for each
// fault.
func TestAllInterleavingsOfSmallFleets(t *testing.T) {
	three := []string{"a", "b", "c"}
	same := map[string][]string{"a": three, "b": three, "c": three}
	different := map[string][]string{"a": {"a", "b"}, "b": {"b", "c"}, "c": {"a", "c"}}
	five := []string{"a", "b", "c", "d", "e"}
	sameFive := map[string][]string{"a": five, "b": five, "c": five, "d": five, "e": five}
	for _, c := range []struct {
		name            string
		names           []string
		lists           map[string][]string
		initialReplica  string // worker that has the chunk from the beginning; "": none
		storeAvailable  bool
		faults          int
		maxStoreFetches int
	}{
		{"lists agree", three, same, "", true, 2, 3},
		{"lists differ", three, different, "", true, 1, 3},
		{"no store, one worker has the chunk", three, same, "b", false, 0, 0},
		{"no store, a worker that is not a home has the chunk", five, sameFive, RendezvousOrder([]byte("c"), five)[4],
			false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs, storeFetches := explore(t, func(choices *choiceSequence) *fleetModel {
				m := &fleetModel{choices: choices, names: c.names, lists: c.lists, searches: map[string]*Search{},
					cached: map[string]bool{}, crashed: map[string]bool{}, faultsLeft: c.faults,
					storeAvailable: c.storeAvailable}
				if c.initialReplica != "" {
					m.cached[c.initialReplica] = true
				}
				for _, name := range c.names {
					m.startSearch(name)
				}
				return m
			})
			if storeFetches > c.maxStoreFetches {
				t.Errorf("the store delivered the chunk %d times, want at most %d", storeFetches, c.maxStoreFetches)
			}
			t.Logf("%d runs, at most %d fetches from the store", runs, storeFetches)
		})
	}
}
