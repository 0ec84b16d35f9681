package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Limits are the time and size limits of polls.
type Limits struct {
	// PollWait is the time for which the service may wait for an event before it answers. After PollWait + UsualResponse
	// without an answer the service is polled again.
	PollWait time.Duration

	// UsualResponse is the time that an answer usually takes in addition to PollWait.
	UsualResponse time.Duration

	// MaxResponse is the maximum time that an answer may take in addition to PollWait, including the time to connect. If
	// it exceeds UsualResponse, a poll of a slow service can still be answered while further polls are sent.
	MaxResponse time.Duration

	// MaxBytes is the maximum size of an answer in bytes.
	MaxBytes int64

	// DeliveryBound is the time after the service became unreachable at which the gateway is considered notified of the
	// service's events, whether it has received them or not.
	DeliveryBound time.Duration

	// AnswerBound is the time in which the service answers a poll after its wait, unless it is unreachable. It applies
	// after a stall of the process.
	AnswerBound time.Duration

	// AddressChangeBound is the time after a change of the service's address at which the gateway is considered notified
	// of the service's events, whether it has received them or not.
	AddressChangeBound time.Duration
}

// Constants that are relative to the Limits.
const (
	// minBackoffDivisor sets the initial backoff after an error: Limits.UsualResponse / minBackoffDivisor. The maximum
	// backoff is Limits.UsualResponse.
	minBackoffDivisor = 8

	// earlyAnswerDivisor sets the time before which an answer without new events is an error: the poll's wait /
	// earlyAnswerDivisor.
	earlyAnswerDivisor = 2

	// confirmWaitDivisor sets the wait of a poll when the last answer is old or there is none from the current address:
	// Limits.PollWait / confirmWaitDivisor. The shorter wait shows sooner whether events are missing.
	confirmWaitDivisor = 8

	// minEmptyWaitFraction is the fraction of the poll's wait that must have passed for an answer without new events to
	// prove that the service had none.
	minEmptyWaitFraction = 0.9

	// staleAnswerWaits sets the age at which the last answer counts as old: staleAnswerWaits * Limits.PollWait.
	staleAnswerWaits = 2
)

var (
	// errAddressChanged is returned for an answer from an address that is no longer the service's.
	errAddressChanged = errors.New("journal: the address of the service has changed")

	// errEarlyAnswer is returned if the service answers a poll without waiting for events. Without a backoff after this
	// error the service would be polled in a tight loop.
	errEarlyAnswer = errors.New("journal: empty batch before the end of the poll wait")

	// errOldAnswer is returned for an answer that is older than the last one, or that only repeats events. It does not
	// show what has happened since.
	errOldAnswer = errors.New("journal: answer from an older position")
)

// Watcher watches the endpoint list of one service.
type Watcher struct {
	limits  Limits
	log     *slog.Logger
	notify  func(Event)
	onLease func(expires time.Time)
	repoll  chan struct{} // ends the pause before the next poll

	// The fields below are only accessed by the goroutine that calls Run.
	resync bool // whether the next round polls for the complete list; only changes between rounds
	polls  sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	addr         string
	polledAt     time.Time          // time at which the last poll was sent
	answeredAt   time.Time          // time at which the last batch was applied
	failingSince time.Time          // time since which polls have failed; zero if they are not failing
	stalledSince time.Time          // beginning of the latest stall of the process that concerned the lease
	position     int64              // position of the last event that was passed to notify
	cancelPolls  context.CancelFunc // cancels the polls of the current round
	completeAt   time.Time          // time at which the list was last known to be complete
	confirmed    bool               // whether an answer from the current address has renewed the lease
	leaseExpires time.Time          // expiry time of the list's lease
	// leaseBeforeStall is the expiry time of the lease that a stall has ended; zero if it was renewed or restored.
	leaseBeforeStall time.Time
	answered         int64 // number of polls whose answer renewed the lease
	failed           int64 // number of poll rounds that ended with an error, except by a change of address
}

// cursor is the address of the service and the position after which it is polled.
type cursor struct {
	addr     string
	position int64
}

