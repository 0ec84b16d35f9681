package gate_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lupinpond/choice"
	"lupinpond/internal/core"
	"lupinpond/internal/corelog"
	"lupinpond/internal/gate"
	"lupinpond/internal/invoke"
)

// lateWorkers tell the results of load requests and probes twice, about when these time out.
type lateWorkers struct {
	limit    time.Duration
	telling  sync.WaitGroup
	mu       sync.Mutex
	recalled int
}

// tell calls done twice at some time around the limit.
func (w *lateWorkers) tell(done func()) gate.Sent {
	for range 2 {
		w.telling.Add(1)
		time.AfterFunc(w.limit/2+rand.N(w.limit), func() {
			done()
			w.telling.Done()
		})
	}
	return w
}

func (w *lateWorkers) Send(_ *gate.Request, _ int, _ string, _ *gate.Departure, done func(choice.Outcome, []byte)) gate.Sent {
	done(choice.Outcome{Result: choice.Completed, Warmth: choice.FoundWarm}, nil)
	return nil
}

func (w *lateWorkers) Load(o choice.LoadRequest, done func(int, choice.Result)) gate.Sent {
	return w.tell(func() { done(o.Replicas, choice.Completed) })
}

func (w *lateWorkers) Probe(_ string, done func(choice.Result, choice.Load)) gate.Sent {
	return w.tell(func() { done(choice.Completed, choice.Load{}) })
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
	owner := gate.NewOwner(gate.OwnerOptions{Core: core.Settings{Seed: 1, FrontEnds: 10, Quantum: time.Millisecond, MaxAttempts: 3, Deadlines: true, Probe: true,
		Loading: core.Loading{Requests: true, Keep: 50 * time.Millisecond, Limit: 10 * time.Millisecond},
		Types:   []choice.RequestType{{Name: "call", Objective: 100 * time.Millisecond}}}, Workers: w, Record: &record, LoadTimeout: w.limit, ProbeLimit: w.limit})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- owner.Run(ctx) }()
	owner.UpdateMembership(true, []choice.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	var answered sync.WaitGroup
	for i := range 400 {
		answered.Add(1)
		owner.Submit(&gate.Request{Fact: &choice.Request{ID: fmt.Sprint("e", i), Type: "call", Function: uint64(i % 40), TimeLeft: time.Second, Concurrency: 1},
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
	if _, err := corelog.Replay(&record, func(e *core.Entry, a *corelog.Action) {
		if a != nil {
			sent[a.Verb]++
		} else {
			heard[e.Op]++
		}
	}); err != nil {
		t.Fatal(err)
	}
	if sent["order"] == 0 || sent["order"] != heard[core.OpLoaded] || sent["probe"] == 0 || sent["probe"] != heard[core.OpProbed] {
		t.Errorf("sent %v, heard of %d load requests and %d probes", sent, heard[core.OpLoaded], heard[core.OpProbed])
	}
	if w.recalled != sent["order"]+sent["probe"] {
		t.Errorf("%d of %d are given up", w.recalled, sent["order"]+sent["probe"])
	}
}
