package scheduler

import (
	"fmt"
	"time"
)

// Functions asked for once and workers long gone are forgotten; an emptied list fills again.
func Example_forgotten() {
	c := New(1, 0, 2, time.Millisecond)
	c.AddType(RequestType{Name: "t", Objective: time.Second})
	c.SetLoadPolicy(true, true, 8*time.Second, 10*time.Second, 0, 0, 0)
	now := time.Hour
	for i := range 5000 {
		c.UpdateMembership(now, true, []Member{{Worker: fmt.Sprint("w", i/100)}})
		c.Submit(now, &Request{Type: "t", Function: uint64(i), TimeLeft: time.Second})
		c.Tick(now)
		now += 100 * time.Millisecond
	}
	c.UpdateMembership(now, true, nil)
	empty := len(c.workers)
	c.UpdateMembership(now, true, []Member{{Worker: "w"}})
	fmt.Println("few functions", len(c.functions) < 1000, "workers", empty, len(c.workers), "held", len(c.activeFunctions) < 20)
	// Output:
	// few functions true workers 0 1 held true
}
