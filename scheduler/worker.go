package scheduler

import (
	"cmp"
	"time"

	"lupinpond/scheduler/internal/fleetindex"
)

// worker is the state of one member of the fleet.
type worker struct {
	Member
	adaptiveLimit // limit of attempts in flight
	kind          *workerKind
	hash          uint64 // hash of its name, its point in the shared order
	attempts      []*Request

	// Membership.
	listed     bool // the registry lists it
	lastUpdate int  // number of the last membership update that listed it

	// Positions in the indexes of the fleet.
	counters         counters                     // its part of the fleet counters
	countersDeadline fleetindex.Deadline[*worker] // when the passing of time changes counters
	memberSlot       fleetindex.Slot              // in Scheduler.members
	busySlot         fleetindex.Slot              // in Scheduler.busy
	ringNode         *fleetindex.Node[*worker]    // in the shared order; nil: it doesn't accept new work

	// Ejection.
	lastSuccess         time.Duration
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejectionDuration    time.Duration // duration of the last ejection, without its random part
	halfOpen            bool          // ejected since its last success; one request may test its recovery

	// Load reports and probes.
	reportedAt      time.Duration
	queueDepth      float64       // last reported or estimated queue
	backloggedUntil time.Duration // until then requests of other gateways are assumed to be queued
	slowUntil       time.Duration // until then it is chosen last, because its only attempt missed its objective
	probeInFlight   bool
	probedAt        time.Duration
	unresponsive    bool // the last probe failed, and no success has followed

	rejections map[string]rejection // by tenant

	// Lease.
	lease       workerLease
	leased      bool          // it had a lease at the last check, after the watch lease expired
	restartedAt time.Duration // when it recovered while the registry was unreachable; 0: it did not

	// Slow start.
	lastSlowStartSend   time.Duration // time of the last attempt, or when it became a member
	slowStartPauseShare float64       // share of the pause to wait after lastSlowStartSend
}

// rejection is the state of a worker that rejects a tenant's requests.
type rejection struct {
	consecutive int           // number of consecutive rejections
	until       time.Duration // the tenant's requests avoid the worker until then
}

// acceptsNewWork reports whether a worker accepts new work according to the registry: it is listed, and
// neither draining nor removed (rule 3).
func (w *worker) acceptsNewWork() bool { return w.listed && w.Condition == Up }

// listedWeight returns the weight that the registry lists, or 1 if it lists none.
func (w *worker) listedWeight() float64 { return cmp.Or(w.Weight, 1) }

// knownQueueDepth returns the reported or estimated number of requests queued at the worker, or 0 if no valid
// report shows requests of other gateways there.
func (w *worker) knownQueueDepth(now time.Duration) float64 {
	if now < w.backloggedUntil {
		return w.queueDepth
	}
	return 0
}

// deprioritized reports whether a worker is chosen last: requests of other gateways are queued there, its
// only attempt missed its objective, or the worker is unresponsive.
func (w *worker) deprioritized(now time.Duration) bool {
	return now < max(w.backloggedUntil, w.slowUntil) || w.probeOverdue(now)
}

// probeOverdue reports whether a probe failed or was not answered in time: replicas that the worker is
// loading may be lost.
func (w *worker) probeOverdue(now time.Duration) bool {
	return w.unresponsive || w.probeInFlight && now >= w.probedAt+initialLatency
}
