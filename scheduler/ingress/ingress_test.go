package ingress_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/scheduler/ingress"
)

// flood charges each flow the same cost every millisecond for some time, and returns the time at its end.
func flood(controller *ingress.Controller, flows []*ingress.Flow) (now time.Duration) {
	for range 3000 {
		now += time.Millisecond
		for _, flow := range flows {
			controller.Charge(now, flow, ingress.MessageCost)
		}
	}
	return now
}

func newFlows(count int) []*ingress.Flow {
	flows := make([]*ingress.Flow, count)
	for i := range flows {
		flows[i] = &ingress.Flow{}
	}
	return flows
}

// TestModerateFlowDoesNotWait checks that a flow that uses little is served at once beside any number of flows that use
// much, and that none of these is.
func TestModerateFlowDoesNotWait(t *testing.T) {
	for _, count := range []int{1, 2, 8, 400} {
		controller, flows, moderate := ingress.New(1), newFlows(count), &ingress.Flow{}
		now := flood(controller, flows)
		for range 15 {
			controller.Charge(now, moderate, ingress.MessageCost)
		}
		if !controller.IsLight(now, moderate, false) {
			t.Errorf("%d flooding flows: the moderate flow waits", count)
		}
		for _, flow := range flows {
			if controller.IsLight(now, flow, false) {
				t.Errorf("%d flooding flows: one of them does not wait", count)
			}
		}
	}
}

// TestOnlyFlowBecomesLightAgain checks that a flow that has flooded is served at once some time after it has stopped.
func TestOnlyFlowBecomesLightAgain(t *testing.T) {
	controller, flows, others := ingress.New(1), newFlows(1), newFlows(4)
	now := flood(controller, flows)
	for range 20 {
		now += time.Second
		for _, flow := range append(others, flows...) {
			controller.Charge(now, flow, 15*ingress.MessageCost)
		}
	}
	for _, flow := range others {
		controller.Charge(now, flow, 15*ingress.MessageCost)
	}
	if !controller.IsLight(now+time.Second, &ingress.Flow{}, false) {
		t.Error("a new flow waits")
	}
}

// TestTurnsInOrderOfUse checks that waiting flows get their turns one after the other, the least used first.
func TestTurnsInOrderOfUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller, flows := ingress.New(1), newFlows(rapid.IntRange(1, 20).Draw(t, "flows"))
		costs := map[*ingress.Flow]int{}
		for _, flow := range flows {
			costs[flow] = rapid.IntRange(0, 1000).Draw(t, "cost")
			controller.Charge(0, flow, float64(costs[flow]))
			controller.Wait(flow)
		}
		left, last := len(flows), 0
		for now := time.Duration(0); left > 0; now += time.Millisecond {
			flow, _ := controller.Next(ingress.Load{Now: now})
			if flow == nil {
				continue
			}
			if other, _ := controller.Next(ingress.Load{Now: now}); other != nil {
				t.Fatal("two flows have a turn")
			}
			if costs[flow] < last {
				t.Fatalf("a flow with use %d follows one with %d", costs[flow], last)
			}
			last = costs[flow]
			controller.Leave(flow)
			left--
		}
	})
}

// turnsPerSecond returns the number of turns in a second, if each uses some processor time and there is a backlog.
func turnsPerSecond(cores float64, cost, backlog time.Duration) (turns int) {
	controller, flows := ingress.New(cores), newFlows(2)
	for _, flow := range flows {
		controller.Charge(0, flow, ingress.MessageCost)
		controller.Wait(flow)
	}
	var used time.Duration
	for now := time.Duration(0); now < time.Second; {
		flow, after := controller.Next(ingress.Load{Now: now, CPUTime: used, Backlog: backlog})
		if flow == nil {
			now += after
			continue
		}
		turns++
		used += cost
		now += cost
		controller.Charge(now, flow, ingress.MessageCost)
		controller.Leave(flow)
		controller.Wait(flow)
	}
	return turns
}

// TestTurnsLeaveProcessorTime checks that turns use no more than the share of the processor that is meant for them, but
// do not cease.
func TestTurnsLeaveProcessorTime(t *testing.T) {
	for _, test := range []struct {
		name          string
		cores         float64
		cost, backlog time.Duration
		least, most   int
	}{
		{"a whole core", 1, time.Millisecond, 0, 750, 850},
		{"a part of a core", 0.4, time.Millisecond, 0, 300, 340},
		{"an event loop that is behind", 1, time.Millisecond, time.Second, 90, 110},
		{"turns that use much", 0.1, 50 * time.Millisecond, 0, 15, 20},
	} {
		if turns := turnsPerSecond(test.cores, test.cost, test.backlog); turns < test.least || turns > test.most {
			t.Errorf("%s: %d turns in a second, want %d to %d", test.name, turns, test.least, test.most)
		}
	}
}

// TestLeaveQueue checks that a flow that leaves the queue gets no turn.
func TestLeaveQueue(t *testing.T) {
	controller, flows := ingress.New(1), newFlows(3)
	for _, flow := range flows {
		controller.Wait(flow)
	}
	controller.Leave(flows[0])
	controller.Leave(flows[1])
	if flow, _ := controller.Next(ingress.Load{}); flow != flows[2] {
		t.Error("a flow that has left gets a turn")
	}
	controller.Leave(flows[2])
	if flow, after := controller.Next(ingress.Load{}); flow != nil || after != 0 {
		t.Error("a turn begins although no flow waits")
	}
}
