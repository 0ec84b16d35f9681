package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lupinpond/scheduler"
)

// What front ends send a worker that has just started, all together, stays under what pushes it over (rule 4): N that
// the settings allow it in their time, and 2 x root of N + 2 that chance adds. Nothing else takes requests then, some
// front ends see several times the mean, and some are told of the start late: what is counted is what those send that
// were told.
func TestColdWorkerOfAFleet(t *testing.T) {
	const tick, warmUp, rate = 10 * ms, 12 * time.Second, 300.0 // events a second of all front ends
	for _, peers := range []int{1, 4, 20, 30, 100, 300} {
		for seed := range uint64(3) {
			random := rand.New(rand.NewPCG(seed, uint64(peers)))
			gateways, weight, all := make([]*harness, peers), make([]float64, peers), 0.0
			for i := range gateways {
				gateways[i] = newFleet(i, peers, 2)
				weight[i] = 1
				if i%7 == 3 {
					weight[i] = 5
				}
				all += weight[i]
			}
			type running struct {
				b    *harness
				e    *scheduler.Request
				ends time.Duration
			}
			var out []running
			var sent []time.Duration // to the cold worker, by those that were told of its start
			notified := map[*harness]bool{}
			served := 0
			start := time.Hour + warmUp
			act := func(h *harness, decisions []scheduler.Decision) {
				for _, decision := range decisions {
					if decision.Action != scheduler.Send {
						continue
					}
					if out = append(out, running{h, decision.Request, h.now + 100*ms}); notified[h] && decision.Worker == "w0" {
						sent = append(sent, h.now-start)
					}
				}
			}
			for now := time.Hour; now < start+10*time.Second; now += tick {
				left := out[:0]
				for _, r := range out {
					if r.ends > now {
						left = append(left, r)
						continue
					}
					if served++; now >= start {
						served--
					}
					act(r.b, []scheduler.Decision{r.b.Complete(now, r.e, scheduler.Outcome{Result: scheduler.Completed, Duration: 100 * ms, Final: true})})
				}
				out = left
				for i, h := range gateways {
					h.now = now
					if late := time.Duration(i%3) * 500 * ms; now == start+late {
						notified[h] = true
						h.UpdateMembership(now, []scheduler.Member{{Worker: "w0", Started: start}, {Worker: "w1", Condition: scheduler.Draining}})
					}
					for mean := rate * tick.Seconds() * weight[i] / all; random.Float64() < mean; mean-- {
						request := &scheduler.Request{ID: fmt.Sprint(now, i, mean), Type: "redeliverable", Function: uint64(random.IntN(5)),
							TimeLeft: 3000 * ms, Concurrency: 4, LoadTime: 400 * ms}
						act(h, []scheduler.Decision{h.Submit(now, request)})
					}
					due := h.Tick(now)
					act(h, due.Decisions)
					h.completeLoads(due)
				}
			}
			mean := float64(served) / warmUp.Seconds() / 2 // of a worker, in a second
			from, most := 0, 0.0
			for to, at := range sent {
				for sent[from] <= at-1000*ms {
					from++
				}
				if now := sent[from]; now < 9*time.Second {
					n := 2 * (0.2 + 0.8*now.Seconds()/10) * mean
					most = max(most, float64(to-from+1)/(n+2*math.Sqrt(n)+2))
				}
			}
			if len(sent) == 0 || most >= 1 {
				t.Errorf("%d front ends, seed %d: %d events sent there, at the most %.2f of what pushes it over", peers, seed, len(sent), most)
			}
			t.Logf("%d front ends, seed %d: %d events, at the most %.2f", peers, seed, len(sent), most)
		}
	}
}
