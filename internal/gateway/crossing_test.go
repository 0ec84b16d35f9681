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

// lateTransport tell the results of load requests and probes twice, about when these time out.
type lateTransport struct {
	limit     time.Duration
	pending   sync.WaitGroup
	mu        sync.Mutex
	cancelled int
}

// report calls done twice at some time around the limit.
func (w *lateTransport) report(done func()) gateway.Canceller {
	for range 2 {
		w.pending.Add(1)
		time.AfterFunc(w.limit/2+rand.N(w.limit), func() {
			done()
			w.pending.Done()
		})
	}
	return w
}

func (w *lateTransport) Send(_ *gateway.Request, _ int, _ string, _ *gateway.SendPermit, done func(scheduler.Outcome, []byte)) gateway.Canceller {
	done(scheduler.Outcome{Result: scheduler.Completed, ReplicaState: scheduler.ReplicaWarm}, nil)
	return nil
}

func (w *lateTransport) Load(o scheduler.LoadRequest, done func(int, scheduler.Result)) gateway.Canceller {
	return w.report(func() { done(o.Replicas, scheduler.Completed) })
}

func (w *lateTransport) Probe(_ string, done func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	return w.report(func() { done(scheduler.Completed, scheduler.LoadReport{}) })
}

func (w *lateTransport) Subscribe() {}

// Cancel counts.
func (w *lateTransport) Cancel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled++
}

// Whatever crosses the time-out of a load request or a probe, the core hears of each just once, and each is given up in the end.
func TestResultsRaceWithTimeouts(t *testing.T) {
	w := &lateTransport{limit: 10 * time.Millisecond}
	var record bytes.Buffer
	owner := gateway.NewEventLoop(gateway.EventLoopOptions{Core: core.Settings{Seed: 1, Gateways: 10, MinTickInterval: time.Millisecond, MaxAttempts: 3, EnforceDeadlines: true, Probe: true,
		LoadPolicy: core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: 50 * time.Millisecond, RequestTimeout: 10 * time.Millisecond},
		Types:      []scheduler.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}}, Transport: w, Record: &record, LoadTimeout: w.limit, ProbeTimeout: w.limit})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	owner.UpdateMembership(true, []scheduler.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	var answered sync.WaitGroup
	for i := range 400 {
		answered.Add(1)
		owner.Submit(&gateway.Request{Scheduled: &scheduler.Request{ID: fmt.Sprint("e", i), Type: "call", Function: uint64(i % 40), TimeLeft: time.Second, Concurrency: 1},
			Reply: func(invoke.Response) { answered.Done() }})
		time.Sleep(time.Millisecond)
	}
	answered.Wait()
	w.pending.Wait()
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
	if w.cancelled != sent["order"]+sent["probe"] {
		t.Errorf("%d of %d are given up", w.cancelled, sent["order"]+sent["probe"])
	}
}
