package gateway_test

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

// volatile lists the parts of responses that depend on time, with the text that replaces them before a comparison.
var volatile = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\r\nDate: [^\r]+\r\n`), "\r\nDate: D\r\n"},
	{regexp.MustCompile(`\r\nLupin-Back-Ms: [0-9]+\r\n`), "\r\nLupin-Back-Ms: N\r\n"},
	{regexp.MustCompile(`\r\nRetry-After: [0-9]+\r\n`), "\r\nRetry-After: N\r\n"},
}

// sendRaw sends the bytes of a request on a new connection and returns the whole response, with volatile parts
// replaced.
func (r *harness) sendRaw(request string) string {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		r.t.Fatal(err)
	}
	b, err := io.ReadAll(conn)
	if err != nil {
		r.t.Fatal(err)
	}
	got := string(b)
	for _, v := range volatile {
		got = v.pattern.ReplaceAllString(got, v.replacement)
	}
	return got
}

// postRequest returns the bytes of a POST request of the invoke API. Each header line must end with CRLF.
func postRequest(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		path, headers, len(body), body)
}

// rejection returns the bytes of a problem response to an invalid request.
func rejection(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/problem+json\r\nDate: D\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s", status, len(body), body)
}

// closingRejection returns the bytes of a problem response after which the server itself closes the connection: the
// Connection header then comes first.
func closingRejection(status, body string) string {
	first, rest, _ := strings.Cut(strings.Replace(rejection(status, body), "Connection: close\r\n", "", 1), "\r\n")
	return first + "\r\nConnection: close\r\n" + rest
}

// The bytes of the responses to a completed request and to invalid requests must not change.
func TestGoldenResponses(t *testing.T) {
	r := startHarness(t, func(f *fleetconfig.File) { f.Gateway.Limits.Body = 64 })
	const path = "/v1/functions/preview/invocations"
	for _, c := range []struct{ request, want string }{
		{postRequest("/v1/functions/none/invocations", "", "x"), rejection("404 Not Found",
			`{"type":"urn:lupinpond:request","title":"Not Found","status":404,"detail":"no function \"none\""}`+"\n")},
		{postRequest("/v2", "", ""), rejection("404 Not Found",
			`{"type":"urn:lupinpond:request","title":"Not Found","status":404,"detail":"POST /v2"}`+"\n")},
		{"GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", rejection("404 Not Found",
			`{"type":"urn:lupinpond:request","title":"Not Found","status":404,"detail":"GET `+path+`"}`+"\n")},
		{postRequest(path, "Prefer: respond-async\r\n", ""), rejection("501 Not Implemented",
			`{"type":"urn:lupinpond:request","title":"Not Implemented","status":501,`+
				`"detail":"deferred calls (respond-async) are not built yet"}`+"\n")},
		{postRequest(path, "Lupin-Tenant: ravi-foods\r\n", ""), rejection("403 Forbidden",
			`{"type":"urn:lupinpond:request","title":"Forbidden","status":403,`+
				`"detail":"preview belongs to another tenant"}`+"\n")},
		{postRequest(path, "", strings.Repeat("x", 65)), closingRejection("413 Request Entity Too Large",
			`{"type":"urn:lupinpond:request","title":"Request Entity Too Large","status":413,`+
				`"detail":"the body is longer than 64 bytes"}`+"\n")},
		{postRequest(path, "Ce-Id: i\r\nCe-Source: s\r\nPrefer: wait=3\r\n", "preview/i 5ms"),
			"HTTP/1.1 200 OK\r\nContent-Length: 18\r\nContent-Type: application/octet-stream\r\nLupin-Event: f-1\r\n" +
				"Lupin-Launches: 1\r\nDate: D\r\nConnection: close\r\n\r\npreview/i released"},
	} {
		if got := r.sendRaw(c.request); got != c.want {
			t.Errorf("%.60q:\n got %q\nwant %q", c.request, got, c.want)
		}
	}
}

// A gateway at its limit of requests in flight must answer with this problem and close the connection.
func TestGoldenNotAccepted(t *testing.T) {
	r := startHarness(t, func(f *fleetconfig.File) { f.Gateway.Limits.InFlight = 0 })
	want := closingRejection("503 Service Unavailable",
		`{"type":"urn:lupinpond:not-taken","title":"Not taken","status":503,`+
			`"detail":"this front end takes no event now"}`+"\n")
	if got := r.sendRaw(postRequest("/v1/functions/preview/invocations", "", "x")); got != want {
		t.Errorf("\n got %q\nwant %q", got, want)
	}
}
