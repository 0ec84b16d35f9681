package platform_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/testbed/mutationtest"
)

// hostStartedAt is an endpoint with a start time.
func hostStartedAt(name, addr, health, started string) string {
	return strings.Replace(hostJSON(name, addr, health), `"born_ms":0`, `"born_ms":`+started, 1)
}

// drainWhileConnecting drains a worker while an attempt waits for the connection to it. Where the event loop lags just
// when there is a connection, the attempt is withheld for that and the race does not come about: it is run again.
func drainWhileConnecting(t *testing.T) *harness {
	t.Helper()
	for range 5 {
		slow, h := startWithCongestedWorker(t)
		c := h.dial()
		c.dispatch("a", fields(id(1))...)
		slow.awaitDial(t)
		h.batches <- batchJSON(3, false, hostJSON("slow", slow.addr, "draining"))
		awaitNextPoll(t, h)
		time.Sleep(500 * time.Millisecond) // the drain grace is over before there is a connection
		syscall.Close(slow.accept(t))
		slow.acceptUntilRead(t)
		c.answer()
		if h.gateway.Monitor().Total() > 0 || h.gateway.Stats().WithheldStalled.Load() == 0 {
			return h
		}
		t.Log("withheld, as the event loop lags")
	}
	t.Fatal("the event loop lags each time there is a connection")
	return nil
}

// races are races in which a guard of the gateway on the platform keeps an invariant.
var races = map[string]func(t *testing.T) *harness{
	"DrainedWhileConnecting": drainWhileConnecting,
	"NextIncarnation": func(t *testing.T) *harness {
		next := newWorker(t)
		h := start(t)
		c := h.dial()
		c.dispatch("a", fields(id(1))...)
		c.expect("handled", "done a") // there is a warm replica
		awaitPoll(t, h)
		h.gateway.Pause(500 * time.Millisecond)
		c.dispatch("b", fields(id(2))...)
		time.Sleep(100 * time.Millisecond)
		h.batches <- batchJSON(2, false, hostStartedAt("w", next.Addr().String(), "up", "1"))
		c.answer()
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

// No race violates an invariant.
func TestInvariantsHold(t *testing.T) {
	for name, play := range races {
		t.Run(name, func(t *testing.T) {
			h := play(t)
			if counts := h.gateway.Monitor().Counts(); len(counts) > 0 {
				t.Errorf("violated: %v", counts)
			}
		})
	}
}

// With its guard removed, each invariant is seen to be violated.
func TestInvariantsAreViolatedWithoutGuards(t *testing.T) {
	for _, mutant := range []struct {
		race, file, text, instead string
		kind                      invariant.Kind
	}{
		{
			race:    "DrainedWhileConnecting",
			file:    "backends.go",
			text:    "b.stoppedAt.CompareAndSwap(0, int64(now))\n\tb.Stop()",
			instead: "b.stoppedAt.CompareAndSwap(0, int64(now))",
			kind:    invariant.AttemptToDrainedWorker,
		},
		{
			race:    "NextIncarnation",
			file:    "transport.go",
			text:    "target := t.lookup(worker)\n\tif target == nil {\n\t\tdone(scheduler.Outcome{",
			instead: "target := t.listed[worker]\n\tif target == nil {\n\t\tdone(scheduler.Outcome{",
			kind:    invariant.AttemptToOtherIncarnation,
		},
		{
			race:    "IdleUnderACall",
			file:    "../thrift/conn.go",
			text:    "return len(c.calls) == 0 && len(c.outbound) == 0 && !c.writing",
			instead: "return len(c.outbound) == 0 && !c.writing",
			kind:    invariant.ClosedUnanswered,
		},
	} {
		t.Run(mutant.kind.String(), func(t *testing.T) {
			out, passed, err := mutationtest.RunTests(t.Context(), t.TempDir(), mutant.file, mutant.text, mutant.instead,
				"^TestInvariantsHold$/^"+mutant.race+"$")
			if err != nil {
				t.Fatal(err)
			}
			if passed || !strings.Contains(out, "violated: ") || !strings.Contains(out, mutant.kind.String()) {
				t.Errorf("not counted:\n%s", out)
			}
		})
	}
}
