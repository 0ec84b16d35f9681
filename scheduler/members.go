package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lupinpond/internal/base/random"
	"lupinpond/internal/base/window"
)

// updateMember takes one line of the list.
func (s *Scheduler) updateMember(member Member, now time.Duration) {
	w := s.workers[member.Worker]
	if w != nil && member.Started != w.Started { // a worker that starts anew is empty and cold: another one
		s.forgetMember(w)
		w = nil
	}
	if w == nil && member.Condition == Removed {
		return
	}
	if w == nil {
		w = s.addMember(member.Worker, now)
	}
	w.lastUpdate = s.updateCount
	if w.kind != nil && w.Member == member && w.listed {
		return
	}
	s.removeFromKind(w)
	w.Member, w.listed = member, true
	s.addToKind(w)
	if member.Condition == Removed {
		s.unlist(w, now)
	}
	s.updateCounters(w, now)
}

// Members gives the workers on the list, in the order of their names.
func (s *Scheduler) Members() []Member {
	var listed []Member
	for _, w := range s.members.All() {
		if w.listed {
			listed = append(listed, w.Member)
		}
	}
	slices.SortFunc(listed, func(a, b Member) int { return strings.Compare(a.Worker, b.Worker) })
	return listed
}

// addMember makes a worker a member of the fleet.
func (s *Scheduler) addMember(name string, now time.Duration) *worker {
	w := &worker{hash: random.Hash(name), adaptiveLimit: s.newLimit(initialWorkerLimit, minWorkerLimit),
		lastSlowStartSend: now, slowStartPauseShare: float64(s.rng.IntN(1000)) / 1000}
	w.countersDeadline.Member = w
	s.workers[name] = w
	s.members.Add(w, &w.memberSlot)
	return w
}

// unlist takes a worker off the list. It stays a member while attempts there are under way.
func (s *Scheduler) unlist(w *worker, now time.Duration) {
	if !w.listed {
		return
	}
	s.removeFromKind(w)
	w.listed = false
	s.addToKind(w)
	s.unlisted = append(s.unlisted, w)
	s.updateCounters(w, now)
}

// forgetUnlisted forgets those off the list at which nothing is under way.
func (s *Scheduler) forgetUnlisted() {
	s.unlisted = slices.DeleteFunc(s.unlisted, func(w *worker) bool {
		over := !w.listed && len(w.attempts) == 0
		if over && w.memberSlot.In() {
			s.forgetMember(w)
		}
		return over || w.listed || !w.memberSlot.In()
	})
}

// forgetMember takes a member out of all that is counted.
func (s *Scheduler) forgetMember(w *worker) {
	s.removeFromKind(w)
	s.counters.replace(w.counters, counters{})
	s.deadlines.Clear(&w.countersDeadline)
	s.busy.Remove(&w.busySlot)
	s.members.Remove(&w.memberSlot)
	w.listed = false
	delete(s.workers, w.Worker)
}

// addToKind counts a member among those of its kind. Those that may get something new are in the shared order.
func (s *Scheduler) addToKind(w *worker) {
	w.kind = s.kindFor(w.Kind)
	w.kind.weightSum, w.kind.workerCount = w.kind.weightSum+w.listedWeight(), w.kind.workerCount+1
	if w.acceptsNew() {
		w.ringNode = w.kind.ring.Ring.Add(w, w.hash)
	}
}

func (s *Scheduler) removeFromKind(w *worker) {
	if w.kind == nil {
		return
	}
	w.kind.weightSum, w.kind.workerCount = w.kind.weightSum-w.listedWeight(), w.kind.workerCount-1
	if w.kind.workerCount == 0 { // no rounding is left behind
		w.kind.weightSum = 0
	}
	if w.ringNode != nil {
		w.kind.ring.Ring.Remove(w.ringNode)
	}
	w.ringNode = nil
}

// updateMeanWeight takes the mean size after the list or an answer has changed one.
func (s *Scheduler) updateMeanWeight() {
	s.meanWeight = 0
	for _, kind := range s.orderedKinds {
		s.meanWeight += kind.weightSum / kind.slowness / float64(max(1, s.members.Len()))
	}
}

// updateCounters brings the counts of the fleet up to date after something of a worker has changed that they depend on, and has it
// looked at again when time alone changes them.
func (s *Scheduler) updateCounters(w *worker, now time.Duration) {
	if !w.memberSlot.In() { // another one has its name by now
		return
	}
	counts, until := s.countersOf(w, now)
	s.counters.replace(w.counters, counts)
	w.counters = counts
	if until < math.MaxInt64 {
		s.deadlines.Set(&w.countersDeadline, until)
	} else {
		s.deadlines.Clear(&w.countersDeadline)
	}
	if working := len(w.attempts) > 0; working && !w.busySlot.In() {
		s.busy.Add(w, &w.busySlot)
	} else if !working {
		s.busy.Remove(&w.busySlot)
	}
}

// expireDeadlines counts anew the workers of which time alone has changed something.
func (s *Scheduler) expireDeadlines(now time.Duration) {
	if s.countersStale {
		s.countersStale = false
		for _, w := range s.members.All() {
			s.updateCounters(w, now)
		}
	}
	for {
		w, found := s.deadlines.PopExpired(now)
		if !found {
			return
		}
		s.updateCounters(w, now)
	}
}

// functionFor is what is known of a request's function, from now on if not before.
func (s *Scheduler) functionFor(request *Request, now time.Duration) *function {
	f := s.functions[request.Function]
	if f == nil {
		if len(s.functions) >= 2*s.functionsAfterCleanup+functionSamples { // functions long idle are forgotten
			maps.DeleteFunc(s.functions, func(_ uint64, g *function) bool {
				s.expireAssumptions(g, now)
				return len(g.replicaSets)+len(g.queue) == 0 && g.arrivals.UpperSum(now) == 0
			})
			s.functionsAfterCleanup = len(s.functions)
		}
		f = &function{id: request.Function, tenant: request.Tenant, arrivals: window.New(4 * trafficWindow)}
		s.functions[request.Function] = f
	}
	if f.tenant != request.Tenant { // it serves many: a rejection says nothing of one of them
		f.tenant = ""
	}
	return f
}
