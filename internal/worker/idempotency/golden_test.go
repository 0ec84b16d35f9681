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

// exchange sends a request to a handler and returns the response as text: its status, some of its headers, and its
// body. There is no Date header, as the handler is called without a server.
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

func errorResponse(status int, reason string) string {
	return fmt.Sprintf("%d\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\n%s\n",
		status, reason)
}

// A register's responses must not change, as workers of other versions parse them. The requests are sent in order to
// one register with space for two keys. The windows are an hour or longer, so that none ends during the test.
func TestGoldenHandler(t *testing.T) {
	const (
		noContent        = "204\n\n"
		okJSON           = "200\nContent-Type: application/json\n\n"
		methodNotAllowed = // for every method except POST
		"405\nAllow: POST\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\nMethod Not Allowed\n"
	)
	r, err := idempotency.Open(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	h := r.Handler()
	long := base64.StdEncoding.EncodeToString(make([]byte, idempotency.MaxStoredResponse+1))
	for i, x := range []struct{ path, body, want string }{
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":86400000}`,
			okJSON + `{"said":"granted","holder":"c-1"}` + "\n"},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":1}`, okJSON + `{"said":"granted","holder":"c-1"}` + "\n"},
		{"/v1/claim", `{"key":"k-1","claim":"c-2","window-ms":3600000}`, okJSON + `{"said":"held","holder":"c-1"}` + "\n"},
		{"/v1/handled", `{"key":"k-1","claim":"c-2","body":"AAH/"}`, noContent}, // c-2 does not own the key
		{"/v1/claim", `{"key":"k-1","claim":"c-2","window-ms":3600000}`, okJSON + `{"said":"held","holder":"c-1"}` + "\n"},
		{"/v1/handled", `{"key":"k-1","claim":"c-1","body":"AAH/"}`, noContent},
		{"/v1/claim", `{"key":"k-1","claim":"c-2","window-ms":3600000}`,
			okJSON + `{"said":"done","holder":"c-1","body":"AAH/"}` + "\n"},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":3600000}`,
			okJSON + `{"said":"granted","holder":"c-1","body":"AAH/"}` + "\n"},
		{"/v1/release", `{"key":"k-1","claim":"c-1"}`, noContent}, // no effect on a completed request
		{"/v1/claim", `{"key":"k-2","claim":"c-3","window-ms":3600000}`, okJSON + `{"said":"granted","holder":"c-3"}` + "\n"},
		{"/v1/claim", `{"key":"k-3","claim":"c-4","window-ms":3600000}`, errorResponse(503, "the register is full")},
		{"/v1/release", `{"key":"k-2","claim":"c-4"}`, noContent}, // c-4 does not own the key
		{"/v1/release", `{"key":"k-2","claim":"c-3"}`, noContent},
		{"/v1/release", `{"key":"k-9","claim":"c-9"}`, noContent},
		{"/v1/handled", `{"key":"k-9","claim":"c-9"}`, noContent},
		{"/v1/claim", `{"key":"k-3","claim":"c-4","window-ms":3600000}`, okJSON + `{"said":"granted","holder":"c-4"}` + "\n"},
		{"/v1/handled", `{"key":"k-3","claim":"c-4","body":"` + long + `"}`, noContent}, // too long to be stored
		{"/v1/claim", `{"key":"k-3","claim":"c-5","window-ms":3600000}`, okJSON + `{"said":"held","holder":"c-4"}` + "\n"},

		{"/v1/claim", `{"key":"k-1","claim":"c-1"}`, errorResponse(400, "window-ms 0 is not between 1 and 86400000")},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window-ms":86400001}`,
			errorResponse(400, "window-ms 86400001 is not between 1 and 86400000")},
		{"/v1/claim", `{"key":"","claim":"c-1","window-ms":1}`, errorResponse(400, "key of 0 bytes, 1 to 2048 are taken")},
		{"/v1/release", `{"key":"` + strings.Repeat("k", 2049) + `","claim":"c-1"}`,
			errorResponse(400, "key of 2049 bytes, 1 to 2048 are taken")},
		{"/v1/handled", `{"key":"k-1"}`, errorResponse(400, "claim of 0 bytes, 1 to 64 are taken")},
		{"/v1/handled", `{"key":"k-1","claim":"` + strings.Repeat("c", 65) + `"}`,
			errorResponse(400, "claim of 65 bytes, 1 to 64 are taken")},
		{"/v1/claim", `{"key":"k-1","claim":"c-1","window":1}`, errorResponse(400, `body: json: unknown field "window"`)},
		{"/v1/claim", `{"key":"k-1","claim":"c-1"}{}`, errorResponse(400, "body: more than one value")},
		{"/v1/claim", ``, errorResponse(400, "body: EOF")},
		{"/v1/claim", `{"key":"` + strings.Repeat("k", 96<<10) + `"}`,
			errorResponse(400, "body: http: request body too large")},
		{"/v1/other", `{}`, errorResponse(404, "404 page not found")},
	} {
		if got := exchange(h, http.MethodPost, x.path, x.body); got != x.want {
			t.Errorf("%d: POST %s %.80s\n got %q\nwant %q", i, x.path, x.body, got, x.want)
		}
	}
	for _, path := range []string{"/v1/claim", "/v1/handled", "/v1/release"} {
		if got := exchange(h, http.MethodGet, path, ""); got != methodNotAllowed {
			t.Errorf("GET %s\n got %q\nwant %q", path, got, methodNotAllowed)
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
		if got, want := exchange(h, http.MethodPost, x.path, x.body), errorResponse(500, "database not open"); got != want {
			t.Errorf("POST %s to a closed register\n got %q\nwant %q", x.path, got, want)
		}
	}
}

