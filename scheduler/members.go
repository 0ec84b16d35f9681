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
	Weight    float64 `cbor:"Size"` // capacity relative to other workers; 0: unknown
	Condition Condition
	Started   time.Duration // start time of the process; 0: long ago
}

// UpdateMembership applies changes of the worker registry. Its cost is proportional to the number of changes.
func (s *Scheduler) UpdateMembership(now time.Duration, changes []Member) {
	s.applyChanges(changes, now)
	s.finishUpdate()
}

// ReplaceMembership applies the complete worker registry: workers that are not listed in it are removed.
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

// finishUpdate updates the state that depends on all members.
func (s *Scheduler) finishUpdate() {
	s.removeUnlisted()
	s.updateMeanWeight()
	if s.fleetLimit.limit == 0 {
		s.fleetLimit = s.newLimit(initialWorkerLimit*float64(s.members.Len()), minFleetLimit)
		s.loadLimit = s.newLimit(initialWorkerLimit*float64(s.gateways), minWorkerLimit)
	}
	if s.subscribeAt > 0 { // at 0 no subscription was sent yet: the initial members are no answer to one
		s.subscribeAt = never
	}
}

// WatchFailed records that a subscription failed or was lost. The next one is sent at a random time, so that
// the gateways don't all subscribe at once.
func (s *Scheduler) WatchFailed(now time.Duration) {
	s.subscribeAt = now + s.subscribeInterval/2 + time.Duration(s.rng.IntN(int(s.subscribeInterval)))
}

// Members returns the workers that the registry lists, sorted by name.
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

// updateMember applies one worker of a membership update.
func (s *Scheduler) updateMember(member Member, now time.Duration) {
	w := s.workers[member.Worker]
	if w != nil && member.Started != w.Started { // a restarted worker is like a new one: empty and cold
		s.removeMember(w)
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
	switch member.Condition {
	case Removed:
		s.unlist(w, now)
	case Draining:
		s.scheduleDrainingQuery(now)
	}
	s.updateCounters(w, now)
}

// addMember adds a worker to the members of the fleet. Its slow start begins with a random part of the pause,
// so that the gateways that are notified of its start at the same time don't all send at once.
func (s *Scheduler) addMember(name string, now time.Duration) *worker {
	w := &worker{
		hash:                random.Hash(name),
		adaptiveLimit:       s.newLimit(initialWorkerLimit, minWorkerLimit),
		lastSlowStartSend:   now,
		slowStartPauseShare: s.randomFraction(),
	}
	w.countersDeadline.Member = w
	s.workers[name] = w
	s.members.Add(w, &w.memberSlot)
	return w
}

// unlist marks a worker as no longer listed. It remains a member while attempts to it are in flight.
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

// removeUnlisted removes workers that are no longer listed and have no attempts in flight.
func (s *Scheduler) removeUnlisted() {
	s.unlisted = slices.DeleteFunc(s.unlisted, func(w *worker) bool {
		removable := !w.listed && len(w.attempts) == 0
		if removable && w.memberSlot.In() {
			s.removeMember(w)
		}
		return removable || w.listed || !w.memberSlot.In()
	})
}

// removeMember removes a member from all indexes and counters.
func (s *Scheduler) removeMember(w *worker) {
	s.removeFromKind(w)
	s.counters.replace(w.counters, counters{})
	s.deadlines.Clear(&w.countersDeadline)
	s.busy.Remove(&w.busySlot)
	s.members.Remove(&w.memberSlot)
	w.listed = false
	delete(s.workers, w.Worker)
}
