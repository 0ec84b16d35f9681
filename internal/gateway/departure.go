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

// Departure is an attempt on its way out: the one place that lets it leave. Between the decision for it and the moment when
// its bytes are written it may wait for a connection, and its client may leave or run out of time.
type Departure struct {
	owner   *Owner
	request *Request
	decided time.Duration
	by      time.Duration // the client's time is up
	told    time.Duration // how much of it the worker was told
	asked   time.Time     // when
}

// Left is what the client has left now, to be told to the worker; false: the attempt must not leave any more. It is asked
// when the attempt's bytes are about to be written, from any goroutine.
func (d *Departure) Left() (time.Duration, bool) {
	now := d.owner.Now()
	if d.request.clientGone.Load() != 0 {
		d.owner.stats.WithheldLeft.Add(1)
		return 0, false
	}
	if now >= d.by {
		d.owner.stats.WithheldLate.Add(1)
		return 0, false
	}
	if behind := d.owner.stall.Behind(time.Now()); behind > 0 && now-d.decided >= behind {
		d.owner.stats.WithheldOld.Add(1) // what was said meanwhile is not read yet
		return 0, false
	}
	d.told = d.by - now
	d.asked = time.Now()
	return d.told, true
}

// Written checks what has left, once its last byte has. Where the process did not run in between it can't be told when that was.
func (d *Departure) Written() {
	if d.owner.stall.EndedAfter(d.asked, time.Now()) {
		return
	}
	now := d.owner.Now()
	id := d.request.Fact.ID
	if gone := time.Duration(d.request.clientGone.Load()); gone != 0 && now > gone+clientLeftSlack {
		d.owner.monitor.Violated(invariant.AttemptAfterClientLeft, id, "later", now-gone)
	}
	left := d.by - now
	if left < -deadlineSlack {
		d.owner.monitor.Violated(invariant.AttemptPastDeadline, id, "left", left)
	}
	if d.told > max(left, 0)+deadlineSlack {
		d.owner.monitor.Violated(invariant.DeadlineOverstated, id, "told", d.told, "left", left)
	}
}

// mayRun tells whether an attempt that ended so may have run.
func mayRun(r scheduler.Result) bool {
	switch r {
	case scheduler.Failed, scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Cancelled, scheduler.Completed:
		return true
	}
	return false
}
