package scheduler

import (
	"math"
	"time"
)

// freeReplica returns replicas that are assumed to be loaded and have a free slot, at the first worker in
// this gateway's order, with deprioritized workers last. It avoids the worker of the last attempt.
func (s *Scheduler) freeReplica(f *function, request *Request, now time.Duration) (best *replicaSet) {
	var lowest float64
	for _, replicas := range f.replicaSets {
		w := replicas.worker
		if replicas.inFlight >= replicas.loaded*f.concurrency || w == request.avoid {
			continue
		}
		rank := s.rendezvousScore(w, f.id)
		if w.deprioritized(now) {
			rank += math.MaxUint32
		}
		rank += w.knownQueueDepth(now)
		if (best == nil || rank < lowest) && s.canSend(replicas, request, now) {
			best, lowest = replicas, rank
		}
	}
	return best
}

// spillReplica returns the replicas at which a request queues when no slot is free: those at the worker with
// the fewest queued and in-flight requests relative to its weight.
func (s *Scheduler) spillReplica(f *function, request *Request, now time.Duration) (best *replicaSet) {
	var lowest float64
	for _, replicas := range f.replicaSets {
		w := replicas.worker
		rank := (w.knownQueueDepth(now) + float64(len(w.attempts)+1)) / s.relativeWeight(w)
		if (best == nil || rank < lowest) && s.canSend(replicas, request, now) {
			best, lowest = replicas, rank
		}
	}
	return best
}

// canSend reports whether a request may be sent to replicas that are assumed to be loaded. A half-open worker
// is tested first by requests that may run again.
func (s *Scheduler) canSend(replicas *replicaSet, request *Request, now time.Duration) bool {
	w := replicas.worker
	// a request that already misses its objective must not be delayed for long either
	acceptable := max(request.objectiveDeadline-now, fractionOf(acceptableLatencyShare, request.typ.Objective))
	return s.queueDelay.perRequest*w.knownQueueDepth(now) <= float64(acceptable) && replicas.loaded > 0 &&
		now >= max(replicas.rejectingUntil, w.rejections[request.Tenant].until) &&
		s.hasCapacity(w, now) && !s.atFleetLimit() &&
		s.mayRunOn(request, w, now) && s.slowStartAllows(w, request, now) &&
		(!w.halfOpen || request.typ.Effect != AtMostOnce || now >= w.ejectedUntil+w.ejectionDuration)
}
