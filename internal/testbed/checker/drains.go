package checker

import (
	"time"

	"lupinpond/internal/registry"
)

// notice is a change of a worker's state as a gateway was notified of it.
type notice struct {
	at  time.Duration
	out bool // it drains or is removed
}

// drainNotices are what each gateway was notified of each worker, in its order.
type drainNotices map[drainKey][]notice

type drainKey struct{ gateway, worker string }

// checkDrains checks rule 3: nothing new to a draining or removed worker after the grace.
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

// checkDrain checks what was sent to a worker by a time.
func (e *evaluation) checkDrain(notices drainNotices, at place, end time.Duration, what string) {
	e.Checked[ruleDrains]++
	since, out := notices.outSince(drainKey{at.gateway.Name, at.worker}, end)
	if out && end > since+e.fleet.DrainGrace.Std() {
		at.at = end
		e.violated(ruleDrains, at, "%s %v after the notice that the worker is draining or removed", what, end-since)
	}
}

func newDrainNotices(deliveries []Delivery) drainNotices {
	notices := drainNotices{}
	known := map[string]map[string]bool{} // by gateway: the workers it has heard of
	for _, delivery := range deliveries {
		if known[delivery.Gateway] == nil {
			known[delivery.Gateway] = map[string]bool{}
		}
		workers := known[delivery.Gateway]
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

// outSince reports whether a worker was out by a time as far as a gateway was notified, and since when.
func (n drainNotices) outSince(key drainKey, end time.Duration) (since time.Duration, out bool) {
	for _, notice := range n[key] {
		if notice.at > end {
			break
		}
		if notice.out && !out {
			since = notice.at
		}
		out = notice.out
	}
	return since, out
}
