package fetch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Uploads must stay within their share of the network capacity, which is reduced while the worker is busy. A rejected
// upload must be allowed at the retry time that it was given.
func TestUploadLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewUploadLimiter(100e6, 0.2, 4)
		utilization := rapid.Float64Range(0, 1).Draw(t, "utilization")
		now := time.Duration(0)
		sent := 0.0
		for range 300 {
			size := rapid.IntRange(1, MaxUploadSize).Draw(t, "size")
			ok, retryAfter := limiter.Acquire(now, size, utilization)
			if !ok {
				now += retryAfter
				if again, _ := limiter.Acquire(now, size, utilization); !again {
					t.Fatal("an upload was rejected at the retry time that it was given")
				}
			}
			sent += float64(size)
			limiter.Release()
		}
		allowed := limiter.burstBytes() + 20e6*(1-0.5*utilization)*now.Seconds() + 1
		if sent > allowed*1.001 {
			t.Fatalf("%.0f bytes were sent in %v, %.0f are allowed", sent, now, allowed)
		}
	})
}
