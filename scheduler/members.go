package scheduler

import (
	"slices"
	"strings"
	"time"

	"lupinpond/internal/base/random"
)

// Condition is a worker's state in the registry.
type Condition int

// The conditions.
const (
	Up Condition = iota
	Draining
	Removed
)

// Member is one worker as the registry lists it.
type Member struct {
	Worker    string
	Zone      string
	Cell      string
	Kind      string
	Weight    float64 `cbor:"Size"` // its capacity, relative to others; 0: unknown
	Condition Condition
	Started   time.Duration // 0: long ago
}

// UpdateMembership takes changes of the worker registry. It costs what changes.
func (s *Scheduler) UpdateMembership(now time.Duration, changes []Member) {
	s.applyChanges(changes, now)
	s.finishUpdate()
}

// ReplaceMembership takes the complete worker registry: workers that it does not name are removed.
func (s *Scheduler) ReplaceMembership(now time.Duration, members []Member) {
	s.applyChanges(members, now)
	for _, w := range s.members.All() {
		if w.lastUpdate != s.updateCount {
			s.unlist(w, now)
		}
	}
	s.finishUpdate()
}

func (s *Scheduler) applyChanges(members []Member, now time.Duration) {
	s.updateCount++
	for _, member := range members {
		member.Weight = plausibleOrZero(member.Weight, maxPlausibleValue)
		s.updateMember(member, now)
	}
}

// finishUpdate brings up to date what depends on all members.
func (s *Scheduler) finishUpdate() {
	s.forgetUnlisted()
	s.updateMeanWeight()
	if s.fleetLimit.limit == 0 {
		s.fleetLimit = s.newLimit(initialWorkerLimit*float64(s.members.Len()), minFleetLimit)
		s.loadLimit = s.newLimit(initialWorkerLimit*float64(s.gateways), minWorkerLimit)
	}
	if s.subscribeAt > 0 { // at 0 nothing has been asked: the members of the start are no answer
		s.subscribeAt = never
	}
}

// WatchFailed notes that a subscription failed or was lost. The next attempt comes at a random time, not with
// those of all gateways.
func (s *Scheduler) WatchFailed(now time.Duration) {
	s.subscribeAt = now + s.subscribeInterval/2 + time.Duration(s.rng.IntN(int(s.subscribeInterval)))
}

// Members gives the workers that the registry lists, in the order of their names.
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

// updateMember takes one worker of a membership update.
func (s *Scheduler) updateMember(member Member, now time.Duration) {
	w := s.workers[member.Worker]
	if w != nil && member.Started != w.Started { // a restarted worker is empty and cold: a new one
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
	w.Member = member
	w.listed = true
	s.addToKind(w)
	if member.Condition == Removed {
		s.unlist(w, now)
	}
	s.updateCounters(w, now)
}

// addMember makes a worker a member of the fleet. Its slow start begins with a random part of the pause: not
// all gateways that learn of its start send at once.
func (s *Scheduler) addMember(name string, now time.Duration) *worker {
	w := &worker{
		hash:                random.Hash(name),
		adaptiveLimit:       s.newLimit(initialWorkerLimit, minWorkerLimit),
		lastSlowStartSend:   now,
		slowStartPauseShare: s.drawFraction(),
	}
	w.countersDeadline.Member = w
	s.workers[name] = w
	s.members.Add(w, &w.memberSlot)
	return w
}

// unlist marks a worker as no longer listed. It stays a member while attempts there are in flight.
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

// forgetUnlisted forgets workers no longer listed at which no attempt is in flight.
func (s *Scheduler) forgetUnlisted() {
	s.unlisted = slices.DeleteFunc(s.unlisted, func(w *worker) bool {
		over := !w.listed && len(w.attempts) == 0
		if over && w.memberSlot.In() {
			s.forgetMember(w)
		}
		return over || w.listed || !w.memberSlot.In()
	})
}

// forgetMember takes a member out of all indexes and counters.
func (s *Scheduler) forgetMember(w *worker) {
	s.removeFromKind(w)
	s.counters.replace(w.counters, counters{})
	s.deadlines.Clear(&w.countersDeadline)
	s.busy.Remove(&w.busySlot)
	s.members.Remove(&w.memberSlot)
	w.listed = false
	delete(s.workers, w.Worker)
}
