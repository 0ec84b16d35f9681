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

// sending is one attempt that came to the test's way out.
type sending struct {
	departure *gateway.Departure
	done      func(scheduler.Outcome, []byte)
}

// leaves has the attempt leave, if it may.
func (s sending) leaves() {
	if _, leaves := s.departure.Left(); leaves {
		s.departure.Written()
	}
}

// ends ends the attempt.
func (s sending) ends(r scheduler.Result) { s.done(scheduler.Outcome{Result: r}, nil) }

// manual is a way out whose attempts and load requests the test carries on.
type manual struct {
	sent  chan sending
	loads chan scheduler.LoadRequest
	fast  bool // load requests are carried out at once
}

func (m *manual) Send(_ *gateway.Request, _ int, _ string, d *gateway.Departure, done func(scheduler.Outcome, []byte)) gateway.Sent {
	m.sent <- sending{d, done}
	return nil
}

func (m *manual) Load(o scheduler.LoadRequest, done func(int, scheduler.Result)) gateway.Sent {
	m.loads <- o
	if m.fast {
		done(o.Replicas, scheduler.Completed)
	}
	return nil
}

func (m *manual) Probe(string, func(scheduler.Result, scheduler.LoadReport)) gateway.Sent { return nil }
func (m *manual) Subscribe()                                                              {}

// scene is an owner with a few workers and a way out that the test carries on.
type scene struct {
	*manual
	t        *testing.T
	owner    *gateway.Owner
	answered chan invoke.Answer
	ended    sync.WaitGroup
}

func newScene(t *testing.T, kind scheduler.RequestType, loading core.LoadPolicy) *scene {
	kind.Name, kind.Objective = "call", 100*time.Millisecond
	s := &scene{manual: &manual{sent: make(chan sending, 100), loads: make(chan scheduler.LoadRequest, 100)}, t: t,
		answered: make(chan invoke.Answer, 100)}
	s.owner = gateway.NewOwner(gateway.OwnerOptions{Core: core.Settings{Seed: 1, Gateways: 1, MinTickInterval: time.Millisecond, MaxAttempts: 5, EnforceDeadlines: true,
		LoadPolicy: loading, Types: []scheduler.RequestType{kind}}, Workers: s, LoadTimeout: time.Minute, ProbeLimit: time.Minute,
		Monitor: invariant.NewMonitor(slog.New(slog.DiscardHandler))})
	run(t, s.owner)
	s.owner.UpdateMembership(true, []scheduler.Member{{Worker: "a"}, {Worker: "b"}, {Worker: "c"}}, nil)
	return s
}

// onMiss is loading by the requests themselves.
var onMiss = core.LoadPolicy{LoadOnMiss: true, ReplicaIdleTimeout: time.Minute}

// submit submits a request of a function.
func (s *scene) submit(id string, function uint64, left time.Duration) *gateway.Request {
	e := &gateway.Request{Fact: &scheduler.Request{ID: id, Type: "call", Function: function, TimeLeft: left, Concurrency: 1},
		Reply: func(a invoke.Answer) { s.answered <- a }}
	s.ended.Add(1)
	e.Gone = s.ended.Done
	s.owner.Submit(e)
	return e
}

// next is the next attempt, if one comes within a time.
func (s *scene) next(within time.Duration) (x sending, came bool) {
	select {
	case x = <-s.sent:
		return x, true
	case <-time.After(within):
		return x, false
	}
}

// first is the next attempt, which must come.
func (s *scene) first() sending {
	s.t.Helper()
	x, came := s.next(20 * time.Second)
	if !came {
		s.t.Fatal("no attempt")
	}
	return x
}

