package scheduler

import (
	"fmt"
	"time"
)

// The state of functions that were called once and of workers that were removed is freed, so that memory does not grow
// without bound. After an empty fleet, new workers are added again.
func Example_idleStateRemoved() {
	s := New(1, 0, 2, time.Millisecond)
	s.AddType(RequestType{Name: "t", Objective: time.Second})
	s.SetLoadPolicy(LoadPolicy{
		RequestLoads:       true,
		LoadOnMiss:         true,
		ReplicaIdleTimeout: 8 * time.Second,
		RequestTimeout:     10 * time.Second,
	})
	now := time.Hour
	for i := range 5000 {
		s.ReplaceMembership(now, []Member{{Worker: fmt.Sprint("w", i/100)}})
		s.Submit(now, &Request{Type: "t", Function: uint64(i), TimeLeft: time.Second})
		s.Tick(now)
		now += 100 * time.Millisecond
	}
	s.ReplaceMembership(now, nil)
	empty := len(s.workers)
	s.ReplaceMembership(now, []Member{{Worker: "w"}})
	fmt.Println("few functions", len(s.functions) < 1000)
	fmt.Println("workers", empty, len(s.workers))
	fmt.Println("few queues", len(s.activeFunctions) < 20)
	// Output:
	// few functions true
	// workers 0 1
	// few queues true
}
