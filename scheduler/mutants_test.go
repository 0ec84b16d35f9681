package scheduler_test

import (
	"strings"
	"testing"

	"lupinpond/internal/testbed/mutationtest"
)

// Each mutant is a text of a source file and what stands in its place: a mistake in keeping up the view of the fleet.
var mutants = []struct{ name, file, text, instead string }{
	{"the counts of a forgotten worker stay", "members.go", "c.tally.replace(w.tally, tally{})", ""},
	{"a sum is not lowered by what a worker counted for", "members.go", "c.tally.replace(w.tally, t)", "c.tally.replace(tally{}, t)"},
	{"a deadline is forgotten", "members.go", "c.deadlines.Set(&w.deadline, until)", ""},
	{"expired deadlines are not looked at", "members.go", "w, found := c.deadlines.Expired(now)", "w, found := (*worker)(nil), false"},
	{"a removed worker is kept", "members.go", "delete(c.workers, w.Worker)", ""},
	{"a removed worker stays among the members", "members.go", "c.members.Remove(&w.member)", ""},
	{"a worker off the list is never forgotten", "members.go", "c.leaving = append(c.leaving, w)", ""},
	{"a worker that was replaced stays listed", "members.go", "\tw.listed = false\n\tdelete", "\tdelete"},
	{"a drained worker stays in the shared order", "members.go", "w.kind.ring.Ring.Remove(w.node)", ""},
	{"the size of a worker that left its kind still counts", "members.go", "w.kind.sizeSum-w.listedSize()", "w.kind.sizeSum"},
	{"a worker without attempts is still looked at for silence", "members.go", "} else if !working {\n\t\tc.busy.Remove(&w.working)", "} else if !working {"},
	{"an attempt is not counted", "scheduler.go", "\tc.recount(s.w, now)\n", ""},
	{"the end of an attempt is not counted", "scheduler.go", "\tc.recount(w, now)\n\tif e.mayHaveRun", "\tif e.mayHaveRun"},
	{"an ejection is not counted", "fleet.go", "c.toCancel = append(c.toCancel, w.attempts...)\n\t\tc.recount(w, now)", "c.toCancel = append(c.toCancel, w.attempts...)"},
	{"a report is not counted", "fleet.go", "\t}\n\tc.recount(w, now)\n\treturn true", "\t}\n\treturn true"},
	{"a longer target does not renew the reports", "settings.go", "c.stale = true", ""},
}

// Every mutant fails the comparison with the reference, on drawn sequences that are the same every time.
func TestMutantsOfTheFleetViewAreCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out, passed, err := mutationtest.Test(t.Context(), t.TempDir(), m.file, m.text, m.instead, "TestFleetViewIsWhatAWalkFinds",
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
