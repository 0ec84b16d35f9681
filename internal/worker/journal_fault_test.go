package worker

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/worker/idempotency"
)

// withFileSizeLimit calls f while no file of this process may grow beyond size bytes. A write that crosses the limit is
// truncated there and fails, as on a full disk.
func withFileSizeLimit(t *testing.T, size int64, f func()) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	limited := syscall.Rlimit{Cur: uint64(size), Max: before.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limited); err != nil {
		t.Fatal(err)
	}
	f()
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
}

// claimFor claims a key with a window of one hour.
func claimFor(j *journal, name string) idempotency.Decision {
	_, decision, _ := j.Claim(context.Background(), name, time.Hour)
	return decision
}

// A record that is truncated because the disk is full must not make later records unreadable: the next incarnation must
// read all of them, otherwise a request with an idempotency key could run twice.
func TestRecordTruncatedByFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	j, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if decision := claimFor(j, "before"); decision != idempotency.DecisionExecute {
		t.Fatal(decision)
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	truncated := strings.Repeat("k", 500)
	withFileSizeLimit(t, info.Size()+40, func() {
		if decision := claimFor(j, truncated); decision != idempotency.DecisionUnknown {
			t.Error("claim that could not be journaled: got decision", decision)
		}
	})
	if decision := claimFor(j, "after"); decision != idempotency.DecisionExecute {
		t.Fatal(decision)
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	next, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal("the next incarnation cannot open the journal:", err)
	}
	defer next.close()
	for _, name := range []string{"before", "after"} {
		if decision := claimFor(next, name); decision != idempotency.DecisionDuplicate {
			t.Errorf("the request of key %q could run twice: got decision %v", name, decision)
		}
	}
	if decision := claimFor(next, truncated); decision != idempotency.DecisionExecute {
		t.Error("a claim that was not granted blocks its key: got decision", decision)
	}
}

// A crash of the machine may leave zeros after the synced part of the journal. The records before them must still be
// read. Any other content that cannot be decoded is an error.
func TestJournalEndingInZeros(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	j, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if decision := claimFor(j, "k"); decision != idempotency.DecisionExecute {
		t.Fatal(decision)
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, slices.Concat(complete, make([]byte, 5000)), 0o600); err != nil {
		t.Fatal(err)
	}
	next, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if decision := claimFor(next, "k"); decision != idempotency.DecisionDuplicate {
		t.Error("the request could run twice: got decision", decision)
	}
	if err := next.close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(append(complete, 0, 0, 0), "text"...), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openJournal(path, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a journal with undecodable content was opened without an error")
	}
}
