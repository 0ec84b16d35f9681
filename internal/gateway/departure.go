package gateway

import (
	"time"

	"lupinpond/internal/gateway/invariant"
	"lupinpond/scheduler"
)

// Figures of the protocol that invariants are checked by.
const (
	clientLeftSlack = 100 * time.Millisecond // an attempt later than that after its client has left is a broken rule
	deadlineSlack   = 150 * time.Millisecond // a worker is told at most so much more than the client has left
	answerSlack     = 500 * time.Millisecond // an answer later than that after the client's time is a lost request
)

// SendPermit is an attempt on its way out: the one place that lets it leave. Between the decision for it and the moment when
// its bytes are written it may wait for a connection, and its client may leave or run out of time.
type SendPermit struct {
	loop           *EventLoop
	request        *Request
	decidedAt      time.Duration
	deadline       time.Duration // the client's time is up
	statedTimeLeft time.Duration // how much of it the worker was told
	statedAt       time.Time     // when
}

// TimeLeft is what the client has left now, to be told to the worker; false: the attempt must not leave any more. It is asked
// when the attempt's bytes are about to be written, from any goroutine.
func (d *SendPermit) TimeLeft() (time.Duration, bool) {
	now := d.loop.Now()
	if d.request.disconnectedAt.Load() != 0 {
		d.loop.stats.WithheldDisconnected.Add(1)
		return 0, false
	}
	if now >= d.deadline {
		d.loop.stats.WithheldExpired.Add(1)
		return 0, false
	}
	if behind := d.loop.stall.Lag(time.Now()); behind > 0 && now-d.decidedAt >= behind {
		d.loop.stats.WithheldStalled.Add(1) // what was said meanwhile is not read yet
		return 0, false
	}
	d.statedTimeLeft = d.deadline - now
	d.statedAt = time.Now()
	return d.statedTimeLeft, true
}

// Written checks what has left, once its last byte has. Where the process did not run in between it can't be told when that was.
func (d *SendPermit) Written() {
	if d.loop.stall.EndedAfter(d.statedAt, time.Now()) {
		return
	}
	now := d.loop.Now()
	id := d.request.Scheduled.ID
	if gone := time.Duration(d.request.disconnectedAt.Load()); gone != 0 && now > gone+clientLeftSlack {
		d.loop.monitor.Violated(invariant.AttemptAfterClientLeft, id, "later", now-gone)
	}
	left := d.deadline - now
	if left < -deadlineSlack {
		d.loop.monitor.Violated(invariant.AttemptAfterDeadline, id, "left", left)
	}
	if d.statedTimeLeft > max(left, 0)+deadlineSlack {
		d.loop.monitor.Violated(invariant.DeadlineOverstated, id, "told", d.statedTimeLeft, "left", left)
	}
}

// mayHaveRun tells whether an attempt that ended so may have run.
func mayHaveRun(r scheduler.Result) bool {
	switch r {
	case scheduler.Failed, scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Cancelled, scheduler.Completed:
		return true
	}
	return false
}
