package scheduler

import "time"

// Whether a draining worker rejects replica queries is not specified, and in an outage of the registry it
// decides whether an answered query is evidence. A worker that the registry lists as draining shows it, so
// each gateway queries one, while the registry is reachable too. A query is no new work.

// scheduleDrainingQuery schedules the query to a worker that is listed as draining, unless one is scheduled
// or it is known whether queries are reliable. The time is random, so that the gateways don't query all at
// once.
func (s *Scheduler) scheduleDrainingQuery(now time.Duration) {
	if s.drainingQueryAt == never && s.queryTrust == queriesUnknown && s.watchLease < never {
		s.drainingQueryAt = now + s.leaseTime + fractionOf(s.randomFraction(), s.leaseTime)
	}
}

// queryDraining sends the query that is due to a random worker that is listed as draining, and returns the
// time at which it must be called again. It repeats the query until it is known whether queries are reliable.
func (s *Scheduler) queryDraining(now time.Duration, due *TickResult) (wake time.Duration) {
	if now < s.drainingQueryAt {
		return s.drainingQueryAt
	}
	s.drainingQueryAt = never
	w := s.randomDrainingWorker()
	if w == nil {
		return never
	}
	s.scheduleDrainingQuery(now)
	if s.queryTrust == queriesUnknown && len(s.functions) > 0 && s.mayQuery(w, now) {
		s.sendQuery(s.functionsByTraffic(now)[0], w, now, due)
	}
	return s.drainingQueryAt
}

// randomDrainingWorker returns a random one of the workers that are listed as draining, or nil.
func (s *Scheduler) randomDrainingWorker() *worker {
	var draining []*worker
	for _, w := range s.members.All() {
		if w.listed && w.Condition == Draining {
			draining = append(draining, w)
		}
	}
	if len(draining) == 0 {
		return nil
	}
	return draining[s.rng.IntN(len(draining))]
}

// drainingQueryCompleted handles the result of a query to a worker that was listed as draining when the query
// was sent.
func (s *Scheduler) drainingQueryCompleted(w *worker, result Result, now time.Duration) {
	switch result {
	case Completed:
		s.distrustQueries(w)
	case Rejected:
		s.trustQueries(w)
	default:
		s.postponeQuery(w, now)
	}
}
