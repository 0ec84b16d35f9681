package artifactstore

import "time"

// Capacity is what a store can do.
type Capacity struct {
	Rate     float64       // bytes a second in all; 0: as fast as it goes
	Requests int           // fetches at a time; more are turned away
	Stop     float64       // so many times Requests tried within StopIn stops it
	StopIn   time.Duration // the time over which tries are counted
	StopFor  time.Duration
}

// Verdict is what a Crowd says to a fetch.
type Verdict int

// The verdicts.
const (
	Serve Verdict = iota
	TurnAway
	Stopped
)

// Crowd decides which fetches a store takes. It does no I/O and reads no clock.
type Crowd struct {
	c       Capacity
	under   int
	until   time.Duration // it is stopped
	window  time.Duration // its begin
	tries   int           // in it
	stops   int
	refused int // in a row, for the time to come back
}

// NewCrowd begins without anybody.
func NewCrowd(c Capacity) *Crowd { return &Crowd{c: c} }

// Ask decides on a fetch that comes now; after is when its sender may come back if it is not served.
func (c *Crowd) Ask(now time.Duration) (v Verdict, after time.Duration) {
	if now < c.until {
		return Stopped, c.until - now
	}
	if now-c.window >= c.c.StopIn {
		c.window, c.tries = now, 0
	}
	c.tries++
	if c.c.Stop > 0 && c.c.StopFor > 0 && float64(c.tries) > c.c.Stop*float64(c.c.Requests) && c.under >= c.c.Requests {
		c.until = now + c.c.StopFor
		c.tries = 0
		c.stops++
		return Stopped, c.c.StopFor
	}
	if c.under >= c.c.Requests {
		c.refused++ // those that are told to wait come one after the other
		return TurnAway, time.Second * time.Duration(min(8, 1+c.refused/max(1, c.c.Requests)))
	}
	c.refused = 0
	c.under++
	return Serve, 0
}

// Ended tells that a fetch that was served is over.
func (c *Crowd) Ended() { c.under = max(0, c.under-1) }

// Stop stops it for so long, as an operator's order.
func (c *Crowd) Stop(now, d time.Duration) {
	c.until = now + d
	c.stops++
}

// Stops is how often it was stopped.
func (c *Crowd) Stops() int { return c.stops }
