package window_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/base/window"
)

// TestSumsBoundTheSpan checks with randomly generated times that the number of values added within the span lies
// between LowerSum and UpperSum.
func TestSumsBoundTheSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := time.Duration(rapid.IntRange(1, 1000).Draw(t, "span")) * time.Millisecond
		w := window.New(span)
		var times []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			w.Add(now, 1)
			times = append(times, now)
		}
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "last pause")) * time.Millisecond
		within := 0.0
		for _, at := range times {
			if now-at <= span {
				within++
			}
		}
		if lower, upper := w.LowerSum(now), w.UpperSum(now); lower > within || upper < within {
			t.Errorf("%v values within %v, want from lower sum %v to upper sum %v", within, span, lower, upper)
		}
	})
}

func TestMovingAverage(t *testing.T) {
	for _, c := range []struct {
		name    string
		samples []time.Duration
		want    time.Duration
	}{
		{"no sample", nil, 7},
		{"one sample", []time.Duration{4}, 4},
		{"as many as count", []time.Duration{1, 2, 6}, 3},
		{"older samples are dropped", []time.Duration{100, 1, 2, 6}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var m window.MovingAverage
			for _, sample := range c.samples {
				m.Add(sample, 3)
			}
			if got := m.Mean(7); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
