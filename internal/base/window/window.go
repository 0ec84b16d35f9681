// Package window sums and averages measures over a sliding span of time. A Window keeps fixed buckets that are used
// again; its sums are rounded to the side that is asked for, never in between.
package window

import "time"

// bucketCount is the number of buckets of a Window: its span, rounded up, and one beyond it on each side.
const bucketCount = 16

// Window sums a measure over a span. The zero value is not ready; use New.
type Window struct {
	width   time.Duration // of a bucket
	newest  int64         // number of the newest bucket, from time 0
	buckets [bucketCount]float64
}

// New makes a Window over a span.
func New(span time.Duration) *Window {
	return &Window{width: max(1, (span+bucketCount-3)/(bucketCount-2))}
}

// advance clears the buckets that have become too old by now.
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

// Add adds a value at now.
func (w *Window) Add(now time.Duration, value float64) {
	w.advance(now)
	w.buckets[w.newest%bucketCount] += value
}

// sum sums the newest bucket and so many before it.
func (w *Window) sum(now time.Duration, before int64) float64 {
	w.advance(now)
	total := 0.0
	for number := w.newest; number >= 0 && number >= w.newest-before; number-- {
		total += w.buckets[number%bucketCount]
	}
	return total
}

// UpperSum sums everything within the span and, as buckets are summed whole, a little that came before.
func (w *Window) UpperSum(now time.Duration) float64 { return w.sum(now, bucketCount-2) }

// LowerSum sums only buckets that lie wholly within the span.
func (w *Window) LowerSum(now time.Duration) float64 { return w.sum(now, bucketCount-4) }
