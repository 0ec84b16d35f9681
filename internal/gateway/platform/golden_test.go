package platform_test

import (
	"bufio"
	"context"
	_ "embed" // golden files
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/platform"
)

//go:embed testdata/golden/config.json
var goldenConfig string

// goldenValues is the configuration parsed from goldenConfig, which has every key, printed without field names.
const goldenValues = "{n0 127.0.0.1:7002 127.0.0.1:7001 1.5 67108864 256 {1 []} map[family_info.keep:5 " +
	"family_info.load_part:0.1 family_info.loads_anyway:20 family_info.loads_within:10 family_info.machine_mb:1000 " +
	"family_info.machine_mb.count:1 family_info.miss_mode:load family_info.order_limit:4 family_info.orders:true " +
	"index:0 instances:1 kinds:k kinds.count:1 locality:z orgs: orgs.0.name:acme orgs.0.quota_per_s:100 orgs.count:1 " +
	"policy_limits.cancel:true policy_limits.conn_idle:15 policy_limits.dial_timeout:0.25 " +
	"policy_limits.max_retry_after:2 policy_limits.max_streams:32 policy_limits.probing:true " +
	"policy_limits.retry_after:true policy_limits.send_cap:3 prices.cross_zone:0.5 quantum:0.001 registry_mode:ask " +
	"report.fields:busy_reqs,pending report.fields.count:2 report.source:inline request_classes: " +
	"request_classes.0.aim:1 request_classes.0.effect:pure request_classes.0.give_up:600 request_classes.0.name:call " +
	"request_classes.1.aim:1 request_classes.1.effect:side_effect request_classes.1.give_up:600 " +
	"request_classes.1.name:pay request_classes.2.aim:1 request_classes.2.dedup_scope:zone " +
	"request_classes.2.effect:token request_classes.2.give_up:600 request_classes.2.name:keyed " +
	"request_classes.2.window:5 request_classes.count:3 rules.cold_from:0.2 rules.fall:1 rules.fall_multiple:2.5 " +
	"rules.must_ask_in:12 rules.stop_sending_within:0.5 rules.warm_after:17 weight_source:nominal] " +
	"{10096842570142050660 0 1 1ms [{call 0 2 0s 1s} {pay 2 2 0s 1s} {keyed 1 1 5s 1s}] [{acme 100}] 3 true true 2s " +
	"{true true 5s 4s 10s 20 0.1} {0.2 17s 2.5 1s} 12s [{k 1000}] z 500ms 0 true}} " +
	"1 {true [{w 127.0.0.1:7000 z k 3 up 4 0}]}"

// A configuration that has every key must be parsed to the golden values.
func TestGoldenConfig(t *testing.T) {
	c, err := platform.Parse([]byte(goldenConfig))
	if err != nil {
		t.Fatal(err)
	}
	list := ""
	for _, e := range c.KnownEndpoints.Events {
		list += fmt.Sprint(e.Position, *e.Update)
	}
	c.KnownEndpoints.Events = nil
	if got := fmt.Sprintf("%v %s", c, list); got != goldenValues {
		t.Errorf("\n got %s\nwant %s", got, goldenValues)
	}
}

// Each top-level key, and each key of limits, must be read under its present name: without the key, Parse must return a
// different configuration or the expected error.
func TestGoldenConfigKeys(t *testing.T) {
	complete, err := platform.Parse([]byte(goldenConfig))
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"name": "", "listen": "listen: missing port in address",
		"seed":             `seed: strconv.ParseUint: parsing "": invalid syntax`,
		"journal":          "journal: missing port in address",
		"limits":           "limits: cores and memory_mb above 0 and at least 36 sockets are needed",
		"limits.cores":     "limits: cores and memory_mb above 0 and at least 36 sockets are needed",
		"limits.memory_mb": "limits: cores and memory_mb above 0 and at least 36 sockets are needed",
		"limits.sockets":   "limits: cores and memory_mb above 0 and at least 36 sockets are needed",
		"known":            "", "settings": "settings: request_classes: there is none"} {
		var object map[string]any
		if err := json.Unmarshal([]byte(goldenConfig), &object); err != nil {
			t.Fatal(err)
		}
		in, name := object, key
		if parent, child, found := strings.Cut(key, "."); found {
			in, name = object[parent].(map[string]any), child
		}
		if _, found := in[name]; !found {
			t.Errorf("the golden configuration has no key %s", key)
		}
		delete(in, name)
		b, err := json.Marshal(object)
		if err != nil {
			t.Fatal(err)
		}
		c, err := platform.Parse(b)
		switch {
		case err != nil && err.Error() != want, err == nil && want != "":
			t.Errorf("without %s:\n got %v\nwant %s", key, err, want)
		case err == nil && fmt.Sprint(c) == fmt.Sprint(complete):
			t.Errorf("without %s: got the same configuration, want a different one", key)
		}
	}
}

