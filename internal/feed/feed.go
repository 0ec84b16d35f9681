// Package feed follows the numbered changes of the list of workers at a journal service, by asking for what came after
// the last one known. Parse does no I/O.
package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lupinpond/internal/ask"
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

// Event is one change of the list.
type Event struct {
	Number int64 `json:"pos"`
	List   *struct {
		Whole   bool     `json:"whole"`
		Workers []Worker `json:"hosts"`
	} `json:"hosts"`
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

// Limits bound what is asked for.
type Limits struct {
	Wait   time.Duration // that the service may let pass without news; past that and Answer it is taken for silent
	Answer time.Duration // for a connection, and for an answer beyond Wait
	Bytes  int64         // of an answer
}

// Feed follows the journal of one front end.
type Feed struct {
	limits Limits
	log    *slog.Logger
	told   func(Event)
	moved  chan struct{}

	mu     sync.Mutex
	addr   string
	last   int64
	cancel context.CancelFunc // ends the request under way
}

// New makes a Feed of the journal at addr; told gets each event once, in order.
func New(addr string, limits Limits, log *slog.Logger, told func(Event)) *Feed {
	return &Feed{addr: addr, limits: limits, log: log, told: told, moved: make(chan struct{}, 1)}
}

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

// Run asks until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = f.limits.Answer/8, f.limits.Answer
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: f.limits.Answer}).DialContext, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		err := f.ask(ctx, client)
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

// ask asks once.
func (f *Feed) ask(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithTimeout(ctx, f.limits.Wait+f.limits.Answer)
	defer cancel()
	f.mu.Lock()
	addr, last := f.addr, f.last
	f.cancel = cancel
	f.mu.Unlock()
	url := "http://" + addr + "/journal?tail=" + strconv.FormatInt(last, 10) +
		"&max_wait=" + strconv.FormatInt(f.limits.Wait.Milliseconds(), 10)
	b, err := ask.Do(ctx, client, http.MethodGet, url, nil, f.limits.Bytes)
	if err != nil {
		return err
	}
	n, err := Parse(b)
	if err != nil {
		return err
	}
	if f.at() != addr { // it was moved meanwhile
		return errors.New("moved")
	}
	f.Tell(n)
	return nil
}

func (f *Feed) at() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addr
}
