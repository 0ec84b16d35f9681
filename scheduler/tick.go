package scheduler

import (
	"math"
	"slices"
	"time"
)

// never is a time that is never reached.
const never time.Duration = math.MaxInt64

// queuePass is one of the two passes over the queues at a tick: requests that can meet their latency
// objective are sent before all those that cannot, so that the latter do not delay others beyond their
// objective.
type queuePass int

const (
	onTimePass queuePass = iota
	latePass
)

// Tick returns the actions that are due now, and the delay until the next call of Tick.
func (s *Scheduler) Tick(now time.Duration) TickResult {
	var due TickResult
	if now >= s.subscribeAt {
		due.Subscribe = true
		s.subscribeAt = now + resubscribeIntervals*s.subscribeInterval
	}
	s.updateFleetState(now)
	leaseWake := s.renewLeases(now, &due)
	s.ejectUnresponsive(now)
	s.cancelAtEjected(now, &due)
	for _, f := range s.activeFunctions {
		s.expireAssumptions(f, now)
		s.releaseQueue(f, onTimePass, now, &due)
	}
	s.queryForQueues(now, &due)
	s.rebalance(now, &due)
	wake := min(s.subscribeAt, leaseWake, s.queryDraining(now, &due))
	for _, f := range s.activeFunctions {
		wake = min(wake, s.releaseQueue(f, latePass, now, &due), s.scaleUp(f, now, &due))
	}
	s.activeFunctions = slices.DeleteFunc(s.activeFunctions, func(f *function) bool {
		f.active = len(f.queue) > 0
		return !f.active
	})
	due.Probes, s.pendingProbes = append(due.Probes, s.pendingProbes...), nil
	due.LeaseEvents, s.leaseEvents = s.leaseEvents, nil
	if s.busy.Len() > 0 {
		wake = min(wake, now+s.longestObjective/unresponsiveChecks)
	}
	if wake < never {
		due.Next = max(wake-now, s.minTickInterval, time.Microsecond)
	}
	return due
}

// cancelAtEjected cancels the attempts at workers that were just ejected, if there is time for another
// attempt and the request may be retried.
func (s *Scheduler) cancelAtEjected(now time.Duration, due *TickResult) {
	for _, request := range s.cancelCandidates {
		if s.attemptPolicy.Cancel && request.target != nil && !request.closed && request.typ.retryableAnywhere() &&
			request.attempts < s.attemptPolicy.MaxAttempts && now+s.deadlineMargin(request) < request.deadline {
			due.Decisions = append(due.Decisions,
				Decision{Request: request, Action: Cancel, Attempt: request.attempts - 1})
		}
	}
	s.cancelCandidates = s.cancelCandidates[:0]
}

// rebalance requests first replicas of functions whose current ones may be at the wrong worker.
func (s *Scheduler) rebalance(now time.Duration, due *TickResult) {
	for _, f := range s.rebalanceCandidates {
		w := s.placeFirstReplica(f, now)
		if w != nil && now >= w.backloggedUntil && !s.overloaded && f.replicaSetAt(w).empty() {
			s.requestFirstLoad(f, now, due)
		}
	}
	s.rebalanceCandidates = s.rebalanceCandidates[:0]
}

// releaseQueue sends a function's queued requests, oldest first, and rejects or fails those that can no
// longer be served in time (rule 1) or at all. It returns the time at which it must be called again if no
// event happens.
func (s *Scheduler) releaseQueue(
	f *function, pass queuePass, now time.Duration, due *TickResult,
) (wake time.Duration) {
	wake = never
	queued := f.queue[:0]
	for _, request := range f.queue {
		if request.closed {
			continue
		}
		var replicas *replicaSet
		cutoff := request.deadline - s.deadlineMargin(request)
		reason := s.unservableReason(request, cutoff, now)
		if reason == NoReason && s.passOf(request, now) == pass {
			var recheckAt time.Duration
			replicas, reason, recheckAt = s.dispatch(request, pass, now)
			wake = min(wake, recheckAt)
		}
		switch {
		case reason != NoReason:
			due.Decisions = append(due.Decisions, s.rejectOrFail(request, reason, now))
		case replicas != nil:
			due.Decisions = append(due.Decisions, s.send(request, replicas, now))
		default:
			queued = append(queued, request)
			wake = min(wake, cutoff)
		}
	}
	f.queue = queued
	return wake
}

func (s *Scheduler) passOf(request *Request, now time.Duration) queuePass {
	if now+s.expectedDuration(request.function) > request.objectiveDeadline {
		return latePass
	}
	return onTimePass
}

// unservableReason returns why a queued request can no longer be served, or NoReason. From the time cutoff
// on, no response would arrive before its deadline.
func (s *Scheduler) unservableReason(request *Request, cutoff, now time.Duration) Reason {
	switch {
	case now >= cutoff:
		return NoTimeLeft
	case s.noLeases && !s.waitsForWatchAnswer(request, now):
		return NoLeasedWorker
	case s.mustNotRunAgain(request, now):
		return NotRetryable
	}
	return NoReason
}

// dispatch returns the replicas that a queued request is sent to now, or a reason to reject it. If it returns
// neither, the request stays in the queue and is checked again by the returned time.
func (s *Scheduler) dispatch(
	request *Request, pass queuePass, now time.Duration,
) (*replicaSet, Reason, time.Duration) {
	f := request.function
	if replicas := s.freeReplica(f, request, now); replicas != nil {
		w := replicas.worker
		// if requests are queued at the worker, a report of replicas at another one may arrive soon
		if !s.ensureFreshReport(w, now) || now < min(w.backloggedUntil, request.submittedAt+initialLatency) {
			return nil, NoReason, now + initialLatency
		}
		return replicas, NoReason, never
	}
	if now < request.submittedAt+fractionOf(spillWaitShare, request.typ.Objective) {
		return nil, NoReason, never
	}
	replicas := s.spillReplica(f, request, now)
	if replicas == nil && request.mayHaveRun == nil && (pass == latePass || request.overQuota) && s.overloaded {
		return nil, FleetOverloaded, never
	}
	return replicas, NoReason, never
}
