package scheduler_test

import (
	"strings"
	"testing"

	"lupinpond/internal/testbed/mutationtest"
)

// mutants are bugs in the incremental updates of the fleet state. Each one replaces a text of a source file.
var mutants = []struct{ name, file, text, replacement string }{
	{"the counters of a removed worker stay in the sums", "members.go", "s.counters.replace(w.counters, counters{})", ""},
	{"the sums keep the old counters of a worker", "fleet.go",
		"s.counters.replace(w.counters, counts)", "s.counters.replace(counters{}, counts)"},
	{"a deadline is not set", "fleet.go", "s.deadlines.Set(&w.countersDeadline, until)", ""},
	{"expired deadlines are not checked", "fleet.go",
		"w, found := s.deadlines.PopExpired(now)", "w, found := (*worker)(nil), false"},
	{"a removed worker stays in the map of workers", "members.go", "delete(s.workers, w.Worker)", ""},
	{"a removed worker stays among the members", "members.go", "s.members.Remove(&w.memberSlot)", ""},
	{"a worker that is no longer listed is never removed", "members.go", "s.unlisted = append(s.unlisted, w)", ""},
	{"a worker that was replaced stays listed", "members.go", "\tw.listed = false\n\tdelete", "\tdelete"},
	{"a draining worker stays in the shared order", "kinds.go", "w.kind.ring.Ring.Remove(w.ringNode)", ""},
	{"the weight of a worker that left its kind stays in the sum", "kinds.go", "w.kind.weightSum -= w.listedWeight()", ""},
	{"a worker without attempts is still checked for responses", "fleet.go",
		"} else if !busy {\n\t\ts.busy.Remove(&w.busySlot)", "} else if !busy {"},
	{"an attempt is not counted", "submit.go", "\ts.updateCounters(w, now)\n", ""},
	{"the end of an attempt is not counted", "complete.go",
		"\ts.updateCounters(w, now)\n\tif request.mayHaveRun", "\tif request.mayHaveRun"},
	{"an ejection is not counted", "ejection.go",
		"s.cancelCandidates = append(s.cancelCandidates, w.attempts...)\n\ts.updateCounters(w, now)",
		"s.cancelCandidates = append(s.cancelCandidates, w.attempts...)"},
	{"a report is not counted", "probes.go", "\t}\n\ts.updateCounters(w, now)\n\treturn true", "\t}\n\treturn true"},
	{"a longer objective does not extend the validity of reports", "settings.go", "s.countersStale = true", ""},
}

// Every mutant must fail the comparison of the fleet state with the reference. The sequences of events are generated
// from a fixed seed, so they are the same in each run.
func TestMutantsOfFleetStateAreCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out, passed, err := mutationtest.RunTests(t.Context(), t.TempDir(), m.file, m.text, m.replacement,
				"TestFleetStateMatchesFullScan", "-rapid.nofailfile", "-rapid.checks=1000", "-rapid.seed=1")
			if err != nil {
				t.Fatal(err)
			}
			if passed {
				t.Error("the mutant was not caught")
			} else if !strings.Contains(out, "--- FAIL: TestFleetStateMatchesFullScan") && !strings.Contains(out, "panic: ") {
				t.Errorf("the mutant failed before or outside of the comparison:\n%s", out)
			}
		})
	}
}
