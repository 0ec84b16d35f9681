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

// Through any sequence of additions and removals, a walk visits every member once, in the order of its least distance
// after a start: the order that scoring every member and sorting them gives.
func TestWalkIsTheSortedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ring fleetindex.Ring[int]
		nodes, points := map[int]*fleetindex.Node[int]{}, map[int]uint64{}
		drawPoint := rapid.OneOf(rapid.Uint64(), rapid.SampledFrom([]uint64{0, 1, math.MaxUint64, 1 << 63}))
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
			points[step] = drawPoint.Draw(t, "point")
			nodes[step] = ring.Add(step, points[step])
		}
		starts := rapid.SliceOfN(drawPoint, 1, 8).Draw(t, "starts")
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
				t.Fatalf("member %d of the walk: %d at %d, more %v, want %d at %d",
					i, member, got, more, want[i], distance(want[i]))
			}
			seen[member] = true
			ring.Next()
		}
		if _, _, more := ring.Peek(); more || ring.Len() != len(want) {
			t.Fatal("the walk goes on after", ring.Len(), "members")
		}
	})
}

// Deadlines give what has expired, the earliest first, however often members were moved or removed.
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
				for before := time.Duration(0); ; {
					got, found := deadlines.PopExpired(now)
					if !found {
						break
					}
					if want[got] < before || want[got] > now {
						t.Fatalf("%d expired at %v, after one of %v, now %v", got, want[got], before, now)
					}
					before = want[got]
					delete(want, got)
				}
				for member, at := range want {
					if at <= now {
						t.Fatalf("%d of %v did not expire at %v", member, at, now)
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

// A list holds what was added and not removed, each once.
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
					t.Fatal(member, "in its list:", slots[member].In())
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
