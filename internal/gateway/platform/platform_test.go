package platform_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/gateway/platform"
	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/gateway/thrift"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeWorker is a worker whose answers a test words.
type fakeWorker struct {
	net.Listener
	mu       sync.Mutex
	respond  func(id, fields, body string) []string // words after the id; none: no answer
	received chan []string
	done     sync.WaitGroup
}

func newWorker(t *testing.T) *fakeWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{Listener: l, received: make(chan []string, 1000)}
	w.respondWith(func(_, _, body string) []string {
		return []string{"ok", "how=ready,stats=busy_reqs:1;pending:0", "done " + body}
	})
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.done.Add(1)
			go w.serve(conn)
		}
	}()
	t.Cleanup(func() {
		l.Close()
		w.done.Wait()
	})
	return w
}

func (w *fakeWorker) respondWith(f func(id, fields, body string) []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.respond = f
}

func (w *fakeWorker) serve(conn net.Conn) {
	defer w.done.Done()
	defer conn.Close()
	_ = resp.ReadCommands(conn, 1<<20, func(texts []string, _ int) error { // until the front end ends it
		w.received <- texts
		var answer []string
		switch texts[0] {
		case "FN":
			w.mu.Lock()
			says := w.respond
			w.mu.Unlock()
			answer = says(texts[1], texts[2], texts[3])
		case "SPAWN":
			answer = []string{"ok", "n=1", ""}
		case "TOP":
			answer = []string{"yes", "stats=busy_reqs:0;pending:0", ""}
		}
		if answer == nil {
			return nil
		}
		_, err := conn.Write(resp.AppendArray(nil, append(texts[1:2:2], answer...)...))
		return err
	})
}

// next is the next request of one sort that the worker saw.
func (w *fakeWorker) next(t *testing.T, word string) []string {
	t.Helper()
	for {
		select {
		case got := <-w.received:
			if got[0] == word {
				return got
			}
		case <-time.After(20 * time.Second):
			t.Fatal("never came: ", word)
		}
	}
}

const key = "7f3a9c21e0b4d655"

// harness is a front end with one worker.
type harness struct {
	t         *testing.T
	config    string
	worker    *fakeWorker
	addr      string
	gateway   *platform.Gateway
	batches   chan string // its answers
	pollWaits chan string // how long it may wait, of each question
	stop      context.CancelFunc
	ended     chan error
}

// start starts a front end; changes are of its configuration, a text and what stands in its place.
func start(t *testing.T, changes ...string) *harness {
	r := &harness{t: t, worker: newWorker(t), batches: make(chan string, 10), pollWaits: make(chan string, 1000), ended: make(chan error, 1)}
	journal := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.pollWaits <- q.URL.Query().Get("max_wait")
		select {
		case text := <-r.batches:
			fmt.Fprint(w, text)
		case <-q.Context().Done():
		}
	}))
	t.Cleanup(journal.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = listener.Addr().String()
	r.config = fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","journal":%q,
		"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
		"known":{"pos":1,"entries":[%s]},
		"settings":{"index":0,"instances":1,"quantum":0.001,"weight_source":"nominal","kinds":["k"],
		"family_info":{"keep":5,"orders":true,"miss_mode":"load","order_limit":4,"machine_mb":[1000]},
		"policy_limits":{"cancel":true,"conn_idle":15,"dial_timeout":0.25,"max_streams":32,"send_cap":3,"probing":true,
		"retry_after":true,"max_retry_after":2},"report":{"source":"inline","fields":["busy_reqs","pending"]},
		"rules":{"stop_sending_within":0.5},"orgs":[{"name":"acme","quota_per_s":100}],
		"request_classes":[{"name":"call","effect":"pure","aim":1,"give_up":3},{"name":"pay","effect":"side_effect","aim":1,"give_up":3}]}}`,
		r.addr, journal.Listener.Addr(), eventJSON(1, "up", r.worker.Addr().String()))
	r.config = strings.NewReplacer(changes...).Replace(r.config)
	c, err := platform.Parse([]byte(r.config))
	if err != nil {
		t.Fatal(err)
	}
	r.gateway = platform.New(c, listener, slog.New(slog.DiscardHandler), nil)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- r.gateway.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-r.ended; err != nil {
			t.Error(err)
		}
	})
	return r
}

func eventJSON(n int, health, addr string) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"seq":1,"whole":%v,"hosts":[{"host":"w","dial":%q,"site":"z","class":"k","block":0,`+
		`"health":%q,"share":4,"born_ms":0}]}}`, n, n == 1, addr, health)
}

