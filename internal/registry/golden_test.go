package registry_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/registry"
)

// streamTimeout is the time limit of a stream test. Only a failing test reaches it.
const streamTimeout = 20 * time.Second

const (
	fullJSON = `{"name":"w-1","addr":"10.0.0.1:8720","zone":"z-2","cell":"c-3","kind":"k-4","cores":5.5,"state":"in",` +
		`"chunks":"10.0.0.1:8721","started":"2021-03-04T05:06:07.000000089Z"}`
	emptyJSON = `{"name":"w-0","addr":"a","cores":0,"state":"draining","started":"0001-01-01T00:00:00Z"}`
)

// fullEntry returns an entry with all fields set; fullJSON is its encoding.
func fullEntry() registry.Entry {
	return registry.Entry{Name: "w-1", Addr: "10.0.0.1:8720", Zone: "z-2", Cell: "c-3", Kind: "k-4", Cores: 5.5,
		State: registry.InService, ChunkAddr: "10.0.0.1:8721", Started: time.Date(2021, 3, 4, 5, 6, 7, 89, time.UTC)}
}

// exchange sends a request to a handler and returns the response as text: the status, the checked headers that are
// set, and the body. The response has no Date header because the handler is called without a server.
func exchange(h http.Handler, method, target, body string) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	text := fmt.Sprintf("%d\n", w.Code)
	for _, name := range []string{"Allow", "Content-Type", "Retry-After", "X-Content-Type-Options"} {
		if v := w.Header().Get(name); v != "" {
			text += name + ": " + v + "\n"
		}
	}
	return text + "\n" + w.Body.String()
}

func rejection(status int, reason string) string {
	return fmt.Sprintf("%d\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\n%s\n",
		status, reason)
}

// TestGoldenHandler compares the responses of all endpoints except the watch stream with their exact expected text. The
// requests are sent in this order to one registry.
func TestGoldenHandler(t *testing.T) {
	const (
		none   = "204\n\n"
		listed = "200\nContent-Type: application/json\n\n"
		needed = "entry: a name as in the address, an addr and a known state are needed"
	)
	h := registry.New(nil).Handler()
	for i, x := range []struct{ method, target, body, want string }{
		{"GET", "/v1/workers", "", listed + "null\n"},
		{"PUT", "/v1/workers/w-1", fullJSON, none},
		{"PUT", "/v1/workers/w-0?lease=1h", emptyJSON, none},
		{"GET", "/v1/workers", "", listed + "[" + emptyJSON + "," + fullJSON + "]\n"},
		{"PUT", "/v1/workers/w-2", fullJSON, rejection(400, needed)},
		{"PUT", "/v1/workers/w-2", `{"name":"w-2","state":"in"}`, rejection(400, needed)},
		{"PUT", "/v1/workers/w-2", `{"name":"w-2","addr":"a","state":"out"}`, rejection(400, needed)},
		{"PUT", "/v1/workers/w-2", `{"name":"w-2","addr":"a"}`, rejection(400, needed)},
		{"PUT", "/v1/workers/w-2", `{"name":"w-2","other":1}`, rejection(400, `entry: json: unknown field "other"`)},
		{"PUT", "/v1/workers/w-2", ``, rejection(400, "entry: EOF")},
		{"PUT", "/v1/workers/w-2", `{"name":"` + strings.Repeat("x", 64<<10) + `"}`,
			rejection(400, "entry: http: request body too large")},
		{"PUT", "/v1/workers/w-1?lease=soon", fullJSON, rejection(400, "lease: a duration such as 3s")},
		{"PUT", "/v1/workers/w-1?lease=-1s", fullJSON, rejection(400, "lease: a duration such as 3s")},
		{"POST", "/v1/workers/w-1/drain", "", none},
		{"GET", "/v1/workers", "", listed + "[" + emptyJSON + "," + strings.Replace(fullJSON, `"in"`, `"draining"`, 1) +
			"]\n"},
		{"POST", "/v1/workers/w-1/gone", "", none},
		{"GET", "/v1/workers", "", listed + "[" + emptyJSON + "]\n"},
		{"POST", "/v1/workers/w-9/drain", "", rejection(404, "no such worker")},
		{"POST", "/v1/workers/w-9/gone", "", rejection(404, "no such worker")},
		{"POST", "/v1/workers/w-9/restore", "", rejection(404, "no such worker")},
		{"POST", "/v1/workers", "",
			`405
Allow: GET, HEAD
Content-Type: text/plain; charset=utf-8
X-Content-Type-Options: nosniff

Method Not Allowed
`},
		{"GET", "/v1/workers/w-0", "",
			`405
Allow: PUT
Content-Type: text/plain; charset=utf-8
X-Content-Type-Options: nosniff

Method Not Allowed
`},
		{"GET", "/health", "", rejection(404, "404 page not found")},
	} {
		if got := exchange(h, x.method, x.target, x.body); got != x.want {
			t.Errorf("%d: %s %s\n got %q\nwant %q", i, x.method, x.target, got, x.want)
		}
	}
}

