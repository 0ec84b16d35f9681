package invoke_test

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invoke"
)

// formatResponse formats a recorded response as text: the status, the header lines in sorted order, and the body.
func formatResponse(w *httptest.ResponseRecorder) string {
	var b strings.Builder
	fmt.Fprintln(&b, w.Code)
	for _, name := range slices.Sorted(maps.Keys(w.Header())) {
		fmt.Fprintf(&b, "%s: %s\n", name, strings.Join(w.Header()[name], ", "))
	}
	return b.String() + "\n" + w.Body.String()
}

// The response of each outcome must have exactly this status, these headers and this body.
func TestGoldenResponses(t *testing.T) {
	for _, c := range []struct {
		response invoke.Response
		want     string
	}{
		{invoke.Response{Outcome: invoke.Completed, RequestID: "f-1", Attempts: 2, Body: []byte("ran\x00")},
			"200\nContent-Length: 4\nContent-Type: application/octet-stream\nLupin-Event: f-1\nLupin-Launches: 2\n\nran\x00"},
		{invoke.Response{Outcome: invoke.Rejected, RequestID: "f-2", Attempts: 1, RetryAfter: 1200 * time.Millisecond,
			Reason: "no room"},
			"503\nContent-Type: application/problem+json\nLupin-Back-Ms: 1200\nLupin-Event: f-2\nLupin-Launches: 1\n" +
				"Retry-After: 2\n\n" +
				`{"type":"urn:lupinpond:deferred","title":"Deferred: try again later","status":503,"detail":"no room",` +
				`"event":"f-2","launches":1}` + "\n"},
		{invoke.Response{Outcome: invoke.Rejected, RequestID: "f-2"},
			"503\nContent-Type: application/problem+json\nLupin-Event: f-2\nLupin-Launches: 0\n\n" +
				`{"type":"urn:lupinpond:deferred","title":"Deferred: try again later","status":503,"event":"f-2"}` + "\n"},
		{invoke.Response{Outcome: invoke.Failed, RequestID: "f-3", Attempts: 3, MayHaveRun: true, Reason: "broken"},
			"502\nContent-Type: application/problem+json\nLupin-Event: f-3\nLupin-Launches: 3\n\n" +
				`{"type":"urn:lupinpond:dead-lettered","title":"Dead-lettered","status":502,"detail":"broken",` +
				`"event":"f-3","may-have-run":true,"launches":3}` + "\n"},
		{invoke.Response{Outcome: invoke.Failed, RequestID: "f-4"},
			"502\nContent-Type: application/problem+json\nLupin-Event: f-4\nLupin-Launches: 0\n\n" +
				`{"type":"urn:lupinpond:dead-lettered","title":"Dead-lettered","status":502,` +
				`"event":"f-4","may-have-run":false}` + "\n"},
		{invoke.Response{Outcome: invoke.NotAccepted, Reason: "this front end takes no event now"},
			"503\nConnection: close\nContent-Type: application/problem+json\n\n" +
				`{"type":"urn:lupinpond:not-taken","title":"Not taken","status":503,` +
				`"detail":"this front end takes no event now"}` + "\n"},
		{invoke.Response{Outcome: invoke.InFlight, RequestID: "f-5", RetryAfter: 500 * time.Microsecond, Reason: "twin"},
			"409\nContent-Type: application/problem+json\nLupin-Back-Ms: 1\nRetry-After: 1\n\n" +
				`{"type":"urn:lupinpond:not-taken","title":"In hand already","status":409,"detail":"twin",` +
				`"event":"f-5"}` + "\n"},
	} {
		w := httptest.NewRecorder()
		invoke.WriteResponse(w, c.response)
		if got := formatResponse(w); got != c.want {
			t.Errorf("%+v:\n got %q\nwant %q", c.response, got, c.want)
		}
	}
	names := fmt.Sprint(invoke.Completed, invoke.Rejected, invoke.Failed, invoke.NotAccepted, invoke.InFlight)
	if want := "completed rejected failed not_taken in_hand"; names != want {
		t.Errorf("names of outcomes:\n got %s\nwant %s", names, want)
	}
}

const goldenSettings = `
fleet:
  types:
    - {name: once, effect: at-most-once, target: 1s, max-age: 6s}
    - {name: keyed, effect: keyed, group: all, window: 5s, target: 1s, max-age: 4s}
  tenants: [{name: acme, share: 1}, {name: other, share: 1}]
  loading: {orders: false, on-miss: load, keep: 8s}
  allowed: {launches: 2}
  stop-sending-within: 1s
  ask-list-within: 1s
  quantum: 1ms
functions:
  - {name: pay, type: once, tenant: acme, lanes: 1, memory: 1MiB}
  - {name: tax, type: keyed, lanes: 1, memory: 1MiB}
front:
  limits: {body: 8B}
`

