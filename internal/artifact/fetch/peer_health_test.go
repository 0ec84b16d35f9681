package fetch

import (
	"testing"
	"time"
)

// A peer that sends three corrupt chunks is never asked again; one that fails is asked again later.
func TestPeerHealth(t *testing.T) {
	health := NewPeerHealth()
	health.Record(0, "slow", Failed)
	if health.Usable(0, "slow") || !health.Usable(failureBackoff, "slow") {
		t.Error("a failure counts for its backoff and no longer")
	}
	for i := range maxCorruptChunks {
		health.Record(0, "corrupt", Corrupt)
		if health.Usable(corruptionBackoff-1, "corrupt") {
			t.Error("usable at once after corrupt chunk ", i)
		}
	}
	health.Record(time.Hour, "corrupt", Missing)
	health.Prune(func(string) bool { return false })
	if health.Usable(1000*time.Hour, "corrupt") {
		t.Error("a peer is usable again after too many corrupt chunks")
	}
}
