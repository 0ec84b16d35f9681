package artifactstore

import "time"

// Capacity limits the load that a store serves. It also configures when an overloaded store stops: while MaxConcurrent
// fetches are in flight, the store rejects all fetches for StopDuration once more than StopFactor * MaxConcurrent
// fetches arrive within StopWindow.
type Capacity struct {
	BytesPerSecond float64       // maximum rate of chunk bytes served; 0: no limit
	MaxConcurrent  int           // maximum number of fetches in flight; more are rejected
	StopFactor     float64       // multiple of MaxConcurrent; 0: the store never stops because of overload
	StopWindow     time.Duration // length of the window in which arriving fetches are counted
	StopDuration   time.Duration // time for which a stopped store rejects all fetches
}

// maxRetryAfterSeconds is the longest Retry-After, in seconds, of a fetch that is rejected at capacity.
const maxRetryAfterSeconds = 8

// Decision is an AdmissionController's decision about a fetch.
type Decision int

// The decisions about a fetch.
const (
	Admitted Decision = iota
	Rejected          // the store is at capacity
	Stopped           // the store is stopped
)

// AdmissionController decides which fetches a store serves. It does no I/O and reads no clock: callers pass the time.
// It is not safe for concurrent use.
type AdmissionController struct {
	capacity              Capacity
	inFlight              int
	stoppedUntil          time.Duration
	windowStart           time.Duration
	windowRequests        int // fetches that arrived since windowStart
	stopCount             int
	consecutiveRejections int // fetches rejected at capacity since the last admitted one
}

// NewAdmissionController returns a controller with no fetches in flight.
func NewAdmissionController(capacity Capacity) *AdmissionController {
	return &AdmissionController{capacity: capacity}
}

// Admit decides whether to serve a fetch that arrives at time now. For an admitted fetch, the caller must call Done
// when it has completed. A fetch that is not admitted may be retried after retryAfter.
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
		// Retry-After grows with the number of rejected clients, so that they do not all retry at the same time.
		seconds := min(maxRetryAfterSeconds, 1+c.consecutiveRejections/max(1, c.capacity.MaxConcurrent))
		return Rejected, time.Second * time.Duration(seconds)
	}
	c.consecutiveRejections = 0
	c.inFlight++
	return Admitted, 0
}

// overloaded reports whether the store is at capacity and so many fetches arrived within the window that it must stop.
func (c *AdmissionController) overloaded() bool {
	stops := c.capacity.StopFactor > 0 && c.capacity.StopDuration > 0
	return stops && c.inFlight >= c.capacity.MaxConcurrent &&
		float64(c.windowRequests) > c.capacity.StopFactor*float64(c.capacity.MaxConcurrent)
}

// Done records that an admitted fetch has completed.
func (c *AdmissionController) Done() { c.inFlight = max(0, c.inFlight-1) }

// Stop makes the controller reject all fetches for a duration from now. It is called when the store is overloaded and
// for POST /v1/stop.
func (c *AdmissionController) Stop(now, duration time.Duration) {
	c.stoppedUntil = now + duration
	c.stopCount++
}

// Stops returns the number of times that the store was stopped.
func (c *AdmissionController) Stops() int { return c.stopCount }
