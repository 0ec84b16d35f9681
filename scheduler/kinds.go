package scheduler

import "lupinpond/scheduler/internal/fleetindex"

// workerKind is what is known of the workers of one kind.
type workerKind struct {
	weightSum    float64 // of the members' weights
	workerCount  float64 // members
	workerMemory float64 // of one worker; 0: unknown
	sampleCount  float64 // outcomes in slowness
	slowness     float64 // mean latency of its workers, over the mean of the functions they ran
	ring         fleetindex.ScaledRing[*worker]
}

// effectiveWeight is the mean weight of its workers, corrected by how slow they are.
func (k *workerKind) effectiveWeight() float64 { return k.weightSum / k.workerCount / k.slowness }

// kindFor is the kind of a name, made if it is not known.
func (s *Scheduler) kindFor(name string) *workerKind {
	if s.kinds[name] == nil {
		kind := &workerKind{slowness: 1}
		kind.ring.Scale = kind.effectiveWeight
		s.kinds[name] = kind
		s.orderedKinds = append(s.orderedKinds, kind)
		s.sharedOrder.Add(&kind.ring)
	}
	return s.kinds[name]
}

// addToKind counts a member among those of its kind. Those that may get something new are in the shared
// order.
func (s *Scheduler) addToKind(w *worker) {
	w.kind = s.kindFor(w.Kind)
	w.kind.weightSum += w.listedWeight()
	w.kind.workerCount++
	if w.acceptsNew() {
		w.ringNode = w.kind.ring.Ring.Add(w, w.hash)
	}
}

func (s *Scheduler) removeFromKind(w *worker) {
	if w.kind == nil {
		return
	}
	w.kind.weightSum -= w.listedWeight()
	w.kind.workerCount--
	if w.kind.workerCount == 0 { // no rounding error is left behind
		w.kind.weightSum = 0
	}
	if w.ringNode != nil {
		w.kind.ring.Ring.Remove(w.ringNode)
	}
	w.ringNode = nil
}

// updateMeanWeight renews the mean weight of the members after a membership update or an outcome has changed
// one.
func (s *Scheduler) updateMeanWeight() {
	s.meanWeight = 0
	for _, kind := range s.orderedKinds {
		s.meanWeight += kind.weightSum / kind.slowness / float64(max(1, s.members.Len()))
	}
}

// relativeWeight is a worker's share of the work over that of a mean one. It is its kind's: each worker's own
// weight is roughly reported, and slowness is learned of kinds.
func (s *Scheduler) relativeWeight(w *worker) float64 { return w.kind.effectiveWeight() / s.meanWeight }
