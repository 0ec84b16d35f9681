package window

import "time"

// Last averages the last few durations. The zero value is ready.
type Last struct{ past []time.Duration }

// Add counts d and leaves out all but the last n.
func (l *Last) Add(d time.Duration, n int) {
	l.past = append(l.past[max(0, len(l.past)-n+1):], d)
}

// Mean is their average, or the given first value where there are none.
func (l *Last) Mean(first time.Duration) time.Duration {
	if len(l.past) == 0 {
		return first
	}
	var sum time.Duration
	for _, d := range l.past {
		sum += d
	}
	return sum / time.Duration(len(l.past))
}
