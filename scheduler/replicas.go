package scheduler

import (
	"math"
	"time"
)

// freeReplica finds a free slot of a replica that is assumed warm: the first by this gateway's order of the
// workers, with deprioritized ones last. It avoids the worker of the last attempt.
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

// spillReplica finds a replica at which a request queues when no slot is free: where the fewest wait for the
// weight of the worker.
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

// canSend tells whether a request may go to replicas that are assumed warm. A half-open worker gets requests
// first that may run again.
func (s *Scheduler) canSend(replicas *replicaSet, request *Request, now time.Duration) bool {
	w := replicas.worker
	// a request that is late already does not wait long either
	acceptable := max(request.objectiveDeadline-now, fractionOf(acceptableLatencyShare, request.typ.Objective))
	return s.queueDelay.perRequest*w.knownQueueDepth(now) <= float64(acceptable) && replicas.loaded > 0 &&
		now >= max(replicas.rejectingUntil, w.rejections[request.Tenant].until) &&
		s.hasCapacity(w, now) && !s.atFleetLimit() &&
		s.mayRunOn(request, w, now) && s.slowStartAllows(w, request, now) &&
		(!w.halfOpen || request.typ.Effect != AtMostOnce || now >= w.ejectedUntil+w.ejectionDuration)
}
