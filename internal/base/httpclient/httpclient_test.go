package httpclient_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/base/httpclient"
)

// TestDo checks that a status of 300 or above is returned as a StatusError with a limited reason and Retry-After, and
// that a response body that is too long is another error.
func TestDo(t *testing.T) {
	const maxBytes = 2000
	for _, c := range []struct {
		name       string
		status     int
		retryAfter string
		body       string
		want       *httpclient.StatusError
		wantText   string // part of the text of an error that is not a StatusError; "" if the body is returned
	}{
		{"body", 200, "", "answer", nil, ""},
		{"body of the largest size", 200, "", strings.Repeat("x", maxBytes), nil, ""},
		{"body too long", 200, "", strings.Repeat("x", maxBytes+1), nil, "exceeds 2000 bytes"},
		{"reason", 404, "", " no such thing\n", &httpclient.StatusError{StatusCode: 404, Reason: "no such thing"}, ""},
		{"redirect", 304, "", "", &httpclient.StatusError{StatusCode: 304}, ""},
		{"retry after", 503, "2", "busy",
			&httpclient.StatusError{StatusCode: 503, RetryAfter: 2 * time.Second, Reason: "busy"}, ""},
		{"retry after too long", 503, "86400", "", &httpclient.StatusError{StatusCode: 503, RetryAfter: time.Hour}, ""},
		{"retry after in the past", 503, "-1", "", &httpclient.StatusError{StatusCode: 503}, ""},
		{"long reason", 400, "", strings.Repeat("x", maxBytes+1),
			&httpclient.StatusError{StatusCode: 400, Reason: strings.Repeat("x", 1024)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.retryAfter != "" {
					w.Header().Set("Retry-After", c.retryAfter)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			got, err := httpclient.Do(t.Context(), server.Client(), http.MethodGet, server.URL, nil, maxBytes)
			var statusErr *httpclient.StatusError
			switch {
			case c.want != nil:
				if !errors.As(err, &statusErr) || *statusErr != *c.want {
					t.Errorf("got %+v, %v, want %+v", statusErr, err, c.want)
				}
			case c.wantText != "":
				if err == nil || errors.As(err, &statusErr) || !strings.Contains(err.Error(), c.wantText) {
					t.Errorf("got %v, want %s", err, c.wantText)
				}
			case err != nil || string(got) != c.body:
				t.Errorf("got %q, %v, want %q", got, err, c.body)
			}
		})
	}
}

// TestDoWithoutServer checks that an unreachable server is an error other than a StatusError.
func TestDoWithoutServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := httpclient.Do(t.Context(), http.DefaultClient, http.MethodGet, server.URL, nil, 1)
	var statusErr *httpclient.StatusError
	if err == nil || errors.As(err, &statusErr) {
		t.Error(err)
	}
}