// readRawArray reads one array of bulk strings and returns its exact bytes and its elements.
func readRawArray(in *bufio.Reader) (raw string, elements []string, err error) {
	readLength := func(prefix byte) int {
		line, lineErr := in.ReadString('\n')
		raw += line
		if lineErr != nil || len(line) < 4 || line[0] != prefix {
			err = fmt.Errorf("%q, %v", line, lineErr)
			return 0
		}
		n, numberErr := strconv.Atoi(strings.TrimSpace(line[1:]))
		if numberErr != nil {
			err = numberErr
		}
		return n
	}
	n := readLength('*')
	for i := 0; i < n && err == nil; i++ {
		b := make([]byte, readLength('$')+2)
		if err == nil {
			_, err = io.ReadFull(in, b)
		}
		raw += string(b)
		elements = append(elements, string(b[:len(b)-2]))
	}
	return raw, elements, err
}

// goldenHarness is a gateway whose worker and clients exchange exact bytes with it.
type goldenHarness struct {
	t        *testing.T
	received chan string // exact bytes of the commands that the worker received
	addr     string      // address of the gateway
}

func startGolden(t *testing.T, instances int) *goldenHarness {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	worker, service, clients := listen(), listen(), listen()
	text := strings.NewReplacer("127.0.0.1:7000", worker.Addr().String(), "127.0.0.1:7001", service.Addr().String(),
		"127.0.0.1:7002", clients.Addr().String(), `"instances": 1`, fmt.Sprintf(`"instances": %d`, instances),
	).Replace(goldenConfig)
	c, err := platform.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	h := &goldenHarness{t: t, received: make(chan string, 1000), addr: clients.Addr().String()}
	f := platform.New(c, clients, slog.New(slog.DiscardHandler), nil)
	ctx, stop := context.WithCancel(context.Background())
	ended, served := make(chan error, 1), make(chan bool, 1)
	go func() { ended <- f.Run(ctx) }()
	go func() {
		h.serveWorker(worker)
		served <- true
	}()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		worker.Close()
		service.Close()
		<-served
	})
	return h
}

// serveWorker acts as the worker until its listener is closed. The body of a request determines the response.
func (h *goldenHarness) serveWorker(l net.Listener) {
	done := make(chan bool, 100)
	n := 0
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		n++
		go func() {
			defer func() { done <- true }()
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				raw, words, err := readRawArray(in)
				if err != nil {
					return
				}
				h.received <- raw
				answer := ""
				switch words[0] {
				case "FN":
					switch words[3] {
					case "ok":
						answer = "$2\r\nok\r\n$37\r\nhow=ready,stats=busy_reqs:1;pending:0\r\n$6\r\ndone\r\n\r\n"
					case "error":
						answer = "$5\r\nerror\r\n$1\r\n-\r\n$0\r\n\r\n"
					}
				case "SPAWN":
					answer = "$2\r\nok\r\n$3\r\nn=1\r\n$0\r\n\r\n"
				case "TOP":
					answer = "$3\r\nyes\r\n$15\r\nstats=pending:0\r\n$0\r\n\r\n"
				}
				if answer != "" {
					if _, err := fmt.Fprintf(conn, "*4\r\n$%d\r\n%s\r\n%s", len(words[1]), words[1], answer); err != nil {
						return
					}
				}
			}
		}()
	}
	for range n {
		<-done
	}
}

// nextCommand returns the next command of the given name that the worker receives. The time left, which varies, is
// replaced by a fixed text.
func (h *goldenHarness) nextCommand(name string) string {
	h.t.Helper()
	for {
		select {
		case raw := <-h.received:
			if strings.Contains(raw, "\r\n"+name+"\r\n") {
				return regexp.MustCompile(`wait=[0-9]{6}\b`).ReplaceAllString(raw, "wait=NNNNNN")
			}
		case <-time.After(20 * time.Second):
			h.t.Fatal("the worker did not receive a command within 20 s: ", name)
		}
	}
}

