package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/testbed/mutationtest"
	"lupinpond/scheduler"
)

// pendingAttempt is an attempt passed to manualTransport.Send.
type pendingAttempt struct {
	permit *gateway.SendPermit
	report func(scheduler.Outcome, []byte)
}

// write simulates writing the attempt to a connection, if its permit allows that.
func (a pendingAttempt) write() {
	if _, ok := a.permit.TimeLeft(); ok {
		a.permit.Written()
	}
}

// complete reports the attempt's outcome.
func (a pendingAttempt) complete(result scheduler.Result) {
	a.report(scheduler.Outcome{Result: result}, nil)
}

// manualTransport is a transport whose attempts and load requests are completed by the test.
type manualTransport struct {
	attempts      chan pendingAttempt
	loadRequests  chan scheduler.LoadRequest
	loadPermits   chan *gateway.LoadPermit
	completeLoads bool // whether load requests are completed immediately
}

func newManualTransport(queue int) *manualTransport {
	return &manualTransport{
		attempts:     make(chan pendingAttempt, queue),
		loadRequests: make(chan scheduler.LoadRequest, queue),
		loadPermits:  make(chan *gateway.LoadPermit, queue),
	}
}

func (m *manualTransport) Send(_ *gateway.Request, _ int, _ string, permit *gateway.SendPermit,
	done func(scheduler.Outcome, []byte)) gateway.Canceller {
	m.attempts <- pendingAttempt{permit, done}
	return nil
}

func (m *manualTransport) Load(load scheduler.LoadRequest, permit *gateway.LoadPermit,
	done func(int, scheduler.Result)) gateway.Canceller {
	m.loadRequests <- load
	m.loadPermits <- permit
	if m.completeLoads {
		done(load.Replicas, scheduler.Completed)
	}
	return nil
}

func (m *manualTransport) Probe(string, func(scheduler.Result, scheduler.LoadReport)) gateway.Canceller {
	return nil
}

func (m *manualTransport) Subscribe() {}

// scenario is an event loop with three workers and a manualTransport.
type scenario struct {
	*manualTransport
	t         *testing.T
	loop      *gateway.EventLoop
	responses chan invoke.Response
	pending   sync.WaitGroup
}

// testDrainGrace is the drain grace of all scenarios. It only affects tests that set the watch's lease.
const testDrainGrace = 200 * time.Millisecond

