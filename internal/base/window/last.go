package window

import "time"

// MovingAverage averages the last few durations. The zero value is ready.
type MovingAverage struct{ samples []time.Duration }

// Add counts d and leaves out all but the last n.
func (l *MovingAverage) Add(d time.Duration, n int) {
	l.samples = append(l.samples[max(0, len(l.samples)-n+1):], d)
}

// Mean is their average, or the given first value where there are none.
func (l *MovingAverage) Mean(first time.Duration) time.Duration {
	if len(l.samples) == 0 {
		return first
	}
	var sum time.Duration
	for _, d := range l.samples {
		sum += d
	}
	return sum / time.Duration(len(l.samples))
}
