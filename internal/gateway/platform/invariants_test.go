package platform_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/testbed/mutationtest"
)

// hostStartedAt returns the JSON form of an endpoint with a start time in milliseconds since the Unix epoch.
func hostStartedAt(name, addr, health, started string) string {
	return strings.Replace(hostJSON(name, addr, health), `"born_ms":0`, `"born_ms":`+started, 1)
}

// drainWhileConnecting drains a worker while an attempt waits for the connection to it. If the event loop lags when the
// connection is established, the attempt is withheld for that reason and the race does not occur: it is repeated.
func drainWhileConnecting(t *testing.T) *harness {
	t.Helper()
	for range 5 {
		slow, h := startWithCongestedWorker(t)
		c := h.dial()
		c.dispatch("a", fields(id(1))...)
		slow.awaitDial(t)
		h.batches <- batchJSON(3, false, hostJSON("slow", slow.addr, "draining"))
		awaitNextPoll(t, h)
		time.Sleep(500 * time.Millisecond) // the drain grace ends before the connection is established
		syscall.Close(slow.accept(t))
		slow.acceptUntilRead(t)
		c.readAnswer()
		if h.gateway.Monitor().Total() > 0 || h.gateway.Stats().WithheldStalled.Load() == 0 {
			return h
		}
		t.Log("attempt withheld because the event loop lags")
	}
	t.Fatal("in every run the event loop lagged when the connection was established")
	return nil
}

// races are scenarios with a race condition in which a check of the gateway keeps an invariant from being violated.
var races = map[string]func(t *testing.T) *harness{
	"DrainedWhileConnecting": drainWhileConnecting,
	"NextIncarnation": func(t *testing.T) *harness {
		next := newWorker(t)
		h := start(t)
		c := h.dial()
		c.dispatch("a", fields(id(1))...)
		c.expect("handled", "done a") // a replica is loaded
		awaitPoll(t, h)
		h.gateway.Pause(500 * time.Millisecond)
		c.dispatch("b", fields(id(2))...)
		time.Sleep(100 * time.Millisecond)
		h.batches <- batchJSON(2, false, hostStartedAt("w", next.Addr().String(), "up", "1"))
		c.readAnswer()
		return h
	},
	"IdleUnderACall": func(t *testing.T) *harness {
		h := start(t, `"conn_idle":15`, `"conn_idle":0.2`)
		h.worker.respondWith(func(_, _, body string) []string {
			time.Sleep(500 * time.Millisecond)
			return []string{"ok", "how=ready", body}
		})
		c := h.dial()
		c.dispatch("a", fields(id(1))...)
		time.Sleep(700 * time.Millisecond)
		return h
	},
}

// TestInvariantsHold guards against attempts sent after the drain grace or to another incarnation, and connections
// closed with open calls, when an event occurs at the same time as a change of the endpoint list or an idle timeout.
func TestInvariantsHold(t *testing.T) {
	for name, run := range races {
		t.Run(name, func(t *testing.T) {
			h := run(t)
			if counts := h.gateway.Monitor().Counts(); len(counts) > 0 {
				t.Errorf("violated: %v", counts)
			}
		})
	}
}

// TestInvariantsAreViolatedWithoutGuards removes the check behind each invariant from the source and runs its race: the
// monitor must count the violation, else TestInvariantsHold would prove nothing.
func TestInvariantsAreViolatedWithoutGuards(t *testing.T) {
	for _, mutant := range []struct {
		race, file, text, replacement string
		kind                          invariant.Kind
	}{
		{
			race:        "DrainedWhileConnecting",
			file:        "backends.go",
			text:        "b.stoppedAt.CompareAndSwap(0, int64(now))\n\tb.Stop()",
			replacement: "b.stoppedAt.CompareAndSwap(0, int64(now))",
			kind:        invariant.AttemptToDrainedWorker,
		},
		{
			race:        "NextIncarnation",
			file:        "transport.go",
			text:        "target := t.lookup(worker)\n\tif target == nil {\n\t\tdone(scheduler.Outcome{",
			replacement: "target := t.listed[worker]\n\tif target == nil {\n\t\tdone(scheduler.Outcome{",
			kind:        invariant.AttemptToOtherIncarnation,
		},
		{
			race:        "IdleUnderACall",
			file:        "../thrift/conn.go",
			text:        "return len(c.calls) == 0 && len(c.outbound) == 0 && !c.writing",
			replacement: "return len(c.outbound) == 0 && !c.writing",
			kind:        invariant.ClosedUnanswered,
		},
	} {
		t.Run(mutant.kind.String(), func(t *testing.T) {
			out, passed, err := mutationtest.RunTests(t.Context(), t.TempDir(), mutant.file, mutant.text, mutant.replacement,
				"^TestInvariantsHold$/^"+mutant.race+"$")
			if err != nil {
				t.Fatal(err)
			}
			if passed || !strings.Contains(out, "violated: ") || !strings.Contains(out, mutant.kind.String()) {
				t.Errorf("the violation was not counted:\n%s", out)
			}
		})
	}
}
