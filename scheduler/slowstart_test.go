package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lupinpond/scheduler"
)

// Rule 4: a worker that has just started is sent no second request within 200 ms, and a warm worker is sent requests up
// to its limit of 16 attempts in flight.
func Example_coldWorker() {
	for _, started := range []time.Duration{0, time.Hour} {
		h := newHarness(1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "a", Started: started}})
		h.submit("e0", "idempotent", 9)
		h.completeLoads(h.advance(0))
		h.advance(1000 * ms)
		sent := 0
		for range 20 {
			if h.Submit(h.now, newRequest(9, 32)).Action == scheduler.Send {
				sent++
			}
			h.now += 10 * ms
		}
		fmt.Println("sent", sent)
	}
	// Output:
	// 0s e0 enqueue
	// 0s load 9 x1 on a
	// 1s e0 send to a
	// sent 15
	// 0s e0 enqueue
	// 0s load 9 x1 on a
	// 1s e0 send to a
	// sent 0
}

// Rule 4 for all gateways together: a hundred gateways without measurements send about one request per second to a new
// worker.
func Example_coldWorkerOfManyGateways() {
	sent := 0
	for index := range 100 {
		h := newFleetHarness(index, 100, 1)
		h.ReplaceMembership(h.now, []scheduler.Member{{Worker: "n", Started: h.now}})
		for range 20 {
			h.Submit(h.now, newRequest(9, 32))
			due := h.Tick(h.now)
			h.completeLoads(due)
			for _, decision := range append(due.Decisions, h.Tick(h.now).Decisions...) {
				if decision.Action == scheduler.Send {
					sent++
				}
			}
			h.now += 50 * ms
		}
	}
	fmt.Println("in the first second", sent)
	// Output:
	// in the first second 1
}

// The fleet in which a worker restarts cold.
const (
	coldFleetTick   = 10 * ms
	coldFleetWarmUp = 12 * time.Second // time before the worker restarts
	coldFleetSpan   = 10 * time.Second // time after the worker restarts
	coldFleetRate   = 300.0            // requests per second of all gateways
	coldFleetStart  = time.Hour + coldFleetWarmUp
)

// coldFleet is a simulation of gateways with workers w0 and w1. At coldFleetStart w0 restarts and w1 starts draining,
// so that only w0 accepts requests. Some gateways receive five times the traffic of others, and some are notified of
// the restart late.
type coldFleet struct {
	gateways []*harness
	weights  []float64         // traffic of each gateway
	total    float64           // sum of the weights
	notified map[*harness]bool // gateways that were notified of the restart
	random   *rand.Rand
	running  []runningAttempt
	served   int // attempts completed before the restart

	// times of the attempts to the cold worker by notified gateways, counted from its restart
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
		f.gateways = append(f.gateways, newFleetHarness(i, gateways, 2))
		f.weights = append(f.weights, weight)
		f.total += weight
	}
	return f
}

// carryOut starts the attempts that a gateway's decisions send.
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

// complete completes the attempts that end by now.
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

// step simulates one tick of gateway i: membership updates, new requests and the decisions of Tick.
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

// maxBudgetShare returns the highest ratio of the attempts sent to the cold worker within a second to those that make
// it crash: n + 2*sqrt(n) + 2, where n is the crash multiple of its capacity at that time, and the rest allows for
// random variation.
func (f *coldFleet) maxBudgetShare() float64 {
	mean := float64(f.served) / coldFleetWarmUp.Seconds() / 2 // completed attempts per worker and second
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

// The attempts that all gateways together send to a worker that has just restarted stay below the load that makes it
// crash (rule 4), although no gateway has information about the attempts of the others.
func TestColdWorkerIsNotOverloaded(t *testing.T) {
	for _, gateways := range []int{1, 4, 20, 30, 100, 300} {
		for seed := range uint64(3) {
			f := newColdFleet(gateways, seed)
			f.run()
			most := f.maxBudgetShare()
			if len(f.sentCold) == 0 || most >= 1 {
				t.Errorf("%d gateways, seed %d: %d attempts sent to the cold worker, up to %.2f of the load that makes it crash",
					gateways, seed, len(f.sentCold), most)
			}
			t.Logf("%d gateways, seed %d: %d attempts, up to %.2f of the crash load", gateways, seed, len(f.sentCold), most)
		}
	}
}
