package workload_test

import (
	"math/rand/v2"
	"testing"

	"lupinpond/internal/testbed/workload"
)

// TestRandomFunction checks that all selected functions are in the catalog, and that the first functions have most of
// the calls if and only if the distribution is skewed.
func TestRandomFunction(t *testing.T) {
	for _, skew := range []float64{0, 1.7} {
		random, first := rand.New(rand.NewPCG(1, 1)), 0
		functions := workload.New(1000, skew)
		for range 10000 {
			n := functions.RandomFunction(random)
			if n < 1 || n > 1000 {
				t.Fatal(n)
			}
			if n <= 10 {
				first++
			}
		}
		if skew == 0 && first > 200 || skew > 0 && first < 5000 {
			t.Errorf("skew %v: the first 10 functions have %d of 10000 calls", skew, first)
		}
	}
}
