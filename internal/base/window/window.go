// Package window sums a measure over a sliding span of time in fixed buckets that are used again. Sums are
// rounded to the side that is asked for, never in between.
package window

import "time"

const bucketCount = 16

// Window holds the buckets. The zero value is not ready; use New.
type Window struct {
	width   time.Duration
	newest  int64 // number of the newest bucket
	buckets [bucketCount]float64
}

// New makes a Window over a span.
func New(span time.Duration) *Window {
	return &Window{width: max(1, (span+bucketCount-3)/(bucketCount-2))}
}

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

// Add counts v at now.
func (w *Window) Add(now time.Duration, v float64) {
	w.advance(now)
	w.buckets[w.newest%bucketCount] += v
}

func (w *Window) sum(now time.Duration, before int64) float64 {
	w.advance(now)
	total := 0.0
	for b := w.newest; b >= 0 && b >= w.newest-before; b-- {
		total += w.buckets[b%bucketCount]
	}
	return total
}

// UpperSum sums everything within the span and, by its whole buckets, a little that came before.
func (w *Window) UpperSum(now time.Duration) float64 { return w.sum(now, bucketCount-2) }

// LowerSum sums only buckets that lie wholly within the span.
func (w *Window) LowerSum(now time.Duration) float64 { return w.sum(now, bucketCount-4) }
