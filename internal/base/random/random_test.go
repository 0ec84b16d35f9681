package random_test

import (
	"slices"
	"testing"

	"lupinpond/internal/base/random"
)

// Recordings and the shared order of gateways depend on these values: they never change.
func TestKnownValues(t *testing.T) {
	source := random.New(42)
	var drawn []int
	for range 4 {
		drawn = append(drawn, source.IntN(1000))
	}
	if want := []int{494, 571, 342, 504}; !slices.Equal(drawn, want) {
		t.Errorf("drew %v, want %v", drawn, want)
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
