package idempotency_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/worker/idempotency"
)

// exchange sends a request to a handler and gives the answer as text: status, the headers that are set, the body. There is
// no Date header, as the handler is called without a server.
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

func refusal(status int, reason string) string {
	return fmt.Sprintf("%d\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\n%s\n", status, reason)
}

// TestGoldenHandler: the answers of every endpoint of a register, in one order, on one register of two keys. The windows
// are the longest or an hour, so that none ends during the test.
func TestGoldenHandler(t *testing.T) {
	const (
		none   = "204\n\n"
		said   = "200\nContent-Type: application/json\n\n"
		notOne = "405\nAllow: POST\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\nMethod Not Allowed\n"
	)
	r, err := idempotency.Open(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	h := r.Handler()
	long := base64.StdEncoding.EncodeToString(make([]byte, idempotency.MaxStoredResponse+1))
	for i, x := range []struct{ path, body, want string }{
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":86400000}`, said + `{"said":"granted","holder":"c-1"}` + "\n"},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":1}`, said + `{"said":"granted","holder":"c-1"}` + "\n"},
		{"/v1/claim", `{"key":"k-1","claim":"c-2","window-ms":3600000}`, said + `{"said":"held","holder":"c-1"}` + "\n"},
		{"/v1/handled", `{"key":"k-1","claim":"c-2","body":"AAH/"}`, none}, // of another claim
		{"/v1/claim", `{"key":"k-1","claim":"c-2","window-ms":3600000}`, said + `{"said":"held","holder":"c-1"}` + "\n"},
		{"/v1/handled", `{"key":"k-1","claim":"c-1","body":"AAH/"}`, none},
		{"/v1/claim", `{"key":"k-1","claim":"c-2","window-ms":3600000}`, said + `{"said":"done","holder":"c-1","body":"AAH/"}` + "\n"},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":3600000}`, said + `{"said":"granted","holder":"c-1","body":"AAH/"}` + "\n"},
		{"/v1/release", `{"key":"k-1","claim":"c-1"}`, none}, // it was handled: it stays
		{"/v1/claim", `{"key":"k-2","claim":"c-3","window-ms":3600000}`, said + `{"said":"granted","holder":"c-3"}` + "\n"},
		{"/v1/claim", `{"key":"k-3","claim":"c-4","window-ms":3600000}`, refusal(503, "the register is full")},
		{"/v1/release", `{"key":"k-2","claim":"c-4"}`, none}, // of another claim
		{"/v1/release", `{"key":"k-2","claim":"c-3"}`, none},
		{"/v1/release", `{"key":"k-9","claim":"c-9"}`, none},
		{"/v1/handled", `{"key":"k-9","claim":"c-9"}`, none},
		{"/v1/claim", `{"key":"k-3","claim":"c-4","window-ms":3600000}`, said + `{"said":"granted","holder":"c-4"}` + "\n"},
		{"/v1/handled", `{"key":"k-3","claim":"c-4","body":"` + long + `"}`, none}, // too long to be kept
		{"/v1/claim", `{"key":"k-3","claim":"c-5","window-ms":3600000}`, said + `{"said":"done","holder":"c-4"}` + "\n"},

		{"/v1/claim", `{"key":"k-1","claim":"c-1"}`, refusal(400, "window-ms 0 is not between 1 and 86400000")},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":86400001}`, refusal(400, "window-ms 86400001 is not between 1 and 86400000")},
		{"/v1/claim", `{"key":"","claim":"c-1","window-ms":1}`, refusal(400, "key of 0 bytes, 1 to 2048 are taken")},
		{"/v1/release", `{"key":"` + strings.Repeat("k", 2049) + `","claim":"c-1"}`, refusal(400, "key of 2049 bytes, 1 to 2048 are taken")},
		{"/v1/handled", `{"key":"k-1"}`, refusal(400, "claim of 0 bytes, 1 to 64 are taken")},
		{"/v1/handled", `{"key":"k-1","claim":"` + strings.Repeat("c", 65) + `"}`, refusal(400, "claim of 65 bytes, 1 to 64 are taken")},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window":1}`, refusal(400, `body: json: unknown field "window"`)},
		{"/v1/claim", `{"key":"k-1","claim":"c-1"}{}`, refusal(400, "body: more than one value")},
		{"/v1/claim", ``, refusal(400, "body: EOF")},
		{"/v1/claim", `{"key":"` + strings.Repeat("k", 96<<10) + `"}`, refusal(400, "body: http: request body too large")},
		{"/v1/other", `{}`, refusal(404, "404 page not found")},
	} {
		if got := exchange(h, http.MethodPost, x.path, x.body); got != x.want {
			t.Errorf("%d: POST %s %.80s\n got %q\nwant %q", i, x.path, x.body, got, x.want)
		}
	}
	for _, path := range []string{"/v1/claim", "/v1/handled", "/v1/release"} {
		if got := exchange(h, http.MethodGet, path, ""); got != notOne {
			t.Errorf("GET %s\n got %q\nwant %q", path, got, notOne)
		}
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ path, body string }{
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":1}`},
		{"/v1/handled", `{"key":"k-1","claim":"c-1"}`},
		{"/v1/release", `{"key":"k-1","claim":"c-1"}`},
	} {
		if got, want := exchange(h, http.MethodPost, x.path, x.body), refusal(500, "database not open"); got != want {
			t.Errorf("POST %s of a closed register\n got %q\nwant %q", x.path, got, want)
		}
	}
}

