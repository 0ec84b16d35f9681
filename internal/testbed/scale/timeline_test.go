package scale

import (
	"errors"
	"log/slog"
	"testing"
	"time"
)

// TestSampleOverMemoryLimitEndsRun guards against a wrong estimate of a plan's memory: the run ends if its processes
// actually use more than the limit.
func TestSampleOverMemoryLimitEndsRun(t *testing.T) {
	r := &run{options: Options{MaxBytes: 100 << 20, Log: slog.New(slog.DiscardHandler)}}
	r.plan.Workers.Count, r.plan.Gateways.Hollow = 1, 1
	from := totals{at: time.Unix(0, 0)}
	within, over := totals{at: time.Unix(1, 0), allBytes: 100 << 20}, totals{at: time.Unix(1, 0), allBytes: 101 << 20}
	if err := r.sample(from, within); err != nil {
		t.Error(err)
	}
	if err := r.sample(from, over); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}
