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

// fakeWorker is a worker whose responses are chosen by the test.
type fakeWorker struct {
	net.Listener
	mu       sync.Mutex
	respond  func(id, fields, body string) []string // returns the elements after the ID; nil: no response is sent
	received chan []string                          // received commands
	done     sync.WaitGroup                         // goroutines of the worker
}

func newWorker(t *testing.T) *fakeWorker {
	t.Helper()
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
	_ = resp.ReadCommands(conn, 1<<20, func(command []string, _ int) error { // until the gateway closes the connection
		w.received <- command
		var response []string
		switch command[0] {
		case "FN":
			w.mu.Lock()
			respond := w.respond
			w.mu.Unlock()
			response = respond(command[1], command[2], command[3])
		case "SPAWN":
			response = []string{"ok", "n=1", ""}
		case "TOP":
			response = []string{"yes", "stats=busy_reqs:0;pending:0", ""}
		}
		if response == nil {
			return nil
		}
		_, err := conn.Write(resp.AppendArray(nil, append(command[1:2:2], response...)...))
		return err
	})
}

// nextCommand returns the next command of the given name that the worker receives.
func (w *fakeWorker) nextCommand(t *testing.T, name string) []string {
	t.Helper()
	for {
		select {
		case got := <-w.received:
			if got[0] == name {
				return got
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the worker did not receive a command within 20 s: ", name)
		}
	}
}

const key = "7f3a9c21e0b4d655"

// harness is a gateway with one fake worker and a fake discovery service.
type harness struct {
	t         *testing.T
	config    string
	worker    *fakeWorker
	addr      string
	gateway   *platform.Gateway
	batches   chan string // answers of the discovery service to the next polls
	pollWaits chan string // maximum wait of each poll in milliseconds
	stop      context.CancelFunc
	ended     chan error
}

// start starts a gateway. Its changes are alternating texts of the configuration and their replacements.
func start(t *testing.T, changes ...string) *harness {
	t.Helper()
	h := &harness{
		t:         t,
		worker:    newWorker(t),
		batches:   make(chan string, 10),
		pollWaits: make(chan string, 1000),
		ended:     make(chan error, 1),
	}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		query := q.URL.Query()
		h.pollWaits <- query.Get("max_wait")
		maxWait, err := time.ParseDuration(query.Get("max_wait") + "ms")
		if err != nil {
			t.Error(err)
		}
		select {
		case text := <-h.batches:
			fmt.Fprint(w, text)
		case <-time.After(maxWait):
			fmt.Fprintf(w, `{"pos":%s,"entries":[]}`, query.Get("tail"))
		case <-q.Context().Done():
		}
	}))
	t.Cleanup(service.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = listener.Addr().String()
	h.config = fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","journal":%q,
		"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
		"known":{"pos":1,"entries":[%s]},
		"settings":{"index":0,"instances":1,"quantum":0.001,"weight_source":"nominal","kinds":["k"],
		"family_info":{"keep":5,"orders":true,"miss_mode":"load","order_limit":4,"machine_mb":[1000]},
		"policy_limits":{"cancel":true,"conn_idle":15,"dial_timeout":0.25,"max_streams":32,"send_cap":3,"probing":true,
		"retry_after":true,"max_retry_after":2},"report":{"source":"inline","fields":["busy_reqs","pending"]},
		"rules":{"stop_sending_within":0.5},"orgs":[{"name":"acme","quota_per_s":100}],
		"request_classes":[{"name":"call","effect":"pure","aim":1,"give_up":3},
		{"name":"pay","effect":"side_effect","aim":1,"give_up":3}]}}`,
		h.addr, service.Listener.Addr(), eventJSON(1, "up", h.worker.Addr().String()))
	h.config = strings.NewReplacer(changes...).Replace(h.config)
	c, err := platform.Parse([]byte(h.config))
	if err != nil {
		t.Fatal(err)
	}
	h.gateway = platform.New(c, listener, slog.New(slog.DiscardHandler), nil)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.ended <- h.gateway.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-h.ended; err != nil {
			t.Error(err)
		}
	})
	return h
}

// eventJSON returns a watch event with one endpoint. The event at position 1 is marked as the complete list.
func eventJSON(position int, health, addr string) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"seq":1,"whole":%v,"hosts":[%s]}}`,
		position, position == 1, hostJSON("w", addr, health))
}

// client is a client's connection to the gateway.
type client struct {
	net.Conn
	t   *testing.T
	seq int32 // sequence ID of the last request
}

func (h *harness) dial() *client {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		h.t.Fatal(err)
	}
	return &client{Conn: conn, t: h.t}
}

