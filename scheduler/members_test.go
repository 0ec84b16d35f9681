package scheduler_test

import (
	"fmt"

	"lupinpond/scheduler"
)

// Rule 3: a draining worker is sent no new work, neither attempts nor load requests.
func Example_drain() {
	h := newHarness(1)
	h.UpdateMembership(h.now, []scheduler.Member{
		{Worker: "a", Condition: scheduler.Draining}, {Worker: "b", Condition: scheduler.Removed}})
	for i := range 4 {
		h.submit(fmt.Sprint("e", i), "idempotent", uint64(i))
	}
	h.completeLoads(h.advance(0))
	h.UpdateMembership(h.now, []scheduler.Member{{Worker: "c", Condition: scheduler.Draining}})
	h.advance(10 * ms)
	// Output:
	// 0s e0 enqueue
	// 0s e1 enqueue
	// 0s e2 enqueue
	// 0s e3 enqueue
	// 0s load 0 x1 on c
	// 0s load 1 x1 on c
	// 0s load 2 x1 on c
	// 0s load 3 x1 on c
}