func newScenario(t *testing.T, requestType scheduler.RequestType, policy core.LoadPolicy) *scenario {
	t.Helper()
	requestType.Name, requestType.Objective = "call", 100*time.Millisecond
	s := &scenario{
		manualTransport: newManualTransport(100),
		t:               t,
		responses:       make(chan invoke.Response, 100),
	}
	s.loop = gateway.NewEventLoop(gateway.EventLoopOptions{
		Core: core.Settings{Seed: 1, Gateways: 1, MinTickInterval: time.Millisecond, MaxAttempts: 5, EnforceDeadlines: true,
			LoadPolicy: policy, Types: []scheduler.RequestType{requestType}, DrainGrace: testDrainGrace},
		Transport:    s,
		LoadTimeout:  time.Minute,
		ProbeTimeout: time.Minute,
		Monitor:      invariant.NewMonitor(slog.New(slog.DiscardHandler)),
	})
	runLoop(t, s.loop)
	s.loop.UpdateMembership(true, []scheduler.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	return s
}

// loadOnMissNoTimeout is a policy with which workers load a function on a miss and no load request times out.
var loadOnMissNoTimeout = core.LoadPolicy{LoadOnMiss: true, ReplicaIdleTimeout: time.Minute}

// submit submits a request of a function.
func (s *scenario) submit(id string, function uint64, timeLeft time.Duration) *gateway.Request {
	request := newCall(id, function, timeLeft, func(r invoke.Response) { s.responses <- r })
	s.pending.Add(1)
	request.Done = s.pending.Done
	s.loop.Submit(request)
	return request
}

// next waits for the next attempt for at most the given time.
func (s *scenario) next(within time.Duration) (attempt pendingAttempt, ok bool) {
	select {
	case attempt = <-s.attempts:
		return attempt, true
	case <-time.After(within):
		return attempt, false
	}
}

// mustNext returns the next attempt. It fails the test if there is none.
func (s *scenario) mustNext() pendingAttempt {
	s.t.Helper()
	attempt, ok := s.next(20 * time.Second)
	if !ok {
		s.t.Fatal("no attempt was sent")
	}
	return attempt
}

// scenarios are race conditions in which a guard in the code prevents the violation of an invariant. At the end of each
// scenario all requests must be closed.
var scenarios = map[string]func(t *testing.T) *scenario{
	"ClientLeft": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMissNoTimeout)
		request := s.submit("e", 1, 10*time.Second)
		first := s.mustNext()
		s.loop.ClientDisconnected(request)
		time.Sleep(150 * time.Millisecond)
		first.write()
		first.complete(scheduler.Withheld)
		return s
	},
	"NoTimeLeft": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMissNoTimeout)
		s.submit("e", 1, 100*time.Millisecond)
		first := s.mustNext()
		time.Sleep(400 * time.Millisecond)
		first.write()
		first.complete(scheduler.Withheld)
		return s
	},
	"SlowWrite": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMissNoTimeout)
		s.submit("e", 1, 10*time.Second)
		first := s.mustNext()
		time.Sleep(250 * time.Millisecond)
		first.write()
		first.complete(scheduler.Completed)
		return s
	},
	"SecondOutcome": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{},
			core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Minute})
		s.completeLoads = true
		const others = 6 // enough requests to load replicas at all workers
		var parallel []pendingAttempt
		for i := range others {
			s.submit(fmt.Sprint("e", i), 1, 10*time.Second)
		}
		for {
			attempt, ok := s.next(300 * time.Millisecond)
			if !ok {
				break
			}
			parallel = append(parallel, attempt)
		}
		for _, attempt := range parallel {
			attempt.complete(scheduler.Completed)
		}
		for range others - len(parallel) {
			s.mustNext().complete(scheduler.Completed)
		}
		s.submit("e", 1, 10*time.Second)
		first := s.mustNext()
		first.complete(scheduler.Rejected)
		second := s.mustNext()
		first.complete(scheduler.Rejected)
		third, ok := s.next(300 * time.Millisecond)
		second.complete(scheduler.Completed)
		if ok {
			third.complete(scheduler.Completed)
		}
		return s
	},
	"AtMostOnce": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{Effect: scheduler.AtMostOnce}, loadOnMissNoTimeout)
		s.submit("e", 1, time.Second)
		s.mustNext().complete(scheduler.ConnectionLost)
		if retry, ok := s.next(500 * time.Millisecond); ok {
			retry.complete(scheduler.Completed)
		}
		return s
	},
	"WindowOver": func(t *testing.T) *scenario {
		keyed := scheduler.RequestType{Effect: scheduler.IdempotencyKey, DedupWindow: 100 * time.Millisecond}
		s := newScenario(t, keyed, loadOnMissNoTimeout)
		s.submit("e", 1, 2*time.Second)
		first := s.mustNext()
		time.Sleep(150 * time.Millisecond)
		first.complete(scheduler.ConnectionLost)
		if retry, ok := s.next(500 * time.Millisecond); ok {
			retry.complete(scheduler.Completed)
		}
		return s
	},
	"WindowOverAtWrite": func(t *testing.T) *scenario {
		const window = time.Second
		keyed := scheduler.RequestType{Effect: scheduler.IdempotencyKey, DedupWindow: window}
		s := newScenario(t, keyed, loadOnMissNoTimeout)
		s.submit("e", 1, 5*time.Second)
		s.mustNext().complete(scheduler.ConnectionLost)
		retry := s.mustNext()
		time.Sleep(window + 200*time.Millisecond)
		retry.write()
		retry.complete(retry.permit.WithheldResult())
		return s
	},
	"NoOutcome": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMissNoTimeout)
		s.submit("e", 1, 100*time.Millisecond)
		first := s.mustNext()
		time.Sleep(800 * time.Millisecond)
		first.complete(scheduler.Rejected)
		for {
			retry, ok := s.next(200 * time.Millisecond)
			if !ok {
				return s
			}
			retry.complete(scheduler.Rejected)
		}
	},
	"Rejected": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, loadOnMissNoTimeout)
		s.submit("e", 1, 200*time.Millisecond)
		for {
			attempt, ok := s.next(400 * time.Millisecond)
			if !ok {
				return s
			}
			attempt.complete(scheduler.Rejected)
		}
	},
	"ManyLoads": func(t *testing.T) *scenario {
		s := newScenario(t, scheduler.RequestType{}, core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: time.Minute,
			RequestTimeout: time.Minute, RateWindow: 10 * time.Second, RateBurst: 2})
		for function := range uint64(10) {
			s.submit(fmt.Sprint("e", function), function, 300*time.Millisecond)
		}
		return s
	},
}

// stallMessage is logged if the process stalled during a scenario, because invariants are not checked across a stall.
const stallMessage = "the process stalled"