// fields returns the fields of a valid request as alternating names and values. The changes replace fields; an empty
// value removes one.
func fields(id string, changes ...string) []string {
	m := []string{
		"class", "call", "id", id, "wait", "2500", "tenant", "acme", "key", key, "facts", "memory_mb:100;lanes:2",
	}
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

// readAnswer reads an answer and returns what it is: handled, with its body; throttled, with the time until a retry;
// broken; or exception.
func (c *client) readAnswer() (seq int32, what, text string) {
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
	// The result is a struct with one field: the field's type and ID, followed by the nested struct.
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
	if seq, got, body := c.readAnswer(); got != what || text != "" && body != text {
		c.t.Errorf("answer to request %d: got %s %q, want %s %q", seq, got, body, what, text)
	}
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

// A request must end according to its worker's response: handled with the body unchanged, or failed. Without a response
// before the deadline it must be rejected with a time until a retry.
func TestOutcomes(t *testing.T) {
	h := start(t)
	c := h.dial()
	body := "\x00any\r\nbytes"
	c.dispatch(body, fields(id(1))...)
	got := h.worker.nextCommand(t, "FN")
	if got[1] != id(1) || got[3] != body || !strings.HasPrefix(got[2], "class=call,key="+key+",wait=2") {
		t.Errorf("%q", got)
	}
	c.expect("handled", "done "+body)
	w := thrift.NewWriter("alive", thrift.Call, 50)
	w.Bool(1, false)
	c.send(w.Frame())
	c.expect("handled", "")
	h.worker.respondWith(func(string, string, string) []string { return []string{"error", "-", ""} })
	c.seq = 50
	c.dispatch("", fields(id(2), "class", "pay")...)
	c.expect("broken", "")
	h.worker.respondWith(func(string, string, string) []string { return nil })
	c.dispatch("", fields(id(3), "wait", "200")...)
	_, what, after := c.readAnswer()
	if what != "throttled" || after == "" {
		t.Error(what, after)
	}
}

// An invalid request, or one whose ID was used before, must be answered with an exception and not be sent to a worker.
func TestInvalidRequests(t *testing.T) {
	h := start(t)
	c := h.dial()
	for _, bad := range [][]string{
		{"class", "none"}, {"class", ""},
		{"tenant", "other"}, {"tenant", ""},
		{"id", "short"}, {"id", ""},
		{"key", "zz3a9c21e0b4d655"}, {"key", ""},
		{"wait", "-5"}, {"wait", "0"}, {"wait", "1e3"}, {"wait", ""}, {"wait", "999999999999999"}, {"wait", "3002"},
		{"retry", "yes"},
		{"facts", "lanes"}, {"facts", "lanes:-1"}, {"facts", "lanes:2.5"},
		{"facts", "memory_mb:NaN"}, {"facts", "memory_mb:1e300"},
	} {
		c.dispatch("", fields(id(7), bad...)...)
		if _, what, _ := c.readAnswer(); what != "exception" {
			t.Errorf("request with the field %q: got %s, want an exception", bad, what)
		}
	}
	c.dispatch(strings.Repeat("x", 16<<10+1), fields(id(8))...)
	c.expect("exception", "")
	c.dispatch("a", fields(id(9))...)
	c.dispatch("b", fields(id(9))...)
	got := map[string]int{}
	for range 2 {
		_, what, _ := c.readAnswer()
		got[what]++
	}
	if got["handled"] != 1 || got["exception"] != 1 {
		t.Error("answers to two requests with one ID:", got)
	}
	for len(h.worker.received) > 0 {
		if w := <-h.worker.received; w[0] == "FN" && (w[1] != id(9) || w[3] != "a") {
			t.Errorf("the worker received an invalid request: %q", w)
		}
	}
}

// A request that its client cancels must be cancelled at its worker and must not be answered.
func TestCancelledRequest(t *testing.T) {
	h := start(t)
	h.worker.respondWith(func(_, _, body string) []string {
		if body == "hang" {
			return nil
		}
		return []string{"ok", "-", body}
	})
	c := h.dial()
	c.dispatch("hang", fields(id(1))...)
	h.worker.nextCommand(t, "FN")
	w := thrift.NewWriter("cancelRequest", thrift.Oneway, 0)
	w.I32(1, 1)
	c.send(w.Frame())
	if got := h.worker.nextCommand(t, "KILL"); got[1] != id(1) {
		t.Errorf("%q", got)
	}
	c.dispatch("next", fields(id(2))...)
	if seq, what, _ := c.readAnswer(); seq != 2 || what != "handled" {
		t.Error(seq, what)
	}
}

// A draining gateway must continue to answer new requests, and end once no request is open.
func TestDrain(t *testing.T) {
	h := start(t)
	release := make(chan struct{})
	h.worker.respondWith(func(_, _, body string) []string {
		<-release
		return []string{"ok", "how=ready", body}
	})
	c := h.dial()
	c.dispatch("before", fields(id(1))...)
	h.worker.nextCommand(t, "FN")
	h.stop()
	other := h.dial()
	other.dispatch("after", fields(id(2))...)
	close(release)
	c.expect("handled", "before")
	other.expect("handled", "after")
	if _, err := io.Copy(io.Discard, other); err != nil {
		t.Error("the connection was not closed:", err)
	}
}

// A draining gateway must answer requests in flight before it is killed, even if their workers have not responded by
// then. It rejects idempotent requests and fails others.
func TestDrainAnswersInFlightRequests(t *testing.T) {
	h := start(t, `"give_up":3`, `"give_up":100`)
	h.worker.respondWith(func(string, string, string) []string { return nil })
	c := h.dial()
	c.dispatch("", fields(id(1), "wait", "90000")...)
	c.dispatch("", fields(id(2), "wait", "90000", "class", "pay")...)
	h.worker.nextCommand(t, "FN")
	h.worker.nextCommand(t, "FN")
	h.stop()
	got := map[int32]string{}
	for range 2 {
		seq, what, _ := c.readAnswer()
		got[seq] = what
	}
	if got[1] != "throttled" || got[2] != "broken" {
		t.Error(got)
	}
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Error("the connection was not closed:", err)
	}
}

// After a reload the gateway must poll the discovery service at its new address. Once it does, new requests are
// rejected, because only the service at the new address reports that the worker is draining.
func TestDiscoveryAddressChange(t *testing.T) {
	h := start(t)
	c := h.dial()
	c.dispatch("a", fields(id(1))...)
	c.expect("handled", "done a")
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("tail") == "1" {
			fmt.Fprintf(w, `{"pos":2,"entries":[%s]}`, eventJSON(2, "draining", h.worker.Addr().String()))
			return
		}
		<-q.Context().Done()
	}))
	defer moved.Close()
	var object map[string]any
	if err := json.Unmarshal([]byte(h.config), &object); err != nil {
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
	h.gateway.Reload(config)
	for n := 2; ; n++ { // repeat until the event is applied
		c.dispatch("b", fields(id(n), "wait", "300")...)
		if _, what, _ := c.readAnswer(); what == "throttled" {
			break
		}
	}
}

