package random_test

import (
	"slices"
	"testing"

	"lupinpond/internal/base/random"
)

// TestKnownValues guards against a change of the generated values: existing recordings and the shared order, which must
// be equal at all gateways, depend on them.
func TestKnownValues(t *testing.T) {
	source := random.New(42)
	var generated []int
	for range 4 {
		generated = append(generated, source.IntN(1000))
	}
	if want := []int{494, 571, 342, 504}; !slices.Equal(generated, want) {
		t.Errorf("generated numbers: got %v, want %v", generated, want)
	}
	if got := source.IntN(0); got != 0 {
		t.Errorf("IntN(0) is %d, want 0", got)
	}
	if got, want := random.Mix(1), uint64(14762274845096202767); got != want {
		t.Errorf("Mix(1) is %d, want %d", got, want)
	}
	if got, want := random.Hash("worker-1"), uint64(6618252090588640643); got != want {
		t.Errorf("Hash is %d, want %d", got, want)
	}
}