// scenes are crossings in which a guard keeps an invariant. Each ends with all requests ended.
var scenes = map[string]func(t *testing.T) *scene{
	"ClientLeft": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, onMiss)
		e := s.submit("e", 1, 10*time.Second)
		x := s.first()
		s.owner.ClientGone(e)
		time.Sleep(150 * time.Millisecond)
		x.leaves()
		x.ends(scheduler.Withheld)
		return s
	},
	"NoTimeLeft": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, onMiss)
		s.submit("e", 1, 100*time.Millisecond)
		x := s.first()
		time.Sleep(400 * time.Millisecond)
		x.leaves()
		x.ends(scheduler.Withheld)
		return s
	},
	"SlowDeparture": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, onMiss)
		s.submit("e", 1, 10*time.Second)
		x := s.first()
		time.Sleep(250 * time.Millisecond)
		x.leaves()
		x.ends(scheduler.Completed)
		return s
	},
	"SecondOutcome": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Minute})
		s.fast = true
		const others = 6 // have replicas loaded at all workers
		var all []sending
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
			x.ends(scheduler.Completed)
		}
		for range others - len(all) {
			s.first().ends(scheduler.Completed)
		}
		s.submit("e", 1, 10*time.Second)
		x := s.first()
		x.ends(scheduler.Full)
		y := s.first()
		x.ends(scheduler.Full)
		z, came := s.next(300 * time.Millisecond)
		y.ends(scheduler.Completed)
		if came {
			z.ends(scheduler.Completed)
		}
		return s
	},
	"AtMostOnce": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{Effect: scheduler.AtMostOnce}, onMiss)
		s.submit("e", 1, time.Second)
		s.first().ends(scheduler.ConnectionLost)
		if x, came := s.next(500 * time.Millisecond); came {
			x.ends(scheduler.Completed)
		}
		return s
	},
	"WindowOver": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{Effect: scheduler.IdempotencyKey, DedupWindow: 100 * time.Millisecond}, onMiss)
		s.submit("e", 1, 2*time.Second)
		x := s.first()
		time.Sleep(150 * time.Millisecond)
		x.ends(scheduler.ConnectionLost)
		if x, came := s.next(500 * time.Millisecond); came {
			x.ends(scheduler.Completed)
		}
		return s
	},
	"NoOutcome": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, onMiss)
		s.submit("e", 1, 100*time.Millisecond)
		x := s.first()
		time.Sleep(800 * time.Millisecond)
		x.ends(scheduler.Full)
		for {
			y, came := s.next(200 * time.Millisecond)
			if !came {
				return s
			}
			y.ends(scheduler.Full)
		}
	},
	"Rejected": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, onMiss)
		s.submit("e", 1, 200*time.Millisecond)
		for {
			x, came := s.next(400 * time.Millisecond)
			if !came {
				return s
			}
			x.ends(scheduler.Full)
		}
	},
	"ManyLoads": func(t *testing.T) *scene {
		s := newScene(t, scheduler.RequestType{}, core.LoadPolicy{RequestLoads: true, ReplicaIdleTimeout: time.Minute, RequestTimeout: time.Minute, RateWindow: 10 * time.Second, RateBurst: 2})
		for function := range uint64(10) {
			s.submit(fmt.Sprint("e", function), function, 300*time.Millisecond)
		}
		return s
	},
}

// No crossing violates an invariant.
func TestInvariantsHold(t *testing.T) {
	for name, play := range scenes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := play(t)
			ended := make(chan struct{})
			go func() {
				s.ended.Wait()
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Error("a request does not end")
			}
			s.owner.Pause(0) // it has heard all
			if counts := s.owner.Monitor().Counts(); len(counts) > 0 {
				t.Errorf("violated: %v", counts)
			}
			if stats := s.owner.Counts(context.Background()); stats.Taken == 0 {
				t.Error("nothing was taken")
			}
		})
	}
}

// unguarded are guards taken out, by the scene in which that shows, and the invariant that counts it.
var unguarded = []struct {
	scene, file, text, instead string
	kind                       invariant.Kind
}{
	{"ClientLeft", "departure.go", "if d.request.clientGone.Load() != 0 {", "if false {", invariant.AttemptAfterClientLeft},
	{"NoTimeLeft", "departure.go", "if now >= d.by {", "if false {", invariant.AttemptPastDeadline},
	{"SlowDeparture", "departure.go", "d.told = d.by - now", "d.told = d.by - d.decided", invariant.DeadlineOverstated},
	{"SecondOutcome", "core/core.go", "h == nil || launch != h.attempts-1 ||", "h == nil ||", invariant.AttemptInParallel},
	{"AtMostOnce", "../../scheduler/scheduler.go", "(late || e.typ.Effect == AtMostOnce)", "late", invariant.RepeatOfAtMostOnce},
	{"WindowOver", "../../scheduler/scheduler.go", "late := e.typ.Effect == IdempotencyKey &&", "late := false &&", invariant.RepeatOutsideOfWindow},
	{"NoOutcome", "core/core.go", "h := heap.Pop(&c.deadlines).(*trackedRequest)\n\t\tif h.request.InFlight() {", "h := heap.Pop(&c.deadlines).(*trackedRequest)\n\t\tif false {",
		invariant.AnsweredLate},
	{"Rejected", "core/core.go", "c.actor.Reject(a.Request, a.RetryAfter, h.mayHaveRun)", "c.actor.Reject(a.Request, a.RetryAfter, h.mayHaveRun); c.actor.Reject(a.Request, 0, false)",
		invariant.AnsweredTwice},
	{"Rejected", "core/core.go", "c.actor.Reject(a.Request, a.RetryAfter, h.mayHaveRun)", "", invariant.NeverAnswered},
	{"ManyLoads", "../../scheduler/loads.go", "return !c.loadRateLimited ||", "return true ||", invariant.LoadOverLimit},
}

// With its guard taken out, each invariant is seen to be violated.
func TestInvariantsCountWithoutTheirGuards(t *testing.T) {
	for _, u := range unguarded {
		t.Run(u.kind.String(), func(t *testing.T) {
			t.Parallel()
			out, passed, err := mutationtest.Test(t.Context(), t.TempDir(), u.file, u.text, u.instead, "^TestInvariantsHold$/^"+u.scene+"$")
			if err != nil {
				t.Fatal(err)
			}
			if passed || !strings.Contains(out, "violated: ") || !strings.Contains(out, u.kind.String()) {
				t.Errorf("not counted:\n%s", out)
			}
		})
	}
}
