package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// requestHead reads the head of a request and replaces the address of the test's listener by ADDR.
func requestHead(t *testing.T, in *bufio.Reader, addr string) string {
	t.Helper()
	var head strings.Builder
	for {
		line, err := in.ReadString('\n')
		head.WriteString(line)
		if err != nil {
			t.Fatalf("got %q, %v", head.String(), err)
		}
		if line == "\r\n" {
			return strings.ReplaceAll(head.String(), addr, "ADDR")
		}
	}
}

// The client must send exactly these bytes for the first poll and for a poll after event 7. Only the address of the
// test's listener is replaced.
func TestGoldenRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	addr := listener.Addr().String()
	events := make(chan discovery.Event, 2)
	limits := discovery.Limits{
		PollWait:      60 * time.Second,
		UsualResponse: 20 * time.Second,
		MaxResponse:   20 * time.Second,
		MaxBytes:      1 << 16,
	}
	watcher := discovery.NewWatcher(addr, limits, slog.New(slog.DiscardHandler),
		func(event discovery.Event) { events <- event })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	// The first poll waits for an eighth of PollWait, because it must soon be known whether the list is complete.
	const want = "GET /journal?tail=%d&max_wait=%d HTTP/1.1\r\nHost: ADDR\r\nUser-Agent: Go-http-client/1.1\r\n" +
		"Accept-Encoding: gzip\r\n\r\n"
	if got := requestHead(t, in, addr); got != fmt.Sprintf(want, 0, 7500) {
		t.Errorf("\n got %q\nwant %q", got, fmt.Sprintf(want, 0, 7500))
	}
	const body = `{"pos":7,"entries":[{"pos":7,"hosts":{"whole":true,"hosts":[]}}]}`
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, response); err != nil {
		t.Fatal(err)
	}
	if event := <-events; event.Position != 7 {
		t.Errorf("got event %d, want 7", event.Position)
	}
	if got := requestHead(t, in, addr); got != fmt.Sprintf(want, 7, 60000) {
		t.Errorf("\n got %q\nwant %q", got, fmt.Sprintf(want, 7, 60000))
	}
}

// Every form of answer must decode to these values: a complete list, changes to each state, an event that does not
// concern the endpoint list, no events, and invalid events.
func TestGoldenBatches(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"pos":5,"entries":[{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[{"host":"w1","dial":"127.0.0.1:9",` +
			`"site":"z","class":"k","block":2,"health":"up","share":4.5,"born_ms":1700000000123}]}},{"pos":4,"other":1},` +
			`{"pos":5,"hosts":{"hosts":[{"host":"w1","dial":"127.0.0.1:9","health":"draining"},` +
			`{"host":"w2","health":"removed"}]}}]}`,
			"last 5; event 1 whole true {w1 127.0.0.1:9 z k 2 up 4.5 1700000000123}; event 4 no list; " +
				"event 5 whole false {w1 127.0.0.1:9   0 draining 0 0} {w2    0 removed 0 0}"},
		{`{"pos":5,"entries":[]}`, "last 5"},
		{`{"pos":5}`, "last 5"},
		{`{"pos":5,"entries":[{"hosts":{}}]}`, "error journal: event without a position"},
		{`{"pos":5,"entries":[{"pos":5,"hosts":{"hosts":[{"host":"w","dial":"127.0.0.1:1","health":"well"}]}}]}`,
			`error journal: event 5: invalid worker: name "w", state "well"`},
		{`{"pos":5,"entries":[{"pos":5,"hosts":{"hosts":[{"host":"w","dial":"x","health":"up"}]}}]}`,
			`error journal: event 5: worker "w": address x: missing port in address`},
	} {
		batch, err := discovery.Parse([]byte(c.text))
		got := fmt.Sprint("last ", batch.Position)
		if err != nil {
			got = "error " + err.Error()
		}
		for _, e := range batch.Events {
			if e.Update == nil {
				got += fmt.Sprintf("; event %d no list", e.Position)
				continue
			}
			got += fmt.Sprintf("; event %d whole %v", e.Position, e.Update.Complete)
			for _, w := range e.Update.Endpoints {
				got += fmt.Sprintf(" {%v %v %v %v %v %v %v %v}",
					w.Name, w.Addr, w.Zone, w.Kind, w.Cell, w.State, w.Size, w.StartedUnixMilli)
			}
		}
		if got != c.want {
			t.Errorf("%s\n got %s\nwant %s", c.text, got, c.want)
		}
	}
}
