package fetch

import "time"

const (
	// MaxUploadSize is the largest chunk that an UploadLimiter accounts for, in bytes.
	MaxUploadSize = 1 << 18

	// busyRateShare is the part of the rate that is left to other workers while all of this one's concurrency slots are
	// taken.
	busyRateShare = 0.5

	// burstSeconds is how many seconds' worth of the rate may be sent at once; it is never less than a chunk.
	burstSeconds = 0.25
)

// UploadLimiter bounds what a worker sends to others: a share of what its network carries, less while its own requests
// run. It is a token bucket.
type UploadLimiter struct {
	rate       float64 // bytes a second at most
	slots      int     // uploads at a time
	inFlight   int
	tokens     float64 // bytes
	refilledAt time.Duration
}

// NewUploadLimiter limits uploads to a share of a network of bytesPerSecond, and to so many slots at a time.
func NewUploadLimiter(bytesPerSecond, share float64, slots int) *UploadLimiter {
	l := &UploadLimiter{rate: max(1, bytesPerSecond*share), slots: max(1, slots)}
	l.tokens = l.burstBytes()
	return l
}

func (l *UploadLimiter) burstBytes() float64 { return max(MaxUploadSize, l.rate*burstSeconds) }

// Acquire asks to send size bytes while a share of the worker's concurrency slots, between 0 and 1, is taken. If it may
// not, retryAfter says when to ask again; if it may, Release has to be called.
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

// Release notes that an upload has completed.
func (l *UploadLimiter) Release() { l.inFlight = max(0, l.inFlight-1) }
