package httpserver

import (
	"context"
	"time"
)

// RunPeriodically calls do at the end of each period. It returns nil when ctx is done, or the error of do if do fails.
func RunPeriodically(ctx context.Context, period time.Duration, do func() error) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := do(); err != nil {
			return err
		}
	}
}

// Sleep waits for a duration. If ctx is done earlier, it returns the error of ctx.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