// recorder is a register that notes requests and gives a fixed answer to claims.
type recorder struct {
	mu       sync.Mutex
	answer   string
	requests []string // method, path and body
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b, _ := io.ReadAll(req.Body) // a body cut short does not compare
	r.mu.Lock()
	r.requests = append(r.requests, req.Method+" "+req.URL.String()+" "+req.Header.Get("Content-Type")+"\n"+string(b))
	r.mu.Unlock()
	if req.URL.Path != "/v1/claim" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.WriteString(w, r.answer)
}

// TestGoldenGroup: the requests that a group sends to its register, and what it makes of each answer. The claim is random;
// the requests are compared with the one that Claim gave.
func TestGoldenGroup(t *testing.T) {
	claims := `POST /v1/claim ` + "\n" + `{"key":"k-1","claim":"CLAIM","window-ms":1500}`
	gives := `POST /v1/release ` + "\n" + `{"key":"k-1","claim":"CLAIM"}`
	for _, x := range []struct {
		answer  string
		verdict idempotency.Decision
		body    string
		after   func(g *idempotency.Group, claim string)
		want    []string
	}{
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "", func(g *idempotency.Group, claim string) { g.Complete("k-1", claim, []byte{0, 1, 255}) },
			[]string{claims, `POST /v1/handled ` + "\n" + `{"key":"k-1","claim":"CLAIM","body":"AAH/"}`}},
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "", func(g *idempotency.Group, claim string) {
			g.Complete("k-1", claim, make([]byte, idempotency.MaxStoredResponse+1))
		}, []string{claims, `POST /v1/handled ` + "\n" + `{"key":"k-1","claim":"CLAIM"}`}},
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "", func(g *idempotency.Group, claim string) { g.Release("k-1", claim) },
			[]string{claims, gives}},
		{`{"said":"held","holder":"c-2"}`, idempotency.DecisionDuplicate, "", nil, []string{claims}},
		{`{"said":"done","holder":"c-2","body":"AAH/"}`, idempotency.DecisionCompleted, "\x00\x01\xff", nil, []string{claims}},
		{`{"said":"other"}`, idempotency.DecisionUnknown, "", nil, []string{claims, gives}},
		{`x`, idempotency.DecisionUnknown, "", nil, []string{claims, gives}},
	} {
		reg := &recorder{answer: x.answer}
		s := httptest.NewServer(reg)
		g, err := idempotency.NewGroup([]string{strings.TrimPrefix(s.URL, "http://")}, 20*time.Second, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		claim, v, body := g.Claim(context.Background(), "k-1", 1500*time.Millisecond)
		if v != x.verdict || string(body) != x.body {
			t.Errorf("%s: got verdict %d, %q, want %d, %q", x.answer, v, body, x.verdict, x.body)
		}
		if x.after != nil {
			x.after(g, claim)
		}
		g.Close()
		s.Close()
		got := slices.Clone(reg.requests) // the server is closed: nothing writes them any more
		for i := range got {
			got[i] = strings.ReplaceAll(got[i], claim, "CLAIM")
		}
		if !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s: requests\n got %q\nwant %q", x.answer, got, x.want)
		}
	}
}