// client is a connection of a client.
type client struct {
	net.Conn
	t   *testing.T
	seq int32
}

func (r *harness) dial() *client {
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	return &client{Conn: conn, t: r.t}
}

// fields are those of a usual request, with changes.
func fields(id string, changes ...string) []string {
	m := []string{"class", "call", "id", id, "wait", "2500", "tenant", "acme", "key", key, "facts", "memory_mb:100;lanes:2"}
	for i := 0; i+1 < len(changes); i += 2 {
		for j := 0; j+1 < len(m); j += 2 {
			if m[j] == changes[i] {
				m = append(m[:j:j], m[j+2:]...)
				break
			}
		}
		if changes[i+1] != "" {
			m = append(m, changes[i], changes[i+1])
		}
	}
	return m
}

func (c *client) dispatch(body string, pairs ...string) {
	c.t.Helper()
	c.seq++
	w := thrift.NewWriter("dispatch", thrift.Call, c.seq)
	w.StringMap(1, pairs...)
	w.Binary(2, []byte(body))
	c.send(w.Frame())
}

func (c *client) send(b []byte) {
	c.t.Helper()
	if _, err := c.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads an answer: handled with its body, throttled with the time to come back, broken, or exception.
func (c *client) answer() (seq int32, what, text string) {
	c.t.Helper()
	var head [4]byte
	_, err := io.ReadFull(c, head[:])
	frame := make([]byte, binary.BigEndian.Uint32(head[:]))
	if err == nil {
		_, err = io.ReadFull(c, frame)
	}
	m, perr := thrift.Parse(frame)
	if err != nil || perr != nil {
		c.t.Fatal(err, perr)
	}
	if m.Type == thrift.Exception {
		return m.SeqID, "exception", ""
	}
	// the result is a struct of one field: its type, number, and the struct in it
	inner, err := thrift.ReadArgs(m.Args[3 : len(m.Args)-1])
	if err != nil {
		c.t.Fatal(err)
	}
	switch m.Args[2] {
	case 0:
		if !inner.Bools[3] {
			return m.SeqID, "not good", ""
		}
		return m.SeqID, "handled", string(inner.Binaries[1])
	case 1:
		return m.SeqID, "throttled", inner.StringMaps[1]["after"]
	}
	return m.SeqID, "broken", ""
}

func (c *client) expect(what, text string) {
	c.t.Helper()
	if seq, got, body := c.answer(); got != what || text != "" && body != text {
		c.t.Errorf("request %d is %s %q, want %s %q", seq, got, body, what, text)
	}
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

// The worker's word decides: handled with its body unchanged, deferred with a time to come back, dead-lettered.
func TestOutcomes(t *testing.T) {
	r := start(t)
	c := r.dial()
	body := "\x00any\r\nbytes"
	c.dispatch(body, fields(id(1))...)
	got := r.worker.next(t, "FN")
	if got[1] != id(1) || got[3] != body || !strings.HasPrefix(got[2], "class=call,key="+key+",wait=2") {
		t.Errorf("%q", got)
	}
	c.expect("handled", "done "+body)
	w := thrift.NewWriter("alive", thrift.Call, 50)
	w.Bool(1, false)
	c.send(w.Frame())
	c.expect("handled", "")
	r.worker.respondWith(func(string, string, string) []string { return []string{"error", "-", ""} })
	c.seq = 50
	c.dispatch("", fields(id(2), "class", "pay")...)
	c.expect("broken", "")
	r.worker.respondWith(func(string, string, string) []string { return nil })
	c.dispatch("", fields(id(3), "wait", "200")...)
	_, what, after := c.answer()
	if what != "throttled" || after == "" {
		t.Error(what, after)
	}
}

// What can't be passed on is answered with an exception and never comes to a worker, nor does an id that came before.
func TestInvalidRequests(t *testing.T) {
	r := start(t)
	c := r.dial()
	for _, bad := range [][]string{{"class", "none"}, {"class", ""}, {"tenant", "other"}, {"tenant", ""}, {"id", "short"}, {"id", ""},
		{"key", "zz3a9c21e0b4d655"}, {"key", ""}, {"wait", "-5"}, {"wait", "0"}, {"wait", "1e3"}, {"wait", ""}, {"wait", "999999999999999"},
		{"wait", "3002"}, {"retry", "yes"}, {"facts", "lanes"}, {"facts", "lanes:-1"}, {"facts", "memory_mb:NaN"},
		{"facts", "memory_mb:1e300"}, {"facts", "lanes:2.5"}} {
		c.dispatch("", fields(id(7), bad...)...)
		if _, what, _ := c.answer(); what != "exception" {
			t.Errorf("%q is %s", bad, what)
		}
	}
	c.dispatch(strings.Repeat("x", 16<<10+1), fields(id(8))...)
	c.expect("exception", "")
	c.dispatch("a", fields(id(9))...)
	c.dispatch("b", fields(id(9))...)
	got := map[string]int{}
	for range 2 {
		_, what, _ := c.answer()
		got[what]++
	}
	if got["handled"] != 1 || got["exception"] != 1 {
		t.Error("two requests of one id:", got)
	}
	for len(r.worker.received) > 0 {
		if w := <-r.worker.received; w[0] == "FN" && (w[1] != id(9) || w[3] != "a") {
			t.Errorf("came to the worker: %q", w)
		}
	}
}

// A request that is taken back is given up at its worker, and no answer follows.
func TestCancelledRequest(t *testing.T) {
	r := start(t)
	r.worker.respondWith(func(_, _, body string) []string {
		if body == "hang" {
			return nil
		}
		return []string{"ok", "-", body}
	})
	c := r.dial()
	c.dispatch("hang", fields(id(1))...)
	r.worker.next(t, "FN")
	w := thrift.NewWriter("cancelRequest", thrift.Oneway, 0)
	w.I32(1, 1)
	c.send(w.Frame())
	if got := r.worker.next(t, "KILL"); got[1] != id(1) {
		t.Errorf("%q", got)
	}
	c.dispatch("next", fields(id(2))...)
	if seq, what, _ := c.answer(); seq != 2 || what != "handled" {
		t.Error(seq, what)
	}
}

// Told to end, a front end goes on answering what comes, and ends with none open.
func TestDrain(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	r.worker.respondWith(func(_, _, body string) []string {
		<-release
		return []string{"ok", "how=ready", body}
	})
	c := r.dial()
	c.dispatch("before", fields(id(1))...)
	r.worker.next(t, "FN")
	r.stop()
	other := r.dial()
	other.dispatch("after", fields(id(2))...)
	close(release)
	c.expect("handled", "before")
	other.expect("handled", "after")
	if _, err := io.Copy(io.Discard, other); err != nil {
		t.Error("not ended:", err)
	}
}

// Told to end, a front end answers what a worker would have answered too late for it: unanswered it would be killed. An
// event that may be tried again is deferred, one that may not is dead-lettered.
func TestDrainAnswersInFlightRequests(t *testing.T) {
	r := start(t, `"give_up":3`, `"give_up":100`)
	r.worker.respondWith(func(string, string, string) []string { return nil })
	c := r.dial()
	c.dispatch("", fields(id(1), "wait", "90000")...)
	c.dispatch("", fields(id(2), "wait", "90000", "class", "pay")...)
	r.worker.next(t, "FN")
	r.worker.next(t, "FN")
	r.stop()
	got := map[int32]string{}
	for range 2 {
		seq, what, _ := c.answer()
		got[seq] = what
	}
	if got[1] != "throttled" || got[2] != "broken" {
		t.Error(got)
	}
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Error("not ended:", err)
	}
}

// A drained worker gets nothing new; news of a moved journal is heard.
func TestDiscoveryAddressChange(t *testing.T) {
	r := start(t)
	c := r.dial()
	c.dispatch("a", fields(id(1))...)
	c.expect("handled", "done a")
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("tail") == "1" {
			fmt.Fprintf(w, `{"pos":2,"entries":[%s]}`, eventJSON(2, "draining", r.worker.Addr().String()))
			return
		}
		<-q.Context().Done()
	}))
	defer moved.Close()
	var object map[string]any
	if err := json.Unmarshal([]byte(r.config), &object); err != nil {
		t.Fatal(err)
	}
	object["journal"] = moved.Listener.Addr().String()
	b, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	config, err := platform.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	r.gateway.Reload(config)
	for n := 2; ; n++ { // until the news is heard
		c.dispatch("b", fields(id(n), "wait", "300")...)
		if _, what, _ := c.answer(); what == "throttled" {
			break
		}
	}
}

