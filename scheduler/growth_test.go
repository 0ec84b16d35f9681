package scheduler

import (
	"fmt"
	"time"
)

// Functions asked for once and workers long gone are forgotten; an emptied list fills again.
func Example_forgotten() {
	s := New(1, 0, 2, time.Millisecond)
	s.AddType(RequestType{Name: "t", Objective: time.Second})
	s.SetLoadPolicy(true, true, 8*time.Second, 10*time.Second, 0, 0, 0)
	now := time.Hour
	for i := range 5000 {
		s.UpdateMembership(now, true, []Member{{Worker: fmt.Sprint("w", i/100)}})
		s.Submit(now, &Request{Type: "t", Function: uint64(i), TimeLeft: time.Second})
		s.Tick(now)
		now += 100 * time.Millisecond
	}
	s.UpdateMembership(now, true, nil)
	empty := len(s.workers)
	s.UpdateMembership(now, true, []Member{{Worker: "w"}})
	fmt.Println("few functions", len(s.functions) < 1000, "workers", empty, len(s.workers), "held", len(s.activeFunctions) < 20)
	// Output:
	// few functions true workers 0 1 held true
}
