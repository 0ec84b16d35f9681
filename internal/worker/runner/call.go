package runner

import (
	"strconv"
	"time"
)

// Result is the result of a call.
type Result struct {
	Body     []byte
	Duration time.Duration // time from passing the call to the child until its result; 0 if it was not passed
	Err      error
}

// call is a request that was passed to a replica and has no result yet.
type call struct {
	id        string
	body      []byte
	deadline  time.Time
	startedAt time.Time // time at which the call was passed to the child; zero if it was not
	timer     *time.Timer
	done      chan Result // receives the result; has a buffer of one
	finished  bool        // whether the call has a result
}

// Call runs a request on the replica and calls done exactly once with its result. timeLeft is the remaining time of the
// request; the call expires after timeLeft or the timeout of the package, whichever is shorter.
func (r *Replica) Call(body []byte, timeLeft time.Duration, done func(Result)) {
	timeout := min(timeLeft, r.pkg.Timeout.Std())
	r.mu.Lock()
	r.lastCallID++
	c := &call{
		id:       strconv.Itoa(r.lastCallID),
		body:     body,
		deadline: time.Now().Add(timeout),
		done:     make(chan Result, 1),
	}
	r.calls[c.id] = c
	c.timer = time.AfterFunc(timeout, func() { r.expire(c) })
	r.mu.Unlock()
	go func() {
		select {
		case r.pending <- c:
		case <-r.exited:
			r.finish(c.id, Result{Err: ErrNotStarted})
		case result := <-c.done: // expired before it was passed to the child
			done(result)
			return
		}
		done(<-c.done)
	}()
}

// markStarted marks a call as passed to the child. It returns false if the call must not be passed to it, because the
// call has a result already or the replica is being stopped.
func (r *Replica) markStarted(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.finished || r.stopping {
		return false
	}
	c.startedAt = time.Now()
	return true
}

// expire ends a call that has reached its deadline. If the call is running, the replica is killed as well, because
// there is no other way to free the slot of a call that does not end.
func (r *Replica) expire(c *call) {
	r.mu.Lock()
	started := !c.startedAt.IsZero()
	finished := c.finished
	r.mu.Unlock()
	switch {
	case finished:
	case started:
		r.Stop(ErrTimeLimit) // before finish, so that no other call is passed to the replica
		r.finish(c.id, Result{Err: ErrTimeLimit})
	default:
		r.finish(c.id, Result{Err: ErrNotStarted})
	}
}

// expireOverdue expires a call that has passed its deadline but whose timer has not fired yet. It returns false if the
// call has time left or has ended.
func (r *Replica) expireOverdue(id string) bool {
	r.mu.Lock()
	c := r.calls[id]
	overdue := c != nil && !c.finished && !time.Now().Before(c.deadline)
	r.mu.Unlock()
	if overdue {
		r.expire(c)
	}
	return overdue
}

// finish sets the result of a call. It returns false if the call is unknown or already has a result.
func (r *Replica) finish(id string, result Result) bool {
	r.mu.Lock()
	c := r.calls[id]
	if c == nil || c.finished {
		r.mu.Unlock()
		return false
	}
	c.finished = true
	delete(r.calls, id)
	c.timer.Stop()
	if !c.startedAt.IsZero() {
		result.Duration = time.Since(c.startedAt)
	}
	r.mu.Unlock()
	c.done <- result
	return true
}

// failCalls ends all calls of a replica that has exited. A call that was passed to the child fails with the cause of
// the stop, any other call with ErrNotStarted.
func (r *Replica) failCalls() {
	r.mu.Lock()
	cause := r.stopCause
	if cause == nil {
		cause = ErrReplicaExited
	}
	var open []*call
	for _, c := range r.calls {
		open = append(open, c)
	}
	r.mu.Unlock()
	for _, c := range open {
		if c.startedAt.IsZero() {
			r.finish(c.id, Result{Err: ErrNotStarted})
		} else {
			r.finish(c.id, Result{Err: cause})
		}
	}
}
