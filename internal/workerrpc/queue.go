package workerrpc

import "time"

// drainReason is the reason that a gateway's drain notice states; it is part of the protocol's messages.
const drainReason = "front end closes"

// message is a message to write to the connection.
type message struct {
	body      any   // the body of the frame; nil if there is nothing to write
	call      *Call // the call that the message sends; nil for a cancel or a drain notice
	cancelled *Call // the call that the message cancels; nil unless it is a cancel
}

// enqueue queues a call. If the call can't be queued, enqueue ends it with StatusUnsent.
func (c *Client) enqueue(call *Call) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSeq++
	call.client, call.seq = c, c.lastSeq
	size := 0
	if call.attempt != nil {
		size = len(call.attempt.Body)
	}
	if err := c.checkQueue(call, size); err != nil {
		call.state = callCompleted
		go call.done(Outcome{Status: StatusUnsent, Err: err})
		return call
	}
	if call.attempt != nil {
		c.attemptQueue = append(c.attemptQueue, call)
	} else {
		c.controlQueue = append(c.controlQueue, call)
	}
	c.queuedBytes += size
	c.calls[call.seq] = call
	call.queueTimer = time.AfterFunc(c.limits.QueueTimeout, func() { c.abortQueued(call, ErrQueueTimeout) })
	c.wake()
	return call
}

// checkQueue returns the reason why a call with a body of size bytes can't be queued, or nil. c.mu must be held.
func (c *Client) checkQueue(call *Call, size int) error {
	queued := len(c.attemptQueue) + len(c.controlQueue)
	switch {
	case c.closed || c.stopped && (call.attempt != nil || call.loadRequest != nil):
		return ErrStopped
	case c.workerDraining:
		return ErrWorkerDraining
	case c.conn == nil && time.Now().Before(c.nextDialAt):
		return ErrBackoff
	case queued >= c.limits.MaxQueuedCalls || c.queuedBytes+size > c.limits.MaxQueuedBytes:
		return ErrQueueFull
	}
	return nil
}

// wake signals the write loop, or Run while there is no connection, that there may be something to write.
func (c *Client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// abortQueued ends a call with StatusUnsent if it is still queued, and reports whether it was.
func (c *Client) abortQueued(call *Call, reason error) bool {
	c.mu.Lock()
	queued := call.state == callQueued
	if queued {
		c.dequeue(call)
		c.finish(call)
	}
	c.mu.Unlock()
	if queued {
		call.done(Outcome{Status: StatusUnsent, Err: reason})
	}
	return queued
}

// dequeue removes a call from its queue. c.mu must be held.
func (c *Client) dequeue(call *Call) {
	queue := &c.controlQueue
	if call.attempt != nil {
		queue = &c.attemptQueue
		c.queuedBytes -= len(call.attempt.Body)
	}
	for i, queued := range *queue {
		if queued == call {
			*queue = append((*queue)[:i], (*queue)[i+1:]...)
			return
		}
	}
}

// finish marks a call as completed and removes it: it has an outcome, and no answer of the worker is expected. c.mu
// must be held.
func (c *Client) finish(call *Call) {
	call.state = callCompleted
	delete(c.calls, call.seq)
	call.queueTimer.Stop()
}

// dropWithheld ends the calls at the heads of the queues that must no longer be sent. It stops at the first call of
// each queue that may be sent, and checks attempts only while the limit of attempts in flight allows one to be written.
// c.mu must be held.
func (c *Client) dropWithheld() {
	for len(c.controlQueue) > 0 && !c.controlQueue[0].mayBeSent() {
		c.dropCall(c.controlQueue[0])
	}
	for len(c.attemptQueue) > 0 && c.inFlight < c.maxInFlight {
		call := c.attemptQueue[0]
		if call.mayBeSent() {
			return
		}
		c.dropCall(call)
	}
}

// dropCall ends a queued call that must no longer be sent, with ErrWithheld. c.mu must be held.
func (c *Client) dropCall(call *Call) {
	c.dequeue(call)
	c.finish(call)
	go call.done(Outcome{Status: StatusUnsent, Err: ErrWithheld})
}

func (c *Call) mayBeSent() bool { return c.maySend == nil || c.maySend() }

// nextMessage removes and returns the next message to write: cancels first, then load requests and probes, then
// attempts up to the worker's limit of attempts in flight, and a drain notice if no attempt can be written.
func (c *Client) nextMessage() message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropWithheld()
	switch {
	case len(c.cancelQueue) > 0:
		call := c.cancelQueue[0]
		c.cancelQueue = c.cancelQueue[1:]
		return message{body: &Cancel{Seq: call.seq}, cancelled: call}
	case len(c.controlQueue) > 0:
		call := c.controlQueue[0]
		c.startWriting(call)
		if call.loadRequest == nil {
			return message{body: &Probe{Seq: call.seq}, call: call}
		}
		call.loadRequest.Seq = call.seq
		return message{body: call.loadRequest, call: call}
	case len(c.attemptQueue) > 0 && c.inFlight < c.maxInFlight:
		call := c.attemptQueue[0]
		c.startWriting(call)
		c.inFlight++
		call.attempt.Seq, call.attempt.TimeLeft = call.seq, max(0, time.Until(call.deadline))
		if !call.startBy.IsZero() {
			call.attempt.StartWithin = max(1, time.Until(call.startBy))
		}
		return message{body: call.attempt, call: call}
	case c.drainNoticeRequested:
		return c.drainNotice()
	}
	return message{}
}

// startWriting removes a call from its queue to write it. c.mu must be held.
func (c *Client) startWriting(call *Call) {
	c.dequeue(call)
	call.queueTimer.Stop()
	call.state = callWriting
}

// drainNotice returns the drain notice the first time it is called, and an empty message after that. c.mu must be held.
func (c *Client) drainNotice() message {
	select {
	case <-c.drainNoticeSent:
		return message{}
	default:
	}
	close(c.drainNoticeSent)
	return message{body: &DrainNotice{Reason: drainReason}}
}
