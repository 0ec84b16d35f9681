package gateway

import (
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// Tolerances of the invariant checks of an attempt.
const (
	// disconnectSlack is the time after a client's disconnect within which an attempt may still be written.
	disconnectSlack = 100 * time.Millisecond
	// deadlineSlack is the time by which the time left stated to a worker may exceed the client's actual time left. It is
	// also the time after the client's deadline within which an attempt may still be written.
	deadlineSlack = 150 * time.Millisecond
	// windowSlack is the time after the end of a deduplication window within which a retry may still be written.
	windowSlack = 50 * time.Millisecond
	// answerSlack is the time after a client's deadline within which a response does not count as late.
	answerSlack = 500 * time.Millisecond
)

// SendPermit decides, when the bytes of an attempt are about to be written, whether the attempt may still be sent. The
// attempt may have waited for a connection since the core's decision, and in the meantime its client may have
// disconnected or its deadline may have passed.
type SendPermit struct {
	loop           *EventLoop
	request        *Request
	decidedAt      time.Duration // time of the core's decision to send
	deadline       time.Duration // deadline of the client or of the shutdown, whichever is earlier
	sendBy         time.Duration // latest time at which the attempt may be written to the connection; 0 for no limit
	retryBy        time.Duration // latest time at which the worker may start the attempt; 0 for no limit
	sendByPassed   atomic.Bool   // whether sendBy had passed when the attempt was about to be written
	windowEnd      time.Duration // end of the deduplication window that a retry must be written in; 0 if there is none
	statedTimeLeft time.Duration // time left that was stated to the worker
	statedAt       time.Time     // time at which statedTimeLeft was set
}

// TimeLeft returns the time left until the deadline of the client or of the shutdown, which is stated to the worker. It
// returns false if the attempt must be withheld. It may be called from any goroutine, when the attempt's bytes are
// about to be written.
func (p *SendPermit) TimeLeft() (time.Duration, bool) {
	now := p.loop.Now()
	if p.request.disconnectedAt.Load() != 0 {
		p.loop.stats.WithheldDisconnected.Add(1)
		return 0, false
	}
	if now >= p.deadline {
		p.loop.stats.WithheldExpired.Add(1)
		return 0, false
	}
	if p.sendBy > 0 && now >= p.sendBy {
		p.loop.stats.WithheldLease.Add(1)
		p.sendByPassed.Store(true)
		return 0, false
	}
	if lag := p.loop.stall.Lag(time.Now()); lag > 0 && now-p.decidedAt >= lag {
		p.loop.stats.WithheldStalled.Add(1) // a disconnect that arrived during the stall may not have been read yet
		return 0, false
	}
	p.statedTimeLeft = p.deadline - now
	p.statedAt = time.Now()
	return p.statedTimeLeft, true
}

// StartWithin returns the time from now within which the worker may start the attempt, or 0 if there is no limit.
func (p *SendPermit) StartWithin() time.Duration {
	if p.retryBy == 0 {
		return 0
	}
	return max(1, p.retryBy-p.loop.Now())
}

// WithheldResult returns the result of an attempt that was withheld. After LeaseExpired the core decides on the request
// again: if only the lease of this worker has expired, it may send the request to another one.
func (p *SendPermit) WithheldResult() scheduler.Result {
	if p.sendByPassed.Load() {
		return scheduler.LeaseExpired
	}
	return scheduler.Withheld
}

// LoadPermit decides, when the bytes of a load request are about to be written, whether it may still be sent.
type LoadPermit struct {
	loop      *EventLoop
	decidedAt time.Duration // time of the core's decision to send
	sendBy    time.Duration // latest time at which the load request may be written to the connection; 0 for no limit
}

// MaySend reports whether the load request may be sent. It returns false after sendBy, and if the process has stalled
// since the core's decision: a drain notice that arrived during the stall may not have been read yet.
func (p *LoadPermit) MaySend() bool {
	now := p.loop.Now()
	if p.sendBy > 0 && now >= p.sendBy {
		p.loop.stats.WithheldLease.Add(1)
		return false
	}
	if lag := p.loop.stall.Lag(time.Now()); lag > 0 && now-p.decidedAt >= lag {
		p.loop.stats.WithheldLoads.Add(1)
		return false
	}
	return true
}

// Written checks the invariants of an attempt after its last byte has been written. If the process stalled since
// TimeLeft returned, the time of the write is unknown, and Written checks nothing.
func (p *SendPermit) Written() {
	if p.loop.stall.EndedAfter(p.statedAt, time.Now()) {
		return
	}
	now := p.loop.Now()
	id := p.request.Scheduled.ID
	if at := time.Duration(p.request.disconnectedAt.Load()); at != 0 && now > at+disconnectSlack {
		p.loop.monitor.Violated(invariant.AttemptAfterClientLeft, id, "late_by", now-at)
	}
	if p.windowEnd > 0 && now > p.windowEnd+windowSlack {
		p.loop.monitor.Violated(invariant.RetryOutsideWindow, id, "late_by", now-p.windowEnd)
	}
	left := p.deadline - now
	if left < -deadlineSlack {
		p.loop.monitor.Violated(invariant.AttemptAfterDeadline, id, "time_left", left)
	}
	if p.statedTimeLeft > max(left, 0)+deadlineSlack {
		p.loop.monitor.Violated(invariant.DeadlineOverstated, id, "stated", p.statedTimeLeft, "time_left", left)
	}
}
