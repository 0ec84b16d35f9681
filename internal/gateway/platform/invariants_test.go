package platform_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/testbed/mutationtest"
)

// hostStartedAt is a line of the list of a worker that has started late.
func hostStartedAt(name, addr, health, born string) string {
	return strings.Replace(hostJSON(name, addr, health), `"born_ms":0`, `"born_ms":`+born, 1)
}

// races are crossings in which a guard of the front end on the platform keeps an invariant.
var races = map[string]func(t *testing.T) *harness{
	"DrainedWhileConnecting": func(t *testing.T) *harness {
		slow, r := startWithCongestedWorker(t)
		c := r.dial()
		c.dispatch("a", fields(id(1))...)
		time.Sleep(50 * time.Millisecond) // the first try to connect finds no room
		r.batches <- batchJSON(3, false, hostJSON("slow", slow.addr, "draining"))
		syscall.Close(slow.accept(t))
		syscall.Close(slow.accept(t))
		c.answer()
		return r
	},
	"NextLife": func(t *testing.T) *harness {
		next := newWorker(t)
		r := start(t)
		c := r.dial()
		c.dispatch("a", fields(id(1))...)
		c.expect("handled", "done a") // there is a warm replica
		awaitPoll(t, r)
		r.gateway.Pause(500 * time.Millisecond)
		c.dispatch("b", fields(id(2))...)
		time.Sleep(100 * time.Millisecond)
		r.batches <- batchJSON(2, false, hostStartedAt("w", next.Addr().String(), "up", "1"))
		c.answer()
		return r
	},
	"IdleUnderACall": func(t *testing.T) *harness {
		r := start(t, `"conn_idle":15`, `"conn_idle":0.2`)
		r.worker.respondWith(func(_, _, body string) []string {
			time.Sleep(500 * time.Millisecond)
			return []string{"ok", "how=ready", body}
		})
		c := r.dial()
		c.dispatch("a", fields(id(1))...)
		time.Sleep(700 * time.Millisecond)
		return r
	},
}

// No crossing violates an invariant.
func TestInvariantsHold(t *testing.T) {
	for name, play := range races {
		t.Run(name, func(t *testing.T) {
			r := play(t)
			if counts := r.gateway.Monitor().Counts(); len(counts) > 0 {
				t.Errorf("violated: %v", counts)
			}
		})
	}
}

// With its guard taken out, each invariant is seen to be violated.
func TestInvariantsAreViolatedWithoutGuards(t *testing.T) {
	for _, u := range []struct {
		scene, file, text, instead string
		kind                       invariant.Kind
	}{
		{"DrainedWhileConnecting", "workers.go", "b.stoppedAt.CompareAndSwap(0, int64(now))\n\tb.Stop()", "b.stoppedAt.CompareAndSwap(0, int64(now))",
			invariant.AttemptToDrainedWorker},
		{"NextLife", "workers.go", "b := w.lookup(worker)\n\tif b == nil {\n\t\tdone(scheduler.Outcome{", "b := w.listed[worker]\n\tif b == nil {\n\t\tdone(scheduler.Outcome{",
			invariant.AttemptToOtherIncarnation},
		{"IdleUnderACall", "../thrift/conn.go", "return len(c.calls) == 0 && len(c.outbound) == 0 && !c.writing", "return len(c.outbound) == 0 && !c.writing",
			invariant.ClosedUnanswered},
	} {
		t.Run(u.kind.String(), func(t *testing.T) {
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
