package fetch

import "time"

const (
	// MaxUploadSize is the largest size, in bytes, that an UploadLimiter charges for a chunk.
	MaxUploadSize = 1 << 18

	// busyRateShare is the fraction of the upload rate that is left while all concurrency slots of the worker are in use:
	// the rate decreases linearly with the utilization, to rate * busyRateShare at a utilization of 1.
	busyRateShare = 0.5

	// burstSeconds: up to rate * burstSeconds bytes, but at least one chunk, may be sent in a burst.
	burstSeconds = 0.25
)

// UploadLimiter limits the uploads of a worker to other workers with a token bucket. Uploads may use a share of the
// worker's network capacity, which is reduced while the worker runs requests.
type UploadLimiter struct {
	rate       float64 // maximum rate in bytes per second
	slots      int     // maximum number of uploads in flight
	inFlight   int
	tokens     float64 // bytes that may be sent now
	refilledAt time.Duration
}

// NewUploadLimiter returns a limiter with a rate of bytesPerSecond * share and at most slots uploads in flight.
func NewUploadLimiter(bytesPerSecond, share float64, slots int) *UploadLimiter {
	l := &UploadLimiter{rate: max(1, bytesPerSecond*share), slots: max(1, slots)}
	l.tokens = l.burstBytes()
	return l
}

func (l *UploadLimiter) burstBytes() float64 { return max(MaxUploadSize, l.rate*burstSeconds) }

// Acquire reports whether size bytes may be sent now. utilization, between 0 and 1, is the share of the worker's
// concurrency slots in use. If the upload is allowed, the caller must call Release when it has completed. Otherwise the
// caller may try again after retryAfter.
func (l *UploadLimiter) Acquire(now time.Duration, size int, utilization float64) (ok bool, retryAfter time.Duration) {
	rate := l.rate * (1 - (1-busyRateShare)*min(1, max(0, utilization)))
	l.tokens = min(l.burstBytes(), l.tokens+rate*max(0, (now-l.refilledAt).Seconds()))
	l.refilledAt = now
	need := min(float64(size), MaxUploadSize)
	if l.inFlight >= l.slots || l.tokens < need {
		refill := time.Duration(max(0, need-l.tokens) / rate * float64(time.Second))
		return false, max(time.Millisecond, time.Microsecond+refill)
	}
	l.tokens -= need
	l.inFlight++
	return true, 0
}

// Release records that an upload has completed.
func (l *UploadLimiter) Release() { l.inFlight = max(0, l.inFlight-1) }
