package scheduler

import "time"

// counter identifies one of the fleet counters, which count workers or attempts.
type counter int

const (
	eligible                      counter = iota // workers that accept new work according to the registry
	ejected                                      // workers that are ejected or half-open
	withCapacity                                 // workers with capacity for an attempt
	withCapacityIgnoringEjections                // workers with capacity, ejected or not
	recentlyReported                             // workers with a recent load report
	withoutQueue                                 // of these, workers without queued requests of other gateways
	attemptsInFlight                             // attempts at workers that are not half-open
	counterCount
)

// counters holds the fleet counters of one worker, or their sums over all members.
type counters [counterCount]int32

func (c *counters) set(which counter, counted bool) {
	if counted {
		c[which] = 1
	}
}

// replace updates the sums when the counters of one worker change from old to updated.
func (c *counters) replace(old, updated counters) {
	for which := range c {
		c[which] += updated[which] - old[which]
	}
}

// FleetState is the state of the fleet: Workers to InFlight after the last event, Overloaded as of the last
// decision, and WatchExpired and Leased as of the last Tick. SetWatchLease may also end WatchExpired.
type FleetState struct {
	Workers      int  // workers that accept new work according to the registry
	Ejected      int  // workers that are ejected or half-open
	WithCapacity int  // workers with capacity for an attempt
	InFlight     int  // attempts in flight at workers that are not half-open
	Overloaded   bool // the fleet is overloaded, see updateFleetState
	WatchExpired bool // the watch lease has expired: workers need leases of their own
	Leased       int  // workers with a lease at the last count of renewLeases
}

// FleetState returns the state of the fleet.
func (s *Scheduler) FleetState() FleetState {
	return FleetState{
		Workers:      int(s.counters[eligible]),
		Ejected:      int(s.counters[ejected]),
		WithCapacity: int(s.counters[withCapacity]),
		InFlight:     int(s.counters[attemptsInFlight]),
		Overloaded:   s.overloaded,
		WatchExpired: s.watchExpiryRecorded,
		Leased:       s.leasedCount,
	}
}

// updateFleetState determines, before each decision, the number of attempts in flight, whether ejections are
// ignored, and whether the fleet is overloaded: the attempts in flight have reached the fleet's limit, few
// workers have capacity, or few of those with a recent report are without queued requests of other gateways.
func (s *Scheduler) updateFleetState(now time.Duration) {
	s.expireDeadlines(now)
	counts := &s.counters
	s.inFlight = int(counts[attemptsInFlight])
	s.limitRounding = s.randomFraction()
	available := counts[withCapacity]
	if s.ejectionsIgnored {
		available = counts[withCapacityIgnoringEjections]
	}
	s.ejectionsIgnored = float64(counts[ejected]) > maxEjectedShare*float64(counts[eligible])
	s.overloaded = s.atFleetLimit() ||
		float64(available) < overloadCapacityShare*float64(max(counts[eligible], 1)) ||
		counts[recentlyReported] >= minOverloadReports &&
			float64(counts[withoutQueue]) < overloadCapacityShare*float64(counts[recentlyReported])
}

// atFleetLimit reports whether the attempts in flight have reached the fleet's limit. The limit is rounded at
// random, because among many gateways the limit of one may be less than one attempt.
func (s *Scheduler) atFleetLimit() bool {
	return float64(s.inFlight)+s.limitRounding >= s.fleetLimit.limit
}

// usable reports whether a worker is neither draining nor removed, by the registry and by its lease (rule 3),
// nor ejected. Ejections are ignored while most workers are ejected, so that some remain to send requests to.
func (s *Scheduler) usable(w *worker, now time.Duration) bool {
	return s.usableIfLeased(w, now) && s.hasLease(w, now)
}

// usableIfLeased reports whether a worker is usable, or would be if it had a lease.
func (s *Scheduler) usableIfLeased(w *worker, now time.Duration) bool {
	notEjected := now >= w.ejectedUntil && (!w.halfOpen || len(w.attempts) == 0)
	return w.acceptsNewWork() && (notEjected || s.ejectionsIgnored)
}

func (s *Scheduler) hasCapacity(w *worker, now time.Duration) bool {
	return s.usable(w, now) && float64(len(w.attempts)) < w.limit
}

// countersOf returns a worker's counters, and the time until which they are valid if no event changes them.
func (s *Scheduler) countersOf(w *worker, now time.Duration) (counts counters, until time.Duration) {
	until = never
	before := func(deadline time.Duration) bool {
		if now < deadline {
			until = min(until, deadline)
		}
		return now < deadline
	}
	ejectedNow, backlogged := before(w.ejectedUntil), before(w.backloggedUntil)
	available := w.acceptsNewWork() && float64(len(w.attempts)) < w.limit && !backlogged
	counts.set(eligible, w.acceptsNewWork())
	counts.set(ejected, ejectedNow || w.halfOpen)
	counts.set(withCapacityIgnoringEjections, available)
	counts.set(withCapacity, available && !ejectedNow && (!w.halfOpen || len(w.attempts) == 0))
	if w.reportedAt > 0 && before(w.reportedAt+reportExpiryObjectives*s.longestObjective) {
		counts.set(recentlyReported, true)
		counts.set(withoutQueue, w.queueDepth <= float64(len(w.attempts)))
	}
	if !w.halfOpen { // attempts at a half-open worker are stuck: other workers have to do their work
		counts[attemptsInFlight] = int32(len(w.attempts))
	}
	return counts, until
}

// updateCounters updates the counters after a change of a worker, and sets the deadline at which the passing
// of time will change them.
func (s *Scheduler) updateCounters(w *worker, now time.Duration) {
	if !w.memberSlot.In() { // the worker was removed, and another one may have its name
		return
	}
	counts, until := s.countersOf(w, now)
	s.counters.replace(w.counters, counts)
	w.counters = counts
	if until < never {
		s.deadlines.Set(&w.countersDeadline, until)
	} else {
		s.deadlines.Clear(&w.countersDeadline)
	}
	if busy := len(w.attempts) > 0; busy && !w.busySlot.In() {
		s.busy.Add(w, &w.busySlot)
	} else if !busy {
		s.busy.Remove(&w.busySlot)
	}
}

// expireDeadlines updates the counters of the workers whose deadlines have passed.
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
