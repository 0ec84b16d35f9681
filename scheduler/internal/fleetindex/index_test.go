package fleetindex_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/scheduler/internal/fleetindex"
)

// After any sequence of additions and removals, a traversal must visit every member once, in the order that sorting all
// members by their distance after the nearest start gives.
func TestWalkVisitsInDistanceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ring fleetindex.Ring[int]
		nodes, points := map[int]*fleetindex.Node[int]{}, map[int]uint64{}
		pointGenerator := rapid.OneOf(rapid.Uint64(), rapid.SampledFrom([]uint64{0, 1, math.MaxUint64, 1 << 63}))
		for step := range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(nodes) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				members := make([]int, 0, len(nodes))
				for member := range nodes {
					members = append(members, member)
				}
				slices.Sort(members)
				member := rapid.SampledFrom(members).Draw(t, "member")
				ring.Remove(nodes[member])
				delete(nodes, member)
				delete(points, member)
				continue
			}
			points[step] = pointGenerator.Draw(t, "point")
			nodes[step] = ring.Add(step, points[step])
		}
		starts := rapid.SliceOfN(pointGenerator, 1, 8).Draw(t, "starts")
		distance := func(member int) uint64 {
			least := uint64(math.MaxUint64)
			for _, start := range starts {
				least = min(least, points[member]-start)
			}
			return least
		}
		want := make([]int, 0, len(points))
		for member := range points {
			want = append(want, member)
		}
		slices.SortFunc(want, func(a, b int) int { return cmp.Compare(distance(a), distance(b)) })
		seen := map[int]bool{}
		ring.Walk(starts)
		for i := range want {
			member, got, more := ring.Peek()
			if !more || seen[member] || got != distance(want[i]) || got != distance(member) {
				t.Fatalf("member at index %d of the traversal: got %d at distance %d, more %v, want %d at distance %d",
					i, member, got, more, want[i], distance(want[i]))
			}
			seen[member] = true
			ring.Next()
		}
		if _, _, more := ring.Peek(); more || ring.Len() != len(want) {
			t.Fatal("traversal did not end with the last member, or the ring has the wrong length:", ring.Len(), "members")
		}
	})
}

// After any sequence of sets and removals, PopExpired must return all expired members and only those, earliest first.
func TestDeadlinesExpireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var deadlines fleetindex.Deadlines[int]
		entries := make([]fleetindex.Deadline[int], 12)
		want := map[int]time.Duration{}
		for i := range entries {
			entries[i].Member = i
		}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			member := rapid.IntRange(0, len(entries)-1).Draw(t, "member")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				deadlines.Clear(&entries[member])
				delete(want, member)
			case 1:
				now := time.Duration(rapid.IntRange(0, 50).Draw(t, "now"))
				for previous := time.Duration(0); ; {
					got, found := deadlines.PopExpired(now)
					if !found {
						break
					}
					if want[got] < previous || want[got] > now {
						t.Fatalf("popped %d with deadline %v after one with deadline %v; now is %v", got, want[got], previous, now)
					}
					previous = want[got]
					delete(want, got)
				}
				for member, at := range want {
					if at <= now {
						t.Fatalf("member %d with deadline %v was not popped at %v", member, at, now)
					}
				}
			default:
				at := time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))
				deadlines.Set(&entries[member], at)
				want[member] = at
			}
			if deadlines.Len() != len(want) {
				t.Fatal(deadlines.Len(), "deadlines, want", len(want))
			}
		}
	})
}

// After any sequence of additions and removals, a list must contain exactly the members that were added and not
// removed.
func TestListContainsItsMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list fleetindex.List[int]
		slots, in := make([]fleetindex.Slot, 10), map[int]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			member := rapid.IntRange(0, len(slots)-1).Draw(t, "member")
			if in[member] {
				list.Remove(&slots[member])
			} else {
				list.Add(member, &slots[member])
			}
			in[member] = !in[member]
			got := slices.Sorted(slices.Values(list.All()))
			var want []int
			for member := range slots {
				if in[member] != slots[member].In() {
					t.Fatal(member, "has the wrong presence in its list:", slots[member].In())
				}
				if in[member] {
					want = append(want, member)
				}
			}
			if !slices.Equal(got, want) || list.Len() != len(want) {
				t.Fatal(got, "want", want)
			}
		}
	})
}
