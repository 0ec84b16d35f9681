package discovery_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// leaseLimits are the limits of a service that is polled frequently.
var leaseLimits = discovery.Limits{
	PollWait:           800 * time.Millisecond,
	UsualResponse:      200 * time.Millisecond,
	MaxResponse:        time.Second,
	MaxBytes:           1 << 16,
	DeliveryBound:      7 * time.Second,
	AnswerBound:        500 * time.Millisecond,
	AddressChangeBound: 4 * time.Second,
}

// leaseRecorder records the expiry times that a watcher sets for its lease.
type leaseRecorder struct {
	mu      sync.Mutex
	expires []time.Time
	changed chan struct{}
}

func (l *leaseRecorder) set(expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = append(l.expires, expires)
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *leaseRecorder) last() (expires time.Time, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expires[len(l.expires)-1], len(l.expires)
}

// awaitAfter waits until the lease's expiry time is later than the given time and returns it.
func (l *leaseRecorder) awaitAfter(t *testing.T, after time.Time) time.Time {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		if expires, _ := l.last(); expires.After(after) {
			return expires
		}
		select {
		case <-l.changed:
		case <-timeout:
			t.Fatal("the lease was not renewed within 20 seconds")
		}
	}
}

// leasedWatcher runs a watcher, at position 1 from the start, whose service is implemented by handle.
func leasedWatcher(t *testing.T, handle http.HandlerFunc) (watcher *discovery.Watcher, leases *leaseRecorder) {
	t.Helper()
	service := httptest.NewServer(handle)
	t.Cleanup(service.Close)
	watcher = discovery.NewWatcher(service.Listener.Addr().String(), leaseLimits, slog.New(slog.DiscardHandler),
		func(discovery.Event) {})
	leases = &leaseRecorder{changed: make(chan struct{}, 1)}
	watcher.OnLeaseChange(leases.set)
	known, err := discovery.Parse([]byte(batchJSON(1)))
	if err != nil {
		t.Fatal(err)
	}
	watcher.Apply(known)
	runExisting(t, watcher)
	return watcher, leases
}

// answerWithoutEvents handles a poll by waiting as long as the poll allows and answering without new events.
func answerWithoutEvents(w http.ResponseWriter, r *http.Request) {
	wait, err := time.ParseDuration(r.URL.Query().Get("max_wait") + "ms")
	if err != nil {
		return
	}
	time.Sleep(wait)
	fmt.Fprintf(w, `{"pos":%s,"entries":[]}`, r.URL.Query().Get("tail"))
}

// A service without new events that answers its polls is not an outage: the lease must be renewed, and must expire
// DeliveryBound after the last answered poll was sent.
func TestQuietServiceRenewsLease(t *testing.T) {
	started := time.Now()
	watcher, leases := leasedWatcher(t, answerWithoutEvents)
	if first, _ := leases.last(); first.After(time.Now()) {
		t.Errorf("before the first answer the lease expires in %v, want an expired lease", time.Until(first))
	}
	expires := leases.awaitAfter(t, started.Add(leaseLimits.DeliveryBound+200*time.Millisecond))
	if expires.After(time.Now().Add(leaseLimits.DeliveryBound)) {
		t.Errorf("the lease expires in %v, want at most the delivery bound", time.Until(expires))
	}
	if fresh := watcher.Freshness(); fresh.Expired || fresh.Answered == 0 || fresh.Age > time.Second {
		t.Errorf("%+v", fresh)
	}
}

// A lease must be counted from the time at which the poll was sent: a slow answer does not contain events that happened
// while it was in transit.
func TestSlowAnswerIsAsOldAsItsPoll(t *testing.T) {
	const delay = 400 * time.Millisecond
	var mu sync.Mutex
	var polled []time.Time
	_, leases := leasedWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		polled = append(polled, time.Now())
		mu.Unlock()
		time.Sleep(delay)
		answerWithoutEvents(w, r)
	})
	expires := leases.awaitAfter(t, time.Now())
	mu.Lock()
	defer mu.Unlock()
	if sent := expires.Add(-leaseLimits.DeliveryBound); sent.After(polled[0]) {
		t.Errorf("the lease starts %v after the poll was received, want before", sent.Sub(polled[0]))
	}
}

// Answers that do not prove that the list is current must not renew the lease: truncated answers, empty ones before the
// end of the poll wait, repeated ones, those from an older position, and those that lack events before their position.
func TestAnswersThatProveNothing(t *testing.T) {
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
	}
	late := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(leaseLimits.PollWait)
			fmt.Fprint(w, text)
		}
	}
	for name, handle := range map[string]http.HandlerFunc{
		"no answer": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"error status": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no", http.StatusServiceUnavailable)
		},
		"truncated answer": answer(batchJSON(2)[:60]),
		"early":            answer(`{"pos":1,"entries":[]}`),
		"repeated":         late(batchJSON(1)),
		"older":            late(`{"pos":0,"entries":[]}`),
		"missing events":   late(`{"pos":5,"entries":[]}`),
		"gap in events":    late(batchJSON(4)),
	} {
		t.Run(name, func(t *testing.T) {
			watcher, leases := leasedWatcher(t, handle)
			for end := time.Now().Add(10 * time.Second); watcher.Freshness().Failed < 2 && name != "no answer"; {
				if time.Sleep(time.Millisecond); time.Now().After(end) {
					t.Fatal("the answers were accepted")
				}
			}
			if expires, count := leases.last(); count != 1 || expires.After(time.Now()) {
				t.Errorf("the lease was set %d times and expires in %v, want once and expired", count, time.Until(expires))
			}
		})
	}
}

