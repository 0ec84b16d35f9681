package scheduler

import (
	"slices"
	"time"
)

// Complete records the outcome of a request's attempt and returns what to do with the request.
func (s *Scheduler) Complete(now time.Duration, request *Request, outcome Outcome) Decision {
	replicas := request.target
	if replicas == nil {
		return Decision{Request: request, Action: NoAction}
	}
	w := replicas.worker
	s.updateFleetState(now)
	queueEmpty := s.applyReport(w, outcome.Report, now) && outcome.Report.QueueDepth < 1
	if outcome.Duration >= request.typ.Objective && len(w.attempts) == 1 {
		w.slowUntil = now + s.longestObjective
	}
	request.target = nil
	replicas.inFlight--
	w.attempts = slices.DeleteFunc(w.attempts, func(other *Request) bool { return other == request })
	s.recordWorkResult(request.function, w, outcome.Result, request.sentAt, now)
	s.recordOutcome(request, replicas, outcome, queueEmpty, now)
	s.updateCounters(w, now)
	if request.mayHaveRun == nil && outcome.Result.mayHaveRun() {
		request.mayHaveRun = w
		request.mayHaveRunSince = request.sentAt
	}
	if outcome.Final || request.closed {
		request.closed = true
		return Decision{Request: request, Action: NoAction}
	}
	request.avoid = w
	if outcome.Result == LeaseExpired { // nothing was sent
		request.attempts--
	}
	switch {
	case outcome.Result == Withheld:
		return s.rejectOrFail(request, AttemptWithheld, now)
	case s.mustNotRunAgain(request, now):
		return s.rejectOrFail(request, NotRetryable, now)
	case request.attempts >= s.attemptPolicy.MaxAttempts:
		return s.rejectOrFail(request, AttemptsExhausted, now)
	case now+s.deadlineMargin(request) >= request.deadline:
		return s.rejectOrFail(request, NoTimeLeft, now)
	}
	return s.enqueue(request)
}

// mayHaveRun reports whether a request may have run in an attempt with this result, other than Completed.
func (r Result) mayHaveRun() bool {
	return r == Failed || r == TimedOut || r == ConnectionLost || r == Cancelled
}

// recordOutcome updates the state of the worker, of its replicas and of the function by the outcome of an
// attempt. queueEmpty is true if the worker reported an empty queue with the outcome.
func (s *Scheduler) recordOutcome(request *Request, replicas *replicaSet, outcome Outcome, queueEmpty bool,
	now time.Duration) {
	w, f := replicas.worker, request.function
	switch outcome.Result {
	case Completed:
		s.completedWork.Add(now, s.expectedWork(request))
		w.recordSuccess(now)
		replicas.loaded = max(1, replicas.loaded)
		replicas.assumedUntil = now + s.loadPolicy.ReplicaIdleTimeout
		delete(w.rejections, request.Tenant)
		if outcome.ReplicaState == ReplicaWarm || outcome.ReplicaState == ReplicaUnknown && !request.sentCold {
			f.runTimes.Add(outcome.Duration, functionSamples)
			s.adaptLimits(w, request, outcome.Duration, now)
		}
	case Rejected:
		s.recordRejection(request, replicas, queueEmpty, now)
	case Unreachable, ConnectionLost:
		// the replicas stay: a crashed process is listed again with a new start time, unlike one whose
		// connection broke
		s.recordFailure(w, now)
	case TimedOut:
		s.adaptLimits(w, request, outcome.Duration, now)
		if request.sentAt >= w.lastSuccess {
			s.recordFailure(w, now)
		}
	case Failed, NotFound:
		replicas.loaded = 0
		if outcome.Result == Failed && outcome.ReplicaState != ReplicaLoadFailed {
			s.recordFailure(w, now)
		}
	}
}

// recordRejection records the rejection of a request by a worker. Whatever the reason, a tenant that is
// rejected repeatedly is served by other workers, while the worker keeps the other tenants.
func (s *Scheduler) recordRejection(
	request *Request, replicas *replicaSet, queueEmpty bool, now time.Duration,
) {
	w, f := replicas.worker, request.function
	consecutive := min(w.rejections[request.Tenant].consecutive+1, maxRejectionDoublings)
	replicas.rejectingUntil = now + fractionOf(rejectionBackoffShare, f.typ.Objective)<<consecutive
	w.limit = max(minWorkerLimit, w.limit*rejectionLimitFactor)
	rejected := rejection{consecutive: consecutive}
	if f.tenant != "" && queueEmpty { // the worker has capacity: it rejects only this tenant
		rejected.until = replicas.rejectingUntil
	}
	if w.rejections == nil {
		w.rejections = map[string]rejection{}
	}
	w.rejections[request.Tenant] = rejected
}

// rejectOrFail ends a request: it is rejected if a retry by the client is harmless, and fails otherwise.
func (s *Scheduler) rejectOrFail(request *Request, reason Reason, now time.Duration) Decision {
	request.closed = true
	request.reason = reason
	if s.mustNotRunAgain(request, now) || request.mayHaveRun != nil && !request.typ.retryableAnywhere() {
		return Decision{Request: request, Action: Fail}
	}
	longest := min(s.attemptPolicy.MaxRetryAfter, request.typ.Objective/2)
	// random, so that the clients don't retry at the same time
	retryAfter := longest/2 + time.Duration(s.rng.IntN(int(longest/2)+1))
	return Decision{Request: request, Action: Reject, RetryAfter: retryAfter}
}
