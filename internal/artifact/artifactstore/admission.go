package artifactstore

import "time"

// Capacity is what a store serves at most, and what stops it.
type Capacity struct {
	BytesPerSecond float64       // of all chunks served; 0: no limit
	MaxConcurrent  int           // fetches at a time; more are rejected
	StopFactor     float64       // a full store stops once this many times MaxConcurrent come in StopWindow; 0: never
	StopWindow     time.Duration // over which fetches are counted
	StopDuration   time.Duration // how long a stopped store rejects everything
}

// maxRetryAfterSeconds bounds what a rejected client is told to wait.
const maxRetryAfterSeconds = 8

// Decision is what an AdmissionController decides about a fetch.
type Decision int

// The decisions.
const (
	Admitted Decision = iota
	Rejected          // the store is at capacity
	Stopped           // the store is stopped
)

// AdmissionController decides which fetches a store serves. It does no I/O, reads no clock and is not safe for
// concurrent use.
type AdmissionController struct {
	capacity              Capacity
	inFlight              int
	stoppedUntil          time.Duration
	windowStart           time.Duration
	windowRequests        int // in the window that began at windowStart
	stopCount             int
	consecutiveRejections int // since a fetch was last admitted
}

// NewAdmissionController returns a controller with nothing in flight.
func NewAdmissionController(capacity Capacity) *AdmissionController {
	return &AdmissionController{capacity: capacity}
}

// Admit decides about a fetch that arrives now. A fetch that is not admitted may be tried again after retryAfter; for
// one that is, Done has to be called.
func (c *AdmissionController) Admit(now time.Duration) (decision Decision, retryAfter time.Duration) {
	if now < c.stoppedUntil {
		return Stopped, c.stoppedUntil - now
	}
	if now-c.windowStart >= c.capacity.StopWindow {
		c.windowStart = now
		c.windowRequests = 0
	}
	c.windowRequests++
	if c.overloaded() {
		c.windowRequests = 0
		c.Stop(now, c.capacity.StopDuration)
		return Stopped, c.capacity.StopDuration
	}
	if c.inFlight >= c.capacity.MaxConcurrent {
		c.consecutiveRejections++
		// the more are waiting, the later each returns, so that they do not all come at once
		seconds := min(maxRetryAfterSeconds, 1+c.consecutiveRejections/max(1, c.capacity.MaxConcurrent))
		return Rejected, time.Second * time.Duration(seconds)
	}
	c.consecutiveRejections = 0
	c.inFlight++
	return Admitted, 0
}

// overloaded tells whether a full store was asked so often within the window that it stops.
func (c *AdmissionController) overloaded() bool {
	stops := c.capacity.StopFactor > 0 && c.capacity.StopDuration > 0
	return stops && c.inFlight >= c.capacity.MaxConcurrent &&
		float64(c.windowRequests) > c.capacity.StopFactor*float64(c.capacity.MaxConcurrent)
}

// Done notes that an admitted fetch has completed.
func (c *AdmissionController) Done() { c.inFlight = max(0, c.inFlight-1) }

// Stop rejects every fetch for a duration from now, as an operator's command does.
func (c *AdmissionController) Stop(now, duration time.Duration) {
	c.stoppedUntil = now + duration
	c.stopCount++
}

// Stops returns how often the store was stopped.
func (c *AdmissionController) Stops() int { return c.stopCount }
