package worker_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"lupinpond/internal/workerrpc"
)

// A requested fault is injected, and is undone after the given duration. An invalid request is rejected with status 400
// and the reason.
func TestControlInterface(t *testing.T) {
	h := startWorker(t, nil)
	control := httptest.NewServer(h.ControlHandler())
	t.Cleanup(control.Close)
	post := func(body string) (status int, text string) {
		t.Helper()
		response, err := control.Client().Post(control.URL+"/v1/trouble", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		read, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(read)
	}
	for body, want := range map[string]string{
		`{"what":"dance","for":"1s"}`:             "is not hang",
		`{"what":"hang"}`:                         "after which it is undone",
		`{"what":"slow","for":"1s"}`:              "need a factor",
		`{"what":"refuse","for":"1s","factor":2}`: "refuse a tenant",
		`{"what":"hang","for":"1s","at":"-1s"}`:   "from now",
		`{"why":"x"}`:                             "unknown field",
		`{`:                                       "EOF",
	} {
		if status, got := post(body); status != 400 || !strings.Contains(got, want) {
			t.Errorf("request %s: got status %d: %s", body, status, got)
		}
	}
	h.expectAnswer(faultyFunction, "echo", workerrpc.CodeOK, "echo")
	if status, got := post(`{"what":"refuse","tenant":"x","for":"300ms"}`); status != 204 {
		t.Fatal(got)
	}
	codeFor := func(tenant string) workerrpc.Code {
		attempt := workerrpc.Attempt{RequestID: "e", Function: faultyFunction, Tenant: tenant, Body: []byte("echo")}
		return (<-h.send(attempt)).AttemptResult.Code
	}
	h.waitFor("the tenant is rejected", func() bool { return codeFor("x") == workerrpc.CodeOverloaded })
	if code := codeFor("y"); code != workerrpc.CodeOK {
		t.Errorf("another tenant: %v", code)
	}
	h.waitFor("the fault is undone", func() bool { return codeFor("x") == workerrpc.CodeOK })
}
