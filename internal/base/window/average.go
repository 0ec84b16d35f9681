package window

import "time"

// MovingAverage averages the last few durations. The zero value is ready.
type MovingAverage struct{ samples []time.Duration }

// Add adds a sample and keeps the last count ones.
func (m *MovingAverage) Add(sample time.Duration, count int) {
	m.samples = append(m.samples[max(0, len(m.samples)-count+1):], sample)
}

// Mean is the average, or the initial value where there is no sample.
func (m *MovingAverage) Mean(initial time.Duration) time.Duration {
	if len(m.samples) == 0 {
		return initial
	}
	var sum time.Duration
	for _, sample := range m.samples {
		sum += sample
	}
	return sum / time.Duration(len(m.samples))
}
