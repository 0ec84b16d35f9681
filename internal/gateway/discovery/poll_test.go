package discovery_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// startWatcher runs a watcher of a service implemented by handle until the test ends. It returns the positions of the
// watcher's events.
func startWatcher(t *testing.T, limits discovery.Limits, handle http.HandlerFunc) (positions chan int64) {
	t.Helper()
	service := httptest.NewServer(handle)
	t.Cleanup(service.Close)
	positions = make(chan int64, 100)
	runWatcher(t, service.Listener.Addr().String(), limits, func(event discovery.Event) { positions <- event.Position })
	return positions
}

func expectPosition(t *testing.T, positions chan int64, want int64) {
	t.Helper()
	select {
	case got := <-positions:
		if got != want {
			t.Errorf("got event %d, want %d", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("event %d not received within 20 seconds", want)
	}
}

var slowLimits = discovery.Limits{
	PollWait:      20 * time.Millisecond,
	UsualResponse: 20 * time.Millisecond,
	MaxResponse:   10 * time.Second,
	MaxBytes:      1 << 16,
}

// The watcher must wait for the answers of a service that takes ten times as long as usual.
func TestSlowServiceIsWaitedFor(t *testing.T) {
	positions := startWatcher(t, slowLimits, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(10 * (slowLimits.PollWait + slowLimits.UsualResponse)):
		case <-r.Context().Done():
			return
		}
		if r.URL.Query().Get("tail") == "0" {
			fmt.Fprint(w, batchJSON(1))
		} else {
			fmt.Fprint(w, batchJSON(2))
		}
	})
	expectPosition(t, positions, 1)
	expectPosition(t, positions, 2)
}

// A service that does not answer a poll must be polled again although a slow answer could still arrive, but only with a
// few concurrent polls.
func TestSilentPollIsRepeated(t *testing.T) {
	var polls, open, most atomic.Int64
	positions := startWatcher(t, slowLimits, func(w http.ResponseWriter, r *http.Request) {
		n := open.Add(1)
		defer open.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		if polls.Add(1) == 2 {
			fmt.Fprint(w, batchJSON(1))
			return
		}
		<-r.Context().Done()
	})
	expectPosition(t, positions, 1)
	time.Sleep(20 * (slowLimits.PollWait + slowLimits.UsualResponse))
	if n := most.Load(); n > 4 {
		t.Error(n, "concurrent polls, want at most 4")
	}
}
