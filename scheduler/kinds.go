package scheduler

import "lupinpond/scheduler/internal/fleetindex"

// workerKind is the state of the workers of one kind.
type workerKind struct {
	weightSum    float64 // sum of the members' weights
	workerCount  float64 // number of members
	workerMemory float64 // memory of one worker; 0: unknown
	sampleCount  float64 // number of outcomes in slowness
	slowness     float64 // mean ratio of the latency at its workers to the function's mean latency
	ring         fleetindex.ScaledRing[*worker]
}

// effectiveWeight returns the mean weight of the kind's workers, divided by their slowness.
func (k *workerKind) effectiveWeight() float64 { return k.weightSum / k.workerCount / k.slowness }

// kindFor returns the worker kind with a name, and adds it if it is new.
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

// addToKind adds a member to its kind, and to the shared order if it accepts new work.
func (s *Scheduler) addToKind(w *worker) {
	w.kind = s.kindFor(w.Kind)
	w.kind.weightSum += w.listedWeight()
	w.kind.workerCount++
	if w.acceptsNewWork() {
		w.ringNode = w.kind.ring.Ring.Add(w, w.hash)
	}
}

func (s *Scheduler) removeFromKind(w *worker) {
	if w.kind == nil {
		return
	}
	w.kind.weightSum -= w.listedWeight()
	w.kind.workerCount--
	if w.kind.workerCount == 0 { // remove accumulated rounding errors
		w.kind.weightSum = 0
	}
	if w.ringNode != nil {
		w.kind.ring.Ring.Remove(w.ringNode)
	}
	w.ringNode = nil
}

// updateMeanWeight updates the mean weight of the members, each divided by the slowness of its kind, after a
// membership update or an outcome has changed the weight of a kind.
func (s *Scheduler) updateMeanWeight() {
	s.meanWeight = 0
	for _, kind := range s.orderedKinds {
		s.meanWeight += kind.weightSum / kind.slowness / float64(max(1, s.members.Len()))
	}
}

// relativeWeight returns the weight of a worker relative to the mean of all members. It is the weight of the
// worker's kind: the weights that workers report are rough, and slowness is measured per kind.
func (s *Scheduler) relativeWeight(w *worker) float64 { return w.kind.effectiveWeight() / s.meanWeight }