// A change of the service's address must shorten the lease, even while a poll at the old address is not answered. An
// answer from the new address must renew it.
func TestMoveShortensLease(t *testing.T) {
	silent := make(chan struct{})
	watcher, leases := leasedWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-silent:
			<-r.Context().Done()
		default:
			answerWithoutEvents(w, r)
		}
	})
	leases.awaitAfter(t, time.Now().Add(leaseLimits.AddressChangeBound))
	close(silent)
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	t.Cleanup(unresponsive.Close)
	moved := time.Now()
	watcher.SetAddress(unresponsive.Listener.Addr().String())
	expires, _ := leases.last()
	if d := expires.Sub(moved); d > leaseLimits.AddressChangeBound+time.Second || d <= 0 {
		t.Errorf("after the change of address the lease expires in %v, want at most AddressChangeBound", d)
	}
	other := httptest.NewServer(http.HandlerFunc(answerWithoutEvents))
	t.Cleanup(other.Close)
	watcher.SetAddress(other.Listener.Addr().String())
	leases.awaitAfter(t, moved.Add(leaseLimits.DeliveryBound))
}

// TestStallEndsLease guards against a list that counts as complete after a stall of the process, in which the service
// may have reported changes that have not been read. The lease must end with the beginning of the stall until a poll
// that was sent after it has been answered, which must happen at once. If that poll is not answered, or if polls failed
// before the stall, there is an outage: the earlier lease must be in force again.
func TestStallEndsLease(t *testing.T) {
	const pause = 250 * time.Millisecond
	var down, silent atomic.Bool
	polls := make(chan time.Duration, 100)
	watcher, leases := leasedWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			http.Error(w, "down", http.StatusInternalServerError)
			return
		}
		wait, err := strconv.Atoi(r.URL.Query().Get("max_wait"))
		if err != nil {
			t.Error(err)
		}
		polls <- time.Duration(wait) * time.Millisecond
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
			if silent.Load() {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, `{"pos":1,"entries":[]}`)
		}
	})
	leases.awaitAfter(t, time.Now())
	for wait := range polls {
		if wait == leaseLimits.PollWait { // the list is confirmed
			break
		}
	}
	since := time.Now()
	time.Sleep(pause)
	resumed := time.Now()
	watcher.Stalled(since)
	if expires, _ := leases.last(); !expires.Equal(since) {
		t.Errorf("after the stall the lease expires %v after its beginning", expires.Sub(since))
	}
	if wait := <-polls; wait >= leaseLimits.PollWait || time.Since(resumed) > leaseLimits.PollWait/2 {
		t.Errorf("polled %v after the stall, with a wait of %v", time.Since(resumed), wait)
	}
	if sentAt := leases.awaitAfter(t, resumed).Add(-leaseLimits.DeliveryBound); sentAt.Before(resumed) {
		t.Errorf("the lease was renewed by a poll that was sent %v before the end of the stall", resumed.Sub(sentAt))
	}
	before, _ := leases.last()
	silent.Store(true)
	since = time.Now()
	time.Sleep(pause)
	watcher.Stalled(since)
	if expires, _ := leases.last(); !expires.Equal(since) {
		t.Errorf("after the second stall the lease expires %v after its beginning", expires.Sub(since))
	}
	if restored := leases.awaitAfter(t, since); !restored.Equal(before) {
		t.Errorf("in an outage the lease expires %v later than before the stall", restored.Sub(before))
	}
	down.Store(true)
	for failed := int64(0); failed == 0; failed = watcher.Freshness().Failed {
		time.Sleep(time.Millisecond)
	}
	_, count := leases.last()
	watcher.Stalled(time.Now())
	if _, after := leases.last(); after != count {
		t.Error("the lease was changed by a stall in an outage")
	}
}

// TestStallAfterStallEndsLease guards against a lease that is renewed after a second stall by the answer to a poll from
// between the two, or restored because the time for that answer is over: neither shows what happened during the second
// stall.
func TestStallAfterStallEndsLease(t *testing.T) {
	const pause = 250 * time.Millisecond
	var paused atomic.Bool
	release := make(chan struct{})
	watcher, leases := leasedWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		wait, err := strconv.Atoi(r.URL.Query().Get("max_wait"))
		if err != nil {
			t.Error(err)
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
		if paused.Load() {
			<-release
		}
		fmt.Fprint(w, `{"pos":1,"entries":[]}`)
	})
	leases.awaitAfter(t, time.Now())
	paused.Store(true)
	first := time.Now()
	time.Sleep(pause)
	watcher.Stalled(first) // polls again; the answer is withheld
	second := time.Now()
	time.Sleep(pause)
	resumed := time.Now()
	watcher.Stalled(second)
	paused.Store(false)
	close(release)
	if sentAt := leases.awaitAfter(t, resumed).Add(-leaseLimits.DeliveryBound); sentAt.Before(resumed) {
		t.Errorf("the lease is as of %v before the end of the second stall", resumed.Sub(sentAt))
	}
}