// TestGoldenStream compares the lines of a watch stream with their exact expected text. Empty lines are skipped: they
// are heartbeats, whose number depends on timing.
func TestGoldenStream(t *testing.T) {
	var mu sync.Mutex
	var gateways []string
	r := registry.New(func(gateway string, _ time.Time, _ registry.WatchEvent) {
		mu.Lock()
		defer mu.Unlock()
		gateways = append(gateways, gateway)
	})
	s := httptest.NewServer(r.Handler())
	defer s.Close()
	ctx, stop := context.WithTimeout(context.Background(), streamTimeout)
	defer stop()
	r.Set(fullEntry())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/v1/list?front=front-1", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get("Content-Type"); resp.StatusCode != 200 || got != "application/x-ndjson" {
		t.Errorf("stream: got %d, %q, want 200, application/x-ndjson", resp.StatusCode, got)
	}
	in := bufio.NewReader(resp.Body)
	line := func(want string) {
		t.Helper()
		for {
			got, err := in.ReadString('\n')
			if err != nil {
				t.Fatalf("stream: %v, want %q", err, want)
			}
			if got != "\n" {
				if got != want {
					t.Errorf("stream:\n got %q\nwant %q", got, want)
				}
				return
			}
		}
	}
	line(`{"version":1,"whole":true,"entries":[` + fullJSON + "]}\n")
	r.SetState("w-1", registry.Draining)
	line(`{"version":2,"whole":false,"entries":[` + strings.Replace(fullJSON, `"in"`, `"draining"`, 1) + "]}\n")
	r.SetState("w-1", registry.Removed)
	line(`{"version":3,"whole":false,"entries":[` + strings.Replace(fullJSON, `"in"`, `"gone"`, 1) + "]}\n")
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"front-1", "front-1", "front-1"}; !reflect.DeepEqual(gateways, want) {
		t.Errorf("gateways in calls of the send hook: got %q, want %q", gateways, want)
	}
}

