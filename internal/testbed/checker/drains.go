package checker

import (
	"time"

	"lupinpond/internal/registry"
)

// notice is a change of a worker's state that a gateway was notified of.
type notice struct {
	at          time.Duration
	unavailable bool // the worker is draining or removed
}

// drainNotices holds the notices that each gateway received about each worker, in the order of delivery.
type drainNotices map[drainKey][]notice

type drainKey struct{ gateway, worker string }

// checkDrains checks rule 3: no new work is sent to a draining or removed worker after the drain grace.
func (e *evaluation) checkDrains() {
	notices := newDrainNotices(e.input.Deliveries)
	for _, attempt := range e.traffic.attempts {
		e.checkDrain(notices, attempt.place(), attempt.end, "attempt sent")
	}
	for _, load := range e.traffic.loadRequests {
		if load.frame.Replicas > 0 {
			e.checkDrain(notices, load.place(), load.end, "load requested")
		}
	}
}

// checkDrain checks one attempt or load request, described by what, whose last byte was sent to the worker at end.
func (e *evaluation) checkDrain(notices drainNotices, at place, end time.Duration, what string) {
	e.Checked[ruleDrains]++
	since, unavailable := notices.unavailableSince(drainKey{at.gateway.Name, at.worker}, end)
	if unavailable && end > since+e.fleet.DrainGrace.Std() {
		at.at = end
		e.violated(ruleDrains, at, "%s %v after the notice that the worker is draining or removed", what, end-since)
	}
}

func newDrainNotices(deliveries []Delivery) drainNotices {
	notices := drainNotices{}
	knownWorkers := map[string]map[string]bool{} // by gateway: workers named in any event delivered to it
	for _, delivery := range deliveries {
		if knownWorkers[delivery.Gateway] == nil {
			knownWorkers[delivery.Gateway] = map[string]bool{}
		}
		workers := knownWorkers[delivery.Gateway]
		named := map[string]bool{}
		for _, entry := range delivery.Event.Entries {
			key := drainKey{delivery.Gateway, entry.Name}
			notices[key] = append(notices[key], notice{delivery.At, entry.State != registry.InService})
			workers[entry.Name], named[entry.Name] = true, true
		}
		if !delivery.Event.Complete {
			continue
		}
		for worker := range workers {
			if !named[worker] {
				key := drainKey{delivery.Gateway, worker}
				notices[key] = append(notices[key], notice{delivery.At, true})
			}
		}
	}
	return notices
}

// unavailableSince reports whether, according to the notices that the gateway had received by end, the worker was
// draining or removed, and since when.
func (n drainNotices) unavailableSince(key drainKey, end time.Duration) (since time.Duration, unavailable bool) {
	for _, notice := range n[key] {
		if notice.at > end {
			break
		}
		if notice.unavailable && !unavailable {
			since = notice.at
		}
		unavailable = notice.unavailable
	}
	return since, unavailable
}
