package window

import "time"

// MovingAverage is the average of the most recent durations. The zero value is ready to use.
type MovingAverage struct{ samples []time.Duration }

// Add adds a sample and keeps the last count samples.
func (m *MovingAverage) Add(sample time.Duration, count int) {
	m.samples = append(m.samples[max(0, len(m.samples)-count+1):], sample)
}

// Mean returns the average of the samples, or initial if there are none.
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
