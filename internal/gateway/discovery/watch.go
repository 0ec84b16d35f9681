// Package discovery follows the numbered changes of the list of workers at a journal service, by asking for what came after
// the last one known. Parse does no I/O.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lupinpond/internal/base/httpclient"
)

// Endpoint is one line of the list.
type Endpoint struct {
	Name             string  `json:"host"`
	Addr             string  `json:"dial"`
	Zone             string  `json:"site"`
	Kind             string  `json:"class"`
	Cell             int     `json:"block"`
	State            string  `json:"health"` // up, draining or removed
	Size             float64 `json:"share"`
	StartedUnixMilli int64   `json:"born_ms"` // Unix milliseconds of a late start; 0: long ago
}

// States of a worker.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Update is what an event tells of the list: all of it, or what has changed.
type Update struct {
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Event is one event of the journal; those that do not change the list have none.
type Event struct {
	Position int64   `json:"pos"`
	Update   *Update `json:"hosts"`

	// MaxAge bounds how long ago it was told first: the time since the answer before the one that brought it. 0: no bound is
	// known.
	MaxAge time.Duration `json:"-"`
}

// Batch is an answer of the service: events in their order, and the number of the last one there is.
type Batch struct {
	Position int64   `json:"pos"`
	Events   []Event `json:"entries"`
}

// Parse reads an answer. One with an event that can't be is refused whole: it would come again.
func Parse(b []byte) (Batch, error) {
	var n Batch
	if err := json.Unmarshal(b, &n); err != nil {
		return Batch{}, fmt.Errorf("journal: %w", err)
	}
	for _, e := range n.Events {
		if e.Position <= 0 {
			return Batch{}, fmt.Errorf("journal: an event without its number")
		}
		if e.Update == nil {
			continue
		}
		for _, w := range e.Update.Endpoints {
			if w.Name == "" || w.State != Up && w.State != Draining && w.State != Removed {
				return Batch{}, fmt.Errorf("journal: event %d: worker %q is %q", e.Position, w.Name, w.State)
			}
			if _, _, err := net.SplitHostPort(w.Addr); err != nil && w.State != Removed {
				return Batch{}, fmt.Errorf("journal: event %d: worker %q: %w", e.Position, w.Name, err)
			}
		}
	}
	return n, nil
}

// continues tells whether nothing is missing between the event last known and each of these. One with a whole list needs
// nothing before it.
func (n Batch) continues(last int64) bool {
	for _, e := range n.Events {
		if e.Position > last+1 && (e.Update == nil || !e.Update.Complete) {
			return false
		}
		last = max(last, e.Position)
	}
	return true
}

// compact makes one event of all: the whole list as it stands after them. False where no whole list is among them.
func (n Batch) compact() (Event, bool) {
	all, whole, number := map[string]Endpoint{}, false, int64(0)
	for _, e := range n.Events {
		number = max(number, e.Position)
		if e.Update == nil {
			continue
		}
		if e.Update.Complete {
			clear(all)
			whole = true
		}
		for _, w := range e.Update.Endpoints {
			if all[w.Name] = w; w.State == Removed {
				delete(all, w.Name)
			}
		}
	}
	names := slices.Sorted(maps.Keys(all))
	list := &Update{Complete: true}
	for _, name := range names {
		list.Endpoints = append(list.Endpoints, all[name])
	}
	return Event{Position: number, Update: list}, whole
}

// Limits bound what is asked for.
type Limits struct {
	PollWait      time.Duration // that the service may let pass without news; past that and Answer it is asked once more
	UsualResponse time.Duration // usual time for an answer beyond Wait
	MaxResponse   time.Duration // longest time for it, and for a connection: a slow service is not cut off while it is asked again
	MaxBytes      int64         // of an answer
}

// Watcher follows the journal of one front end.
type Watcher struct {
	limits         Limits
	log            *slog.Logger
	notify         func(Event)
	addressChanged chan struct{}
	resync         bool // the whole list is to be asked for; changes between rounds only

	answeredAt time.Time // when the last answer was taken; Run's goroutine only
	polls      sync.WaitGroup

	mu          sync.Mutex
	addr        string
	position    int64
	cancelPolls context.CancelFunc // ends the requests under way
}

// NewWatcher makes a Feed of the journal at addr; told gets each event once, in order.
func NewWatcher(addr string, limits Limits, log *slog.Logger, told func(Event)) *Watcher {
	return &Watcher{addr: addr, limits: limits, log: log, notify: told, addressChanged: make(chan struct{}, 1), answeredAt: time.Now()}
}

// Position is the number of the last event that was told.
func (f *Watcher) Position() int64 { return f.currentCursor().position }

// Apply takes news that came by another way, as at the start.
func (f *Watcher) Apply(n Batch) {
	for _, e := range n.Events {
		f.mu.Lock()
		is := e.Position > f.position
		f.position = max(f.position, e.Position)
		f.mu.Unlock()
		if is {
			f.notify(e)
		}
	}
}

// applyBatch takes an answer. Where events are missing in it none is told: what they changed would be lost for good. The whole
// list is asked for then.
func (f *Watcher) applyBatch(n Batch, last int64, took time.Duration) error {
	within := max(1, time.Since(f.answeredAt))
	for i := range n.Events {
		n.Events[i].MaxAge = within
	}
	switch {
	case f.resync:
		e, whole := n.compact()
		if !whole || e.Position < f.position {
			return fmt.Errorf("journal: asked for all events, it told no whole list as new as event %d", f.position)
		}
		f.resync = false
		e.MaxAge = within
		f.answeredAt = time.Now()
		f.Apply(Batch{Events: []Event{e}})
		return nil
	case !n.continues(last):
		f.resync = true
		f.log.Warn("events of the journal are missing: the whole list is asked for", "after", last)
		return nil
	}
	f.answeredAt = time.Now()
	f.Apply(n)
	if f.currentCursor().position == last && took < f.limits.PollWait/2 { // else it would be asked without a pause
		return errors.New("journal: nothing new, before the time that it was asked to wait")
	}
	return nil
}

// SetAddress has the journal asked at another address from now on; the numbers go on.
func (f *Watcher) SetAddress(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addr = addr
	if f.cancelPolls != nil {
		f.cancelPolls()
	}
	select {
	case f.addressChanged <- struct{}{}:
	default:
	}
}

// maxConcurrentPolls is how many requests are under way at a time, where the service is slow or silent.
const maxConcurrentPolls = 4

// Run asks until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = f.limits.UsualResponse/8, f.limits.UsualResponse
	transport := &http.Transport{DialContext: new(net.Dialer).DialContext, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	defer f.polls.Wait()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		err := f.pollRound(ctx, client)
		if err == nil {
			pause.Reset()
			continue
		}
		transport.CloseIdleConnections()
		f.log.Info("the journal did not answer", "err", err)
		select {
		case <-ctx.Done():
		case <-f.addressChanged:
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// pollRound asks until one answer is taken, or nothing is left that may answer. A service that does not answer in time may be slow
// or silent: it is asked again, which ends a silence, and the requests before go on, as one of a slow service may answer yet.
func (f *Watcher) pollRound(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	at := cursor{f.addr, f.position}
	f.cancelPolls = cancel
	f.mu.Unlock()
	after := at.position
	if f.resync {
		after = 0
	}
	answers := make(chan pollResult, maxConcurrentPolls)
	open := 0
	ask := func() {
		if open < maxConcurrentPolls {
			open++
			f.polls.Go(func() { answers <- f.poll(ctx, client, at.addr, after) })
		}
	}
	ask()
	again := time.NewTicker(f.limits.PollWait + f.limits.UsualResponse)
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			open--
			if a.err == nil {
				return f.accept(a, at)
			}
			if open == 0 {
				return a.err
			}
		case <-again.C:
			ask()
		}
	}
}

// pollResult is what one request brought.
type pollResult struct {
	batch    Batch
	duration time.Duration
	err      error
}

// poll asks once for what came after an event.
func (f *Watcher) poll(ctx context.Context, client *http.Client, addr string, after int64) (a pollResult) {
	ctx, cancel := context.WithTimeout(ctx, f.limits.PollWait+max(f.limits.UsualResponse, f.limits.MaxResponse))
	defer cancel()
	url := "http://" + addr + "/journal?tail=" + strconv.FormatInt(after, 10) +
		"&max_wait=" + strconv.FormatInt(f.limits.PollWait.Milliseconds(), 10)
	asked := time.Now()
	b, err := httpclient.Do(ctx, client, http.MethodGet, url, nil, f.limits.MaxBytes)
	a.duration = time.Since(asked)
	if err != nil {
		a.err = err
		return a
	}
	a.batch, a.err = Parse(b)
	return a
}

// accept takes an answer of a service that has not been moved meanwhile.
func (f *Watcher) accept(a pollResult, at cursor) error {
	if f.currentCursor().addr != at.addr {
		return errors.New("moved")
	}
	return f.applyBatch(a.batch, at.position, a.duration)
}

// cursor is where the journal is asked, and what for.
type cursor struct {
	addr     string
	position int64
}

func (f *Watcher) currentCursor() cursor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cursor{f.addr, f.position}
}