// A client has as many requests open as the platform allows, though a connection to a worker carries fewer.
func TestOpenRequests(t *testing.T) {
	r := start(t, `"max_streams":32`, `"max_streams":2`)
	release := make(chan struct{})
	r.worker.respondWith(func(_, _, body string) []string {
		<-release
		return []string{"ok", "how=ready", body}
	})
	c := r.dial()
	for n := range 32 {
		c.dispatch("", fields(id(n))...)
	}
	close(release)
	for range 32 {
		if seq, what, _ := c.answer(); what != "handled" && what != "throttled" {
			t.Error(seq, what)
		}
	}
}

// The mark of a keyed event goes to the worker as it came, also with another launch; one that has none, or one that would
// end the worker's field, is never sent.
func TestIdempotencyKey(t *testing.T) {
	r := start(t, `"effect":"side_effect"`, `"effect":"token","dedup_scope":"all","window":5`)
	c := r.dial()
	for i, bad := range []string{"", "a,b", "a=b", "a\r\nb", strings.Repeat("x", 1000)} {
		c.dispatch("", fields(id(i), "class", "pay", "once", bad)...)
		c.expect("exception", "")
	}
	launches := 0
	r.worker.respondWith(func(_, _, body string) []string {
		if launches++; launches == 1 {
			return []string{"error", "-", ""}
		}
		return []string{"ok", "-", body}
	})
	c.dispatch("a", fields(id(50), "class", "pay", "once", "7b2f00aa")...)
	for range 2 {
		if got := r.worker.next(t, "FN"); !strings.HasSuffix(got[2], ",once=7b2f00aa") {
			t.Errorf("%q", got)
		}
	}
	c.expect("handled", "a")
	c.dispatch("b", fields(id(51), "once", "of no use")...) // of a type that may run again
	if got := r.worker.next(t, "FN"); strings.Contains(got[2], "once") {
		t.Errorf("%q", got)
	}
	c.expect("handled", "b")
}