// A client may have as many open requests as the platform allows, even if a connection to a worker carries fewer calls.
func TestOpenRequests(t *testing.T) {
	h := start(t, `"max_streams":32`, `"max_streams":2`)
	release := make(chan struct{})
	h.worker.respondWith(func(_, _, body string) []string {
		<-release
		return []string{"ok", "how=ready", body}
	})
	c := h.dial()
	for n := range 32 {
		c.dispatch("", fields(id(n))...)
	}
	close(release)
	for range 32 {
		if seq, what, _ := c.readAnswer(); what != "handled" && what != "throttled" {
			t.Error(seq, what)
		}
	}
}

// The idempotency key of a request must be sent to the worker unchanged, with a retry too. A request of a keyed type
// must be refused if it has no key, or one that would end the field of the worker's command.
func TestIdempotencyKey(t *testing.T) {
	h := start(t, `"effect":"side_effect"`, `"effect":"token","dedup_scope":"all","window":5`)
	c := h.dial()
	for i, bad := range []string{"", "a,b", "a=b", "a\r\nb", strings.Repeat("x", 1000)} {
		c.dispatch("", fields(id(i), "class", "pay", "once", bad)...)
		c.expect("exception", "")
	}
	attempts := 0
	h.worker.respondWith(func(_, _, body string) []string {
		if attempts++; attempts == 1 {
			return []string{"error", "-", ""}
		}
		return []string{"ok", "-", body}
	})
	c.dispatch("a", fields(id(50), "class", "pay", "once", "7b2f00aa")...)
	for range 2 {
		if got := h.worker.nextCommand(t, "FN"); !strings.HasSuffix(got[2], ",once=7b2f00aa") {
			t.Errorf("%q", got)
		}
	}
	c.expect("handled", "a")
	c.dispatch("b", fields(id(51), "once", "of no use")...) // the type is idempotent and needs no key
	if got := h.worker.nextCommand(t, "FN"); strings.Contains(got[2], "once") {
		t.Errorf("%q", got)
	}
	c.expect("handled", "b")
}

// hostJSON returns the JSON form of an endpoint.
func hostJSON(name, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","block":0,"health":%q,"share":4,"born_ms":0}`,
		name, addr, health)
}

