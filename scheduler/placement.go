package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/base/random"
)

// rendezvousScore returns the score by which this gateway orders the workers for a function, the lowest
// first. It is weighted rendezvous hashing: a worker with twice the weight is first twice as often.
func (s *Scheduler) rendezvousScore(w *worker, functionID uint64) float64 {
	hash := random.Mix(w.hash ^ random.Mix(functionID+uint64(s.index+1)<<44))
	score := -math.Log1p(-float64(hash>>11)/(1<<53)) / s.relativeWeight(w)
	if s.zone != "" && w.Zone != s.zone {
		score *= crossZoneFactor
	}
	return score
}

// iterateSharedOrder starts an iteration over the shared order of workers for a function, which is the same
// at all gateways. It is multi-probe consistent hashing: workers are ordered by the distance from the nearest
// preceding point of the function on a circle to the worker's point, divided by the weight of the worker's
// kind. The point of a worker doesn't depend on other workers, so one that joins or leaves moves only the
// functions that are placed on it.
func (s *Scheduler) iterateSharedOrder(f *function) {
	s.functionPoints = s.functionPoints[:0]
	point := random.Mix(f.id)
	for range pointsPerFunction {
		point = random.Mix(point + 1)
		s.functionPoints = append(s.functionPoints, point)
	}
	s.sharedOrder.Walk(s.functionPoints)
}

// loadFilter reports whether a worker may be asked to load a function.
type loadFilter func(w *worker, f *function, now time.Duration) bool

// acceptsLoad reports whether a worker may be asked to load a function.
func (s *Scheduler) acceptsLoad(w *worker, f *function, now time.Duration) bool {
	return s.hasLease(w, now) && s.acceptsLoadIfLeased(w, f, now)
}

// acceptsLoadIfLeased reports whether a worker may be asked to load a function, provided that it has a lease.
func (s *Scheduler) acceptsLoadIfLeased(w *worker, f *function, now time.Duration) bool {
	return s.usableIfLeased(w, now) && float64(len(w.attempts)) < w.limit &&
		now >= w.rejections[f.tenant].until &&
		!slices.ContainsFunc(f.replicaSets, func(r *replicaSet) bool {
			return r.worker == w && now < r.rejectingUntil
		})
}

// placeFirstReplica chooses the worker for a function's first replica: one of the preferred workers, if any
// of them accepts it.
func (s *Scheduler) placeFirstReplica(f *function, now time.Duration) *worker {
	w := s.placeFirstReplicaAmong(f, s.acceptsLoad, now)
	if w == nil && s.watchExpired(now) { // few workers of a large fleet have a lease
		w = s.leasedWorkerFor(f, now)
	}
	return w
}

func (s *Scheduler) placeFirstReplicaAmong(f *function, accepts loadFilter, now time.Duration) *worker {
	preferred := s.preferredWorkers(f, accepts, now)
	if len(preferred) == 0 {
		return s.randomWorker(f, accepts, now)
	}
	return s.firstByRendezvous(preferred, f)
}

func (s *Scheduler) firstByRendezvous(workers []*worker, f *function) *worker {
	return slices.MinFunc(workers, func(a, b *worker) int {
		return cmp.Compare(s.rendezvousScore(a, f.id), s.rendezvousScore(b, f.id))
	})
}

// preferredWorkers returns the first workers of the shared order that accept a function, with deprioritized
// workers and those near their limit last. The number of workers visited is bounded, so that it does not
// search the whole fleet when hardly any worker accepts the function.
func (s *Scheduler) preferredWorkers(f *function, accepts loadFilter, now time.Duration) []*worker {
	wanted := s.preferredCount(f, now)
	preferred, deprioritized := s.preferredBuffer[:0], s.deprioritizedBuffer[:0]
	s.iterateSharedOrder(f)
	for visited := 0; len(preferred) < wanted && visited < maxVisitsPerWanted*wanted+maxSampled; visited++ {
		w, more := s.sharedOrder.Next()
		if !more {
			break
		}
		if !accepts(w, f, now) {
			continue
		}
		if w.deprioritized(now) || float64(len(w.attempts)) >= nearLimitShare*w.limit {
			deprioritized = append(deprioritized, w)
		} else {
			preferred = append(preferred, w)
		}
	}
	preferred = append(preferred, deprioritized[:min(len(deprioritized), wanted-len(preferred))]...)
	s.preferredBuffer, s.deprioritizedBuffer = preferred, deprioritized
	return preferred
}

// randomWorker returns a random one of the workers that accept a function, each with the same probability. It
// returns nil if there is none, or if none was found among maxSampled random workers of a large fleet.
func (s *Scheduler) randomWorker(f *function, accepts loadFilter, now time.Duration) *worker {
	all := s.members.All()
	if len(all) > maxSampled {
		for range maxSampled {
			if w := all[s.rng.IntN(len(all))]; accepts(w, f, now) {
				return w
			}
		}
		return nil
	}
	accepting := s.preferredBuffer[:0]
	for _, w := range all {
		if accepts(w, f, now) {
			accepting = append(accepting, w)
		}
	}
	s.preferredBuffer = accepting
	if len(accepting) == 0 {
		return nil
	}
	return accepting[s.rng.IntN(len(accepting))]
}

// preferredCount returns the number of preferred workers of a function, which is proportional to its share of
// the traffic: if all gateways sent the requests of a busy function to the first worker of the shared order,
// they would together overload it, although each sends few.
func (s *Scheduler) preferredCount(f *function, now time.Duration) int {
	share := (f.arrivals.UpperSum(now) - s.arrivalDiscount) / (s.arrivals.UpperSum(now) + priorArrivals)
	return max(1, int(s.placementWidth*share*float64(min(s.gateways, s.members.Len()))))
}

// estimatePlacement estimates how many of a function's arrivals are due to chance (absolute discounting): all
// if functions are called only once, few if most functions that are called once are called again. It also
// estimates how many first replicas fit into the workers' memory.
func (s *Scheduler) estimatePlacement(now time.Duration) {
	s.nextPlacementEstimate = now + trafficWindow/placementEstimates
	calledFunctions, calledOnce, calledTwice := 0.0, 0.0, 0.0
	needed, available := int64(0), 0.0 // memory
	for _, f := range s.functions {
		switch arrivals := f.arrivals.UpperSum(now); arrivals {
		case 0:
			continue
		case 1:
			calledOnce++
		case 2:
			calledTwice++
		}
		calledFunctions++
		needed += int64(f.replicaMemory) // integers: the sum is independent of map order
	}
	for _, kind := range s.orderedKinds {
		available += firstReplicaMemoryShare * kind.workerMemory * kind.workerCount
	}
	s.arrivalDiscount = (calledOnce + priorFunctions) / (calledOnce + 2*calledTwice + 2*priorFunctions)
	s.placementWidth = maxPlacementWidth
	if available > 0 && needed > 0 { // memory that remains after one replica of each function
		fits := (available/float64(needed) - 1) * calledFunctions / float64(s.members.Len())
		s.placementWidth = min(maxPlacementWidth, max(minPlacementWidth, fits))
	}
}
