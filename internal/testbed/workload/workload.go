// Package workload selects the functions of generated requests by a Zipf distribution: a few functions are called often
// and most are called rarely.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// headOffset flattens the head of the Zipf distribution, so that no single function has most of the calls. The function
// of rank i, counted from 0, has the weight (i+headOffset)^-skew.
const headOffset = 3.0

// Catalog is a set of functions with a Zipf distribution of calls.
type Catalog struct{ cumulative []float64 } // cumulative sums of the functions' weights

// New returns a Catalog of the given number of functions, at least one. skew is the exponent of the distribution; with
// 0 all functions are equally likely.
func New(functions int, skew float64) *Catalog {
	c := &Catalog{cumulative: make([]float64, functions)}
	sum := 0.0
	for i := range c.cumulative {
		sum += math.Pow(float64(i)+headOffset, -skew)
		c.cumulative[i] = sum
	}
	return c
}

// RandomFunction returns the number of a randomly selected function, counted from 1.
func (c *Catalog) RandomFunction(random *rand.Rand) uint64 {
	all := c.cumulative[len(c.cumulative)-1]
	return uint64(sort.SearchFloat64s(c.cumulative, random.Float64()*all)) + 1
}
