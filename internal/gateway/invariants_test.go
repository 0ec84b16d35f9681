package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/testbed/mutationtest"
	"lupinpond/scheduler"
)

// pendingAttempt is one attempt that came to the test's way out.
type pendingAttempt struct {
	permit *gateway.SendPermit
	report func(scheduler.Outcome, []byte)
}

// leave has the attempt leave, if it may.
func (s pendingAttempt) leave() {
	if _, leaves := s.permit.TimeLeft(); leaves {
		s.permit.Written()
	}
}

// complete ends the attempt.
func (s pendingAttempt) complete(r scheduler.Result) { s.report(scheduler.Outcome{Result: r}, nil) }

// manualTransport is a way out whose attempts and load requests the test carries on.
type manualTransport struct {
	attempts      chan pendingAttempt
	loadRequests  chan scheduler.LoadRequest
	completeLoads bool // load requests are carried out at once
}

func (m *manualTransport) Send(_ *gateway.Request, _ int, _ string, d *gateway.SendPermit, done func(scheduler.Outcome, []byte)) gateway.Canceller {
	m.attempts <- pendingAttempt{d, done}
	return nil
}

func (m *manualTransport) Load(o scheduler.LoadRequest, done func(int, scheduler.Result)) gateway.Canceller {
	m.loadRequests <- o
	if m.completeLoads {
		done(o.Replicas, scheduler.Completed)
	}
	return nil
}

func (m *manualTransport) Probe(string, func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	return nil
}
func (m *manualTransport) Subscribe() {}

// scenario is an owner with a few workers and a way out that the test carries on.
type scenario struct {
	*manualTransport
	t         *testing.T
	loop      *gateway.EventLoop
	responses chan invoke.Response
	pending   sync.WaitGroup
}

func newScenario(t *testing.T, kind scheduler.RequestType, loading core.LoadPolicy) *scenario {
	kind.Name, kind.Objective = "call", 100*time.Millisecond
	s := &scenario{manualTransport: &manualTransport{attempts: make(chan pendingAttempt, 100), loadRequests: make(chan scheduler.LoadRequest, 100)}, t: t,
		responses: make(chan invoke.Response, 100)}
	s.loop = gateway.NewEventLoop(gateway.EventLoopOptions{Core: core.Settings{Seed: 1, Gateways: 1, MinTickInterval: time.Millisecond, MaxAttempts: 5, EnforceDeadlines: true,
		LoadPolicy: loading, Types: []scheduler.RequestType{kind}}, Transport: s, LoadTimeout: time.Minute, ProbeTimeout: time.Minute,
		Monitor: invariant.NewMonitor(slog.New(slog.DiscardHandler))})
	runLoop(t, s.loop)
	s.loop.UpdateMembership(true, []scheduler.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	return s
}

// loadOnMiss is loading by the requests themselves.
var loadOnMiss = core.LoadPolicy{LoadOnMiss: true, ReplicaIdleTimeout: time.Minute}

// submit submits a request of a function.
func (s *scenario) submit(id string, function uint64, left time.Duration) *gateway.Request {
	e := &gateway.Request{Scheduled: &scheduler.Request{ID: id, Type: "call", Function: function, TimeLeft: left, Concurrency: 1},
		Reply: func(a invoke.Response) { s.responses <- a }}
	s.pending.Add(1)
	e.Done = s.pending.Done
	s.loop.Submit(e)
	return e
}

// next is the next attempt, if one comes within a time.
func (s *scenario) next(within time.Duration) (x pendingAttempt, came bool) {
	select {
	case x = <-s.attempts:
		return x, true
	case <-time.After(within):
		return x, false
	}
}

// mustNext is the next attempt, which must come.
func (s *scenario) mustNext() pendingAttempt {
	s.t.Helper()
	x, came := s.next(20 * time.Second)
	if !came {
		s.t.Fatal("no attempt")
	}
	return x
}

// scenarios are crossings in which a guard keeps an invariant. Each ends with all requests ended.
var scenarios = map[string]func(t *testing.T) *scenario{
	"ClientLeft": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMiss)
		e := s.submit("e", 1, 10*time.Second)
		x := s.mustNext()
		s.loop.ClientDisconnected(e)
		time.Sleep(150 * time.Millisecond)
		x.leave()
		x.complete(scheduler.Withheld)
		return s
	},
	"NoTimeLeft": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMiss)
		s.submit("e", 1, 100*time.Millisecond)
		x := s.mustNext()
		time.Sleep(400 * time.Millisecond)
		x.leave()
		x.complete(scheduler.Withheld)
		return s
	},
	"SlowDeparture": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMiss)
		s.submit("e", 1, 10*time.Second)
		x := s.mustNext()
		time.Sleep(250 * time.Millisecond)
		x.leave()
		x.complete(scheduler.Completed)
		return s
	},
	"SecondOutcome": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Minute})
		s.completeLoads = true
		const others = 6 // have replicas loaded at all workers
		var all []pendingAttempt
		for i := range others {
			s.submit(fmt.Sprint("e", i), 1, 10*time.Second)
		}
		for {
			x, came := s.next(300 * time.Millisecond)
			if !came {
				break
			}
			all = append(all, x)
		}
		for _, x := range all {
			x.complete(scheduler.Completed)
		}
		for range others - len(all) {
			s.mustNext().complete(scheduler.Completed)
		}
		s.submit("e", 1, 10*time.Second)
		x := s.mustNext()
		x.complete(scheduler.Full)
		y := s.mustNext()
		x.complete(scheduler.Full)
		z, came := s.next(300 * time.Millisecond)
		y.complete(scheduler.Completed)
		if came {
			z.complete(scheduler.Completed)
		}
		return s
	},
	"AtMostOnce": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{Effect: scheduler.AtMostOnce}, loadOnMiss)
		s.submit("e", 1, time.Second)
		s.mustNext().complete(scheduler.ConnectionLost)
		if x, came := s.next(500 * time.Millisecond); came {
			x.complete(scheduler.Completed)
		}
		return s
	},
	"WindowOver": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{Effect: scheduler.IdempotencyKey, DedupWindow: 100 * time.Millisecond}, loadOnMiss)
		s.submit("e", 1, 2*time.Second)
		x := s.mustNext()
		time.Sleep(150 * time.Millisecond)
		x.complete(scheduler.ConnectionLost)
		if x, came := s.next(500 * time.Millisecond); came {
			x.complete(scheduler.Completed)
		}
		return s
	},
	"NoOutcome": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMiss)
		s.submit("e", 1, 100*time.Millisecond)
		x := s.mustNext()
		time.Sleep(800 * time.Millisecond)
		x.complete(scheduler.Full)
		for {
			y, came := s.next(200 * time.Millisecond)
			if !came {
				return s
			}
			y.complete(scheduler.Full)
		}
	},
	"Rejected": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMiss)
		s.submit("e", 1, 200*time.Millisecond)
		for {
			x, came := s.next(400 * time.Millisecond)
			if !came {
				return s
			}
			x.complete(scheduler.Full)
		}
	},
	"ManyLoads": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Minute, RateWindow: 10 * time.Second, RateBurst: 2})
		for function := range uint64(10) {
			s.submit(fmt.Sprint("e", function), function, 300*time.Millisecond)
		}
		return s
	},
}

