package scheduler_test

import (
	"fmt"

	"lupinpond/scheduler"
)

// With many gateways, a frequently called function has first replicas at many workers, and a rarely called one at few.
func Example_manyGateways() {
	for _, every := range []int{50, 2} {
		n := firstReplicaWorkers(0, func(i int) uint64 {
			if i%every > 0 {
				return uint64(100 + i)
			}
			return 9
		})
		fmt.Println("one request of", every, "workers with first replicas", n, "of 20")
	}
	// Output:
	// one request of 50 workers with first replicas 2 of 20
	// one request of 2 workers with first replicas 20 of 20
}

// A worker with three times the weight has first replicas of about three times as many functions.
func Example_weights() {
	h := newHarness(1)
	h.ReplaceMembership(h.now, []scheduler.Member{
		{Worker: "big", Kind: "b", Weight: 3}, {Worker: "small", Kind: "s", Weight: 1}})
	loads := map[string]int{}
	for fn := range uint64(200) {
		request := newRequest(fn, 1)
		request.LoadTime = 400 * ms
		for _, load := range h.serve(request, 10*ms) {
			loads[load.Worker]++
		}
	}
	fmt.Println(loads["big"]/10*10, loads["small"]/10*10)
	// Output:
	// 140 50
}

// If the memory of the workers is too small for further replicas of each function, a frequently called function has
// first replicas at fewer workers.
func Example_memory() {
	for _, memory := range []float64{0, 4, 4000} {
		n := firstReplicaWorkers(memory, func(i int) uint64 {
			if i%4 > 0 {
				return uint64(100 + i)
			}
			return 9
		})
		fmt.Println("memory", memory, "many workers", n > 12)
	}
	// Output:
	// memory 0 many workers true
	// memory 4 many workers false
	// memory 4000 many workers true
}

// If attempts to other zones have a cost, most requests of a function with replicas in all zones stay in the gateway's
// zone.
func Example_zonePreference() {
	for _, zone := range []string{"", "x"} {
		own := 0
		for fn := range uint64(100) {
			h := newHarness(1)
			h.PreferZone(zone)
			h.ReplaceMembership(h.now, []scheduler.Member{
				{Worker: "a", Zone: "x"}, {Worker: "b", Zone: "y"}, {Worker: "c", Zone: "z"}})
			h.submitQuietly(fn)
			for _, w := range []string{"a", "b", "c"} { // a replica at each worker
				h.LoadCompleted(h.now, scheduler.LoadRequest{Worker: w, Function: fn, Replicas: 1}, scheduler.Completed, 400*ms)
			}
			if a := h.Tick(h.now).Decisions; len(a) > 0 && a[0].Worker == "a" {
				own++
			}
		}
		fmt.Printf("own zone %q: over half stay %v\n", zone, own > 50)
	}
	// Output:
	// own zone "": over half stay false
	// own zone "x": over half stay true
}

// A function that is called three times is estimated to be rarer if the other functions are called only once than if
// they are called repeatedly.
func Example_recurringFunctions() {
	for _, others := range []int{20, 1000} {
		n := firstReplicaWorkers(0, func(i int) uint64 {
			if i%20 == 9 {
				return 9
			}
			return uint64(100 + i%others)
		})
		fmt.Println("of", others, "others: workers with first replicas", n)
	}
	// Output:
	// of 20 others: workers with first replicas 10
	// of 1000 others: workers with first replicas 5
}
