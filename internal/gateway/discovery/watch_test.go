package discovery_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/gateway/discovery"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func eventJSON(n int) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"seq":1,"whole":%v,"hosts":[{"host":"w%d","dial":"127.0.0.1:9","site":"z","class":"k",`+
		`"block":2,"health":"up","share":4,"born_ms":0}]}}`, n, n == 1, n)
}

func batchJSON(events ...int) string {
	s := ""
	for i, n := range events {
		if i > 0 {
			s += ","
		}
		s += eventJSON(n)
	}
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, events[len(events)-1], s)
}

func TestParse(t *testing.T) {
	n, err := discovery.Parse([]byte(batchJSON(1, 2)))
	if err != nil || n.Position != 2 || len(n.Events) != 2 || !n.Events[0].Update.Complete || n.Events[1].Update.Endpoints[0].Name != "w2" {
		t.Error(n, err)
	}
	for _, bad := range []string{"", "{", batchJSON(1)[:80], `{"pos":1,"entries":[{"hosts":{"hosts":[]}}]}`,
		`{"pos":1,"entries":[{"pos":1,"hosts":{"hosts":[{"host":"w","dial":"x","health":"up"}]}}]}`,
		`{"pos":1,"entries":[{"pos":1,"hosts":{"hosts":[{"host":"w","dial":"127.0.0.1:1","health":"well"}]}}]}`} {
		if n, err := discovery.Parse([]byte(bad)); err == nil {
			t.Errorf("%s is taken as %+v", bad, n)
		}
	}
	if n, err := discovery.Parse([]byte(`{"pos":3,"entries":[{"pos":3,"other":1}]}`)); err != nil || n.Events[0].Update != nil {
		t.Error("an event of another sort", n, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(batchJSON(1, 2)))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := discovery.Parse(b)
		for _, e := range n.Events {
			if err != nil || e.Position <= 0 {
				t.Error(e, err)
			}
		}
	})
}

var limits = discovery.Limits{PollWait: 20 * time.Millisecond, UsualResponse: 200 * time.Millisecond, MaxBytes: 1 << 16}

// An answer that breaks off is as none, a silent service is asked again, at another address the numbers go on, and each
// event is told once.
func TestWatch(t *testing.T) {
	asked := make(chan string, 1000)
	script := func(answers ...func(w http.ResponseWriter)) *httptest.Server {
		n := make(chan int, 1)
		n <- 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.Query().Get("tail")
			i := <-n
			n <- i + 1
			if i < len(answers) {
				answers[i](w)
				return
			}
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		return s
	}
	says := func(text string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) { fmt.Fprint(w, text) }
	}
	breaks := func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "5000")
		fmt.Fprint(w, batchJSON(2)[:60])
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	first := script(says(batchJSON(1)), breaks, says(batchJSON(2)), says(`{"pos":2,"entries":[]}`), says("noise"))
	second := script(says(batchJSON(2, 3)))
	told := make(chan discovery.Event, 10)
	f := discovery.NewWatcher(first.Listener.Addr().String(), limits, slog.New(slog.DiscardHandler), func(e discovery.Event) { told <- e })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for n := int64(1); n <= 2; n++ {
		if e := <-told; e.Position != n {
			t.Error(e.Position, "instead of", n)
		}
	}
	for range 7 { // past the script it is silent, and is asked again after that
		<-asked
	}
	f.SetAddress(second.Listener.Addr().String())
	if e := <-told; e.Position != 3 {
		t.Error(e.Position, "instead of 3")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	first.Close() // no handler asks any more
	second.Close()
	last := ""
	for len(asked) > 0 {
		last = <-asked
	}
	if last != "2" && last != "3" {
		t.Errorf("asked for what came after %q", last)
	}
}

// A move ends a wait at the old address at once.
func TestSetAddressInterruptsPoll(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, batchJSON(1)) }))
	defer service.Close()
	l := limits
	l.PollWait = time.Hour
	told := make(chan discovery.Event, 1)
	f := discovery.NewWatcher(mute.Addr().String(), l, slog.New(slog.DiscardHandler), func(e discovery.Event) { told <- e })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	conn, err := mute.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	f.SetAddress(service.Listener.Addr().String())
	<-told
	stop()
	<-ended
}

// scriptedWatcher runs a feed whose service answers one after the other, and then says nothing; it tells what was asked for.
func scriptedWatcher(t *testing.T, answers ...string) (told chan discovery.Event, asked chan string, stop func()) {
	told, asked = make(chan discovery.Event, 100), make(chan string, 100)
	left := make(chan string, len(answers))
	for _, a := range answers {
		left <- a
	}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("tail")
		select {
		case a := <-left:
			fmt.Fprint(w, a)
		default:
			<-r.Context().Done()
		}
	}))
	l := limits
	l.PollWait = time.Minute
	f := discovery.NewWatcher(service.Listener.Addr().String(), l, slog.New(slog.DiscardHandler), func(e discovery.Event) { told <- e })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	return told, asked, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		service.Close()
	}
}

// Events that are missing may have drained a worker: none of the answer is told, and the whole list is asked for, in which
// what is left out is gone and what goes in the same answer never came.
func TestMissingEventsCauseResync(t *testing.T) {
	gone := strings.Replace(eventJSON(5), `"up"`, `"removed"`, 1)
	anew := fmt.Sprintf(`{"pos":6,"entries":[%s,%s,%s,%s]}`, eventJSON(1), eventJSON(4), eventJSON(5), strings.Replace(gone, `"pos":5`, `"pos":6`, 1))
	told, asked, stop := scriptedWatcher(t, batchJSON(1, 2), batchJSON(4), anew, batchJSON(7))
	defer stop()
	for n := int64(1); n <= 2; n++ {
		if e := <-told; e.Position != n {
			t.Error(e.Position, "instead of", n)
		}
	}
	e := <-told
	var names []string
	for _, w := range e.Update.Endpoints {
		names = append(names, w.Name)
	}
	if e.Position != 6 || !e.Update.Complete || fmt.Sprint(names) != "[w1 w4]" {
		t.Errorf("event %d, whole %v, %v", e.Position, e.Update.Complete, names)
	}
	if e := <-told; e.Position != 7 {
		t.Error(e.Position, "instead of 7")
	}
	for _, want := range []string{"0", "2", "0", "6", "7"} {
		if got := <-asked; got != want {
			t.Errorf("asked for what came after %s instead of %s", got, want)
		}
	}
}

// A whole list out of turn needs nothing before it; an event that is known already is not told again, nor an older list.
func TestCompleteUpdateNeedsNoPredecessor(t *testing.T) {
	whole := strings.Replace(eventJSON(9), `"whole":false`, `"whole":true`, 1)
	told, _, stop := scriptedWatcher(t, batchJSON(1), fmt.Sprintf(`{"pos":9,"entries":[%s]}`, whole), batchJSON(1, 2), batchJSON(9, 10))
	defer stop()
	for _, want := range []int64{1, 9, 10} {
		if e := <-told; e.Position != want {
			t.Error(e.Position, "instead of", want)
		}
	}
}

// A service that answers at once with nothing new, or with a number past its events, is not asked without a pause.
func TestEmptyBatchBacksOff(t *testing.T) {
	empty := `{"pos":7,"entries":[]}`
	_, asked, stop := scriptedWatcher(t, empty, empty, empty, empty, empty)
	defer stop()
	<-asked
	first := time.Now()
	for range 5 {
		<-asked
	}
	if least := 5 * limits.UsualResponse / 8 / 2; time.Since(first) < least { // a pause is drawn from half its length on
		t.Errorf("asked five times within %v", time.Since(first))
	}
}
