package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lupinpond/scheduler"
)

// The fleet that a worker joins cold.
const (
	coldFleetTick   = 10 * ms
	coldFleetWarmUp = 12 * time.Second // before the cold worker starts
	coldFleetSpan   = 10 * time.Second // after
	coldFleetRate   = 300.0            // requests a second of all gateways
	coldFleetStart  = time.Hour + coldFleetWarmUp
)

// coldFleet is a fleet of gateways over workers w0 and w1. At its start w0 starts again and w1 drains: nothing else
// takes requests then. Some gateways see several times the mean traffic, and some learn of the start late.
type coldFleet struct {
	gateways []*harness
	weights  []float64 // of the gateways' traffic
	total    float64
	notified map[*harness]bool // of the start
	random   *rand.Rand
	running  []runningAttempt
	served   int // attempts completed before the start

	// attempts to the cold worker by the gateways that were notified, by their time after its start
	sentCold []time.Duration
}

type runningAttempt struct {
	gateway *harness
	request *scheduler.Request
	end     time.Duration
}

func newColdFleet(gateways int, seed uint64) *coldFleet {
	f := &coldFleet{notified: map[*harness]bool{}, random: rand.New(rand.NewPCG(seed, uint64(gateways)))}
	for i := range gateways {
		weight := 1.0
		if i%7 == 3 {
			weight = 5
		}
		f.gateways = append(f.gateways, newFleet(i, gateways, 2))
		f.weights = append(f.weights, weight)
		f.total += weight
	}
	return f
}

// carryOut starts the attempts among the decisions of a gateway.
func (f *coldFleet) carryOut(gateway *harness, decisions ...scheduler.Decision) {
	for _, decision := range decisions {
		if decision.Action != scheduler.Send {
			continue
		}
		f.running = append(f.running, runningAttempt{gateway, decision.Request, gateway.now + 100*ms})
		if f.notified[gateway] && decision.Worker == "w0" {
			f.sentCold = append(f.sentCold, gateway.now-coldFleetStart)
		}
	}
}

// complete ends the attempts whose time has come.
func (f *coldFleet) complete(now time.Duration) {
	left := f.running[:0]
	for _, attempt := range f.running {
		if attempt.end > now {
			left = append(left, attempt)
			continue
		}
		if now < coldFleetStart {
			f.served++
		}
		outcome := scheduler.Outcome{Result: scheduler.Completed, Duration: 100 * ms, Final: true}
		f.carryOut(attempt.gateway, attempt.gateway.Complete(now, attempt.request, outcome))
	}
	f.running = left
}

// step has one gateway take what comes at a moment.
func (f *coldFleet) step(i int, now time.Duration) {
	gateway := f.gateways[i]
	gateway.now = now
	if delay := time.Duration(i%3) * 500 * ms; now == coldFleetStart+delay {
		f.notified[gateway] = true
		gateway.UpdateMembership(now, []scheduler.Member{
			{Worker: "w0", Started: coldFleetStart}, {Worker: "w1", Condition: scheduler.Draining}})
	}
	for mean := coldFleetRate * coldFleetTick.Seconds() * f.weights[i] / f.total; f.random.Float64() < mean; mean-- {
		request := newRequest(uint64(f.random.IntN(5)), 4)
		request.ID, request.LoadTime = fmt.Sprint(now, i, mean), 400*ms
		f.carryOut(gateway, gateway.Submit(now, request))
	}
	due := gateway.Tick(now)
	f.carryOut(gateway, due.Decisions...)
	gateway.completeLoads(due)
}

func (f *coldFleet) run() {
	for now := time.Hour; now < coldFleetStart+coldFleetSpan; now += coldFleetTick {
		f.complete(now)
		for i := range f.gateways {
			f.step(i, now)
		}
	}
}

// mostOfBudget is the most attempts that came to the cold worker within a second, over what makes it crash: N that the
// settings allow it in their time, and 2 x root of N + 2 that chance adds.
func (f *coldFleet) mostOfBudget() float64 {
	mean := float64(f.served) / coldFleetWarmUp.Seconds() / 2 // of a worker, in a second
	first, most := 0, 0.0
	for last, at := range f.sentCold {
		for f.sentCold[first] <= at-1000*ms {
			first++
		}
		if since := f.sentCold[first]; since < 9*time.Second {
			n := 2 * (0.2 + 0.8*since.Seconds()/10) * mean
			most = max(most, float64(last-first+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return most
}

// What all gateways together send a worker that has just started stays under what makes it crash (rule 4).
func TestColdWorkerOfAFleet(t *testing.T) {
	for _, gateways := range []int{1, 4, 20, 30, 100, 300} {
		for seed := range uint64(3) {
			f := newColdFleet(gateways, seed)
			f.run()
			most := f.mostOfBudget()
			if len(f.sentCold) == 0 || most >= 1 {
				t.Errorf("%d gateways, seed %d: %d attempts sent there, at the most %.2f of what makes it crash",
					gateways, seed, len(f.sentCold), most)
			}
			t.Logf("%d gateways, seed %d: %d attempts, at the most %.2f", gateways, seed, len(f.sentCold), most)
		}
	}
}