func (h *goldenHarness) dial() net.Conn {
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// sizedString returns a string in the encoding of the strict binary protocol, or a frame, which is encoded alike.
func sizedString(s string) string {
	return "\x00\x00" + string([]byte{byte(len(s) >> 8), byte(len(s))}) + s
}

// messageFrame returns a framed message. Kind 1 is a call, 2 a reply, 3 an exception, 4 a oneway call.
func messageFrame(kind byte, name string, seq byte, args string) string {
	return sizedString("\x80\x01\x00" + string([]byte{kind}) + sizedString(name) +
		"\x00\x00\x00" + string([]byte{seq}) + args)
}

// dispatchFrame returns a framed call of dispatch with the fields of a valid request. Its pairs change fields.
func dispatchFrame(seq byte, id, body string, pairs ...string) string {
	m := fields(id, append([]string{"wait", "500000"}, pairs...)...)
	args := "\x0d\x00\x01\x0b\x0b\x00\x00\x00" + string([]byte{byte(len(m) / 2)})
	for _, s := range m {
		args += sizedString(s)
	}
	return messageFrame(1, "dispatch", seq, args+"\x0b\x00\x02"+sizedString(body)+"\x00")
}

// exchange sends bytes and checks that the answer consists of exactly the wanted bytes.
func exchange(t *testing.T, conn net.Conn, what, send, want string) {
	t.Helper()
	if _, err := io.WriteString(conn, send); err != nil {
		t.Fatal(err)
	}
	var head [4]byte
	_, err := io.ReadFull(conn, head[:])
	b := make([]byte, int(head[2])<<8|int(head[3]))
	if err == nil {
		_, err = io.ReadFull(conn, b)
	}
	if got := string(head[:]) + string(b); err != nil || got != want {
		t.Fatalf("%s:\n got %q, %v\nwant %q", what, got, err, want)
	}
}

func exceptionFrame(name string, seq, code byte, reason string) string {
	return messageFrame(3, name, seq,
		"\x0b\x00\x01"+sizedString(reason)+"\x08\x00\x02\x00\x00\x00"+string([]byte{code})+"\x00")
}

// The encoding of each kind of answer to clients, and of each command to workers, must not change by a byte.
func TestGoldenConversation(t *testing.T) {
	h := startGolden(t, 1)
	conn := h.dial()
	const one, two, three = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	exchange(t, conn, "alive", messageFrame(1, "alive", 1, "\x00"),
		"\x00\x00\x00\x2a\x80\x01\x00\x02\x00\x00\x00\x05alive\x00\x00\x00\x01"+
			"\x0c\x00\x00\x0b\x00\x01\x00\x00\x00\x00\x0d\x00\x02\x0b\x0b\x00\x00\x00\x00\x02\x00\x03\x01\x00\x00")
	exchange(t, conn, "handled", dispatchFrame(1, one, "ok"),
		"\x00\x00\x00\x33\x80\x01\x00\x02\x00\x00\x00\x08dispatch\x00\x00\x00\x01"+
			"\x0c\x00\x00\x0b\x00\x01\x00\x00\x00\x06done\r\n\x0d\x00\x02\x0b\x0b\x00\x00\x00\x00\x02\x00\x03\x01\x00\x00")
	if got, want := h.nextCommand("FN"), "*4\r\n$2\r\nFN\r\n$16\r\n"+one+
		"\r\n$43\r\nclass=call,key=7f3a9c21e0b4d655,wait=NNNNNN\r\n$2\r\nok\r\n"; got != want {
		t.Errorf("\n got %q\nwant %q", got, want)
	}
	exchange(t, conn, "broken", dispatchFrame(2, two, "error", "class", "pay"),
		"\x00\x00\x00\x22\x80\x01\x00\x02\x00\x00\x00\x08dispatch"+
			"\x00\x00\x00\x02\x0c\x00\x02\x0d\x00\x01\x0b\x0b\x00\x00\x00\x00\x00\x00")
	h.nextCommand("FN")
	exchange(t, conn, "an ID that was used before", dispatchFrame(3, one, "ok"),
		exceptionFrame("dispatch", 3, 6, "an event of this id came before"))
	exchange(t, conn, "bad field", dispatchFrame(4, three, "ok", "class", "none"),
		exceptionFrame("dispatch", 4, 6, `class: "none" is not known`))
	if _, err := io.WriteString(conn, dispatchFrame(5, three, "hang", "class", "keyed", "once", "m1")); err != nil {
		t.Fatal(err)
	}
	want := "*4\r\n$2\r\nFN\r\n$16\r\n" + three +
		"\r\n$52\r\nclass=keyed,key=7f3a9c21e0b4d655,wait=NNNNNN,once=m1\r\n$4\r\nhang\r\n"
	if got := h.nextCommand("FN"); got != want {
		t.Errorf("\n got %q\nwant %q", got, want)
	}
	if _, err := io.WriteString(conn,
		messageFrame(4, "cancelRequest", 0, "\x08\x00\x01\x00\x00\x00\x05\x00")); err != nil {
		t.Fatal(err)
	}
	if got, want := h.nextCommand("KILL"), "*2\r\n$4\r\nKILL\r\n$16\r\n"+three+"\r\n"; got != want {
		t.Errorf("\n got %q\nwant %q", got, want)
	}
	exchange(t, conn, "a sequence ID that was used before", dispatchFrame(5, "00000000000000a4", "ok"),
		exceptionFrame("dispatch", 5, 4, "a number that is not new, or too many requests at a time"))
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the exception: got %d bytes, %v, want EOF", n, err)
	}
	exchange(t, h.dial(), "unknown method", messageFrame(1, "other", 1, "\x00"),
		exceptionFrame("other", 1, 1, `no method "other"`))
	exchange(t, h.dial(), "truncated arguments", messageFrame(1, "alive", 1, "\x02\x00"),
		exceptionFrame("alive", 1, 7, "thrift: malformed: a value longer than its frame"))
}

