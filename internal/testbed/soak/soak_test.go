package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/testbed/mutationtest"
)

// build builds the front end, with some files replaced by those of an overlay; none: as it is.
func build(t *testing.T, overlay string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gateway")
	words := []string{"build", "-o", program}
	if overlay != "" {
		words = append(words, "-overlay", overlay)
	}
	if out, err := exec.CommandContext(t.Context(), "go", append(words, "lupinpond/cmd/gateway")...).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// A short run over a few processes breaks no rule.
func TestSoak(t *testing.T) {
	report, err := Run(context.Background(), Options{Seed: 7, Gateways: 6, Workers: 6, Rate: 20, Duration: 5 * time.Second, WarmUp: 200 * time.Millisecond,
		Program: build(t, ""), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if report.Counts.Served == 0 || report.Counts.Faults == 0 {
		t.Errorf("%+v", report.Counts)
	}
	for _, v := range report.Violations {
		t.Errorf("%v %s %s %s: %s", v.Elapsed, v.Rule, v.Gateway, v.RequestID, v.Detail)
	}
}

// sentRequest is a ledger with one request, sent so long ago.
func sentRequest(class string, ago, wait time.Duration) (*checker, *request) {
	l := newChecker()
	r := &request{id: "1", class: class, gateway: &gatewayProcess{name: "f"}, wait: wait, body: "b"}
	l.requestSent(r)
	r.sentAt = time.Now().Add(-ago)
	return l, r
}

// attemptFor is the request as it comes to a worker now.
func attemptFor(r *request, told time.Duration) attempt {
	return attempt{id: r.id, class: r.class, body: r.body, statedTimeLeft: told, receivedAt: time.Now(), worker: "w"}
}

// The judge sees each broken rule, and none where it is kept.
func TestChecker(t *testing.T) {
	for _, c := range []struct {
		name string
		kind Rule
		play func() *checker
	}{
		{"an answer in time", "", func() *checker {
			l, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			l.attemptReceived(attemptFor(r, 900*time.Millisecond))
			l.executionStarted(r.id, "w")
			l.responseReceived(r, served, expectedBody(r.id), time.Now())
			l.checkUnanswered()
			return l
		}},
		{"no answer", LostRequest, func() *checker {
			l, _ := sentRequest(classCall, 2*time.Second, time.Second)
			l.checkUnanswered()
			return l
		}},
		{"a late answer", LostRequest, func() *checker {
			l, r := sentRequest(classCall, 2*time.Second, time.Second)
			l.responseReceived(r, rejected, "", time.Now())
			return l
		}},
		{"a connection that ends under a request", LostRequest, func() *checker {
			l, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			l.connectionLost(r, time.Now(), false)
			return l
		}},
		{"one that crosses a request", "", func() *checker {
			l, r := sentRequest(classCall, 10*time.Millisecond, time.Second)
			if l.connectionLost(r, time.Now(), false) {
				t.Error("it is not sent again")
			}
			return l
		}},
		{"one that crosses a request a second time", LostRequest, func() *checker {
			l, r := sentRequest(classCall, 10*time.Millisecond, time.Second)
			l.connectionLost(r, time.Now(), true)
			return l
		}},
		{"a killed front end", "", func() *checker {
			l, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			r.gateway.checker = l
			r.gateway.excuseLoss("killed")
			l.connectionLost(r, time.Now(), false)
			return l
		}},
		{"a second answer", DuplicateResponse, func() *checker {
			l, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			l.responseReceived(r, rejected, "", time.Now())
			l.responseReceived(r, rejected, "", time.Now())
			return l
		}},
		{"a forged answer", CorruptResponse, func() *checker {
			l, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			l.responseReceived(r, served, "done 2", time.Now())
			return l
		}},
		{"an attempt right after its client has left", "", func() *checker {
			l, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			l.clientDisconnected(r, time.Now().Add(-50*time.Millisecond))
			l.attemptReceived(attemptFor(r, 900*time.Millisecond))
			return l
		}},
		{"an attempt long after", SentAfterDisconnect, func() *checker {
			l, r := sentRequest(classCall, 300*time.Millisecond, time.Second)
			l.clientDisconnected(r, time.Now().Add(-200*time.Millisecond))
			l.attemptReceived(attemptFor(r, 700*time.Millisecond))
			return l
		}},
		{"a deadline overstated", OverstatedDeadline, func() *checker {
			l, r := sentRequest(classCall, 300*time.Millisecond, time.Second)
			l.attemptReceived(attemptFor(r, 900*time.Millisecond))
			return l
		}},
		{"a changed request", AlteredRequest, func() *checker {
			l, r := sentRequest(classCall, 0, time.Second)
			a := attemptFor(r, time.Second)
			a.body = "c"
			l.attemptReceived(a)
			return l
		}},
		{"a request that may run twice", "", func() *checker {
			l, r := sentRequest(classCall, 0, time.Second)
			l.executionStarted(r.id, "w")
			l.executionStarted(r.id, "v")
			return l
		}},
		{"one that must not", DuplicateExecution, func() *checker {
			l, r := sentRequest(classAtMostOnce, 0, time.Second)
			l.executionStarted(r.id, "w")
			l.executionStarted(r.id, "v")
			return l
		}},
		{"a worker that drains", "", func() *checker {
			l, r := sentRequest(classCall, 0, time.Second)
			a := attemptFor(r, time.Second)
			a.drainedAt = a.receivedAt.Add(-drainGrace)
			l.attemptReceived(a)
			return l
		}},
		{"a worker that has drained long ago", SentToDraining, func() *checker {
			l, r := sentRequest(classCall, 0, time.Second)
			a := attemptFor(r, time.Second)
			a.drainedAt = a.receivedAt.Add(-time.Second)
			l.attemptReceived(a)
			return l
		}},
		{"one whose drain the list service could not tell", "", func() *checker {
			l, r := sentRequest(classCall, 0, time.Second)
			r.gateway.discoveryDelays = spans{{from: time.Now().Add(-2 * time.Second)}}
			a := attemptFor(r, time.Second)
			a.drainedAt = a.receivedAt.Add(-time.Second)
			l.attemptReceived(a)
			return l
		}},
		{"a cold worker that is pushed over", SlowStartOverrun, func() *checker {
			l := newChecker()
			w := &worker{checker: l, startedAt: time.Now()}
			for range 10000 {
				w.checkSlowStart(time.Now())
			}
			return l
		}},
	} {
		l := c.play()
		var kinds []Rule
		for _, v := range l.violations {
			kinds = append(kinds, v.Rule)
		}
		if c.kind == "" && len(kinds) > 0 || c.kind != "" && (len(kinds) == 0 || kinds[0] != c.kind) {
			t.Errorf("%s: %v, want %q", c.name, kinds, c.kind)
		}
	}
}

// A front end whose guard of departures is taken out breaks rules that the judge sees, and logs that its invariants are violated.
func TestSoakDetectsGatewayWithoutGuard(t *testing.T) {
	source, err := filepath.Abs("../../gateway/sendpermit.go")
	if err != nil {
		t.Fatal(err)
	}
	program := build(t, overlayOf(t, source, "p.statedTimeLeft = p.deadline - now", "p.statedTimeLeft = p.deadline - now + time.Second"))
	report, err := Run(context.Background(), Options{Seed: 1, Gateways: 2, Workers: 3, Rate: 20, WarmUp: 2 * time.Second, Duration: time.Millisecond,
		Program: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	seen := map[Rule]bool{}
	for _, v := range report.Violations {
		seen[v.Rule] = true
	}
	if !seen[OverstatedDeadline] || !seen[InvariantViolated] {
		t.Errorf("%+v: %v", report.Counts, seen)
	}
}

// overlayOf writes an overlay in which a text of a file, which must stand there once, is replaced.
func overlayOf(t *testing.T, file, text, instead string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := mutationtest.WriteOverlay(t.TempDir(), file, b, text, instead)
	if err != nil {
		t.Fatal(err)
	}
	return overlay
}
