package invoke_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invoke"
)

func FuzzReadHeader(f *testing.F) {
	config, err := fleetconfig.Default()
	if err != nil {
		f.Fatal(err)
	}
	catalogue := invoke.NewCatalogue(config)
	f.Add("preview", "Prefer: wait=2\r\nce-id: 1\r\n")
	f.Add("tax-slab", "Idempotency-Key: \"k\"\r\nPrefer: respond-async, wait=10;x=y\r\nLupin-Repeat: 1\r\n")
	f.Add("gross-salary", "Prefer: wait=1e309\r\nce-specversion: 0.3\r\nLupin-Tenant: nobody\r\n")
	f.Fuzz(func(t *testing.T, name, lines string) {
		header := http.Header{}
		for line := range strings.SplitSeq(lines, "\r\n") {
			if key, value, found := strings.Cut(line, ":"); found {
				header.Add(key, strings.TrimSpace(value))
			}
		}
		call, problem := catalogue.ReadHeader(name, header)
		keyMissing := call.Type.Effect == "keyed" && call.IdempotencyKey == ""
		if problem == nil && (call.TimeLeft <= 0 || call.TimeLeft > call.Type.MaxAge.Std() || keyMissing) {
			t.Errorf("%q %q was accepted as %+v, want a problem", name, lines, call)
		}
		if problem != nil && (problem.Status < 400 || problem.Detail == "") {
			t.Errorf("problem without an error status or a detail: %+v", problem)
		}
		w := httptest.NewRecorder()
		if problem != nil {
			problem.Write(w)
			if !bytes.Contains(w.Body.Bytes(), []byte(problem.Type)) {
				t.Error("the written problem does not contain its type")
			}
		}
	})
}
