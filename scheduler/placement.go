package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/base/random"
)

// rendezvousScore orders the workers of a function for this front end by weighted rendezvous hashing: one of
// twice the size comes first twice as often.
func (s *Scheduler) rendezvousScore(w *worker, fn uint64) float64 {
	drawn := random.Mix(w.hash ^ random.Mix(fn+uint64(s.index+1)<<44))
	rank := -math.Log1p(-float64(drawn>>11)/(1<<53)) / s.relativeWeight(w)
	if s.zone != "" && w.Zone != s.zone { // crossing costs
		rank *= crossZoneFactor
	}
	return rank
}

// relativeWeight is a worker's part of the work over that of a mean one: its kind's mean, as each one's is told
// roughly, and by how long answers of that kind take over those of the same functions elsewhere.
func (s *Scheduler) relativeWeight(w *worker) float64 { return w.kind.effectiveWeight() / s.meanWeight }

// walkSharedOrder begins the order of workers that all front ends share for a function. It is multi-probe consistent
// hashing: a worker is as far as its point on a circle lies after the nearest of the function's points, over
// its size. Each worker's place depends on itself alone: one that comes or goes moves only what is its own.
func (s *Scheduler) walkSharedOrder(f *function) {
	s.functionPoints = s.functionPoints[:0]
	point := random.Mix(f.id)
	for range pointsPerFunction {
		point = random.Mix(point + 1)
		s.functionPoints = append(s.functionPoints, point)
	}
	s.sharedOrder.Walk(s.functionPoints)
}

// acceptsLoad tells whether a worker may be asked to load a function.
func (s *Scheduler) acceptsLoad(w *worker, f *function, now time.Duration) bool {
	return s.hasCapacity(w, now) && now >= w.rejections[f.tenant].until &&
		!slices.ContainsFunc(f.replicaSets, func(replicas *replicaSet) bool { return replicas.worker == w && now < replicas.rejectingUntil })
}

// placeReplica chooses the worker for a load: for a first replica one of the preferred workers, for others
// any.
func (s *Scheduler) placeReplica(f *function, first bool, now time.Duration) *worker {
	if !first {
		return s.randomWorker(f, now)
	}
	preferred := s.preferredWorkers(f, now)
	if len(preferred) == 0 {
		return s.randomWorker(f, now)
	}
	return slices.MinFunc(preferred, func(a, b *worker) int {
		return cmp.Compare(s.rendezvousScore(a, f.id), s.rendezvousScore(b, f.id))
	})
}

// preferredWorkers gives the first workers of the shared order for first replicas; those that hold many requests
// come last. Where hardly any accept, it does not look through the whole fleet.
func (s *Scheduler) preferredWorkers(f *function, now time.Duration) []*worker {
	wanted := s.preferredCount(f, now)
	first, last := s.preferredBuffer[:0], s.deprioritizedBuffer[:0]
	s.walkSharedOrder(f)
	for passed := 0; len(first) < wanted && passed < maxVisitsPerWanted*wanted+maxDraws; passed++ {
		w, more := s.sharedOrder.Next()
		if !more {
			break
		}
		if !s.acceptsLoad(w, f, now) {
			continue
		}
		if w.deprioritized(now) || float64(len(w.attempts)) >= nearLimitShare*w.limit {
			last = append(last, w)
		} else {
			first = append(first, w)
		}
	}
	first = append(first, last[:min(len(last), wanted-len(first))]...)
	s.preferredBuffer, s.deprioritizedBuffer = first, last
	return first
}

// randomWorker draws a worker that accepts a function, each as likely; nil where none is found in so many draws.
func (s *Scheduler) randomWorker(f *function, now time.Duration) *worker {
	all := s.members.All()
	if len(all) <= maxDraws {
		accepting := s.preferredBuffer[:0]
		for _, w := range all {
			if s.acceptsLoad(w, f, now) {
				accepting = append(accepting, w)
			}
		}
		s.preferredBuffer = accepting
		if len(accepting) == 0 {
			return nil
		}
		return accepting[s.rng.IntN(len(accepting))]
	}
	for range maxDraws {
		if w := all[s.rng.IntN(len(all))]; s.acceptsLoad(w, f, now) {
			return w
		}
	}
	return nil
}

// preferredCount is the number of workers for first replicas of a function, by its part of the traffic: each
// front end sees few of its requests at the first worker of the shared order; together they would overrun it.
func (s *Scheduler) preferredCount(f *function, now time.Duration) int {
	part := (f.arrivals.UpperSum(now) - s.arrivalDiscount) / (s.arrivals.UpperSum(now) + priorArrivals)
	return max(1, int(s.placementWidth*part*float64(min(s.gateways, s.members.Len()))))
}

// estimatePlacement estimates how much of a seen request is luck (absolute discounting): all where functions come once
// only, little where those seen once come twice as a rule. It fits first replicas into the workers' memory
// too.
func (s *Scheduler) estimatePlacement(now time.Duration) {
	s.nextPlacementEstimate = now + trafficWindow/8
	seen, once, twice, need, room := 0.0, 0.0, 0.0, int64(0), 0.0
	for _, f := range s.functions {
		switch n := f.arrivals.UpperSum(now); n {
		case 0:
			continue
		case 1:
			once++
		case 2:
			twice++
		}
		seen, need = seen+1, need+int64(f.replicaMemory)
	}
	for _, kind := range s.orderedKinds {
		room += firstReplicaMemoryShare * kind.workerMemory * kind.workerCount
	}
	s.arrivalDiscount = (once + priorFunctions) / (once + 2*twice + 2*priorFunctions)
	if s.placementWidth = maxPlacementWidth; room > 0 && need > 0 { // beyond a replica of each
		fits := (room/float64(need) - 1) * seen / float64(s.members.Len())
		s.placementWidth = min(maxPlacementWidth, max(minPlacementWidth, fits))
	}
}

// canSend tells whether a request may go to an assumed replica now. A half-open worker gets what may go again
// first.
func (s *Scheduler) canSend(replicas *replicaSet, request *Request, now time.Duration) bool {
	w := replicas.worker
	soon := max(request.objectiveDeadline-now, fractionOf(acceptableLatencyShare, request.typ.Objective)) // who is late already does not wait long
	return s.delayPerQueued*w.knownQueueDepth(now) <= float64(soon) && replicas.replicas > 0 &&
		now >= max(replicas.rejectingUntil, w.rejections[request.Tenant].until) && s.hasCapacity(w, now) && !s.atFleetLimit() &&
		s.mayRunOn(request, w, now) && s.slowStartAllows(w, request, now) &&
		(!w.halfOpen || request.typ.Effect != AtMostOnce || now >= w.ejectedUntil+w.ejectionDuration)
}

// findWarmReplica finds a replica assumed warm: a free slot by the salted order, or with spill the fewest own in
// flight.
func (s *Scheduler) findWarmReplica(f *function, request *Request, spill bool, now time.Duration) (best *replicaSet) {
	var first float64
	for _, replicas := range f.replicaSets {
		var r float64
		if spill {
			r = (replicas.worker.knownQueueDepth(now) + float64(len(replicas.worker.attempts)+1)) / s.relativeWeight(replicas.worker)
		} else if replicas.inFlight < replicas.replicas*f.concurrency && replicas.worker != request.avoid {
			r = rankBehind(s.rendezvousScore(replicas.worker, f.id), replicas.worker.deprioritized(now)) + replicas.worker.knownQueueDepth(now)
		} else {
			continue
		}
		if (best == nil || r < first) && s.canSend(replicas, request, now) {
			best, first = replicas, r
		}
	}
	return best
}
