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

// buildGateway builds the gateway, with some files replaced by those of an overlay; empty: unchanged.
func buildGateway(t *testing.T, overlay string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gateway")
	args := []string{"build", "-o", program}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	args = append(args, "lupinpond/cmd/gateway")
	if out, err := exec.CommandContext(t.Context(), "go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// TestSoak checks that a short run with a few processes violates no rule.
func TestSoak(t *testing.T) {
	report, err := Run(context.Background(), Options{
		Seed:     7,
		Gateways: 6,
		Workers:  6,
		Rate:     20,
		Duration: 5 * time.Second,
		WarmUp:   200 * time.Millisecond,
		Program:  buildGateway(t, ""),
		Dir:      t.TempDir(),
	})
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

// sentRequest returns a checker with one request that was sent the given time ago.
func sentRequest(class string, ago, wait time.Duration) (*checker, *request) {
	c := newChecker()
	r := &request{id: "1", class: class, gateway: &gatewayProcess{name: "f"}, wait: wait, body: "b"}
	c.requestSent(r)
	r.sentAt = time.Now().Add(-ago)
	return c, r
}

// attemptFor returns an attempt at the request that a worker receives now.
func attemptFor(r *request, statedTimeLeft time.Duration) attempt {
	return attempt{
		id:             r.id,
		class:          r.class,
		body:           r.body,
		statedTimeLeft: statedTimeLeft,
		receivedAt:     time.Now(),
		worker:         "w",
	}
}

// checkAttemptInOutage returns a checker that has received an attempt to a worker which has been draining for the given
// time, in an outage that has lasted for the given time.
func checkAttemptInOutage(outage, draining time.Duration) *checker {
	c, r := sentRequest(classCall, 0, time.Second)
	r.gateway.outages = spans{{from: time.Now().Add(-outage), bound: maxNotificationDelay}}
	a := attemptFor(r, time.Second)
	a.drainingSince = a.receivedAt.Add(-draining)
	c.attemptReceived(a)
	return c
}

// TestChecker checks that the checker detects each kind of violation, and reports none when the rules are obeyed. All
// cases are in one table.
func TestChecker(t *testing.T) {
	for _, test := range []struct {
		name string
		rule Rule // first violated rule; "": none
		play func() *checker
	}{
		{"a response in time", "", func() *checker {
			c, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			c.attemptReceived(attemptFor(r, 900*time.Millisecond))
			c.executionStarted(r.id, "w")
			c.responseReceived(r, served, expectedBody(r.id), time.Now())
			c.checkUnanswered()
			return c
		}},
		{"no response", LostRequest, func() *checker {
			c, _ := sentRequest(classCall, 2*time.Second, time.Second)
			c.checkUnanswered()
			return c
		}},
		{"a late response", LostRequest, func() *checker {
			c, r := sentRequest(classCall, 2*time.Second, time.Second)
			c.responseReceived(r, rejected, "", time.Now())
			return c
		}},
		{"a connection that ends while a request is open", LostRequest, func() *checker {
			c, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			c.connectionLost(r, time.Now(), false)
			return c
		}},
		{"a connection whose close crosses a request", "", func() *checker {
			c, r := sentRequest(classCall, 10*time.Millisecond, time.Second)
			if c.connectionLost(r, time.Now(), false) {
				t.Error("the request is not sent again")
			}
			return c
		}},
		{"a connection whose close crosses a resent request", LostRequest, func() *checker {
			c, r := sentRequest(classCall, 10*time.Millisecond, time.Second)
			c.connectionLost(r, time.Now(), true)
			return c
		}},
		{"a killed gateway", "", func() *checker {
			c, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			r.gateway.checker = c
			r.gateway.beginLossExcuse()
			c.connectionLost(r, time.Now(), false)
			return c
		}},
		{"a second response", DuplicateResponse, func() *checker {
			c, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			c.responseReceived(r, rejected, "", time.Now())
			c.responseReceived(r, rejected, "", time.Now())
			return c
		}},
		{"a corrupt response", CorruptResponse, func() *checker {
			c, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			c.responseReceived(r, served, "done 2", time.Now())
			return c
		}},
		{"an attempt right after its client has disconnected", "", func() *checker {
			c, r := sentRequest(classCall, 100*time.Millisecond, time.Second)
			c.clientDisconnected(r, time.Now().Add(-50*time.Millisecond))
			c.attemptReceived(attemptFor(r, 900*time.Millisecond))
			return c
		}},
		{"an attempt long after its client has disconnected", SentAfterDisconnect, func() *checker {
			c, r := sentRequest(classCall, 300*time.Millisecond, time.Second)
			c.clientDisconnected(r, time.Now().Add(-200*time.Millisecond))
			c.attemptReceived(attemptFor(r, 700*time.Millisecond))
			return c
		}},
		{"an overstated deadline", OverstatedDeadline, func() *checker {
			c, r := sentRequest(classCall, 300*time.Millisecond, time.Second)
			c.attemptReceived(attemptFor(r, 900*time.Millisecond))
			return c
		}},
		{"an altered request", AlteredRequest, func() *checker {
			c, r := sentRequest(classCall, 0, time.Second)
			a := attemptFor(r, time.Second)
			a.body = "c"
			c.attemptReceived(a)
			return c
		}},
		{"a second execution of a request that may run twice", "", func() *checker {
			c, r := sentRequest(classCall, 0, time.Second)
			c.executionStarted(r.id, "w")
			c.executionStarted(r.id, "v")
			return c
		}},
		{"a second execution of an at-most-once request", DuplicateExecution, func() *checker {
			c, r := sentRequest(classAtMostOnce, 0, time.Second)
			c.executionStarted(r.id, "w")
			c.executionStarted(r.id, "v")
			return c
		}},
		{"an attempt to a draining worker, within the grace", "", func() *checker {
			c, r := sentRequest(classCall, 0, time.Second)
			a := attemptFor(r, time.Second)
			a.drainingSince = a.receivedAt.Add(-drainGrace)
			c.attemptReceived(a)
			return c
		}},
		{"an attempt to a draining worker, after the grace", SentToDraining, func() *checker {
			c, r := sentRequest(classCall, 0, time.Second)
			a := attemptFor(r, time.Second)
			a.drainingSince = a.receivedAt.Add(-time.Second)
			c.attemptReceived(a)
			return c
		}},
		{"an attempt to a draining worker, with a fault of the discovery service", "", func() *checker {
			c, r := sentRequest(classCall, 0, time.Second)
			r.gateway.discoveryDelays = spans{{from: time.Now().Add(-2 * time.Second), bound: maxNotificationDelay}}
			a := attemptFor(r, time.Second)
			a.drainingSince = a.receivedAt.Add(-time.Second)
			c.attemptReceived(a)
			return c
		}},
		{"a drain early in an outage, within the bound", "", func() *checker {
			return checkAttemptInOutage(maxNotificationDelay+300*time.Millisecond, maxNotificationDelay)
		}},
		{"a drain early in an outage, after the bound and the grace", SentToDraining, func() *checker {
			return checkAttemptInOutage(maxNotificationDelay+700*time.Millisecond, maxNotificationDelay)
		}},
		{"a drain late in an outage, within the grace", "", func() *checker {
			return checkAttemptInOutage(9*time.Second, 300*time.Millisecond)
		}},
		{"a drain late in an outage, after the grace", SentToDraining, func() *checker {
			return checkAttemptInOutage(9*time.Second, 700*time.Millisecond)
		}},
		{"a load request late in an outage, after the grace", LoadedOnDraining, func() *checker {
			c := newChecker()
			gateway := &gatewayProcess{outages: spans{{from: time.Now().Add(-9 * time.Second), bound: maxNotificationDelay}}}
			now := time.Now()
			c.loadRequestReceived(gateway, "w", now.Add(-700*time.Millisecond), now)
			return c
		}},
		{"an overloaded worker in slow start", SlowStartOverrun, func() *checker {
			c := newChecker()
			w := &worker{checker: c, startedAt: time.Now()}
			for range 10000 {
				w.checkSlowStart(time.Now())
			}
			return c
		}},
	} {
		var violated []Rule
		for _, violation := range test.play().violations {
			violated = append(violated, violation.Rule)
		}
		if test.rule == "" && len(violated) > 0 || test.rule != "" && (len(violated) == 0 || violated[0] != test.rule) {
			t.Errorf("%s: violated rules %v, want %q first", test.name, violated, test.rule)
		}
	}
}

// TestStallDetectedBeforeNextTick checks that a stall which has just ended is detected before the watch goroutine runs
// again, and that none is detected without a watch.
func TestStallDetectedBeforeNextTick(t *testing.T) {
	now := time.Now()
	stalled, running, unwatched := &stalls{lastCheck: now.Add(-time.Second)}, &stalls{lastCheck: now}, &stalls{}
	if !stalled.overlaps(now.Add(-500*time.Millisecond), now) {
		t.Error("the stall is not detected")
	}
	if running.overlaps(now.Add(-time.Second), now) || unwatched.overlaps(now.Add(-time.Second), now) {
		t.Error("a stall is detected, but there was none")
	}
}

// TestSoakDetectsOverstatedDeadline checks that the run detects a gateway whose attempts state one second more than
// their clients have left: the checker reports violations at the sockets, and the gateway logs violated invariants.
func TestSoakDetectsOverstatedDeadline(t *testing.T) {
	source, err := filepath.Abs("../../gateway/sendpermit.go")
	if err != nil {
		t.Fatal(err)
	}
	const original, mutant = "p.statedTimeLeft = p.deadline - now", "p.statedTimeLeft = p.deadline - now + time.Second"
	program := buildGateway(t, overlayOf(t, source, original, mutant))
	report, err := Run(context.Background(), Options{
		Seed:     1,
		Gateways: 2,
		Workers:  3,
		Rate:     20,
		WarmUp:   2 * time.Second,
		Duration: time.Millisecond,
		Program:  program,
		Dir:      t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	seen := map[Rule]bool{}
	for _, v := range report.Violations {
		seen[v.Rule] = true
	}
	if !seen[OverstatedDeadline] || !seen[InvariantViolated] {
		t.Errorf("counts %+v, violated rules %v", report.Counts, seen)
	}
}

// overlayOf writes an overlay that replaces a text of a file. The text must occur exactly once in the file.
func overlayOf(t *testing.T, file, original, replacement string) string {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := mutationtest.WriteOverlay(t.TempDir(), file, source, original, replacement)
	if err != nil {
		t.Fatal(err)
	}
	return overlay
}