// hostJSON is a line of the list.
func hostJSON(name, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","block":0,"health":%q,"share":4,"born_ms":0}`, name, addr, health)
}

// batchJSON is an answer of the journal with one event a list; the first has a number.
func batchJSON(first int, whole bool, lists ...string) string {
	var events []string
	for i, list := range lists {
		events = append(events, fmt.Sprintf(`{"pos":%d,"hosts":{"whole":%v,"hosts":[%s]}}`, first+i, whole, list))
	}
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, first+len(lists)-1, strings.Join(events, ","))
}

// A worker that drains and goes in one answer, another one at its address, and then a whole list without that one: what is
// out at each is still answered, and new events go where the list says.
func TestRequestsDuringEndpointChanges(t *testing.T) {
	third := newWorker(t) // ends after the front end
	r := start(t)
	release := make(chan struct{})
	r.worker.respondWith(func(_, _, body string) []string {
		if body == "out" {
			<-release
		}
		return []string{"ok", "how=ready", body}
	})
	addr := r.worker.Addr().String()
	c := r.dial()
	c.dispatch("out", fields(id(1))...)
	r.worker.next(t, "FN")
	r.batches <- batchJSON(2, false, hostJSON("w", addr, "draining"), hostJSON("w", addr, "removed"), hostJSON("again", addr, "up"))
	n := 2
	handled := func() { // until the news is heard
		for ; ; n++ {
			c.dispatch("new", fields(id(n), "wait", "300")...)
			if _, what, text := c.answer(); what == "handled" {
				n++
				if text != "new" && text != "done new" {
					t.Error(text)
				}
				return
			}
		}
	}
	handled()
	r.batches <- batchJSON(5, true, hostJSON("third", third.Addr().String(), "up"))
	for len(third.received) == 0 {
		handled()
	}
	close(release)
	c.expect("handled", "out")
}

