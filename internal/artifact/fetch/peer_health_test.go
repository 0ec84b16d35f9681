package fetch

import (
	"testing"
	"time"
)

// A peer that fails must be usable again after its backoff. A peer that has sent maxCorruptChunks corrupt chunks must
// never be usable again, whatever it responds later and even if it is not listed for a while.
func TestPeerHealth(t *testing.T) {
	health := NewPeerHealth()
	health.Record(0, "slow", Failed)
	if health.Usable(0, "slow") || !health.Usable(failureBackoff, "slow") {
		t.Error("a peer that failed is usable before, or not usable after its backoff")
	}
	for i := range maxCorruptChunks {
		health.Record(0, "corrupt", Corrupt)
		if health.Usable(corruptionBackoff-1, "corrupt") {
			t.Error("a peer is usable before its backoff has ended, after corrupt chunk ", i)
		}
	}
	health.Record(time.Hour, "corrupt", Missing)
	health.Prune(func(string) bool { return false })
	if health.Usable(1000*time.Hour, "corrupt") {
		t.Error("a peer is usable again after too many corrupt chunks")
	}
}
