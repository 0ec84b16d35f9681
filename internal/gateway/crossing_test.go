package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/replay"
	"lupinpond/scheduler"
)

// lateWorkers tell the results of load requests and probes twice, about when these time out.
type lateWorkers struct {
	limit    time.Duration
	telling  sync.WaitGroup
	mu       sync.Mutex
	recalled int
}

// tell calls done twice at some time around the limit.
func (w *lateWorkers) tell(done func()) gateway.Sent {
	for range 2 {
		w.telling.Add(1)
		time.AfterFunc(w.limit/2+rand.N(w.limit), func() {
			done()
			w.telling.Done()
		})
	}
	return w
}

func (w *lateWorkers) Send(_ *gateway.Request, _ int, _ string, _ *gateway.Departure, done func(scheduler.Outcome, []byte)) gateway.Sent {
	done(scheduler.Outcome{Result: scheduler.Completed, ReplicaState: scheduler.ReplicaWarm}, nil)
	return nil
}

func (w *lateWorkers) Load(o scheduler.LoadRequest, done func(int, scheduler.Result)) gateway.Sent {
	return w.tell(func() { done(o.Replicas, scheduler.Completed) })
}

func (w *lateWorkers) Probe(_ string, done func(scheduler.Result, scheduler.LoadReport)) gateway.Sent {
	return w.tell(func() { done(scheduler.Completed, scheduler.LoadReport{}) })
}

func (w *lateWorkers) Subscribe() {}

// Recall counts.
func (w *lateWorkers) Recall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recalled++
}

// Whatever crosses the time-out of a load request or a probe, the core hears of each just once, and each is given up in the end.
func TestResultsThatCrossTheirTimeouts(t *testing.T) {
	w := &lateWorkers{limit: 10 * time.Millisecond}
	var record bytes.Buffer
	owner := gateway.NewOwner(gateway.OwnerOptions{Core: core.Settings{Seed: 1, Gateways: 10, MinTickInterval: time.Millisecond, MaxAttempts: 3, EnforceDeadlines: true, Probe: true,
		LoadPolicy: core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: 50 * time.Millisecond, RequestTimeout: 10 * time.Millisecond},
		Types:      []scheduler.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}}, Workers: w, Record: &record, LoadTimeout: w.limit, ProbeLimit: w.limit})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	owner.UpdateMembership(true, []scheduler.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	var answered sync.WaitGroup
	for i := range 400 {
		answered.Add(1)
		owner.Submit(&gateway.Request{Fact: &scheduler.Request{ID: fmt.Sprint("e", i), Type: "call", Function: uint64(i % 40), TimeLeft: time.Second, Concurrency: 1},
			Reply: func(invoke.Answer) { answered.Done() }})
		time.Sleep(time.Millisecond)
	}
	answered.Wait()
	w.telling.Wait()
	time.Sleep(4 * w.limit) // all have timed out
	owner.Pause(0)          // and it has heard of it
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	sent, heard := map[string]int{}, map[core.Op]int{}
	if _, err := replay.Replay(&record, func(e *core.Input, a *replay.Action) {
		if a != nil {
			sent[a.Verb]++
		} else {
			heard[e.Op]++
		}
	}); err != nil {
		t.Fatal(err)
	}
	if sent["order"] == 0 || sent["order"] != heard[core.OpLoadCompleted] || sent["probe"] == 0 || sent["probe"] != heard[core.OpProbeCompleted] {
		t.Errorf("sent %v, heard of %d load requests and %d probes", sent, heard[core.OpLoadCompleted], heard[core.OpProbeCompleted])
	}
	if w.recalled != sent["order"]+sent["probe"] {
		t.Errorf("%d of %d are given up", w.recalled, sent["order"]+sent["probe"])
	}
}
