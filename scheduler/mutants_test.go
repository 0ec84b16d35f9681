package scheduler_test

import (
	"strings"
	"testing"

	"lupinpond/internal/testbed/mutationtest"
)

// Each mutant is a text of a source file and what stands in its place: a mistake in keeping up the view of the fleet.
var mutants = []struct{ name, file, text, instead string }{
	{"the counts of a forgotten worker stay", "members.go", "c.counters.replace(w.counters, counters{})", ""},
	{"a sum is not lowered by what a worker counted for", "members.go", "c.counters.replace(w.counters, t)", "c.counters.replace(counters{}, t)"},
	{"a deadline is forgotten", "members.go", "c.deadlines.Set(&w.countersDeadline, until)", ""},
	{"expired deadlines are not looked at", "members.go", "w, found := c.deadlines.PopExpired(now)", "w, found := (*worker)(nil), false"},
	{"a removed worker is kept", "members.go", "delete(c.workers, w.Worker)", ""},
	{"a removed worker stays among the members", "members.go", "c.members.Remove(&w.memberSlot)", ""},
	{"a worker off the list is never forgotten", "members.go", "c.unlisted = append(c.unlisted, w)", ""},
	{"a worker that was replaced stays listed", "members.go", "\tw.listed = false\n\tdelete", "\tdelete"},
	{"a drained worker stays in the shared order", "members.go", "w.kind.ring.Ring.Remove(w.ringNode)", ""},
	{"the size of a worker that left its kind still counts", "members.go", "w.kind.weightSum-w.listedWeight()", "w.kind.weightSum"},
	{"a worker without attempts is still looked at for silence", "members.go", "} else if !working {\n\t\tc.busy.Remove(&w.busySlot)", "} else if !working {"},
	{"an attempt is not counted", "scheduler.go", "\tc.updateCounters(s.worker, now)\n", ""},
	{"the end of an attempt is not counted", "scheduler.go", "\tc.updateCounters(w, now)\n\tif e.mayHaveRun", "\tif e.mayHaveRun"},
	{"an ejection is not counted", "fleet.go", "c.cancelCandidates = append(c.cancelCandidates, w.attempts...)\n\t\tc.updateCounters(w, now)", "c.cancelCandidates = append(c.cancelCandidates, w.attempts...)"},
	{"a report is not counted", "fleet.go", "\t}\n\tc.updateCounters(w, now)\n\treturn true", "\t}\n\treturn true"},
	{"a longer target does not renew the reports", "settings.go", "c.countersStale = true", ""},
}

// Every mutant fails the comparison with the reference, on drawn sequences that are the same every time.
func TestMutantsOfTheFleetViewAreCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out, passed, err := mutationtest.RunTests(t.Context(), t.TempDir(), m.file, m.text, m.instead, "TestFleetViewIsWhatAWalkFinds",
				"-rapid.nofailfile", "-rapid.checks=1000", "-rapid.seed=1")
			if err != nil {
				t.Fatal(err)
			}
			if passed {
				t.Error("the mutant was not caught")
			} else if !strings.Contains(out, "--- FAIL: TestFleetViewIsWhatAWalkFinds") && !strings.Contains(out, "panic: ") {
				t.Errorf("it failed in another way:\n%s", out)
			}
		})
	}
}
