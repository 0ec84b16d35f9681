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

// storedAt is what the clock of the stored journal said. It lies far ahead of the system's time, so that no verdict depends
// on the date of the run: the clock goes on from the stored mark.
var storedAt = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// A journal that an earlier version wrote is read in full, and again after this version has rewritten it: interrupted
// loads, idempotency keys with their answers, the duration of the warm-up and the clock.
func TestStoredJournalIsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/journal")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "journal")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	cut := []workerrpc.InterruptedLoad{{Function: "cut", Version: "v2", Requests: []workerrpc.InterruptedRequest{{RequestID: "e1"}, {RequestID: "e2", MayHaveRun: true}}}}
	last := storedAt
	for life := 1; life <= 2; life++ {
		j, err := openJournal(path, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatalf("life %d: got error %v, want none", life, err)
		}
		if !reflect.DeepEqual(j.interruptedLoads, cut) {
			t.Errorf("life %d: interrupted loads: got %+v, want %+v", life, j.interruptedLoads, cut)
		}
		cut = nil // they are reported to one life only
		if want := 1500 * time.Millisecond; j.warmUpDuration != want {
			t.Errorf("life %d: warm-up: got %v, want %v", life, j.warmUpDuration, want)
		}
		if got := j.now(); got.Before(last) || got.After(storedAt.AddDate(0, 11, 0)) {
			t.Errorf("life %d: clock: got %v, want a time from %v on, within the windows", life, got, last)
		} else {
			last = got
		}
		for _, c := range []struct {
			name    string
			verdict idempotency.Decision
			body    string
		}{
			{"completed", idempotency.DecisionCompleted, "the stored answer"},
			{"accepted", idempotency.DecisionDuplicate, ""},
		} {
			_, verdict, body := j.Claim(context.Background(), c.name, time.Hour)
			if verdict != c.verdict || string(body) != c.body {
				t.Errorf("life %d: key %q: got verdict %d and answer %q, want %d and %q", life, c.name, verdict, body, c.verdict, c.body)
			}
		}
		if life == 2 { // claimed last: they are new keys from here on
			for _, name := range []string{"released", "expired", "unknown"} {
				if _, got, _ := j.Claim(context.Background(), name, time.Hour); got != idempotency.DecisionExecute {
					t.Errorf("key %q: got verdict %d, want %d", name, got, idempotency.DecisionExecute)
				}
			}
		}
		if err := j.close(); err != nil {
			t.Fatal(err)
		}
	}
}