// newReadHandler returns a handler that parses requests with a Catalogue and responds with the fields of the Call, or
// with the problem of an invalid request.
func newReadHandler(t *testing.T) http.Handler {
	f, err := fleetconfig.Parse("golden.yaml", []byte(goldenSettings))
	if err != nil {
		t.Fatal(err)
	}
	catalogue, mux := invoke.NewCatalogue(f), http.NewServeMux()
	mux.HandleFunc("POST /v1/functions/{name}/invocations", func(w http.ResponseWriter, r *http.Request) {
		c, p := catalogue.ReadRequest(w, r)
		if p != nil {
			p.Write(w)
			return
		}
		fmt.Fprintf(w, "%s %s %q %q %q %q %v %v %q", c.Function.Name, c.Type.Name, c.Tenant, c.Source, c.ClientID,
			c.IdempotencyKey, c.TimeLeft, c.Retry, c.Body)
	})
	return mux
}

// brokenBody is a request body that cannot be read.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("cut") }

// The request headers of the API must be read under these names, and each invalid request must result in exactly this
// problem.
func TestGoldenRequests(t *testing.T) {
	handler := newReadHandler(t)
	for _, c := range []struct{ function, headers, body, want string }{
		{"pay", "", "x", `200 pay once "acme" "" "" "" 6s false "x"`},
		{"pay",
			"Ce-Specversion: 1.0|Ce-Type: once|Ce-Source: s|Ce-Id: i|Lupin-Tenant: acme|Lupin-Repeat: 1|" +
				"Prefer: wait=1.5|Idempotency-Key: k",
			"x", `200 pay once "acme" "s" "i" "" 1.5s true "x"`},
		{"pay", `Prefer: handling=strict, wait="2";x=1`, "", `200 pay once "acme" "" "" "" 2s false ""`},
		{"pay", "Prefer: wait=60|Lupin-Repeat: true", "", `200 pay once "acme" "" "" "" 6s false ""`},
		{"tax", `Idempotency-Key: "k"|Lupin-Tenant: other|Ce-Id: i`, "",
			`200 tax keyed "other" "" "i" "other\ntax\nk" 4s false ""`},
		{"tax", "Ce-Id: i|Ce-Source: s", "", `200 tax keyed "" "s" "i" "\ntax\ns\ni" 4s false ""`},
		{"none", "", "", problemResponse(404, "Not Found", `no function \"none\"`)},
		{"pay", "Ce-Specversion: 0.3", "", problemResponse(400, "Bad Request", `ce-specversion \"0.3\", 1.0 is taken`)},
		{"pay", "Ce-Type: keyed", "",
			problemResponse(400, "Bad Request", `ce-type \"keyed\", but pay takes events of type once`)},
		{"pay", "Ce-Id: " + strings.Repeat("i", 257), "",
			problemResponse(400, "Bad Request", `ce-id or Idempotency-Key longer than 256 bytes, or ce-source than 1024`)},
		{"pay", "Ce-Source: " + strings.Repeat("s", 1025), "",
			problemResponse(400, "Bad Request", `ce-id or Idempotency-Key longer than 256 bytes, or ce-source than 1024`)},
		{"pay", "Idempotency-Key: " + strings.Repeat("k", 257), "",
			problemResponse(400, "Bad Request", `ce-id or Idempotency-Key longer than 256 bytes, or ce-source than 1024`)},
		{"pay", "Lupin-Tenant: other", "", problemResponse(403, "Forbidden", `pay belongs to another tenant`)},
		{"tax", "Lupin-Tenant: nobody|Ce-Id: i", "", problemResponse(403, "Forbidden", `no tenant \"nobody\"`)},
		{"tax", "", "",
			problemResponse(400, "Bad Request", `an event of the keyed type keyed needs Idempotency-Key or ce-id`)},
		{"pay", "Prefer: wait=soon", "", problemResponse(400, "Bad Request", `Prefer: wait=soon is no time in seconds`)},
		{"pay", "Prefer: respond-async", "",
			problemResponse(501, "Not Implemented", `deferred calls (respond-async) are not built yet`)},
		{"pay", "", "123456789", problemResponse(413, "Request Entity Too Large", `the body is longer than 8 bytes`)},
		{"pay", "", "broken", problemResponse(400, "Bad Request", `the body broke off: cut`)},
	} {
		r := httptest.NewRequest(http.MethodPost, "/v1/functions/"+c.function+"/invocations", strings.NewReader(c.body))
		if c.body == "broken" {
			r = httptest.NewRequest(http.MethodPost, "/v1/functions/"+c.function+"/invocations", brokenBody{})
		}
		for line := range strings.SplitSeq(c.headers, "|") {
			if name, value, found := strings.Cut(line, ": "); found {
				r.Header.Add(name, value)
			}
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		got := fmt.Sprint(w.Code, " ", w.Body.String())
		if w.Code != 200 {
			got = formatResponse(w)
			got = strings.Replace(got, "Connection: close\n", "", 1) // MaxBytesReader adds it, not the API
		}
		if got != c.want {
			t.Errorf("%s, %.80s:\n got %q\nwant %q", c.function, c.headers, got, c.want)
		}
	}
}

// problemResponse returns the response to an invalid request in the format of formatResponse. detail must be escaped
// for JSON.
func problemResponse(status int, title, detail string) string {
	return fmt.Sprintf("%d\nContent-Type: application/problem+json\n\n"+
		`{"type":"urn:lupinpond:request","title":"%s","status":%d,"detail":"%s"}`+"\n", status, title, status, detail)
}