// No crossing violates an invariant.
func TestInvariantsHold(t *testing.T) {
	for name, play := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := play(t)
			ended := make(chan struct{})
			go func() {
				s.pending.Wait()
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Error("a request does not end")
			}
			s.loop.Pause(0) // it has heard all
			if counts := s.loop.Monitor().Counts(); len(counts) > 0 {
				t.Errorf("violated: %v", counts)
			}
			if stats := s.loop.Counts(context.Background()); stats.Accepted == 0 {
				t.Error("nothing was taken")
			}
		})
	}
}

// guardMutations are guards taken out, by the scene in which that shows, and the invariant that counts it.
var guardMutations = []struct {
	scene, file, text, instead string
	kind                       invariant.Kind
}{
	{"ClientLeft", "departure.go", "if d.request.disconnectedAt.Load() != 0 {", "if false {", invariant.AttemptAfterClientLeft},
	{"NoTimeLeft", "departure.go", "if now >= d.deadline {", "if false {", invariant.AttemptAfterDeadline},
	{"SlowDeparture", "departure.go", "d.statedTimeLeft = d.deadline - now", "d.statedTimeLeft = d.deadline - d.decidedAt", invariant.DeadlineOverstated},
	{"SecondOutcome", "core/core.go", "tracked == nil || attempt != tracked.attempts-1 ||", "tracked == nil ||", invariant.AttemptInParallel},
	{"AtMostOnce", "../../scheduler/request.go", "(late || request.typ.Effect == AtMostOnce)", "late", invariant.RetryOfAtMostOnce},
	{"WindowOver", "../../scheduler/request.go", "late := request.typ.Effect == IdempotencyKey &&", "late := false &&", invariant.RetryOutsideWindow},
	{"NoOutcome", "core/core.go", "tracked := heap.Pop(&c.deadlines).(*trackedRequest)\n\t\tif tracked.request.InFlight() {",
		"tracked := heap.Pop(&c.deadlines).(*trackedRequest)\n\t\tif false {",
		invariant.AnsweredLate},
	{"Rejected", "core/core.go", "c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun)",
		"c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun); c.actor.Reject(decision.Request, 0, false)",
		invariant.AnsweredTwice},
	{"Rejected", "core/core.go", "c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun)", "", invariant.NeverAnswered},
	{"ManyLoads", "../../scheduler/loads.go", "return !s.loadRateLimited ||", "return true ||", invariant.LoadOverLimit},
}

// With its guard taken out, each invariant is seen to be violated.
func TestMutatedGuardsViolateInvariants(t *testing.T) {
	for _, u := range guardMutations {
		t.Run(u.kind.String(), func(t *testing.T) {
			t.Parallel()
			out, passed, err := mutationtest.RunTests(t.Context(), t.TempDir(), u.file, u.text, u.instead, "^TestInvariantsHold$/^"+u.scene+"$")
			if err != nil {
				t.Fatal(err)
			}
			if passed || !strings.Contains(out, "violated: ") || !strings.Contains(out, u.kind.String()) {
				t.Errorf("not counted:\n%s", out)
			}
		})
	}
}
