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

// Worker is one line of the list.
type Worker struct {
	Name  string  `json:"host"`
	Addr  string  `json:"dial"`
	Zone  string  `json:"site"`
	Kind  string  `json:"class"`
	Cell  int     `json:"block"`
	State string  `json:"health"` // up, draining or removed
	Size  float64 `json:"share"`
	Born  int64   `json:"born_ms"` // Unix milliseconds of a late start; 0: long ago
}

// States of a worker.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// List is what an event tells of the list: all of it, or what has changed.
type List struct {
	Whole   bool     `json:"whole"`
	Workers []Worker `json:"hosts"`
}

// Event is one event of the journal; those that do not change the list have none.
type Event struct {
	Number int64 `json:"pos"`
	List   *List `json:"hosts"`

	// Within bounds how long ago it was told first: the time since the answer before the one that brought it. 0: no bound is
	// known.
	Within time.Duration `json:"-"`
}

// News is an answer of the service: events in their order, and the number of the last one there is.
type News struct {
	Last   int64   `json:"pos"`
	Events []Event `json:"entries"`
}

// Parse reads an answer. One with an event that can't be is refused whole: it would come again.
func Parse(b []byte) (News, error) {
	var n News
	if err := json.Unmarshal(b, &n); err != nil {
		return News{}, fmt.Errorf("journal: %w", err)
	}
	for _, e := range n.Events {
		if e.Number <= 0 {
			return News{}, fmt.Errorf("journal: an event without its number")
		}
		if e.List == nil {
			continue
		}
		for _, w := range e.List.Workers {
			if w.Name == "" || w.State != Up && w.State != Draining && w.State != Removed {
				return News{}, fmt.Errorf("journal: event %d: worker %q is %q", e.Number, w.Name, w.State)
			}
			if _, _, err := net.SplitHostPort(w.Addr); err != nil && w.State != Removed {
				return News{}, fmt.Errorf("journal: event %d: worker %q: %w", e.Number, w.Name, err)
			}
		}
	}
	return n, nil
}

// follows tells whether nothing is missing between the event last known and each of these. One with a whole list needs
// nothing before it.
func (n News) follows(last int64) bool {
	for _, e := range n.Events {
		if e.Number > last+1 && (e.List == nil || !e.List.Whole) {
			return false
		}
		last = max(last, e.Number)
	}
	return true
}

// fold makes one event of all: the whole list as it stands after them. False where no whole list is among them.
func (n News) fold() (Event, bool) {
	all, whole, number := map[string]Worker{}, false, int64(0)
	for _, e := range n.Events {
		number = max(number, e.Number)
		if e.List == nil {
			continue
		}
		if e.List.Whole {
			clear(all)
			whole = true
		}
		for _, w := range e.List.Workers {
			if all[w.Name] = w; w.State == Removed {
				delete(all, w.Name)
			}
		}
	}
	names := slices.Sorted(maps.Keys(all))
	list := &List{Whole: true}
	for _, name := range names {
		list.Workers = append(list.Workers, all[name])
	}
	return Event{Number: number, List: list}, whole
}

// Limits bound what is asked for.
type Limits struct {
	Wait   time.Duration // that the service may let pass without news; past that and Answer it is asked once more
	Answer time.Duration // usual time for an answer beyond Wait
	Slow   time.Duration // longest time for it, and for a connection: a slow service is not cut off while it is asked again
	Bytes  int64         // of an answer
}

// Feed follows the journal of one front end.
type Feed struct {
	limits Limits
	log    *slog.Logger
	told   func(Event)
	moved  chan struct{}
	anew   bool // the whole list is to be asked for; changes between rounds only

	answered time.Time // when the last answer was taken; Run's goroutine only
	polls    sync.WaitGroup

	mu     sync.Mutex
	addr   string
	last   int64
	cancel context.CancelFunc // ends the requests under way
}

// New makes a Feed of the journal at addr; told gets each event once, in order.
func New(addr string, limits Limits, log *slog.Logger, told func(Event)) *Feed {
	return &Feed{addr: addr, limits: limits, log: log, told: told, moved: make(chan struct{}, 1), answered: time.Now()}
}

// Position is the number of the last event that was told.
func (f *Feed) Position() int64 { return f.at().last }