// batchJSON returns a batch with one event for each list of endpoints. The positions of the events begin with first.
func batchJSON(first int, complete bool, lists ...string) string {
	var events []string
	for i, list := range lists {
		events = append(events, fmt.Sprintf(`{"pos":%d,"hosts":{"whole":%v,"hosts":[%s]}}`, first+i, complete, list))
	}
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, first+len(lists)-1, strings.Join(events, ","))
}

// A request in flight must be answered, and new requests must go to the listed workers, when the endpoint list changes:
// a worker is drained and removed in one batch, another one appears at its address, and a complete list omits that one.
func TestRequestsDuringEndpointChanges(t *testing.T) {
	third := newWorker(t) // closed after the gateway
	h := start(t)
	release := make(chan struct{})
	h.worker.respondWith(func(_, _, body string) []string {
		if body == "out" {
			<-release
		}
		return []string{"ok", "how=ready", body}
	})
	addr := h.worker.Addr().String()
	c := h.dial()
	c.dispatch("out", fields(id(1))...)
	h.worker.nextCommand(t, "FN")
	h.batches <- batchJSON(2, false,
		hostJSON("w", addr, "draining"), hostJSON("w", addr, "removed"), hostJSON("again", addr, "up"))
	n := 2
	awaitHandled := func() { // sends requests until one is handled, which shows that the events are applied
		for ; ; n++ {
			c.dispatch("new", fields(id(n), "wait", "300")...)
			if _, what, text := c.readAnswer(); what == "handled" {
				n++
				if text != "new" && text != "done new" {
					t.Error(text)
				}
				return
			}
		}
	}
	awaitHandled()
	h.batches <- batchJSON(5, true, hostJSON("third", third.Addr().String(), "up"))
	for len(third.received) == 0 {
		awaitHandled()
	}
	close(release)
	c.expect("handled", "out")
}

// Workers that are added and removed, clients that connect and disconnect, and requests for new functions must not leak
// goroutines or connections.
func TestNoLeaks(t *testing.T) {
	h := start(t)
	c := h.dial()
	c.dispatch("a", fields(id(1<<20))...)
	c.expect("handled", "")
	before, name, addr := runtime.NumGoroutine(), "w", h.worker.Addr().String()
	for n := range 100 {
		next := fmt.Sprint("w", n)
		h.batches <- batchJSON(2+2*n, false, hostJSON(name, addr, "removed"), hostJSON(next, addr, "up"))
		name = next
		other := h.dial()
		other.dispatch("a", fields(id(n), "key", id(n), "wait", "1000")...)
		if n%3 > 0 { // every third client disconnects without reading an answer
			other.readAnswer()
		}
		other.Close()
	}
	end := time.Now().Add(20 * time.Second)
	for runtime.NumGoroutine() > before+4 { // for the last worker's connection, and a client's that is being closed
		if time.Now().After(end) {
			t.Fatalf("%d goroutines run, %d ran before the changes", runtime.NumGoroutine(), before)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The wait of a poll follows the drain grace and must not exceed the platform's limit of 5 s. The gateway then has
// another 2 s to detect that the discovery service does not answer, before its events are considered delivered. The
// first poll waits 1/8 of that wait: until its answer the list in the configuration may be outdated.
func TestPollWait(t *testing.T) {
	for grace, want := range map[string][]string{
		"0.5": {"125", "1000"},
		"1":   {"250", "2000"},
		"0":   {"31", "250"},
		"10":  {"625", "5000"},
	} {
		h := start(t, `"stop_sending_within":0.5`, `"stop_sending_within":`+grace)
		first := <-h.pollWaits
		h.batches <- batchJSON(2, false, hostJSON("w", h.worker.Addr().String(), "up"))
		if second := <-h.pollWaits; first != want[0] || second != want[1] {
			t.Errorf("with a drain grace of %s s the polls may wait %s and %s ms, want %v", grace, first, second, want)
		}
	}
}

func TestInvalidConfig(t *testing.T) {
	h := start(t)
	for _, change := range [][2]string{
		{`"seed":"8c1f`, `"seed":"xx1f`},
		{`"sockets":256`, `"sockets":2`},
		{`"cores":1.0`, `"cores":0`},
		{`"listen":"127`, `"listen":127,"x":"127`},
		{`"pos":1,"hosts"`, `"pos":-1,"hosts"`},
		{`"request_classes"`, `"nothing"`},
		{"{", ""},
	} {
		if _, err := platform.Parse([]byte(strings.Replace(h.config, change[0], change[1], 1))); err == nil {
			t.Errorf("a configuration with %s is accepted", change[1])
		}
	}
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte(`{"name":"n","listen":"127.0.0.1:1","journal":"127.0.0.1:2","seed":"1",
		"limits":{"cores":1,"memory_mb":1,"sockets":99}}`))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = platform.Parse(b) })
}
