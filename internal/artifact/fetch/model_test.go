package fetch

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"
	"time"
)

// choiceSequence has every choice of a run; the next run changes the last one that can be changed.
type choiceSequence struct {
	position int
	choices  []int
	sizes    []int // how many alternatives each choice has
}

func (c *choiceSequence) choose(alternatives int) int {
	if c.position == len(c.choices) {
		c.choices = append(c.choices, 0)
		c.sizes = append(c.sizes, alternatives)
	}
	c.position++
	return c.choices[c.position-1]
}

// next prepares the next run; false if there is none.
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

// fleetModel is a small fleet that searches for one chunk.
type fleetModel struct {
	choices        *choiceSequence
	names          []string
	lists          map[string][]string // the endpoint list as each worker has it
	searches       map[string]*Search
	cached         map[string]bool
	crashed        map[string]bool
	now            time.Duration
	faultsLeft     int // a lost message, a corrupt chunk, a store that rejects, a crash
	storeAvailable bool
	storeFetches   int // fetches from the store that delivered the chunk
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

// fault chooses whether a fault happens now.
func (m *fleetModel) fault() bool {
	if m.faultsLeft == 0 || m.choices.choose(2) == 0 {
		return false
	}
	m.faultsLeft--
	return true
}

// step has one worker do what its search says; every fault that may happen is a choice.
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
	if !m.crashed[peer] && m.faultsLeft > 0 && m.choices.choose(2) == 1 { // it crashes just now, with its cache
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
		Home:       slices.Index(m.order(peer), peer) < Homes,
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

// state is all that the rest of a run depends on.
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

// advance moves the clock to the next step and returns the workers whose step that may be.
func (m *fleetModel) advance() (ready []string) {
	soonest := time.Duration(-1)
	for _, name := range m.names {
		search := m.searches[name]
		if search == nil {
			continue
		}
		at := max(m.now, search.resumeAt)
		if soonest < 0 || at < soonest {
			soonest = at
			ready = nil
		}
		if at == soonest {
			ready = append(ready, name)
		}
	}
	m.now = soonest
	return ready
}

// run plays one run to its end, or to a state that an earlier run has passed.
func (m *fleetModel) run(t *testing.T, seen map[uint64]bool, seed maphash.Seed) {
	t.Helper()
	for steps := 0; len(m.searches) > 0; steps++ {
		if steps > 400 {
			t.Fatalf("it goes on for ever:\n%s", strings.Join(m.log, "\n"))
		}
		ready := m.advance()
		next := ready[0]
		if len(ready) > 1 {
			next = ready[m.choices.choose(len(ready))]
		}
		if m.step(next) {
			t.Fatalf("%s gives up though the store or a live worker can deliver the chunk:\n%s",
				next, strings.Join(m.log, "\n"))
		}
		if m.choices.position == len(m.choices.choices) { // every choice of this run is behind it
			state := maphash.String(seed, m.state())
			if seen[state] {
				return
			}
			seen[state] = true
		}
	}
}

// explore plays every run of a fleet and returns how many there were and the most fetches from the store in one.
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

// Every order of steps and every two faults of a fleet of three, whose endpoint lists agree or not, with the store
// there, and with the chunk at one worker and no store: nobody gives up, nothing goes on for ever, and the store is
// asked at most once for each fault and once more where lists agree.
func TestEveryRunOfSmallFleets(t *testing.T) {
	three := []string{"a", "b", "c"}
	same := map[string][]string{"a": three, "b": three, "c": three}
	different := map[string][]string{"a": {"a", "b"}, "b": {"b", "c"}, "c": {"a", "c"}}
	five := []string{"a", "b", "c", "d", "e"}
	sameFive := map[string][]string{"a": five, "b": five, "c": five, "d": five, "e": five}
	for _, c := range []struct {
		name            string
		names           []string
		lists           map[string][]string
		replica         string // that has the chunk from the beginning; "": none
		storeAvailable  bool
		faults          int
		maxStoreFetches int
	}{
		{"lists agree", three, same, "", true, 2, 3},
		{"lists differ", three, different, "", true, 1, 3},
		{"no store, one has it", three, same, "b", false, 0, 0},
		{"no store, one that is no home has it", five, sameFive, RendezvousOrder([]byte("c"), five)[4], false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs, storeFetches := explore(t, func(choices *choiceSequence) *fleetModel {
				m := &fleetModel{choices: choices, names: c.names, lists: c.lists, searches: map[string]*Search{},
					cached: map[string]bool{}, crashed: map[string]bool{}, faultsLeft: c.faults,
					storeAvailable: c.storeAvailable}
				if c.replica != "" {
					m.cached[c.replica] = true
				}
				for _, name := range c.names {
					m.startSearch(name)
				}
				return m
			})
			if storeFetches > c.maxStoreFetches {
				t.Errorf("the store delivered the chunk %d times, at most %d are right", storeFetches, c.maxStoreFetches)
			}
			t.Logf("%d runs, at most %d fetches from the store", runs, storeFetches)
		})
	}
}
