package scheduler_test

import (
	"fmt"
	"math"

	"lupinpond/scheduler"
)

// Invalid settings lead to safe decisions instead of a panic.
func Example_invalidSettings() {
	s := scheduler.New(0, 0, 0, 0)
	s.AddType(scheduler.RequestType{Name: "t"})
	s.AddTenant("n", 0)
	s.SetAttemptPolicy(scheduler.AttemptPolicy{})
	s.SetLoadPolicy(scheduler.LoadPolicy{})
	s.SetSlowStart(scheduler.SlowStart{})
	s.SetSubscribeInterval(0)
	s.ReplaceMembership(1, []scheduler.Member{{Worker: "a", Started: 1}})
	for i, kind := range []string{"t", "t", "unknown"} {
		request := &scheduler.Request{ID: fmt.Sprint("e", i), Type: kind, Tenant: "n"}
		decision := s.Submit(2, request)
		fmt.Print(decision.Action, " ")
		for _, decision := range s.Tick(2).Decisions {
			fmt.Print(decision.Request.ID, " ", decision.Action, " ", decision.Worker, "; ")
		}
	}
	s.ReplaceMembership(3, nil)
	s.WatchFailed(3)
	fmt.Println(len(s.Tick(3).Decisions))
	// Output:
	// 0 e0 2 ; 0 e1 2 ; 0 e2 2 ; 0
}

// Weights, memory and queue depths that are implausible or not numbers are handled like missing ones.
func Example_implausibleValues() {
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 0} {
		h := newHarness(9)
		h.enableProbes()
		h.AddWorkerKind("k", v)
		h.ReplaceMembership(h.now, []scheduler.Member{
			{Worker: "a", Kind: "k", Weight: v}, {Worker: "b", Kind: "l", Weight: 1}})
		loads := map[string]int{}
		for fn := range uint64(100) {
			h.completeProbe("a", v)
			request := newRequest(fn, 1)
			request.Memory = v
			for _, load := range h.serve(request, 10*ms) {
				loads[load.Worker]++
			}
		}
		fmt.Println(v, "both are used", loads["a"] > 20 && loads["b"] > 20)
	}
	// Output:
	// NaN both are used true
	// +Inf both are used true
	// -1 both are used true
	// 1e+300 both are used true
	// 0 both are used true
}