// The guards must prevent violations: no scenario may violate an invariant or leave a request open.
func TestInvariantsHold(t *testing.T) {
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			s := run(t)
			closed := make(chan struct{})
			go func() {
				s.pending.Wait()
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(20 * time.Second):
				t.Error("a request was not closed")
			}
			s.loop.Pause(0) // returns after the event loop has handled all messages
			if s.loop.StalledSince(started) {
				t.Log(stallMessage)
			}
			if counts := s.loop.Monitor().Counts(); len(counts) > 0 {
				t.Errorf("violated: %v", counts)
			}
			if counts := s.loop.Counts(context.Background()); counts.Accepted == 0 {
				t.Error("no request was accepted")
			}
		})
	}
}

// guardMutations lists mutations that remove a guard, each with the scenario in which that violates an invariant and
// the kind of that invariant.
var guardMutations = []struct {
	scenario, file, text, replacement string
	kind                              invariant.Kind
}{
	{"ClientLeft", "sendpermit.go", "if p.request.disconnectedAt.Load() != 0 {", "if false {",
		invariant.AttemptAfterClientLeft},
	{"NoTimeLeft", "sendpermit.go", "if now >= p.deadline {", "if false {", invariant.AttemptAfterDeadline},
	{"SlowWrite", "sendpermit.go", "p.statedTimeLeft = p.deadline - now", "p.statedTimeLeft = p.deadline - p.decidedAt",
		invariant.DeadlineOverstated},
	{"SecondOutcome", "core/core.go", "tracked == nil || attempt != tracked.attempts-1 ||", "tracked == nil ||",
		invariant.AttemptInParallel},
	{"AtMostOnce", "../../scheduler/request.go", "(late || request.typ.Effect == AtMostOnce)", "late",
		invariant.RetryOfAtMostOnce},
	{"WindowOver", "../../scheduler/request.go", "late := request.typ.Effect == IdempotencyKey &&", "late := false &&",
		invariant.RetryOutsideWindow},
	{"WindowOverAtWrite", "../../scheduler/submit.go", "earliestLimit(s.useLease(w, now), request.RetryBy())",
		"s.useLease(w, now)", invariant.RetryOutsideWindow},
	{"NoOutcome", "core/core.go",
		"tracked := heap.Pop(&c.deadlines).(*trackedRequest)\n\t\tif tracked.request.InFlight() {",
		"tracked := heap.Pop(&c.deadlines).(*trackedRequest)\n\t\tif false {",
		invariant.AnsweredLate},
	{"Rejected", "core/core.go", "c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun)",
		"c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun); " +
			"c.actor.Reject(decision.Request, 0, false)",
		invariant.AnsweredTwice},
	{"Rejected", "core/core.go", "c.actor.Reject(decision.Request, decision.RetryAfter, tracked.mayHaveRun)", "",
		invariant.NeverAnswered},
	{"ManyLoads", "../../scheduler/loads.go", "if !s.loadsAreLimited() {", "if true {", invariant.LoadOverLimit},
}

// maxStalledRuns limits the number of times that the run of a mutant is repeated because the process stalled.
const maxStalledRuns = 20

// Without its guard, each invariant must be violated and the violation counted: otherwise the check does not work. All
// mutants are built before the first one runs: the compiler may occupy all processors and stall the test process, and
// invariants are not checked across a stall.
func TestMutatedGuardsViolateInvariants(t *testing.T) {
	programs := make([]string, len(guardMutations))
	build, ctx := errgroup.WithContext(t.Context())
	for i, mutation := range guardMutations {
		folder := t.TempDir()
		build.Go(func() (err error) {
			programs[i], err = mutationtest.BuildTests(ctx, folder, mutation.file, mutation.text, mutation.replacement)
			return err
		})
	}
	if err := build.Wait(); err != nil {
		t.Fatal(err)
	}
	for i, mutation := range guardMutations {
		t.Run(mutation.kind.String(), func(t *testing.T) {
			t.Parallel()
			pattern := "^TestInvariantsHold$/^" + mutation.scenario + "$"
			out, passed, err := mutationtest.RunProgram(t.Context(), programs[i], pattern, "-test.v")
			for range maxStalledRuns { // a stalled run without a violation proves nothing
				if err != nil || !passed || !strings.Contains(out, stallMessage) {
					break
				}
				out, passed, err = mutationtest.RunProgram(t.Context(), programs[i], pattern, "-test.v")
			}
			if err != nil {
				t.Fatal(err)
			}
			if passed || !strings.Contains(out, "violated: ") || !strings.Contains(out, mutation.kind.String()) {
				t.Errorf("the violation was not counted:\n%s", out)
			}
		})
	}
}
