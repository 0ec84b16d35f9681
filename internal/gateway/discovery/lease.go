package discovery

import (
	"context"
	"errors"
	"time"

	"lupinpond/internal/gateway/stall"
)

// The endpoint list is valid for a limited time, its lease: the gateway is considered notified of events that the
// service could not deliver once Limits.DeliveryBound has passed since the service became unreachable. That moment is
// unknown, but it is later than the time at which the last accepted poll was sent, because the answer to that poll
// contained all events up to a later time. The lease is therefore counted from the time at which the poll was sent.

// Freshness describes the age of the endpoint list, for logs and metrics.
type Freshness struct {
	Age      time.Duration // time since the list was last known to be complete, or since the start if it never was
	Expired  bool          // whether the lease has expired: the list may lack events
	Answered int64         // number of polls whose answer renewed the lease
	Failed   int64         // number of poll rounds that ended with an error, except by a change of address
}

// OnLeaseChange sets f to be called with the expiry time of the list's lease, once immediately and then at each change.
// It must be called before Run.
func (w *Watcher) OnLeaseChange(f func(expires time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onLease = f
	f(w.leaseExpires)
}

// SetListTime sets the time at which the list applied at the start was complete, if that was before the Watcher was
// created. It must be called before Run.
func (w *Watcher) SetListTime(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completeAt = at
	w.setLeaseLocked(at)
}

// Freshness returns the current freshness of the endpoint list.
func (w *Watcher) Freshness() Freshness {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Freshness{
		Age:      time.Since(w.completeAt),
		Expired:  time.Now().After(w.leaseExpires),
		Answered: w.answered,
		Failed:   w.failed,
	}
}

// Stalled records a stall of the process, which began at the given time and has ended. Polls that were sent before its
// end don't show what happened during it. The lease therefore ends with its beginning until a later poll is answered,
// and the service is polled at once. If that poll fails, or is not answered in time, the service is unreachable, and
// the lease is restored: what the service could not deliver has the delivery bound. For the same reason the lease does
// not change if polls were failing or overdue before the stall.
func (w *Watcher) Stalled(since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaseBeforeStall.IsZero() {
		failing := !w.failingSince.IsZero() && w.failingSince.Before(since)
		overdue := since.Sub(w.answeredAt) > w.limits.PollWait+w.limits.UsualResponse
		if failing || overdue || !since.Before(w.leaseExpires) {
			return
		}
		w.leaseBeforeStall = w.leaseExpires
		w.confirmed = false
		w.setLeaseLocked(since)
	}
	w.stalledSince = since
	if stall.BeganBefore(w.polledAt, since) {
		w.repollLocked()
	}
	time.AfterFunc(w.confirmWait()+w.limits.AnswerBound, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.stalledSince.Equal(since) {
			w.restoreLeaseLocked()
		}
	})
}

// restoreLeaseLocked restores the lease that a stall has ended, unless it has been renewed. The caller must hold w.mu.
func (w *Watcher) restoreLeaseLocked() {
	if w.leaseBeforeStall.IsZero() {
		return
	}
	w.setLeaseLocked(w.leaseBeforeStall)
	w.leaseBeforeStall = time.Time{}
}

// lastAnswer returns the time at which the last batch was applied.
func (w *Watcher) lastAnswer() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeredAt
}

// recordAnswer records that a batch is being applied now.
func (w *Watcher) recordAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt = time.Now()
}

// setLeaseLocked sets the expiry time of the list's lease. The caller must hold w.mu.
func (w *Watcher) setLeaseLocked(expires time.Time) {
	w.leaseExpires = expires
	if w.onLease != nil {
		w.onLease(expires)
	}
}

// renewLease records that the list was complete at sentAt, the time at which the answered poll was sent, and renews the
// lease.
func (w *Watcher) renewLease(sentAt time.Time) {
	w.mu.Lock()
	if stall.BeganBefore(sentAt, w.stalledSince) {
		w.mu.Unlock()
		return
	}
	expired := time.Since(w.leaseExpires)
	w.answered++
	w.completeAt, w.confirmed, w.leaseBeforeStall = sentAt, true, time.Time{}
	w.setLeaseLocked(sentAt.Add(w.limits.DeliveryBound))
	position, failingSince := w.position, w.failingSince
	w.failingSince = time.Time{}
	w.mu.Unlock()
	if !failingSince.IsZero() {
		w.log.Info("discovery reachable again", "position", position, "failing_for", time.Since(failingSince),
			"list_expired_for", max(0, expired))
	}
}

// recordFailedRound records a poll round that ended with an error. A round that was ended by a change of the service's
// address or by the end of Run does not count as failed.
func (w *Watcher) recordFailedRound(err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, errAddressChanged) {
		return
	}
	w.mu.Lock()
	w.failed++
	if !stall.BeganBefore(w.polledAt, w.stalledSince) {
		w.restoreLeaseLocked()
	}
	position, expires, first := w.position, w.leaseExpires, w.failingSince.IsZero()
	if first {
		w.failingSince = time.Now()
	}
	w.mu.Unlock()
	if first {
		w.log.Warn("discovery unreachable", "position", position, "list_expires_in", time.Until(expires), "err", err)
		return
	}
	w.log.Info("discovery poll failed", "err", err)
}

// pollWait returns the time for which the service may wait for an event before it answers the next poll.
func (w *Watcher) pollWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.confirmed || time.Since(w.completeAt) > staleAnswerWaits*w.limits.PollWait {
		return w.confirmWait()
	}
	return w.limits.PollWait
}

// confirmWait returns the wait of a poll that confirms the list.
func (w *Watcher) confirmWait() time.Duration {
	return max(w.limits.PollWait/confirmWaitDivisor, time.Millisecond)
}
