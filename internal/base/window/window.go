// Package window computes sums and averages of measured values over a sliding time window. A Window reuses a fixed
// number of buckets, so its sums are bounds: UpperSum is never too small and LowerSum is never too large.
package window

import "time"

// bucketCount is the number of buckets of a Window: those that cover the span, rounded up, and two more for the partly
// covered buckets at both ends.
const bucketCount = 16

// Window sums values over a sliding time window. The zero value is not usable; create a Window with New.
type Window struct {
	width   time.Duration // time that a bucket covers
	newest  int64         // number of the newest bucket, counted from time 0
	buckets [bucketCount]float64
}

// New returns a Window of length span.
func New(span time.Duration) *Window {
	return &Window{width: max(1, (span+bucketCount-3)/(bucketCount-2))}
}

// advance makes the bucket of now the newest one and clears the buckets that are reused.
func (w *Window) advance(now time.Duration) {
	newest := int64(now / w.width)
	if newest-w.newest >= bucketCount {
		w.buckets = [bucketCount]float64{}
		w.newest = newest
	}
	for ; w.newest < newest; w.newest++ {
		w.buckets[(w.newest+1)%bucketCount] = 0
	}
}

// Add adds a value at the time now.
func (w *Window) Add(now time.Duration, value float64) {
	w.advance(now)
	w.buckets[w.newest%bucketCount] += value
}

// sum returns the sum of the newest bucket and the given number of buckets before it.
func (w *Window) sum(now time.Duration, before int64) float64 {
	w.advance(now)
	total := 0.0
	for number := w.newest; number >= 0 && number >= w.newest-before; number-- {
		total += w.buckets[number%bucketCount]
	}
	return total
}

// UpperSum returns an upper bound of the sum over the span (for values that are not negative): it includes the oldest
// bucket as a whole, which may hold values from before the span.
func (w *Window) UpperSum(now time.Duration) float64 { return w.sum(now, bucketCount-2) }

// LowerSum returns a lower bound of the sum over the span (for values that are not negative): it includes only buckets
// that lie entirely within the span.
func (w *Window) LowerSum(now time.Duration) float64 { return w.sum(now, bucketCount-4) }
