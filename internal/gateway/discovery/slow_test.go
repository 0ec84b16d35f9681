package discovery_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// startWatcher runs a feed of a service until the test ends; it tells the numbers of the events.
func startWatcher(t *testing.T, l discovery.Limits, handle http.HandlerFunc) (told chan int64) {
	service := httptest.NewServer(handle)
	told = make(chan int64, 100)
	f := discovery.NewWatcher(service.Listener.Addr().String(), l, slog.New(slog.DiscardHandler), func(e discovery.Event) { told <- e.Position })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		service.Close()
	})
	return told
}

func expectEvent(t *testing.T, told chan int64, number int64) {
	t.Helper()
	select {
	case got := <-told:
		if got != number {
			t.Errorf("event %d instead of %d", got, number)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("event %d is never told", number)
	}
}

var slowLimits = discovery.Limits{PollWait: 20 * time.Millisecond, UsualResponse: 20 * time.Millisecond, MaxResponse: 10 * time.Second, MaxBytes: 1 << 16}

// A service that takes ten times as long as usual for every answer is heard all the same.
func TestSlowServiceIsWaitedFor(t *testing.T) {
	told := startWatcher(t, slowLimits, func(w http.ResponseWriter, r *http.Request) {
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
	expectEvent(t, told, 1)
	expectEvent(t, told, 2)
}

// A service that leaves a question without an answer is asked again, though a slow answer could still come, and by no more
// questions than a few.
func TestSilentPollIsRepeated(t *testing.T) {
	var asked, open, most atomic.Int64
	told := startWatcher(t, slowLimits, func(w http.ResponseWriter, r *http.Request) {
		n := open.Add(1)
		defer open.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		if asked.Add(1) == 2 {
			fmt.Fprint(w, batchJSON(1))
			return
		}
		<-r.Context().Done()
	})
	expectEvent(t, told, 1)
	time.Sleep(20 * (slowLimits.PollWait + slowLimits.UsualResponse))
	if n := most.Load(); n > 4 {
		t.Error(n, "questions at a time")
	}
}
