package artifactstore

import "time"

// Capacity is what a store can do.
type Capacity struct {
	BytesPerSecond float64       // bytes a second in all; 0: as fast as it goes
	MaxConcurrent  int           // fetches at a time; more are turned away
	StopFactor     float64       // so many times Requests tried within StopIn stops it
	StopWindow     time.Duration // the time over which tries are counted
	StopDuration   time.Duration
}

// Decision is what a Crowd says to a fetch.
type Decision int

// The verdicts.
const (
	Admitted Decision = iota
	Rejected
	Stopped
)

// AdmissionController decides which fetches a store takes. It does no I/O and reads no clock.
type AdmissionController struct {
	capacity              Capacity
	inFlight              int
	stoppedUntil          time.Duration // it is stopped
	windowStart           time.Duration // its begin
	windowRequests        int           // in it
	stopCount             int
	consecutiveRejections int // in a row, for the time to come back
}

// NewAdmissionController begins without anybody.
func NewAdmissionController(c Capacity) *AdmissionController {
	return &AdmissionController{capacity: c}
}

// Admit decides on a fetch that comes now; after is when its sender may come back if it is not served.
func (c *AdmissionController) Admit(now time.Duration) (v Decision, after time.Duration) {
	if now < c.stoppedUntil {
		return Stopped, c.stoppedUntil - now
	}
	if now-c.windowStart >= c.capacity.StopWindow {
		c.windowStart, c.windowRequests = now, 0
	}
	c.windowRequests++
	if c.capacity.StopFactor > 0 && c.capacity.StopDuration > 0 && float64(c.windowRequests) > c.capacity.StopFactor*float64(c.capacity.MaxConcurrent) && c.inFlight >= c.capacity.MaxConcurrent {
		c.stoppedUntil = now + c.capacity.StopDuration
		c.windowRequests = 0
		c.stopCount++
		return Stopped, c.capacity.StopDuration
	}
	if c.inFlight >= c.capacity.MaxConcurrent {
		c.consecutiveRejections++ // those that are told to wait come one after the other
		return Rejected, time.Second * time.Duration(min(8, 1+c.consecutiveRejections/max(1, c.capacity.MaxConcurrent)))
	}
	c.consecutiveRejections = 0
	c.inFlight++
	return Admitted, 0
}

// Done tells that a fetch that was served is over.
func (c *AdmissionController) Done() { c.inFlight = max(0, c.inFlight-1) }

// Stop stops it for so long, as an operator's order.
func (c *AdmissionController) Stop(now, d time.Duration) {
	c.stoppedUntil = now + d
	c.stopCount++
}

// Stops is how often it was stopped.
func (c *AdmissionController) Stops() int { return c.stopCount }