// TestGoldenEmptyStream compares the first line of a watch stream of a registry without workers.
func TestGoldenEmptyStream(t *testing.T) {
	s := httptest.NewServer(registry.New(nil).Handler())
	defer s.Close()
	ctx, stop := context.WithTimeout(context.Background(), streamTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/v1/list", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	want := `{"version":0,"whole":true,"entries":null}` + "\n"
	if got, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil || got != want {
		t.Errorf("stream: got %q, %v, want %q", got, err, want)
	}
}

// fixedTransport is an http.RoundTripper that records the request and returns a fixed response.
type fixedTransport struct {
	status  int
	body    string
	request string // method, URL and body
}

func (c *fixedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	c.request = req.Method + " " + req.URL.String() + "\n"
	if len(req.Header) > 0 {
		c.request += fmt.Sprintf("%v\n", req.Header) // the client sets no headers itself
	}
	if req.Body != nil {
		b, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		c.request += string(b)
	}
	return &http.Response{
		StatusCode: c.status,
		Status:     fmt.Sprintf("%d %s", c.status, http.StatusText(c.status)),
		Header:     http.Header{},
		Body:       io.NopCloser(bytes.NewBufferString(c.body)),
		Request:    req,
	}, nil
}

// TestGoldenClient compares the requests that Client sends and the values and errors that it returns for fixed
// responses.
func TestGoldenClient(t *testing.T) {
	ctx := context.Background()
	const base = "http://list:8710"
	escaped := fullEntry()
	escaped.Name = "w/1 ü"
	for _, x := range []struct {
		name    string
		status  int
		body    string
		call    func(registry.Client) (any, error)
		request string
		want    any
		err     string
	}{
		{"put", 204, "", func(c registry.Client) (any, error) { return nil, c.Register(ctx, fullEntry(), 3*time.Second) },
			"PUT " + base + "/v1/workers/w-1?lease=3s\n" + fullJSON, nil, ""},
		{"put an escaped name", 400, "no\n", func(c registry.Client) (any, error) {
			return nil, c.Register(ctx, escaped, 90*time.Second)
		},
			"PUT " + base + "/v1/workers/w%2F1%20%C3%BC?lease=1m30s\n" + strings.Replace(fullJSON, "w-1", "w/1 ü", 1), nil,
			"registry: 400 Bad Request: no"},
		{"drain", 204, "", func(c registry.Client) (any, error) { return nil, c.SetState(ctx, "w-1", registry.Draining) },
			"POST " + base + "/v1/workers/w-1/drain\n", nil, ""},
		{"gone", 404, "no such worker\n", func(c registry.Client) (any, error) {
			return nil, c.SetState(ctx, "w-1", registry.Removed)
		},
			"POST " + base + "/v1/workers/w-1/gone\n", nil, "registry: 404 Not Found: no such worker"},
		{"restore", 204, "", func(c registry.Client) (any, error) { return nil, c.Restore(ctx, "w-1") },
			"POST " + base + "/v1/workers/w-1/restore\n", nil, ""},
		{"in", 204, "", func(c registry.Client) (any, error) { return nil, c.SetState(ctx, "w-1", registry.InService) },
			"", nil, `worker state cannot be set to "in"`},
		{"workers", 200, "[" + fullJSON + "]\n", func(c registry.Client) (any, error) { return c.Workers(ctx) },
			"GET " + base + "/v1/workers\n", []registry.Entry{fullEntry()}, ""},
		{"no workers", 200, "null\n", func(c registry.Client) (any, error) { return c.Workers(ctx) },
			"GET " + base + "/v1/workers\n", []registry.Entry(nil), ""},
		{"invalid list", 200, "x", func(c registry.Client) (any, error) { return c.Workers(ctx) },
			"GET " + base + "/v1/workers\n", []registry.Entry(nil),
			"registry sent an invalid endpoint list\ninvalid character 'x' looking for beginning of value"},
	} {
		transport := &fixedTransport{status: x.status, body: x.body}
		got, err := x.call(registry.Client{BaseURL: base, HTTP: &http.Client{Transport: transport}})
		text := ""
		if err != nil {
			text = err.Error()
		}
		if transport.request != x.request {
			t.Errorf("%s: request\n got %q\nwant %q", x.name, transport.request, x.request)
		}
		if text != x.err || !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s: result\n got %+v, %q\nwant %+v, %q", x.name, got, text, x.want, x.err)
		}
	}
}

// TestGoldenWatch compares the request that Watch sends, the events that it passes to the handler and the error that it
// returns.
func TestGoldenWatch(t *testing.T) {
	const base = "http://list:8710"
	complete := `{"version":7,"whole":true,"entries":[` + fullJSON + "]}\n"
	seven := registry.WatchEvent{Version: 7, Complete: true, Entries: []registry.Entry{fullEntry()}}
	for _, x := range []struct {
		name   string
		status int
		body   string
		want   []registry.WatchEvent
		err    string
	}{
		{"ends", 200, "\n" + complete + "\n" + `{"version":8,"whole":false,"entries":null}` + "\n",
			[]registry.WatchEvent{seven, {Version: 8}},
			"watch the list: unexpected EOF"},
		{"bad state", 200, complete + `{"version":8,"whole":false,"entries":[{"name":"w-1","state":"out"}]}` + "\n",
			[]registry.WatchEvent{seven},
			`watch the list: list version 8, entry 0 is invalid: worker "w-1", state "out"`},
		{"invalid JSON", 200, "x\n", nil, "watch the list: invalid character 'x' looking for beginning of value"},
		{"refused", 503, "", nil, "watch the list: status 503 Service Unavailable"},
	} {
		transport := &fixedTransport{status: x.status, body: x.body}
		var got []registry.WatchEvent
		err := registry.Watch(context.Background(), &http.Client{Transport: transport}, base, "front 1&x",
			func(n registry.WatchEvent) { got = append(got, n) })
		if want := "GET " + base + "/v1/list?front=front+1%26x\n"; transport.request != want {
			t.Errorf("%s: request got %q, want %q", x.name, transport.request, want)
		}
		if err == nil {
			err = errors.New("none")
		}
		if err.Error() != x.err || !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s:\n got %+v, %q\nwant %+v, %q", x.name, got, err, x.want, x.err)
		}
	}
}