// fakeRegister is a register that records requests and returns a fixed answer to claims.
type fakeRegister struct {
	mu       sync.Mutex
	answer   string
	requests []string // method, path and body
}

func (r *fakeRegister) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b, _ := io.ReadAll(req.Body) // the comparison fails for a truncated body
	r.mu.Lock()
	r.requests = append(r.requests, req.Method+" "+req.URL.String()+" "+req.Header.Get("Content-Type")+"\n"+string(b))
	r.mu.Unlock()
	if req.URL.Path != "/v1/claim" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.WriteString(w, r.answer)
}

// The requests that a group sends to its registers, and its decision on each answer, must not change, as registers of
// other versions parse the requests and send the answers. Claims are random: the test replaces the claim that Claim
// returned by CLAIM.
func TestGoldenGroup(t *testing.T) {
	claimRequest := `POST /v1/claim ` + "\n" + `{"key":"k-1","claim":"CLAIM","window-ms":1500}`
	releaseRequest := `POST /v1/release ` + "\n" + `{"key":"k-1","claim":"CLAIM"}`
	for _, x := range []struct {
		answer     string
		decision   idempotency.Decision
		body       string
		afterClaim func(g *idempotency.Group, claim string)
		want       []string
	}{
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "",
			func(g *idempotency.Group, claim string) { g.Complete("k-1", claim, []byte{0, 1, 255}) },
			[]string{claimRequest, `POST /v1/handled ` + "\n" + `{"key":"k-1","claim":"CLAIM","body":"AAH/"}`}},
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "", func(g *idempotency.Group, claim string) {
			g.Complete("k-1", claim, make([]byte, idempotency.MaxStoredResponse+1))
		}, []string{claimRequest}},
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "",
			func(g *idempotency.Group, claim string) { g.Complete("k-1", claim, nil) },
			[]string{claimRequest, `POST /v1/handled ` + "\n" + `{"key":"k-1","claim":"CLAIM"}`}},
		{`{"said":"granted","holder":"c-1"}`, idempotency.DecisionExecute, "",
			func(g *idempotency.Group, claim string) { g.Release("k-1", claim) },
			[]string{claimRequest, releaseRequest}},
		{`{"said":"held","holder":"c-2"}`, idempotency.DecisionDuplicate, "", nil, []string{claimRequest}},
		{`{"said":"done","holder":"c-2","body":"AAH/"}`, idempotency.DecisionCompleted, "\x00\x01\xff", nil,
			[]string{claimRequest}},
		{`{"said":"other"}`, idempotency.DecisionUnknown, "", nil, []string{claimRequest, releaseRequest}},
		{`x`, idempotency.DecisionUnknown, "", nil, []string{claimRequest, releaseRequest}},
	} {
		register := &fakeRegister{answer: x.answer}
		server := httptest.NewServer(register)
		g, err := idempotency.NewGroup([]string{strings.TrimPrefix(server.URL, "http://")}, 20*time.Second,
			slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		claim, decision, body := g.Claim(context.Background(), "k-1", 1500*time.Millisecond)
		if decision != x.decision || string(body) != x.body {
			t.Errorf("%s: got decision %d, %q, want %d, %q", x.answer, decision, body, x.decision, x.body)
		}
		if x.afterClaim != nil {
			x.afterClaim(g, claim)
		}
		g.Close()
		server.Close()
		got := slices.Clone(register.requests) // safe without the lock: the server is closed
		for i := range got {
			got[i] = strings.ReplaceAll(got[i], claim, "CLAIM")
		}
		if !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s: requests\n got %q\nwant %q", x.answer, got, x.want)
		}
	}
}
