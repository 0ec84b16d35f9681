package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// The state of functions that were called once and of workers that were removed is freed, so that memory
// does not grow without bound. After an empty fleet, new workers are added again.
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

// TestFunctionsAreBounded guards against state that grows with the names that clients choose: functions
// that are always new must not grow beyond the limit, and must not push out the ones that are still
// called.
func TestFunctionsAreBounded(t *testing.T) {
	const limit, called = 500, 20
	s := New(1, 0, 1, time.Millisecond)
	s.AddType(RequestType{Name: "t", Objective: time.Second})
	s.SetMaxFunctions(limit)
	s.ReplaceMembership(time.Hour, []Member{{Worker: "w"}})
	now := time.Hour
	for i := range 20 * limit {
		for _, id := range []uint64{uint64(i % called), uint64(1000 + i)} {
			request := &Request{Type: "t", Function: id, TimeLeft: 10 * time.Millisecond}
			if decision := s.Submit(now, request); decision.Action == Send {
				s.Complete(now, request, Outcome{Worker: "w", Result: Completed, Final: true})
			}
		}
		now += time.Millisecond
		s.Tick(now)
		if len(s.functions) > limit+called {
			t.Fatalf("%d functions after %d new ones, the limit is %d", len(s.functions), i, limit)
		}
	}
	for id := range uint64(called) {
		if s.functions[id] == nil {
			t.Errorf("function %d is forgotten although it is called", id)
		}
	}
}
