package worker

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/workerrpc"
)

// storedClock is the clock time at which the journal in testdata was stored. It is far in the future, so that no result
// depends on the date of the test run: the journal's clock continues from the stored mark.
var storedClock = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// A journal written by an earlier version of the program must be read completely, both directly and after this version
// has rewritten it. Otherwise an upgrade would lose interrupted loads, idempotency keys with their responses, the
// warm-up duration or the clock.
func TestStoredJournalIsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/journal")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "journal")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	interrupted := []workerrpc.InterruptedLoad{{
		Function: "cut",
		Version:  "v2",
		Requests: []workerrpc.InterruptedRequest{{RequestID: "e1"}, {RequestID: "e2", MayHaveRun: true}},
	}}
	last := storedClock
	for incarnation := 1; incarnation <= 2; incarnation++ {
		j, err := openJournal(path, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatalf("incarnation %d: got error %v, want none", incarnation, err)
		}
		if !reflect.DeepEqual(j.interruptedLoads, interrupted) {
			t.Errorf("incarnation %d: interrupted loads: got %+v, want %+v", incarnation, j.interruptedLoads, interrupted)
		}
		interrupted = nil // only the first incarnation after the crash reports them
		if want := 1500 * time.Millisecond; j.warmUpDuration != want {
			t.Errorf("incarnation %d: warm-up duration: got %v, want %v", incarnation, j.warmUpDuration, want)
		}
		if got := j.now(); got.Before(last) || got.After(storedClock.AddDate(0, 11, 0)) {
			t.Errorf("incarnation %d: clock: got %v, want %v or later, within the keys' windows", incarnation, got, last)
		} else {
			last = got
		}
		for _, c := range []struct {
			name     string
			decision idempotency.Decision
			response string
		}{
			{"completed", idempotency.DecisionCompleted, "the stored answer"},
			{"accepted", idempotency.DecisionDuplicate, ""},
		} {
			_, decision, response := j.Claim(context.Background(), c.name, time.Hour)
			if decision != c.decision || string(response) != c.response {
				t.Errorf("incarnation %d: key %q: got decision %d and response %q, want %d and %q",
					incarnation, c.name, decision, response, c.decision, c.response)
			}
		}
		if incarnation == 2 { // only in the last incarnation, because these claims are journaled as well
			for _, name := range []string{"released", "expired", "unknown"} {
				if _, got, _ := j.Claim(context.Background(), name, time.Hour); got != idempotency.DecisionExecute {
					t.Errorf("key %q: got decision %d, want %d", name, got, idempotency.DecisionExecute)
				}
			}
		}
		if err := j.close(); err != nil {
			t.Fatal(err)
		}
	}
}