// The encoding of the answer to a request whose deadline has passed must not change: throttled, with a time until a
// retry in milliseconds, which varies and is replaced by a fixed text.
func TestGoldenThrottled(t *testing.T) {
	h := startGolden(t, 1)
	conn := h.dial()
	if _, err := io.WriteString(conn, dispatchFrame(1, "00000000000000a1", "hang", "wait", "200")); err != nil {
		t.Fatal(err)
	}
	var head [4]byte
	_, err := io.ReadFull(conn, head[:])
	b := make([]byte, head[3])
	if err == nil {
		_, err = io.ReadFull(conn, b)
	}
	got := regexp.MustCompile(`(?s)after\x00\x00\x00.[0-9]+`).ReplaceAllString(string(b), "after=N")
	want := "\x80\x01\x00\x02\x00\x00\x00\x08dispatch\x00\x00\x00\x01" +
		"\x0c\x00\x01\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x05after=N\x00\x00"
	if err != nil || got != want {
		t.Errorf("\n got %q, %v\nwant %q", got, err, want)
	}
}

// The encoding of load requests and probes must not change by a byte, except for the number in the tag, which is
// replaced. The configuration has more gateways than workers, as the core sends probes only then.
func TestGoldenLoadRequests(t *testing.T) {
	for name, want := range map[string]string{
		"SPAWN": "*3\r\n$5\r\nSPAWN\r\n$2\r\ntN\r\n$24\r\nkey=7f3a9c21e0b4d655,n=1\r\n",
		"TOP":   "*2\r\n$3\r\nTOP\r\n$2\r\ntN\r\n",
	} {
		h := startGolden(t, 10)
		conn := h.dial()
		requests := dispatchFrame(1, "00000000000000a1", "ok") + dispatchFrame(2, "00000000000000a2", "hang")
		if _, err := io.WriteString(conn, requests); err != nil {
			t.Fatal(err)
		}
		if got := regexp.MustCompile(`\bt[0-9]\b`).ReplaceAllString(h.nextCommand(name), "tN"); got != want {
			t.Errorf("\n got %q\nwant %q", got, want)
		}
	}
}

//go:embed testdata/golden/metrics.txt
var goldenMetrics string

//go:embed testdata/golden/status.txt
var goldenStatus string

// The names, kinds, help texts and labels of the metrics, and the keys of the status log line and their order, must not
// change. Values are not compared: they depend on time.
func TestGoldenMetrics(t *testing.T) {
	h := start(t)
	metricsAddr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, withListen(h.config, freeAddr(t)))
	l, ended := &logBuffer{changed: make(chan struct{})}, make(chan error, 1)
	go func() {
		ended <- platform.Run(path, slog.New(slog.NewJSONHandler(l, nil)), platform.Options{MetricsAddr: metricsAddr})
	}()
	l.wait("metrics listening", 1)
	l.wait("gateway listening", 1)
	lines := strings.Split(strings.TrimSpace(scrape(t, metricsAddr)), "\n")
	for i, line := range lines {
		if !strings.HasPrefix(line, "#") {
			lines[i] = line[:strings.LastIndexByte(line, ' ')]
		}
	}
	if got := strings.Join(lines, "\n"); got != strings.TrimSpace(goldenMetrics) {
		t.Errorf("\n got %s\nwant %s", got, goldenMetrics)
	}
	signal(t, syscall.SIGTERM)
	l.wait(`"msg":"status"`, 1)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if got := strings.Join(statusKeys(t, l.text), "\n"); got != strings.TrimSpace(goldenStatus) {
		t.Errorf("\n got %s\nwant %s", got, goldenStatus)
	}
}

// statusKeys returns the keys of the status line in a log, in their order.
func statusKeys(t *testing.T, log string) (keys []string) {
	t.Helper()
	lines := strings.Split(log, "\n")
	at := slices.IndexFunc(lines, func(s string) bool { return strings.Contains(s, `"msg":"status"`) })
	decoder := json.NewDecoder(strings.NewReader(lines[at]))
	if _, err := decoder.Token(); err != nil {
		t.Fatal(err)
	}
	for decoder.More() {
		key, err := decoder.Token()
		var value any
		if err == nil {
			err = decoder.Decode(&value)
		}
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, key.(string))
	}
	return keys
}
