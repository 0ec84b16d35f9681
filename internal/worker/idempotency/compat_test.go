package idempotency_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/worker/idempotency"
)

// A register file that an earlier version wrote keeps its claims. The clock kept in the file stands in the year 2200 and
// goes on from there, so that no verdict depends on the date of the run.
func TestStoredRegisterIsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/register.bolt")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "register.bolt"), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	type claim struct {
		key, claim string
		said       idempotency.Vote
		holder     string
		body       string
	}
	check := func(r *idempotency.Register, c claim) {
		t.Helper()
		said, have, err := r.Claim(c.key, c.claim, time.Hour)
		if err != nil || said != c.said || have.Claim != c.holder || string(have.Response) != c.body {
			t.Errorf("claim %q of key %q: got %d, holder %q, answer %q, error %v; want %d, holder %q, answer %q",
				c.claim, c.key, said, have.Claim, have.Response, err, c.said, c.holder, c.body)
		}
	}
	for life := 1; life <= 2; life++ {
		r, err := idempotency.Open(dir, 3) // held, settled, expired
		if err != nil {
			t.Fatalf("life %d: got error %v, want none", life, err)
		}
		check(r, claim{"held", "second", idempotency.VoteClaimed, "first", ""})
		check(r, claim{"held", "first", idempotency.VoteGranted, "first", ""}) // asked again
		check(r, claim{"settled", "second", idempotency.VoteCompleted, "first", "the stored answer"})
		_, have, err := r.Claim("held", "second", time.Hour)
		if from, to := time.Date(2200, 12, 1, 0, 0, 0, 0, time.UTC), time.Date(2201, 2, 1, 0, 0, 0, 0, time.UTC); err != nil ||
			have.ExpiresAt.Before(from) || have.ExpiresAt.After(to) {
			t.Errorf("end of the window of key %q: got %v, error %v, want between %v and %v", "held", have.ExpiresAt, err, from, to)
		}
		if life == 2 {
			// The stored number of keys counts: the register is full until the expired key is swept away.
			check(r, claim{"released", "second", idempotency.VoteGranted, "second", ""})
			if said, _, err := r.Claim("unknown", "second", time.Hour); !errors.Is(err, idempotency.ErrFull) {
				t.Errorf("claim beyond the limit: got %d, error %v, want error %v", said, err, idempotency.ErrFull)
			}
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	}
	r, err := idempotency.Open(dir, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	check(r, claim{"expired", "second", idempotency.VoteGranted, "second", ""})
	check(r, claim{"released", "third", idempotency.VoteClaimed, "second", ""})
	check(r, claim{"settled", "third", idempotency.VoteCompleted, "first", "the stored answer"})
}