// Whatever has come and gone, workers, clients and functions, leaves no goroutine and no connection behind.
func TestNoLeaks(t *testing.T) {
	r := start(t)
	c := r.dial()
	c.dispatch("a", fields(id(1<<20))...)
	c.expect("handled", "")
	before, name, addr := runtime.NumGoroutine(), "w", r.worker.Addr().String()
	for n := range 100 {
		next := fmt.Sprint("w", n)
		r.batches <- batchJSON(2+2*n, false, hostJSON(name, addr, "removed"), hostJSON(next, addr, "up"))
		name = next
		other := r.dial()
		other.dispatch("a", fields(id(n), "key", id(n), "wait", "1000")...)
		if n%3 > 0 { // others leave without an answer
			other.answer()
		}
		other.Close()
	}
	end := time.Now().Add(20 * time.Second)
	for runtime.NumGoroutine() > before+4 { // the last worker's connection, and a client's that is just ending
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A silent journal is noticed before its news counts as told, two seconds after the wait that was asked for, which is never
// longer than the platform allows and follows the drain grace.
func TestPollWait(t *testing.T) {
	for grace, want := range map[string]string{"0.5": "1000", "1": "2000", "0": "250", "10": "5000"} {
		r := start(t, `"stop_sending_within":0.5`, `"stop_sending_within":`+grace)
		if got := <-r.pollWaits; got != want {
			t.Errorf("with a grace of %s s the journal may wait %s ms instead of %s", grace, got, want)
		}
	}
}

func TestInvalidConfig(t *testing.T) {
	r := start(t)
	for _, change := range [][2]string{{`"seed":"8c1f`, `"seed":"xx1f`}, {`"sockets":256`, `"sockets":2`}, {`"cores":1.0`, `"cores":0`},
		{`"listen":"127`, `"listen":127,"x":"127`}, {`"pos":1,"hosts"`, `"pos":-1,"hosts"`}, {`"request_classes"`, `"nothing"`}, {"{", ""}} {
		if _, err := platform.Parse([]byte(strings.Replace(r.config, change[0], change[1], 1))); err == nil {
			t.Errorf("with %s it is taken", change[1])
		}
	}
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte(`{"name":"n","listen":"127.0.0.1:1","journal":"127.0.0.1:2","seed":"1","limits":{"cores":1,"memory_mb":1,"sockets":99}}`))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = platform.Parse(b) })
}
