// Package workload draws functions for measured and emulated traffic: few of them often and most of them rarely.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// headOffset flattens the head of the Zipf law, so that no function has most of the calls.
const headOffset = 3.0

// Catalog is a number of functions that are called by a Zipf law.
type Catalog struct{ cumulative []float64 } // weights, each added to those before

// New makes a catalog of at least one function; skew is the exponent of the law, 0 calls them evenly.
func New(functions int, skew float64) *Catalog {
	c := &Catalog{cumulative: make([]float64, functions)}
	sum := 0.0
	for i := range c.cumulative {
		sum += math.Pow(float64(i)+headOffset, -skew)
		c.cumulative[i] = sum
	}
	return c
}

// Draw gives the number of a function, counted from 1.
func (c *Catalog) Draw(random *rand.Rand) uint64 {
	all := c.cumulative[len(c.cumulative)-1]
	return uint64(sort.SearchFloat64s(c.cumulative, random.Float64()*all)) + 1
}
