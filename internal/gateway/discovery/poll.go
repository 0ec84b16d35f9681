package discovery

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lupinpond/internal/base/httpclient"
)

// maxConcurrentPolls limits the number of concurrent polls of a service that is slow or does not answer.
const maxConcurrentPolls = 4

// pollResult is the result of one poll.
type pollResult struct {
	batch    Batch
	sentAt   time.Time
	wait     time.Duration // time for which the service was allowed to wait for an event
	duration time.Duration
	err      error
}

// pollRound polls until the first answer is received or all polls have failed. If the service does not answer in time,
// it may be slow or may have lost the poll. It is then polled again, in case the poll was lost, while the earlier polls
// continue, in case the service is slow.
func (w *Watcher) pollRound(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	from := cursor{w.addr, w.position}
	w.cancelPolls = cancel
	w.mu.Unlock()
	after := from.position
	if w.resync {
		after = 0
	}
	wait := w.pollWait()
	results := make(chan pollResult, maxConcurrentPolls)
	open := 0
	startPoll := func() {
		if open < maxConcurrentPolls {
			open++
			w.polls.Go(func() { results <- w.poll(ctx, client, from.addr, after, wait) })
		}
	}
	startPoll()
	overdue := time.NewTicker(w.limits.PollWait + w.limits.UsualResponse)
	defer overdue.Stop()
	for {
		select {
		case result := <-results:
			open--
			if result.err == nil {
				return w.accept(result, from)
			}
			if open == 0 {
				return result.err
			}
		case <-overdue.C:
			startPoll()
		}
	}
}

// recordPoll records that a poll is being sent and returns the time.
func (w *Watcher) recordPoll() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polledAt = time.Now()
	return w.polledAt
}

// poll sends one poll for the events after a position.
func (w *Watcher) poll(ctx context.Context, client *http.Client, addr string, after int64, wait time.Duration) (
	result pollResult) {
	result.wait, result.sentAt = wait, w.recordPoll()
	ctx, cancel := context.WithTimeout(ctx, w.limits.PollWait+max(w.limits.UsualResponse, w.limits.MaxResponse))
	defer cancel()
	url := "http://" + addr + "/journal?tail=" + strconv.FormatInt(after, 10) +
		"&max_wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	b, err := httpclient.Do(ctx, client, http.MethodGet, url, nil, w.limits.MaxBytes)
	result.duration = time.Since(result.sentAt)
	if err != nil {
		result.err = err
		return result
	}
	result.batch, result.err = Parse(b)
	return result
}
