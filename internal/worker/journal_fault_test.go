package worker

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/worker/idempotency"
)

// withFileSizeLimit calls f while no file of this process may grow beyond size bytes: a write across it is cut short there
// and fails, as on a full disk.
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

// A record that a full disk cuts short leaves no trace once there is room again: the next life reads every later record,
// and a keyed request that ran does not run a second time.
func TestRecordTruncatedByFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	j, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	claim := func(j *journal, name string) idempotency.Decision {
		_, v, _ := j.Claim(context.Background(), name, time.Hour)
		return v
	}
	if v := claim(j, "before"); v != idempotency.DecisionExecute {
		t.Fatal(v)
	}
	is, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	cut := strings.Repeat("k", 500)
	withFileSizeLimit(t, is.Size()+40, func() {
		if v := claim(j, cut); v != idempotency.DecisionUnknown {
			t.Error("a claim that is not written down:", v)
		}
	})
	if v := claim(j, "after"); v != idempotency.DecisionExecute {
		t.Fatal(v)
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	next, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal("the next life does not start:", err)
	}
	defer next.close()
	for _, name := range []string{"before", "after"} {
		if v := claim(next, name); v != idempotency.DecisionDuplicate {
			t.Errorf("the request of key %q may run a second time: verdict %v", name, v)
		}
	}
	if v := claim(next, cut); v != idempotency.DecisionExecute {
		t.Error("a claim that was never granted counts:", v)
	}
}

// Zeros at the end, as a machine that fails may leave them behind what was synced, hide nothing before them; anything else
// that can't be read is an error.
func TestJournalEndingInZeros(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	j, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, v, _ := j.Claim(context.Background(), "k", time.Hour); v != idempotency.DecisionExecute {
		t.Fatal(v)
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(whole[:len(whole):len(whole)], make([]byte, 5000)...), 0o600); err != nil {
		t.Fatal(err)
	}
	next, err := openJournal(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, v, _ := next.Claim(context.Background(), "k", time.Hour); v != idempotency.DecisionDuplicate {
		t.Error("the request may run a second time:", v)
	}
	if err := next.close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(append(whole, 0, 0, 0), "text"...), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openJournal(path, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a spoilt journal is taken")
	}
}