// NewWatcher creates a Watcher for the service at an address. notify is called once for each event, in order. Until the
// first answer the endpoint list is considered complete as of the time of this call.
func NewWatcher(addr string, limits Limits, log *slog.Logger, notify func(Event)) *Watcher {
	now := time.Now()
	return &Watcher{
		completeAt:   now,
		leaseExpires: now,
		addr:         addr,
		limits:       limits,
		log:          log,
		notify:       notify,
		repoll:       make(chan struct{}, 1),
		answeredAt:   now,
	}
}

// Position returns the position of the last event that was passed to notify.
func (w *Watcher) Position() int64 { return w.currentCursor().position }

func (w *Watcher) currentCursor() cursor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return cursor{w.addr, w.position}
}

// SetAddress changes the address of the service. Running polls are cancelled; positions remain valid at the new
// address.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	w.confirmed = false
	moved := time.Now().Add(w.limits.AddressChangeBound)
	if moved.Before(w.leaseExpires) {
		w.setLeaseLocked(moved)
	}
	if moved.Before(w.leaseBeforeStall) {
		w.leaseBeforeStall = moved
	}
	w.repollLocked()
}

// repollLocked cancels the running polls and polls again at once. The caller must hold w.mu.
func (w *Watcher) repollLocked() {
	if w.cancelPolls != nil {
		w.cancelPolls()
	}
	select {
	case w.repoll <- struct{}{}:
	default:
	}
}

// Apply passes the new events of a batch to notify. The batch may also come from another source than a poll, for
// example from the configuration at the start.
func (w *Watcher) Apply(batch Batch) {
	for _, event := range batch.Events {
		w.mu.Lock()
		isNew := event.Position > w.position
		w.position = max(w.position, event.Position)
		w.mu.Unlock()
		if isNew {
			w.notify(event)
		}
	}
}

// Run polls the service until ctx is done. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = w.limits.UsualResponse / minBackoffDivisor
	pause.MaxInterval = w.limits.UsualResponse
	transport := &http.Transport{DialContext: new(net.Dialer).DialContext, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	defer w.polls.Wait()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		err := w.pollRound(ctx, client)
		if err == nil {
			pause.Reset()
			continue
		}
		transport.CloseIdleConnections()
		w.recordFailedRound(err)
		select {
		case <-ctx.Done():
		case <-w.repoll:
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// accept applies the answer to a poll that was sent with the cursor from, unless the service's address has changed
// since. It renews the lease only if the answer proves that the list is complete. After an error Run waits before the
// next poll.
func (w *Watcher) accept(result pollResult, from cursor) error {
	if w.currentCursor().addr != from.addr {
		return errAddressChanged
	}
	maxAge := max(1, time.Since(w.lastAnswer()))
	if w.resync {
		return w.applyComplete(result, maxAge)
	}
	if !result.batch.isContiguous(from.position) {
		// Pass on none of these events: the position would advance past the missing ones, and their changes would be lost
		// permanently.
		w.resync = true
		w.log.Warn("discovery events missing, polling for the complete list", "position", from.position)
		return nil
	}
	for i := range result.batch.Events {
		result.batch.Events[i].MaxAge = maxAge
	}
	w.recordAnswer()
	w.Apply(result.batch)
	position := w.currentCursor().position
	switch {
	case position == from.position && result.duration < result.wait/earlyAnswerDivisor:
		return errEarlyAnswer
	case result.batch.Position < from.position || position == from.position && len(result.batch.Events) > 0:
		return errOldAnswer
	case result.batch.Position > position:
		w.resync = true
		return fmt.Errorf("journal: answer at position %d lacks the events after %d", result.batch.Position, position)
	case position == from.position && result.duration < time.Duration(minEmptyWaitFraction*float64(result.wait)):
		return nil // does not renew the lease: the answer may have been generated before the poll was sent
	}
	w.renewLease(result.sentAt)
	return nil
}

// applyComplete completes a resync with a batch that contains the complete list.
func (w *Watcher) applyComplete(result pollResult, maxAge time.Duration) error {
	event, ok := result.batch.compact()
	if !ok || event.Position < w.position {
		return fmt.Errorf("journal: resync: answer has no complete list at or after position %d", w.position)
	}
	event.MaxAge = maxAge
	w.resync = false
	w.recordAnswer()
	w.Apply(Batch{Events: []Event{event}})
	w.renewLease(result.sentAt)
	return nil
}
