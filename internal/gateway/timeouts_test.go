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

// lateTransport reports the result of each load request and probe twice, at random times around its timeout.
type lateTransport struct {
	timeout   time.Duration
	pending   sync.WaitGroup
	mu        sync.Mutex
	cancelled int
}

// report calls done twice, at random times around the timeout.
func (l *lateTransport) report(done func()) gateway.Canceller {
	for range 2 {
		l.pending.Add(1)
		time.AfterFunc(l.timeout/2+rand.N(l.timeout), func() {
			done()
			l.pending.Done()
		})
	}
	return l
}

func (l *lateTransport) Send(_ *gateway.Request, _ int, _ string, _ *gateway.SendPermit,
	done func(scheduler.Outcome, []byte)) gateway.Canceller {
	done(scheduler.Outcome{Result: scheduler.Completed, ReplicaState: scheduler.ReplicaWarm}, nil)
	return nil
}

func (l *lateTransport) Load(load scheduler.LoadRequest, _ *gateway.LoadPermit,
	done func(int, scheduler.Result)) gateway.Canceller {
	return l.report(func() { done(load.Replicas, scheduler.Completed) })
}

func (l *lateTransport) Probe(_ string, done func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	return l.report(func() { done(scheduler.Completed, scheduler.LoadReport{}) })
}

func (l *lateTransport) Subscribe() {}

// Cancel counts the cancelled calls.
func (l *lateTransport) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled++
}

// Results race with the timeouts of load requests and probes: the core must receive exactly one result of each, and
// each must be cancelled in the end.
func TestResultsRaceWithTimeouts(t *testing.T) {
	const timeout = 10 * time.Millisecond
	transport := &lateTransport{timeout: timeout}
	var recording bytes.Buffer
	loop := gateway.NewEventLoop(gateway.EventLoopOptions{
		Core: core.Settings{Seed: 1, Gateways: 10, MinTickInterval: time.Millisecond, MaxAttempts: 3, EnforceDeadlines: true,
			Probe:      true,
			LoadPolicy: core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: 50 * time.Millisecond, RequestTimeout: timeout},
			Types:      []scheduler.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}},
		Transport:    transport,
		Record:       &recording,
		LoadTimeout:  timeout,
		ProbeTimeout: timeout,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	loop.UpdateMembership(true, []scheduler.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	var answered sync.WaitGroup
	for i := range 400 {
		answered.Add(1)
		loop.Submit(newCall(fmt.Sprint("e", i), uint64(i%40), time.Second, func(invoke.Response) { answered.Done() }))
		time.Sleep(time.Millisecond)
	}
	answered.Wait()
	transport.pending.Wait()
	time.Sleep(4 * timeout) // after this all load requests and probes have timed out
	loop.Pause(0)           // returns after the core has handled the timeouts
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	actions, inputs := map[string]int{}, map[core.Op]int{}
	if _, err := replay.Replay(&recording, func(input *core.Input, action *replay.Action) {
		if action != nil {
			actions[action.Verb]++
		} else {
			inputs[input.Op]++
		}
	}); err != nil {
		t.Fatal(err)
	}
	loads, probes := actions["order"], actions["probe"]
	if loads == 0 || loads != inputs[core.OpLoadCompleted] || probes == 0 || probes != inputs[core.OpProbeCompleted] {
		t.Errorf("sent %v, the core received the results of %d load requests and %d probes", actions,
			inputs[core.OpLoadCompleted], inputs[core.OpProbeCompleted])
	}
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if transport.cancelled != loads+probes {
		t.Errorf("%d of %d calls were cancelled", transport.cancelled, loads+probes)
	}
}
