package discovery_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/gateway/discovery"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventJSON returns an event with one endpoint as JSON. The event at position 1 contains the complete list.
func eventJSON(position int) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"seq":1,"whole":%v,"hosts":[{"host":"w%d","dial":"127.0.0.1:9",`+
		`"site":"z","class":"k","block":2,"health":"up","share":4,"born_ms":0}]}}`, position, position == 1, position)
}

// batchJSON returns an answer with the events at the given positions as JSON.
func batchJSON(positions ...int) string {
	var events []string
	for _, position := range positions {
		events = append(events, eventJSON(position))
	}
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, positions[len(positions)-1], strings.Join(events, ","))
}

// runWatcher creates and runs a watcher until stop is called or the test ends.
func runWatcher(t *testing.T, addr string, limits discovery.Limits, notify func(discovery.Event)) (
	watcher *discovery.Watcher, stop func()) {
	t.Helper()
	watcher = discovery.NewWatcher(addr, limits, slog.New(slog.DiscardHandler), notify)
	return watcher, runExisting(t, watcher)
}

// runExisting runs a watcher until stop is called or the test ends.
func runExisting(t *testing.T, watcher *discovery.Watcher) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// expectEvent receives the next event and checks its position.
func expectEvent(t *testing.T, events chan discovery.Event, position int64) discovery.Event {
	t.Helper()
	event := <-events
	if event.Position != position {
		t.Error(event.Position, "is the position of the event, want", position)
	}
	return event
}

func TestParse(t *testing.T) {
	batch, err := discovery.Parse([]byte(batchJSON(1, 2)))
	if err != nil || batch.Position != 2 || len(batch.Events) != 2 || !batch.Events[0].Update.Complete ||
		batch.Events[1].Update.Endpoints[0].Name != "w2" {
		t.Error(batch, err)
	}
	for name, bad := range map[string]string{
		"empty":             "",
		"invalid JSON":      "{",
		"truncated JSON":    batchJSON(1)[:80],
		"no event position": `{"pos":1,"entries":[{"hosts":{"hosts":[]}}]}`,
		"invalid address":   `{"pos":1,"entries":[{"pos":1,"hosts":{"hosts":[{"host":"w","dial":"x","health":"up"}]}}]}`,
		"unknown state": `{"pos":1,"entries":[{"pos":1,"hosts":{"hosts":[` +
			`{"host":"w","dial":"127.0.0.1:1","health":"well"}]}}]}`,
	} {
		if batch, err := discovery.Parse([]byte(bad)); err == nil {
			t.Errorf("%s: %s was parsed as %+v, want an error", name, bad, batch)
		}
	}
	batch, err = discovery.Parse([]byte(`{"pos":3,"entries":[{"pos":3,"other":1}]}`))
	if err != nil || batch.Events[0].Update != nil {
		t.Error("event that does not concern the endpoint list:", batch, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(batchJSON(1, 2)))
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := discovery.Parse(b)
		for _, event := range batch.Events {
			if err != nil || event.Position <= 0 {
				t.Error(event, err)
			}
		}
	})
}

var limits = discovery.Limits{
	PollWait:      20 * time.Millisecond,
	UsualResponse: 200 * time.Millisecond,
	MaxBytes:      1 << 16,
}

// A truncated answer must not be applied, a service that does not answer must be polled again, a new address must be
// polled from the same position, and each event must be passed on only once.
func TestWatch(t *testing.T) {
	polls := make(chan string, 1000) // positions in the polls of both services
	script := func(answers ...func(w http.ResponseWriter)) *httptest.Server {
		var next atomic.Int64
		service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			polls <- r.URL.Query().Get("tail")
			if i := int(next.Add(1)) - 1; i < len(answers) {
				answers[i](w)
				return
			}
			<-r.Context().Done()
		}))
		t.Cleanup(service.Close)
		return service
	}
	answer := func(text string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) { fmt.Fprint(w, text) }
	}
	breakOff := func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "5000")
		fmt.Fprint(w, batchJSON(2)[:60])
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	first := script(
		answer(batchJSON(1)), breakOff, answer(batchJSON(2)), answer(`{"pos":2,"entries":[]}`), answer("noise"))
	second := script(answer(batchJSON(2, 3)))
	events := make(chan discovery.Event, 10)
	watcher, stop := runWatcher(t, first.Listener.Addr().String(), limits, func(event discovery.Event) { events <- event })
	expectEvent(t, events, 1)
	expectEvent(t, events, 2)
	for range 7 { // at the end of its script the service does not answer, and is polled again
		<-polls
	}
	watcher.SetAddress(second.Listener.Addr().String())
	expectEvent(t, events, 3)
	stop()
	first.Close() // wait for the running handlers
	second.Close()
	last := ""
	for len(polls) > 0 {
		last = <-polls
	}
	if last != "2" && last != "3" {
		t.Errorf("polled for events after %q", last)
	}
}

// A change of address must immediately cancel a poll that waits for an answer from the old address.
func TestSetAddressInterruptsPoll(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, batchJSON(1))
	}))
	defer service.Close()
	longWait := limits
	longWait.PollWait = time.Hour
	events := make(chan discovery.Event, 1)
	watcher, stop := runWatcher(t, unresponsive.Addr().String(), longWait, func(event discovery.Event) { events <- event })
	conn, err := unresponsive.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	watcher.SetAddress(service.Listener.Addr().String())
	<-events
	stop()
}

// scriptedWatcher runs a watcher whose service returns the given answers in order and then does not answer any more. It
// returns the events and the positions in the polls.
func scriptedWatcher(t *testing.T, answers ...string) (events chan discovery.Event, polls chan string) {
	t.Helper()
	events, polls = make(chan discovery.Event, 100), make(chan string, 100)
	left := make(chan string, len(answers))
	for _, answer := range answers {
		left <- answer
	}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls <- r.URL.Query().Get("tail")
		select {
		case answer := <-left:
			fmt.Fprint(w, answer)
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(service.Close)
	longWait := limits
	longWait.PollWait = time.Minute
	runWatcher(t, service.Listener.Addr().String(), longWait, func(event discovery.Event) { events <- event })
	return events, polls
}

// Missing events may have drained a worker: after a gap the watcher must not pass on any event of the answer and must
// poll for the complete list. Endpoints that are not in that list, or are removed by a later event of the same answer,
// must not be in the resulting event.
func TestMissingEventsCauseResync(t *testing.T) {
	removed := strings.Replace(eventJSON(5), `"up"`, `"removed"`, 1)
	resync := fmt.Sprintf(`{"pos":6,"entries":[%s,%s,%s,%s]}`,
		eventJSON(1), eventJSON(4), eventJSON(5), strings.Replace(removed, `"pos":5`, `"pos":6`, 1))
	events, polls := scriptedWatcher(t, batchJSON(1, 2), batchJSON(4), resync, batchJSON(7))
	expectEvent(t, events, 1)
	expectEvent(t, events, 2)
	event := expectEvent(t, events, 6)
	var names []string
	for _, endpoint := range event.Update.Endpoints {
		names = append(names, endpoint.Name)
	}
	if !event.Update.Complete || fmt.Sprint(names) != "[w1 w4]" {
		t.Errorf("got complete %v, endpoints %v, want the complete list of w1 and w4", event.Update.Complete, names)
	}
	expectEvent(t, events, 7)
	for _, want := range []string{"0", "2", "0", "6", "7"} {
		if got := <-polls; got != want {
			t.Errorf("polled for events after position %s, want %s", got, want)
		}
	}
}

// An event with the complete list must be accepted after a gap. Events that were already received, and an older list,
// must not be passed on again.
func TestCompleteUpdateNeedsNoPredecessor(t *testing.T) {
	complete := strings.Replace(eventJSON(9), `"whole":false`, `"whole":true`, 1)
	events, _ := scriptedWatcher(t,
		batchJSON(1), fmt.Sprintf(`{"pos":9,"entries":[%s]}`, complete), batchJSON(1, 2), batchJSON(9, 10))
	expectEvent(t, events, 1)
	expectEvent(t, events, 9)
	expectEvent(t, events, 10)
}

// A service that answers immediately without new events, or with a position beyond its events, must not be polled in a
// tight loop.
func TestEmptyBatchBacksOff(t *testing.T) {
	empty := `{"pos":7,"entries":[]}`
	_, polls := scriptedWatcher(t, empty, empty, empty, empty, empty)
	<-polls
	first := time.Now()
	for range 5 {
		<-polls
	}
	if least := 5 * limits.UsualResponse / 8 / 2; time.Since(first) < least { // a random backoff is at least half as long
		t.Errorf("polled five times within %v, want backoffs between the polls", time.Since(first))
	}
}
