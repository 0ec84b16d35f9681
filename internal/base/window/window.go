// Package window sums a measure over a sliding span of time in fixed buckets that are used again. Sums are
// rounded to the side that is asked for, never in between.
package window

import "time"

const slots = 16

// Window holds the buckets. The zero value is not ready; use New.
type Window struct {
	width time.Duration
	at    int64 // number of the newest bucket
	slot  [slots]float64
}

// New makes a Window over a span.
func New(span time.Duration) *Window {
	return &Window{width: max(1, (span+slots-3)/(slots-2))}
}

func (w *Window) roll(now time.Duration) {
	newest := int64(now / w.width)
	if newest-w.at >= slots {
		w.slot = [slots]float64{}
		w.at = newest
	}
	for ; w.at < newest; w.at++ {
		w.slot[(w.at+1)%slots] = 0
	}
}

// Add counts v at now.
func (w *Window) Add(now time.Duration, v float64) {
	w.roll(now)
	w.slot[w.at%slots] += v
}

func (w *Window) sum(now time.Duration, before int64) float64 {
	w.roll(now)
	total := 0.0
	for b := w.at; b >= 0 && b >= w.at-before; b-- {
		total += w.slot[b%slots]
	}
	return total
}

// All sums everything within the span and, by its whole buckets, a little that came before.
func (w *Window) All(now time.Duration) float64 { return w.sum(now, slots-2) }

// Inner sums only buckets that lie wholly within the span.
func (w *Window) Inner(now time.Duration) float64 { return w.sum(now, slots-4) }