// Tell takes news that came by another way, as at the start.
func (f *Feed) Tell(n News) {
	for _, e := range n.Events {
		f.mu.Lock()
		is := e.Number > f.last
		f.last = max(f.last, e.Number)
		f.mu.Unlock()
		if is {
			f.told(e)
		}
	}
}

// follow takes an answer. Where events are missing in it none is told: what they changed would be lost for good. The whole
// list is asked for then.
func (f *Feed) follow(n News, last int64, took time.Duration) error {
	within := max(1, time.Since(f.answered))
	for i := range n.Events {
		n.Events[i].Within = within
	}
	switch {
	case f.anew:
		e, whole := n.fold()
		if !whole || e.Number < f.last {
			return fmt.Errorf("journal: asked for all events, it told no whole list as new as event %d", f.last)
		}
		f.anew = false
		e.Within = within
		f.answered = time.Now()
		f.Tell(News{Events: []Event{e}})
		return nil
	case !n.follows(last):
		f.anew = true
		f.log.Warn("events of the journal are missing: the whole list is asked for", "after", last)
		return nil
	}
	f.answered = time.Now()
	f.Tell(n)
	if f.at().last == last && took < f.limits.Wait/2 { // else it would be asked without a pause
		return errors.New("journal: nothing new, before the time that it was asked to wait")
	}
	return nil
}

// Move has the journal asked at another address from now on; the numbers go on.
func (f *Feed) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addr = addr
	if f.cancel != nil {
		f.cancel()
	}
	select {
	case f.moved <- struct{}{}:
	default:
	}
}

// mostPolls is how many requests are under way at a time, where the service is slow or silent.
const mostPolls = 4

// Run asks until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = f.limits.Answer/8, f.limits.Answer
	transport := &http.Transport{DialContext: new(net.Dialer).DialContext, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	defer f.polls.Wait()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		err := f.round(ctx, client)
		if err == nil {
			pause.Reset()
			continue
		}
		transport.CloseIdleConnections()
		f.log.Info("the journal did not answer", "err", err)
		select {
		case <-ctx.Done():
		case <-f.moved:
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// round asks until one answer is taken, or nothing is left that may answer. A service that does not answer in time may be slow
// or silent: it is asked again, which ends a silence, and the requests before go on, as one of a slow service may answer yet.
func (f *Feed) round(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	at := place{f.addr, f.last}
	f.cancel = cancel
	f.mu.Unlock()
	after := at.last
	if f.anew {
		after = 0
	}
	answers := make(chan answer, mostPolls)
	open := 0
	ask := func() {
		if open < mostPolls {
			open++
			f.polls.Go(func() { answers <- f.ask(ctx, client, at.addr, after) })
		}
	}
	ask()
	again := time.NewTicker(f.limits.Wait + f.limits.Answer)
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			open--
			if a.err == nil {
				return f.take(a, at)
			}
			if open == 0 {
				return a.err
			}
		case <-again.C:
			ask()
		}
	}
}

// answer is what one request brought.
type answer struct {
	news News
	took time.Duration
	err  error
}

// ask asks once for what came after an event.
func (f *Feed) ask(ctx context.Context, client *http.Client, addr string, after int64) (a answer) {
	ctx, cancel := context.WithTimeout(ctx, f.limits.Wait+max(f.limits.Answer, f.limits.Slow))
	defer cancel()
	url := "http://" + addr + "/journal?tail=" + strconv.FormatInt(after, 10) +
		"&max_wait=" + strconv.FormatInt(f.limits.Wait.Milliseconds(), 10)
	asked := time.Now()
	b, err := httpclient.Do(ctx, client, http.MethodGet, url, nil, f.limits.Bytes)
	a.took = time.Since(asked)
	if err != nil {
		a.err = err
		return a
	}
	a.news, a.err = Parse(b)
	return a
}

// take takes an answer of a service that has not been moved meanwhile.
func (f *Feed) take(a answer, at place) error {
	if f.at().addr != at.addr {
		return errors.New("moved")
	}
	return f.follow(a.news, at.last, a.took)
}

// place is where the journal is asked, and what for.
type place struct {
	addr string
	last int64
}

func (f *Feed) at() place {
	f.mu.Lock()
	defer f.mu.Unlock()
	return place{f.addr, f.last}
}
