package idempotency_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/worker/idempotency"
)

// A register file written by an earlier version must be read with all of its claims, key count and clock. The clock
// mark in the file is in the year 2200 and the clock continues from there, so that no result depends on the current
// date.
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
		vote       idempotency.Vote
		owner      string
		response   string
	}
	check := func(r *idempotency.Register, c claim) {
		t.Helper()
		vote, entry, err := r.Claim(c.key, c.claim, time.Hour)
		if err != nil || vote != c.vote || entry.Claim != c.owner || string(entry.Response) != c.response {
			t.Errorf("claim %q of key %q: got vote %d, owner %q, response %q, error %v; want vote %d, owner %q, response %q",
				c.claim, c.key, vote, entry.Claim, entry.Response, err, c.vote, c.owner, c.response)
		}
	}
	for incarnation := 1; incarnation <= 2; incarnation++ {
		r, err := idempotency.Open(dir, 3) // the file has the keys held, settled and expired
		if err != nil {
			t.Fatalf("incarnation %d: got error %v, want none", incarnation, err)
		}
		check(r, claim{"held", "second", idempotency.VoteClaimed, "first", ""})
		check(r, claim{"held", "first", idempotency.VoteGranted, "first", ""}) // the same claim again
		check(r, claim{"settled", "second", idempotency.VoteCompleted, "first", "the stored answer"})
		_, entry, err := r.Claim("held", "second", time.Hour)
		if from, to := time.Date(2200, 12, 1, 0, 0, 0, 0, time.UTC),
			time.Date(2201, 2, 1, 0, 0, 0, 0, time.UTC); err != nil ||
			entry.ExpiresAt.Before(from) || entry.ExpiresAt.After(to) {
			t.Errorf("end of the window of key %q: got %v, error %v, want between %v and %v", "held",
				entry.ExpiresAt, err, from, to)
		}
		if incarnation == 2 {
			// The key count in the file is in effect: the register is full until the expired key is swept.
			check(r, claim{"released", "second", idempotency.VoteGranted, "second", ""})
			if vote, _, err := r.Claim("unknown", "second", time.Hour); !errors.Is(err, idempotency.ErrFull) {
				t.Errorf("claim beyond the maximum number of keys: got vote %d, error %v, want error %v", vote, err,
					idempotency.ErrFull)
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
